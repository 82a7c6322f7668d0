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

// Outcome tells how an exchange ended.
type Outcome int

const (
	OutcomeAnswered      Outcome = iota
	OutcomeConnectFailed         // no connection
	OutcomeNotWritten            // it broke before the last byte was written
	OutcomeBroken                // it broke after that, or the answer made no sense
	OutcomeTimedOut
	OutcomeCancelled
	OutcomeNoSlot    // this process had no socket for it: never ran, and its host knows nothing of it
	OutcomeWithdrawn // given up before its last byte was written, or not wanted any more as it was to be: never ran
)

// Exchange is one message to a host and what comes back. Done is called exactly once.
type Exchange struct {
	BuildMessage func() net.Buffers // made when it is written, so that it can say what time is left
	Deadline     time.Time
	// StillWanted is nil, or tells whether the message is still to be sent; it is asked as a connection is there. It may have been long in coming.
	StillWanted  func() bool
	ReadResponse func(*bufio.Reader) (keep bool, err error)
	OnWritten    func() // nil, or called once the last byte of the message is written
	OnDone       func(Outcome)
	// StreamBody is nil, or takes what writes the rest where Message is only the beginning; it returns at once, and false where nothing
	// is to be written any more. The time until which the exchange may take is given with the last piece.
	StreamBody func(*BodyWriter) bool
	// SlotWait is the time for which it waited for a socket of this process, which is none of its host's.
	SlotWait time.Duration

	mu             sync.Mutex
	cancelled      bool
	lastWriteBegun bool // the last byte is written, or about to be
	stop           func()
	hostConn       *hostConn // from when the message is written
}

// SetReadTimeout has what is read next of an answer that goes on come within a time.
func (x *Exchange) SetReadTimeout(timeout time.Duration) {
	x.hostConn.conn.SetReadDeadline(time.Now().Add(timeout))
}

// FullyWritten tells, as its answer is read, whether the last byte of the message was written; if not, it never is.
func (x *Exchange) FullyWritten() bool { return x.hostConn.checkFullyWritten() }

// BodyWriter writes what is left of a message.
type BodyWriter struct {
	hostConn *hostConn
	exchange *Exchange
}

// ErrUnwanted is a piece that is not written to its end, as nobody wants it any more.
var ErrUnwanted = errors.New("not wanted any more")

// Write writes a further piece as long as it is wanted; nothing has run as long as the last one is missing. A host may take none for long.
func (w *BodyWriter) Write(piece net.Buffers, stillWanted func() bool) error {
	for deadline := time.Now().Add(streamWriteTimeout); ; {
		w.hostConn.conn.SetWriteDeadline(time.Now().Add(stillWantedPollInterval))
		_, err := piece.WriteTo(w.hostConn.conn) // what has gone is not in it any more
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

// Abort ends the connection before the last piece: nothing has run.
func (w *BodyWriter) Abort() { w.hostConn.conn.Close() }

// WriteLast writes the last piece; the answer is to come within a time from then on. It is written under the connection's lock: a host that
// has all of it, and ends the connection at once, must not be taken for one that never had.
func (w *BodyWriter) WriteLast(piece net.Buffers, responseTimeout time.Duration, stillWanted func() bool) error {
	w.hostConn.mu.Lock()
	defer w.hostConn.mu.Unlock()
	if w.hostConn.exchange != w.exchange || !w.exchange.beginLastWrite() {
		return net.ErrClosed
	}
	err := w.Write(piece, stillWanted)
	if errors.Is(err, ErrUnwanted) {
		w.exchange.mu.Lock()
		w.exchange.lastWriteBegun = false // it may be withdrawn yet
		w.exchange.mu.Unlock()
	}
	if w.hostConn.fullyWritten = err == nil; w.hostConn.fullyWritten {
		w.exchange.Deadline = time.Now().Add(responseTimeout)
		w.hostConn.conn.SetReadDeadline(w.exchange.Deadline)
		w.exchange.OnWritten()
	}
	return err
}

// Cancel ends the exchange by closing its connection.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = true
	if x.stop != nil {
		x.stop()
	}
}

// CancelIfUnwritten ends the exchange unless its last byte is written: nothing of it has run, and the host need not hear more.
func (x *Exchange) CancelIfUnwritten() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelled = x.cancelled || !x.lastWriteBegun; !x.lastWriteBegun && x.stop != nil {
		x.stop()
	}
}

// beginLastWrite says that the last byte is about to be written; it is false where the exchange was given up before.
func (x *Exchange) beginLastWrite() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastWriteBegun = !x.cancelled
	return x.lastWriteBegun
}

func (x *Exchange) isWanted() bool { return x.StillWanted == nil || x.StillWanted() }

// setStop says how the exchange is stopped from now on; it is false if that is due already.
func (x *Exchange) setStop(stop func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stop = stop
	return !x.cancelled
}

// Target is a host as the pool knows it. Another host may come to the address of one that has gone: what is open to that
// one must not serve it.
type Target struct {
	HostID uint32
	Addr   string
}

// Pool keeps the connections to hosts. The one used last is used first, so that few are kept.
type Pool struct {
	limit          *ConnLimit
	Dial           func(ctx context.Context, network, addr string) (net.Conn, error) // opens one
	connectTimeout time.Duration                                                     // for it to come up
	idleTimeout    time.Duration                                                     // for which one is kept idle
	mu             sync.Mutex
	idle           map[Target][]*hostConn
	Opened         atomic.Int64
	Evicted        atomic.Int64 // idle connections closed for others
}

func NewPool(limit *ConnLimit, connectTimeout, hostIdleTimeout time.Duration) *Pool {
	p := &Pool{limit: limit, Dial: (&net.Dialer{}).DialContext, connectTimeout: connectTimeout, idleTimeout: hostIdleTimeout / hostIdleDivisor, idle: map[Target][]*hostConn{}}
	limit.AddEvictor(p.evict)
	return p
}

type hostConn struct {
	pool   *Pool
	target Target
	conn   net.Conn
	socket socketState
	reader *bufio.Reader

	idleSince       time.Time // idle since then; guarded by the pool, as is slotTaken
	slotTransferred bool      // its place under the limit is another's

	mu           sync.Mutex // held while a message is written
	exchange     *Exchange
	fullyWritten bool // its last byte is written
	dead         bool
}

// Start sends an exchange to a host, on a connection that is idle or on a new one.
func (p *Pool) Start(target Target, x *Exchange) {
	if !x.isWanted() {
		x.OnDone(OutcomeWithdrawn)
		return
	}
	for c := p.takeIdle(target); c != nil; c = p.takeIdle(target) {
		if c.send(x) {
			return
		}
	}
	go p.dial(target, x)
}

// takeIdle gives the idle connection that was used last.
func (p *Pool) takeIdle(target Target) *hostConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[target]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.setIdle(target, idle[:len(idle)-1])
	return c
}

func (p *Pool) putIdle(c *hostConn) {
	c.conn.SetReadDeadline(time.Now().Add(p.idleTimeout))
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.idle[c.target] = append(p.idle[c.target], c)
}

// setIdle is what is idle to a host from now on. Hosts come and go: one to which nothing is idle leaves no trace.
func (p *Pool) setIdle(target Target, idle []*hostConn) {
	if p.idle[target] = idle; len(idle) == 0 {
		delete(p.idle, target)
	}
}

// remove forgets a connection that is closed.
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

func (p *Pool) removeIdle(c *hostConn) {
	idle := p.idle[c.target]
	if i := slices.Index(idle, c); i >= 0 {
		p.setIdle(c.target, slices.Delete(idle, i, i+1))
	}
}

// evict closes the connection that has been idle longest.
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

// CloseIdleTo closes the idle connections to a host to which nothing more is sent.
func (p *Pool) CloseIdleTo(target Target) {
	for c := p.takeIdle(target); c != nil; c = p.takeIdle(target) {
		c.conn.Close()
	}
}

// CloseAllIdle closes all on which nothing is out.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle { // in any order: all are closed
		for _, c := range idle {
			c.conn.Close()
		}
	}
	p.idle = map[Target][]*hostConn{} // one that is closed must not be taken before it notices
}

func (p *Pool) dial(target Target, x *Exchange) {
	ctx, cancel := context.WithDeadline(context.Background(), earlier(x.Deadline, time.Now().Add(p.connectTimeout)))
	defer cancel()
	if !x.setStop(cancel) {
		x.OnDone(OutcomeWithdrawn)
		return
	}
	waitStart := time.Now()
	acquired := p.limit.Acquire(ctx)
	x.SlotWait = time.Since(waitStart)
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
	if !x.isWanted() { // it was long in coming up
		conn.Close()
		p.limit.Release()
		x.OnDone(OutcomeWithdrawn)
		return
	}
	conn.(*net.TCPConn).SetWriteBuffer(sendBufferSize)
	c := &hostConn{pool: p, target: target, conn: conn, socket: socketStateOf(conn), reader: bufio.NewReaderSize(conn, hostBufferSize)}
	if !c.send(x) { // its host speaks, or ends it, unasked
		x.OnDone(OutcomeNotWritten)
	}
	c.serve()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// send writes the message; it is false if the connection has died idle, or is of no more use, and nothing was written. What
// has come by then, behind an answer that was whole, must not be read as the answer to this message.
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
		c.conn.Close() // its goroutine ends the exchange
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

// serve reads: answers while a message is out, the host's closing while none is.
func (c *hostConn) serve() {
	defer c.pool.remove(c)
	for {
		err := c.socket.waitReadable()
		x, idleExpired := c.awaitedExchange(err)
		if idleExpired {
			continue
		}
		if x == nil {
			return
		}
		keepAlive := false
		if err == nil {
			keepAlive, err = x.ReadResponse(c.reader)
		}
		fullyWritten := c.checkFullyWritten()
		outcome := x.finish(err, fullyWritten)
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

// awaitedExchange gives the exchange that is out. Where none is, the connection is dead from then on: the host has closed it,
// it has been idle for too long, or something came that nobody has asked for. late tells that the time for which it
// may stand idle was over just as a message was sent.
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

// checkFullyWritten tells whether the last byte of the message was written; if not, it never is. A host may answer, or break off, before that.
func (c *hostConn) checkFullyWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fullyWritten {
		c.exchange = nil
	}
	return c.fullyWritten
}

func (c *hostConn) clearExchange() {
	c.mu.Lock()
	c.exchange = nil
	c.mu.Unlock()
}

// finish tells how the exchange ended; from then on it can't be given up.
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
