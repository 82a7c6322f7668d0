package transport

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// ErrShuttingDown is a message that is not whole as its process ends.
var ErrShuttingDown = errors.New("not whole as the process ends")

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, clientBufferSize) }}

// releaseReader gives the buffer back.
func (c *Client) releaseReader() {
	if c.Reader != nil {
		c.Reader.Reset(nil)
		readerPool.Put(c.Reader)
		c.Reader = nil
	}
}

// AwaitRequest waits for the first byte of a message. Until it comes the connection may be closed, and is where it has nothing to say
// for long.
func (c *Client) AwaitRequest() error {
	if c.Reader == nil || c.Reader.Buffered() == 0 {
		c.releaseReader()
		if len(c.inherited) == 0 {
			if err := c.awaitFirstByte(); err != nil {
				return err
			}
		}
		c.Reader = readerPool.Get().(*bufio.Reader)
		c.Reader.Reset((*pacedReader)(c))
	}
	if !c.setState(stateReading) { // closed just as something came: unread, the client sends it again elsewhere
		return net.ErrClosed
	}
	c.readStart, c.readTimeout, c.received, c.dispatched, c.retainOverflow = time.Now(), requestTimeout, 0, false, c.listener.retainBudget.Load() <= 0
	if pipelined, _ := c.Reader.Peek(c.Reader.Buffered()); len(pipelined) > 0 {
		c.retain(pipelined)
	}
	switch {
	case c.OverLimit:
		c.readTimeout = overLimitTimeout
	case !c.sentRequest:
		c.readStart = c.acceptedAt
	}
	return c.conn.SetReadDeadline(c.readStart.Add(c.readTimeout))
}

// awaitFirstByte waits while nothing is owed.
func (c *Client) awaitFirstByte() error {
	deadline := c.acceptedAt.Add(newClientTimeout)
	switch {
	case c.OverLimit:
		deadline = time.Now().Add(overLimitTimeout)
	case c.sentRequest:
		deadline = c.becomeIdle()
	}
	c.setIdleDeadline(deadline)
	err := c.socket.waitReadable()
	switch {
	case err != nil && c.socket.readable(): // as its time was up
		err = nil
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.sentRequest && !c.OverLimit && c.listener.rejecting.Load() == rejectUndispatched:
		err = ErrShuttingDown // it has only just come
	}
	return err
}

// pacedReader reads a client's messages. A body may take its time, at the pace that is owed.
type pacedReader Client

func (r *pacedReader) Read(b []byte) (int, error) {
	if r.received > 0 && !r.discarding.Load() {
		deadline := r.readStart.Add(r.readTimeout + time.Duration(r.received)*time.Second/bodyMinRate)
		if r.received > clientBufferSize { // it is within a body
			deadline = earlier(deadline, time.Now().Add(bodySilenceTimeout))
		}
		if !(*Client)(r).setReadDeadline(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
	}
	if r.rejected() {
		return 0, ErrShuttingDown
	}
	n := copy(b, r.inherited)
	var err error
	if r.inherited = r.inherited[n:]; n == 0 {
		if n, err = r.conn.Read(b); errors.Is(err, os.ErrDeadlineExceeded) && r.rejected() {
			err = ErrShuttingDown
		}
	}
	r.received += n
	(*Client)(r).retain(b[:n])
	return n, err
}

// rejected tells whether the message is turned away.
func (r *pacedReader) rejected() bool {
	switch r.listener.rejecting.Load() {
	case rejectUndispatched:
		return !r.dispatched
	case rejectIncomplete:
		return !r.discarding.Load()
	}
	return false
}

// setReadDeadline is until when what is read now is to come; it is false where a Wake has come.
func (c *Client) setReadDeadline(deadline time.Time) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.waiting && c.woken {
		return false
	}
	c.conn.SetReadDeadline(deadline)
	return true
}

// ExtendReadTime is the time for which a message was not read, as a host took it slowly; its client is not slow by that.
func (c *Client) ExtendReadTime(d time.Duration) { c.readStart = c.readStart.Add(d) }

// BeginBody says that the message is taken and still comes.
func (c *Client) BeginBody() {
	c.listener.mu.Lock()
	c.streamingBody = true
	c.listener.mu.Unlock()
}

// EndBody says that the message has come whole, where that was not so when it was taken.
func (c *Client) EndBody() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.streamingBody, c.pipelined = false, c.Reader.Buffered() > 0
	c.conn.SetReadDeadline(time.Time{})
}

// retain keeps what comes of a message that may be handed over, as long as there is room for that.
func (c *Client) retain(b []byte) {
	if c.retainOverflow || c.dispatched || len(b) == 0 {
		return
	}
	if c.retainOverflow = c.listener.retainBudget.Add(-int64(len(b))) < 0; !c.retainOverflow {
		c.retained = append(c.retained, b...)
		return
	}
	c.listener.retainBudget.Add(int64(len(b)))
	c.dropRetained()
}

func (c *Client) dropRetained() {
	c.listener.retainBudget.Add(int64(len(c.retained)))
	c.retained = nil
}

// Retained is all that has come of a message that is turned away, where it was kept.
func (c *Client) Retained() (received []byte, complete bool) {
	return append(c.retained, c.inherited...), !c.retainOverflow
}
