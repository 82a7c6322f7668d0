package transport

import "time"

// How far messages that are not whole are turned away as the process ends.
const (
	rejectUndispatched = 1 + iota // those of which a host has nothing
	rejectIncomplete
)

// SetDraining sends clients away, or takes them again. The listener stays open, as some come for a while yet, and each answer is
// to say that its connection closes; on those on which nothing is owed nothing will be said, so they close by themselves, one
// after the other: all clients at once would come to the other gateways in one moment. One that is told so stays told.
func (l *Listener) SetDraining(draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining == draining {
		return
	}
	if l.draining = draining; draining {
		l.scheduleIdleCloses(drainFirstClose, drainLastClose)
	}
}

// Draining tells whether clients are sent away.
func (l *Listener) Draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// scheduleIdleCloses closes what is idle between these times from now.
func (l *Listener) scheduleIdleCloses(first, last time.Duration) {
	n, now := time.Duration(0), time.Now()
	l.drainDeadline = now.Add(last)
	for c := range l.clients { // in any order: each gets a moment
		if c.state == stateIdle && !c.closed {
			c.conn.SetReadDeadline(now.Add(first + (last-first)*n/time.Duration(l.idleClients)))
			n++
		}
	}
}

// HandOver leaves what is not accepted yet to the process that shares the listening socket, and goes on with the rest until it is
// answered. Clients go on using what stays open, so that is kept for as long as what comes on it can still be answered.
func (l *Listener) HandOver() {
	l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	l.scheduleIdleCloses(handoverFirstClose, handoverLastClose)
	l.reject(rejectUndispatched)
}

// SetRetainBudget has what comes of messages that are not whole be kept, up to so many bytes in all, for another process to hear them out.
func (l *Listener) SetRetainBudget(bytes int64) { l.retainBudget.Store(bytes) }

// RejectIncomplete ends the reading of all messages that are not whole yet. What came whole later could not be answered before the process is
// ended, and would be lost.
func (l *Listener) RejectIncomplete() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reject(rejectIncomplete)
}

// reject has the goroutines that read look at how far messages are turned away now.
func (l *Listener) reject(level int32) {
	l.rejecting.Store(level)
	for c := range l.clients { // in any order: all are
		if c.state == stateReading || c.state == stateNew || level == rejectIncomplete && c.streamingBody {
			c.conn.SetReadDeadline(time.Now())
		}
	}
}

// Shutdown takes no new connections and closes those on which nothing is owed, at once or once it is answered.
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
