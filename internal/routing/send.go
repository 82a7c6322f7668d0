package routing

import (
	"bufio"
	"net"
	"time"

	"spanmux/internal/membudget"
	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// hop is one attempt to send a transaction to a host.
type hop struct {
	tx           *tx
	hostID       logic.HostID
	target       transport.Target
	index        int       // in tx.hops
	sentAt       time.Time // of a streamed body: when its end was received
	deliverBy    time.Time // until when its host must have the whole request; zero if it is no repeat
	exchange     *transport.Exchange
	response     *protocol.Response
	fullyWritten bool                   // the request was written completely
	streamed     bool                   // its response is being streamed, and its end was reported to the core
	memory       *membudget.Reservation // of the response
}

// SendHop sends the transaction to a host. A host without a known address can't be reached.
func (d *Dispatcher) SendHop(id logic.TxID, hostID logic.HostID, limits logic.HopLimits) {
	t := d.txs[id]
	h := &hop{tx: t, hostID: hostID, target: d.discovery.targetOf(hostID), index: len(t.hops), sentAt: time.Now(),
		memory: d.responseMemory.Reservation(responseAllowanceBytes)}
	t.hops = append(t.hops, h)
	t.hopsInFlight++
	deadline := h.sentAt.Add(limits.Timeout)
	if limits.DeliverWithin > 0 {
		h.deliverBy = h.sentAt.Add(limits.DeliverWithin)
	}
	if t.bodyForwardStarted { // the part of the body that was sent can't be sent again
		d.afterUnlock(func() { d.endUnsentHop(h) })
		return
	}
	h.exchange = &transport.Exchange{
		BuildMessage: func() net.Buffers { return t.request.EncodeForHost(time.Until(deadline)) },
		Deadline:     deadline,
		DeliverBy:    h.deliverBy,
		StillWanted:  func() bool { return d.stillWanted(h) },
		ReadResponse: func(reader *bufio.Reader) (keep bool, err error) {
			var head protocol.Head
			h.response, keep, err = protocol.ReadResponse(reader, &head, t.request.HeadOnly, func() { h.exchange.SetReadTimeout(unsizedResponseHoldTimeout) },
				func(bytes int) bool { return h.memory.Grow(bytes, d.responseMemory.TryReserve) },
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
		h.exchange.StreamBody = func(writer *transport.BodyWriter) bool { return d.offerBodyWriter(h, writer, limits.Timeout) }
	}
	d.Counters.Hops.Add(1)
	d.startExchange(h.target, h.exchange, t.request.Body.Len() > protocol.MaxBufferedBodyBytes)
}

// stillWanted reports whether a hop is still to be sent: its client waits, its host accepts new hops at
// the address that is connected to, and drops a repeat. A connection may take long to come up; by then
// the client may have left, another host have come to that address, or the grace period of a drain or
// the window of repeats be over.
func (d *Dispatcher) stillWanted(h *hop) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !h.tx.answered && d.discovery.acceptsNewHops(h.hostID) && d.discovery.targetOf(h.hostID) == h.target && (h.deliverBy.IsZero() || time.Now().Before(h.deliverBy))
}

// endUnsentHop ends a hop that can't be sent. It never ran, and does not count against its host.
func (d *Dispatcher) endUnsentHop(h *hop) {
	d.callCore(func(now time.Duration) {
		h.tx.hopsInFlight--
		d.core.HopEnded(now, h.tx.id, h.index, logic.HopResult{Outcome: logic.HopNotRun, Load: logic.NoLoadReport}, h.tx.answered)
		d.removeIfFinished(h.tx)
	})
}

// startExchange starts an exchange with a host once the lock is released. A long message may wait
// until its host reads it, so it gets a goroutine: the caller may be the timer or the receiver of peer
// messages, and has other work.
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

// CallOff cancels a hop.
func (d *Dispatcher) CallOff(id logic.TxID, index int) {
	if h := d.txs[id].hops[index]; h.exchange != nil { // otherwise it was never sent
		d.afterUnlock(h.exchange.Cancel)
	}
}

// closeIdleIfGone closes idle connections to a host that is no longer listed: one that was in use when
// the host was removed may have become idle just now.
func (d *Dispatcher) closeIdleIfGone(target transport.Target) {
	if d.discovery.targetOf(logic.HostID(target.HostID)) != target {
		d.afterUnlock(func() { d.pool.CloseIdleTo(target) })
	}
}

// CloseIdleConnections closes the idle connections to a host.
func (d *Dispatcher) CloseIdleConnections(hostID logic.HostID) {
	target := d.discovery.targetOf(hostID)
	d.afterUnlock(func() { d.pool.CloseIdleTo(target) })
}

// Probe requests a load report from a host.
func (d *Dispatcher) Probe(hostID logic.HostID) {
	d.Counters.Probes.Add(1)
	load, reported, reportBytes := logic.NoLoadReport, false, 0
	target := d.discovery.targetOf(hostID)
	d.startExchange(target, &transport.Exchange{
		BuildMessage: func() net.Buffers { return protocol.EncodeGet(protocol.LoadPath, target.Addr) },
		Deadline:     time.Now().Add(probeTimeout),
		ReadResponse: func(r *bufio.Reader) (keep bool, err error) {
			var head protocol.Head
			response, keep, err := protocol.ReadResponse(r, &head, false, nil, func(bytes int) bool {
				reportBytes += bytes
				return reportBytes <= maxLoadReportBytes
			}, nil)
			if err == nil && response.Status == 200 {
				var parseErr error
				if load, parseErr = protocol.ParseLoadReport(response.Body.Bytes()); parseErr != nil {
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
