package routing

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// gatedGateway is a test gateway whose connections to hosts come up only as the test sends to gate;
// cancelling a dial does not end it sooner.
type gatedGateway struct {
	*testGateway
	dials, gate chan bool
}

// newGatedGateway returns a gated gateway whose hops may be called off or not.
func newGatedGateway(cancelling bool, hosts ...string) *gatedGateway {
	g := &gatedGateway{newTestGatewayWith(strings.Replace(testSettings, `"cancelling":true`, fmt.Sprintf(`"cancelling":%t`, cancelling), 1), hosts...),
		make(chan bool, 9), make(chan bool)}
	g.callCore(func(time.Duration) {
		g.pool.Dial = func(_ context.Context, network, addr string) (net.Conn, error) {
			g.dials <- true
			<-g.gate
			return net.Dial(network, addr)
		}
	})
	return g
}

// waitTimedOut reports whether a waitFor has timed out.
func (g *testGateway) waitTimedOut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.log, func(l string) bool { return strings.HasPrefix(l, "never") })
}

// closeModes are the ways in which a client ends its connection: regularly, with a reset, or by closing its sending half alone.
var closeModes = map[string]func(*clientConn){
	"closes": func(c *clientConn) { c.Close() },
	"resets": func(c *clientConn) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
	"halves": func(c *clientConn) { c.Conn.(*net.TCPConn).CloseWrite() },
}

// waitForClientsLeft waits until the gateway has noticed that n clients have left.
func (g *testGateway) waitForClientsLeft(n int64) {
	g.waitFor("client seen to leave", func() bool { return g.Counters.ClientLeft.Load()+g.Counters.ClientLeftBeforeAdmission.Load() == n })
}

// A connection that comes up after its client has left must not be written to, whether or not running
// hops may be called off, and the cancelled dial must not count against its host.
func Example_clientLeavesDuringConnect() {
	for _, cancelling := range []bool{true, false} {
		sent := 0
		for _, profile := range []string{"read", "order", "pay"} {
			for _, mode := range []string{"closes", "resets", "halves"} {
				gateway := newGatedGateway(cancelling, "one")
				c := gateway.dial()
				io.WriteString(c, requestText(profile, "go", ""))
				<-gateway.dials
				closeModes[mode](c)
				gateway.waitForClientsLeft(1)
				gateway.gate <- true
				gateway.waitFor("withdrawn", func() bool { return gateway.Counters.HopsWithdrawn.Load() == 1 })
				sent += int(gateway.Counters.HopsWritten.Load())
				if gateway.waitTimedOut() {
					sent++
				}
				if n := gateway.Counters.HopOutcomes[logic.HopNoConnection].Load(); n != 0 {
					fmt.Println("ends that speak against the host:", n)
				}
			}
		}
		fmt.Println("calling off allowed:", cancelling, "sent:", sent)
	}
	// Output:
	// calling off allowed: true sent: 0
	// calling off allowed: false sent: 0
}

// If a client pipelines a second request and then leaves, that must be noticed before the first
// response, and the second request must not be sent. That also holds if both come in one piece, and if
// the rest comes while the first is in flight.
func Example_clientLeavesWhilePipelining() {
	for _, separately := range []bool{false, true} {
		gateway := newTestGateway("one")
		c := gateway.dial()
		first, second := requestText("pay", "wait", ""), requestText("pay", "second", "")
		if separately {
			io.WriteString(c, first)
			gateway.waitForLine("one: POST /pay?wait")
			io.WriteString(c, second+strings.Repeat(second, 400)) // more than is read ahead
		} else {
			io.WriteString(c, first+second)
			gateway.waitForLine("one: POST /pay?wait")
		}
		c.Close()
		gateway.waitForClientsLeft(1)
		gateway.waitFor("all closed", func() bool { return gateway.listener.OpenClients() == 0 })
		fmt.Println("sent:", gateway.Counters.Hops.Load(), "left:", gateway.Counters.ClientLeft.Load(), gateway.waitTimedOut())
	}
	// Output:
	// sent: 1 left: 1 false
	// sent: 1 left: 1 false
}

// A request that waits to be accepted, as the listener is at its limit, is not admitted once its
// client has closed.
func Example_clientLeavesBeforeAccept() {
	gateway := newTestGateway("one")
	c := gateway.dial()
	io.WriteString(c, "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
	gateway.logResponse(c, "ready")
	gateway.listener.Shutdown()
	gateway.waitFor("the end", gateway.listener.Finished)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	gateway.ConfigureListener(ln, false, 400, 0, 2<<20)
	for _, mode := range []string{"closes", "resets", "halves"} {
		c := gateway.dial()
		io.WriteString(c, requestText("pay", "go", ""))
		closeModes[mode](c)
	}
	go gateway.listener.Serve(gateway.serveClient)
	gateway.waitFor("all closed", func() bool { return gateway.listener.Accepted.Load() == 3 && gateway.listener.OpenClients() == 0 })
	fmt.Println("taken:", gateway.Counters.Admitted.Load(), "sent:", gateway.Counters.Hops.Load(), gateway.waitTimedOut())
	// Output: taken: 0 sent: 0 false
}

// If a client leaves before its body is complete, while the connection to a host comes up, that must
// be noticed at once. Otherwise a host keeps an incomplete request for an hour if hops may not be
// called off.
func Example_clientLeavesDuringBody() {
	for _, connected := range []bool{false, true} {
		gateway := newGatedGateway(false, "one")
		gateway.requestMemory.SetLimit(0) // no budget to hold any body
		c := gateway.dial()
		io.WriteString(c, strings.Replace(requestText("pay", "go", ""), "Length: 2", "Length: 100000", 1)+strings.Repeat("a", 50_000))
		<-gateway.dials
		if connected {
			gateway.gate <- true
			gateway.waitFor("body on its way", func() bool {
				gateway.Dispatcher.mu.Lock()
				defer gateway.Dispatcher.mu.Unlock()
				return len(gateway.txs) == 1 && gateway.txs[1].bodyForwardStarted
			})
		}
		c.Close()
		gateway.waitForClientsLeft(1)
		if !connected {
			gateway.gate <- true
		}
		gateway.waitFor("withdrawn", func() bool { return gateway.Counters.HopsWithdrawn.Load() == 1 && gateway.listener.OpenClients() == 0 })
		gateway.waitFor("its socket is free", func() bool { return gateway.connLimit.InUse() == 0 })
		fmt.Println("some passed on:", connected, "written whole:", gateway.Counters.HopsWritten.Load(), gateway.waitTimedOut())
	}
	// Output:
	// some passed on: false written whole: 0 false
	// some passed on: true written whole: 0 false
}

// A transaction that waits for another gateway to pick its host is not sent once its client has left,
// nor is it retried at the next host when the hop in flight ends.
func Example_clientLeavesDuringPickOrHop() {
	gateway := newTestGatewayWith(strings.Replace(testSettings, `"balancers":2`, `"me":1,"balancers":21`, 1), "one")
	gateway.callCore(func(time.Duration) { // from here on the test runs the core's timer
		gateway.timer.Stop()
		gateway.timer = time.AfterFunc(time.Hour, func() {})
	})
	c := gateway.dial()
	io.WriteString(c, requestText("pay", "go", ""))
	gateway.waitFor("taken", func() bool { return gateway.Counters.Admitted.Load() == 1 })
	c.Close()
	gateway.waitForClientsLeft(1)
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); { // the pick request times out within this time
		gateway.callCore(func(now time.Duration) { gateway.core.TimerFired(now) })
	}
	fmt.Println("asks unanswered, sent:", gateway.Counters.Hops.Load())

	gateway = newTestGatewayWith(strings.Replace(testSettings, `"cancelling":true`, `"cancelling":false`, 1), "one", "two")
	proceed := make(chan bool)
	entry := gateway.startScriptedHost(func(nc net.Conn, head *http.Request) {
		gateway.logf("has it")
		<-proceed
		io.WriteString(nc, "HTTP/1.1 503 no\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
	})
	other := entry
	other.UID = "other"
	gateway.applyList(gateway.discovery.conn, logic.ListComplete, &protocol.HostList{Revision: 5, Full: true, Hosts: []protocol.HostEntry{entry, other}})
	c = gateway.dial()
	io.WriteString(c, requestText("pay", "go", ""))
	gateway.waitForLine("has it")
	c.Close()
	gateway.waitForClientsLeft(1)
	proceed <- true
	gateway.waitFor("turned away", func() bool { return gateway.Counters.HopOutcomes[logic.HopHostFull].Load() == 1 })
	fmt.Println("turned away by the first, sent:", gateway.Counters.Hops.Load())
	// Output:
	// asks unanswered, sent: 0
	// turned away by the first, sent: 1
}

// A host that drains while a connection to it comes up gets nothing on that connection: the grace
// period may be over by then. The hop never ran, so even a payment is retried at the next host.
func Example_hostDrainsDuringConnect() {
	gateway := newGatedGateway(true, "one", "two")
	c := gateway.dial()
	io.WriteString(c, requestText("pay", "go", ""))
	<-gateway.dials
	var first logic.HostID
	gateway.callCore(func(time.Duration) { first = gateway.txs[1].hops[0].hostID })
	uid := gateway.discovery.uidByID[first]
	gateway.applyList(gateway.discovery.conn, logic.ListChanges, &protocol.HostList{Revision: 5, Hosts: []protocol.HostEntry{
		{UID: uid, Endpoint: gateway.discovery.addrByID[first], Zone: "a", State: "terminating"}}})
	gateway.gate <- true
	gateway.gate <- true
	gateway.logResponse(c, "pay")
	fmt.Println("to the draining one:", strings.Count(strings.Join(gateway.log, "\n"), uid+": POST"), "withdrawn:", gateway.Counters.HopsWithdrawn.Load(), gateway.log[len(gateway.log)-1])
	// Output: to the draining one: 0 withdrawn: 1 pay: 200 "answer to go"
}

// BenchmarkClientLeavesDuringConnect measures how long it takes to notice that a client has closed
// whose transaction waits for a connection, with another request behind it. Nothing may be sent for
// either.
func BenchmarkClientLeavesDuringConnect(b *testing.B) {
	var longest time.Duration
	for range b.N {
		gateway := newGatedGateway(false, "one")
		c := gateway.dial()
		io.WriteString(c, requestText("pay", "go", "")+requestText("pay", "second", ""))
		<-gateway.dials
		c.Close()
		closedAt := time.Now()
		gateway.waitForClientsLeft(1)
		longest = max(longest, time.Since(closedAt))
		gateway.gate <- true
		gateway.waitFor("withdrawn", func() bool { return gateway.Counters.HopsWithdrawn.Load() == 1 })
		if n := gateway.Counters.HopsWritten.Load(); n > 0 {
			b.Error("sent:", n)
		}
	}
	b.ReportMetric(float64(longest)/1e6, "ms-late-at-most")
}

// After a watch call that times out or is broken off, the next call follows at once: the changes it
// missed have to be known 2 s after the end of its wait, which a pause would use up. After a refused
// call the core decides when to call again.
func Example_watchFailures() {
	for _, failure := range []string{"silence", "dribbling", "reset", "torn", "refusal"} {
		gateway, calls, first := newTestGateway("one"), make(chan string, 9), make(chan time.Time, 1)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		go func() {
			for n := 0; ; n++ {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				r, err := http.ReadRequest(bufio.NewReader(nc))
				if err != nil {
					continue
				}
				calls <- r.URL.String()
				switch {
				case n == 0: // the whole list, on a connection of its own
					io.WriteString(nc, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 33\r\n\r\n"+`{"rev":5,"all":true,"targets":[]}`)
					nc.Close()
				case n == 1:
					first <- time.Now()
					switch failure {
					case "reset":
						nc.(*net.TCPConn).SetLinger(0)
					case "torn":
						io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n{\"rev\"")
					case "refusal":
						io.WriteString(nc, "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")
					case "silence":
						continue
					case "dribbling": // byte by byte, never completely
						for _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nX: "); err == nil; _, err = io.WriteString(nc, "x") {
							time.Sleep(20 * time.Millisecond)
						}
					}
					nc.Close()
				}
			}
		}()
		gateway.callCore(func(time.Duration) { gateway.changeDiscoveryAddr(ln.Addr().String()) })
		fmt.Println(failure, <-calls, <-calls)
		began := <-first
		fmt.Println(<-calls, "in time:", time.Since(began) < listWatchDuration+2*time.Second, "again at once:", gateway.Counters.ListCallsRetried.Load(), "for the module:", gateway.Counters.ListCallsFailed.Load())
	}
	// Output:
	// silence /v1/endpoints /v1/endpoints?index=5&wait=3000
	// /v1/endpoints?index=5&wait=3000 in time: true again at once: 1 for the module: 0
	// dribbling /v1/endpoints /v1/endpoints?index=5&wait=3000
	// /v1/endpoints?index=5&wait=3000 in time: true again at once: 1 for the module: 0
	// reset /v1/endpoints /v1/endpoints?index=5&wait=3000
	// /v1/endpoints?index=5&wait=3000 in time: true again at once: 1 for the module: 0
	// torn /v1/endpoints /v1/endpoints?index=5&wait=3000
	// /v1/endpoints?index=5&wait=3000 in time: true again at once: 1 for the module: 0
	// refusal /v1/endpoints /v1/endpoints?index=5&wait=3000
	// /v1/endpoints?index=5&wait=3000 in time: true again at once: 0 for the module: 1
}

// A list older than the current one is not applied, and the whole list is requested. If that is older
// too, discovery has restarted; a host that was draining still is, unless it has restarted since.
func Example_staleList() {
	gateway := newTestGateway("one", "two", "three")
	entry := func(uid, state string, boot int64) string {
		return fmt.Sprintf(`{"uid":%q,"az":"a","endpoint":"127.0.0.%d:1","state":%q,"boot_ms":%d}`, uid, uid[1], state, boot) // an address of its own
	}
	gateway.discoveryResponses <- `{"rev":9,"targets":[` + entry("one", "terminating", 0) + "," + entry("two", "terminating", 0) + `]}`
	gateway.waitForRevision(9)
	older := entry("one", "in_service", 0) + "," + entry("two", "in_service", 1_000_000) + "," + entry("three", "in_service", 0)
	gateway.discoveryResponses <- `{"rev":3,"targets":[` + older + `]}`
	gateway.waitFor("not taken", func() bool { return gateway.Counters.ListsStale.Load() == 1 })
	gateway.discoveryResponses <- `{"rev":3,"all":true,"targets":[` + older + `]}`
	gateway.waitForRevision(3)
	gateway.printLog()
	for _, uid := range []string{"one", "two", "three"} {
		fmt.Println(uid, "takes what is new:", gateway.discovery.acceptsNewHops(gateway.discovery.idByUID[uid]))
	}
	// Output:
	// discovery: /v1/endpoints?index=4&wait=3000
	// discovery: /v1/endpoints?index=9&wait=3000
	// discovery: /v1/endpoints
	// one takes what is new: false
	// two takes what is new: true
	// three takes what is new: true
}

// A drain notice from the previous address of discovery counts until the new address answers; nothing
// else from there does.
func Example_drainNoticeAtOldAddress() {
	gateway := newTestGateway("one", "two")
	gateway.waitFor("a call", func() bool { return gateway.Counters.ListCalls.Load() == 1 })
	moved, answer := make(chan bool), make(chan bool)
	at := gateway.startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		moved <- true
		<-answer
		io.WriteString(w, `{"rev":1,"all":true,"targets":[]}`)
	}))
	gateway.callCore(func(time.Duration) { gateway.changeDiscoveryAddr(at) })
	<-moved // the call has arrived and is not answered yet
	gateway.discoveryResponses <- `{"rev":5,"targets":[{"uid":"one","az":"a","state":"terminating"},{"uid":"new","az":"a","state":"in_service"}]}`
	gateway.waitFor("goes", func() bool {
		gateway.Dispatcher.mu.Lock()
		defer gateway.Dispatcher.mu.Unlock()
		return !gateway.discovery.acceptsNewHops(gateway.discovery.idByUID["one"])
	})
	for range 3 {
		gateway.roundTrip("pay", "go")
	}
	gateway.printLog()
	fmt.Println("known:", len(gateway.discovery.addrByID))
	answer <- true
	gateway.waitForRevision(1)
	fmt.Println("known:", len(gateway.discovery.addrByID), "lost:", gateway.Counters.ListCallsFailed.Load())
	// Output:
	// discovery: /v1/endpoints?index=4&wait=3000
	// two: POST /pay?go "hi"
	// pay go: 200 "answer to go"
	// two: POST /pay?go "hi"
	// pay go: 200 "answer to go"
	// two: POST /pay?go "hi"
	// pay go: 200 "answer to go"
	// known: 2
	// known: 0 lost: 0
}

// A long request that its host doesn't read yet, on an idle connection, must not block whoever starts
// the hop: the timer, with everything else that is due, or the receiver of peer messages.
func Example_longMessageDoesNotBlock() {
	proceed, host := make(chan bool), logic.HostID(0)
	gateway := newGatewayWithScriptedHost(func(nc net.Conn, head *http.Request) {
		if head.Method == "POST" {
			<-proceed
			io.Copy(io.Discard, head.Body)
		}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	gateway.roundTrip("read", "go")
	time.Sleep(reuseTime)
	gateway.callCore(func(time.Duration) { host = gateway.discovery.idByUID["scripted"] })
	done := make(chan transport.Outcome, 1)
	gateway.callCore(func(time.Duration) {
		gateway.startExchange(gateway.discovery.targetOf(host), &transport.Exchange{Deadline: time.Now().Add(5 * time.Second), OnDone: func(outcome transport.Outcome) { done <- outcome },
			BuildMessage: func() net.Buffers {
				return net.Buffers{[]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n"), testBytes(8 * megabyte)}
			},
			ReadResponse: func(r *bufio.Reader) (bool, error) { _, err := http.ReadResponse(r, nil); return true, err }}, true)
	})
	proceed <- true
	fmt.Println("answered:", <-done == transport.OutcomeAnswered, "on connections:", gateway.pool.Opened.Load())
	// Output: answered: true on connections: 1
}

// A pushed list has to be current from the start of the process, and at once when discovery returns:
// it is requested at the start, and at short intervals while calls fail. Longer pauses would use up
// the drain's grace.
func Example_pushedListRetry() {
	pushed := strings.NewReplacer("subscribe", "automatic", `"askWithin"`, `"drainGrace":300000,"askWithin"`).Replace(testSettings)
	gateway := newTestGatewayWith(pushed, "one")
	began := time.Now()
	for range 5 { // discovery is down
		gateway.discoveryResponses <- ""
	}
	gateway.discoveryResponses <- `{"rev":5,"targets":[{"uid":"one","az":"a","state":"terminating"}]}`
	gateway.waitForRevision(5)
	fmt.Println("lost:", gateway.Counters.ListCallsFailed.Load(), "in time:", time.Since(began) < 5*300*time.Millisecond)
	// Output: lost: 5 in time: true
}

// A complete 200 before the end of the request belongs to another request: nothing has run, and no
// client may receive it. An error status before the end of the request is a response to it.
func Example_responseBeforeRequest() {
	for _, answer := range []string{"200 OK", "200 long", "400 no"} {
		gateway := newGatewayWithScriptedHost(func(nc net.Conn, head *http.Request) {
			stray := "stray"
			if answer == "200 long" { // it is streamed
				stray = strings.Repeat(stray, 14_000)
			}
			fmt.Fprintf(nc, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", answer, len(stray), stray)
			io.Copy(io.Discard, nc)
		})
		gateway.requestMemory.SetLimit(0) // no budget to hold any body
		c := gateway.dial()
		io.WriteString(c, strings.Replace(requestText("pay", "go", ""), "Length: 2", "Length: 100000", 1)+strings.Repeat("a", 50_000))
		gateway.logResponse(c, answer)
		gateway.printLog()
		fmt.Println("never ran:", gateway.Counters.HopOutcomes[logic.HopHostFull].Load()+gateway.Counters.HopOutcomes[logic.HopNoConnection].Load(), "streamed:", gateway.Counters.ResponsesStreamed.Load(), "committed:", gateway.Counters.Committed.Load())
		c.Close()
	}
	// Output:
	// 200 OK: 503 "rolled back", the last
	// never ran: 1 streamed: 0 committed: 0
	// 200 long: 503 "rolled back", the last
	// never ran: 1 streamed: 0 committed: 0
	// 400 no: 400 "stray", the last
	// never ran: 0 streamed: 0 committed: 0
}

// During shutdown the gateway sends nothing for a client that leaves, and answers the one that stays.
func Example_clientLeavesDuringShutdown() {
	gateway := newGatedGateway(false, "one")
	leaving, staying := gateway.dial(), gateway.dial()
	io.WriteString(leaving, requestText("pay", "goes", ""))
	<-gateway.dials
	io.WriteString(staying, requestText("pay", "stays", ""))
	<-gateway.dials
	ended := make(chan bool)
	go func() { gateway.Close(); close(ended) }()
	gateway.waitFor("the end", gateway.closing.Load)
	leaving.Close()
	gateway.waitForClientsLeft(1)
	gateway.gate <- true
	gateway.gate <- true
	gateway.logResponse(staying, "stays")
	<-ended
	gateway.printLog()
	fmt.Println("written:", gateway.Counters.HopsWritten.Load(), "open:", gateway.Counters.OpenTransactions.Load())
	// Output:
	// one: POST /pay?stays "hi"
	// stays: 200 "answer to stays", the last
	// written: 1 open: 0
}

// With settings of zero or below, each transaction still gets one response, none runs twice, and the
// gateway keeps serving.
func Example_zeroOrNegativeSettings() {
	for _, key := range []string{"serviceGoal", "hardLimit", "window", "mostHops", "revenue", "warmUp", "tipAfter", "fallMultiple", "coldFrom",
		"connectTimeout", "connIdle", "maxRetryAfter"} {
		for _, value := range []string{"0", "-5"} {
			changed := regexp.MustCompile(`"`+key+`":[0-9.]+`).ReplaceAllString(testSettings, `"`+key+`":`+value)
			gateway := newTestGatewayWith(changed, "one", "two")
			for _, profile := range []string{"read", "order", "pay"} {
				gateway.roundTrip(profile, "go")
				gateway.roundTrip(profile, "error")
			}
			gateway.waitFor("none open", func() bool { return gateway.Counters.OpenTransactions.Load() == 0 })
			responses, log := 0, fmt.Sprint(gateway.log)
			for _, status := range []string{": 200", ": 503", ": 504"} {
				responses += strings.Count(log, status)
			}
			if responses != 6 || strings.Count(log, "POST /pay?error") > 1 || gateway.waitTimedOut() {
				fmt.Println(key, value, log)
			}
		}
	}
	// Output:
}

// If a host is removed from the list while a hop is in flight, its connection is closed once it is
// idle, and not only after the idle timeout.
func Example_hostGoneWithHopInFlight() {
	proceed, closed := make(chan bool), make(chan bool)
	gateway := newGatewayWithScriptedHost(func(nc net.Conn, head *http.Request) {
		gateway := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		<-proceed
		io.WriteString(nc, gateway)
		nc.Read(make([]byte, 1))
		close(closed)
	})
	c := gateway.dial()
	defer c.Close()
	io.WriteString(c, requestText("pay", "go", ""))
	gateway.waitFor("out", func() bool { return gateway.Counters.HopsWritten.Load() == 1 })
	gateway.applyList(gateway.discovery.conn, logic.ListChanges, &protocol.HostList{Revision: 6, Hosts: []protocol.HostEntry{{UID: "scripted", Zone: "a", State: "terminated"}}})
	proceed <- true
	gateway.logResponse(c, "pay")
	select {
	case <-closed:
	case <-time.After(time.Second): // half of the idle timeout is 2 s
		gateway.logf("kept")
	}
	gateway.printLog()
	// Output: pay: 200 ""
}
