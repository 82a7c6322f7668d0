package main

import (
	"sync"
	"time"
)

// requestRecord is what a client saw of one request. Times count from the start of the run.
type requestRecord struct {
	traceID, profile string
	gateway          int
	process          int // which of the gateway's processes, from 0, as the client's connection was opened
	budget           time.Duration
	connectedAt      time.Duration
	fresh            bool          // the first request of its connection
	sentAt           time.Duration // when its last byte was written
	leftAt           time.Duration // when the client closed without waiting; 0 if it did not
	endedAt          time.Duration // when it was answered, or the client gave up
	status           int           // 0 without an answer
	bytesReceived    bool          // some of an answer came
	bodyWrong        bool          // a whole answer that no host made
	bodyTraceID      string        // of the request for which the answer was made, if that is another
	timedOut         bool          // the connection was still open as the client gave up
	afterOthers      bool          // it was sent together with others before it
	bodyBytes        int           // of a long body
	partlySent       bool          // its last byte was never written
	failure          string        // why there was no whole answer
}

// attemptRecord is what a host saw of one attempt.
type attemptRecord struct {
	traceID     string
	host        int
	gateway     int // by the address that the connection was made to
	firstByteAt time.Duration
	wholeAt     time.Duration // 0 if its last byte never came
	expiresIn   time.Duration
	readsOnAt   time.Duration // when a host that had stopped to read the request went on
	unreadBytes int64         // of the request at that time, as far as its length was said
	mode        hostMode
	// secondAnswerLate is set if this process was held up as it wrote a second answer, which came later than hosts send one.
	secondAnswerLate bool
}

// listRecord is a list change that discovery wrote to a process.
type listRecord struct {
	gateway, process, host int
	state                  string
	writtenAt              time.Duration
}

// processRecord is one process of a gateway.
type processRecord struct {
	gateway, process   int
	startedAt, readyAt time.Duration
	termAt, endedAt    time.Duration
	movedAt            time.Duration // when discovery was last moved
	killed             bool          // it had not ended by the earliest time of the kill
	stopped            bool          // it was still running at the end of the run
	endedUnasked       bool          // before any SIGTERM
	exit               error
	peakMemoryKiB      int
	maxDescriptors     int
}

// soakRecord has the records of all that take part in a run.
type soakRecord struct {
	began       time.Time
	mu          sync.Mutex
	requests    []requestRecord
	attempts    []*attemptRecord
	lists       []listRecord // of hosts that drain or are gone
	listsAdding []listRecord // of hosts that have taken the addresses of others
	processes   []*processRecord
	partials    []partialRecord
	delays      []delayRecord
}

// delayRecord is a moment in which a goroutine of this process, and so maybe a stand-in, ran later than it was due.
type delayRecord struct{ at, late time.Duration }

// watchDelays records when this process is late, until stopped.
func (r *soakRecord) watchDelays(stop chan bool) {
	const interval, least = time.Millisecond, 10 * time.Millisecond
	for {
		dueAt := r.now() + interval
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		if late := r.now() - dueAt; late > least {
			r.mu.Lock()
			r.delays = append(r.delays, delayRecord{dueAt, late})
			r.mu.Unlock()
		}
	}
}

// delayWithin returns by how much this process was late within a time, at the most.
func (r *soakRecord) delayWithin(from, until time.Duration) (most time.Duration) {
	for _, delay := range r.delays {
		if delay.at <= until && delay.at+delay.late >= from {
			most = max(most, delay.late)
		}
	}
	return most
}

// partialRecord is a client that sent part of a request and stayed.
type partialRecord struct {
	gateway         int
	sentAt, endedAt time.Duration // endedAt is when it got a response or the connection ended
}

// now returns the time since the start of the run.
func (r *soakRecord) now() time.Duration { return time.Since(r.began) }

// addRequest records a request.
func (r *soakRecord) addRequest(request requestRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
}

// addAttempt records an attempt; its fields may be completed later under the lock.
func (r *soakRecord) addAttempt(attempt *attemptRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, attempt)
}
