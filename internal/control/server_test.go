package control

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// stubGateway is a gateway that only records whether it drains.
type stubGateway struct{ draining atomic.Bool }

func (s *stubGateway) Ready() bool         { return !s.draining.Load() }
func (s *stubGateway) MetricsJSON() []byte { return []byte(`{"outstanding":2}`) }
func (s *stubGateway) SetDraining(draining bool) bool {
	s.draining.Store(draining)
	return true
}

// startTestServer starts an admin server; call sends a request and returns the status and body of the response.
func startTestServer() (*AdminServer, func(call string) string) {
	server, err := Listen("127.0.0.1:0", &stubGateway{})
	if err != nil {
		panic(err)
	}
	go server.Serve()
	return server, func(call string) string {
		nc, err := net.Dial("tcp", server.Addr())
		if err != nil {
			return err.Error()
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(nc, call)
		nc.(*net.TCPConn).CloseWrite()
		answer, err := io.ReadAll(nc)
		if err != nil {
			return err.Error()
		}
		head, body, _ := strings.Cut(string(answer), "\r\n\r\n")
		lines := strings.Split(head, "\r\n")
		for _, l := range lines[1:] {
			if strings.HasPrefix(l, "Allow") {
				lines[0] += ", " + l
			}
		}
		return strings.TrimPrefix(lines[0], "HTTP/1.1 ") + ": " + strings.TrimSpace(body)
	}
}

// Each request gets one sensible response, also if it is repeated, unknown, has the wrong method or is
// malformed.
func ExampleAdminServer() {
	server, call := startTestServer()
	defer server.Close()
	for _, c := range []string{"GET /-/ready", "PUT /-/drain", "PUT /-/drain", "GET /-/ready", "PUT /-/resume", "PUT /-/resume",
		"GET /-/ready?now", "GET /-/metrics", "POST /-/drain", "HEAD /-/ready", "GET /", "GET"} {
		fmt.Println(c, "->", call(c+" HTTP/1.1\r\nHost: admin\r\n\r\n"))
	}
	fmt.Println("with a body ->", call("PUT /-/drain HTTP/1.1\r\nHost: admin\r\nContent-Length: 2\r\n\r\nhi"))
	fmt.Println("torn ->", call("GET /-/ready HTTP/1.1\r\nHo"))
	fmt.Println("long ->", call("GET /-/ready HTTP/1.1\r\nX: "+strings.Repeat("x", 5000)+"\r\n\r\n"))
	fmt.Println("nothing ->", call("") == ": ")
	fmt.Println("yes:", server.SucceededCalls.Load(), "other:", server.FailedCalls.Load())
	// Output:
	// GET /-/ready -> 200 OK: yes
	// PUT /-/drain -> 200 OK: yes
	// PUT /-/drain -> 200 OK: yes
	// GET /-/ready -> 503 Service Unavailable: no
	// PUT /-/resume -> 200 OK: yes
	// PUT /-/resume -> 200 OK: yes
	// GET /-/ready?now -> 200 OK: yes
	// GET /-/metrics -> 200 OK: {"outstanding":2}
	// POST /-/drain -> 405 Method Not Allowed, Allow: PUT: not this way
	// HEAD /-/ready -> 405 Method Not Allowed, Allow: GET: not this way
	// GET / -> 404 Not Found: not here
	// GET -> 400 Bad Request: malformed first line
	// with a body -> 200 OK: yes
	// torn -> 400 Bad Request: ends within the message
	// long -> 431 Request Header Fields Too Large: head too long
	// nothing -> true
	// yes: 8 other: 8
}

// Connections that send nothing, or half a request, don't keep a request out, however many they are.
func ExampleAdminServer_silent() {
	server, call := startTestServer()
	defer server.Close()
	for i := range 500 {
		nc, err := net.Dial("tcp", server.Addr())
		if err != nil {
			panic(err)
		}
		defer nc.Close()
		io.WriteString(nc, strings.Repeat("GET /-/ready HT", i%2))
	}
	began := time.Now()
	fmt.Println(call("GET /-/ready HTTP/1.1\r\n\r\n"), time.Since(began) < time.Second, server.Evicted.Load() > 400)
	// Output: 200 OK: yes true true
}
