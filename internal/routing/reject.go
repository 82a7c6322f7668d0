package routing

import (
	"errors"
	"io"
	"log/slog"

	"spanmux/internal/protocol"
	"spanmux/internal/transport"
)

// Responses to requests that are not admitted. Each is the last one of its connection, which then stays open for as long
// as the client may need to read it, so the memory of the request is given back first.

// rejectUnread answers a request that could not be read to its end. request is nil if its head was not understood.
func (d *Dispatcher) rejectUnread(c *transport.Client, request *protocol.Transaction, err error) {
	switch {
	case errors.Is(err, transport.ErrShuttingDown):
		if !d.handOver(c) {
			d.rejectUnsent(c, request, "ends")
		}
	case errors.Is(err, protocol.ErrNoMemory), errors.Is(err, transport.ErrReclaimed):
		d.Counters.RejectedForMemory.Add(1)
		d.rejectUnsent(c, request, protocol.ErrNoMemory.Text)
	default:
		d.rejectMalformed(c, err)
	}
}

// rejectUnsent answers a request of which no host has anything, so that its client may retry.
func (d *Dispatcher) rejectUnsent(c *transport.Client, request *protocol.Transaction, reason string) {
	d.Counters.RejectedBeforeAdmission.Add(1)
	if request != nil {
		d.mu.Lock()
		counters := d.profileCounters[request.Profile]
		d.mu.Unlock()
		if counters != nil {
			counters.rolledBack.Add(1)
		}
	}
	c.WriteFinal(protocol.TextResponse(503, reason+"\n", 0, true))
}

// rejectMalformed answers input that is no valid request.
func (d *Dispatcher) rejectMalformed(c *transport.Client, err error) {
	httpErr := protocol.AsHTTPError(err)
	if httpErr == nil {
		if !errors.Is(err, io.EOF) {
			d.Counters.ClientReadErrors.Add(1)
		}
		return
	}
	d.Counters.recordInvalidInput(httpErr.Text, slog.Int("status", httpErr.Status))
	c.WriteFinal(protocol.TextResponse(httpErr.Status, httpErr.Text+"\n", 0, true))
}

// rejectInvalid answers a request that is understood and not to be taken.
func (d *Dispatcher) rejectInvalid(t *tx, status int, reason string, detail slog.Attr) {
	d.Counters.recordInvalidInput(reason, detail)
	if t.counters != nil {
		t.counters.aborted.Add(1)
	}
	t.memory.release()
	t.client.WriteFinal(protocol.TextResponse(status, reason+"\n", 0, true))
}

// rejectWithoutRoom answers a transaction for which there are too many connections.
func (d *Dispatcher) rejectWithoutRoom(t *tx) {
	t.memory.release()
	d.rejectUnsent(t.client, t.request, "no room")
}
