package transport

import (
	"errors"
	"io"
	"os"
	"time"
)

// WatchForClose waits until answered returns true and the client's next request begins; it returns an error
// as soon as the client closes the connection, and ErrTooMuchUnread if it sends so much that its close could not be
// noticed. It is called once the whole request has been read. Bytes of the next request that arrive before the
// response stay unread, or are read ahead, and a close is noticed behind them as well.
//
// Once the request has its response the connection counts as idle, with the idle deadline, even though this
// call still waits: counted as active until their next request, clients that send a single one would hold all
// slots for good.
func (c *Client) WatchForClose(answered func() bool) error {
	if c.Reader.Buffered() == 0 {
		c.releaseReader()
	}
	if c.Reader == nil && len(c.inherited) == 0 {
		err := c.socket.waitReadable()
		if errors.Is(err, os.ErrDeadlineExceeded) && c.socket.readable() { // arrived as the deadline passed
			err = nil
		}
		if err != nil {
			return err
		}
	}
	return c.waitAnswered(answered)
}

// waitAnswered waits until answered returns true, and reads ahead meanwhile. It returns ErrTooMuchUnread, or io.EOF if
// the client closes the connection.
func (c *Client) waitAnswered(answered func() bool) error {
	c.setWaiting(true)
	defer c.setWaiting(false)
	for !answered() {
		if err := c.ReadAhead(); err != nil {
			return err
		}
		err := c.socket.waitPeerClosedOrUnread(maxUnreadBytes)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.conn.SetReadDeadline(time.Time{}) // before answered is called: a Wake from now on ends the next wait
		case err != nil || c.socket.peerClosed():
			return io.EOF
		}
	}
	return nil
}

// WaitUnlessClosed waits until done returns true; it returns false if the client closes the connection
// before. done is called at the start and after each Wake.
func (c *Client) WaitUnlessClosed(done func() bool) bool {
	c.setWaiting(true)
	defer c.setWaiting(false)
	for !done() {
		if err := c.socket.waitPeerClosed(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		c.conn.SetReadDeadline(time.Time{}) // before done is called: a Wake from now on ends the next wait
	}
	return true
}

// setWaiting switches the reaction to Wake on or off.
func (c *Client) setWaiting(on bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.waiting, c.woken = on, false; on {
		c.conn.SetReadDeadline(time.Time{})
	}
}

// ReadWhileWaiting calls read once, unless done returns true, and returns its result. Wake interrupts the
// read: if done then returns true the error is nil. It reads a body ahead of need because a client's close is
// queued behind the data it has sent, and is not noticed while that data does not fit the socket's receive
// buffer.
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

// Wake has WaitUnlessClosed and ReadWhileWaiting call done again. Outside of these it has no effect.
func (c *Client) Wake() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.waiting { // else it would interrupt an unrelated read
		c.woken = true
		c.conn.SetReadDeadline(time.Now())
	}
}

// PeerClosed reports whether the client has closed the connection, even if unread bytes come before that.
func (c *Client) PeerClosed() bool { return c.socket.peerClosed() }
