package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["handedover"] = idOfHandedOverAnswer }

// idOfHandedOverAnswer replaces a gateway's process while a usual client reads a long answer, and has a bad client use the id of
// that client's request while it still reads.
func idOfHandedOverAnswer(r *rig) (broken int) {
	hosts, entries := r.startHosts(6, 50*time.Millisecond)
	const answerBytes = 12 << 20
	for _, h := range hosts {
		h.handler = func(_ *host, w http.ResponseWriter, request *http.Request, attempt *run) bool {
			if request.URL.Query().Get("long") == "" {
				return false
			}
			w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
			io.WriteString(w, strings.Repeat("y", answerBytes))
			return true
		}
	}
	registry := newRegistry(r.record, entries)
	discovery := r.startDiscovery("A", registry)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	socket, err := listener.(*net.TCPListener).File()
	must(err)
	addr := listener.Addr().String()
	startProcess := func(number string) *gateway {
		c := config("n0", discovery.addr, settings(1, 0), registry.whole(false))
		c["listen"], c["control"] = addr, freeAddress()
		g := r.start("n0-"+number, r.dir+"/tmp", c, socket)
		if !g.awaitReady(6 * time.Second) {
			cannotRun("%s is not ready", g.name)
		}
		return g
	}
	old := startProcess("1")
	trace := newTrace()
	head := " HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + trace + "\r\nX-Qos: order-confirm\r\nX-Expires-In-Ms: 2500\r\nContent-Length: 2\r\n\r\n{}"
	conn, err := net.Dial("tcp", addr)
	must(err)
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	_, err = io.WriteString(conn, "POST /order-confirm?long=1"+head)
	must(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must(err)
	r.add("usual client: %s begins to be answered with %d", trace, response.StatusCode)
	done := make(chan int)
	go func() { // reads a megabyte a second
		read, buffer := 0, make([]byte, 50<<10)
		for {
			n, err := response.Body.Read(buffer)
			if read += n; err != nil {
				r.add("usual client: %s has read %d bytes: %v", trace, read, err)
				done <- read
				return
			}
			time.Sleep(time.Duration(n) * time.Second / (1 << 20))
		}
	}()
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		startProcess("2")
		old.signal(syscall.SIGTERM)
	}
	time.Sleep(1500 * time.Millisecond)
	r.add("bad client: uses the id %s of the request that is being answered", trace)
	status, text := r.sendAtOnce(addr, "POST /order-confirm"+head)
	r.add("bad client: %s gets %d %q", trace, status, text)
	select {
	case <-done:
		cannotRun("the usual client had read its answer already")
	default:
	}
	if status == http.StatusOK {
		broken++
		r.add("judge: the bad client was served")
	}
	if read := <-done; read != answerBytes {
		cannotRun("the usual client has read %d bytes", read)
	}
	for _, h := range hosts {
		for _, attempt := range h.all() {
			r.add("judge: %s ran %s at %.3f", h.uid, attempt.trace, attempt.at.Seconds())
		}
	}
	return broken
}
