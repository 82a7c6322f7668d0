package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// longAnswerBytes is the length of an answer that is streamed, of which the host sends half at once.
const longAnswerBytes = 4 << 20

// idLeaseEnd is when the ID of a transaction whose process was killed is free again at the latest.
const idLeaseEnd = 13 * time.Second

// longAnswerHost answers a request for /write?long with a long answer. Of its second half it sends a little now and then, and
// the rest once it may, or breaks off.
type longAnswerHost struct {
	idRecord
	finish chan bool // whether to send the second half
}

// newLongAnswerHost returns a host.
func newLongAnswerHost() *longAnswerHost {
	return &longAnswerHost{idRecord{requests: map[string]int{}}, make(chan bool, 1)}
}

// serve records a request and answers it.
func (h *longAnswerHost) serve(w http.ResponseWriter, request *http.Request) {
	h.mu.Lock()
	h.requests[request.Header.Get("X-Trace-Id")]++
	h.mu.Unlock()
	if request.URL.RawQuery != "long" {
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(longAnswerBytes))
	w.Write(make([]byte, longAnswerBytes/2))
	http.NewResponseController(w).Flush()
	for left := longAnswerBytes / 2; left > 0; {
		select {
		case whole := <-h.finish:
			if !whole {
				panic(http.ErrAbortHandler)
			}
			w.Write(make([]byte, left))
			return
		case <-time.After(time.Second):
			left--
			w.Write(make([]byte, 1))
			http.NewResponseController(w).Flush()
		}
	}
}

// replacedGateway is a gateway whose process is replaced. All of its processes share a listener and a folder.
type replacedGateway struct {
	t               *testing.T
	addr, discovery string
	socket          *os.File
	dir             string
	started         int
	process         *exec.Cmd // the one that serves
}

// newReplacedGateway starts the first process of a gateway.
func newReplacedGateway(t *testing.T, serve http.HandlerFunc) *replacedGateway {
	g := &replacedGateway{t: t, discovery: startDiscovery(2, serve)}
	g.addr, g.socket, g.dir = sharedListener()
	t.Cleanup(func() { os.RemoveAll(g.dir) })
	g.start()
	return g
}

// start starts a process, which serves from now on, and returns the one before.
func (g *replacedGateway) start() (before *exec.Cmd) {
	before = g.process
	g.process, _ = startGateway(g.socket, g.dir, g.started, g.discovery, freeAddress())
	process := g.process
	g.t.Cleanup(func() { process.Process.Kill() })
	g.started++
	return before
}

// replace starts a process and ends the one before, which hands over what it has.
func (g *replacedGateway) replace() {
	before := g.start()
	before.Process.Signal(syscall.SIGTERM)
	if err := before.Wait(); err != nil {
		g.t.Error("process that was replaced:", err)
	}
}

// send sends a request of the profile write on a connection of its own.
func (g *replacedGateway) send(id, query string) net.Conn {
	conn := dial(g.addr)
	g.t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST /write%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: write\r\nIdempotency-Key: k\r\nX-Expires-In-Ms: 1500\r\nContent-Length: 0\r\n\r\n", query, id)
	return conn
}

// status returns the status of the answer to a request, 0 if there is none.
func (g *replacedGateway) status(id string) int {
	conn := g.send(id, "")
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// beginLongAnswer sends a request and reads half of what its host sends of a long answer at once.
func (g *replacedGateway) beginLongAnswer(id string) (client net.Conn, body io.Reader) {
	client = g.send(id, "?long")
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		g.t.Fatal("long answer:", response, err)
	}
	if _, err := io.CopyN(io.Discard, response.Body, longAnswerBytes/4); err != nil {
		g.t.Fatal(err)
	}
	return client, response.Body
}

// checkRefused fails the test unless an ID is refused, and has run once.
func (g *replacedGateway) checkRefused(when, id string, host *longAnswerHost) {
	g.t.Helper()
	if status, runs := g.status(id), host.seen(id); status != http.StatusConflict || runs != 1 {
		g.t.Errorf("%s: the ID as it comes again: status %d, want 409; at hosts %d times", when, status, runs)
	}
}

// A client that used the ID of a request whose answer had been handed over to the next process was once served, and the request ran twice:
// the ID was free as soon as the answer had left its first process. It is refused until the answer has ended, at whichever process: while
// it may still run, if its client does not have all of the answer.
func TestIDOfHandedOverAnswer(t *testing.T) {
	for _, test := range []struct {
		name         string
		replacements int
		end          func(g *replacedGateway, host *longAnswerHost, client net.Conn, body io.Reader)
		status       int // of the ID as it comes again after the end
	}{
		{"whole", 1, finishAnswer, http.StatusOK},
		{"handed over twice, whole", 2, finishAnswer, http.StatusOK},
		{"cut off by its host", 1, breakAnswerOff, http.StatusConflict},
		{"handed over twice, cut off by its host", 2, breakAnswerOff, http.StatusConflict},
		{"client gone", 1, leaveAnswer, http.StatusConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			host := newLongAnswerHost()
			gateway := newReplacedGateway(t, host.serve)
			const id = "9b1f03aa5c7e2d41"
			client, body := gateway.beginLongAnswer(id)
			gateway.checkRefused("before it is handed over", id, host)
			for i := range test.replacements {
				gateway.replace()
				gateway.checkRefused(fmt.Sprint("handed over, ", i+1), id, host)
			}
			test.end(gateway, host, client, body)
			if status := gateway.status(id); status != test.status {
				t.Errorf("after its end the ID gets status %d, want %d", status, test.status)
			}
		})
	}
}

// finishAnswer has the host send the rest, and the client read it.
func finishAnswer(g *replacedGateway, host *longAnswerHost, _ net.Conn, body io.Reader) {
	host.finish <- true
	if n, err := io.Copy(io.Discard, body); err != nil || n != longAnswerBytes*3/4 {
		g.t.Errorf("%d bytes more: %v", n, err)
	}
	time.Sleep(50 * time.Millisecond) // for the process to notice
}

// breakAnswerOff has the host break the answer off.
func breakAnswerOff(g *replacedGateway, host *longAnswerHost, _ net.Conn, body io.Reader) {
	host.finish <- false
	if _, err := io.Copy(io.Discard, body); !errors.Is(err, io.ErrUnexpectedEOF) {
		g.t.Error("end of the answer:", err)
	}
	time.Sleep(50 * time.Millisecond)
}

// leaveAnswer has the client leave, and the host send the rest.
func leaveAnswer(_ *replacedGateway, host *longAnswerHost, client net.Conn, _ io.Reader) {
	client.Close()
	host.finish <- true
	time.Sleep(100 * time.Millisecond)
}

// The IDs of a process that was killed were once refused for 15 minutes. They are free again soon, though not while their
// transactions may still run at a host; those of a process that goes on stay refused however long they are open.
func TestIDOfKilledProcess(t *testing.T) {
	for _, test := range []struct {
		name   string
		killed bool
		status int // of the ID when the lease has ended
	}{{"killed", true, http.StatusOK}, {"goes on", false, http.StatusConflict}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			host := newLongAnswerHost()
			defer close(host.finish)
			gateway := newReplacedGateway(t, host.serve)
			const id = "1c7e2d419b1f03aa"
			gateway.beginLongAnswer(id)
			gateway.replace()
			if test.killed {
				gateway.process.Process.Kill()
				gateway.process.Wait()
			}
			killedAt := time.Now()
			gateway.start()
			gateway.checkRefused("soon", id, host)
			time.Sleep(time.Until(killedAt.Add(9 * time.Second)))
			gateway.checkRefused("after 9 s", id, host)
			time.Sleep(time.Until(killedAt.Add(idLeaseEnd)))
			if status := gateway.status(id); status != test.status {
				t.Errorf("after %v the ID gets status %d, want %d", idLeaseEnd, status, test.status)
			}
		})
	}
}
