package transport

import (
	"net"
	"os"
	"runtime"
	"sync"
	"time"
)

// ErrWriteTimeout is returned by writes that the client did not take in time, or that InterruptWrite ended.
var ErrWriteTimeout = os.ErrDeadlineExceeded

// Write writes a response, within minWriteTimeout.
func (c *Client) Write(b net.Buffers) error { return c.WriteWithDeadline(b, time.Now()) }

// WriteWithDeadline writes a response until the deadline, but for no less than minWriteTimeout: a client that
// waits for long may also read slowly.
func (c *Client) WriteWithDeadline(b net.Buffers, deadline time.Time) error {
	if earliest := time.Now().Add(minWriteTimeout); deadline.Before(earliest) {
		deadline = earliest
	}
	c.conn.SetWriteDeadline(deadline)
	_, err := b.WriteTo(c.conn)
	return err
}

// WriteStream writes part of a streamed response within streamWriteTimeout, or within briefStreamWriteTimeout
// if brief is set because there is something else to do meanwhile. It returns the bytes that were not
// written.
func (c *Client) WriteStream(b net.Buffers, brief bool) (net.Buffers, error) {
	timeout := streamWriteTimeout
	if brief {
		timeout = briefStreamWriteTimeout
	}
	c.conn.SetWriteDeadline(time.Now().Add(timeout))
	_, err := b.WriteTo(c.conn)
	return b, err
}

// InterruptWrite makes a write in progress return with ErrWriteTimeout.
func (c *Client) InterruptWrite() { c.conn.SetWriteDeadline(time.Now()) }

// WriteFinal writes the last response of the connection, closes the sending side, and discards input for up
// to lingerTimeout. If the connection were closed with input unread, TCP would reset it, and the client could
// lose the response. It is called by the goroutine that reads, which reads no more after it.
func (c *Client) WriteFinal(b net.Buffers) {
	c.releaseReader()
	if c.Write(b) == nil && c.conn.(*net.TCPConn).CloseWrite() == nil && c.setState(stateFinished) {
		c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		c.DiscardInput()
	}
}

// CloseWrite closes the sending side after the last response has been written while the request is still
// arriving. The goroutine that reads has lingerTimeout from now on to discard the rest.
func (c *Client) CloseWrite() {
	c.discarding.Store(true)
	c.conn.(*net.TCPConn).CloseWrite()
	c.setState(stateFinished)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.streamingBody = false
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// discardBuffers are those that are not in use.
var discardBuffers = sync.Pool{New: func() any { return new([discardBufferBytes]byte) }}

// DiscardInput reads and drops what arrives after CloseWrite, up to maxLingerBytes.
func (c *Client) DiscardInput() {
	for discarded := 0; discarded < maxLingerBytes && c.socket.waitReadable() == nil; {
		buffer := discardBuffers.Get().(*[discardBufferBytes]byte)
		n, err := c.conn.Read(buffer[:])
		discardBuffers.Put(buffer)
		if err != nil {
			return
		}
		discarded += n
		runtime.Gosched() // a client that sends fast would hold up all others
	}
}

// Reset aborts the connection with a TCP reset, so that the client can tell that a response is incomplete,
// even one whose end is the end of the connection.
func (c *Client) Reset() {
	c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
}
