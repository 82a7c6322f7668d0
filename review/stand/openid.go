package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["openid"] = idOfOpenRequest }

// idOfOpenRequest has usual clients send requests with bodies of 256 KB at 64 kB a second, and bad clients use the ids of these
// while they are being sent.
func idOfOpenRequest(r *rig) (broken int) {
	hosts, entries := r.startHosts(6, 50*time.Millisecond)
	registry := newRegistry(r.record, entries)
	discovery := r.startDiscovery("A", registry)
	g := r.start("n0", r.dir+"/tmp0", config("n0", discovery.addr, settings(1, 0), registry.whole(false)), nil)
	if !g.awaitReady(10 * time.Second) {
		cannotRun("the gateway is not ready")
	}
	for range 3 {
		trace := newTrace()
		head := "POST /order-confirm HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + trace + "\r\nX-Qos: order-confirm\r\nX-Expires-In-Ms: 2500\r\nContent-Length: %d\r\n\r\n"
		good := make(chan int)
		go func() { good <- r.sendSlowly(g.addr, trace, fmt.Sprintf(head, 256<<10), 256<<10) }()
		time.Sleep(time.Second)
		if r.trouble {
			r.add("bad client: uses the id %s of the request that is being sent", trace)
			status, text := r.sendAtOnce(g.addr, fmt.Sprintf(head, 2)+"{}")
			r.add("bad client: %s gets %d %q", trace, status, text)
			if status == http.StatusOK {
				broken++
				r.add("judge: the bad client was served")
			}
		}
		r.add("usual client: %s gets %d", trace, <-good)
	}
	for _, h := range hosts {
		for _, attempt := range h.all() {
			r.add("judge: %s ran %s at %.3f", h.uid, attempt.trace, attempt.at.Seconds())
		}
	}
	return broken
}

// sendSlowly sends a request whose body comes at 64 kB a second, and returns the status of its answer.
func (r *rig) sendSlowly(addr, trace, head string, bytes int) (status int) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer conn.Close()
	r.add("usual client: begins %s", trace)
	if _, err := io.WriteString(conn, head); err != nil {
		return 0
	}
	for sent := 0; sent < bytes; sent += 6400 {
		if _, err := io.WriteString(conn, strings.Repeat("x", min(6400, bytes-sent))); err != nil {
			break // the answer may be there
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.add("usual client: has sent %s", trace)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}
