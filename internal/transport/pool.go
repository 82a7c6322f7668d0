package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"spanmux/internal/invariant"
)

// Outcome is how an exchange ended.
type Outcome int

const (
	OutcomeAnswered      Outcome = iota // ReadResponse succeeded
	OutcomeConnectFailed                // no connection could be opened
	OutcomeNotWritten                   // the connection broke before the last byte of the message was written
	OutcomeBroken                       // the connection broke after that, or the response was malformed
	OutcomeTimedOut                     // no complete response by the deadline
	OutcomeCancelled                    // cancelled after the last byte was written
	OutcomeNoSlot                       // no connection came free for it in time: nothing has run, and the host was not contacted
	OutcomeWithdrawn                    // cancelled, or no longer wanted, before the last byte was written: nothing has run
)

// Exchange is one message to a host and its response. OnDone is called exactly once.
type Exchange struct {
	BuildMessage func() net.Buffers // called when the message is written, so that it can contain the time that is left
	Deadline     time.Time
	// StillWanted, if not nil, reports whether the message is still to be sent. It is called at the start and again
	// when a new connection is open, since that may have taken long.
	StillWanted  func() bool
	ReadResponse func(*bufio.Reader) (keepAlive bool, err error) // keepAlive: the connection can be used again
	OnWritten    func()                                          // called when the last byte of the message has been written; may be nil without StreamBody
	OnDone       func(Outcome)                                   // called when the exchange has ended
	// StreamBody is set if BuildMessage returns only the beginning of the message. It is called when that is written,
	// with the writer for the rest, and returns without blocking; false ends the exchange. The time for the response
	// is then an argument of BodyWriter.WriteLast.
	StreamBody func(*BodyWriter) bool
	// SlotWait is the time that the exchange spent waiting for a slot of the connection limit or until a connection
	// may be used again, for which its host is not responsible.
	SlotWait time.Duration

	mu             sync.Mutex
	cancelled      bool
	lastWriteBegun bool      // the last byte has been written or is about to be
	stop           func()    // interrupts the exchange; nil before its start and after its end
	hostConn       *hostConn // set when the message is written
}

// SetReadTimeout sets the time for further reads of a response whose head has been read.
func (x *Exchange) SetReadTimeout(timeout time.Duration) {
	x.hostConn.conn.SetReadDeadline(time.Now().Add(timeout))
}

// FullyWritten reports whether the last byte of the message has been written. It is called while the response is read;
// if it returns false the rest of the message is never written.
func (x *Exchange) FullyWritten() bool { return x.hostConn.checkFullyWritten() }

// BodyWriter writes the rest of a message that BuildMessage has begun.
type BodyWriter struct {
	hostConn *hostConn
	exchange *Exchange
}

// ErrUnwanted is returned by a write that ended early because the message is no longer wanted.
var ErrUnwanted = errors.New("message no longer wanted")

// Write writes a further piece, unless stillWanted returns false before it is written: a host may accept nothing for a
// long time. The host runs nothing before it has the last piece.
func (w *BodyWriter) Write(piece net.Buffers, stillWanted func() bool) error {
	for deadline := time.Now().Add(streamWriteTimeout); ; {
		w.hostConn.conn.SetWriteDeadline(time.Now().Add(stillWantedPollInterval))
		_, err := piece.WriteTo(w.hostConn.conn) // removes from piece what has been written
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
			if stillWanted() {
				continue
			}
			return ErrUnwanted
		}
		if err != nil {
			w.hostConn.conn.Close()
		}
		return err
	}
}

// Abort closes the connection instead of writing the last piece, so that nothing has run.
func (w *BodyWriter) Abort() { w.hostConn.conn.Close() }

// WriteLast writes the last piece; the response must arrive within responseTimeout from then on. It holds the
// connection's lock while it writes, so that a host which closes the connection as soon as it has the whole message is
// not taken for one that never had it.
func (w *BodyWriter) WriteLast(piece net.Buffers, responseTimeout time.Duration, stillWanted func() bool) error {
	w.hostConn.mu.Lock()
	defer w.hostConn.mu.Unlock()
	if w.hostConn.exchange != w.exchange || !w.exchange.beginLastWrite() {
		return net.ErrClosed
	}
	err := w.Write(piece, stillWanted)
	if errors.Is(err, ErrUnwanted) {
		w.exchange.mu.Lock()
		w.exchange.lastWriteBegun = false // the exchange may still be withdrawn
		w.exchange.mu.Unlock()
	}
	if w.hostConn.fullyWritten = err == nil; w.hostConn.fullyWritten {
		w.exchange.Deadline = time.Now().Add(responseTimeout)
		w.hostConn.conn.SetReadDeadline(w.exchange.Deadline)
		w.exchange.OnWritten()
	}
	return err
}

// Cancel ends the exchange: it closes its connection, or stops the attempt to open one.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = true
	if x.stop != nil {
		x.stop()
	}
}

// CancelIfUnwritten ends the exchange unless the last byte of the message has been written or is about to be. A host
// runs nothing before it has that, so the exchange ends with OutcomeWithdrawn.
func (x *Exchange) CancelIfUnwritten() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelled = x.cancelled || !x.lastWriteBegun; !x.lastWriteBegun && x.stop != nil {
		x.stop()
	}
}

// beginLastWrite records that the last byte of the message is about to be written. It returns false if the exchange was
// cancelled before.
func (x *Exchange) beginLastWrite() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastWriteBegun = !x.cancelled
	return x.lastWriteBegun
}

// isWanted reports whether the message is still to be sent.
func (x *Exchange) isWanted() bool { return x.StillWanted == nil || x.StillWanted() }

// setStop sets the function that interrupts the exchange. It returns false if the exchange is already cancelled.
func (x *Exchange) setStop(stop func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stop = stop
	return !x.cancelled
}

// Target identifies a host in the pool. The host's ID is part of it because a new host may get the address of a removed
// one, and must not be served by connections to that one.
type Target struct {
	HostID uint32
	Addr   string
}

// Pool holds the connections to hosts. Of the idle connections to a host the one used most recently is used first, so
// that the others reach their idle time-out and few are kept. A connection is used again only reuseDelay after its last
// response: a host may answer a request twice, and nothing tells a second answer that crosses the next request from the
// answer to that one. A request waits for that time rather than cost its host another connection.
type Pool struct {
	limit          *ConnLimit
	Dial           func(ctx context.Context, network, addr string) (net.Conn, error) // opens a connection; a net.Dialer's by default
	connectTimeout time.Duration                                                     // for opening a connection, the wait for a slot included
	idleTimeout    time.Duration                                                     // for which an idle connection is kept
	mu             sync.Mutex
	idle           map[Target][]*hostConn // the one used most recently is last
	Opened         atomic.Int64           // connections opened
	Evicted        atomic.Int64           // idle connections closed so that others could have their slot
	Unsolicited    atomic.Int64           // times that a host sent something behind its answer
}

// NewPool returns a Pool whose connections take slots of limit. connectTimeout is the time for opening a connection;
// hostIdleTimeout is the time after which hosts close idle connections.
func NewPool(limit *ConnLimit, connectTimeout, hostIdleTimeout time.Duration) *Pool {
	p := &Pool{limit: limit, Dial: (&net.Dialer{}).DialContext, connectTimeout: connectTimeout, idleTimeout: hostIdleTimeout / hostIdleTimeoutDivisor, idle: map[Target][]*hostConn{}}
	limit.AddEvictor(p.evict)
	return p
}

// hostConn is a connection to a host. It carries one exchange at a time.
type hostConn struct {
	pool   *Pool
	target Target
	conn   net.Conn
	socket socketState
	reader *bufio.Reader

	// Guarded by the pool's lock.
	idleSince       time.Time
	slotTransferred bool // evicted: its slot of the connection limit belongs to another connection

	mu           sync.Mutex // held while a message is written
	exchange     *Exchange  // the exchange in progress, nil if there is none
	fullyWritten bool       // the last byte of its message has been written
	dead         bool       // the connection can't be used for another exchange
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
// may be used at once the one used most recently, else the one with the shortest wait. It returns nil if there is none.
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
	c = idle[i]
	p.setIdle(target, slices.Delete(idle, i, i+1))
	return c, max(0, reuseDelay-now.Sub(c.idleSince))
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
	c := &hostConn{pool: p, target: target, conn: conn, socket: socketStateOf(conn), reader: bufio.NewReaderSize(conn, hostReadBufferBytes)}
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

// send writes the message of an exchange. It returns false, and writes nothing, if the connection can't be used: it was
// closed while it was idle, or bytes have arrived behind the last response, which must not be read as the response to
// this message.
func (c *hostConn) send(x *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead || c.socket.readable() {
		c.dead = true
		return false
	}
	invariant.Check(c.exchange == nil, "one exchange a connection")
	c.exchange, c.fullyWritten, x.hostConn = x, false, c
	c.conn.SetDeadline(x.Deadline)
	if !x.setStop(func() { c.conn.Close() }) || x.StreamBody == nil && !x.beginLastWrite() {
		c.conn.Close() // serve, which reads, ends the exchange
		return true
	}
	message := x.BuildMessage()
	_, err := message.WriteTo(c.conn)
	switch {
	case err != nil:
		c.conn.Close()
	case x.StreamBody != nil:
		x.Deadline = time.Now().Add(maxBodyDuration)
		c.conn.SetReadDeadline(x.Deadline)
		if !x.StreamBody(&BodyWriter{c, x}) {
			c.conn.Close()
		}
	default:
		if c.fullyWritten = true; x.OnWritten != nil {
			x.OnWritten()
		}
	}
	return true
}

// serve reads from the connection until it is closed: the response during an exchange, the host's close between two.
func (c *hostConn) serve() {
	defer c.pool.remove(c)
	for {
		err := c.socket.waitReadable()
		x, idleExpired := c.awaitedExchange(err)
		if idleExpired {
			continue
		}
		if x == nil {
			if err == nil {
				c.pool.Unsolicited.Add(1)
			}
			return
		}
		keepAlive := false
		if err == nil {
			keepAlive, err = x.ReadResponse(c.reader)
		}
		fullyWritten := c.checkFullyWritten()
		outcome := x.finish(err, fullyWritten)
		if outcome == OutcomeAnswered && c.reader.Buffered() > 0 {
			c.pool.Unsolicited.Add(1)
		}
		if keepAlive = keepAlive && fullyWritten && outcome == OutcomeAnswered && c.reader.Buffered() == 0; keepAlive {
			c.clearExchange()
			c.pool.putIdle(c)
		}
		x.OnDone(outcome)
		if !keepAlive {
			return
		}
	}
}

// awaitedExchange returns the exchange in progress when the wait for input has ended with err. If there is none the
// connection is dead from then on: the host has closed it, its idle time-out has passed, or the host has sent something
// without a request. idleExpired reports that the idle time-out passed just as a message was sent, so that the wait goes on.
func (c *hostConn) awaitedExchange(err error) (x *Exchange, idleExpired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange == nil {
		c.dead = true
	} else if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.exchange.Deadline) {
		return nil, true
	}
	return c.exchange, false
}

// checkFullyWritten reports whether the last byte of the message has been written; if not, it detaches the exchange so
// that it never is. A host may respond, or close the connection, before it has the whole message.
func (c *hostConn) checkFullyWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fullyWritten {
		c.exchange = nil
	}
	return c.fullyWritten
}

// clearExchange records that the exchange is over.
func (c *hostConn) clearExchange() {
	c.mu.Lock()
	c.exchange = nil
	c.mu.Unlock()
}

// finish returns how the exchange ended, from the result of reading the response. It can't be cancelled from then on.
func (x *Exchange) finish(err error, fullyWritten bool) Outcome {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stop = nil
	switch {
	case err == nil:
		return OutcomeAnswered
	case x.cancelled && !fullyWritten:
		return OutcomeWithdrawn
	case x.cancelled:
		return OutcomeCancelled
	case !fullyWritten:
		return OutcomeNotWritten
	case errors.Is(err, os.ErrDeadlineExceeded):
		return OutcomeTimedOut
	}
	return OutcomeBroken
}
