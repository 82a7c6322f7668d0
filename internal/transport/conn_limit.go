// Package transport holds listeners, connections, pools of them and datagrams. It carries bytes and knows
// nothing of what they say.
package transport

import (
	"context"
	"sync"
	"time"
)

// ConnLimit bounds the sockets of the whole gateway. Idle ones give way to those that have something to do.
type ConnLimit struct {
	mu       sync.Mutex
	max      int
	inUse    int
	evictors []func() bool // closes an idle socket, which does not leave; those of hosts first
	waiter   chan struct{} // held by the first of those that wait for a place
}

func NewConnLimit(max int) *ConnLimit { return &ConnLimit{max: max, waiter: make(chan struct{}, 1)} }

// SetMax sets how many sockets there may be from now on; those over it are not closed, but none is added.
func (l *ConnLimit) SetMax(max int) {
	l.mu.Lock()
	l.max = max
	l.mu.Unlock()
}

// AddEvictor adds a way to close an idle socket.
func (l *ConnLimit) AddEvictor(evict func() bool) { l.evictors = append(l.evictors, evict) }

// TryAcquire takes a place. Where none is free an idle socket is closed and hands its place on.
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

// Acquire takes a place as TryAcquire does. Where there is none it waits for one, those that wait one after the other, until ctx ends: all clients may
// have something to do, or have only just come, and in some milliseconds one gives way.
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

func (l *ConnLimit) Release() {
	l.mu.Lock()
	l.inUse--
	l.mu.Unlock()
}

// InUse is how many places are taken.
func (l *ConnLimit) InUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inUse
}
