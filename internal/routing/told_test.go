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

// toldWithin is the bound on all that is below: a change counts as told so long after discovery had it and could be reached, whatever call
// had failed, was refused or was given up before.
const toldWithin = 6 * time.Second

// queueMost is how long discovery lets a call wait for its turn; one that would wait longer is turned away.
const queueMost = 2 * time.Second

// timeline is what is due in a model's time, the soonest first, and of one instant in the order in which it was put there.
type timeline struct {
	due []event
	put int
	now time.Duration
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

func (l *timeline) Len() int { return len(l.due) }
func (l *timeline) Less(i, j int) bool {
	a, b := l.due[i], l.due[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (l *timeline) Swap(i, j int) { l.due[i], l.due[j] = l.due[j], l.due[i] }
func (l *timeline) Push(x any)    { l.due = append(l.due, x.(event)) }
func (l *timeline) Pop() any {
	last := l.due[len(l.due)-1]
	l.due = l.due[:len(l.due)-1]
	return last
}

func (l *timeline) in(d time.Duration, do func()) {
	l.put++
	heap.Push(l, event{l.now + d, l.put, do})
}

func (l *timeline) run(until time.Duration) {
	for len(l.due) > 0 && l.due[0].at < until {
		e := heap.Pop(l).(event)
		l.now = e.at
		e.do()
	}
}

// fleet is many gateways that watch one discovery, in a model's time: they wait, give up and back off by the constants and the function of
// the program. Discovery takes one call of each gateway in the time of a round, in turn; one for which the queue is full is refused.
type fleet struct {
	timeline
	gateways int
	round    time.Duration
	renewals bool // the call with which a watch goes on costs as much as one that begins it
	jitter   *rand.Rand

	free    time.Duration // by when discovery is through with what it has taken
	down    string        // what it does with calls now: "", "refuses", "silent"
	changed bool
	calls   []time.Duration
	refused int
	watches []*watching
}

// watching is one gateway's.
type watching struct {
	f      *fleet
	call   int // the number of the call that is out
	began  time.Duration
	waits  bool // discovery has it, and will tell
	goesOn bool // the watch has not ended since the last call
	again  bool // the last call was cut off, and this one followed at once
	known  time.Duration
}

const step = time.Millisecond // one way over the network

func (w *watching) ask() {
	f := w.f
	w.call++
	call := w.call
	w.began, w.waits = f.now, false
	f.calls = append(f.calls, f.now)
	f.in(listWatchDuration+listWatchGrace, func() { w.ends(call, true) })
	switch {
	case f.down == "silent":
		return
	case f.down == "refuses" || f.free-f.now > queueMost:
		f.refused++
		f.in(step, func() { w.ends(call, false) })
		return
	}
	took := f.round / time.Duration(f.gateways)
	if w.goesOn && !f.renewals {
		took = 0
	}
	f.free = max(f.free, f.now) + took
	f.in(f.free-f.now, func() { // its turn has come
		switch {
		case w.call != call || f.down == "silent":
		case f.changed && w.known == 0:
			w.told(call)
		default:
			w.waits = true
			f.in(max(0, w.began+listWatchDuration-f.now), func() {
				if w.waits && w.call == call {
					w.told(call)
				}
			})
		}
	})
}

// told is an answer to the call; it brings the change where discovery has it.
func (w *watching) told(call int) {
	w.waits = false
	w.f.in(step, func() {
		if w.call != call {
			return
		}
		if w.f.changed && w.known == 0 {
			w.known = w.f.now
		}
		w.goesOn, w.again = true, false
		w.ask()
	})
}

// ends is a call that failed, as Desk.watch has it: cut off, or refused.
func (w *watching) ends(call int, cutOff bool) {
	if w.call != call {
		return
	}
	w.call, w.waits, w.goesOn = w.call+1, false, false
	if w.again = cutOff && !w.again; w.again {
		w.ask()
		return
	}
	w.f.in(listBackoff(w.f.now-w.began, w.f.jitter.Float64()), w.ask)
}

// play plays how discovery fails, and gives the longest time from the change, and from when discovery could be reached, to the last gateway
// that knows; and of the calls the mean a second while nothing is wrong, and the most in a second.
func (f *fleet) play(fault string) (longest time.Duration, usual, most float64) {
	const change, outage = 20 * time.Second, 8 * time.Second
	f.jitter = rand.New(rand.NewPCG(1, uint64(f.gateways)))
	for range f.gateways {
		w := &watching{f: f}
		f.watches = append(f.watches, w)
		f.in(time.Duration(f.jitter.Float64()*float64(max(f.round, listWatchDuration))), w.ask)
	}
	reached := change
	f.in(change-step, func() {
		switch fault {
		case "reset", "refused": // what waits ends
			for _, w := range f.watches {
				if w.waits {
					w.ends(w.call, fault == "reset")
				}
			}
		case "silent": // what waits goes unheard, and new calls are answered
			for _, w := range f.watches {
				w.waits = false
			}
		case "down":
			f.down, reached = "refuses", change+outage
			for _, w := range f.watches {
				if w.waits {
					w.ends(w.call, false)
				}
			}
		case "mute":
			f.down, reached = "silent", change+outage
			for _, w := range f.watches {
				w.waits = false
			}
		}
	})
	f.in(change, func() {
		f.changed = true
		for _, w := range f.watches {
			if w.waits {
				w.told(w.call)
			}
		}
	})
	f.in(change+outage, func() { f.down = "" })
	f.run(60 * time.Second)
	for _, w := range f.watches {
		if w.known == 0 {
			w.known = f.now
		}
		longest = max(longest, w.known-reached)
	}
	seconds := map[time.Duration]float64{}
	for _, at := range f.calls {
		if at > change/2 && at < change-step {
			usual++
		}
		if at >= change-step {
			seconds[at/time.Second]++
			most = max(most, seconds[at/time.Second])
		}
	}
	return longest, usual / (change / 2).Seconds(), most
}

// Where there were 300 gateways a call waited for 20 s, and one that was lost was asked for again up to 5 s later: a drain that began as a
// watch fell silent was known after 21 s. This is the reckoning for any number of them: the longest until all know, and calls a second, while
// nothing is wrong and at the most, over all gateways together. Discovery takes a call of each in 2 s here.
func Example_toldInFleet() {
	for _, gateways := range []int{1, 3, 60, 300, 1000} {
		for _, fault := range []string{"silent", "reset", "refused", "down", "mute"} {
			f := &fleet{gateways: gateways, round: 2 * time.Second, renewals: true}
			longest, usual, most := f.play(fault)
			fmt.Printf("%d %s: known %.1f s, in time %t, calls %.1f, at most %.0f\n",
				gateways, fault, longest.Seconds(), longest <= toldWithin, usual, most)
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

// Whatever way a call ends, and however long it was out, the next begins within 4 s of its beginning; the answer's queue makes it 6 s.
func Example_toldAtTheLatest() {
	longest := listWatchDuration + listWatchGrace
	for out := time.Duration(0); out <= max(listWatchDuration+listWatchGrace, listCallTimeout, 2*time.Second); out += time.Millisecond { // 2 s: a connection that never comes up
		longest = max(longest, out+listBackoff(out, 0.999999))
		if out+listBackoff(out, 0) < minListBackoff {
			fmt.Println("too soon:", out)
		}
	}
	fmt.Println(longest, longest+queueMost <= toldWithin)
	// Output: 4s true
}

// The slower discovery works through calls, the later the last gateway is answered, whatever these do: by a round more, where the calls of a
// watch that goes on cost it next to nothing. Where they cost as much as others and a round takes longer than a call waits, it has more to do
// than it can at all times.
func Example_toldByOverbooked() {
	for _, renewals := range []bool{false, true} {
		for _, round := range []time.Duration{2, 3, 4, 5, 6, 8} {
			for _, fault := range []string{"silent", "down"} {
				f := &fleet{gateways: 300, round: round * time.Second, renewals: renewals}
				longest, usual, _ := f.play(fault)
				fmt.Printf("renewals cost %t, round %d s, %s: known %.1f s, load %.2f, refused %d\n", renewals, round, fault, longest.Seconds(),
					usual*float64(round)/300, f.refused)
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

// discovery is one that fails as it is told, over connections, with the watch that waits there as the test lets it.
type discovery struct {
	fault  string
	host   string
	at     string
	ln     net.Listener
	waits  chan bool // a watch does
	fails  chan bool // closed as it is to
	had    time.Time // since then discovery has the drain and can be reached; set before it fails
	failed atomic.Bool
}

const outage = 3 * time.Second

func (d *discovery) serve() {
	for {
		nc, err := d.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			r := bufio.NewReader(nc)
			for {
				call, err := http.ReadRequest(r)
				if err != nil || !d.answer(nc, call.URL.Query().Get("index")) {
					return
				}
			}
		}()
	}
}

// answer answers a call: the list as it was, then it fails as the watch waits, and then there is the drain.
func (d *discovery) answer(nc net.Conn, index string) (keep bool) {
	write := func(status, list string) {
		fmt.Fprintf(nc, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(list), list)
	}
	entry := func(state string) string {
		return fmt.Sprintf(`{"uid":"one","az":"a","endpoint":%q,"state":%q}`, d.host, state)
	}
	switch {
	case index == "":
		write("200 OK", `{"rev":5,"all":true,"targets":[`+entry("in_service")+`]}`)
		return true
	case index == "6": // all is known
		return true
	case d.failed.Load() && time.Now().After(d.had):
		if d.fault == "overbooked" {
			time.Sleep(queueMost - 100*time.Millisecond)
		}
		write("200 OK", `{"rev":6,"targets":[`+entry("terminating")+`]}`)
		return true
	case !d.failed.Load():
		d.waits <- true
		<-d.fails
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
		time.AfterFunc(time.Until(d.had), func() {
			for err := error(io.EOF); err != nil; time.Sleep(time.Millisecond) {
				d.ln, err = net.Listen("tcp", d.at)
			}
			d.serve()
		})
	}
	nc.Close()
	return false
}

// knows gives what a gateway among so many does that watches one which fails: its only host is asked before the fault, and again once the
// drain is known or has to be.
func knows(fault string, gateways int, address string) string {
	s := playBy(strings.NewReplacer(`"balancers":2`, fmt.Sprintf(`"balancers":%d`, gateways), `"askWithin":200000`,
		`"askWithin":10000000`, `"mayTell":true`, `"mayTell":false`).Replace(settings))
	ln, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	d := &discovery{fault: fault, at: ln.Addr().String(), ln: ln, waits: make(chan bool, 9), fails: make(chan bool)}
	d.host = s.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/pay") { // else it is meant for whoever had this port before, in another process
			s.host("one", w, r)
		}
	}))
	go d.serve()
	s.callCore(func(time.Duration) { s.changeDiscoveryAddr(d.at) })
	<-d.waits
	s.ask("pay", "go")
	d.had = time.Now()
	if fault == "down" || fault == "refuses" || fault == "mute" {
		d.had = d.had.Add(outage)
	}
	close(d.fails)
	for known := false; !known && time.Since(d.had) < toldWithin; time.Sleep(10 * time.Millisecond) {
		s.callCore(func(time.Duration) { known = !s.discovery.acceptsNewHops(s.discovery.idByUID["one"]) })
	}
	s.ask("pay", "after")
	return strings.Join(s.lines, "; ")
}

// The same over connections, for each way in which discovery may fail: 6 s after it has the drain and can be reached the gateway knows, and
// sends nothing more to that host, however many gateways there are.
func Example_toldWhateverFailed() {
	var all sync.WaitGroup
	said := make(chan string, 99)
	for g, gateways := range []int{1, 3, 60, 300, 1000} {
		for i, fault := range []string{"silent", "dribbling", "torn", "reset", "refuses", "overbooked", "down", "mute"} {
			all.Go(func() { // each at an address of its own: while it listens to nobody no other takes its port
				said <- fault + ": " + knows(fault, gateways, fmt.Sprintf("127.0.%d.%d:0", 50+g, 1+i))
			})
		}
	}
	all.Wait()
	close(said)
	lines := slices.Sorted(maps.Keys(maps.Collect(func(yield func(string, bool) bool) {
		for line := range said {
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

// A discovery that tells the same again at once, as one that knows no watches does, is not called without a pause.
func Example_listSame() {
	s := play("one")
	for range 5 {
		s.lists <- `{"rev":5,"all":true,"targets":[{"uid":"one","az":"a","state":"terminating"}]}`
	}
	s.untilRev(5)
	began := time.Now()
	s.until("five more calls", func() bool { return s.Counters.ListCalls.Load() >= 6 })
	fmt.Println("pauses:", time.Since(began) >= 4*minListCallPause)
	// Output: pauses: true
}

// Calls that are refused do not make ever more: the module asks for each loss that it is told of, and a backoff asks beside it. Told of each
// loss there was one more call under way after each, and 60 gateways made 189 calls a second of a discovery that could not take them.
func Example_refusedDoNotGrow() {
	s := playBy(strings.NewReplacer(`"balancers":2`, `"balancers":300`, `"askWithin":200000`, `"askWithin":10000000`, `"mayTell":true`,
		`"mayTell":false`).Replace(settings), "one")
	refuses := s.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(503) }))
	s.callCore(func(time.Duration) { s.changeDiscoveryAddr(refuses) })
	time.Sleep(9 * time.Second)
	calls := s.Counters.ListCalls.Load() // by the backoff no more than one a second, by the module as many at the most
	fmt.Println("had again:", calls >= 4, "no more than both would:", calls <= 18)
	// Output: had again: true no more than both would: true
}
