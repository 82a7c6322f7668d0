package routing

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"spanmux/internal/invariant"
	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

var endOf = map[transport.Outcome]logic.HopOutcome{
	transport.OutcomeConnectFailed: logic.HopNoConnection, transport.OutcomeNotWritten: logic.HopNoConnection, transport.OutcomeBroken: logic.HopConnectionBroken,
	transport.OutcomeTimedOut: logic.HopTimedOut, transport.OutcomeCancelled: logic.HopCalledOff, transport.OutcomeWithdrawn: logic.HopNoConnection,
}

// end is how a hop ended, for the module.
func (h *hop) end(how transport.Outcome) logic.HopOutcome {
	switch {
	case how != transport.OutcomeAnswered:
		return endOf[how]
	case h.answer.Status == 200 && h.whole: // else it was made for another, as no host begins before the last byte
		return logic.HopCommitted
	case h.answer.Declined:
		return logic.HopNotSent
	case h.answer.NeverRan || !h.whole: // a host begins with the last byte
		return logic.HopHostFull
	}
	return logic.HopError
}

// ended tells the module how a hop ended; the first that commits is the transaction's final answer. One that its host
// declines would be declined by all: that is final too, and says nothing against the host. Counted as errors, what bad
// clients send would open the breakers of good hosts.
func (d *Dispatcher) ended(h *hop, how transport.Outcome) {
	if how == transport.OutcomeWithdrawn && !d.wants(h) {
		d.Counters.HopsWithdrawn.Add(1)
		d.unsent(h)
		return
	}
	if how == transport.OutcomeNoSlot { // taken for a host that is not there it opened the breakers of all good ones
		d.Counters.HopsNoSocket.Add(1)
		d.unsent(h)
		return
	}
	end, load := h.end(how), logic.NoLoadReport
	if h.answer != nil {
		load = h.answer.Load
		if h.answer.LoadErr != nil {
			d.Counters.wrong(h.answer.LoadErr.Error())
		}
	}
	if h.streamed { // the module knows
		d.decide(func(time.Duration) { d.closeGone(h.to) })
		return
	}
	d.decide(func(now time.Duration) {
		t := h.t
		t.out--
		d.closeGone(h.to)
		d.Counters.HopOutcomes[end].Add(1)
		switch {
		case t.answered || end != logic.HopCommitted && end != logic.HopNotSent:
		case end == logic.HopCommitted:
			d.answer(t, &d.Counters.Committed, 200, h.answer.EncodeForClient)
		default:
			d.answer(t, &d.Counters.Declined, h.answer.Status, h.answer.EncodeForClient)
			d.then(func() {
				d.Counters.wrong("declined by its host", slog.Int("status", h.answer.Status), slog.String("trace", t.said.TraceID))
			})
		}
		d.opened.HopEnded(now, t.id, h.number, logic.HopResult{Outcome: end, Latency: time.Since(h.sent) - h.exchange.SlotWait, Load: load}, t.answered)
		d.forget(t)
	})
}

func (d *Dispatcher) RollBack(id logic.TxID, after time.Duration) {
	d.answer(d.txs[id], &d.Counters.RolledBack, 503, func(closing bool) net.Buffers {
		return protocol.TextResponse(503, "rolled back\n", after, closing)
	})
}

func (d *Dispatcher) Abandon(id logic.TxID) {
	d.answer(d.txs[id], &d.Counters.Abandoned, 504, func(closing bool) net.Buffers {
		return protocol.TextResponse(504, "abandoned\n", 0, closing)
	})
}

// answer is a transaction's one final answer. It is written outside the lock, by whoever has it.
func (d *Dispatcher) answer(t *tx, count *count, status int, form func(closing bool) net.Buffers) {
	invariant.Check(t != nil && !t.answered, "one final answer")
	if t == nil || t.answered {
		return
	}
	d.settled(t)
	count.Add(1)
	taken, heard := t.taken, t.said.RemainingBody == nil || t.heard
	d.then(func() {
		closing := t.said.Close || !heard || d.sendsAway()
		err := t.client.WriteWithDeadline(bare(t.said, form(closing)), taken.Add(t.said.Budget))
		d.Counters.ResponseMicroseconds.Add(time.Since(taken).Microseconds())
		d.written(t, status, err, closing, heard)
	})
}

// written notes that an answer is written, or as much of it as could be.
func (d *Dispatcher) written(t *tx, status int, err error, closing, heard bool) {
	if err != nil {
		d.Counters.ResponsesUnwritten.Add(1)
	}
	t.tally.of(status, err == nil).Add(1)
	d.Counters.OpenTransactions.Add(-1)
	switch {
	case err != nil:
		t.client.Close()
	case !heard: // closed with input unread the connection would be reset, and the answer lost with it
		t.client.CloseWrite()
	case closing:
		t.client.Close()
	default:
		t.client.MarkIdle()
	}
	close(t.settled)
	t.client.Wake()
}

var (
	errNobodyWaits = errors.New("nobody waits for the answer")
	errEarly       = errors.New("answered before it had the message") // by its host, or for another
)

// stream passes on an answer over the usual size as it comes: its head is sound. From here on the transaction is its host's, and no
// other hop can answer it; what breaks it off now its client can tell.
func (d *Dispatcher) stream(h *hop, a *protocol.Response, rest *protocol.Body) error {
	t, heard := h.t, false
	if a.Status == 200 && !h.exchange.FullyWritten() {
		return errEarly
	}
	d.decide(func(now time.Duration) {
		if t.answered {
			return
		}
		h.streamed, heard = true, t.said.RemainingBody == nil || t.heard
		end, count := logic.HopCommitted, &d.Counters.Committed
		if a.Declined {
			end, count = logic.HopNotSent, &d.Counters.Declined
		}
		t.out--
		d.settled(t)
		count.Add(1)
		d.Counters.ResponsesStreamed.Add(1)
		d.Counters.HopOutcomes[end].Add(1)
		d.opened.ResponseStarted(now, t.id, h.number)
		d.opened.HopEnded(now, t.id, h.number, logic.HopResult{Outcome: end, Latency: time.Since(h.sent), Load: a.Load}, true)
	})
	if !h.streamed {
		return errNobodyWaits
	}
	closing := t.said.Close || !heard || d.sendsAway()
	parts, framing := a.EncodeStreamStart(t.said.HTTP10, closing)
	a.Body = nil
	closing = closing || framing == protocol.FramingClose
	f := &flow{trace: t.said.TraceID, began: h.sent, client: t.client, host: h.exchange.HostConn(), from: h.host, rest: rest, unsent: parts,
		framing: framing, closing: closing, whole: heard && !t.early}
	handed, err := d.pass(f)
	if err != nil {
		if d.Counters.ResponsesCutOff.Add(1); framing == protocol.FramingClose { // else it would look whole
			t.client.Reset()
		}
		d.brokenOff(f, err, false)
	}
	if handed { // this process has no more to do with either connection
		d.written(t, a.Status, nil, true, true)
		return errHanded
	}
	d.written(t, a.Status, err, closing || d.sendsAway(), heard)
	return err
}

// stopStream gives up an answer that is passed on as it comes once its client has closed the connection. A host that has fallen silent within
// the answer would keep its connection, and its place at the host, for hostSilent.
func (d *Dispatcher) stopStream(t *tx) {
	if !t.client.PeerClosed() { // this process has closed it, as the answer was written
		return
	}
	d.decide(func(time.Duration) {
		for _, h := range t.hops {
			if h.streamed {
				d.then(h.exchange.Cancel)
			}
		}
	})
}
