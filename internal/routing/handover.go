package routing

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"spanmux/internal/invariant"
	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

var errHandedOver = errors.New("handed over")

// handoverRecord says how a streamed answer goes on that is handed over to the process that replaces this one; what has been read and not written
// goes with it. Without a note what is handed over is a message that is not whole.
type handoverRecord struct {
	Trace                string // its transaction's id, for the log
	Host                 logic.HostID
	Body                 protocol.BodyState
	Framing              protocol.StreamFraming
	Closing              bool
	Last                 bool // nothing follows what was read
	RequestsLearnedState bool `json:"Asks"` // for what has been learnt; nothing is handed over
}

// responseStream is a streamed answer under way from its host to its client.
type responseStream struct {
	traceID             string
	startedAt           time.Time // in this process
	client              *transport.Client
	hostConn            net.Conn
	readable            func() bool // the host has given something, or ended
	hostID              logic.HostID
	body                *protocol.Body
	pending             net.Buffers // goes first
	readAhead           []byte      // then this
	readAheadReserved   int         // room taken for that
	receiveBufferRaised bool        // the machine takes in much of what the host gives
	lastWriteAt         time.Time   // when the client last took something
	framing             protocol.StreamFraming
	closesClient        bool  // the client's connection closes behind it
	requestComplete     bool  // nothing else is to come on that before it
	fullyRead           bool  // all of it has been read
	readErr             error // nothing more comes, though it is not whole
}

// forwardStream passes on the rest of a streamed answer, piece by piece, after what is to be sent before it. Where this process ends and another
// takes clients, that other goes on with it: a client may read for longer than an ending process has.
func (d *Dispatcher) forwardStream(s *responseStream) (handedOver bool, err error) {
	buf := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buf)
	defer d.releaseReadAhead(s)
	mayHandOver := s.requestComplete && d.sharedListener // what still comes of the client's message is not handed over
	d.trackStream(s, true)
	defer d.trackStream(s, false)
	s.readable, s.lastWriteAt = transport.ReadableCheck(s.hostConn), time.Now()
	for {
		if mayHandOver && s.readErr == nil && d.closing.Load() {
			mayHandOver = false
			record, err := json.Marshal(handoverRecord{Trace: s.traceID, Host: s.hostID, Body: s.body.State(), Framing: s.framing, Closing: s.closesClient, Last: s.fullyRead})
			unsent := append(bytes.Join(s.pending, nil), s.readAhead...)
			if err == nil && transport.HandOverClient(d.handoverPath, record, unsent, s.client, s.hostConn) {
				d.Counters.HandedOver.Add(1)
				return true, nil
			}
		}
		readsAhead := !s.fullyRead && s.readErr == nil && d.shouldReadAhead(s)
		// A nudge ends a piece too: this process ends, or hosts drain.
		if err = s.writePending(readsAhead); err != nil && !(errors.Is(err, transport.ErrWriteTimeout) && time.Since(s.lastWriteAt) < clientStreamIdleTimeout) {
			return false, err
		}
		if readsAhead {
			s.readErr = d.fillReadAhead(s)
		}
		if len(s.pending) > 0 {
			continue
		}
		switch {
		case len(s.readAhead) > 0:
			n := min(len(s.readAhead), streamBufferBytes)
			s.pending, s.readAhead = net.Buffers{s.readAhead[:n]}, s.readAhead[n:]
		case s.fullyRead || s.readErr != nil: // the client has all that the host gave
			return false, s.readErr
		default:
			s.pending, s.readErr = s.readNext(buf[:])
		}
	}
}

// readNext reads what comes next, as it is to be written; nothing where it is nudged meanwhile.
func (s *responseStream) readNext(buf []byte) (net.Buffers, error) {
	deadline := time.Now().Add(hostStreamIdleTimeout)
	s.hostConn.SetReadDeadline(deadline)
	n, err := s.body.Read(buf)
	if s.fullyRead = errors.Is(err, io.EOF); s.fullyRead || errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
		err = nil
	}
	if n > 0 || s.fullyRead {
		return s.framing.EncodePiece(buf[:n], s.fullyRead), err
	}
	return nil, err
}

// shouldReadAhead tells whether a host is let get rid of an answer faster than its client takes it. One that drains goes once it has written all, and
// what its own socket still holds then goes with it, megabytes at times. So as it drains this machine's socket takes in what that holds, which
// outlives the host, and the end is read ahead besides. Where the length is said that is near only towards the end.
func (d *Dispatcher) shouldReadAhead(s *responseStream) bool {
	remaining, known := s.body.Remaining()
	if !d.hostDraining(s.hostID) {
		return known && remaining <= maxReadAheadTailBytes
	}
	if !s.receiveBufferRaised {
		s.receiveBufferRaised = true
		s.hostConn.(*net.TCPConn).SetReadBuffer(drainingHostReceiveBufferBytes) // fails for one that is closed, which shows when it is read
	}
	return !known || remaining <= maxDrainingReadAheadBytes
}

// writePending writes what is unsent, or part of it.
func (s *responseStream) writePending(short bool) (err error) {
	before := totalLen(s.pending)
	if s.pending, err = s.client.WriteStream(s.pending, short); err == nil {
		s.pending = nil
	}
	if before == 0 || totalLen(s.pending) < before {
		s.lastWriteAt = time.Now()
	}
	return err
}

func totalLen(parts net.Buffers) (n int) {
	for _, part := range parts {
		n += len(part)
	}
	return n
}

// fillReadAhead takes in what a host gives. It waits for nothing. The room for it is its own: that for bodies is taken by clients that are slow
// to send, just when others are slow to read. Half of it is for answers whose end is known to be near.
func (d *Dispatcher) fillReadAhead(s *responseStream) error {
	buf := streamBuffers.Get().(*[streamBufferBytes]byte) // what is not sent yet may lie in the other one
	defer streamBuffers.Put(buf)
	if len(s.readAhead) == 0 {
		d.releaseReadAhead(s)
	}
	for !s.fullyRead && (s.body.Buffered() || s.readable()) && d.reserveReadAhead(s) {
		parts, err := s.readNext(buf[:])
		for _, part := range parts {
			s.readAhead = append(s.readAhead, part...)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// reserveReadAhead takes room for a further piece.
func (d *Dispatcher) reserveReadAhead(s *responseStream) bool {
	_, known := s.body.Remaining()
	minRemaining := int64(0)
	if !known {
		minRemaining = d.maxReadAheadBudget / 2
	}
	if d.readAheadBudget.Add(-streamBufferBytes) >= minRemaining {
		s.readAheadReserved += streamBufferBytes
		return true
	}
	d.readAheadBudget.Add(streamBufferBytes)
	return false
}

// releaseReadAhead gives the room back.
func (d *Dispatcher) releaseReadAhead(s *responseStream) {
	d.readAheadBudget.Add(int64(s.readAheadReserved))
	s.readAheadReserved = 0
}

// hostDraining tells whether a host drains, or is gone from the list.
func (d *Dispatcher) hostDraining(id logic.HostID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.discovery.acceptsNewHops(id)
}

// logStreamBroken says what is known of an answer that ended too soon.
func (d *Dispatcher) logStreamBroken(s *responseStream, err error, adopted bool) {
	if !d.Counters.warningLimiter.allow() {
		return
	}
	remaining, known := s.body.Remaining()
	slog.Warn("answer broken off", "error", err, "trace", s.traceID, "after", time.Since(s.startedAt), "adopted", adopted, "left", remaining,
		"of all", known, "ahead", len(s.readAhead), "drains", d.hostDraining(s.hostID))
}

// trackStream notes whether a streamed answer is under way.
func (d *Dispatcher) trackStream(s *responseStream, active bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if active {
		d.streams[s] = true
	} else {
		delete(d.streams, s)
	}
}

// interruptStreams has streams that wait for a client to read, or for a host to go on, look at whether they are to be handed over, or their hosts
// drain. One that waited for its host ended with its process once.
func (d *Dispatcher) interruptStreams() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s := range d.streams { // in any order: all are
		s.client.InterruptWrite()
		s.hostConn.SetReadDeadline(time.Now())
	}
}

// ListenForHandover listens at a path for answers that the process before this one can't finish, and is where this one hands over its own.
//
// The process before is asked first for what it has learnt: one that begins by guesses rolls back what hosts could do.
func (d *Dispatcher) ListenForHandover(path string) error {
	query, err := json.Marshal(handoverRecord{RequestsLearnedState: true})
	invariant.Check(err == nil, "a note can be written")
	if reply := transport.QueryProcess(path, query); json.Unmarshal(reply, &d.predecessor.state) == nil {
		d.predecessor.receivedAt = time.Now()
	}
	listener, err := transport.ListenHandover(path)
	if err != nil {
		return err
	}
	d.handoverPath = path
	go listener.Serve(d.adopt)
	return nil
}

// handOverOrReject ends with a message that is not whole as this process ends, and of which no host has anything: the next process hears it out, or
// its client is told at once to come again.
func (d *Dispatcher) handOverOrReject(c *transport.Client) {
	if !d.handOver(c) {
		d.Counters.RejectedBeforeAdmission.Add(1)
		c.WriteFinal(protocol.TextResponse(503, "ends\n", 0, true))
	}
}

// handOver hands a client over with what has come of its message.
func (d *Dispatcher) handOver(c *transport.Client) (handedOver bool) {
	received, complete := c.Retained()
	if handedOver = complete && d.sharedListener && transport.HandOverClient(d.handoverPath, nil, received, c); handedOver {
		d.Counters.HandedOver.Add(1)
	}
	return handedOver
}

// adopt goes on with what was handed over: a message that is not whole, or an answer, and then its client.
func (d *Dispatcher) adopt(encoded, received []byte, conns []net.Conn) (reply []byte) {
	if len(encoded) == 0 && len(conns) == 1 {
		d.Counters.Adopted.Add(1)
		d.listener.AdoptPartial(conns[0], received, d.serveClient)
		return nil
	}
	var record handoverRecord
	var body *protocol.Body
	err := json.Unmarshal(encoded, &record)
	if err == nil && record.RequestsLearnedState && len(conns) == 0 {
		return d.encodeLearnedState()
	}
	if err == nil && len(conns) == 2 {
		body = record.Body.Resume(conns[1])
	}
	if body == nil || record.Framing < protocol.FramingLength || record.Framing > protocol.FramingClose {
		slog.Warn("handed over, and not understood", "connections", len(conns), "error", err)
		for _, conn := range conns {
			conn.Close()
		}
		return nil
	}
	client, host := conns[0], conns[1]
	d.Counters.Adopted.Add(1)
	d.Counters.OpenTransactions.Add(1)
	d.listener.Adopt(client, func(c *transport.Client) {
		stream := &responseStream{traceID: record.Trace, startedAt: time.Now(), client: c, hostConn: host, hostID: record.Host, body: body, readAhead: received,
			framing: record.Framing, closesClient: record.Closing, requestComplete: true, fullyRead: record.Last}
		handedOver, err := d.forwardStream(stream)
		host.Close()
		d.Counters.OpenTransactions.Add(-1)
		switch {
		case handedOver:
			return
		case err != nil:
			d.logStreamBroken(stream, err, true)
			if d.Counters.ResponsesCutOff.Add(1); record.Framing == protocol.FramingClose {
				c.Reset()
			}
		case !record.Closing:
			c.MarkIdle()
			d.serveClient(c)
		}
	})
	return nil
}

// encodeLearnedState is what this process has learnt, for the next.
func (d *Dispatcher) encodeLearnedState() []byte {
	d.mu.Lock()
	state := d.core.ExportLearned(d.now())
	d.mu.Unlock()
	text, err := json.Marshal(state)
	invariant.Check(err == nil, "what was learnt can be written")
	return text
}

// importPredecessorState has the module take in what the process before had learnt, of the hosts that are known by now. Under the lock, within the module's turn.
func (d *Dispatcher) importPredecessorState(now time.Duration) {
	if !d.predecessor.receivedAt.IsZero() {
		d.core.ImportLearned(now, d.predecessor.state, time.Since(d.predecessor.receivedAt))
	}
}
