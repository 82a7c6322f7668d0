package transport

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener takes in the connections of clients.
type Listener struct {
	ln                net.Listener
	limit             *ConnLimit
	maxClients        int // clients, those over the limit aside
	mu                sync.Mutex
	clients           map[*Client]struct{}
	admitted          int // of these, those not over the limit
	idleClients       int // of these, those between messages
	overLimitSlots    chan struct{}
	closing           bool
	draining          bool         // clients are sent away
	accepting         atomic.Bool  // one may have been accepted that is not open yet
	rejecting         atomic.Int32 // how far messages that are not whole are turned away
	retainBudget      atomic.Int64 // bytes that may yet be kept of these
	drainDeadline     time.Time    // when the last of these that says nothing is closed
	Accepted          atomic.Int64
	AcceptedOverLimit atomic.Int64 // connections over the limit
	Evicted           atomic.Int64 // those closed for others
}

// NewListener opens a listener for so many clients within the limit; maxOverLimit is how many over that may be open, each to be turned away
// with one answer.
func NewListener(ln net.Listener, limit *ConnLimit, maxClients, maxOverLimit int) *Listener {
	l := &Listener{ln: ln, limit: limit, maxClients: maxClients, clients: map[*Client]struct{}{}, overLimitSlots: make(chan struct{}, maxOverLimit)}
	limit.AddEvictor(l.evict)
	return l
}

// InheritedListener takes the listening socket that is open as a descriptor of that number. Closed here it goes on for the processes that
// share it.
func InheritedListener(descriptor string) (net.Listener, error) {
	n, err := strconv.ParseUint(descriptor, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("descriptor %q is no number", descriptor)
	}
	listens, err := syscall.GetsockoptInt(int(n), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil || listens == 0 { // one that does not listen would be taken, and never accept
		return nil, fmt.Errorf("descriptor %d is no listening socket", n)
	}
	file := os.NewFile(uintptr(n), "clients")
	defer file.Close()
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", n, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		ln.Close()
		return nil, fmt.Errorf("descriptor %d is no TCP socket", n)
	}
	return ln, nil
}

// Addr is where clients connect.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Serve hands each connection to handle, in a goroutine of its own, until the listener is closed.
func (l *Listener) Serve(handle func(*Client)) {
	l.accepting.Store(true)
	defer l.accepting.Store(false)
	for {
		conn, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("accept", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.admit(conn).serve(handle)
	}
}

// admit takes a connection in, with its place.
func (l *Listener) admit(conn net.Conn) *Client {
	l.Accepted.Add(1)
	conn.(*net.TCPConn).SetWriteBuffer(sendBufferSize)
	c := &Client{listener: l, conn: conn, socket: socketStateOf(conn), acceptedAt: time.Now(), state: stateNew, stateSince: time.Now()}
	for c.OverLimit = !l.acquireSlot(); c.OverLimit && !l.acquireOverLimit(); c.OverLimit = !l.acquireSlot() {
		time.Sleep(acceptRetryDelay) // where even these are too many, the next wait to be accepted
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clients[c] = struct{}{}
	if c.holdsSlot = !c.OverLimit; c.holdsSlot {
		l.admitted++
	}
	return c
}

// acquireOverLimit takes a place over the limit.
func (l *Listener) acquireOverLimit() bool {
	select {
	case l.overLimitSlots <- struct{}{}:
		l.AcceptedOverLimit.Add(1)
		return true
	default:
		return false
	}
}

// acquireSlot takes a place for a client. Beyond their share clients give way only to each other: what is left is for
// hosts, without whom no client is answered.
func (l *Listener) acquireSlot() bool {
	l.mu.Lock()
	full := l.admitted >= l.maxClients
	l.mu.Unlock()
	if full {
		return l.evict()
	}
	return l.limit.TryAcquire()
}

// OpenClients is how many connections there are.
func (l *Listener) OpenClients() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.clients)
}

// Finished tells whether, of a listener that takes no more, all have gone: one that was just accepted, and waits for room, is not among the
// open ones yet.
func (l *Listener) Finished() bool { return !l.accepting.Load() && l.OpenClients() == 0 }
