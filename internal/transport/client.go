package transport

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

// Client is one client's connection. The goroutine of its handler is the only one that reads; whoever has the
// response writes it.
//
// Reader holds the request being read, from AwaitRequest to WatchForClose; an idle connection has no buffer.
// OverLimit is set on a connection without a slot of the connection limit, which is to get one response and
// be closed.
type Client struct {
	Reader     *bufio.Reader
	OverLimit  bool
	listener   *Listener
	conn       net.Conn
	socket     socketState
	acceptedAt time.Time

	// The request being read; used by the connection's goroutine alone, but for discarding.
	readStart      time.Time     // the time limits on reading count from here
	readTimeout    time.Duration // for the head, and added to the time for the body
	received       int           // bytes read so far
	inherited      []byte        // bytes that the previous process had read, or that were read ahead; returned before those of the socket
	readAhead      int           // bytes reserved for those that were read ahead
	retained       []byte        // a copy of the bytes read, for the next process
	retainOverflow bool          // retained is not complete, as the budget for it was used up
	dispatched     bool          // MarkActive was called: at least the head has been handled
	forwarding     bool          // within its body, announced by BeginBody
	arrival        bodyArrival   // of that body
	discarding     atomic.Bool   // the rest of the request is read only to be thrown away
	reclaimed      atomic.Bool   // the memory of its incomplete request is needed for others

	// All that follows is guarded by the listener's lock.
	state         connState
	stateSince    time.Time
	sentRequest   bool // a request has been received on this connection
	closed        bool // closed by the listener, with no response outstanding
	pipelined     bool // part of the next request has been read
	waiting       bool // within WaitUnlessClosed or ReadWhileWaiting
	woken         bool // Wake was called since
	holdsSlot     bool // remove must release a slot of the connection limit
	streamingBody bool // the request is dispatched and its body still arrives

	memoryReleased func() // called once the memory of a request whose reclaimed is set is free; nil after that
}

// connState is what a client's connection is doing. The order is that of eviction: connections of a lower
// state are closed first.
type connState int

const (
	stateFinished connState = iota // the last response is written; input is discarded
	stateNew                       // accepted, no byte read yet
	stateReading                   // part of a request has been read
	stateIdle                      // between requests
	stateActive                    // a request awaits its response
)

// serve runs the handler in a new goroutine and closes the connection when it returns.
func (c *Client) serve(handle func(*Client)) {
	go func() {
		defer c.remove()
		handle(c)
	}()
}

// remove closes the connection, unregisters it, and gives back its slot and buffer.
func (c *Client) remove() {
	c.dropRetained()
	c.releaseReadAhead()
	c.listener.mu.Lock()
	delete(c.listener.clients, c)
	c.endReclaim()
	if c.state == stateIdle {
		c.listener.idleClients--
	}
	if !c.OverLimit {
		c.listener.admitted--
	}
	holdsSlot := c.holdsSlot
	c.listener.mu.Unlock()
	c.conn.Close()
	c.releaseReader()
	switch {
	case c.OverLimit:
		<-c.listener.overLimitSlots
	case holdsSlot:
		c.listener.limit.Release()
	}
}

// setState records what the connection does from now on. It returns false if the connection has been closed
// by the listener or is not registered any more.
func (c *Client) setState(state connState) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if _, open := c.listener.clients[c]; !open { // the handler has returned: the connection is not counted any more
		return false
	}
	if c.state == stateIdle {
		c.listener.idleClients--
	}
	c.state, c.stateSince = state, time.Now()
	switch state {
	case stateActive:
		c.sentRequest, c.pipelined = true, c.Reader.Buffered() > 0 || len(c.inherited) > 0
		c.endReclaim()
		c.reclaimed.Store(false) // it was complete just before, and the next one is not to end for it
	case stateIdle:
		c.listener.idleClients++
	}
	return !c.closed
}

// MarkActive records that a request has been received, at least to the end of its head, and awaits its
// response. A connection over the limit tries for a slot again, for overLimitSlotTimeout, as a client that has sent a
// request goes before those that only hold a connection, and connections to hosts become idle. It returns false if
// the connection has been closed meanwhile; the request is not to be handled then.
func (c *Client) MarkActive() bool {
	c.dispatched = true
	c.dropRetained()
	open := c.setState(stateActive)
	c.conn.SetReadDeadline(time.Time{}) // after setState: before it, reject may set a deadline, which would look like the client's close
	if c.OverLimit && c.listener.acquireSlotWithin(overLimitSlotTimeout) {
		c.OverLimit = false
		c.listener.mu.Lock()
		c.holdsSlot = true
		c.listener.admitted++
		c.listener.mu.Unlock()
		<-c.listener.overLimitSlots
	}
	return open
}

// Pipelined reports whether some of the client's next request has been read.
func (c *Client) Pipelined() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.pipelined
}

// MarkIdle records that the request has its response, and starts the idle time-out.
func (c *Client) MarkIdle() { c.setIdleDeadline(c.becomeIdle()) }

// becomeIdle puts the connection into stateIdle and returns when its idle time-out ends. It may close another
// connection that has been idle for longer (see trimIdle).
func (c *Client) becomeIdle() time.Time {
	c.setState(stateIdle)
	c.listener.trimIdle()
	return time.Now().Add(clientIdleTimeout)
}

// setIdleDeadline sets until when the connection may stay idle: the given deadline, or sooner during a drain
// or shutdown. It holds the listener's lock, so that a connection that becomes idle just as a drain begins is
// closed with the drain and not after its whole idle time.
func (c *Client) setIdleDeadline(deadline time.Time) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case c.listener.closing:
		deadline = time.Now().Add(closeGrace)
	case c.listener.draining:
		deadline = earlier(deadline, later(c.listener.drainDeadline, time.Now().Add(overLimitTimeout)))
	}
	c.conn.SetReadDeadline(deadline)
}

// Close closes the connection. Its slot becomes free only when its handler returns.
func (c *Client) Close() { c.conn.Close() }
