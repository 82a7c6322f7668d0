package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// What the pages grant a gateway.
const (
	socketSlack = 50 * time.Millisecond  // K/real/PROTOCOL.md: "each time limit is 50 ms longer"
	heldUp      = 150 * time.Millisecond // STANDING.md: "held up for up to 0.15 s between reading its clock and writing"
	answerSlack = 500 * time.Millisecond // STANDING.md: "Up to half a second after its time it only earns nothing"
)

// request is a client's request and what came of it.
type request struct {
	trace, profile, method, key string
	expiresMs, bodyBytes        int
	answerBytes                 int // that the host is to answer with, 0 for a short answer

	begunAt, sentAt time.Time // its first byte, its last byte
	whole           bool      // its last byte was written
	status          int       // of the whole answer, 0 if there was none
	answeredAt      time.Time
	answer          string
	err             error
}

// message returns the request as it is sent.
func (r *request) message() []byte {
	var m bytes.Buffer
	fmt.Fprintf(&m, "%s /%s HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n", r.method, r.profile, r.trace, r.profile, r.expiresMs)
	if r.key != "" {
		fmt.Fprintf(&m, "Idempotency-Key: %s\r\n", r.key)
	}
	if r.answerBytes > 0 {
		fmt.Fprintf(&m, "X-Answer-Bytes: %d\r\n", r.answerBytes)
	}
	if r.method == "POST" {
		fmt.Fprintf(&m, "Content-Length: %d\r\n", r.bodyBytes)
	}
	m.WriteString("\r\n")
	m.Write(bytes.Repeat([]byte("x"), r.bodyBytes))
	return m.Bytes()
}

// lostAt returns when the request counts as lost if there is no whole answer: its time from its last byte on, and the
// slack of the pages.
func (r *request) lostAt() time.Time {
	return r.sentAt.Add(milliseconds(r.expiresMs) + answerSlack + socketSlack)
}

// read reads the answer until the request is lost.
func (r *request) read(conn net.Conn, reader *bufio.Reader) {
	conn.SetReadDeadline(r.lostAt().Add(100 * time.Millisecond))
	r.readAnswer(reader)
}

// readAnswer reads the answer until the connection's deadline.
func (r *request) readAnswer(reader *bufio.Reader) {
	response, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(response.Body); err == nil {
			r.status, r.answer, r.answeredAt = response.StatusCode, string(body), time.Now()
		}
	}
	r.err = err
}

// play sends the request on a connection of its own, reads the answer and closes.
func (b *bench) play(g gateway, r *request) {
	conn, err := net.Dial("tcp", g.addr)
	if err != nil {
		r.err = err
		b.note("client: %s could not connect: %v", r.trace, err)
		return
	}
	defer conn.Close()
	b.send(conn, r)
	if r.whole {
		r.read(conn, bufio.NewReader(conn))
	}
	b.noteEnd(r)
}

// playSlowly sends the request on a connection of its own and reads a long answer at some 320 kB a second.
func (b *bench) playSlowly(addr string, r *request) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		r.err = err
		return
	}
	defer conn.Close()
	if b.send(conn, r); !r.whole {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.err = err
		b.noteEnd(r)
		return
	}
	b.note("client: %s is being answered %d", r.trace, response.StatusCode)
	if response.StatusCode != 200 {
		r.err = fmt.Errorf("answered %s", response.Status)
		return
	}
	var body bytes.Buffer
	for r.err == nil {
		_, r.err = io.CopyN(&body, response.Body, 16_000)
		time.Sleep(50 * time.Millisecond)
	}
	if r.err == io.EOF {
		r.err = nil
	}
	r.answer = body.String()
	b.note("client: %s has %d of %d bytes of its answer, and its end: %t (%v)", r.trace, body.Len(), r.answerBytes, r.err == nil, r.err)
}

// send writes the request.
func (b *bench) send(conn net.Conn, r *request) {
	r.begunAt = time.Now()
	conn.SetWriteDeadline(r.begunAt.Add(20 * time.Second))
	_, r.err = conn.Write(r.message())
	r.sentAt, r.whole = time.Now(), r.err == nil
	b.noteAt(r.sentAt, "client: %s %s %s sent to its last byte: %t, %d bytes of body in %.3f s, X-Expires-In-Ms %d (%v)", r.trace, r.method, r.profile, r.whole,
		r.bodyBytes, r.sentAt.Sub(r.begunAt).Seconds(), r.expiresMs, r.err)
}

// noteEnd notes what came of the request.
func (b *bench) noteEnd(r *request) {
	switch {
	case r.status > 0:
		b.noteAt(r.answeredAt, "client: %s answered %d %q, %.3f s after its last byte", r.trace, r.status, r.answer, r.answeredAt.Sub(r.sentAt).Seconds())
	case errors.Is(r.err, os.ErrDeadlineExceeded):
		b.note("client: %s has no whole answer %.3f s after its last byte, and gives up", r.trace, time.Since(r.sentAt).Seconds())
	default:
		b.note("client: %s ended with no whole answer: %v", r.trace, r.err)
	}
}

// lost says why a request that was sent to its last byte counts as lost; it returns "" if it does not.
func (r *request) lost() string {
	switch {
	case !r.whole:
		return ""
	case r.status == 0:
		return fmt.Sprintf("%s was sent whole and has had no final answer for %d ms and 0.55 s after its last byte (%v)", r.trace, r.expiresMs, r.err)
	case r.answeredAt.After(r.lostAt()):
		return fmt.Sprintf("%s was answered %d only %.3f s after its last byte, its time being %d ms", r.trace, r.status, r.answeredAt.Sub(r.sentAt).Seconds(), r.expiresMs)
	case r.status == 200 && r.answer != answerBody(r.trace):
		return fmt.Sprintf("%s was answered with %q", r.trace, r.answer)
	}
	return ""
}
