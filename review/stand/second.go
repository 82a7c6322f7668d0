package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	secondAnswerDelay = 8 * time.Millisecond // of a second answer after the first
	oneWay            = 7 * time.Millisecond // between two sites
	oneWayJitter      = 0.33                 // by which that varies, up and down
)

func init() { cases["second"] = secondAnswers }

// link passes connections on to a host in another site, and returns its address. What is sent takes oneWay, more or less, and
// stays in order.
func (r *rig) link(target string) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				near.Close()
				continue
			}
			go carry(near, far)
			go carry(far, near)
		}
	}()
	return ln.Addr().String()
}

// carry carries what comes on one connection to another one.
func carry(from, to net.Conn) {
	type piece struct {
		due  time.Time
		data []byte
	}
	pieces := make(chan piece, 1000)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			to.Write(p.data)
		}
		to.Close()
	}()
	defer close(pieces)
	for {
		buffer := make([]byte, 16<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			delay := time.Duration(float64(oneWay) * (1 + oneWayJitter*(2*rand.Float64()-1)))
			pieces <- piece{time.Now().Add(delay), buffer[:n]}
		}
		if err != nil {
			return
		}
	}
}

// secondAnswers plays hosts of another site that answer one request in ten a second time, some milliseconds later, if nothing else
// waits on the connection then.
func secondAnswers(r *rig) (broken int) {
	var entries []entry
	var seconds atomic.Int64
	for i := range 4 {
		uid := fmt.Sprintf("s-%d", i)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go r.answerTwice(uid, conn, &seconds)
			}
		}()
		entries = append(entries, entry{UID: uid, Endpoint: r.link(ln.Addr().String()), Zone: "semarang", Model: "big-box", Cell: 1, State: "in_service", Hint: 1})
	}
	registry := newRegistry(r.record, entries)
	discovery := r.startDiscovery("A", registry)
	s := settings(1, 0)
	s["dcs"] = []string{"solo", "semarang"}
	g := r.start("n0", r.dir+"/tmp0", config("n0", discovery.addr, s, registry.whole(false)), nil)
	if !g.awaitReady(10 * time.Second) {
		cannotRun("the gateway is not ready")
	}
	var mu sync.Mutex
	requests, served := 0, 0
	stop := make(chan struct{})
	open := every(4*time.Millisecond, stop, func() {
		c := r.ask(g.addr, "POST", "order-confirm", false, 1500*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		requests++
		if c.status == http.StatusOK {
			served++
		}
		if c.wrong {
			broken++
			r.add("judge: %s was served with the answer to another request", c.trace)
		}
	})
	time.Sleep(15 * time.Second)
	close(stop)
	open.Wait()
	r.add("judge: %d requests, %d served, %d second answers", requests, served, seconds.Load())
	if served < requests/2 {
		cannotRun("%d of %d requests were served", served, requests)
	}
	return broken
}

// answerTwice serves a connection.
func (r *rig) answerTwice(uid string, conn net.Conn, seconds *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		trace, body := request.Header.Get("X-Trace-Id"), "inflight=1, queue=0"
		time.Sleep(5 * time.Millisecond)
		if trace != "" {
			r.add("host %s: runs and answers %s", uid, trace)
			body = answerBody(trace)
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if !r.trouble || trace == "" || n%10 != 0 {
			continue
		}
		conn.SetReadDeadline(time.Now().Add(secondAnswerDelay))
		if _, err := reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) { // nothing else waits
			seconds.Add(1)
			r.add("host %s: answers %s a second time", uid, trace)
			io.WriteString(conn, answer)
		}
		conn.SetReadDeadline(time.Time{})
	}
}
