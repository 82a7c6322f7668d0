package transport

import (
	"errors"
	"io"
	"os"
	"time"
)

// Watch waits until the client closes, or the message is settled and the next one comes; it is whole now. What comes before that waits its
// turn, and its client may close all the same. Once the message is answered, be it that the client says nothing, the connection is idle, and
// closed as such: counted as busy until the next message, those of clients that ask once would take all room for good.
func (c *Client) Watch(settled func() bool) error {
	if c.R.Buffered() == 0 {
		c.release()
		err := c.see.wait()
		if errors.Is(err, os.ErrDeadlineExceeded) && c.see.any() { // as its time was up
			err = nil
		}
		if err != nil {
			return err
		}
	}
	if !c.Stays(settled) {
		return io.EOF
	}
	return nil
}

// Stays waits until something has come about, which is looked at again with each Look; it is false where the client closes before that.
func (c *Client) Stays(until func() bool) bool {
	c.stay(true)
	defer c.stay(false)
	for !until() {
		if err := c.see.end(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		c.nc.SetReadDeadline(time.Time{}) // before it is looked at: what comes about from now on ends the wait anew
	}
	return true
}

func (c *Client) stay(on bool) {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	if c.stays, c.look = on, false; on {
		c.nc.SetReadDeadline(time.Time{})
	}
}

// Early reads some of what comes until something else has come about, which is looked at again with each Look: its client's end stands behind
// what it has sent, and is not seen as long as that does not fit this machine's socket.
func (c *Client) Early(until func() bool, read func() (int, error)) (n int, err error) {
	c.stay(true)
	defer c.stay(false)
	if until() {
		return 0, nil
	}
	if n, err = read(); errors.Is(err, os.ErrDeadlineExceeded) && until() {
		err = nil
	}
	return n, err
}

// Look has Stays and Early look whether it has come about.
func (c *Client) Look() {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	if c.stays { // else the reading of something else would end
		c.look = true
		c.nc.SetReadDeadline(time.Now())
	}
}

// Gone tells whether the client has closed.
func (c *Client) Gone() bool { return c.see.gone() }
