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

	mu    sync.Mutex
	given bool
	begun bool // the last byte is written, or about to be
	stop  func()
	c     *hostConn // from when the message is written
}

// SetReadTimeout has what is read next of an answer that goes on come within a time.
func (x *Exchange) SetReadTimeout(d time.Duration) { x.c.conn.SetReadDeadline(time.Now().Add(d)) }

// FullyWritten tells, as its answer is read, whether the last byte of the message was written; if not, it never is.
func (x *Exchange) FullyWritten() bool { return x.c.wasWhole() }

// BodyWriter writes what is left of a message.
type BodyWriter struct {
	c *hostConn
	x *Exchange
}

// ErrUnwanted is a piece that is not written to its end, as nobody wants it any more.
var ErrUnwanted = errors.New("not wanted any more")

// Write writes a further piece as long as it is wanted; nothing has run as long as the last one is missing. A host may take none for long.
func (r *BodyWriter) Write(piece net.Buffers, wanted func() bool) error {
	for until := time.Now().Add(streamWriteTimeout); ; {
		r.c.conn.SetWriteDeadline(time.Now().Add(wantedPollInterval))
		_, err := piece.WriteTo(r.c.conn) // what has gone is not in it any more
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(until) {
			if wanted() {
				continue
			}
			return ErrUnwanted
		}
		if err != nil {
			r.c.conn.Close()
		}
		return err
	}
}

// Abort ends the connection before the last piece: nothing has run.
func (r *BodyWriter) Abort() { r.c.conn.Close() }

// WriteLast writes the last piece; the answer is to come within a time from then on. It is written under the connection's lock: a host that
// has all of it, and ends the connection at once, must not be taken for one that never had.
func (r *BodyWriter) WriteLast(piece net.Buffers, within time.Duration, wanted func() bool) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	if r.c.out != r.x || !r.x.begin() {
		return net.ErrClosed
	}
	err := r.Write(piece, wanted)
	if errors.Is(err, ErrUnwanted) {
		r.x.mu.Lock()
		r.x.begun = false // it may be withdrawn yet
		r.x.mu.Unlock()
	}
	if r.c.whole = err == nil; r.c.whole {
		r.x.Deadline = time.Now().Add(within)
		r.c.conn.SetReadDeadline(r.x.Deadline)
		r.x.OnWritten()
	}
	return err
}

// Cancel ends the exchange by closing its connection.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.given = true
	if x.stop != nil {
		x.stop()
	}
}

// CancelIfUnwritten ends the exchange unless its last byte is written: nothing of it has run, and the host need not hear more.
func (x *Exchange) CancelIfUnwritten() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.given = x.given || !x.begun; !x.begun && x.stop != nil {
		x.stop()
	}
}

// begin says that the last byte is about to be written; it is false where the exchange was given up before.
func (x *Exchange) begin() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.begun = !x.given
	return x.begun
}

func (x *Exchange) wanted() bool { return x.StillWanted == nil || x.StillWanted() }

// stopBy says how the exchange is stopped from now on; it is false if that is due already.
func (x *Exchange) stopBy(stop func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stop = stop
	return !x.given
}

// Target is a host as the pool knows it. Another host may come to the address of one that has gone: what is open to that
// one must not serve it.
type Target struct {
	HostID uint32
	Addr   string
}

// Pool keeps the connections to hosts. The one used last is used first, so that few are kept.
type Pool struct {
	limit   *ConnLimit
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error) // opens one
	within  time.Duration                                                     // for it to come up
	idle    time.Duration                                                     // for which one is kept idle
	mu      sync.Mutex
	free    map[Target][]*hostConn
	Opened  atomic.Int64
	Evicted atomic.Int64 // idle connections closed for others
}

func NewPool(limit *ConnLimit, connectWithin, hostsKeepIdle time.Duration) *Pool {
	p := &Pool{limit: limit, Dial: (&net.Dialer{}).DialContext, within: connectWithin, idle: hostsKeepIdle / hostIdleDivisor, free: map[Target][]*hostConn{}}
	limit.AddEvictor(p.evict)
	return p
}

type hostConn struct {
	pool   *Pool
	to     Target
	conn   net.Conn
	socket socketState
	r      *bufio.Reader

	since     time.Time // idle since then; guarded by the pool, as is slotTaken
	slotTaken bool      // its place under the limit is another's

	mu    sync.Mutex // held while a message is written
	out   *Exchange
	whole bool // its last byte is written
	dead  bool
}

// Start sends an exchange to a host, on a connection that is idle or on a new one.
func (p *Pool) Start(to Target, x *Exchange) {
	if !x.wanted() {
		x.OnDone(OutcomeWithdrawn)
		return
	}
	for c := p.take(to); c != nil; c = p.take(to) {
		if c.send(x) {
			return
		}
	}
	go p.dial(to, x)
}

// take gives the idle connection that was used last.
func (p *Pool) take(to Target) *hostConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	free := p.free[to]
	if len(free) == 0 {
		return nil
	}
	c := free[len(free)-1]
	p.keep(to, free[:len(free)-1])
	return c
}

func (p *Pool) park(c *hostConn) {
	c.conn.SetReadDeadline(time.Now().Add(p.idle))
	p.mu.Lock()
	defer p.mu.Unlock()
	c.since = time.Now()
	p.free[c.to] = append(p.free[c.to], c)
}

// keep is what is idle to a host from now on. Hosts come and go: one to which nothing is idle leaves no trace.
func (p *Pool) keep(to Target, free []*hostConn) {
	if p.free[to] = free; len(free) == 0 {
		delete(p.free, to)
	}
}

// drop forgets a connection that is closed.
func (p *Pool) drop(c *hostConn) {
	p.mu.Lock()
	p.forget(c)
	slotTaken := c.slotTaken
	p.mu.Unlock()
	c.conn.Close()
	if !slotTaken {
		p.limit.Release()
	}
}

func (p *Pool) forget(c *hostConn) {
	free := p.free[c.to]
	if i := slices.Index(free, c); i >= 0 {
		p.keep(c.to, slices.Delete(free, i, i+1))
	}
}

// evict closes the connection that has been idle longest.
func (p *Pool) evict() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *hostConn
	for _, free := range p.free { // in any order: the oldest is the same
		if len(free) > 0 && (oldest == nil || free[0].since.Before(oldest.since)) {
			oldest = free[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.forget(oldest)
	p.Evicted.Add(1)
	oldest.slotTaken = true
	oldest.conn.Close()
	return true
}

// CloseIdleTo closes the idle connections to a host to which nothing more is sent.
func (p *Pool) CloseIdleTo(to Target) {
	for c := p.take(to); c != nil; c = p.take(to) {
		c.conn.Close()
	}
}

// CloseAllIdle closes all on which nothing is out.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, free := range p.free { // in any order: all are closed
		for _, c := range free {
			c.conn.Close()
		}
	}
	p.free = map[Target][]*hostConn{} // one that is closed must not be taken before it notices
}

func (p *Pool) dial(to Target, x *Exchange) {
	ctx, cancel := context.WithDeadline(context.Background(), earlier(x.Deadline, time.Now().Add(p.within)))
	defer cancel()
	if !x.stopBy(cancel) {
		x.OnDone(OutcomeWithdrawn)
		return
	}
	began := time.Now()
	acquired := p.limit.Acquire(ctx)
	x.SlotWait = time.Since(began)
	if !acquired {
		if x.stopBy(nil) {
			x.OnDone(OutcomeNoSlot)
		} else {
			x.OnDone(OutcomeWithdrawn)
		}
		return
	}
	nc, err := p.Dial(ctx, "tcp", to.Addr)
	if err != nil {
		p.limit.Release()
		if x.stopBy(nil) {
			x.OnDone(OutcomeConnectFailed)
		} else {
			x.OnDone(OutcomeWithdrawn)
		}
		return
	}
	p.Opened.Add(1)
	if !x.wanted() { // it was long in coming up
		nc.Close()
		p.limit.Release()
		x.OnDone(OutcomeWithdrawn)
		return
	}
	nc.(*net.TCPConn).SetWriteBuffer(sendBufferSize)
	c := &hostConn{pool: p, to: to, conn: nc, socket: socketStateOf(nc), r: bufio.NewReaderSize(nc, hostBufferSize)}
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
	invariant.Check(c.out == nil, "one exchange a connection")
	c.out, c.whole, x.c = x, false, c
	c.conn.SetDeadline(x.Deadline)
	if !x.stopBy(func() { c.conn.Close() }) || x.StreamBody == nil && !x.begin() {
		c.conn.Close() // its goroutine ends the exchange
		return true
	}
	message := x.BuildMessage()
	_, err := message.WriteTo(c.conn)
	switch {
	case err != nil:
		c.conn.Close()
	case x.StreamBody != nil:
		x.Deadline = time.Now().Add(maxBodyTime)
		c.conn.SetReadDeadline(x.Deadline)
		if !x.StreamBody(&BodyWriter{c, x}) {
			c.conn.Close()
		}
	default:
		if c.whole = true; x.OnWritten != nil {
			x.OnWritten()
		}
	}
	return true
}

// serve reads: answers while a message is out, the host's closing while none is.
func (c *hostConn) serve() {
	defer c.pool.drop(c)
	for {
		err := c.socket.waitReadable()
		x, late := c.await(err)
		if late {
			continue
		}
		if x == nil {
			return
		}
		keep := false
		if err == nil {
			keep, err = x.ReadResponse(c.r)
		}
		whole := c.wasWhole()
		how := x.ended(err, whole)
		if keep = keep && whole && how == OutcomeAnswered && c.r.Buffered() == 0; keep {
			c.release()
			c.pool.park(c)
		}
		x.OnDone(how)
		if !keep {
			return
		}
	}
}

// await gives the exchange that is out. Where none is, the connection is dead from then on: the host has closed it,
// it has been idle for too long, or something came that nobody has asked for. late tells that the time for which it
// may stand idle was over just as a message was sent.
func (c *hostConn) await(err error) (x *Exchange, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.out == nil {
		c.dead = true
	} else if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.out.Deadline) {
		return nil, true
	}
	return c.out, false
}

// wasWhole tells whether the last byte of the message was written; if not, it never is. A host may answer, or break off, before that.
func (c *hostConn) wasWhole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.whole {
		c.out = nil
	}
	return c.whole
}

func (c *hostConn) release() {
	c.mu.Lock()
	c.out = nil
	c.mu.Unlock()
}

// ended tells how the exchange ended; from then on it can't be given up.
func (x *Exchange) ended(err error, whole bool) Outcome {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stop = nil
	switch {
	case err == nil:
		return OutcomeAnswered
	case x.given && !whole:
		return OutcomeWithdrawn
	case x.given:
		return OutcomeCancelled
	case !whole:
		return OutcomeNotWritten
	case errors.Is(err, os.ErrDeadlineExceeded):
		return OutcomeTimedOut
	}
	return OutcomeBroken
}
