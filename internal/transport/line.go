package transport

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// DiscoveryConn is one connection that is used for call after call, one at a time. Close may come at any time.
type DiscoveryConn struct {
	Addr   string
	reader *bufio.Reader

	mu     sync.Mutex
	conn   net.Conn
	closed bool

	deadline time.Time // when the answer is late, but for what has come of it; the caller's, as is got
	received int       // bytes of it
}

// discoveryReader reads an answer. One that comes may take its time, by how much has come: a list of ten thousand hosts is megabytes, and a
// discovery that all call at once is slow. One that dribbles, or stops, is late all the same.
type discoveryReader struct {
	owner *DiscoveryConn
	conn  net.Conn
}

func (r discoveryReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if r.owner.received += n; n > 0 {
		rateDeadline := r.owner.deadline.Add(time.Duration(r.owner.received) * time.Second / minDiscoveryBytesPerSecond)
		r.conn.SetReadDeadline(earlier(rateDeadline, later(r.owner.deadline, time.Now().Add(discoverySilenceTimeout))))
	}
	return n, err
}

// RoundTrip writes a message and has its answer read, both within a time, and what comes of a long answer by its pace; after an error the line begins anew.
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

// connect gives the connection, a new one where there is none.
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
	if d.closed { // meanwhile
		conn.Close()
		return nil, net.ErrClosed
	}
	d.conn, d.reader = conn, bufio.NewReaderSize(discoveryReader{d, conn}, discoveryBufferSize)
	return conn, nil
}

func (d *DiscoveryConn) disconnect() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
}

// Close ends the line and the call that is out on it.
func (d *DiscoveryConn) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.disconnect()
}
