package transport

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

// Client is a client's connection. Over marks one for which there is no room: it gets one answer. R holds from Await to
// Watch: one that says nothing has no buffer.
type Client struct {
	R     *bufio.Reader
	Over  bool
	front *Front
	nc    net.Conn
	see   sight
	came  time.Time

	base  time.Time     // from when the message may take its time; its goroutine's, as are the next ones
	allow time.Duration // for its head
	got   int           // bytes of it
	ahead []byte        // what another process has read of it
	raw   []byte        // all that has come of it, for another process
	lost  bool          // that is not all, for want of room
	whole bool          // it is taken, with its head at the least
	last  atomic.Bool   // nothing but what is dropped comes any more

	doing doing // guarded by the front, as is all below
	since time.Time
	spoke bool // a message of it has come whole
	shut  bool // closed while nothing was owed
	early bool // some of its next message has been read
	stays bool // its end is waited for, or a look
	look  bool // that has come
	place bool // it has one in the room
	feeds bool // its message is taken and still comes
}

// doing is what a client's connection is at, in the order in which they give way to others.
type doing int

const (
	ended  doing = iota // its last answer is written
	silent              // new, and nothing has come yet
	torn                // a message has begun and is not whole
	idle                // between messages
	owed                // a message waits for its answer
)

func (c *Client) serve(handle func(*Client)) {
	go func() {
		defer c.leave()
		handle(c)
	}()
}

func (c *Client) leave() {
	c.dropKept()
	c.front.mu.Lock()
	delete(c.front.open, c)
	if c.doing == idle {
		c.front.idle--
	}
	if !c.Over {
		c.front.in--
	}
	place := c.place
	c.front.mu.Unlock()
	c.nc.Close()
	c.release()
	switch {
	case c.Over:
		<-c.front.over
	case place:
		c.front.room.Leave()
	}
}

// becomes notes what the connection is at from now on; it is false where the front has closed it.
func (c *Client) becomes(doing doing) bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	if _, open := c.front.open[c]; !open { // its client has left while it was answered: it is counted no more
		return false
	}
	if c.doing == idle {
		c.front.idle--
	}
	c.doing, c.since = doing, time.Now()
	switch doing {
	case owed:
		c.spoke, c.early = true, c.R.Buffered() > 0
	case idle:
		c.front.idle++
	}
	return !c.shut
}

// Whole says that a message has come whole and is owed an answer. One over the room takes a place now if others only sit on
// theirs. It is false where the connection has been closed.
func (c *Client) Whole() bool {
	c.whole = true
	c.dropKept()
	open := c.becomes(owed)
	c.nc.SetReadDeadline(time.Time{}) // after that: until then turn may set one, by which the client would seem to have left
	if c.Over && c.front.enter() {
		c.Over = false
		c.front.mu.Lock()
		c.place = true
		c.front.in++
		c.front.mu.Unlock()
		<-c.front.over
	}
	return open
}

// Settled says that the message has its answer; nothing is owed any more.
func (c *Client) Settled() { c.sayBy(c.rest()) }

// rest makes the connection idle, and tells until when it may be.
func (c *Client) rest() time.Time {
	c.becomes(idle)
	c.front.thin()
	return time.Now().Add(idleMost)
}

// sayBy is until when a connection may say nothing. It is set under the front's lock: one that became idle just as clients
// were sent away would stay for all of its time.
func (c *Client) sayBy(until time.Time) {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	switch {
	case c.front.closing:
		until = time.Now().Add(lastLook)
	case c.front.away:
		until = earlier(until, later(c.front.by, time.Now().Add(crowdWithin)))
	}
	c.nc.SetReadDeadline(until)
}

// Close ends the connection.
func (c *Client) Close() { c.nc.Close() }
