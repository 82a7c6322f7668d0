package transport

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// DiscoveryConn is one connection that is used for call after call, one at a time. Close may come at any time.
type DiscoveryConn struct {
	Addr string
	r    *bufio.Reader

	mu     sync.Mutex
	conn   net.Conn
	closed bool

	until time.Time // when the answer is late, but for what has come of it; the caller's, as is got
	got   int       // bytes of it
}

// heard reads an answer. One that comes may take its time, by how much has come: a list of ten thousand hosts is megabytes, and a
// discovery that all call at once is slow. One that dribbles, or stops, is late all the same.
type heard struct {
	l    *DiscoveryConn
	conn net.Conn
}

func (h heard) Read(b []byte) (int, error) {
	n, err := h.conn.Read(b)
	if h.l.got += n; n > 0 {
		paced := h.l.until.Add(time.Duration(h.l.got) * time.Second / lineMinRate)
		h.conn.SetReadDeadline(earlier(paced, later(h.l.until, time.Now().Add(lineSilenceTimeout))))
	}
	return n, err
}

// RoundTrip writes a message and has its answer read, both within a time, and what comes of a long answer by its pace; after an error the line begins anew.
func (l *DiscoveryConn) RoundTrip(message net.Buffers, within time.Duration,
	read func(*bufio.Reader) (keep bool, err error)) error {
	until := time.Now().Add(within)
	nc, err := l.up(min(within, lineConnectTimeout))
	if err != nil {
		return err
	}
	nc.SetDeadline(until)
	l.until, l.got = until, 0
	keep := false
	if _, err = message.WriteTo(nc); err == nil {
		keep, err = read(l.r)
	}
	if !keep || err != nil {
		l.drop()
	}
	return err
}

// up gives the connection, a new one where there is none.
func (l *DiscoveryConn) up(within time.Duration) (net.Conn, error) {
	l.mu.Lock()
	nc, closed := l.conn, l.closed
	l.mu.Unlock()
	if nc != nil {
		return nc, nil
	}
	if closed {
		return nil, net.ErrClosed
	}
	nc, err := net.DialTimeout("tcp", l.Addr, within)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed { // meanwhile
		nc.Close()
		return nil, net.ErrClosed
	}
	l.conn, l.r = nc, bufio.NewReaderSize(heard{l, nc}, lineBufferSize)
	return nc, nil
}

func (l *DiscoveryConn) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// Close ends the line and the call that is out on it.
func (l *DiscoveryConn) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.drop()
}
