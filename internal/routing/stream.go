package routing

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"slices"
	"time"

	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// responseStream is a response that is being streamed from a host to a client.
type responseStream struct {
	traceID             string
	startedAt           time.Time // in this process
	client              *transport.Client
	hostConn            net.Conn
	readable            func() bool // the host has sent something, or closed
	hostID              logic.HostID
	body                *protocol.Body
	pending             net.Buffers // written first
	readAhead           readAhead   // written after pending
	receiveBufferRaised bool        // the receive buffer of hostConn was enlarged
	lastWriteAt         time.Time   // when the client last read something
	framing             protocol.StreamFraming
	closesClient        bool            // the client's connection closes after the response
	requestComplete     bool            // no input of the client's request is outstanding, and none of its next is read
	fullyRead           bool            // the whole response was read
	readErr             error           // the response ended early
	claim               func() *idClaim // of its transaction's trace ID; returns nil if this process has none
}

// forwardStream writes what is pending of a streamed response, then the rest of it as it comes. When
// this process shuts down and another accepts clients, the other one continues the response: a client
// may read for longer than this process has left.
func (d *Dispatcher) forwardStream(s *responseStream) (handedOver bool, err error) {
	buffer := newStreamBuffer(d.responseMemory)
	defer buffer.release()
	defer s.readAhead.release()
	mayHandOver := s.requestComplete && d.sharedListener // the rest of an incomplete request is not handed over
	d.trackStream(s, true)
	defer d.trackStream(s, false)
	s.readable, s.lastWriteAt = transport.ReadableCheck(s.hostConn), time.Now()
	for {
		if mayHandOver && s.readErr == nil && d.closing.Load() && !s.client.Pipelined() {
			mayHandOver = false
			record, err := json.Marshal(handoverRecord{Trace: s.traceID, Host: s.hostID, Body: s.body.State(), Framing: s.framing, ClosesClient: s.closesClient, FullyRead: s.fullyRead, Claim: s.claim()})
			unsent := append(slices.Clone(s.pending), s.readAhead.pieces...)
			if err == nil && transport.HandOverClient(d.handoverPath, record, unsent, s.client, s.hostConn) {
				d.Counters.HandedOver.Add(1)
				return true, nil
			}
		}
		runtime.Gosched() // a response that comes and is read fast would hold up all other connections
		readsAhead := !s.fullyRead && s.readErr == nil && d.shouldReadAhead(s)
		// interruptStreams ends a write too: this process shuts down, or hosts drain.
		if err = s.writePending(readsAhead); err != nil && !(errors.Is(err, transport.ErrWriteTimeout) && time.Since(s.lastWriteAt) < clientStreamIdleTimeout) {
			return false, err
		}
		if readsAhead {
			s.readErr = d.fillReadAhead(s)
		}
		if len(s.pending) > 0 {
			continue
		}
		switch piece := s.readAhead.next(); {
		case piece != nil:
			s.pending = net.Buffers{piece}
		case s.fullyRead || s.readErr != nil: // the client has everything that the host sent
			return false, s.readErr
		default:
			s.pending, s.readErr = s.readNext(buffer.bytes)
		}
	}
}

// readNext reads the next piece, encoded for the client. It returns nothing if interruptStreams
// interrupts it.
func (s *responseStream) readNext(buf []byte) (net.Buffers, error) {
	deadline := time.Now().Add(hostStreamIdleTimeout)
	s.hostConn.SetReadDeadline(deadline)
	n, err := s.body.ReadAvailable(buf)
	if s.fullyRead = errors.Is(err, io.EOF); s.fullyRead || errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
		err = nil
	}
	if n > 0 || s.fullyRead {
		return s.framing.EncodePiece(buf[:n], s.fullyRead), err
	}
	return nil, err
}

// shouldReadAhead reports whether to read a response faster than its client does. A draining host
// exits once it has written everything, and what its own socket still holds, megabytes at times, is
// lost with it. So while a host drains, the receive buffer of this machine's socket is enlarged to
// take what the host's socket holds, and the end of the response is read ahead as well. Where the
// length is known, that is done only towards the end.
func (d *Dispatcher) shouldReadAhead(s *responseStream) bool {
	remaining, known := s.body.Remaining()
	if !d.hostDraining(s.hostID) {
		return known && remaining <= maxReadAheadTailBytes
	}
	if !s.receiveBufferRaised {
		s.receiveBufferRaised = true
		s.hostConn.(*net.TCPConn).SetReadBuffer(drainingHostReceiveBufferBytes) // fails if it is closed, which the next read shows
	}
	return !known || remaining <= maxDrainingReadAheadBytes
}

// writePending writes what is pending, or part of it.
func (s *responseStream) writePending(brief bool) (err error) {
	before := totalLen(s.pending)
	if s.pending, err = s.client.WriteStream(s.pending, brief); err == nil {
		s.pending = nil
	}
	if before == 0 || totalLen(s.pending) < before {
		s.lastWriteAt = time.Now()
	}
	return err
}

// totalLen returns how many bytes the parts hold.
func totalLen(parts net.Buffers) (n int) {
	for _, part := range parts {
		n += len(part)
	}
	return n
}

// fillReadAhead reads what a host has sent, without waiting. It has a budget of its own, as the one
// for request bodies may be used up by clients that send slowly while others read slowly. Half of it
// is kept for responses whose end is known to be near.
func (d *Dispatcher) fillReadAhead(s *responseStream) error {
	buffer := newStreamBuffer(d.responseMemory) // pending may refer to the other buffer
	defer buffer.release()
	reserve := d.responseMemory.TryReserve
	if _, lengthKnown := s.body.Remaining(); !lengthKnown {
		reserve = d.responseMemory.TryReserveFirstHalf
	}
	for !s.fullyRead && (s.body.Buffered() || s.readable()) && s.readAhead.makeRoom(reserve) {
		parts, err := s.readNext(buffer.bytes)
		for _, part := range parts {
			s.readAhead.append(part)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// hostDraining reports whether a host drains or is no longer listed.
func (d *Dispatcher) hostDraining(id logic.HostID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.discovery.acceptsNewHops(id)
}

// logStreamBroken logs what is known of a response that ended early.
func (d *Dispatcher) logStreamBroken(s *responseStream, err error, adopted bool) {
	if !d.Counters.warningLimiter.allow() {
		return
	}
	remaining, known := s.body.Remaining()
	slog.Warn("streamed response broken off", "error", err, "trace", s.traceID, "after", time.Since(s.startedAt), "adopted", adopted, "remaining", remaining,
		"length_known", known, "read_ahead", s.readAhead.size(), "host_draining", d.hostDraining(s.hostID))
}

// trackStream adds a response to those being streamed, or removes it.
func (d *Dispatcher) trackStream(s *responseStream, active bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if active {
		d.streams[s] = true
	} else {
		delete(d.streams, s)
	}
}

// interruptStreams interrupts streams that wait for a client to read or for a host to send, so that
// they check whether they are to be handed over or their hosts drain. Without it, a stream that waits
// for its host would end with this process.
func (d *Dispatcher) interruptStreams() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s := range d.streams { // the order doesn't matter
		s.client.InterruptWrite()
		s.hostConn.SetReadDeadline(time.Now())
	}
}
