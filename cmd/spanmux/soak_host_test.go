package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxSecondAnswerDelay is what "some milliseconds" means for a second answer.
const maxSecondAnswerDelay = 8 * time.Millisecond

// soakHost is a stand-in host. It has an address for each gateway, so that its records name the gateway of an attempt.
type soakHost struct {
	record     *soakRecord
	index      int
	cell       int
	bootMS     int64 // its start as a Unix time, 0 for long before the run
	resetOneIn int   // of so many requests that it would serve it resets one; 0 for none
	phases     []hostPhase
	listeners  [soakGateways]net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	gone  bool
}

// startSoakHost starts a host.
func startSoakHost(record *soakRecord, index, cell, resetOneIn int, phases []hostPhase) *soakHost {
	h := &soakHost{record: record, index: index, cell: cell, resetOneIn: resetOneIn, phases: phases, conns: map[net.Conn]bool{}}
	for gateway := range h.listeners {
		h.listeners[gateway] = listenOnFreeAddress()
		go h.accept(h.listeners[gateway], gateway)
	}
	return h
}

// uid returns the host's name in the list.
func (h *soakHost) uid() string { return fmt.Sprintf("h%d", h.index) }

// accept serves the connections of a gateway.
func (h *soakHost) accept(listener net.Listener, gateway int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		conn.(*net.TCPConn).SetReadBuffer(soakHostBufferBytes)
		h.mu.Lock()
		if h.gone {
			conn.Close()
		}
		h.conns[conn] = true
		h.mu.Unlock()
		go func() {
			h.serve(conn, gateway)
			conn.Close()
			h.mu.Lock()
			delete(h.conns, conn)
			h.mu.Unlock()
		}()
	}
}

// stop closes the host's sockets, as its machine does when it goes.
func (h *soakHost) stop() {
	for _, listener := range h.listeners {
		listener.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gone = true
	for conn := range h.conns {
		conn.Close()
	}
}

// mode returns the mode of the host now.
func (h *soakHost) mode() hostMode {
	now, mode := h.record.now(), hostServes
	for _, phase := range h.phases {
		if phase.at <= now {
			mode = phase.mode
		}
	}
	return mode
}

// serve answers the requests of one connection.
func (h *soakHost) serve(conn net.Conn, gateway int) {
	reader := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(soakIdleTimeout))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		attempt := &attemptRecord{host: h.index, gateway: gateway, firstByteAt: h.record.now()}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt.traceID = request.Header.Get("X-Trace-Id")
		if ms, err := strconv.Atoi(request.Header.Get("X-Expires-In-Ms")); err == nil {
			attempt.expiresIn = time.Duration(ms) * time.Millisecond
		}
		if attempt.mode = h.mode(); attempt.mode == hostServes && h.resetOneIn > 0 && rand.IntN(h.resetOneIn) == 0 {
			attempt.mode = hostResets
		}
		h.record.addAttempt(attempt)
		conn.SetReadDeadline(time.Time{})
		if err := h.readBody(request, attempt); err != nil {
			return
		}
		h.record.mu.Lock()
		attempt.wholeAt = h.record.now()
		h.record.mu.Unlock()
		if !h.answer(conn, attempt) {
			return
		}
	}
}

// soakBody returns the body of the answer to a request, by which a client knows that a host made it for this one.
func soakBody(traceID string) string { return strings.Repeat(traceID+" ", 20) }

// answer answers one request as the host's mode has it. It returns false if the connection ends.
func (h *soakHost) answer(conn net.Conn, attempt *attemptRecord) bool {
	body := soakBody(attempt.traceID)
	sized := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	const unsizedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	time.Sleep(time.Duration(2+rand.IntN(20)) * time.Millisecond)
	switch attempt.mode {
	case hostIsSlow:
		time.Sleep(time.Duration(100+rand.IntN(400)) * time.Millisecond)
		io.WriteString(conn, sized)
	case hostHangs:
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		conn.Read(make([]byte, 1)) // until the gateway closes, or the host stops
		return false
	case hostErrs:
		io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case hostDeclines:
		io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
	case hostResets:
		conn.(*net.TCPConn).SetLinger(0)
		return false
	case hostResetsInto:
		io.WriteString(conn, unsizedHead+body[:len(body)/2])
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		conn.(*net.TCPConn).SetLinger(0)
		return false
	case hostEndsUnsized:
		io.WriteString(conn, unsizedHead+body)
		return false
	case hostAnswersTwice:
		io.WriteString(conn, sized)
		answeredAt := time.Now()
		time.Sleep(time.Duration(1+rand.IntN(5)) * time.Millisecond)
		if time.Since(answeredAt) < maxSecondAnswerDelay { // else this host was held up, and the answer would come later than hosts send one
			io.WriteString(conn, sized)
		}
		h.record.mu.Lock()
		attempt.secondAnswerLate = time.Since(answeredAt) >= maxSecondAnswerDelay
		h.record.mu.Unlock()
	default:
		io.WriteString(conn, sized)
	}
	return true
}
