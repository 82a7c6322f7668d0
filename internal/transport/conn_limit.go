// Package transport holds the gateway's sockets: the clients' listener and its connections, the pool of
// connections to hosts, the connection to discovery, datagrams between gateways, handover to the next process, and
// the limit on all of them. It carries bytes and does not interpret them.
package transport

import (
	"context"
	"sync"
	"time"
)

// ConnLimit is a semaphore that bounds the number of open connections of the process. When it is full, idle
// connections are closed in favour of new ones. All methods but AddEvictor may be called from any goroutine.
type ConnLimit struct {
	mu       sync.Mutex
	max      int
	inUse    int
	evictors []func() bool // see AddEvictor
	waiter   chan struct{} // held by the caller of Acquire that is next
}

// NewConnLimit returns a limit of max connections.
func NewConnLimit(max int) *ConnLimit { return &ConnLimit{max: max, waiter: make(chan struct{}, 1)} }

// SetMax changes the limit. Connections beyond a lower limit stay open; no slot is given out until there are
// fewer.
func (l *ConnLimit) SetMax(max int) {
	l.mu.Lock()
	l.max = max
	l.mu.Unlock()
}

// AddEvictor adds a function that closes one idle connection and leaves its slot to the caller, without a
// Release, or returns false if none is idle. Evictors are called in the order in which they were added, under
// the limit's lock. All must be added before the first TryAcquire.
func (l *ConnLimit) AddEvictor(evict func() bool) { l.evictors = append(l.evictors, evict) }

// TryAcquire takes a slot, if need be that of an idle connection which is closed for it. It returns false if
// there is neither.
func (l *ConnLimit) TryAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inUse < l.max {
		l.inUse++
		return true
	}
	for _, evict := range l.evictors {
		if evict() {
			return true
		}
	}
	return false
}

// Acquire takes a slot as TryAcquire does, and waits for one until ctx ends; it returns false then. Callers
// wait in turn. A wait is worthwhile even if no connection is idle, as new clients become evictable within
// milliseconds.
func (l *ConnLimit) Acquire(ctx context.Context) bool {
	if l.TryAcquire() {
		return true
	}
	select {
	case l.waiter <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-l.waiter }()
	for !l.TryAcquire() {
		select {
		case <-time.After(acceptRetryDelay):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Release gives a slot back.
func (l *ConnLimit) Release() {
	l.mu.Lock()
	l.inUse--
	l.mu.Unlock()
}

// Max returns the limit.
func (l *ConnLimit) Max() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.max
}

// InUse returns the number of slots taken.
func (l *ConnLimit) InUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inUse
}
