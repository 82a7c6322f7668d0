package routing

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"spanmux/internal/protocol"
	"spanmux/logic"
)

// What the pages allow beyond the time of a request: an answer up to half a second late, and each limit 50 ms longer on sockets.
const (
	lateAnswerSlack = 500 * time.Millisecond
	socketSlack     = 50 * time.Millisecond
)

// hostReceiveBufferBytes keeps the socket of a host that hangs from growing until it holds the whole request. With less than a segment of
// the loopback device the system would wait between segments.
const hostReceiveBufferBytes = 64 << 10

// slowHost is a scripted host that reads the bodies of requests in its own way, and counts those it has whole.
type slowHost struct {
	readBody func(body io.Reader) error // reads up to where the host hangs
	hangs    bool                       // its socket is kept small
	resume   chan bool                  // closed when a host that hangs goes on
	whole    atomic.Int64               // requests read to their last byte
	torn     atomic.Int64               // requests broken off before it
}

// serve is the script of the host.
func (h *slowHost) serve(nc net.Conn, head *http.Request) {
	if h.hangs {
		nc.(*net.TCPConn).SetReadBuffer(hostReceiveBufferBytes)
	}
	var err error
	if h.readBody != nil {
		err = h.readBody(head.Body)
		<-h.resume
	}
	if err == nil {
		_, err = io.Copy(io.Discard, head.Body)
	}
	if err != nil {
		h.torn.Add(1)
		nc.Close()
		return
	}
	h.whole.Add(1)
	io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

// newSlowHostGateway returns a test gateway with one slow host and no budget for bodies that are held whole.
func newSlowHostGateway(host *slowHost) *testGateway {
	gateway := newGatewayWithScriptedHost(host.serve)
	gateway.bodyBudget.Store(0)
	return gateway
}

// longRequest is a request with a body, and how its client sends that.
type longRequest struct {
	bytes   int
	chunked bool
	budget  time.Duration
	pieces  int           // in which the body is sent
	pause   time.Duration // between two pieces
}

// head returns the head of the request.
func (r longRequest) head(profile, id string) string {
	length := fmt.Sprintf("Content-Length: %d", r.bytes)
	if r.chunked {
		length = "Transfer-Encoding: chunked"
	}
	text := strings.NewReplacer("Content-Length: 2", length, "X-Expires-In-Ms: 1900", fmt.Sprint("X-Expires-In-Ms: ", r.budget.Milliseconds())).Replace(requestText(profile, id, ""))
	return strings.TrimSuffix(text, "hi")
}

// send writes the request, and returns when its last byte was written.
func (r longRequest) send(c net.Conn, profile, id string) (lastByteAt time.Time, err error) {
	if _, err = io.WriteString(c, r.head(profile, id)); err != nil {
		return time.Now(), err
	}
	pieces := max(1, r.pieces)
	for i := range pieces {
		if i > 0 {
			time.Sleep(r.pause)
		}
		piece := testBytes(r.bytes*(i+1)/pieces - r.bytes*i/pieces)
		parts := net.Buffers{piece}
		if r.chunked {
			parts = protocol.EncodeChunk(piece, i == pieces-1)
		}
		if _, err = parts.WriteTo(c); err != nil {
			break
		}
	}
	return time.Now(), err
}

// play sends the request on a connection of its own and returns the status of its answer, 0 if there was none in time, and how
// long after its last byte that came.
func (r longRequest) play(g *testGateway, profile, id string) (status int, took time.Duration) {
	c := g.dial()
	defer c.Close()
	sent := make(chan time.Time, 1)
	go func() {
		lastByteAt, _ := r.send(c, profile, id) // an error shows as the answer is read
		c.SetReadDeadline(lastByteAt.Add(r.budget + lateAnswerSlack + socketSlack))
		sent <- lastByteAt
	}()
	response, err := http.ReadResponse(c.reader, nil)
	answeredAt := time.Now()
	if err == nil {
		status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		status = 0
	}
	select {
	case lastByteAt := <-sent:
		took = answeredAt.Sub(lastByteAt)
	default: // answered before it was sent whole
	}
	return status, took
}

// A body that is passed on to a host which stops taking it, or takes it slowly, gets its final answer in time, counted from its
// last byte. Unread, that byte may wait in the sockets for as long as the gateway waits for the host. Guards against waiting for the host alone,
// 10 s for each piece. No host has the whole request after that, so it is rolled back.
func TestStreamedBodyToHungHost(t *testing.T) {
	hangs := func(after int64) func(io.Reader) error {
		return func(body io.Reader) error {
			_, err := io.CopyN(io.Discard, body, after)
			return err
		}
	}
	dribbles := func(bytesPerSecond int64) func(io.Reader) error {
		return func(body io.Reader) (err error) {
			for i := 0; i < 60 && err == nil; i++ {
				time.Sleep(50 * time.Millisecond)
				_, err = io.CopyN(io.Discard, body, bytesPerSecond/20)
			}
			return err
		}
	}
	for name, test := range map[string]struct {
		readBody func(io.Reader) error
		request  longRequest
	}{
		"hangs at once, 2.2 MB":                        {hangs(0), longRequest{bytes: 2_200_000, budget: 1900 * time.Millisecond}},
		"hangs at once, 1 MB, short time":              {hangs(0), longRequest{bytes: 1_000_000, budget: 300 * time.Millisecond}},
		"hangs at once, 5 MB in chunks":                {hangs(0), longRequest{bytes: 5_000_000, chunked: true, budget: 900 * time.Millisecond}},
		"hangs after 1 MB of 6 MB":                     {hangs(megabyte), longRequest{bytes: 6_000_000, budget: 900 * time.Millisecond}},
		"hangs, client sends 4 MB in a second":         {hangs(0), longRequest{bytes: 4_000_000, budget: 500 * time.Millisecond, pieces: 20, pause: 50 * time.Millisecond}},
		"takes 400 kB a second of 3 MB":                {dribbles(400_000), longRequest{bytes: 3_000_000, budget: 700 * time.Millisecond}},
		"takes 400 kB a second of 3 MB in chunks":      {dribbles(400_000), longRequest{bytes: 3_000_000, chunked: true, budget: 700 * time.Millisecond}},
		"takes 1 MB a second of 2 MB, client in parts": {dribbles(megabyte), longRequest{bytes: 2_000_000, budget: 500 * time.Millisecond, pieces: 4, pause: 100 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := &slowHost{readBody: test.readBody, hangs: true, resume: make(chan bool)}
			gateway := newSlowHostGateway(host)
			status, took := test.request.play(gateway, "pay", "go")
			if status != 503 || took > test.request.budget+lateAnswerSlack+socketSlack {
				t.Errorf("answered %d, %v after its last byte, its time is %v", status, took, test.request.budget)
			}
			close(host.resume)
			gateway.waitFor("the host reads on", func() bool { return host.torn.Load()+host.whole.Load() > 0 })
			if host.whole.Load() > 0 {
				t.Error("its host has the whole request after it was rolled back")
			}
			if n := gateway.Counters.HopsNotAccepted.Load(); n != 1 {
				t.Errorf("%d hops counted as not accepted in time", n)
			}
		})
	}
}

// The time of a body that is read before its host is connected counts from its last byte. Guards against counting it from the moment in which
// the connection is there.
func TestStreamedBodyReadBeforeConnect(t *testing.T) {
	const dialTime = time.Second
	gateway := newGatewayWithScriptedHost(func(net.Conn, *http.Request) { time.Sleep(5 * time.Second) })
	gateway.bodyBudget.Store(megabyte) // too little to hold the body whole, enough to read it early
	gateway.callCore(func(time.Duration) {
		gateway.pool.Dial = func(_ context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(dialTime)
			return net.Dial(network, addr)
		}
	})
	request := longRequest{bytes: 300_000, chunked: true, budget: dialTime + 200*time.Millisecond}
	if status, took := request.play(gateway, "pay", "go"); status != 504 || took > request.budget+lateAnswerSlack {
		t.Errorf("answered %d, %v after its last byte, its time is %v", status, took, request.budget)
	}
}

// repeatHosts are two hosts of a cell. The first request that one of them gets is answered 500, its work done; the host of the next one,
// which is a repeat, reads part of it and hangs for a while.
type repeatHosts struct {
	requests                   atomic.Int64
	readBeforeHang             int64
	hangTime                   time.Duration
	firstWhole, repeatWhole    atomic.Int64 // when the last byte was read, in nanoseconds of Unix time; 0 if it never was
	repeatEnded, repeatStarted atomic.Bool
}

// serve is the script of both hosts.
func (h *repeatHosts) serve(nc net.Conn, head *http.Request) {
	nc.(*net.TCPConn).SetReadBuffer(hostReceiveBufferBytes)
	if h.requests.Add(1) == 1 {
		io.Copy(io.Discard, head.Body)
		h.firstWhole.Store(time.Now().UnixNano())
		io.WriteString(nc, "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n")
		return
	}
	h.repeatStarted.Store(true)
	_, err := io.CopyN(io.Discard, head.Body, h.readBeforeHang)
	time.Sleep(h.hangTime)
	if err == nil {
		_, err = io.Copy(io.Discard, head.Body)
	}
	if err == nil {
		h.repeatWhole.Store(time.Now().UnixNano())
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	} else {
		nc.Close()
	}
	h.repeatEnded.Store(true)
}

// newGateway returns a test gateway with both hosts.
func (h *repeatHosts) newGateway(settings string) *testGateway {
	gateway := newTestGatewayWith(settings)
	first, second := gateway.startScriptedHost(h.serve), gateway.startScriptedHost(h.serve)
	second.UID = "second"
	gateway.applyList(gateway.discovery.conn, logic.ListComplete, &protocol.HostList{Revision: 5, Full: true, Hosts: []protocol.HostEntry{first, second}})
	gateway.bodyBudget.Store(16 * megabyte) // holds bodies whole
	return gateway
}

// repeatDelay returns how long after the first attempt the repeat was whole; 0 if it never was.
func (h *repeatHosts) repeatDelay() time.Duration {
	if h.repeatWhole.Load() == 0 {
		return 0
	}
	return time.Duration(h.repeatWhole.Load() - h.firstWhole.Load())
}

// A journalled transaction that may have run is sent again only while hosts drop repeats, to its last byte. Guards against looking at the window
// only as the host is chosen: one that takes the rest of a long request later runs it a second time. What waits in this machine's socket
// at the end of the window counts as not sent.
func TestRepeatToHungHostEndsWithWindow(t *testing.T) {
	const window = 900 * time.Millisecond // of the profile, in testSettings
	for _, test := range []struct {
		bytes          int
		readBeforeHang int64
		hangTime       time.Duration
		within         bool // the host goes on within the window
	}{
		{bytes: 300_000, hangTime: 1300 * time.Millisecond}, {bytes: 600_000, hangTime: 1300 * time.Millisecond}, {bytes: 1_500_000, hangTime: 1300 * time.Millisecond},
		{bytes: 2_000_000, readBeforeHang: 500_000, hangTime: 1100 * time.Millisecond},
		{bytes: 300_000, hangTime: 400 * time.Millisecond, within: true}, {bytes: 1_500_000, readBeforeHang: 500_000, hangTime: 400 * time.Millisecond, within: true},
	} {
		t.Run(fmt.Sprintf("%d bytes, goes on after %v", test.bytes, test.hangTime), func(t *testing.T) {
			t.Parallel()
			hosts := &repeatHosts{readBeforeHang: test.readBeforeHang, hangTime: test.hangTime}
			gateway := hosts.newGateway(testSettings)
			request := longRequest{bytes: test.bytes, budget: 1900 * time.Millisecond}
			status, took := request.play(gateway, "order", "go")
			gateway.waitFor("the repeat ends", hosts.repeatEnded.Load)
			if want := map[bool]int{true: 200, false: 504}[test.within]; status != want {
				t.Errorf("answered %d, %v after its last byte, want %d", status, took, want)
			}
			if delay := hosts.repeatDelay(); delay > window+socketSlack || (delay > 0) != test.within {
				t.Errorf("the repeat was whole %v after the first attempt, the window is %v", delay, window)
			}
		})
	}
}

// Nothing is sent of a repeat whose connection comes up after hosts have stopped to drop it.
func TestRepeatConnectedAfterWindow(t *testing.T) {
	hosts := &repeatHosts{}
	gateway := hosts.newGateway(testSettings)
	dials := atomic.Int64{}
	gateway.callCore(func(time.Duration) {
		gateway.pool.Dial = func(_ context.Context, network, addr string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				time.Sleep(1100 * time.Millisecond)
			}
			return net.Dial(network, addr)
		}
	})
	request := longRequest{bytes: 1000, budget: 1900 * time.Millisecond}
	status, took := request.play(gateway, "order", "go")
	if status != 504 || hosts.repeatStarted.Load() {
		t.Errorf("answered %d, %v after its last byte, a repeat was begun: %t", status, took, hosts.repeatStarted.Load())
	}
	if n := gateway.Counters.HopsWithdrawn.Load(); n != 1 {
		t.Errorf("%d hops withdrawn, want 1", n)
	}
}

// newHungHostGateway returns a test gateway with one host that hangs before it reads a body, and holds bodies whole.
func newHungHostGateway(host *slowHost, cancelling bool) *testGateway {
	host.hangs, host.resume, host.readBody = true, make(chan bool), func(io.Reader) error { return nil }
	gateway := newTestGatewayWith(strings.Replace(testSettings, `"cancelling":true`, fmt.Sprintf(`"cancelling":%t`, cancelling), 1))
	gateway.applyList(gateway.discovery.conn, logic.ListComplete, &protocol.HostList{Revision: 5, Full: true, Hosts: []protocol.HostEntry{gateway.startScriptedHost(host.serve)}})
	gateway.bodyBudget.Store(16 * megabyte)
	return gateway
}

// checkTorn lets a host that hangs go on, and checks that it never gets the whole request.
func (h *slowHost) checkTorn(t *testing.T, gateway *testGateway) {
	close(h.resume)
	gateway.waitFor("the host reads on", func() bool { return h.torn.Load()+h.whole.Load() > 0 })
	if h.torn.Load() != 1 || h.whole.Load() > 0 {
		t.Errorf("requests whole %d, broken off %d; want none whole", h.whole.Load(), h.torn.Load())
	}
}

// A long message that its host does not take is not sent on once its client has left, whether or not running hops may be called
// off, and however its client leaves. Guards against writing it on until its deadline, and against what is left in this machine's socket.
func TestLongMessageEndsAsClientLeaves(t *testing.T) {
	for _, bytes := range []int{300_000, 1_500_000} {
		for _, cancelling := range []bool{false, true} {
			for mode, leave := range closeModes {
				t.Run(fmt.Sprintf("%d bytes, cancelling %t, client %s", bytes, cancelling, mode), func(t *testing.T) {
					t.Parallel()
					host := &slowHost{}
					gateway := newHungHostGateway(host, cancelling)
					c := gateway.dial()
					defer c.Close()
					longRequest{bytes: bytes, budget: 1900 * time.Millisecond}.send(c, "pay", "go")
					time.Sleep(200 * time.Millisecond)
					leave(c)
					gateway.waitForClientsLeft(1)
					time.Sleep(100 * time.Millisecond)
					host.checkTorn(t, gateway)
				})
			}
		}
	}
}

// A long message that its host does not take is answered in its time, and nothing is sent of it after. What this machine's socket has taken
// to its last byte may have run as far as the gateway can tell; what is not written whole is rolled back.
func TestLongMessageEndsWithItsTime(t *testing.T) {
	for bytes, want := range map[int]int{300_000: 504, 1_500_000: 503} {
		t.Run(fmt.Sprint(bytes, " bytes"), func(t *testing.T) {
			t.Parallel()
			host := &slowHost{}
			gateway := newHungHostGateway(host, true)
			request := longRequest{bytes: bytes, budget: 500 * time.Millisecond}
			if status, took := request.play(gateway, "pay", "go"); status != want || took > request.budget+lateAnswerSlack {
				t.Errorf("answered %d, %v after its last byte, want %d", status, took, want)
			}
			host.checkTorn(t, gateway)
		})
	}
}

// Long bodies to sound hosts are answered 200 whatever their size, form and pace. Guards against a bound on the wait for a host that
// also ends what only its client sends slowly, or what is sent faster than it is passed on.
func TestLongBodiesToSoundHost(t *testing.T) {
	const budget = 400 * time.Millisecond
	for name, request := range map[string]longRequest{
		"32 MB": {bytes: 32 * megabyte, budget: 2 * time.Second}, "32 MB in chunks": {bytes: 32*megabyte - 1, chunked: true, pieces: 40, budget: 2 * time.Second},
		"2.2 MB":                            {bytes: 2_200_000, budget: budget},
		"100 kB":                            {bytes: 100_000, budget: budget},
		"slowly, for longer than its time":  {bytes: 200_000, budget: budget, pieces: 20, pause: 60 * time.Millisecond},
		"slowly, in chunks":                 {bytes: 200_000, chunked: true, budget: budget, pieces: 20, pause: 60 * time.Millisecond},
		"in bursts":                         {bytes: 8 * megabyte, budget: budget, pieces: 8, pause: 200 * time.Millisecond},
		"a long pause, then its last bytes": {bytes: 300_000, budget: budget, pieces: 2, pause: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gateway := newSlowHostGateway(&slowHost{})
			for i := range 2 {
				if status, took := request.play(gateway, "pay", fmt.Sprint("go", i)); status != 200 {
					t.Errorf("answered %d, %v after its last byte", status, took)
				}
			}
		})
	}
}

// A body that takes longer to be passed on than its time is answered 200 if its host takes it steadily and its last byte can't have been
// sent so early, as the sockets hold less than that.
func TestLongBodyToSteadyHost(t *testing.T) {
	for name, chunked := range map[string]bool{"sized": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := &slowHost{resume: make(chan bool), readBody: func(body io.Reader) (err error) {
				for i := 0; i < 62 && err == nil; i++ { // 10 MB a second
					time.Sleep(50 * time.Millisecond)
					_, err = io.CopyN(io.Discard, body, megabyte/2)
				}
				return err
			}}
			close(host.resume)
			gateway := newSlowHostGateway(host)
			request := longRequest{bytes: 32*megabyte - 1, chunked: chunked, pieces: 64, budget: 2500 * time.Millisecond}
			if status, took := request.play(gateway, "pay", "go"); status != 200 {
				t.Errorf("answered %d, %v after its last byte", status, took)
			}
		})
	}
}

// BenchmarkLongBodies counts the long bodies to a sound host that are not answered 200 in their time, one in four sent in parts and
// sixteen at a time. Those that are rejected on arrival, before any hop, are counted apart.
func BenchmarkLongBodies(b *testing.B) {
	for _, size := range []int{100_000, 2_200_000, 8 * megabyte, 32 * megabyte} {
		for _, chunked := range []bool{false, true} {
			for _, budget := range []time.Duration{250 * time.Millisecond, time.Second} {
				b.Run(fmt.Sprintf("bytes=%d/chunked=%t/budget=%v", size, chunked, budget), func(b *testing.B) {
					gateway := newSlowHostGateway(&slowHost{})
					var lost atomic.Int64
					var wait sync.WaitGroup
					running := make(chan bool, 16)
					for i := range b.N {
						running <- true
						wait.Go(func() {
							request := longRequest{bytes: size, chunked: chunked, budget: budget, pieces: 8}
							if i%4 == 0 {
								request.pause = budget / 4
							}
							if status, _ := request.play(gateway, "pay", fmt.Sprint("go", i)); status != 200 {
								lost.Add(1)
							}
							<-running
						})
					}
					wait.Wait()
					rejected := gateway.Counters.Admitted.Load() - gateway.Counters.Hops.Load()
					b.ReportMetric(float64(rejected), "rejected")
					b.ReportMetric(float64(lost.Load()-rejected), "lost")
				})
			}
		}
	}
}
