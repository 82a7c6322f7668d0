package transport

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"spanmux/internal/invariant"
)

// hostConn is a connection to a host. It carries one exchange at a time.
type hostConn struct {
	pool   *Pool
	target Target
	conn   net.Conn
	socket socketState

	// Guarded by the pool's lock.
	idleSince       time.Time
	slotTransferred bool // evicted: its slot of the connection limit belongs to another connection

	mu           sync.Mutex // held while a message is written
	exchange     *Exchange  // the exchange in progress, nil if there is none
	fullyWritten bool       // the last byte of its message has been written
	dead         bool       // the connection can't be used for another exchange
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
	c.conn.SetReadDeadline(x.Deadline)
	stop := func() { // called with the lock of the exchange
		if x.lastWriteBegun {
			c.abort()
		}
		c.conn.Close()
	}
	if !x.setStop(stop) || x.StreamBody == nil && !x.beginLastWrite() {
		c.conn.Close() // serve, which reads, ends the exchange
		return true
	}
	err := c.write(x.BuildMessage(), WriteLimit{x.writeDeadline(), x.mayWriteOn})
	switch {
	case err != nil:
		if errors.Is(err, ErrWriteOverdue) {
			x.markWriteOverdue()
		}
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
		if !x.DeliverBy.IsZero() {
			time.AfterFunc(time.Until(x.DeliverBy), x.endIfUndelivered)
		}
	}
	return true
}

// write writes part of a message within a limit. A host may accept nothing for a long time, or little at a time.
func (c *hostConn) write(parts net.Buffers, limit WriteLimit) error {
	for {
		now := time.Now()
		if !now.Before(limit.Deadline) {
			return ErrWriteOverdue
		}
		c.conn.SetWriteDeadline(earlier(limit.Deadline, now.Add(stillWantedPollInterval)))
		_, err := parts.WriteTo(c.conn) // removes from parts what has been written
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if !limit.StillWanted() {
			return ErrUnwanted
		}
	}
}

// abort closes the connection with a message written whole. What of it the host's machine has not acknowledged is dropped:
// after a mere close the system would go on delivering it, to its last byte.
func (c *hostConn) abort() {
	if c.socket.unacknowledged() > 0 {
		c.conn.(*net.TCPConn).SetLinger(0)
	}
	c.conn.Close()
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
		keepAlive, excess := false, 0
		if err == nil {
			keepAlive, excess, err = c.readResponse(x)
		}
		fullyWritten := c.checkFullyWritten()
		outcome := x.finish(err, fullyWritten)
		if outcome == OutcomeAnswered && excess > 0 {
			c.pool.Unsolicited.Add(1)
		}
		if keepAlive = keepAlive && fullyWritten && outcome == OutcomeAnswered && excess == 0; keepAlive {
			c.clearExchange()
			c.pool.putIdle(c)
		}
		if fullyWritten && outcome != OutcomeAnswered {
			c.abort()
		}
		x.OnDone(outcome)
		if !keepAlive {
			return
		}
	}
}

// hostReaderPool holds the buffers of connections to hosts that are reading a response.
var hostReaderPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, hostReadBufferBytes) }}

// readResponse reads the response of an exchange, of which something has arrived. excess is the number of bytes that were
// read behind it.
func (c *hostConn) readResponse(x *Exchange) (keepAlive bool, excess int, err error) {
	reader := hostReaderPool.Get().(*bufio.Reader)
	reader.Reset(c.conn)
	keepAlive, err = x.ReadResponse(reader)
	excess = reader.Buffered()
	reader.Reset(nil)
	hostReaderPool.Put(reader)
	return keepAlive, excess, err
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
