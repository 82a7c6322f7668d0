package transport

import (
	"errors"
	"io"
	"os"
	"time"
)

// WatchForClose waits until the client closes, or the message is settled and the next one comes; it is whole now. What comes before that waits its
// turn, and its client may close all the same. Once the message is answered, be it that the client says nothing, the connection is idle, and
// closed as such: counted as busy until the next message, those of clients that ask once would take all room for good.
func (c *Client) WatchForClose(answered func() bool) error {
	if c.Reader.Buffered() == 0 {
		c.releaseReader()
		err := c.socket.waitReadable()
		if errors.Is(err, os.ErrDeadlineExceeded) && c.socket.readable() { // as its time was up
			err = nil
		}
		if err != nil {
			return err
		}
	}
	if !c.WaitUnlessClosed(answered) {
		return io.EOF
	}
	return nil
}

// WaitUnlessClosed waits until something has come about, which is looked at again with each Wake; it is false where the client closes before that.
func (c *Client) WaitUnlessClosed(done func() bool) bool {
	c.setWaiting(true)
	defer c.setWaiting(false)
	for !done() {
		if err := c.socket.waitPeerClosed(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		c.conn.SetReadDeadline(time.Time{}) // before it is looked at: what comes about from now on ends the wait anew
	}
	return true
}

func (c *Client) setWaiting(on bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.waiting, c.woken = on, false; on {
		c.conn.SetReadDeadline(time.Time{})
	}
}

// ReadWhileWaiting reads some of what comes until something else has come about, which is looked at again with each Wake: its client's end stands behind
// what it has sent, and is not seen as long as that does not fit this machine's socket.
func (c *Client) ReadWhileWaiting(done func() bool, read func() (int, error)) (n int, err error) {
	c.setWaiting(true)
	defer c.setWaiting(false)
	if done() {
		return 0, nil
	}
	if n, err = read(); errors.Is(err, os.ErrDeadlineExceeded) && done() {
		err = nil
	}
	return n, err
}

// Wake has WaitUnlessClosed and ReadWhileWaiting look whether it has come about.
func (c *Client) Wake() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.waiting { // else the reading of something else would end
		c.woken = true
		c.conn.SetReadDeadline(time.Now())
	}
}

// PeerClosed tells whether the client has closed.
func (c *Client) PeerClosed() bool { return c.socket.peerClosed() }
