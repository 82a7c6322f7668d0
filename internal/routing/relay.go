package routing

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"spanmux/internal/invariant"
	"spanmux/internal/membudget"
	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// outcomeOf maps the outcome of an exchange without a response to that of its hop.
var outcomeOf = map[transport.Outcome]logic.HopOutcome{
	transport.OutcomeConnectFailed: logic.HopNoConnection, transport.OutcomeNotWritten: logic.HopNoConnection, transport.OutcomeNotAccepted: logic.HopNoConnection, transport.OutcomeBroken: logic.HopConnectionBroken,
	transport.OutcomeTimedOut: logic.HopTimedOut, transport.OutcomeCancelled: logic.HopCalledOff, transport.OutcomeWithdrawn: logic.HopNoConnection,
}

// outcome returns how a hop ended, in the decision core's terms.
func (h *hop) outcome(exchangeOutcome transport.Outcome) logic.HopOutcome {
	switch {
	case exchangeOutcome != transport.OutcomeAnswered:
		return outcomeOf[exchangeOutcome]
	case h.response.Status == 200 && h.fullyWritten: // a 200 before the request was complete belongs to another one: hosts start work with its last byte
		return logic.HopCommitted
	case h.response.Declined:
		return logic.HopNotRun
	case h.response.NeverRan || !h.fullyWritten: // a host starts work with the last byte
		return logic.HopHostFull
	}
	return logic.HopError
}

// mayHaveRun tells of each outcome of a hop whether the host may have run the transaction, or may yet.
var mayHaveRun = [logic.HopNotRun + 1]bool{logic.HopCommitted: true, logic.HopError: true, logic.HopTimedOut: true, logic.HopConnectionBroken: true,
	logic.HopCalledOff: true}

// hopEnded reports to the decision core how a hop ended. The first committed hop is the transaction's
// final response. A request that its host declines would be declined by all: that is final too, and
// does not count against the host. Counted as errors, invalid requests would open the breakers of
// good hosts.
func (d *Dispatcher) hopEnded(h *hop, exchangeOutcome transport.Outcome) {
	defer h.dropResponse()
	if exchangeOutcome == transport.OutcomeWithdrawn && !d.stillWanted(h) {
		d.Counters.HopsWithdrawn.Add(1)
		d.endUnsentHop(h)
		return
	}
	if exchangeOutcome == transport.OutcomeNoSlot { // counted as a failed connection it would open the breakers of all good hosts
		d.Counters.HopsNoSocket.Add(1)
		d.endUnsentHop(h)
		return
	}
	if exchangeOutcome == transport.OutcomeNotAccepted {
		d.Counters.HopsNotAccepted.Add(1)
	}
	outcome, load := h.outcome(exchangeOutcome), logic.NoLoadReport
	if h.response != nil {
		load = h.response.Load
		if h.response.LoadErr != nil {
			d.Counters.recordInvalidInput(h.response.LoadErr.Error())
		}
	}
	if h.streamed { // already reported to the decision core
		d.callCore(func(time.Duration) { d.closeIdleIfGone(h.target) })
		return
	}
	d.callCore(func(now time.Duration) {
		t := h.tx
		t.hopsInFlight--
		t.mayHaveRun = t.mayHaveRun || mayHaveRun[outcome]
		d.closeIdleIfGone(h.target)
		d.Counters.HopOutcomes[outcome].Add(1)
		switch {
		case t.answered || outcome != logic.HopCommitted && outcome != logic.HopNotRun:
		case outcome == logic.HopCommitted:
			d.respond(t, &d.Counters.Committed, 200, h.passOnResponse())
		default:
			status := h.response.Status
			d.respond(t, &d.Counters.Declined, status, h.passOnResponse())
			d.afterUnlock(func() {
				d.Counters.recordInvalidInput("request declined by its host", slog.Int("status", status), slog.String("trace", t.request.TraceID))
			})
		}
		d.core.HopEnded(now, t.id, h.index, logic.HopResult{Outcome: outcome, Latency: time.Since(h.sentAt) - h.exchange.SlotWait, Load: load}, t.answered)
		d.removeIfFinished(t)
	})
}

// passOnResponse returns the hop's response for respond, which gives its memory back once it is written.
func (h *hop) passOnResponse() finalResponse {
	response := finalResponse{h.response.EncodeForClient, h.memory}
	h.response, h.memory = nil, nil
	return response
}

// dropResponse drops the response of a hop, and its memory, unless it has been passed on.
func (h *hop) dropResponse() {
	if h.memory != nil {
		h.memory.Release()
		h.response = nil
	}
}

// finalResponse is a response to a client.
type finalResponse struct {
	encode func(closing bool) net.Buffers
	memory *membudget.Reservation // of the response; nil if there is none
}

// RollBack answers that a transaction had no effect; its client may retry after retryAfter.
func (d *Dispatcher) RollBack(id logic.TxID, retryAfter time.Duration) {
	d.respond(d.txs[id], &d.Counters.RolledBack, 503, finalResponse{encode: func(closing bool) net.Buffers {
		return protocol.TextResponse(503, "rolled back\n", retryAfter, closing)
	}})
}

// Abandon answers that the outcome of a transaction is unknown.
func (d *Dispatcher) Abandon(id logic.TxID) {
	d.respond(d.txs[id], &d.Counters.Abandoned, 504, finalResponse{encode: func(closing bool) net.Buffers {
		return protocol.TextResponse(504, "abandoned\n", 0, closing)
	}})
}

// respond sends a transaction's one final response. It is written outside the lock.
func (d *Dispatcher) respond(t *tx, counter *counter, status int, response finalResponse) {
	invariant.Check(t != nil && !t.answered, "one final response per transaction")
	if t == nil || t.answered {
		return
	}
	t.finalStatus = status
	d.markAnswered(t)
	counter.Add(1)
	startedAt, bodyReceived := t.startedAt, (t.request.RemainingBody == nil || t.bodyReceived) && !t.inputPending
	d.responses = append(d.responses, func() {
		closing := t.request.Close || !bodyReceived || d.closesClientConns()
		err := t.client.WriteWithDeadline(withoutBody(t.request, response.encode(closing)), startedAt.Add(t.request.Budget))
		if response.memory != nil {
			response.memory.Release()
		}
		d.Counters.ResponseMicroseconds.Add(time.Since(startedAt).Microseconds())
		d.responseWritten(t, status, err, closing, bodyReceived)
	})
}

// responseWritten does what follows the writing of a response, or the failure to write it.
func (d *Dispatcher) responseWritten(t *tx, status int, err error, closing, bodyReceived bool) {
	if err != nil {
		d.Counters.ResponsesUnwritten.Add(1)
		d.responseLost(t)
	}
	t.counters.forResponse(status, err == nil).Add(1)
	d.Counters.OpenTransactions.Add(-1)
	switch {
	case err != nil:
		t.client.Close()
	case !bodyReceived: // closing with unread input would reset the connection and lose the response
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
	errNoLongerWanted        = errors.New("client no longer waits for the response")
	errTooManyStreams        = errors.New("too many responses are streamed")
	errResponseBeforeRequest = errors.New("response before the end of the request") // by its host, or to another request
)

// streamResponse forwards a response that is not buffered whole as it arrives; its head is valid.
// From here on no other hop can answer the transaction. If the response is broken off, its framing
// shows it to the client.
func (d *Dispatcher) streamResponse(h *hop, response *protocol.Response, body *protocol.Body) error {
	t, bodyReceived, refused := h.tx, false, false
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
			outcome, counter = logic.HopNotRun, &d.Counters.Declined
		}
		t.hopsInFlight--
		t.mayHaveRun = true
		if refused = !d.holdHostConn(shortExchangeDivisor); refused {
			d.Abandon(t.id)
		} else {
			t.finalStatus, t.streaming = response.Status, true
			d.markAnswered(t)
			counter.Add(1)
			d.Counters.ResponsesStreamed.Add(1)
		}
		d.Counters.HopOutcomes[outcome].Add(1)
		d.core.ResponseStarted(now, t.id, h.index)
		d.core.HopEnded(now, t.id, h.index, logic.HopResult{Outcome: outcome, Latency: time.Since(h.sentAt), Load: response.Load}, true)
	})
	switch {
	case !h.streamed:
		return errNoLongerWanted
	case refused:
		d.Counters.StreamsRefused.Add(1)
		return errTooManyStreams
	}
	defer d.releaseHostConn()
	closing := t.request.Close || !bodyReceived || d.closesClientConns()
	head, framing := response.EncodeStreamStart(t.request.HTTP10, closing)
	response.Body = nil
	closing = closing || framing == protocol.FramingClose
	stream := &responseStream{traceID: t.request.TraceID, startedAt: h.sentAt, client: t.client, hostConn: h.exchange.HostConn(), hostID: h.hostID, body: body, pending: head, readAhead: readAhead{budget: d.responseMemory},
		framing: framing, closesClient: closing, requestComplete: bodyReceived && !t.pipelined, claim: func() *idClaim { return d.claimOf(t) }}
	handedOver, err := d.forwardStream(stream)
	d.streamEnded(t, handedOver, err)
	if err != nil {
		if d.Counters.ResponsesCutOff.Add(1); framing == protocol.FramingClose { // otherwise it would look complete
			t.client.Reset()
		}
		d.logStreamBroken(stream, err, false)
	}
	if handedOver { // the next process has both connections
		d.responseWritten(t, response.Status, nil, true, true)
		return errHandedOver
	}
	d.responseWritten(t, response.Status, err, closing || d.closesClientConns(), bodyReceived)
	return err
}

// cancelStream cancels a response that is being streamed once its client has closed. Otherwise, if
// the host stops sending, the hop would keep its connection and its slot at the host for
// hostStreamIdleTimeout.
func (d *Dispatcher) cancelStream(t *tx) {
	if !t.client.PeerClosed() { // this process closed it after writing the response
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
