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

// Front takes in the connections of clients.
type Front struct {
	ln        net.Listener
	room      *Room
	most      int // clients, those over the room aside
	mu        sync.Mutex
	open      map[*Client]struct{}
	in        int // of these, those not over the room
	idle      int // of these, those between messages
	over      chan struct{}
	closing   bool
	away      bool         // clients are sent away
	accepting atomic.Bool  // one may have been accepted that is not open yet
	turning   atomic.Int32 // how far messages that are not whole are turned away
	keep      atomic.Int64 // bytes that may yet be kept of these
	by        time.Time    // when the last of these that says nothing is closed
	Accepted  atomic.Int64
	Crowded   atomic.Int64 // connections over the room
	GaveWay   atomic.Int64 // those closed for others
}

// Listen opens a front for so many clients in the room; crowd is how many over that may be open, each to be turned away
// with one answer.
func Listen(ln net.Listener, room *Room, most, crowd int) *Front {
	f := &Front{ln: ln, room: room, most: most, open: map[*Client]struct{}{}, over: make(chan struct{}, crowd)}
	room.GiveWay(f.closeIdle)
	return f
}

// Inherited takes the listening socket that is open as a descriptor of that number. Closed here it goes on for the processes that
// share it.
func Inherited(descriptor string) (net.Listener, error) {
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
func (f *Front) Addr() string { return f.ln.Addr().String() }

// Serve hands each connection to handle, in a goroutine of its own, until the listener is closed.
func (f *Front) Serve(handle func(*Client)) {
	f.accepting.Store(true)
	defer f.accepting.Store(false)
	for {
		nc, err := f.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("accept", "error", err)
			time.Sleep(acceptAgain)
			continue
		}
		f.client(nc).serve(handle)
	}
}

// client takes a connection in, with its place.
func (f *Front) client(nc net.Conn) *Client {
	f.Accepted.Add(1)
	nc.(*net.TCPConn).SetWriteBuffer(sendBuffer)
	c := &Client{front: f, nc: nc, see: sightOf(nc), came: time.Now(), doing: silent, since: time.Now()}
	for c.Over = !f.enter(); c.Over && !f.crowd(); c.Over = !f.enter() {
		time.Sleep(acceptAgain) // where even these are too many, the next wait to be accepted
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[c] = struct{}{}
	if c.place = !c.Over; c.place {
		f.in++
	}
	return c
}

// crowd takes a place over the room.
func (f *Front) crowd() bool {
	select {
	case f.over <- struct{}{}:
		f.Crowded.Add(1)
		return true
	default:
		return false
	}
}

// enter takes a place for a client. Beyond their share clients give way only to each other: what is left is for
// hosts, without whom no client is answered.
func (f *Front) enter() bool {
	f.mu.Lock()
	full := f.in >= f.most
	f.mu.Unlock()
	if full {
		return f.closeIdle()
	}
	return f.room.Enter()
}

// Open is how many connections there are.
func (f *Front) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// Over tells whether, of a front that takes no more, all have gone: one that was just accepted, and waits for room, is not among the
// open ones yet.
func (f *Front) Over() bool { return !f.accepting.Load() && f.Open() == 0 }
