package transport

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spanmux/internal/membudget"
)

// Listener accepts clients' connections, bounds how many are open, and drains them. Its methods may be called
// from any goroutine.
type Listener struct {
	ln                net.Listener
	limit             *ConnLimit
	maxClients        int // slots for clients; connections over the limit don't count
	mu                sync.Mutex
	clients           map[*Client]struct{}
	admitted          int               // clients that are not over the limit
	idleClients       int               // clients in stateIdle
	overLimitSlots    chan struct{}     // a semaphore: one element per connection over the limit
	closing           bool              // Shutdown was called
	draining          bool              // responses say that the connection closes
	accepting         atomic.Bool       // Serve runs: a connection may have been accepted and not be in clients yet
	rejecting         atomic.Int32      // which incomplete requests are rejected: 0 for none, rejectUndispatched or rejectIncomplete
	requestMemory     *membudget.Budget // for requests that are being read; see ReclaimRequestMemory
	retainBudget      atomic.Int64      // bytes of incomplete requests that may still be retained
	drainDeadline     time.Time         // when the last idle connection of a drain is closed
	Accepted          atomic.Int64      // connections accepted
	AcceptedOverLimit atomic.Int64      // of these, those over the connection limit
	Evicted           atomic.Int64      // connections closed so that others could have their slot
}

// NewListener returns a Listener that accepts from ln. At most maxClients connections hold a slot of limit;
// beside them at most maxOverLimit may be open without one, each of which gets a single response (see
// Client.OverLimit). What requests hold while they are read is reserved from requestMemory.
func NewListener(ln net.Listener, limit *ConnLimit, maxClients, maxOverLimit int, requestMemory *membudget.Budget) *Listener {
	l := &Listener{ln: ln, limit: limit, requestMemory: requestMemory, maxClients: maxClients, clients: map[*Client]struct{}{}, overLimitSlots: make(chan struct{}, maxOverLimit)}
	limit.AddEvictor(l.evict)
	requestMemory.Reclaim = l.reclaimRequestMemory
	return l
}

// InheritedListener returns the listening TCP socket that the process was started with as a file descriptor,
// whose number is passed in decimal. Closing the result leaves the socket open in the other processes that share it.
// It fails if the descriptor is no number below 65536, or no listening TCP socket.
func InheritedListener(descriptor string) (net.Listener, error) {
	n, err := strconv.ParseUint(descriptor, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("descriptor %q is no number", descriptor)
	}
	listens, err := syscall.GetsockoptInt(int(n), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil || listens == 0 { // FileListener takes a socket that does not listen, and Accept never returns one
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

// Addr returns the address, host:port, on which clients connect.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Serve accepts connections until the listener is closed, and calls handle for each in a goroutine of its
// own. The connection is closed when handle returns.
func (l *Listener) Serve(handle func(*Client)) {
	l.accepting.Store(true)
	defer l.accepting.Store(false)
	for accepted := 1; ; accepted++ {
		conn, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("accept failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.admit(conn).serve(handle)
		if accepted%acceptsPerTurn == 0 {
			runtime.Gosched() // clients that come in a crowd would hold up those that are connected
		}
	}
}

// admit registers an accepted connection, with a slot of the connection limit or as one over it. It blocks
// while neither is available.
func (l *Listener) admit(conn net.Conn) *Client {
	l.Accepted.Add(1)
	conn.(*net.TCPConn).SetWriteBuffer(sendBufferBytes)
	c := &Client{listener: l, conn: conn, socket: socketStateOf(conn), acceptedAt: time.Now(), state: stateNew, stateSince: time.Now()}
	for c.OverLimit = !l.acquireSlot(); c.OverLimit && !l.acquireOverLimit(); c.OverLimit = !l.acquireSlot() {
		time.Sleep(acceptRetryDelay) // further connections wait in the kernel's accept queue meanwhile
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clients[c] = struct{}{}
	if c.holdsSlot = !c.OverLimit; c.holdsSlot {
		l.admitted++
	}
	return c
}

// acquireOverLimit takes one of the slots for connections over the limit; it returns false if there is none.
func (l *Listener) acquireOverLimit() bool {
	select {
	case l.overLimitSlots <- struct{}{}:
		l.AcceptedOverLimit.Add(1)
		return true
	default:
		return false
	}
}

// acquireSlot takes a slot of the connection limit for a client, and returns false if there is none. Once
// clients hold their share they only take slots from each other: the rest is for hosts, without which no
// client gets a response.
func (l *Listener) acquireSlot() bool {
	l.mu.Lock()
	full := l.admitted >= l.maxClients
	l.mu.Unlock()
	if full {
		return l.evict()
	}
	return l.limit.TryAcquire()
}

// acquireSlotWithin does what acquireSlot does until there is a slot, for up to a timeout.
func (l *Listener) acquireSlotWithin(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); !l.acquireSlot(); time.Sleep(acceptRetryDelay) {
		if !time.Now().Before(deadline) {
			return false
		}
	}
	return true
}

// OpenClients returns the number of open connections, those over the limit included.
func (l *Listener) OpenClients() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.clients)
}

// ClientSlots returns the number of slots of the connection limit that clients hold.
func (l *Listener) ClientSlots() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admitted
}

// Finished reports whether a listener that accepts no more has no connection left. It also checks that Serve
// has returned, because a connection that was just accepted and waits in admit is not among the open ones yet.
func (l *Listener) Finished() bool { return !l.accepting.Load() && l.OpenClients() == 0 }
