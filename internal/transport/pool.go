package transport

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Target identifies a host in the pool. The host's ID is part of it because a new host may get the address of a removed
// one, and must not be served by connections to that one.
type Target struct {
	HostID uint32
	Addr   string
}

// Pool holds the connections to hosts. Of the idle connections to a host the one used most recently is used first, so
// that the others reach their idle time-out and few are kept. A connection is used again only reuseDelay after its last
// response: a host may answer a request twice, and nothing tells a second answer that crosses the next request from the
// answer to that one. A request now and then waits for that time rather than cost its host another connection.
type Pool struct {
	limit          *ConnLimit
	Dial           func(ctx context.Context, network, addr string) (net.Conn, error) // opens a connection; a net.Dialer's by default
	connectTimeout time.Duration                                                     // for opening a connection, the wait for a slot included
	idleTimeout    time.Duration                                                     // for which an idle connection is kept
	mu             sync.Mutex
	idle           map[Target][]*hostConn // the one used most recently is last
	waitedAt       map[Target]time.Time   // when a request last waited for a connection, within reuseWaitInterval
	Opened         atomic.Int64           // connections opened
	Evicted        atomic.Int64           // idle connections closed so that others could have their slot
	Unsolicited    atomic.Int64           // times that a host sent something behind its answer
}

// NewPool returns a Pool whose connections take slots of limit. connectTimeout is the time for opening a connection;
// hostIdleTimeout is the time after which hosts close idle connections.
func NewPool(limit *ConnLimit, connectTimeout, hostIdleTimeout time.Duration) *Pool {
	p := &Pool{limit: limit, Dial: (&net.Dialer{}).DialContext, connectTimeout: connectTimeout, idleTimeout: hostIdleTimeout / hostIdleTimeoutDivisor, idle: map[Target][]*hostConn{}, waitedAt: map[Target]time.Time{}}
	limit.AddEvictor(p.evict)
	return p
}

// Start begins an exchange with a host, on an idle connection or a new one.
func (p *Pool) Start(target Target, x *Exchange) {
	if !x.isWanted() {
		x.OnDone(OutcomeWithdrawn)
		return
	}
	for c, wait := p.takeIdle(target); c != nil; c, wait = p.takeIdle(target) {
		if wait > 0 {
			x.SlotWait += wait
			time.AfterFunc(wait, func() { p.startOn(c, x) })
			return
		}
		if c.send(x) {
			return
		}
	}
	go p.dial(target, x)
}

// startOn begins an exchange on a connection that was taken for it some time ago.
func (p *Pool) startOn(c *hostConn, x *Exchange) {
	switch {
	case !x.isWanted() || !x.setStop(nil):
		p.giveBack(c)
		x.OnDone(OutcomeWithdrawn)
	case !time.Now().Before(x.Deadline):
		p.giveBack(c)
		x.OnDone(OutcomeNoSlot)
	case !c.send(x):
		p.Start(c.target, x)
	}
}

// giveBack makes a connection that was taken, and not used, available again, unless it has been closed meanwhile.
func (p *Pool) giveBack(c *hostConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.dead {
		p.putIdle(c)
	}
}

// takeIdle removes and returns an idle connection to a host, and how long to wait until it may be used: of those that
// may be used at once the one used most recently, else the one with the shortest wait. It returns nil if there is none,
// or if another request to the host has waited less than reuseWaitInterval ago.
func (p *Pool) takeIdle(target Target) (c *hostConn, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle, now := p.idle[target], time.Now()
	if len(idle) == 0 {
		return nil, 0
	}
	i := len(idle) - 1
	for i > 0 && now.Sub(idle[i].idleSince) < reuseDelay {
		i--
	}
	if wait = max(0, reuseDelay-now.Sub(idle[i].idleSince)); wait > 0 && !p.mayWait(target, now) {
		return nil, 0
	}
	c = idle[i]
	p.setIdle(target, slices.Delete(idle, i, i+1))
	return c, wait
}

// mayWait reports whether a request may wait for a connection to a host, and records that it does. Where requests come
// so fast that they would wait one after the other, more connections are opened. The caller holds the lock.
func (p *Pool) mayWait(target Target, now time.Time) bool {
	if now.Sub(p.waitedAt[target]) < reuseWaitInterval {
		return false
	}
	maps.DeleteFunc(p.waitedAt, func(_ Target, at time.Time) bool { return now.Sub(at) >= reuseWaitInterval })
	p.waitedAt[target] = now
	return true
}

// putIdle makes a connection available for the next exchange, until its idle time-out.
func (p *Pool) putIdle(c *hostConn) {
	c.conn.SetReadDeadline(time.Now().Add(p.idleTimeout))
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.idle[c.target] = append(p.idle[c.target], c)
}

// setIdle sets the idle connections to a host. Hosts without one have no entry, so that the map does not grow as hosts
// come and go. The caller holds the lock.
func (p *Pool) setIdle(target Target, idle []*hostConn) {
	if p.idle[target] = idle; len(idle) == 0 {
		delete(p.idle, target)
	}
}

// remove closes a connection, and releases its slot unless that belongs to another connection.
func (p *Pool) remove(c *hostConn) {
	p.mu.Lock()
	p.removeIdle(c)
	slotTransferred := c.slotTransferred
	p.mu.Unlock()
	c.conn.Close()
	if !slotTransferred {
		p.limit.Release()
	}
}

// removeIdle removes a connection from the idle ones, if it is among them. The caller holds the lock.
func (p *Pool) removeIdle(c *hostConn) {
	idle := p.idle[c.target]
	if i := slices.Index(idle, c); i >= 0 {
		p.setIdle(c.target, slices.Delete(idle, i, i+1))
	}
}

// evict closes the connection that has been idle longest, and leaves its slot to the caller. It returns false if none
// is idle.
func (p *Pool) evict() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *hostConn
	for _, idle := range p.idle { // in any order: the oldest is the same
		if len(idle) > 0 && (oldest == nil || idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.removeIdle(oldest)
	p.Evicted.Add(1)
	oldest.slotTransferred = true
	oldest.conn.Close()
	return true
}

// CloseIdleTo closes the idle connections to a host, which gets no further messages.
func (p *Pool) CloseIdleTo(target Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[target] {
		c.conn.Close()
	}
	delete(p.idle, target) // a closed connection must not be taken before its goroutine notices the close
}

// CloseAllIdle closes all connections without an exchange.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle { // in any order: all are closed
		for _, c := range idle {
			c.conn.Close()
		}
	}
	p.idle = map[Target][]*hostConn{} // see CloseIdleTo
}

// dial opens a connection for an exchange and serves it until it is closed.
func (p *Pool) dial(target Target, x *Exchange) {
	ctx, cancel := context.WithDeadline(context.Background(), earlier(x.Deadline, time.Now().Add(p.connectTimeout)))
	defer cancel()
	if !x.setStop(cancel) {
		x.OnDone(OutcomeWithdrawn)
		return
	}
	waitStart := time.Now()
	acquired := p.limit.Acquire(ctx)
	x.SlotWait += time.Since(waitStart)
	if !acquired {
		if x.setStop(nil) {
			x.OnDone(OutcomeNoSlot)
		} else {
			x.OnDone(OutcomeWithdrawn)
		}
		return
	}
	conn, err := p.Dial(ctx, "tcp", target.Addr)
	if err != nil {
		p.limit.Release()
		if x.setStop(nil) {
			x.OnDone(OutcomeConnectFailed)
		} else {
			x.OnDone(OutcomeWithdrawn)
		}
		return
	}
	p.Opened.Add(1)
	if !x.isWanted() { // connecting may have taken long
		conn.Close()
		p.limit.Release()
		x.OnDone(OutcomeWithdrawn)
		return
	}
	conn.(*net.TCPConn).SetWriteBuffer(sendBufferBytes)
	c := &hostConn{pool: p, target: target, conn: conn, socket: socketStateOf(conn)}
	if !c.send(x) { // the host has sent something before any request, or closed the connection
		x.OnDone(OutcomeNotWritten)
	}
	c.serve()
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
