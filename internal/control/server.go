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

	mu    sync.Mutex
	conns []*adminConn // in the order in which they came
}

// adminConn is a connection; its call has been heard once it is whole.
type adminConn struct {
	nc          net.Conn
	requestRead bool // guarded by the door
}

// Listen opens the door of a gateway.
func Listen(addr string, gateway Gateway) (*AdminServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &AdminServer{ln: ln, gateway: gateway}, nil
}

func (s *AdminServer) Addr() string { return s.ln.Addr().String() }

// Close takes no more calls.
func (s *AdminServer) Close() { s.ln.Close() }

// Serve answers calls until Close.
func (s *AdminServer) Serve() {
	for {
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("accept at the door", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &adminConn{nc: nc}
		if !s.register(c) {
			nc.Close()
			continue
		}
		go func() {
			defer s.unregister(c)
			s.serveConn(c)
		}()
	}
}

// register takes a place for a caller. Those that have said nothing, or half a call, stay for as long as they like, so the one
// of them that came first gives way; one that is being answered is done in a moment.
func (s *AdminServer) register(c *adminConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= MaxConnections {
		i := slices.IndexFunc(s.conns, func(c *adminConn) bool { return !c.requestRead })
		if i < 0 {
			s.FailedCalls.Add(1)
			return false
		}
		s.conns[i].nc.Close()
		s.conns = slices.Delete(s.conns, i, i+1)
		s.Evicted.Add(1)
	}
	s.conns = append(s.conns, c)
	return true
}

func (s *AdminServer) unregister(c *adminConn) {
	c.nc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.conns, c); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
}

// serveConn hears a call and answers it.
func (s *AdminServer) serveConn(c *adminConn) {
	c.nc.SetReadDeadline(time.Now().Add(readTimeout))
	r := bufio.NewReaderSize(c.nc, readBufferBytes)
	status, allow, body, err := s.handle(r, c)
	if err != nil { // it left, or said nothing
		s.FailedCalls.Add(1)
		return
	}
	if status == 200 {
		s.SucceededCalls.Add(1)
	} else {
		s.FailedCalls.Add(1)
	}
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	response := protocol.AdminResponse(status, allow, body)
	if _, err := response.WriteTo(c.nc); err == nil && c.nc.(*net.TCPConn).CloseWrite() == nil {
		// Closed with input unread the connection would be reset, and the answer lost with it.
		c.nc.SetReadDeadline(time.Now().Add(closeLingerTimeout))
		io.CopyN(io.Discard, c.nc, maxBodyBytes)
	}
}

// handle gives the answer to a call; allow is the method that its path has, where it came with another.
func (s *AdminServer) handle(r *bufio.Reader, c *adminConn) (status int, allow string, body []byte, err error) {
	method, path, err := protocol.ReadAdminRequest(r, maxBodyBytes, func() error { _, err := c.nc.Write(protocol.ContinueResponse); return err })
	if err != nil {
		httpErr := protocol.AsHTTPError(err)
		if httpErr == nil {
			return 0, "", nil, err
		}
		return httpErr.Status, "", []byte(httpErr.Text + "\n"), nil
	}
	s.mu.Lock()
	c.requestRead = true
	s.mu.Unlock()
	var action func() ([]byte, bool)
	allow = "PUT"
	yesOrNo := func(ok bool) ([]byte, bool) { return []byte(map[bool]string{true: "yes\n", false: "no\n"}[ok]), ok }
	switch path {
	case "/-/ready":
		allow, action = "GET", func() ([]byte, bool) { return yesOrNo(s.gateway.Ready()) }
	case "/-/metrics":
		allow, action = "GET", func() ([]byte, bool) { return s.gateway.MetricsJSON(), true }
	case "/-/drain":
		action = func() ([]byte, bool) { return yesOrNo(s.gateway.SetDraining(true)) }
	case "/-/resume":
		action = func() ([]byte, bool) { return yesOrNo(s.gateway.SetDraining(false)) }
	default:
		return 404, "", []byte("not here\n"), nil
	}
	if method != allow {
		return 405, allow, []byte("not this way\n"), nil
	}
	body, ok := action()
	if !ok {
		return 503, "", body, nil
	}
	return 200, "", body, nil
}
