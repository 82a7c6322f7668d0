package transport

import (
	"io"
	"net"
	"os"
	"time"
)

// ErrSlow is a client that did not take all in time.
var ErrSlow = os.ErrDeadlineExceeded

// Write answers the client.
func (c *Client) Write(b net.Buffers) error { return c.WriteBy(b, time.Now()) }

// WriteBy answers a client that waits until then, and may read slowly.
func (c *Client) WriteBy(b net.Buffers, until time.Time) error {
	if least := time.Now().Add(writeWithin); until.Before(least) {
		until = least
	}
	c.nc.SetWriteDeadline(until)
	_, err := b.WriteTo(c.nc)
	return err
}

// Piece writes a piece of a streamed answer; its client may take it slowly. It gives back what could not be written, soon where there is
// something else to do meanwhile.
func (c *Client) Piece(b net.Buffers, soon bool) (net.Buffers, error) {
	within := pieceWithin
	if soon {
		within = pieceSoon
	}
	c.nc.SetWriteDeadline(time.Now().Add(within))
	_, err := b.WriteTo(c.nc)
	return b, err
}

// Nudge ends the writing of a piece.
func (c *Client) Nudge() { c.nc.SetWriteDeadline(time.Now()) }

// End writes a last answer and lets the client read it: closed with input unread the connection would be reset, and
// the answer lost with it.
func (c *Client) End(b net.Buffers) {
	if c.Write(b) == nil && c.nc.(*net.TCPConn).CloseWrite() == nil && c.becomes(ended) {
		c.nc.SetReadDeadline(time.Now().Add(lingerWithin))
		io.CopyN(io.Discard, c.nc, lingerMost)
	}
}

// Finish says that the last answer is written while its message still comes: what comes is to be dropped for a moment.
func (c *Client) Finish() {
	c.last.Store(true)
	c.nc.(*net.TCPConn).CloseWrite()
	c.becomes(ended)
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.feeds = false
	c.nc.SetReadDeadline(time.Now().Add(lingerWithin))
}

// Drop reads what still comes after Finish.
func (c *Client) Drop() { io.CopyN(io.Discard, c.nc, lingerMost) }

// Cut ends the connection within an answer so that its client can tell, whatever the answer's form.
func (c *Client) Cut() {
	c.nc.(*net.TCPConn).SetLinger(0)
	c.nc.Close()
}
