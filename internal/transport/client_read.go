package transport

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"time"
)

// Errors of reads of a request that the listener ends.
var (
	// ErrShuttingDown is returned by reads of a request that is not complete as the process ends.
	ErrShuttingDown = errors.New("request incomplete as the process ends")
	// ErrNoMemory is returned where there is no memory for a request.
	ErrNoMemory = errors.New("no memory for a request")
	// ErrTooMuchUnread is returned where a client has sent more behind its request than is read ahead.
	ErrTooMuchUnread = errors.New("too much sent behind a request")
	// ErrReclaimed is returned by reads of a request that is not complete as its memory is needed for others.
	ErrReclaimed = errors.New("memory of an incomplete request is needed for others")
)

// readerPool holds the buffers of connections that are reading a request.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, clientReadBufferBytes) }}

// releaseReader returns the buffer to the pool.
func (c *Client) releaseReader() {
	if c.Reader == nil {
		return
	}
	if c.Reader.Size() == clientReadBufferBytes { // else it was grown for one long head
		c.Reader.Reset(nil)
		readerPool.Put(c.Reader)
	} else {
		c.listener.requestMemory.Release(maxHeadBytes)
	}
	c.Reader = nil
}

// GrowReader replaces the buffer of a request whose head does not fit it by one of maxHeadBytes. The error is
// ErrNoMemory if there is no memory for that, and bufio.ErrBufferFull if it was done before.
func (c *Client) GrowReader() error {
	switch {
	case c.Reader.Size() >= maxHeadBytes:
		return bufio.ErrBufferFull
	case !c.listener.requestMemory.Reserve(maxHeadBytes, time.Now().Add(headMemoryTimeout)):
		return ErrNoMemory
	}
	buffered, _ := c.Reader.Peek(c.Reader.Buffered())
	larger := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), (*minRateReader)(c)), maxHeadBytes)
	larger.Peek(len(buffered)) // they count as buffered from now on
	c.releaseReader()
	c.Reader = larger
	return nil
}

// AwaitRequest waits for the first byte of the next request and sets the deadline for the whole of it. While
// it waits the connection is idle: it may be evicted, and is closed at its idle time-out.
//
// It returns ErrShuttingDown if the process ends before a new connection has sent anything, net.ErrClosed if
// the listener closed the connection in the same moment (the client finds the request unread and may send it
// again elsewhere), and else the error of the connection.
func (c *Client) AwaitRequest() error {
	if c.Reader == nil || c.Reader.Buffered() == 0 {
		c.releaseReader()
		if len(c.inherited) == 0 {
			if err := c.awaitFirstByte(); err != nil {
				return err
			}
		}
		c.Reader = readerPool.Get().(*bufio.Reader)
		c.Reader.Reset((*minRateReader)(c))
	}
	if !c.setState(stateReading) { // evicted as its first byte came
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

// awaitFirstByte waits until there is something to read, for as long as a connection in its state may stay
// silent.
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
	case err != nil && c.socket.readable(): // arrived as the deadline passed
		err = nil
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.sentRequest && !c.OverLimit && c.listener.rejecting.Load() == rejectUndispatched:
		err = ErrShuttingDown // accepted just before the end: hand it over, don't close it
	}
	return err
}

// minRateReader reads a client's requests under deadlines that move with what has arrived: in addition to the
// time for the head, a body gets a second for each minBodyBytesPerSecond bytes, and may not pause for longer
// than bodySilenceTimeout.
type minRateReader Client

// Read implements io.Reader. It returns os.ErrDeadlineExceeded if the client is too slow or Wake is called,
// and ErrShuttingDown if the request is rejected as the process ends.
func (r *minRateReader) Read(b []byte) (int, error) {
	if r.received > 0 && !r.discarding.Load() {
		deadline := r.readStart.Add(r.readTimeout + time.Duration(r.received)*time.Second/minBodyBytesPerSecond)
		if r.received > maxHeadBytes { // more than a head can be: within a body
			deadline = earlier(deadline, time.Now().Add(bodySilenceTimeout))
		}
		if !(*Client)(r).setReadDeadline(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
	}
	if err := r.interruption(); err != nil {
		return 0, err
	}
	n := copy(b, r.inherited)
	var err error
	if r.inherited = r.inherited[n:]; len(r.inherited) == 0 {
		(*Client)(r).releaseReadAhead()
	}
	if n == 0 {
		n, err = (*Client)(r).readSocket(b)
		runtime.Gosched() // input that comes fast and costs much to parse would hold up all other connections
	}
	r.received += n
	(*Client)(r).retain(b[:n])
	return n, err
}

// readSocket reads from the socket, and follows the arrival of a body that is passed on meanwhile.
func (c *Client) readSocket(b []byte) (n int, err error) {
	waits := c.forwarding && !c.socket.readable()
	if n, err = c.conn.Read(b); errors.Is(err, os.ErrDeadlineExceeded) {
		err = cmp.Or((*minRateReader)(c).interruption(), err)
	}
	switch {
	case waits:
		c.arrival.readAfterWait(n, time.Now())
	case c.forwarding:
		c.arrival.read(n, time.Now(), c.socket.unread)
	}
	return n, err
}

// interruption returns the error of a request that is not read on as the listener has ended it, else nil.
func (r *minRateReader) interruption() error {
	rejecting := r.listener.rejecting.Load()
	switch {
	case r.reclaimed.Load() && !r.dispatched:
		return ErrReclaimed
	case rejecting == rejectUndispatched && !r.dispatched, rejecting == rejectIncomplete && !r.discarding.Load():
		return ErrShuttingDown
	}
	return nil
}

// setReadDeadline sets the deadline of the next read; it returns false, and leaves the deadline alone, if
// Wake was called.
func (c *Client) setReadDeadline(deadline time.Time) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.waiting && c.woken {
		return false
	}
	c.conn.SetReadDeadline(deadline)
	return true
}

// ExtendReadTime adds to the time that the client has for its request. It is called with the time for which
// nothing was read because a host accepted the body slowly, which is not the client's fault.
func (c *Client) ExtendReadTime(d time.Duration) { c.readStart = c.readStart.Add(d) }

// BeginBody records that the request, whose head was read at the given time, is dispatched while its body still arrives.
func (c *Client) BeginBody(headReadAt time.Time) {
	c.forwarding = true
	c.arrival.begin(headReadAt)
	c.listener.mu.Lock()
	c.streamingBody = true
	c.listener.mu.Unlock()
}

// BodySentAfter returns a time that is before the client sent the last byte of the body announced by BeginBody. What has
// arrived since then may wait unread in the sockets, and the last byte with it.
func (c *Client) BodySentAfter() time.Time { return c.arrival.sentAfter }

// EndBody records that the body announced by BeginBody has been read to its end, and clears the read deadline.
func (c *Client) EndBody() {
	c.forwarding = false
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.streamingBody, c.pipelined = false, c.Reader.Buffered() > 0 || len(c.inherited) > 0
	c.conn.SetReadDeadline(time.Time{})
}

// ReadAhead reads what has arrived behind a whole request, if that is so much that the client's close may not get
// through: it stays with the client's system until there is room. It returns ErrTooMuchUnread if there is no end to it.
func (c *Client) ReadAhead() error {
	for {
		unread, known := c.socket.unread()
		if !known || unread <= maxUnreadBytes {
			return nil
		}
		if len(c.inherited) >= maxReadAheadBytes || !c.listener.requestMemory.TryReserve(readAheadPieceBytes) {
			return ErrTooMuchUnread
		}
		c.readAhead += readAheadPieceBytes
		piece := make([]byte, readAheadPieceBytes)
		c.inherited = append(c.inherited, piece[:c.socket.readNow(piece)]...)
		c.listener.mu.Lock()
		c.pipelined = true
		c.listener.mu.Unlock()
	}
}

// releaseReadAhead gives back the memory of what was read ahead.
func (c *Client) releaseReadAhead() {
	c.listener.requestMemory.Release(c.readAhead)
	c.readAhead = 0
}

// retain copies bytes of a request that may have to be handed over to the next process, as long as the budget
// of the listener allows; once it does not, what was copied of the request is of no use and is dropped.
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

// dropRetained gives the bytes of the copy back to the budget.
func (c *Client) dropRetained() {
	c.listener.retainBudget.Add(int64(len(c.retained)))
	c.retained = nil
}

// Retained returns the bytes that have been received of a request that ended with ErrShuttingDown. complete
// is false if some of them were not retained; the request can't be handed over then.
func (c *Client) Retained() (received []byte, complete bool) {
	return append(c.retained, c.inherited...), !c.retainOverflow
}
