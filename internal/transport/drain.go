package transport

import "time"

// Which requests are rejected as the process ends (Listener.rejecting).
const (
	rejectUndispatched = 1 + iota // incomplete, and no host has any of it
	rejectIncomplete              // incomplete
)

// SetDraining starts or ends a drain. The listener stays open, as clients keep coming for a while. During a
// drain responses are to say that the connection closes, and idle connections, which get no further response,
// are closed one after the other between drainFirstCloseDelay and drainLastCloseDelay: closed all at once, their
// clients would arrive at the other gateways in one moment. Ending the drain does not keep connections open whose
// response has announced the close.
func (l *Listener) SetDraining(draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining == draining {
		return
	}
	if l.draining = draining; draining {
		l.scheduleIdleCloses(drainFirstCloseDelay, drainLastCloseDelay)
	}
}

// Draining reports whether clients are being drained, by SetDraining or HandOver.
func (l *Listener) Draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// scheduleIdleCloses spreads the closing of all idle connections evenly between two times from now. The
// caller holds the lock.
func (l *Listener) scheduleIdleCloses(first, last time.Duration) {
	n, now := time.Duration(0), time.Now()
	l.drainDeadline = now.Add(last)
	for c := range l.clients { // in any order: each gets a time of its own
		if c.state == stateIdle && !c.closed {
			c.conn.SetReadDeadline(now.Add(first + (last-first)*n/time.Duration(l.idleClients)))
			n++
		}
	}
}

// HandOver stops accepting, which leaves connections that wait in the accept queue to the process that shares
// the listening socket, closes idle connections within handoverLastCloseDelay, and goes on with the others until they
// have their response. Incomplete requests that have not been dispatched end with ErrShuttingDown from now on,
// so that their handlers can pass them on.
func (l *Listener) HandOver() {
	l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	l.scheduleIdleCloses(handoverFirstCloseDelay, handoverLastCloseDelay)
	l.setRejectLevel(rejectUndispatched)
}

// SetRetainBudget sets how many bytes of incomplete requests may be retained in all, for the next process to
// read them again. It is zero at first: nothing is retained.
func (l *Listener) SetRetainBudget(bytes int64) { l.retainBudget.Store(bytes) }

// RejectIncomplete ends the reading of all requests that are not complete, dispatched or not, with
// ErrShuttingDown: a request that is completed later could not get its response before the process is
// killed.
func (l *Listener) RejectIncomplete() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setRejectLevel(rejectIncomplete)
}

// setRejectLevel sets which requests are rejected, and interrupts the reads concerned so that they notice. The caller
// holds the lock.
func (l *Listener) setRejectLevel(level int32) {
	l.rejecting.Store(level)
	for c := range l.clients { // in any order: it concerns all
		if c.state == stateReading || c.state == stateNew || level == rejectIncomplete && c.streamingBody {
			c.conn.SetReadDeadline(time.Now())
		}
	}
}

// Shutdown stops accepting and closes connections on which no response is outstanding: new and idle ones with
// nothing to read at once, all others soon after their response. Finished then reports whether all are
// closed.
func (l *Listener) Shutdown() {
	l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for c := range l.clients {
		if (c.state == stateNew || c.state == stateIdle) && !c.pipelined && !c.socket.readable() {
			c.closeNow()
		}
	}
}
