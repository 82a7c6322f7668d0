package transport

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// DiscoveryConn sends requests to discovery, one after the other, on a connection that it opens when needed and keeps
// open. Only Close may be called from another goroutine.
type DiscoveryConn struct {
	Addr   string // host:port
	reader *bufio.Reader

	mu     sync.Mutex
	conn   net.Conn
	closed bool

	// Used by the goroutine in RoundTrip alone.
	deadline time.Time // of the response, before it is extended for what has arrived of it
	received int       // bytes of the response that have arrived
}

// discoveryReader reads a response under a deadline that moves with the bytes received: a list of ten thousand hosts
// has megabytes, and discovery is slow while all gateways call it at once. A response that arrives at less than
// minDiscoveryBytesPerSecond, or pauses for longer than discoverySilenceTimeout, still fails.
type discoveryReader struct {
	owner *DiscoveryConn
	conn  net.Conn
}

// Read implements io.Reader.
func (r discoveryReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if r.owner.received += n; n > 0 {
		rateDeadline := r.owner.deadline.Add(time.Duration(r.owner.received) * time.Second / minDiscoveryBytesPerSecond)
		r.conn.SetReadDeadline(earlier(rateDeadline, later(r.owner.deadline, time.Now().Add(discoverySilenceTimeout))))
	}
	return n, err
}

// RoundTrip writes a request and calls readResponse with a reader of the response. The response must begin within
// timeout, and the rest arrive at a minimum rate (see discoveryReader). After an error, or if keepAlive is false, the
// connection is closed, and the next call opens a new one.
func (d *DiscoveryConn) RoundTrip(message net.Buffers, timeout time.Duration,
	readResponse func(*bufio.Reader) (keepAlive bool, err error)) error {
	deadline := time.Now().Add(timeout)
	conn, err := d.connect(min(timeout, discoveryConnectTimeout))
	if err != nil {
		return err
	}
	conn.SetDeadline(deadline)
	d.deadline, d.received = deadline, 0
	keepAlive := false
	if _, err = message.WriteTo(conn); err == nil {
		keepAlive, err = readResponse(d.reader)
	}
	if !keepAlive || err != nil {
		d.disconnect()
	}
	return err
}

// connect returns the open connection, or opens one.
func (d *DiscoveryConn) connect(timeout time.Duration) (net.Conn, error) {
	d.mu.Lock()
	conn, closed := d.conn, d.closed
	d.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	if closed {
		return nil, net.ErrClosed
	}
	conn, err := net.DialTimeout("tcp", d.Addr, timeout)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed { // while it was being opened
		conn.Close()
		return nil, net.ErrClosed
	}
	d.conn, d.reader = conn, bufio.NewReaderSize(discoveryReader{d, conn}, discoveryReadBufferBytes)
	return conn, nil
}

// disconnect closes the connection, if it is open.
func (d *DiscoveryConn) disconnect() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
}

// Close closes the connection for good, and ends a call of RoundTrip that is in progress.
func (d *DiscoveryConn) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.disconnect()
}
