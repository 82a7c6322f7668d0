package routing

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// hop is one sending of a transaction.
type hop struct {
	t        *tx
	host     logic.HostID
	to       transport.Target
	number   int
	sent     time.Time
	exchange *transport.Exchange
	answer   *protocol.Response
	whole    bool // all of it was written
	streamed bool // its answer has begun to go on, and the module knows
}

// SendHop sends the transaction. A host whose address is not known can't be reached.
func (d *Dispatcher) SendHop(id logic.TxID, host logic.HostID, wait time.Duration) {
	t := d.txs[id]
	h := &hop{t: t, host: host, to: d.list.target(host), number: len(t.hops), sent: time.Now()}
	t.hops = append(t.hops, h)
	t.out++
	until := h.sent.Add(wait)
	if t.passed { // what has gone of its body is gone
		d.then(func() { d.unsent(h) })
		return
	}
	h.exchange = &transport.Exchange{
		BuildMessage: func() net.Buffers { return t.said.EncodeForHost(time.Until(until)) },
		Deadline:     until,
		StillWanted:  func() bool { return d.wants(h) },
		ReadResponse: func(r *bufio.Reader) (keep bool, err error) {
			var head protocol.Head
			h.answer, keep, err = protocol.ReadResponse(r, &head, t.said.HeadOnly, func() { h.exchange.SetReadTimeout(holdWithin) },
				func(a *protocol.Response, rest *protocol.Body) error { return d.stream(h, a, rest) })
			return keep, err
		},
		OnWritten: func() {
			h.whole = true
			d.Counters.HopsWritten.Add(1)
		},
		OnDone: func(how transport.Outcome) { d.ended(h, how) },
	}
	if t.said.RemainingBody != nil {
		h.exchange.StreamBody = func(r *transport.BodyWriter) bool { return d.feeds(h, r, wait) }
	}
	d.Counters.Hops.Add(1)
	d.start(h.to, h.exchange, len(t.said.Body) > protocol.MaxBufferedBodyBytes)
}

// wants tells whether a hop is still to be sent: somebody waits for its transaction, and its host takes what is new. A connection may
// be long in coming up; by then its client may have gone, or the grace of a drain be over.
func (d *Dispatcher) wants(h *hop) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !h.t.answered && d.list.takes(h.host)
}

// unsent ends a hop that can't be sent; it never ran, and says nothing of its host.
func (d *Dispatcher) unsent(h *hop) {
	d.decide(func(now time.Duration) {
		h.t.out--
		d.opened.HopEnded(now, h.t.id, h.number, logic.HopResult{Outcome: logic.HopNotSent, Load: logic.NoLoadReport}, h.t.answered)
		d.forget(h.t)
	})
}

// feeds has the rest of a body written to the host whose connection is up, unless some of it has gone to another.
func (d *Dispatcher) feeds(h *hop, r *transport.BodyWriter, wait time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h.t.passed || h.t.answered {
		return false
	}
	select {
	case h.t.up <- r:
		h.t.wait, h.t.feeding = wait, h
		h.t.client.Wake()
		return true
	default: // it has room for all hops that settings allow within reason
		return false
	}
}

// early is what has been read of a body whose host is not there yet.
type early struct {
	pieces [][]byte
	err    error // behind these: io.EOF is the body's proper end
}

// take gives the next piece, and its end with the last one; it is false where there is none.
func (e *early) take(to []byte) (n int, err error, had bool) {
	if had = len(e.pieces) > 0 || e.err != nil; len(e.pieces) > 0 {
		n = copy(to, e.pieces[0])
		e.pieces = e.pieces[1:]
	}
	if len(e.pieces) == 0 {
		err, e.err = e.err, nil
	}
	return n, err, had
}

// readEarly reads a body while its host is not there, as long as there is room: without that the client's end would be seen by nobody that
// stands behind more than a socket holds.
func (d *Dispatcher) readEarly(t *tx, e *early, piece []byte, until func() bool) {
	for e.err == nil && len(e.pieces) < earlyMost/pieceBytes && !until() && d.roomFor(pieceBytes) {
		n, err := t.client.ReadWhileWaiting(until, func() (int, error) { return t.said.RemainingBody.Read(piece) })
		if n > 0 {
			e.pieces = append(e.pieces, bytes.Clone(piece[:n]))
		} else {
			d.large.Add(pieceBytes)
		}
		if errors.Is(err, transport.ErrShuttingDown) { // it says so again once its host is there
			return
		}
		e.err = err
	}
}

// feed passes on the rest of a body as it comes; it is false where the connection ends.
func (d *Dispatcher) feed(t *tx) bool {
	piece := pieces.Get().(*[pieceBytes]byte)
	defer pieces.Put(piece)
	var to *transport.BodyWriter
	var e early
	defer func() { d.large.Add(int64(len(e.pieces)) * pieceBytes) }()
	stays := func() bool { return !t.client.PeerClosed() }
	t.client.BeginBody()
	for {
		if to == nil {
			there := func() bool { return len(t.up) > 0 || t.over() }
			d.readEarly(t, &e, piece[:], there)
			if e.err != nil && !errors.Is(e.err, io.EOF) {
				return d.breaks(t, e.err)
			}
			if !t.client.WaitUnlessClosed(there) {
				return d.breaks(t, nil)
			}
			select {
			case to = <-t.up:
			default: // it has its answer
				t.client.DiscardInput()
				return false
			}
			d.mu.Lock()
			for len(t.up) > 0 { // the hop that is out is the last one
				to = <-t.up
			}
			t.passed = true
			d.mu.Unlock()
		}
		n, err, had := e.take(piece[:])
		if had && n > 0 {
			d.large.Add(pieceBytes)
		} else if !had {
			n, err = t.said.RemainingBody.Read(piece[:])
		}
		if errors.Is(err, transport.ErrShuttingDown) { // its host has not all of it, and never has
			to.Abort()
			<-t.settled
			t.client.DiscardInput()
			return false
		}
		if err != nil && !errors.Is(err, io.EOF) || t.client.PeerClosed() {
			return d.breaks(t, err)
		}
		began, last := time.Now(), err != nil
		if last {
			t.client.EndBody()
			late := false
			d.decide(func(now time.Duration) {
				late = t.answered
				t.heard, t.early, t.taken, t.feeding.sent = true, t.client.Reader.Buffered() > 0, began, began
				d.opened.HopBodySent(now, t.id, t.feeding.number)
			})
			switch err := to.WriteLast(t.said.EncodePiece(piece[:n], true), t.wait, stays); {
			case errors.Is(err, transport.ErrUnwanted):
				return d.breaks(t, nil)
			case err != nil:
				<-t.settled // nothing can be sent again
			}
			if late { // the answer went before, and said that the connection closes
				<-t.settled
			}
			return !late
		}
		if n > 0 {
			switch err := to.Write(t.said.EncodePiece(piece[:n], false), stays); {
			case errors.Is(err, transport.ErrUnwanted):
				return d.breaks(t, nil)
			case err != nil:
				to = nil
			}
		}
		t.client.ExtendReadTime(time.Since(began))
		if t.over() {
			t.client.DiscardInput()
			return false
		}
	}
}

// breaks ends with a body that does not come to its end: its client has left, or what it sends makes no sense.
func (d *Dispatcher) breaks(t *tx, err error) bool {
	if d.left(t) {
		if err != nil {
			d.answerWrong(t.client, err)
		}
	} else {
		<-t.settled
	}
	return false
}

var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// start begins an exchange with a host once the lock is left. A long message may wait for its host to take it, and whoever is here then
// has others to see to: the module's timer, or what gateways tell.
func (d *Dispatcher) start(to transport.Target, x *transport.Exchange, long bool) {
	d.then(func() {
		if to.Addr == "" {
			x.OnDone(transport.OutcomeConnectFailed)
		} else if long {
			go d.pool.Start(to, x)
		} else {
			d.pool.Start(to, x)
		}
	})
}

// roomFor takes room for a body over the usual size that is held whole like others: many at once, sent slowly by their clients,
// would take all memory.
func (d *Dispatcher) roomFor(bytes int) bool {
	if d.large.Add(-int64(bytes)) >= 0 {
		return true
	}
	d.large.Add(int64(bytes))
	return false
}

func (d *Dispatcher) CallOff(id logic.TxID, number int) {
	if h := d.txs[id].hops[number]; h.exchange != nil { // else it was never sent
		d.then(h.exchange.Cancel)
	}
}

// closeGone closes what is idle to a host that has gone from the list: what was out there as that was told has just fallen idle.
func (d *Dispatcher) closeGone(to transport.Target) {
	if d.list.target(logic.HostID(to.HostID)) != to {
		d.then(func() { d.pool.CloseIdleTo(to) })
	}
}

func (d *Dispatcher) CloseIdleConnections(host logic.HostID) {
	to := d.list.target(host)
	d.then(func() { d.pool.CloseIdleTo(to) })
}

func (d *Dispatcher) Probe(host logic.HostID) {
	d.Counters.Probes.Add(1)
	load, reported := logic.NoLoadReport, false
	to := d.list.target(host)
	d.start(to, &transport.Exchange{
		BuildMessage: func() net.Buffers { return protocol.EncodeGet(protocol.LoadPath, to.Addr) },
		Deadline:     time.Now().Add(probeWithin),
		ReadResponse: func(r *bufio.Reader) (keep bool, err error) {
			var head protocol.Head
			answer, keep, err := protocol.ReadResponse(r, &head, false, nil, nil)
			if err == nil && answer.Status == 200 {
				var wrong error
				if load, wrong = protocol.ParseLoadReport(answer.Body); wrong != nil {
					d.Counters.wrong(wrong.Error())
				}
				reported = wrong == nil
			}
			return keep, err
		},
		OnDone: func(how transport.Outcome) {
			if how == transport.OutcomeAnswered && reported {
				d.Counters.ProbesAnswered.Add(1)
			} else {
				load = logic.NoLoadReport
			}
			d.decide(func(now time.Duration) {
				d.closeGone(to)
				d.opened.ProbeEnded(now, host, load)
			})
		},
	}, false)
}
