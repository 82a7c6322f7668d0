package routing

import (
	"bufio"
	"container/heap"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxPropagationTime bounds the tests below: a list change has to be known this long after discovery
// has it and can be reached, whatever calls failed, were refused or given up before.
const maxPropagationTime = 6 * time.Second

// maxDiscoveryQueueTime is how long discovery queues a call; one that would wait longer is refused.
const maxDiscoveryQueueTime = 2 * time.Second

// simulatedTime is an event queue in simulated time, earliest first; events of one instant are run in
// the order in which they were added.
type simulatedTime struct {
	events []event
	added  int
	now    time.Duration
}

// event is a function to be run at a simulated time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

func (t *simulatedTime) Len() int { return len(t.events) }
func (t *simulatedTime) Less(i, j int) bool {
	a, b := t.events[i], t.events[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (t *simulatedTime) Swap(i, j int) { t.events[i], t.events[j] = t.events[j], t.events[i] }
func (t *simulatedTime) Push(x any)    { t.events = append(t.events, x.(event)) }
func (t *simulatedTime) Pop() any {
	last := t.events[len(t.events)-1]
	t.events = t.events[:len(t.events)-1]
	return last
}

// schedule adds an event that is run after delay.
func (t *simulatedTime) schedule(delay time.Duration, do func()) {
	t.added++
	heap.Push(t, event{t.now + delay, t.added, do})
}

// run runs the events before until, in order.
func (t *simulatedTime) run(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at < until {
		e := heap.Pop(t).(event)
		t.now = e.at
		e.do()
	}
}

// simulatedFleet simulates many gateways that watch one discovery, with the program's constants and
// backoff function. Discovery answers one call of each gateway per round, in turn, and refuses a call
// if the queue is full.
type simulatedFleet struct {
	simulatedTime
	gateways     int
	round        time.Duration // in which discovery can answer one call of each gateway
	renewalsCost bool          // a call that continues a watch costs as much as one that starts it
	jitter       *rand.Rand

	freeAt      time.Duration   // when discovery is done with the calls it has accepted
	failureMode string          // how discovery fails now
	changed     bool            // discovery has the list change
	calls       []time.Duration // when each call was made
	refused     int             // calls
	watchers    []*simulatedWatcher
}

// simulatedWatcher is the watch of one gateway.
type simulatedWatcher struct {
	fleet     *simulatedFleet
	call      int // the number of the call in flight
	startedAt time.Duration
	waiting   bool          // discovery holds the call
	continues bool          // the last call did not fail
	retried   bool          // the last call was interrupted, and this one followed at once
	knownAt   time.Duration // when the gateway received the list change; 0 before that
}

const networkDelay = time.Millisecond // one way

// startCall simulates a call: its timeout, and its turn or refusal at discovery.
func (w *simulatedWatcher) startCall() {
	f := w.fleet
	w.call++
	call := w.call
	w.startedAt, w.waiting = f.now, false
	f.calls = append(f.calls, f.now)
	f.schedule(listWatchDuration+listWatchMargin, func() { w.callFailed(call, true) })
	switch {
	case f.failureMode == "silent":
		return
	case f.failureMode == "refuses" || f.freeAt-f.now > maxDiscoveryQueueTime:
		f.refused++
		f.schedule(networkDelay, func() { w.callFailed(call, false) })
		return
	}
	took := f.round / time.Duration(f.gateways)
	if w.continues && !f.renewalsCost {
		took = 0
	}
	f.freeAt = max(f.freeAt, f.now) + took
	f.schedule(f.freeAt-f.now, func() { // the queue has reached it
		switch {
		case w.call != call || f.failureMode == "silent":
		case f.changed && w.knownAt == 0:
			w.responseSent(call)
		default:
			w.waiting = true
			f.schedule(max(0, w.startedAt+listWatchDuration-f.now), func() {
				if w.waiting && w.call == call {
					w.responseSent(call)
				}
			})
		}
	})
}

// responseSent simulates the response to a call; it brings the change if discovery has it.
func (w *simulatedWatcher) responseSent(call int) {
	w.waiting = false
	w.fleet.schedule(networkDelay, func() {
		if w.call != call {
			return
		}
		if w.fleet.changed && w.knownAt == 0 {
			w.knownAt = w.fleet.now
		}
		w.continues, w.retried = true, false
		w.startCall()
	})
}

// callFailed simulates a call that was interrupted or refused, as Dispatcher.watchList handles it.
func (w *simulatedWatcher) callFailed(call int, cutOff bool) {
	if w.call != call {
		return
	}
	w.call, w.waiting, w.continues = w.call+1, false, false
	if w.retried = cutOff && !w.retried; w.retried {
		w.startCall()
		return
	}
	w.fleet.schedule(listBackoff(w.fleet.now-w.startedAt, w.fleet.jitter.Float64()), w.startCall)
}

// simulate runs one kind of failure. It returns the longest time from the change, and from when
// discovery could be reached, until a gateway knew it, the mean rate of calls per second before the
// failure, and the highest rate after it.
func (f *simulatedFleet) simulate(fault string) (longest time.Duration, usualRate, maxRate float64) {
	const change, outage = 20 * time.Second, 8 * time.Second
	f.jitter = rand.New(rand.NewPCG(1, uint64(f.gateways)))
	for range f.gateways {
		w := &simulatedWatcher{fleet: f}
		f.watchers = append(f.watchers, w)
		f.schedule(time.Duration(f.jitter.Float64()*float64(max(f.round, listWatchDuration))), w.startCall)
	}
	reachableAt := change
	f.schedule(change-networkDelay, func() {
		switch fault {
		case "reset", "refused": // waiting calls end
			for _, w := range f.watchers {
				if w.waiting {
					w.callFailed(w.call, fault == "reset")
				}
			}
		case "silent": // waiting calls go silent, and new ones are answered
			for _, w := range f.watchers {
				w.waiting = false
			}
		case "down":
			f.failureMode, reachableAt = "refuses", change+outage
			for _, w := range f.watchers {
				if w.waiting {
					w.callFailed(w.call, false)
				}
			}
		case "mute":
			f.failureMode, reachableAt = "silent", change+outage
			for _, w := range f.watchers {
				w.waiting = false
			}
		}
	})
	f.schedule(change, func() {
		f.changed = true
		for _, w := range f.watchers {
			if w.waiting {
				w.responseSent(w.call)
			}
		}
	})
	f.schedule(change+outage, func() { f.failureMode = "" })
	f.run(60 * time.Second)
	for _, w := range f.watchers {
		if w.knownAt == 0 {
			w.knownAt = f.now
		}
		longest = max(longest, w.knownAt-reachableAt)
	}
	seconds := map[time.Duration]float64{}
	for _, at := range f.calls {
		if at > change/2 && at < change-networkDelay {
			usualRate++
		}
		if at >= change-networkDelay {
			seconds[at/time.Second]++
			maxRate = max(maxRate, seconds[at/time.Second])
		}
	}
	return longest, usualRate / (change / 2).Seconds(), maxRate
}

// With 300 gateways and longer waits, a drain was known only after 21 s if a watch went silent as it
// began: a call waited for 20 s, and a failed one was repeated up to 5 s later. This simulates fleets
// of several sizes: the longest time until all gateways know, and the calls per second of all
// gateways, usually and at most. Discovery takes one call of each gateway in 2 s.
func Example_listPropagationInFleet() {
	for _, gateways := range []int{1, 3, 60, 300, 1000} {
		for _, fault := range []string{"silent", "reset", "refused", "down", "mute"} {
			f := &simulatedFleet{gateways: gateways, round: 2 * time.Second, renewalsCost: true}
			longest, usualRate, maxRate := f.simulate(fault)
			fmt.Printf("%d %s: known %.1f s, in time %t, calls %.1f, at most %.0f\n",
				gateways, fault, longest.Seconds(), longest <= maxPropagationTime, usualRate, maxRate)
		}
	}
	// Output:
	// 1 silent: known 1.0 s, in time true, calls 0.4, at most 1
	// 1 reset: known 1.0 s, in time true, calls 0.4, at most 1
	// 1 refused: known 1.0 s, in time true, calls 0.4, at most 1
	// 1 down: known 0.0 s, in time true, calls 0.4, at most 1
	// 1 mute: known 5.0 s, in time true, calls 0.4, at most 1
	// 3 silent: known 3.0 s, in time true, calls 1.1, at most 2
	// 3 reset: known 1.6 s, in time true, calls 1.1, at most 2
	// 3 refused: known 1.6 s, in time true, calls 1.1, at most 2
	// 3 down: known 1.9 s, in time true, calls 1.1, at most 4
	// 3 mute: known 5.0 s, in time true, calls 1.1, at most 2
	// 60 silent: known 4.5 s, in time true, calls 19.9, at most 42
	// 60 reset: known 2.0 s, in time true, calls 19.9, at most 59
	// 60 refused: known 3.8 s, in time true, calls 19.9, at most 46
	// 60 down: known 3.7 s, in time true, calls 19.9, at most 52
	// 60 mute: known 4.6 s, in time true, calls 19.9, at most 42
	// 300 silent: known 4.7 s, in time true, calls 100.1, at most 187
	// 300 reset: known 2.0 s, in time true, calls 100.1, at most 300
	// 300 refused: known 3.7 s, in time true, calls 100.1, at most 224
	// 300 down: known 3.6 s, in time true, calls 100.1, at most 230
	// 300 mute: known 4.7 s, in time true, calls 100.1, at most 187
	// 1000 silent: known 4.7 s, in time true, calls 333.9, at most 618
	// 1000 reset: known 2.0 s, in time true, calls 333.9, at most 999
	// 1000 refused: known 3.8 s, in time true, calls 333.9, at most 730
	// 1000 down: known 3.7 s, in time true, calls 333.9, at most 817
	// 1000 mute: known 4.7 s, in time true, calls 333.9, at most 618
}

// However a call ends, and after whatever time, the next one begins within 4 s of its beginning; the
// queue before the answer makes it 6 s.
func Example_listPropagationBound() {
	longest := listWatchDuration + listWatchMargin
	for elapsed := time.Duration(0); elapsed <= max(listWatchDuration+listWatchMargin, listCallTimeout, 2*time.Second); elapsed += time.Millisecond { // 2 s: a connection that never comes up
		longest = max(longest, elapsed+listBackoff(elapsed, 0.999999))
		if elapsed+listBackoff(elapsed, 0) < minListBackoff {
			fmt.Println("too soon:", elapsed)
		}
	}
	fmt.Println(longest, longest+maxDiscoveryQueueTime <= maxPropagationTime)
	// Output: 4s true
}

// The slower discovery answers calls, the later the last gateway is answered, whatever the gateways
// do: by one more round if the calls that continue a watch cost next to nothing. If they cost as much
// as others and a round takes longer than a call waits, discovery is overloaded all the time.
func Example_listPropagationByOverloadedDiscovery() {
	for _, renewals := range []bool{false, true} {
		for _, round := range []time.Duration{2, 3, 4, 5, 6, 8} {
			for _, fault := range []string{"silent", "down"} {
				f := &simulatedFleet{gateways: 300, round: round * time.Second, renewalsCost: renewals}
				longest, usualRate, _ := f.simulate(fault)
				fmt.Printf("renewals cost %t, round %d s, %s: known %.1f s, load %.2f, refused %d\n", renewals, round, fault, longest.Seconds(),
					usualRate*float64(round)/300, f.refused)
			}
		}
	}
	// Output:
	// renewals cost false, round 2 s, silent: known 4.0 s, load 0.67, refused 0
	// renewals cost false, round 2 s, down: known 2.7 s, load 0.67, refused 1265
	// renewals cost false, round 3 s, silent: known 4.2 s, load 1.00, refused 0
	// renewals cost false, round 3 s, down: known 3.0 s, load 1.00, refused 1265
	// renewals cost false, round 4 s, silent: known 5.3 s, load 1.31, refused 0
	// renewals cost false, round 4 s, down: known 4.0 s, load 1.31, refused 1256
	// renewals cost false, round 5 s, silent: known 6.7 s, load 1.73, refused 6
	// renewals cost false, round 5 s, down: known 5.0 s, load 1.73, refused 1252
	// renewals cost false, round 6 s, silent: known 7.1 s, load 2.00, refused 54
	// renewals cost false, round 6 s, down: known 6.1 s, load 2.00, refused 1336
	// renewals cost false, round 8 s, silent: known 9.5 s, load 2.71, refused 153
	// renewals cost false, round 8 s, down: known 10.0 s, load 2.71, refused 1557
	// renewals cost true, round 2 s, silent: known 4.7 s, load 0.67, refused 0
	// renewals cost true, round 2 s, down: known 3.6 s, load 0.67, refused 1265
	// renewals cost true, round 3 s, silent: known 5.7 s, load 1.00, refused 17
	// renewals cost true, round 3 s, down: known 8.2 s, load 1.00, refused 1318
	// renewals cost true, round 4 s, silent: known 22.9 s, load 1.46, refused 2067
	// renewals cost true, round 4 s, down: known 15.8 s, load 1.46, refused 2842
	// renewals cost true, round 5 s, silent: known 32.7 s, load 1.99, refused 3365
	// renewals cost true, round 5 s, down: known 29.6 s, load 1.99, refused 3992
	// renewals cost true, round 6 s, silent: known 40.0 s, load 2.49, refused 4218
	// renewals cost true, round 6 s, down: known 32.0 s, load 2.49, refused 4747
	// renewals cost true, round 8 s, silent: known 40.0 s, load 3.49, refused 5224
	// renewals cost true, round 8 s, down: known 32.0 s, load 3.49, refused 5613
}

// failingDiscovery is a discovery over sockets that fails in a given way when the test says so.
type failingDiscovery struct {
	fault        string
	host         string // address of the only host
	addr         string
	ln           net.Listener
	watchWaiting chan bool // receives when a watch call waits
	fail         chan bool // closed to make discovery fail
	changedAt    time.Time // when discovery has the drain and can be reached; set before fail is closed
	failed       atomic.Bool
}

// outageDuration is how long discovery is down or unresponsive in the failures that last.
const outageDuration = 3 * time.Second

// serve accepts connections and answers their calls until the listener is closed.
func (d *failingDiscovery) serve() {
	for {
		nc, err := d.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			r := bufio.NewReader(nc)
			for {
				call, err := http.ReadRequest(r)
				if err != nil || !d.handle(nc, call.URL.Query().Get("index")) {
					return
				}
			}
		}()
	}
}

// handle answers a call: first with the old list, then it fails the waiting watch, and after that
// returns the drain.
func (d *failingDiscovery) handle(nc net.Conn, revision string) (keep bool) {
	write := func(status, list string) {
		fmt.Fprintf(nc, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(list), list)
	}
	entry := func(state string) string {
		return fmt.Sprintf(`{"uid":"one","az":"a","endpoint":%q,"state":%q}`, d.host, state)
	}
	switch {
	case revision == "":
		write("200 OK", `{"rev":5,"all":true,"targets":[`+entry("in_service")+`]}`)
		return true
	case revision == "6": // everything is known
		return true
	case d.failed.Load() && time.Now().After(d.changedAt):
		if d.fault == "overbooked" {
			time.Sleep(maxDiscoveryQueueTime - 100*time.Millisecond)
		}
		write("200 OK", `{"rev":6,"targets":[`+entry("terminating")+`]}`)
		return true
	case !d.failed.Load():
		d.watchWaiting <- true
		<-d.fail
		d.failed.Store(true)
	}
	switch d.fault {
	case "silent", "mute":
		return true
	case "dribbling":
		for _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nX: "); err == nil; _, err = io.WriteString(nc, "x") {
			time.Sleep(20 * time.Millisecond)
		}
	case "torn":
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n{\"rev\"")
	case "reset":
		nc.(*net.TCPConn).SetLinger(0)
	case "refuses", "overbooked":
		write("503 no", "")
		return true
	case "down":
		d.ln.Close()
		time.AfterFunc(time.Until(d.changedAt), func() {
			for err := error(io.EOF); err != nil; time.Sleep(time.Millisecond) {
				d.ln, err = net.Listen("tcp", d.addr)
			}
			d.serve()
		})
	}
	nc.Close()
	return false
}

// logAcrossDiscoveryFailure returns the log of one gateway of a fleet with a failing discovery: its
// only host gets a request before the failure, and another is sent once the drain is known or has to
// be.
func logAcrossDiscoveryFailure(fault string, gateways int, address string) string {
	gateway := newTestGatewayWith(strings.NewReplacer(`"balancers":2`, fmt.Sprintf(`"balancers":%d`, gateways), `"askWithin":200000`,
		`"askWithin":10000000`, `"mayTell":true`, `"mayTell":false`).Replace(testSettings))
	ln, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	d := &failingDiscovery{fault: fault, addr: ln.Addr().String(), ln: ln, watchWaiting: make(chan bool, 9), fail: make(chan bool)}
	d.host = gateway.startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/pay") { // otherwise it is meant for the previous user of this port, in another process
			gateway.serveHost("one", w, r)
		}
	}))
	go d.serve()
	gateway.callCore(func(time.Duration) { gateway.changeDiscoveryAddr(d.addr) })
	<-d.watchWaiting
	gateway.roundTrip("pay", "go")
	d.changedAt = time.Now()
	if fault == "down" || fault == "refuses" || fault == "mute" {
		d.changedAt = d.changedAt.Add(outageDuration)
	}
	close(d.fail)
	for known := false; !known && time.Since(d.changedAt) < maxPropagationTime; time.Sleep(10 * time.Millisecond) {
		gateway.callCore(func(time.Duration) { known = !gateway.discovery.acceptsNewHops(gateway.discovery.idByUID["one"]) })
	}
	gateway.roundTrip("pay", "after")
	return strings.Join(gateway.log, "; ")
}

// With a discovery over sockets, for each kind of failure: 6 s after discovery has the drain and can
// be reached, the gateway knows it and sends nothing more to that host, in a fleet of any size.
func Example_listPropagationAfterFailure() {
	var all sync.WaitGroup
	logs := make(chan string, 99)
	for g, gateways := range []int{1, 3, 60, 300, 1000} {
		for i, fault := range []string{"silent", "dribbling", "torn", "reset", "refuses", "overbooked", "down", "mute"} {
			all.Go(func() { // each at an address of its own, as its port is free while it doesn't listen
				logs <- fault + ": " + logAcrossDiscoveryFailure(fault, gateways, fmt.Sprintf("127.0.%d.%d:0", 50+g, 1+i))
			})
		}
	}
	all.Wait()
	close(logs)
	lines := slices.Sorted(maps.Keys(maps.Collect(func(yield func(string, bool) bool) {
		for line := range logs {
			yield(line, true)
		}
	})))
	fmt.Println(strings.Join(lines, "\n"))
	// Output:
	// down: one: POST /pay?go "hi"; pay go: 200 "answer to go"; pay after: 503 "rolled back"
	// dribbling: one: POST /pay?go "hi"; pay go: 200 "answer to go"; pay after: 503 "rolled back"
	// mute: one: POST /pay?go "hi"; pay go: 200 "answer to go"; pay after: 503 "rolled back"
	// overbooked: one: POST /pay?go "hi"; pay go: 200 "answer to go"; pay after: 503 "rolled back"
	// refuses: one: POST /pay?go "hi"; pay go: 200 "answer to go"; pay after: 503 "rolled back"
	// reset: one: POST /pay?go "hi"; pay go: 200 "answer to go"; pay after: 503 "rolled back"
	// silent: one: POST /pay?go "hi"; pay go: 200 "answer to go"; pay after: 503 "rolled back"
	// torn: one: POST /pay?go "hi"; pay go: 200 "answer to go"; pay after: 503 "rolled back"
}

// A discovery that returns the same list again at once, as one that doesn't support watches, is called
// with pauses.
func Example_unchangedListRepeated() {
	gateway := newTestGateway("one")
	for range 5 {
		gateway.discoveryResponses <- `{"rev":5,"all":true,"targets":[{"uid":"one","az":"a","state":"terminating"}]}`
	}
	gateway.waitForRevision(5)
	began := time.Now()
	gateway.waitFor("five more calls", func() bool { return gateway.Counters.ListCalls.Load() >= 6 })
	fmt.Println("pauses:", time.Since(began) >= 4*minListCallPause)
	// Output: pauses: true
}

// Refused calls must not multiply. The core requests the list after each failure that is reported to
// it, and a backoff timer calls as well. When each failure was reported, there was one more call in
// flight after each, and 60 gateways made 189 calls a second to an overloaded discovery.
func Example_refusedCallsDoNotMultiply() {
	gateway := newTestGatewayWith(strings.NewReplacer(`"balancers":2`, `"balancers":300`, `"askWithin":200000`, `"askWithin":10000000`, `"mayTell":true`,
		`"mayTell":false`).Replace(testSettings), "one")
	refuses := gateway.startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(503) }))
	gateway.callCore(func(time.Duration) { gateway.changeDiscoveryAddr(refuses) })
	time.Sleep(9 * time.Second)
	calls := gateway.Counters.ListCalls.Load() // the backoff allows one call a second, and the core as many at most
	fmt.Println("had again:", calls >= 4, "no more than both would:", calls <= 18)
	// Output: had again: true no more than both would: true
}
