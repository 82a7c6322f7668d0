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

var outcomeOf = map[transport.Outcome]logic.HopOutcome{
	transport.OutcomeConnectFailed: logic.HopNoConnection, transport.OutcomeNotWritten: logic.HopNoConnection, transport.OutcomeBroken: logic.HopConnectionBroken,
	transport.OutcomeTimedOut: logic.HopTimedOut, transport.OutcomeCancelled: logic.HopCalledOff, transport.OutcomeWithdrawn: logic.HopNoConnection,
}

// outcome is how a hop ended, for the module.
func (h *hop) outcome(exchangeOutcome transport.Outcome) logic.HopOutcome {
	switch {
	case exchangeOutcome != transport.OutcomeAnswered:
		return outcomeOf[exchangeOutcome]
	case h.response.Status == 200 && h.fullyWritten: // else it was made for another, as no host begins before the last byte
		return logic.HopCommitted
	case h.response.Declined:
		return logic.HopNotSent
	case h.response.NeverRan || !h.fullyWritten: // a host begins with the last byte
		return logic.HopHostFull
	}
	return logic.HopError
}

// hopEnded tells the module how a hop ended; the first that commits is the transaction's final answer. One that its host
// declines would be declined by all: that is final too, and says nothing against the host. Counted as errors, what bad
// clients send would open the breakers of good hosts.
func (d *Dispatcher) hopEnded(h *hop, exchangeOutcome transport.Outcome) {
	if exchangeOutcome == transport.OutcomeWithdrawn && !d.stillWanted(h) {
		d.Counters.HopsWithdrawn.Add(1)
		d.endUnsentHop(h)
		return
	}
	if exchangeOutcome == transport.OutcomeNoSlot { // taken for a host that is not there it opened the breakers of all good ones
		d.Counters.HopsNoSocket.Add(1)
		d.endUnsentHop(h)
		return
	}
	outcome, load := h.outcome(exchangeOutcome), logic.NoLoadReport
	if h.response != nil {
		load = h.response.Load
		if h.response.LoadErr != nil {
			d.Counters.recordInvalidInput(h.response.LoadErr.Error())
		}
	}
	if h.streamed { // the module knows
		d.callCore(func(time.Duration) { d.closeIdleIfGone(h.target) })
		return
	}
	d.callCore(func(now time.Duration) {
		tx := h.tx
		tx.hopsInFlight--
		d.closeIdleIfGone(h.target)
		d.Counters.HopOutcomes[outcome].Add(1)
		switch {
		case tx.answered || outcome != logic.HopCommitted && outcome != logic.HopNotSent:
		case outcome == logic.HopCommitted:
			d.respond(tx, &d.Counters.Committed, 200, h.response.EncodeForClient)
		default:
			d.respond(tx, &d.Counters.Declined, h.response.Status, h.response.EncodeForClient)
			d.afterUnlock(func() {
				d.Counters.recordInvalidInput("declined by its host", slog.Int("status", h.response.Status), slog.String("trace", tx.request.TraceID))
			})
		}
		d.core.HopEnded(now, tx.id, h.index, logic.HopResult{Outcome: outcome, Latency: time.Since(h.sentAt) - h.exchange.SlotWait, Load: load}, tx.answered)
		d.removeIfFinished(tx)
	})
}

func (d *Dispatcher) RollBack(id logic.TxID, retryAfter time.Duration) {
	d.respond(d.txs[id], &d.Counters.RolledBack, 503, func(closing bool) net.Buffers {
		return protocol.TextResponse(503, "rolled back\n", retryAfter, closing)
	})
}

func (d *Dispatcher) Abandon(id logic.TxID) {
	d.respond(d.txs[id], &d.Counters.Abandoned, 504, func(closing bool) net.Buffers {
		return protocol.TextResponse(504, "abandoned\n", 0, closing)
	})
}

// respond is a transaction's one final answer. It is written outside the lock, by whoever has it.
func (d *Dispatcher) respond(t *tx, counter *counter, status int, encode func(closing bool) net.Buffers) {
	invariant.Check(t != nil && !t.answered, "one final answer")
	if t == nil || t.answered {
		return
	}
	d.markAnswered(t)
	counter.Add(1)
	startedAt, bodyReceived := t.startedAt, t.request.RemainingBody == nil || t.bodyReceived
	d.afterUnlock(func() {
		closing := t.request.Close || !bodyReceived || d.closesClientConns()
		err := t.client.WriteWithDeadline(withoutBody(t.request, encode(closing)), startedAt.Add(t.request.Budget))
		d.Counters.ResponseMicroseconds.Add(time.Since(startedAt).Microseconds())
		d.responseWritten(t, status, err, closing, bodyReceived)
	})
}

// responseWritten notes that an answer is written, or as much of it as could be.
func (d *Dispatcher) responseWritten(t *tx, status int, err error, closing, bodyReceived bool) {
	if err != nil {
		d.Counters.ResponsesUnwritten.Add(1)
	}
	t.counters.forResponse(status, err == nil).Add(1)
	d.Counters.OpenTransactions.Add(-1)
	switch {
	case err != nil:
		t.client.Close()
	case !bodyReceived: // closed with input unread the connection would be reset, and the answer lost with it
		t.client.CloseWrite()
	case closing:
		t.client.Close()
	default:
		t.client.MarkIdle()
	}
	close(t.done)
	t.client.Wake()
}

var (
	errNoLongerWanted        = errors.New("nobody waits for the answer")
	errResponseBeforeRequest = errors.New("answered before it had the message") // by its host, or for another
)

// streamResponse passes on an answer over the usual size as it comes: its head is sound. From here on the transaction is its host's, and no
// other hop can answer it; what breaks it off now its client can tell.
func (d *Dispatcher) streamResponse(h *hop, response *protocol.Response, body *protocol.Body) error {
	t, bodyReceived := h.tx, false
	if response.Status == 200 && !h.exchange.FullyWritten() {
		return errResponseBeforeRequest
	}
	d.callCore(func(now time.Duration) {
		if t.answered {
			return
		}
		h.streamed, bodyReceived = true, t.request.RemainingBody == nil || t.bodyReceived
		outcome, counter := logic.HopCommitted, &d.Counters.Committed
		if response.Declined {
			outcome, counter = logic.HopNotSent, &d.Counters.Declined
		}
		t.hopsInFlight--
		d.markAnswered(t)
		counter.Add(1)
		d.Counters.ResponsesStreamed.Add(1)
		d.Counters.HopOutcomes[outcome].Add(1)
		d.core.ResponseStarted(now, t.id, h.index)
		d.core.HopEnded(now, t.id, h.index, logic.HopResult{Outcome: outcome, Latency: time.Since(h.sentAt), Load: response.Load}, true)
	})
	if !h.streamed {
		return errNoLongerWanted
	}
	closing := t.request.Close || !bodyReceived || d.closesClientConns()
	head, framing := response.EncodeStreamStart(t.request.HTTP10, closing)
	response.Body = nil
	closing = closing || framing == protocol.FramingClose
	stream := &responseStream{traceID: t.request.TraceID, startedAt: h.sentAt, client: t.client, hostConn: h.exchange.HostConn(), hostID: h.hostID, body: body, pending: head,
		framing: framing, closesClient: closing, requestComplete: bodyReceived && !t.pipelined}
	handedOver, err := d.forwardStream(stream)
	if err != nil {
		if d.Counters.ResponsesCutOff.Add(1); framing == protocol.FramingClose { // else it would look whole
			t.client.Reset()
		}
		d.logStreamBroken(stream, err, false)
	}
	if handedOver { // this process has no more to do with either connection
		d.responseWritten(t, response.Status, nil, true, true)
		return errHandedOver
	}
	d.responseWritten(t, response.Status, err, closing || d.closesClientConns(), bodyReceived)
	return err
}

// cancelStream gives up an answer that is passed on as it comes once its client has closed the connection. A host that has fallen silent within
// the answer would keep its connection, and its place at the host, for hostSilent.
func (d *Dispatcher) cancelStream(t *tx) {
	if !t.client.PeerClosed() { // this process has closed it, as the answer was written
		return
	}
	d.callCore(func(time.Duration) {
		for _, h := range t.hops {
			if h.streamed {
				d.afterUnlock(h.exchange.Cancel)
			}
		}
	})
}
