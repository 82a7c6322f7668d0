package transport

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// ErrTurned is a message that is not whole as its process ends.
var ErrTurned = errors.New("not whole as the process ends")

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, clientBuffer) }}

// release gives the buffer back.
func (c *Client) release() {
	if c.R != nil {
		c.R.Reset(nil)
		readers.Put(c.R)
		c.R = nil
	}
}

// Await waits for the first byte of a message. Until it comes the connection may be closed, and is where it has nothing to say
// for long.
func (c *Client) Await() error {
	if c.R == nil || c.R.Buffered() == 0 {
		c.release()
		if len(c.ahead) == 0 {
			if err := c.quiet(); err != nil {
				return err
			}
		}
		c.R = readers.Get().(*bufio.Reader)
		c.R.Reset((*paced)(c))
	}
	if !c.becomes(torn) { // closed just as something came: unread, the client sends it again elsewhere
		return net.ErrClosed
	}
	c.base, c.allow, c.got, c.whole, c.lost = time.Now(), headWithin, 0, false, c.front.keep.Load() <= 0
	if early, _ := c.R.Peek(c.R.Buffered()); len(early) > 0 {
		c.keep(early)
	}
	switch {
	case c.Over:
		c.allow = crowdWithin
	case !c.spoke:
		c.base = c.came
	}
	return c.nc.SetReadDeadline(c.base.Add(c.allow))
}

// quiet waits while nothing is owed.
func (c *Client) quiet() error {
	until := c.came.Add(silentMost)
	switch {
	case c.Over:
		until = time.Now().Add(crowdWithin)
	case c.spoke:
		until = c.rest()
	}
	c.sayBy(until)
	err := c.see.wait()
	switch {
	case err != nil && c.see.any(): // as its time was up
		err = nil
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.spoke && !c.Over && c.front.turning.Load() == untaken:
		err = ErrTurned // it has only just come
	}
	return err
}

// paced reads a client's messages. A body may take its time, at the pace that is owed.
type paced Client

func (p *paced) Read(b []byte) (int, error) {
	if p.got > 0 && !p.last.Load() {
		until := p.base.Add(p.allow + time.Duration(p.got)*time.Second/bodyPace)
		if p.got > clientBuffer { // it is within a body
			until = earlier(until, time.Now().Add(bodySilent))
		}
		if !(*Client)(p).readBy(until) {
			return 0, os.ErrDeadlineExceeded
		}
	}
	if p.turned() {
		return 0, ErrTurned
	}
	n := copy(b, p.ahead)
	var err error
	if p.ahead = p.ahead[n:]; n == 0 {
		if n, err = p.nc.Read(b); errors.Is(err, os.ErrDeadlineExceeded) && p.turned() {
			err = ErrTurned
		}
	}
	p.got += n
	(*Client)(p).keep(b[:n])
	return n, err
}

// turned tells whether the message is turned away.
func (p *paced) turned() bool {
	switch p.front.turning.Load() {
	case untaken:
		return !p.whole
	case all:
		return !p.last.Load()
	}
	return false
}

// readBy is until when what is read now is to come; it is false where a Look has come.
func (c *Client) readBy(until time.Time) bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	if c.stays && c.look {
		return false
	}
	c.nc.SetReadDeadline(until)
	return true
}

// Waited is the time for which a message was not read, as a host took it slowly; its client is not slow by that.
func (c *Client) Waited(d time.Duration) { c.base = c.base.Add(d) }

// Coming says that the message is taken and still comes.
func (c *Client) Coming() {
	c.front.mu.Lock()
	c.feeds = true
	c.front.mu.Unlock()
}

// Heard says that the message has come whole, where that was not so when it was taken.
func (c *Client) Heard() {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.feeds, c.early = false, c.R.Buffered() > 0
	c.nc.SetReadDeadline(time.Time{})
}

// keep keeps what comes of a message that may be handed over, as long as there is room for that.
func (c *Client) keep(b []byte) {
	if c.lost || c.whole || len(b) == 0 {
		return
	}
	if c.lost = c.front.keep.Add(-int64(len(b))) < 0; !c.lost {
		c.raw = append(c.raw, b...)
		return
	}
	c.front.keep.Add(int64(len(b)))
	c.dropKept()
}

func (c *Client) dropKept() {
	c.front.keep.Add(int64(len(c.raw)))
	c.raw = nil
}

// Kept is all that has come of a message that is turned away, where it was kept.
func (c *Client) Kept() (raw []byte, all bool) { return append(c.raw, c.ahead...), !c.lost }
