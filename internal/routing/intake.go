package routing

import (
	"errors"
	"net"
	"runtime"
	"time"

	"spanmux/internal/protocol"
	"spanmux/internal/transport"
)

// serveClient serves the requests of one client connection, one after the other.
func (d *Dispatcher) serveClient(c *transport.Client) {
	var head protocol.Head
	for {
		err := c.AwaitRequest()
		if errors.Is(err, transport.ErrShuttingDown) { // nothing was received, so no response is needed if handing over fails
			d.handOver(c)
		}
		if err != nil || !d.serveRequest(c, &head) {
			return
		}
		runtime.Gosched() // requests in a row would hold up all other connections
	}
}

// serveRequest serves one request. It returns false if the connection ends.
func (d *Dispatcher) serveRequest(c *transport.Client, head *protocol.Head) bool {
	memory := newRequestMemory(d.requestMemory)
	request, err := d.readTransaction(c, head, memory)
	if err != nil {
		memory.release()
		c.RequestMemoryReleased()
		d.rejectUnread(c, request, err)
		return false
	}
	t := &tx{request: request, client: c, memory: memory}
	switch {
	case !c.MarkActive():
		memory.release()
		return false
	case request.GatewayPath == "" && request.RemainingBody == nil && c.ReadAhead() != nil: // its close could not be noticed
		d.Counters.RejectedForUnread.Add(1)
		memory.release()
		d.rejectUnsent(c, request, "too much at once")
		return false
	case c.PeerClosed(): // while the request waited behind another one, or to be accepted
		d.Counters.ClientLeftBeforeAdmission.Add(1)
		memory.release()
		return false
	case request.GatewayPath != "":
		memory.release()
		request.Close = request.Close || d.closesClientConns() || request.RemainingBody != nil
		return d.serveGatewayPath(c, request) == nil && !request.Close && !c.OverLimit
	}
	t.startedAt, t.done, t.pipelined = time.Now(), make(chan struct{}), c.Pipelined()
	if request.RemainingBody != nil {
		t.bodyWriters = make(chan *transport.BodyWriter, maxBodyWritersPerTransaction)
	}
	return d.admit(t) && (request.RemainingBody == nil || d.forwardBody(t)) && d.awaitResponse(t)
}

// awaitResponse watches the connection while hops are in flight, as a client that leaves only closes it. respond writes
// the response. It returns false if the connection ends.
func (d *Dispatcher) awaitResponse(t *tx) bool {
	switch err := t.client.WatchForClose(t.isDone); {
	case errors.Is(err, transport.ErrTooMuchUnread):
		d.abandonUnwatched(t)
		<-t.done
		t.client.DiscardInput()
		return false
	case err != nil:
		if !d.clientLeft(t) {
			d.cancelStream(t)
			<-t.done
		}
		return false
	}
	return true
}

// readTransaction reads a request; a head that does not fit the connection's buffer is read again in a larger one.
func (d *Dispatcher) readTransaction(c *transport.Client, head *protocol.Head, memory *requestMemory) (*protocol.Transaction, error) {
	sendContinue := func() error { return c.Write(net.Buffers{protocol.ContinueResponse}) }
	request, err := protocol.ReadTransaction(c.Reader, head, sendContinue, memory)
	if !errors.Is(err, protocol.ErrHeadTooLong) {
		return request, err
	}
	switch err := c.GrowReader(); {
	case errors.Is(err, transport.ErrNoMemory):
		return nil, protocol.ErrNoMemory
	case err != nil:
		return nil, protocol.ErrHeadTooLong
	}
	return protocol.ReadTransaction(c.Reader, head, sendContinue, memory)
}

// abandonUnwatched answers a transaction whose client has sent so much behind it that its close could not be noticed, and
// further hops could be sent after it.
func (d *Dispatcher) abandonUnwatched(t *tx) {
	d.callCore(func(now time.Duration) {
		if t.answered {
			return
		}
		t.inputPending = true
		d.Counters.AbandonedForUnread.Add(1)
		d.Abandon(t.id)
		d.core.ClientLeft(now, t.id)
	})
}

// serveGatewayPath answers a request for a path of the gateway itself.
func (d *Dispatcher) serveGatewayPath(c *transport.Client, request *protocol.Transaction) error {
	status, text := 404, "not here\n"
	switch request.GatewayPath {
	case protocol.ReadyPath:
		if status, text = 503, "not ready\n"; d.Ready() {
			status, text = 200, "ready\n"
		}
	case "/counters":
		status, text = 200, d.CountersText()
	}
	return c.Write(withoutBody(request, protocol.TextResponse(status, text, 0, request.Close)))
}

// withoutBody drops the body of a response to a HEAD request.
func withoutBody(request *protocol.Transaction, response net.Buffers) net.Buffers {
	if request.HeadOnly {
		return response[:min(len(response), 2)]
	}
	return response
}
