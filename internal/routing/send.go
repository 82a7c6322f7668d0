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
	tx           *tx
	hostID       logic.HostID
	target       transport.Target
	index        int
	sentAt       time.Time
	exchange     *transport.Exchange
	response     *protocol.Response
	fullyWritten bool // all of it was written
	streamed     bool // its answer has begun to go on, and the module knows
}

// SendHop sends the transaction. A host whose address is not known can't be reached.
func (d *Dispatcher) SendHop(id logic.TxID, hostID logic.HostID, timeout time.Duration) {
	t := d.txs[id]
	h := &hop{tx: t, hostID: hostID, target: d.discovery.targetOf(hostID), index: len(t.hops), sentAt: time.Now()}
	t.hops = append(t.hops, h)
	t.hopsInFlight++
	deadline := h.sentAt.Add(timeout)
	if t.bodyForwarded { // what has gone of its body is gone
		d.afterUnlock(func() { d.endUnsentHop(h) })
		return
	}
	h.exchange = &transport.Exchange{
		BuildMessage: func() net.Buffers { return t.request.EncodeForHost(time.Until(deadline)) },
		Deadline:     deadline,
		StillWanted:  func() bool { return d.stillWanted(h) },
		ReadResponse: func(reader *bufio.Reader) (keep bool, err error) {
			var head protocol.Head
			h.response, keep, err = protocol.ReadResponse(reader, &head, t.request.HeadOnly, func() { h.exchange.SetReadTimeout(unsizedResponseHoldTimeout) },
				func(response *protocol.Response, body *protocol.Body) error {
					return d.streamResponse(h, response, body)
				})
			return keep, err
		},
		OnWritten: func() {
			h.fullyWritten = true
			d.Counters.HopsWritten.Add(1)
		},
		OnDone: func(outcome transport.Outcome) { d.hopEnded(h, outcome) },
	}
	if t.request.RemainingBody != nil {
		h.exchange.StreamBody = func(reader *transport.BodyWriter) bool { return d.offerBodyWriter(h, reader, timeout) }
	}
	d.Counters.Hops.Add(1)
	d.startExchange(h.target, h.exchange, len(t.request.Body) > protocol.MaxBufferedBodyBytes)
}

// stillWanted tells whether a hop is still to be sent: somebody waits for its transaction, and its host takes what is new. A connection may
// be long in coming up; by then its client may have gone, or the grace of a drain be over.
func (d *Dispatcher) stillWanted(h *hop) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !h.tx.answered && d.discovery.acceptsNewHops(h.hostID)
}

// endUnsentHop ends a hop that can't be sent; it never ran, and says nothing of its host.
func (d *Dispatcher) endUnsentHop(h *hop) {
	d.callCore(func(now time.Duration) {
		h.tx.hopsInFlight--
		d.core.HopEnded(now, h.tx.id, h.index, logic.HopResult{Outcome: logic.HopNotSent, Load: logic.NoLoadReport}, h.tx.answered)
		d.removeIfFinished(h.tx)
	})
}

// offerBodyWriter has the rest of a body written to the host whose connection is up, unless some of it has gone to another.
func (d *Dispatcher) offerBodyWriter(h *hop, writer *transport.BodyWriter, timeout time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h.tx.bodyForwarded || h.tx.answered {
		return false
	}
	select {
	case h.tx.bodyWriters <- writer:
		h.tx.responseTimeout, h.tx.bodyHop = timeout, h
		h.tx.client.Wake()
		return true
	default: // it has room for all hops that settings allow within reason
		return false
	}
}

// earlyBody is what has been read of a body whose host is not there yet.
type earlyBody struct {
	chunks [][]byte
	err    error // behind these: io.EOF is the body's proper end
}

// next gives the next piece, and its end with the last one; it is false where there is none.
func (e *earlyBody) next(buf []byte) (n int, err error, ok bool) {
	if ok = len(e.chunks) > 0 || e.err != nil; len(e.chunks) > 0 {
		n = copy(buf, e.chunks[0])
		e.chunks = e.chunks[1:]
	}
	if len(e.chunks) == 0 {
		err, e.err = e.err, nil
	}
	return n, err, ok
}

// readEarlyBody reads a body while its host is not there, as long as there is room: without that the client's end would be seen by nobody that
// stands behind more than a socket holds.
func (d *Dispatcher) readEarlyBody(t *tx, body *earlyBody, buf []byte, stop func() bool) {
	for body.err == nil && len(body.chunks) < maxEarlyBodyBytes/streamBufferBytes && !stop() && d.reserveBodyBudget(streamBufferBytes) {
		n, err := t.client.ReadWhileWaiting(stop, func() (int, error) { return t.request.RemainingBody.Read(buf) })
		if n > 0 {
			body.chunks = append(body.chunks, bytes.Clone(buf[:n]))
		} else {
			d.bodyBudget.Add(streamBufferBytes)
		}
		if errors.Is(err, transport.ErrShuttingDown) { // it says so again once its host is there
			return
		}
		body.err = err
	}
}

// forwardBody passes on the rest of a body as it comes; it is false where the connection ends.
func (d *Dispatcher) forwardBody(t *tx) bool {
	buf := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buf)
	var writer *transport.BodyWriter
	var early earlyBody
	defer func() { d.bodyBudget.Add(int64(len(early.chunks)) * streamBufferBytes) }()
	connected := func() bool { return !t.client.PeerClosed() }
	t.client.BeginBody()
	for {
		if writer == nil {
			hostReady := func() bool { return len(t.bodyWriters) > 0 || t.isDone() }
			d.readEarlyBody(t, &early, buf[:], hostReady)
			if early.err != nil && !errors.Is(early.err, io.EOF) {
				return d.abortBody(t, early.err)
			}
			if !t.client.WaitUnlessClosed(hostReady) {
				return d.abortBody(t, nil)
			}
			select {
			case writer = <-t.bodyWriters:
			default: // it has its answer
				t.client.DiscardInput()
				return false
			}
			d.mu.Lock()
			for len(t.bodyWriters) > 0 { // the hop that is out is the last one
				writer = <-t.bodyWriters
			}
			t.bodyForwarded = true
			d.mu.Unlock()
		}
		n, err, buffered := early.next(buf[:])
		if buffered && n > 0 {
			d.bodyBudget.Add(streamBufferBytes)
		} else if !buffered {
			n, err = t.request.RemainingBody.Read(buf[:])
		}
		if errors.Is(err, transport.ErrShuttingDown) { // its host has not all of it, and never has
			writer.Abort()
			<-t.done
			t.client.DiscardInput()
			return false
		}
		if err != nil && !errors.Is(err, io.EOF) || t.client.PeerClosed() {
			return d.abortBody(t, err)
		}
		readAt, last := time.Now(), err != nil
		if last {
			t.client.EndBody()
			alreadyAnswered := false
			d.callCore(func(now time.Duration) {
				alreadyAnswered = t.answered
				t.bodyReceived, t.pipelined, t.startedAt, t.bodyHop.sentAt = true, t.client.Reader.Buffered() > 0, readAt, readAt
				d.core.HopBodySent(now, t.id, t.bodyHop.index)
			})
			switch err := writer.WriteLast(t.request.EncodePiece(buf[:n], true), t.responseTimeout, connected); {
			case errors.Is(err, transport.ErrUnwanted):
				return d.abortBody(t, nil)
			case err != nil:
				<-t.done // nothing can be sent again
			}
			if alreadyAnswered { // the answer went before, and said that the connection closes
				<-t.done
			}
			return !alreadyAnswered
		}
		if n > 0 {
			switch err := writer.Write(t.request.EncodePiece(buf[:n], false), connected); {
			case errors.Is(err, transport.ErrUnwanted):
				return d.abortBody(t, nil)
			case err != nil:
				writer = nil
			}
		}
		t.client.ExtendReadTime(time.Since(readAt))
		if t.isDone() {
			t.client.DiscardInput()
			return false
		}
	}
}

// abortBody ends with a body that does not come to its end: its client has left, or what it sends makes no sense.
func (d *Dispatcher) abortBody(t *tx, err error) bool {
	if d.clientLeft(t) {
		if err != nil {
			d.respondInvalid(t.client, err)
		}
	} else {
		<-t.done
	}
	return false
}

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// startExchange begins an exchange with a host once the lock is left. A long message may wait for its host to take it, and whoever is here then
// has others to see to: the module's timer, or what gateways tell.
func (d *Dispatcher) startExchange(target transport.Target, exchange *transport.Exchange, long bool) {
	d.afterUnlock(func() {
		if target.Addr == "" {
			exchange.OnDone(transport.OutcomeConnectFailed)
		} else if long {
			go d.pool.Start(target, exchange)
		} else {
			d.pool.Start(target, exchange)
		}
	})
}

// reserveBodyBudget takes room for a body over the usual size that is held whole like others: many at once, sent slowly by their clients,
// would take all memory.
func (d *Dispatcher) reserveBodyBudget(bytes int) bool {
	if d.bodyBudget.Add(-int64(bytes)) >= 0 {
		return true
	}
	d.bodyBudget.Add(int64(bytes))
	return false
}

func (d *Dispatcher) CallOff(id logic.TxID, index int) {
	if h := d.txs[id].hops[index]; h.exchange != nil { // else it was never sent
		d.afterUnlock(h.exchange.Cancel)
	}
}

// closeIdleIfGone closes what is idle to a host that has gone from the list: what was out there as that was told has just fallen idle.
func (d *Dispatcher) closeIdleIfGone(target transport.Target) {
	if d.discovery.targetOf(logic.HostID(target.HostID)) != target {
		d.afterUnlock(func() { d.pool.CloseIdleTo(target) })
	}
}

func (d *Dispatcher) CloseIdleConnections(hostID logic.HostID) {
	target := d.discovery.targetOf(hostID)
	d.afterUnlock(func() { d.pool.CloseIdleTo(target) })
}

func (d *Dispatcher) Probe(hostID logic.HostID) {
	d.Counters.Probes.Add(1)
	load, reported := logic.NoLoadReport, false
	target := d.discovery.targetOf(hostID)
	d.startExchange(target, &transport.Exchange{
		BuildMessage: func() net.Buffers { return protocol.EncodeGet(protocol.LoadPath, target.Addr) },
		Deadline:     time.Now().Add(probeTimeout),
		ReadResponse: func(r *bufio.Reader) (keep bool, err error) {
			var head protocol.Head
			response, keep, err := protocol.ReadResponse(r, &head, false, nil, nil)
			if err == nil && response.Status == 200 {
				var parseErr error
				if load, parseErr = protocol.ParseLoadReport(response.Body); parseErr != nil {
					d.Counters.recordInvalidInput(parseErr.Error())
				}
				reported = parseErr == nil
			}
			return keep, err
		},
		OnDone: func(outcome transport.Outcome) {
			if outcome == transport.OutcomeAnswered && reported {
				d.Counters.ProbesAnswered.Add(1)
			} else {
				load = logic.NoLoadReport
			}
			d.callCore(func(now time.Duration) {
				d.closeIdleIfGone(target)
				d.core.ProbeEnded(now, hostID, load)
			})
		},
	}, false)
}
