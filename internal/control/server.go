// Package control is the admin server: a listener with a connection limit of its own and one request
// per connection. It does not depend on how transactions are handled; it reads and controls the
// gateway through the Gateway interface.
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

// Gateway is what the admin API reads and controls.
type Gateway interface {
	Ready() bool                    // it accepts clients
	MetricsJSON() []byte            // its figures, as JSON
	SetDraining(draining bool) bool // starts or ends draining; false if it can't
}

// AdminServer serves the admin API.
type AdminServer struct {
	ln             net.Listener
	gateway        Gateway
	SucceededCalls atomic.Int64 // answered with status 200
	FailedCalls    atomic.Int64 // failed, or answered with another status
	Evicted        atomic.Int64 // connections closed in favour of new ones

	mu    sync.Mutex
	conns []*adminConn // oldest first
}

// adminConn is one connection.
type adminConn struct {
	nc          net.Conn
	requestRead bool // the whole request was read; guarded by AdminServer.mu
}

// Listen opens the admin server of a gateway at addr.
func Listen(addr string, gateway Gateway) (*AdminServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &AdminServer{ln: ln, gateway: gateway}, nil
}

// Addr returns the address that the server listens at.
func (s *AdminServer) Addr() string { return s.ln.Addr().String() }

// Close stops listening.
func (s *AdminServer) Close() { s.ln.Close() }

// Serve serves requests until Close.
func (s *AdminServer) Serve() {
	for {
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("admin server: accept failed", "error", err)
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

// register adds a connection, within MaxConnections. Clients that send nothing, or half a request, may
// stay for as long as they like, so the oldest of those is evicted; one that is being answered is done
// in a moment.
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

// unregister closes and removes a connection.
func (s *AdminServer) unregister(c *adminConn) {
	c.nc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.conns, c); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
}

// serveConn reads a request and answers it.
func (s *AdminServer) serveConn(c *adminConn) {
	c.nc.SetReadDeadline(time.Now().Add(readTimeout))
	r := bufio.NewReaderSize(c.nc, readBufferBytes)
	status, allow, body, err := s.handle(r, c)
	if err != nil { // it closed, or sent nothing
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
		// Closing with unread input would reset the connection and lose the response.
		c.nc.SetReadDeadline(time.Now().Add(closeLingerTimeout))
		io.CopyN(io.Discard, c.nc, maxBodyBytes)
	}
}

// handle reads a request and returns the response to it. allow is the method of its path, if the
// request had another.
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
