package transport

import (
	"io"
	"net"
	"os"
	"time"
)

// ErrWriteTimeout is a client that did not take all in time.
var ErrWriteTimeout = os.ErrDeadlineExceeded

// Write answers the client.
func (c *Client) Write(b net.Buffers) error { return c.WriteWithDeadline(b, time.Now()) }

// WriteWithDeadline answers a client that waits until then, and may read slowly.
func (c *Client) WriteWithDeadline(b net.Buffers, deadline time.Time) error {
	if earliest := time.Now().Add(minWriteTimeout); deadline.Before(earliest) {
		deadline = earliest
	}
	c.conn.SetWriteDeadline(deadline)
	_, err := b.WriteTo(c.conn)
	return err
}

// WriteStream writes a piece of a streamed answer; its client may take it slowly. It gives back what could not be written, soon where there is
// something else to do meanwhile.
func (c *Client) WriteStream(b net.Buffers, brief bool) (net.Buffers, error) {
	timeout := streamWriteTimeout
	if brief {
		timeout = streamWriteBriefTimeout
	}
	c.conn.SetWriteDeadline(time.Now().Add(timeout))
	_, err := b.WriteTo(c.conn)
	return b, err
}

// InterruptWrite ends the writing of a piece.
func (c *Client) InterruptWrite() { c.conn.SetWriteDeadline(time.Now()) }

// WriteFinal writes a last answer and lets the client read it: closed with input unread the connection would be reset, and
// the answer lost with it.
func (c *Client) WriteFinal(b net.Buffers) {
	if c.Write(b) == nil && c.conn.(*net.TCPConn).CloseWrite() == nil && c.setState(stateFinished) {
		c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.conn, maxLingerBytes)
	}
}

// CloseWrite says that the last answer is written while its message still comes: what comes is to be dropped for a moment.
func (c *Client) CloseWrite() {
	c.discarding.Store(true)
	c.conn.(*net.TCPConn).CloseWrite()
	c.setState(stateFinished)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.streamingBody = false
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// DiscardInput reads what still comes after CloseWrite.
func (c *Client) DiscardInput() { io.CopyN(io.Discard, c.conn, maxLingerBytes) }

// Reset ends the connection within an answer so that its client can tell, whatever the answer's form.
func (c *Client) Reset() {
	c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
}
