package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hostEvent is one line of what a host process tells of the requests that reach it.
type hostEvent struct {
	Host, What, Trace string
	At                time.Time
	ToldMs            int `json:",omitempty"` // X-Expires-In-Ms
	Bytes             int `json:",omitempty"`
}

// What a host tells of a request.
const (
	hostHead   = "head read"
	hostWhole  = "whole"
	hostRan    = "ran"
	hostBroken = "broken off before it was whole"
)

// hostReceiveBytes is the receive buffer that a host asks for. The kernel doubles it.
const hostReceiveBytes = 64 << 10

// host is one stand-in host, a process of its own. It begins a request when its last byte has come, works on it for a
// while, and answers 200 with a body made for this request. SIGUSR1 and SIGUSR2 begin and end a spell in which it
// answers 500 instead, its work done.
type host struct {
	name string
	work time.Duration

	mu   sync.Mutex
	errs bool
	out  *bufio.Writer
}

// runHost is the host process. Its first line on standard output is its address, the others are its events. It ends
// with its standard input.
func runHost(args []string) {
	flags := flag.NewFlagSet("host", flag.ExitOnError)
	name, work := flags.String("name", "", "of the host"), flags.Duration("work", 50*time.Millisecond, "for each request")
	flags.Parse(args)
	h := &host{name: *name, work: *work, out: bufio.NewWriter(os.Stdout)}
	go h.takeSignals()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, hostReceiveBytes)
		})
	}}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Println(ln.Addr())
	go func() {
		io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go h.serve(conn)
	}
}

// event writes an event.
func (h *host) event(e hostEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.Host, e.At = h.name, time.Now()
	line, _ := json.Marshal(e)
	h.out.Write(append(line, '\n'))
	h.out.Flush()
}

// serve serves one connection.
func (h *host) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/status/load" { // a probe
			load := "inflight=0,queue=0,util=0.1"
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(load), load)
			continue
		}
		trace := request.Header.Get("X-Trace-Id")
		told, _ := strconv.Atoi(request.Header.Get("X-Expires-In-Ms"))
		h.event(hostEvent{What: hostHead, Trace: trace, ToldMs: told})
		n, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			h.event(hostEvent{What: hostBroken, Trace: trace, Bytes: int(n)})
			return
		}
		h.event(hostEvent{What: hostWhole, Trace: trace, Bytes: int(n)})
		time.Sleep(h.work)
		h.event(hostEvent{What: hostRan, Trace: trace})
		h.mu.Lock()
		errs := h.errs
		h.mu.Unlock()
		if errs {
			io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if n, err := strconv.Atoi(request.Header.Get("X-Answer-Bytes")); err == nil {
			h.answerLong(conn, trace, n)
			continue
		}
		body := answerBody(trace)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// answerLong answers with n bytes in chunks, as fast as they are taken.
func (h *host) answerLong(conn net.Conn, trace string, n int) {
	const chunk = 64_000
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for sent := 0; sent < n; sent += chunk {
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", min(chunk, n-sent), strings.Repeat("y", min(chunk, n-sent))); err != nil {
			h.event(hostEvent{What: "answer not taken: " + err.Error(), Trace: trace, Bytes: sent})
			return
		}
	}
	io.WriteString(conn, "0\r\n\r\n")
	h.event(hostEvent{What: "answer written to its end", Trace: trace, Bytes: n})
}

// longAnswer is the body of such an answer.
func longAnswer(n int) string { return strings.Repeat("y", n) }

// answerBody is the body of a host's answer to a request.
func answerBody(trace string) string { return "made for " + trace }
