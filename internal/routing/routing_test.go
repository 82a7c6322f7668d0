package routing

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"spanmux/internal/protocol"
	"spanmux/logic"
)

const settings = `{"balancers":2,"dcs":["a"],"myZone":"a","discovery":"subscribe",` +
	`"limits":{"mostHops":3,"mayTell":true,"cancelling":true,"retryAfter":true,"maxRetryAfter":500000,` +
	`"connIdle":4000000,"connectTimeout":200000},"obligations":{"askWithin":200000,"warmUp":8000000,` +
	`"coldFrom":0.3,"fallMultiple":4,"tipAfter":1000000},"profiles":[` +
	`{"name":"read","effect":"idempotent","serviceGoal":2000000,"hardLimit":2000000,"revenue":1},` +
	`{"name":"order","effect":"deduplicated","group":"cell","window":900000,"serviceGoal":2000000,"revenue":1},` +
	`{"name":"pay","effect":"at_most_once","serviceGoal":2000000,"revenue":1}]}`

// stage is a gateway between stand-ins: hosts that do what a transaction's query says, and discovery.
type stage struct {
	*Dispatcher
	mu    sync.Mutex
	lines []string
	lists chan string // what discovery answers next, "" for 503
}

func play(hosts ...string) *stage { return playBy(settings, hosts...) }

func playBy(settings string, hosts ...string) *stage {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	s := &stage{lists: make(chan string, 9)}
	desk, err := NewDispatcher([]byte(settings))
	if err == nil {
		s.Dispatcher = desk
		var ln net.Listener
		ln, err = net.Listen("tcp", "127.0.0.1:0")
		desk.ConfigureListener(ln, false, 400, 0, 2<<20)
	}
	if err == nil && desk.core.GatewayCount == 2 { // more are not told of each other
		err = desk.JoinPeers("127.0.0.1:0", []string{"127.0.0.1:9", "127.0.0.1:8"}, "")
	}
	if err != nil {
		panic(err)
	}
	known := &protocol.HostList{Revision: 4}
	for i, uid := range hosts {
		at := s.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.host(uid, w, r) }))
		if uid == "down" {
			at = "127.0.0.1:1" // a port that was open before might be another's by now
		}
		known.Hosts = append(known.Hosts, protocol.HostEntry{UID: uid, Endpoint: at, Zone: "a", Cell: i, State: "in_service"})
	}
	discovery := s.listen(http.HandlerFunc(s.discover))
	desk.Start(7, discovery, known)
	go desk.Serve()
	return s
}

func (s *stage) listen(h http.Handler) string {
	return strings.TrimPrefix(httptest.NewServer(h).URL, "http://")
}

func (s *stage) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, fmt.Sprintf(format, args...))
}

// host does what the query says and prints what has come.
func (s *stage) host(uid string, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == protocol.LoadPath {
		io.WriteString(w, "TEXT inflight=1, queue=0")
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.say("%s: %s %s %s%q", uid, r.Method, r.URL, r.Header.Get("Idempotency-Key"), body)
	cut := func() {
		nc, _, _ := http.NewResponseController(w).Hijack()
		nc.Close()
	}
	switch do := r.URL.RawQuery; do {
	case "error":
		w.WriteHeader(500)
	case "full":
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(503)
	case "busy":
		w.WriteHeader(503)
	case "decline":
		http.Error(w, "no such thing", 400)
	case "large":
		w.Header().Set("Content-Length", "300000")
		io.WriteString(w, strings.Repeat("large ", 50_000))
	case "cut":
		cut()
	case "half":
		w.Header().Set("Content-Length", "9")
		io.WriteString(w, "half")
		http.NewResponseController(w).Flush()
		cut()
	case "slow": // past the time for which a gateway that ends takes connections
		time.Sleep(shutdownAcceptDuration + 200*time.Millisecond)
		io.WriteString(w, "late answer")
	case "wait":
		select {
		case <-r.Context().Done():
			s.say("%s: given up", uid)
		case <-time.After(5 * time.Second):
		}
	default:
		w.Header().Set("Endpoint-Load-Metrics", "TEXT inflight=1, queue=0")
		http.NewResponseController(w).Flush() // so that the answer comes in chunks
		io.WriteString(w, "answer to "+do)
	}
}

func (s *stage) discover(w http.ResponseWriter, r *http.Request) {
	select {
	case text := <-s.lists:
		s.say("discovery: %s", r.URL)
		if text == "" {
			w.WriteHeader(503)
		}
		io.WriteString(w, text)
	case <-r.Context().Done():
	}
}

// line is a client's connection.
type line struct {
	net.Conn
	r *bufio.Reader
}

func (s *stage) dial() *line {
	nc, err := net.Dial("tcp", s.listener.Addr())
	if err != nil {
		panic(err)
	}
	return &line{nc, bufio.NewReader(nc)}
}

// text is a transaction of a profile; do is what the host is to do.
func text(profile, do, more string) string {
	method := "POST"
	switch profile {
	case "read":
		method = "GET"
	case "order":
		more = "Idempotency-Key: k\r\n" + more
	}
	if method == "POST" {
		more += "Content-Length: 2\r\n"
	}
	return method + " /" + profile + "?" + do + " HTTP/1.1\r\nHost: svc\r\nX-Trace-Id: 9b-" + do + "\r\nX-Qos: " + profile +
		"\r\nX-Expires-In-Ms: 1900\r\n" + more + "\r\n" + map[string]string{"POST": "hi"}[method]
}

// get prints the next answer.
func (s *stage) get(c *line, what string) {
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	r, err := http.ReadResponse(c.r, nil)
	if err != nil {
		s.say("%s: closed", what)
		return
	}
	body, err := io.ReadAll(r.Body)
	s.say("%s: %d %q%s%s", what, r.StatusCode, bytes.TrimSpace(body),
		map[bool]string{true: ", the last"}[r.Close], map[bool]string{true: ", torn"}[err != nil])
}

func (s *stage) ask(profile, do string) {
	c := s.dial()
	defer c.Close()
	io.WriteString(c, text(profile, do, ""))
	s.get(c, profile+" "+do)
}

// until waits for what is to come about, for 5 seconds at the most.
func (s *stage) until(what string, so func() bool) {
	for end := time.Now().Add(5 * time.Second); !so(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.say("never: %s", what)
			return
		}
	}
}

// untilLine waits for a line that begins so.
func (s *stage) untilLine(begin string) {
	s.until(begin, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return slices.ContainsFunc(s.lines, func(l string) bool { return strings.HasPrefix(l, begin) })
	})
}

func (s *stage) untilRev(rev int64) {
	s.until("list", func() bool {
		s.Dispatcher.mu.Lock()
		defer s.Dispatcher.mu.Unlock()
		return s.discovery.revision == rev
	})
}

func (s *stage) print() {
	s.mu.Lock()
	fmt.Println(strings.Join(s.lines, "\n"))
	s.lines = nil
	s.mu.Unlock()
}

// What each end of a hop comes to. A payment goes on only while no hop may have run, and an order that may have run only
// in its cell, which has one host here; an abandonment promises nothing.
func Example_ends() {
	s := play("one")
	for _, profile := range []string{"read", "order", "pay"} {
		for _, do := range []string{"go", "error", "full", "busy", "cut", "half"} {
			s.ask(profile, do)
		}
		s.print()
	}
	// Output:
	// one: GET /read?go ""
	// read go: 200 "answer to go"
	// one: GET /read?error ""
	// read error: 503 "rolled back"
	// one: GET /read?full ""
	// read full: 503 "rolled back"
	// one: GET /read?busy ""
	// read busy: 503 "rolled back"
	// one: GET /read?cut ""
	// read cut: 503 "rolled back"
	// one: GET /read?half ""
	// read half: 503 "rolled back"
	// one: POST /order?go k"hi"
	// order go: 200 "answer to go"
	// one: POST /order?error k"hi"
	// order error: 504 "abandoned"
	// one: POST /order?full k"hi"
	// order full: 503 "rolled back"
	// one: POST /order?busy k"hi"
	// order busy: 504 "abandoned"
	// one: POST /order?cut k"hi"
	// order cut: 504 "abandoned"
	// one: POST /order?half k"hi"
	// order half: 504 "abandoned"
	// one: POST /pay?go "hi"
	// pay go: 200 "answer to go"
	// one: POST /pay?error "hi"
	// pay error: 504 "abandoned"
	// one: POST /pay?full "hi"
	// pay full: 503 "rolled back"
	// one: POST /pay?busy "hi"
	// pay busy: 504 "abandoned"
	// one: POST /pay?cut "hi"
	// pay cut: 504 "abandoned"
	// one: POST /pay?half "hi"
	// pay half: 504 "abandoned"
}

// What a host declines goes to the client as it is and to no other host, and speaks against none: the breakers would open
// after five such errors in a row, and five more reads would try both hosts each.
func Example_declined() {
	s := play("one", "two")
	for range 10 {
		s.ask("read", "decline")
	}
	fmt.Println(s.lines[len(s.lines)-1])
	fmt.Println("hops:", s.Counters.Hops.Load(), "declined:", s.Counters.Declined.Load(), "errors:", s.Counters.HopOutcomes[logic.HopError].Load())
	// Output:
	// read decline: 400 "no such thing"
	// hops: 10 declined: 10 errors: 0
}

// A connection that never comes up proves that nothing ran: even a payment goes on, here to the other host.
func Example_neverUp() {
	s := play("down", "one")
	for range 4 {
		s.ask("pay", "go")
	}
	s.print()
	fmt.Println("connections that never came up:", s.Counters.HopOutcomes[logic.HopNoConnection].Load() > 0)
	// Output:
	// one: POST /pay?go "hi"
	// pay go: 200 "answer to go"
	// one: POST /pay?go "hi"
	// pay go: 200 "answer to go"
	// one: POST /pay?go "hi"
	// pay go: 200 "answer to go"
	// one: POST /pay?go "hi"
	// pay go: 200 "answer to go"
	// connections that never came up: true
}

// A client that closes has left: the hop out for it is given up and nothing more is sent for it. One that only sends
// early is answered in turn, and what comes late for the first does not reach the second.
func Example_clients() {
	s := play("one")
	c := s.dial()
	io.WriteString(c, text("pay", "wait", ""))
	s.untilLine("one: POST /pay?wait")
	c.Close()
	s.untilLine("one: given up")
	c = s.dial()
	io.WriteString(c, text("read", "first", "")+text("pay", "second", "Connection: close\r\n"))
	s.untilLine("one: POST /pay?second")
	s.get(c, "first")
	s.get(c, "second")
	s.get(c, "third")
	s.print()
	fmt.Println("left:", s.Counters.ClientLeft.Load(), "hops:", s.Counters.Hops.Load())
	// Output:
	// one: POST /pay?wait "hi"
	// one: given up
	// one: GET /read?first ""
	// one: POST /pay?second "hi"
	// first: 200 "answer to first"
	// second: 200 "answer to second", the last
	// third: closed
	// left: 1 hops: 3
}

// What is wrong gets an answer of its own and is not taken.
func Example_wrong() {
	s := play("one")
	for _, text := range []string{
		text("nothing", "go", ""), text("read", "go", "Content-Length: -1\r\n"),
		strings.Replace(text("pay", "go", ""), "Content-Length: 2", "Idempotency-Key: k\r\nContent-Length: 2", 1),
		strings.Replace(text("pay", "go", ""), "1900", "soon", 1), "GET /nowhere HTTP/1.1\r\n\r\n", "\x16\x03\x01 \r\n\r\n",
		strings.Replace(text("read", "path", ""), "/read", "/pay", 1), text("read", "go", "X-Qos: pay\r\n"),
		text("read", "go", "Content-Length: 5\r\n") + "GET /",
	} {
		c := s.dial()
		io.WriteString(c, text)
		what, _, _ := strings.Cut(text, " HTTP")
		s.get(c, fmt.Sprintf("%q", what))
		c.Close()
	}
	c := s.dial() // one that goes on sending is not reset, or it might never see its answer
	io.WriteString(c, strings.Replace(text("order", "go", ""), "Length: 2", "Length: 33554433", 1))
	s.get(c, "too long")
	for range 2 {
		io.WriteString(c, strings.Repeat("a", 10_000))
		time.Sleep(10 * time.Millisecond)
	}
	_, err := io.WriteString(c, "a")
	s.say("reads on: %t", err == nil)
	open, same := s.dial(), s.dial()
	io.WriteString(open, text("pay", "wait", ""))
	s.untilLine("one: POST")
	io.WriteString(same, text("pay", "wait", ""))
	s.get(same, "the same id")
	open.Close()
	s.untilLine("one: given up")
	s.ask("pay", "go")
	s.datagramReceived(netip.MustParseAddrPort("127.0.0.1:7"), make([]byte, 9)) // of no gateway
	s.datagramReceived(netip.MustParseAddrPort("127.0.0.1:8"), make([]byte, 8)) // no whole number of hosts
	s.datagramReceived(netip.MustParseAddrPort("127.0.0.1:8"), make([]byte, 10))
	s.print()
	fmt.Println("wrong:", s.Counters.InvalidInputs.Load(), "taken:", s.Counters.Admitted.Load(), "told:", s.Counters.PeerMessagesReceived.Load(), "dropped:",
		s.Counters.PeerMessagesInvalid.Load())
	// Output:
	// "POST /nothing?go": 400 "unknown profile", the last
	// "GET /read?go": 400 "wrong length", the last
	// "POST /pay?go": 400 "method or mark not of this profile", the last
	// "POST /pay?go": 400 "missing or silly X-Expires-In-Ms", the last
	// "GET /nowhere": 404 "not here"
	// "\x16\x03\x01 \r\n\r\n": 400 "malformed first line", the last
	// "GET /pay?path": 400 "path not of this profile", the last
	// "GET /read?go": 400 "a field given twice", the last
	// "GET /read?go": 400 "body where there is none", the last
	// too long: 413 "body too long", the last
	// reads on: true
	// one: POST /pay?wait "hi"
	// the same id: 409 "its id is that of another", the last
	// one: given up
	// one: POST /pay?go "hi"
	// pay go: 200 "answer to go"
	// wrong: 10 taken: 2 told: 1 dropped: 2
}

// A client that says nothing, or never all, is told so or closed within 3 seconds; one that may come again is kept for longer.
func Example_silent() {
	s := play("one")
	began := time.Now()
	silent, half, idle, once := s.dial(), s.dial(), s.dial(), s.dial()
	io.WriteString(once, text("read", "once", ""))
	s.get(once, "once")
	io.WriteString(half, "GET /read?go HTT")
	io.WriteString(idle, "GET /ready HTTP/1.1\r\n\r\n")
	s.get(idle, "idle")
	s.get(silent, "silent")
	s.get(half, "half")
	s.say("in time: %t", time.Since(began) < 3*time.Second)
	io.WriteString(idle, text("read", "again", ""))
	s.get(idle, "idle")
	s.get(once, "once, idle since")
	s.say("in time: %t", time.Since(began) < 5*time.Second)
	s.print()
	// Output:
	// one: GET /read?once ""
	// once: 200 "answer to once"
	// idle: 200 "ready"
	// silent: closed
	// half: 408 "message not whole in time", the last
	// in time: true
	// one: GET /read?again ""
	// idle: 200 "answer to again"
	// once, idle since: closed
	// in time: true
}

// A watch goes on from the version in hand; a list that is lost or makes no sense leaves the old one standing, and it is
// asked again. A host that drains gets nothing more.
func Example_list() {
	s := play("one", "two")
	s.lists <- `{"rev":5,"all":false,"targets":[{"uid":"one","az":"a","state":"terminating"}]}`
	s.untilRev(5)
	s.print()
	for range 3 {
		s.ask("read", "go")
	}
	s.lists <- `{"rev":6,"targets":[{"uid":"one","state":"asleep"}]}`
	s.lists <- ""
	s.until("two lists lost", func() bool { return s.Counters.ListCallsFailed.Load() == 2 })
	s.ask("read", "go")
	s.lists <- `{"rev":7,"all":true,"targets":[]}`
	s.untilRev(7)
	s.ask("read", "go")
	s.print()
	// Output:
	// discovery: /v1/endpoints?index=4&wait=3000
	// two: GET /read?go ""
	// read go: 200 "answer to go"
	// two: GET /read?go ""
	// read go: 200 "answer to go"
	// two: GET /read?go ""
	// read go: 200 "answer to go"
	// discovery: /v1/endpoints?index=5&wait=3000
	// discovery: /v1/endpoints?index=5&wait=3000
	// two: GET /read?go ""
	// read go: 200 "answer to go"
	// discovery: /v1/endpoints?index=5&wait=3000
	// read go: 503 "rolled back"
}

// Where the settings say that changes come by themselves the gateway asks all the same, as on sockets none would. A
// discovery that answers at once with nothing is not called without a pause.
func Example_listUnasked() {
	settings := strings.Replace(settings, "subscribe", "automatic", 1)
	s := playBy(strings.Replace(settings, `,"connIdle":4000000,"connectTimeout":200000`, "", 1), "one")
	s.ask("read", "go") // connections come up and are kept, though nothing is said of their times
	s.lists <- `{"rev":5,"all":true,"targets":[]}`
	s.untilRev(5)
	s.ask("read", "go")
	s.print()
	began := time.Now()
	for range 4 {
		s.lists <- `{"rev":5,"targets":[]}`
	}
	s.until("five more calls", func() bool { return s.Counters.ListCalls.Load() >= 6 })
	fmt.Println("pauses:", time.Since(began) >= 4*minListCallPause)
	// Output:
	// one: GET /read?go ""
	// read go: 200 "answer to go"
	// discovery: /v1/endpoints?index=4&wait=3000
	// read go: 503 "rolled back"
	// pauses: true
}

// Discovery may move while a call waits there. All is asked for at the new address at once; what the old one still
// brings is passed over, and its end is no lost list.
func Example_rediscover() {
	s := play("one", "two")
	s.until("a call", func() bool { return s.Counters.ListCalls.Load() == 1 })
	lists := make(chan string, 1)
	moved := s.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case text := <-lists:
			s.say("moved to: %s", r.URL)
			io.WriteString(w, text)
		case <-r.Context().Done():
		}
	}))
	old := s.discovery.conn
	s.callCore(func(time.Duration) { s.changeDiscoveryAddr(moved) })
	s.applyList(old, logic.ListComplete, &protocol.HostList{Revision: 9})
	lists <- `{"rev":3,"all":true,"targets":[{"uid":"two","az":"a","state":"terminating"}]}`
	s.untilRev(3)
	s.ask("read", "go")
	s.print()
	s.until("a watch", func() bool { return s.Counters.ListCalls.Load() == 3 })
	lists <- `{"rev":5,"targets":[]}`
	s.untilRev(5)
	s.print()
	fmt.Println("lost:", s.Counters.ListCallsFailed.Load())
	// Output:
	// moved to: /v1/endpoints
	// read go: 503 "rolled back"
	// moved to: /v1/endpoints?index=3&wait=3000
	// lost: 0
}

// A host's number comes from its uid alone, and two uids with one number are noticed. A start before the gateway's own
// is known as such: taken for long ago, a cold host would be pushed over.
func Example_numbers() {
	l := newDiscoveryState()
	for _, uid := range []string{"plumless", "plumless", "buckeroo"} {
		id, ok := l.hostIDFor(uid)
		fmt.Println(uid, id, ok)
	}
	d := &Dispatcher{startedAt: time.UnixMilli(1_000_000_000)}
	fmt.Println(d.coreClockTime(0), d.coreClockTime(1_000_000_000-2_500), d.coreClockTime(1_000_000_000+500), d.coreClockTime(5))
	// Output:
	// plumless 1306201125 true
	// plumless 1306201125 true
	// buckeroo 1306201125 false
	// 0s 59m57.5s 1h0m0.5s 0s
}

// After the word to end, connections go on coming for a while and are answered; what is out then is still answered.
func Example_end() {
	s := play("one")
	idle, busy := s.dial(), s.dial()
	io.WriteString(busy, text("read", "slow", ""))
	s.untilLine("one: GET /read?slow")
	ended := make(chan bool)
	go func() { s.Close(); close(ended) }()
	s.until("the end", s.closing.Load)
	s.ask("read", "go")
	c := s.dial()
	io.WriteString(c, "GET /ready HTTP/1.1\r\n\r\n")
	s.get(c, "ready")
	s.get(idle, "idle")
	s.get(busy, "busy")
	<-ended
	s.print()
	// Output:
	// one: GET /read?slow ""
	// one: GET /read?go ""
	// read go: 200 "answer to go", the last
	// ready: 503 "not ready", the last
	// idle: closed
	// busy: 200 "late answer", the last
}

// Idle connections to a host that drains are closed as the gateway is told, where settings say so, and one that was busy as it falls
// idle; elsewhere they stand until they have been idle for long.
func Example_drainCloses() {
	for _, rules := range []string{settings, strings.Replace(settings, `"askWithin"`, `"closeOnDrainWithin":500000,"askWithin"`, 1)} {
		s := playBy(rules)
		closed := make(chan bool, 9)
		ask, there := make(chan bool), make(chan bool, 1)
		host := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RawQuery == "wait" {
				there <- true
				<-ask
			}
		}))
		host.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				closed <- true
			}
		}
		host.Start()
		s.lists <- fmt.Sprintf(`{"rev":5,"all":true,"targets":[{"uid":"one","az":"a","endpoint":%q,"state":"in_service"}]}`, host.Listener.Addr())
		s.untilRev(5)
		busy := s.dial()
		io.WriteString(busy, text("read", "wait", ""))
		defer busy.Close() // one that nobody holds any more is closed by the collector
		<-there            // else it would come to a host that drains
		s.ask("read", "go")
		s.lists <- fmt.Sprintf(`{"rev":6,"targets":[{"uid":"one","az":"a","endpoint":%q,"state":"terminating"}]}`, host.Listener.Addr())
		s.untilRev(6)
		for _, what := range []string{"idle", "busy"} {
			select {
			case <-closed:
				fmt.Println(what, "one closed")
			case <-time.After(400 * time.Millisecond):
				fmt.Println(what, "one kept")
			}
			if what == "idle" {
				ask <- true
			}
		}
	}
	// Output:
	// idle one kept
	// busy one kept
	// idle one closed
	// busy one closed
}

// The same build serves both shapes; settings alone say which. Where connections cost, a gateway of a client process keeps
// to few hosts, one at the least, and what it gives back is opened anew; one of a pool goes to all.
func Example_few() {
	own := strings.NewReplacer(`"balancers":2`, `"balancers":300`, `"mayTell":true`, `"mayTell":false,"secondCopies":false`,
		`"dcs"`, `"prices":{"connection":0.05},"report":{"via":"answers","fields":["busy","rif"]},"dcs"`).Replace(settings)
	for _, text := range []string{settings, own} {
		s := playBy(text, "one", "two", "three")
		for i := range 11 {
			s.ask("read", fmt.Sprint(i))
		}
		hosts := map[string]bool{}
		for _, line := range s.lines {
			if host, _, ok := strings.Cut(line, ": GET"); ok {
				hosts[host] = true
			}
		}
		opened := s.pool.Opened.Load()
		s.callCore(func(time.Duration) {
			for id := range s.discovery.addrByID { // in any order
				s.CloseIdleConnections(id)
			}
		})
		s.ask("read", "again")
		fmt.Println("hosts:", len(hosts), "opened:", opened, "after they were given back:", s.pool.Opened.Load()-opened)
	}
	// Output:
	// hosts: 3 opened: 3 after they were given back: 1
	// hosts: 1 opened: 1 after they were given back: 1
}
