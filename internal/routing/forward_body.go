package routing

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"time"

	"spanmux/internal/membudget"
	"spanmux/internal/transport"
)

// offerBodyWriter offers the connection of a hop to forwardBody for the rest of the body. It returns
// false if the transaction has its response, part of the body was sent to another host, or too many
// hops wait.
func (d *Dispatcher) offerBodyWriter(h *hop, writer *transport.BodyWriter, timeout time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h.tx.bodyForwardStarted || h.tx.answered {
		return false
	}
	select {
	case h.tx.bodyWriters <- writer:
		h.tx.responseTimeout, h.tx.bodyHop = timeout, h
		h.tx.client.Wake()
		return true
	default: // the buffer holds all hops that sensible settings allow
		return false
	}
}

// earlyBody holds what was read of a body before its host was connected.
type earlyBody struct {
	chunks [][]byte
	memory *membudget.Reservation // of the chunks
	err    error                  // follows the chunks; io.EOF is the body's proper end
}

// append adds what was read, for which memory is reserved.
func (e *earlyBody) append(piece []byte) {
	if len(piece) > 0 {
		e.chunks = append(e.chunks, bytes.Clone(piece))
	}
}

// next copies the next chunk to buf, and returns the end of the body with the last one. ok is false if
// there is nothing.
func (e *earlyBody) next(buf []byte) (n int, err error, ok bool) {
	if ok = len(e.chunks) > 0 || e.err != nil; len(e.chunks) > 0 {
		n = copy(buf, e.chunks[0])
		e.chunks = e.chunks[1:]
		e.memory.Shrink(n)
	}
	if len(e.chunks) == 0 {
		err, e.err = e.err, nil
	}
	return n, err, ok
}

// readEarlyBody reads a body before its host is connected, as long as the buffer budget allows.
// Otherwise the gateway would not notice that a client has closed if it had sent more than a socket
// holds.
func (d *Dispatcher) readEarlyBody(t *tx, body *earlyBody, buf []byte, stop func() bool) {
	for body.err == nil && body.memory.Held() < maxEarlyBodyBytes && !stop() && body.memory.Grow(len(buf), d.requestMemory.TryReserveFirstHalf) {
		n, err := t.client.ReadWhileWaiting(stop, func() (int, error) { return t.request.RemainingBody.ReadAvailable(buf) })
		body.append(buf[:n])
		body.memory.Shrink(len(buf) - n)
		if errors.Is(err, transport.ErrShuttingDown) { // it is returned again once the host is connected
			return
		}
		body.err = err
	}
}

// bodyForwarder streams the rest of a transaction's body from its client to a host.
type bodyForwarder struct {
	*Dispatcher
	tx     *tx
	buf    []byte
	writer *transport.BodyWriter // nil until a host is connected, and once its connection is of no more use
	early  earlyBody
}

// forwardBody streams the rest of a body to the host. It returns false if the client's connection ends.
func (d *Dispatcher) forwardBody(t *tx) bool {
	defer d.releaseHostConn()
	buffer := newStreamBuffer(d.requestMemory)
	defer buffer.release()
	f := &bodyForwarder{Dispatcher: d, tx: t, buf: buffer.bytes, early: earlyBody{memory: d.requestMemory.Reservation(0)}}
	defer f.early.memory.Release()
	t.client.BeginBody(t.startedAt)
	for {
		if f.writer == nil && !f.awaitWriter() {
			return false
		}
		n, err := f.readPiece()
		readAt := time.Now()
		switch {
		case errors.Is(err, transport.ErrShuttingDown): // the host never receives all of it
			f.writer.Abort()
			<-t.done
			t.client.DiscardInput()
			return false
		case err != nil && !errors.Is(err, io.EOF) || t.client.PeerClosed():
			return d.abortBody(t, err)
		case err != nil:
			return f.writeLastPiece(f.buf[:n], readAt)
		case n > 0:
			if err := f.writer.Write(t.request.EncodePiece(f.buf[:n], false), t.bodyWriteLimit()); errors.Is(err, transport.ErrUnwanted) {
				return d.abortBody(t, nil)
			} else if err != nil {
				f.writer = nil
			}
		}
		t.client.ExtendReadTime(time.Since(readAt))
		runtime.Gosched() // a body that comes fast would hold up all other connections
		if t.isDone() {
			t.client.DiscardInput()
			return false
		}
	}
}

// awaitWriter waits until a host is connected; what the client sends meanwhile is read ahead. It returns false if the
// transaction ends before that.
func (f *bodyForwarder) awaitWriter() bool {
	t := f.tx
	hostReady := func() bool { return len(t.bodyWriters) > 0 || t.isDone() }
	f.readEarlyBody(t, &f.early, f.buf, hostReady)
	if f.early.err != nil && !errors.Is(f.early.err, io.EOF) {
		return f.abortBody(t, f.early.err)
	}
	if !t.client.WaitUnlessClosed(hostReady) {
		return f.abortBody(t, nil)
	}
	select {
	case f.writer = <-t.bodyWriters:
	default: // the transaction has its response
		t.client.DiscardInput()
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(t.bodyWriters) > 0 { // only the last hop is in flight
		f.writer = <-t.bodyWriters
	}
	t.bodyForwardStarted = true
	return true
}

// readPiece reads the next piece of the body into the buffer.
func (f *bodyForwarder) readPiece() (n int, err error) {
	n, err, buffered := f.early.next(f.buf)
	if !buffered {
		return f.tx.request.RemainingBody.ReadAvailable(f.buf)
	}
	return n, err
}

// writeLastPiece writes the end of the body. It returns false if the client's connection ends.
func (f *bodyForwarder) writeLastPiece(piece []byte, readAt time.Time) bool {
	t := f.tx
	t.client.EndBody()
	alreadyAnswered := false
	f.callCore(func(now time.Duration) {
		alreadyAnswered = t.answered
		t.bodyReceived, t.pipelined, t.startedAt, t.bodyHop.sentAt = true, t.client.Reader.Buffered() > 0, readAt, readAt
		f.core.HopBodySent(now, t.id, t.bodyHop.index)
	})
	switch err := f.writer.WriteLast(t.request.EncodePiece(piece, true), t.responseTimeout, t.bodyWriteLimit()); {
	case errors.Is(err, transport.ErrUnwanted):
		return f.abortBody(t, nil)
	case err != nil:
		<-t.done // the body can't be sent again
	}
	if alreadyAnswered { // the response preceded the end of the body and announced that the connection closes
		<-t.done
	}
	return !alreadyAnswered
}

// bodyWriteLimit returns the limit on the wait for a host as a body is passed on to it. The time of the transaction counts
// from the last byte of its body, which may have come as soon as not all that had come was read.
func (t *tx) bodyWriteLimit() transport.WriteLimit {
	return transport.WriteLimit{Deadline: t.client.BodySentAfter().Add(t.answerWithin()), StillWanted: func() bool { return !t.client.PeerClosed() }}
}

// abortBody handles a body that ends early: its client has left, or has sent something invalid.
func (d *Dispatcher) abortBody(t *tx, err error) bool {
	if d.clientLeft(t) {
		if err != nil {
			d.rejectMalformed(t.client, err)
		}
	} else {
		<-t.done
	}
	return false
}
