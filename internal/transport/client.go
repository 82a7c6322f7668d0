package transport

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

// Client is a client's connection. OverLimit marks one over the connection limit: it gets one answer. Reader holds from AwaitRequest to
// WatchForClose: one that says nothing has no buffer.
type Client struct {
	Reader     *bufio.Reader
	OverLimit  bool
	listener   *Listener
	conn       net.Conn
	socket     socketState
	acceptedAt time.Time

	readStart      time.Time     // from when the message may take its time; its goroutine's, as are the next ones
	readTimeout    time.Duration // for its head
	received       int           // bytes of it
	inherited      []byte        // what another process has read of it
	retained       []byte        // all that has come of it, for another process
	retainOverflow bool          // that is not all, for want of room
	dispatched     bool          // it is taken, with its head at the least
	discarding     atomic.Bool   // nothing but what is dropped comes any more

	state         connState // guarded by the listener, as is all below
	stateSince    time.Time
	sentRequest   bool // a message of it has come whole
	closed        bool // closed while nothing was owed
	pipelined     bool // some of its next message has been read
	waiting       bool // its end is waited for, or a look
	woken         bool // that has come
	holdsSlot     bool // it has one of the connection limit's
	streamingBody bool // its message is taken and still comes
}

// connState is what a client's connection is at, in the order in which they give way to others.
type connState int

const (
	stateFinished connState = iota // its last answer is written
	stateNew                       // new, and nothing has come yet
	stateReading                   // a message has begun and is not whole
	stateIdle                      // between messages
	stateActive                    // a message waits for its answer
)

func (c *Client) serve(handle func(*Client)) {
	go func() {
		defer c.remove()
		handle(c)
	}()
}

func (c *Client) remove() {
	c.dropRetained()
	c.listener.mu.Lock()
	delete(c.listener.clients, c)
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

// setState notes what the connection is at from now on; it is false where the listener has closed it.
func (c *Client) setState(state connState) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if _, open := c.listener.clients[c]; !open { // its client has left while it was answered: it is counted no more
		return false
	}
	if c.state == stateIdle {
		c.listener.idleClients--
	}
	c.state, c.stateSince = state, time.Now()
	switch state {
	case stateActive:
		c.sentRequest, c.pipelined = true, c.Reader.Buffered() > 0
	case stateIdle:
		c.listener.idleClients++
	}
	return !c.closed
}

// MarkActive says that a message has come whole and is owed an answer. One over the limit takes a place now if others only sit on
// theirs. It is false where the connection has been closed.
func (c *Client) MarkActive() bool {
	c.dispatched = true
	c.dropRetained()
	open := c.setState(stateActive)
	c.conn.SetReadDeadline(time.Time{}) // after that: until then reject may set one, by which the client would seem to have left
	if c.OverLimit && c.listener.acquireSlot() {
		c.OverLimit = false
		c.listener.mu.Lock()
		c.holdsSlot = true
		c.listener.admitted++
		c.listener.mu.Unlock()
		<-c.listener.overLimitSlots
	}
	return open
}

// MarkIdle says that the message has its answer; nothing is owed any more.
func (c *Client) MarkIdle() { c.setIdleDeadline(c.becomeIdle()) }

// becomeIdle makes the connection idle, and tells until when it may be.
func (c *Client) becomeIdle() time.Time {
	c.setState(stateIdle)
	c.listener.trimIdle()
	return time.Now().Add(clientIdleTimeout)
}

// setIdleDeadline is until when a connection may say nothing. It is set under the listener's lock: one that became idle just as clients
// were sent away would stay for all of its time.
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

// Close ends the connection.
func (c *Client) Close() { c.conn.Close() }
