// Package control is the operators' door: a listener and a bound of its own, one call to a connection. It knows no
// transaction; what it answers it has from functions that it is given.
package control

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"spanmux/internal/protocol"
)

// Gateway is what operators may ask of one and tell it.
type Gateway interface {
	Ready() bool                // it takes clients
	MetricsJSON() []byte        // as JSON
	SetDraining(away bool) bool // sends clients away, or takes them again; false where it can't
}

// AdminServer is where operators call.
type AdminServer struct {
	ln             net.Listener
	gateway        Gateway
	SucceededCalls atomic.Int64 // answered with yes
	FailedCalls    atomic.Int64 // answered with anything else
	Evicted        atomic.Int64 // callers closed for others

	mu      sync.Mutex
	callers []*caller // in the order in which they came
}

// caller is a connection; its call has been heard once it is whole.
type caller struct {
	nc    net.Conn
	heard bool // guarded by the door
}

// Listen opens the door of a gateway.
func Listen(addr string, gateway Gateway) (*AdminServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &AdminServer{ln: ln, gateway: gateway}, nil
}

func (d *AdminServer) Addr() string { return d.ln.Addr().String() }

// Close takes no more calls.
func (d *AdminServer) Close() { d.ln.Close() }

// Serve answers calls until Close.
func (d *AdminServer) Serve() {
	for {
		nc, err := d.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("accept at the door", "error", err)
			time.Sleep(acceptAgain)
			continue
		}
		c := &caller{nc: nc}
		if !d.enter(c) {
			nc.Close()
			continue
		}
		go func() {
			defer d.leave(c)
			d.answer(c)
		}()
	}
}

// enter takes a place for a caller. Those that have said nothing, or half a call, stay for as long as they like, so the one
// of them that came first gives way; one that is being answered is done in a moment.
func (d *AdminServer) enter(c *caller) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.callers) >= MaxConnections {
		i := slices.IndexFunc(d.callers, func(c *caller) bool { return !c.heard })
		if i < 0 {
			d.FailedCalls.Add(1)
			return false
		}
		d.callers[i].nc.Close()
		d.callers = slices.Delete(d.callers, i, i+1)
		d.Evicted.Add(1)
	}
	d.callers = append(d.callers, c)
	return true
}

func (d *AdminServer) leave(c *caller) {
	c.nc.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(d.callers, c); i >= 0 {
		d.callers = slices.Delete(d.callers, i, i+1)
	}
}

// answer hears a call and answers it.
func (d *AdminServer) answer(c *caller) {
	c.nc.SetReadDeadline(time.Now().Add(callWithin))
	r := bufio.NewReaderSize(c.nc, callBuffer)
	status, allow, text, err := d.call(r, c)
	if err != nil { // it left, or said nothing
		d.FailedCalls.Add(1)
		return
	}
	if status == 200 {
		d.SucceededCalls.Add(1)
	} else {
		d.FailedCalls.Add(1)
	}
	c.nc.SetWriteDeadline(time.Now().Add(writeWithin))
	answer := protocol.AdminResponse(status, allow, text)
	if _, err := answer.WriteTo(c.nc); err == nil && c.nc.(*net.TCPConn).CloseWrite() == nil {
		// Closed with input unread the connection would be reset, and the answer lost with it.
		c.nc.SetReadDeadline(time.Now().Add(lingerWithin))
		io.CopyN(io.Discard, c.nc, bodyMost)
	}
}

// call gives the answer to a call; allow is the method that its path has, where it came with another.
func (d *AdminServer) call(r *bufio.Reader, c *caller) (status int, allow string, text []byte, err error) {
	method, path, err := protocol.ReadAdminRequest(r, bodyMost, func() error { _, err := c.nc.Write(protocol.ContinueResponse); return err })
	if err != nil {
		wrong := protocol.AsHTTPError(err)
		if wrong == nil {
			return 0, "", nil, err
		}
		return wrong.Status, "", []byte(wrong.Text + "\n"), nil
	}
	d.mu.Lock()
	c.heard = true
	d.mu.Unlock()
	var do func() ([]byte, bool)
	allow = "PUT"
	said := func(yes bool) ([]byte, bool) { return []byte(map[bool]string{true: "yes\n", false: "no\n"}[yes]), yes }
	switch path {
	case "/-/ready":
		allow, do = "GET", func() ([]byte, bool) { return said(d.gateway.Ready()) }
	case "/-/metrics":
		allow, do = "GET", func() ([]byte, bool) { return d.gateway.MetricsJSON(), true }
	case "/-/drain":
		do = func() ([]byte, bool) { return said(d.gateway.SetDraining(true)) }
	case "/-/resume":
		do = func() ([]byte, bool) { return said(d.gateway.SetDraining(false)) }
	default:
		return 404, "", []byte("not here\n"), nil
	}
	if method != allow {
		return 405, allow, []byte("not this way\n"), nil
	}
	text, yes := do()
	if !yes {
		return 503, "", text, nil
	}
	return 200, "", text, nil
}
