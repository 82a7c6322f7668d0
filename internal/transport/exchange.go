package transport

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Outcome is how an exchange ended.
type Outcome int

const (
	OutcomeAnswered      Outcome = iota // ReadResponse succeeded
	OutcomeConnectFailed                // no connection could be opened
	OutcomeNotWritten                   // the connection broke before the last byte of the message was written
	OutcomeBroken                       // the connection broke after that, or the response was malformed
	OutcomeTimedOut                     // no complete response by the deadline
	OutcomeCancelled                    // cancelled after the last byte was written
	OutcomeNoSlot                       // no connection came free for it in time: nothing has run, and the host was not contacted
	OutcomeWithdrawn                    // cancelled, or no longer wanted, before the last byte was written: nothing has run
	OutcomeNotAccepted                  // the host has not accepted the whole message in time: nothing has run
)

// Exchange is one message to a host and its response. OnDone is called exactly once.
type Exchange struct {
	BuildMessage func() net.Buffers // called when the message is written, so that it can contain the time that is left
	Deadline     time.Time
	// DeliverBy is until when the host must have the last byte of a message without StreamBody; zero if only Deadline
	// binds. What the host's machine has not acknowledged by then is dropped.
	DeliverBy time.Time
	// StillWanted, if not nil, reports whether the message is still to be sent. It is called at the start and again
	// when a new connection is open, since that may have taken long.
	StillWanted  func() bool
	ReadResponse func(*bufio.Reader) (keepAlive bool, err error) // keepAlive: the connection can be used again
	OnWritten    func()                                          // called when the last byte of the message has been written; may be nil without StreamBody
	OnDone       func(Outcome)                                   // called when the exchange has ended
	// StreamBody is set if BuildMessage returns only the beginning of the message. It is called when that is written,
	// with the writer for the rest, and returns without blocking; false ends the exchange. The time for the response
	// is then an argument of BodyWriter.WriteLast.
	StreamBody func(*BodyWriter) bool
	// SlotWait is the time that the exchange spent waiting for a slot of the connection limit or until a connection
	// may be used again, for which its host is not responsible.
	SlotWait time.Duration

	mu             sync.Mutex
	cancelled      bool
	withdrawing    bool      // CancelIfUnwritten was called
	lastWriteBegun bool      // the last byte has been written or is about to be
	writeOverdue   bool      // a write ended with ErrWriteOverdue
	undelivered    bool      // written, but not delivered by DeliverBy
	stop           func()    // interrupts the exchange; nil before its start and after its end
	hostConn       *hostConn // set when the message is written
}

// SetReadTimeout sets the time for further reads of a response whose head has been read.
func (x *Exchange) SetReadTimeout(timeout time.Duration) {
	x.hostConn.conn.SetReadDeadline(time.Now().Add(timeout))
}

// FullyWritten reports whether the last byte of the message has been written. It is called while the response is read;
// if it returns false the rest of the message is never written.
func (x *Exchange) FullyWritten() bool { return x.hostConn.checkFullyWritten() }

// BodyWriter writes the rest of a message that BuildMessage has begun.
type BodyWriter struct {
	hostConn *hostConn
	exchange *Exchange
}

// Errors of a write that ended before all was written.
var (
	ErrUnwanted     = errors.New("message no longer wanted")
	ErrWriteOverdue = errors.New("host has not accepted the message in time")
)

// WriteLimit is what ends the wait for a host that accepts nothing, or little.
type WriteLimit struct {
	Deadline    time.Time   // of the write
	StillWanted func() bool // called every stillWantedPollInterval
}

// Write writes a further piece within a limit. The host runs nothing before it has the last piece. With every error but
// ErrUnwanted the connection is closed.
func (w *BodyWriter) Write(piece net.Buffers, limit WriteLimit) error {
	err := w.hostConn.write(piece, limit)
	if errors.Is(err, ErrWriteOverdue) {
		w.exchange.markWriteOverdue()
	}
	if err != nil && !errors.Is(err, ErrUnwanted) {
		w.hostConn.conn.Close()
	}
	return err
}

// Abort closes the connection instead of writing the last piece, so that nothing has run.
func (w *BodyWriter) Abort() { w.hostConn.conn.Close() }

// WriteLast writes the last piece; the response must arrive within responseTimeout from then on, and by the deadline of
// the limit. It holds the connection's lock while it writes, so that a host which closes the connection as soon as it has
// the whole message is not taken for one that never had it.
func (w *BodyWriter) WriteLast(piece net.Buffers, responseTimeout time.Duration, limit WriteLimit) error {
	w.hostConn.mu.Lock()
	defer w.hostConn.mu.Unlock()
	if w.hostConn.exchange != w.exchange || !w.exchange.beginLastWrite() {
		return net.ErrClosed
	}
	err := w.Write(piece, WriteLimit{limit.Deadline, func() bool { return limit.StillWanted() && w.exchange.mayWriteOn() }})
	if errors.Is(err, ErrUnwanted) {
		w.exchange.lastWriteEnded()
	}
	if w.hostConn.fullyWritten = err == nil; w.hostConn.fullyWritten {
		w.exchange.Deadline = earlier(limit.Deadline, time.Now().Add(responseTimeout))
		w.hostConn.conn.SetReadDeadline(w.exchange.Deadline)
		w.exchange.OnWritten()
	}
	return err
}

// Cancel ends the exchange: it closes its connection, or stops the attempt to open one.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = true
	if x.stop != nil {
		x.stop()
	}
}

// CancelIfUnwritten ends the exchange unless the last byte of the message has left for the host or is about to. A host
// runs nothing before it has that. A write that waits for the host ends within stillWantedPollInterval.
func (x *Exchange) CancelIfUnwritten() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.withdrawing = true
	if x.lastWriteBegun && (x.stop == nil || x.hostConn.socket.unsent() == 0) {
		return
	}
	x.cancelled = true
	if x.stop != nil {
		x.stop()
	}
}

// mayWriteOn reports, between two writes of a message that its host accepts slowly, whether CancelIfUnwritten was not
// called. The exchange is cancelled otherwise.
func (x *Exchange) mayWriteOn() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = x.cancelled || x.withdrawing
	return !x.cancelled
}

// beginLastWrite records that the last byte of the message is about to be written. It returns false if the exchange was
// cancelled before.
func (x *Exchange) beginLastWrite() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastWriteBegun = !x.cancelled
	return x.lastWriteBegun
}

// lastWriteEnded records that the last piece is not written, as it is no longer wanted: the exchange may still be
// withdrawn, or is now.
func (x *Exchange) lastWriteEnded() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.lastWriteBegun = false; x.cancelled && x.stop != nil {
		x.stop()
	}
}

// markWriteOverdue records that the host has not accepted the message in time.
func (x *Exchange) markWriteOverdue() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.writeOverdue = true
}

// writeDeadline returns until when the message may be written.
func (x *Exchange) writeDeadline() time.Time {
	if x.DeliverBy.IsZero() {
		return x.Deadline
	}
	return earlier(x.DeliverBy, x.Deadline)
}

// endIfUndelivered ends the exchange if its host's machine has not acknowledged the whole message, which has been
// written: what this machine's socket holds of it would be delivered as soon as the host reads on.
func (x *Exchange) endIfUndelivered() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stop != nil && x.hostConn.socket.unacknowledged() > 0 {
		x.undelivered = true
		x.stop()
	}
}

// isWanted reports whether the message is still to be sent.
func (x *Exchange) isWanted() bool { return x.StillWanted == nil || x.StillWanted() }

// setStop sets the function that interrupts the exchange. It returns false if the exchange is already cancelled.
func (x *Exchange) setStop(stop func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stop = stop
	return !x.cancelled
}

// finish returns how the exchange ended, from the result of reading the response. It can't be cancelled from then on.
func (x *Exchange) finish(err error, fullyWritten bool) Outcome {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stop = nil
	switch {
	case err == nil:
		return OutcomeAnswered
	case x.cancelled && !fullyWritten:
		return OutcomeWithdrawn
	case x.cancelled:
		return OutcomeCancelled
	case !fullyWritten && x.writeOverdue:
		return OutcomeNotAccepted
	case !fullyWritten:
		return OutcomeNotWritten
	case x.undelivered, errors.Is(err, os.ErrDeadlineExceeded):
		return OutcomeTimedOut
	}
	return OutcomeBroken
}
