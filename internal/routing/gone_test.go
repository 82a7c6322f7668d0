package routing

import (
	"bufio"
	"context"
	"errors"
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

// goneWithin is the bound on all that is below: no hop of a transaction, the first or a further one, begins later than that after its client
// has closed.
const goneWithin = 100 * time.Millisecond

// leavers are many clients of one gateway, each with a transaction, that leave together, and what hosts see of these.
type leavers struct {
	*stage
	size        int
	waits       int64 // of them, those whose transactions wait: some the module rolls back at once
	out         int   // hops
	lines       []*line
	left        time.Time     // when the last of them had closed
	noted       time.Duration // from then until the gateway knows of all
	dials, gate chan bool     // connections to hosts come up as the gate lets them
	holds       atomic.Bool   // hosts wait before they turn a transaction away
	serve       chan bool     // closed as they go on

	writers sync.WaitGroup
	ways    []string // in which they leave, by turns

	seen  sync.Mutex
	begun map[string]time.Time // by transaction: the first byte of its last hop
}

// gather has a gateway with a host or two that note when hops begin; it changes the usual settings by pairs of old and new.
func gather(size, hosts int, cancelling, gated bool, change ...string) *leavers {
	change = append([]string{`"cancelling":true`, fmt.Sprintf(`"cancelling":%t`, cancelling), `"connectTimeout":200000`, `"connectTimeout":1900000`}, change...)
	l := &leavers{stage: playBy(strings.NewReplacer(change...).Replace(settings)), size: size, ways: []string{"closes", "resets", "halves"}, begun: map[string]time.Time{}, serve: make(chan bool),
		dials: make(chan bool, 4*size), gate: make(chan bool, 4*size)}
	list := &protocol.HostList{Revision: 5, Full: true}
	for i := range hosts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		go l.listens(ln)
		list.Hosts = append(list.Hosts, protocol.HostEntry{UID: fmt.Sprint("host ", i), Endpoint: ln.Addr().String(), Zone: "a", State: "in_service"})
	}
	l.applyList(l.discovery.conn, logic.ListComplete, list)
	if gated {
		l.callCore(func(time.Duration) {
			l.pool.Dial = func(_ context.Context, network, addr string) (net.Conn, error) {
				l.dials <- true
				if !<-l.gate {
					return nil, errors.New("never up")
				}
				return net.Dial(network, addr)
			}
		})
	}
	return l
}

func (l *leavers) listens(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			for r := bufio.NewReader(nc); ; {
				if _, err := r.Peek(1); err != nil {
					return
				}
				at := time.Now()
				call, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if id := call.Header.Get("X-Trace-Id"); id != "" { // else it asks for the load
					l.seen.Lock()
					l.begun[id] = at
					l.seen.Unlock()
				}
				holds := l.holds.Load()
				if holds {
					<-l.serve
				}
				if io.Copy(io.Discard, call.Body); holds {
					io.WriteString(nc, "HTTP/1.1 503 no\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
				} else {
					io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}
		}()
	}
}

// send has each client send what the function gives; more than sockets hold is sent as it is taken.
func (l *leavers) send(text func(id string) string) {
	for i := range l.size {
		c := l.dial()
		l.lines = append(l.lines, c)
		if said := text(fmt.Sprint(i)); len(said) < 1<<16 {
			io.WriteString(c, said)
		} else {
			l.writers.Go(func() { io.WriteString(c, said) })
		}
	}
}

// sent waits until all of that is sent, or can't be: then no more is taken.
func (l *leavers) sent() {
	done := make(chan bool)
	go func() { l.writers.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(time.Second):
	}
}

// leave has all clients leave, by turns in each way, and waits until the gateway knows and the time is over after which no hop may begin.
func (l *leavers) leave() {
	if l.waits == 0 {
		l.waits = l.Counters.OpenTransactions.Load()
	}
	for i, c := range l.lines {
		leaves[l.ways[i%len(l.ways)]](c)
	}
	l.left = time.Now()
	l.untilLeft(l.waits)
	l.noted = time.Since(l.left)
	time.Sleep(time.Until(l.left.Add(goneWithin)))
}

// after is how many hops began too late.
func (l *leavers) after() (late int) {
	l.until("none out", func() bool { l.Dispatcher.mu.Lock(); defer l.Dispatcher.mu.Unlock(); return len(l.txs) == 0 })
	l.seen.Lock()
	defer l.seen.Unlock()
	for _, at := range l.begun {
		if at.Sub(l.left) > goneWithin {
			late++
		}
	}
	if l.never() {
		late = -1
		fmt.Println(l.stage.lines)
	}
	return late
}

func pay(id string) string { return text("pay", id, "") }

// long is a transaction of which so much has come, and more is to come.
func long(id string, come int) string {
	return strings.Replace(pay(id), "Length: 2", "Length: 8000000", 1) + strings.Repeat("a", come)
}

// open lets connections up, or fail, that are waited for.
func (l *leavers) open(up bool) {
	for range l.out {
		l.gate <- up
	}
}

// untilDials waits until all are taken, and connections for their hops are waited for.
func (l *leavers) untilDials() {
	l.untilTaken()
	l.out = int(l.Counters.Hops.Load())
	l.until("connections waited for", func() bool { return len(l.dials) == l.out })
}

// untilThere waits until all are taken, and their hops have come to a host.
func (l *leavers) untilThere() {
	l.untilTaken()
	hops := int(l.Counters.Hops.Load())
	l.until("hops there", func() bool { l.seen.Lock(); defer l.seen.Unlock(); return len(l.begun) == hops })
}

func (l *leavers) untilTaken() {
	l.until("taken", func() bool { return l.Counters.Admitted.Load() >= int64(l.size) })
	l.callCore(func(time.Duration) {}) // what came with the last one is done
}

// places are where a transaction may wait as its client leaves; each plays one such, with so many clients.
var places = []struct {
	where string
	play  func(size int, cancelling bool) *leavers
}{
	{"connection comes up", func(size int, cancelling bool) *leavers {
		l := gather(size, size, cancelling, true)
		l.send(pay)
		l.untilDials()
		l.leave()
		l.open(true)
		return l
	}},
	{"connection fails late, another host", func(size int, cancelling bool) *leavers {
		l := gather(size, size, cancelling, true)
		l.send(pay)
		l.untilDials()
		l.leave()
		l.open(false)
		l.open(true)
		return l
	}},
	{"behind another", func(size int, cancelling bool) *leavers {
		l := gather(size, size, cancelling, false)
		l.holds.Store(true)
		l.send(func(id string) string { return pay(id+"-first") + pay(id+"-second") })
		l.untilThere()
		l.leave()
		close(l.serve)
		return l
	}},
	{"unaccepted", func(size int, cancelling bool) *leavers {
		l := gather(size, size, cancelling, false)
		c := l.dial()
		io.WriteString(c, "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
		l.get(c, "ready")
		l.listener.Shutdown()
		l.until("the end", l.listener.Finished)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		l.ConfigureListener(ln, false, 400, 0, 2<<20)
		l.waits = int64(size)
		l.send(pay)
		served := time.AfterFunc(2*goneWithin, func() { l.listener.Serve(l.serveClient) })
		defer served.Stop()
		l.leave()
		return l
	}},
	{"body half come", func(size int, cancelling bool) *leavers {
		l := gather(size, size, cancelling, true)
		l.bodyBudget.Store(0) // no room to hold any
		l.send(func(id string) string { return long(id, 30_000) })
		l.untilDials()
		l.leave()
		l.open(true)
		return l
	}},
	{"body half come, more than a socket holds", func(size int, cancelling bool) *leavers {
		l := gather(size, size, cancelling, true)
		l.bodyBudget.Store(1 << 30)
		l.send(func(id string) string { return long(id, 700_000) })
		l.untilDials()
		l.sent()
		l.ways = []string{"closes"}
		l.leave()
		l.open(true)
		return l
	}},
	{"body half come, its host takes none", func(size int, cancelling bool) *leavers {
		l := gather(size/6, size, cancelling, false) // few: each binds megabytes of the machine's
		l.bodyBudget.Store(0)
		l.holds.Store(true) // till then no host reads on
		l.send(func(id string) string { return long(id, 3_000_000) })
		l.untilThere()
		l.sent()
		l.ways = []string{"resets"} // another end stands behind what no socket takes
		l.leave()
		close(l.serve)
		return l
	}},
	{"asked of another gateway", func(size int, cancelling bool) *leavers {
		l := gather(size, size, cancelling, false, `"balancers":2`, `"me":1,"balancers":21`)
		l.callCore(func(time.Duration) { // from here on the module's time goes on as the test has it
			l.timer.Stop()
			l.timer = time.AfterFunc(time.Hour, func() {})
		})
		l.send(pay)
		l.untilTaken()
		l.leave()
		for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); { // its wait is over within
			l.callCore(func(now time.Duration) { l.core.TimerFired(now) })
		}
		return l
	}},
	{"a hop ends later, another host", func(size int, cancelling bool) *leavers {
		l := gather(size, size, cancelling, false)
		l.holds.Store(true)
		l.send(pay)
		l.untilThere()
		l.leave()
		close(l.serve)
		return l
	}},
	{"while the gateway ends", func(size int, cancelling bool) *leavers {
		l := gather(size, size, cancelling, true)
		l.send(pay)
		l.untilDials()
		go l.Close()
		l.until("the end", l.closing.Load)
		l.leave()
		l.open(true)
		return l
	}},
}

// Wherever a transaction waits as its client leaves, no hop of it begins once that is known, and later than 0.1 s after it.
func Example_gone() {
	for _, cancelling := range []bool{true, false} {
		for _, p := range places {
			l := p.play(30, cancelling)
			fmt.Printf("calling off %t, %s: of %d late %d\n", cancelling, p.where, l.waits, l.after())
		}
	}
	// Output:
	// calling off true, connection comes up: of 30 late 0
	// calling off true, connection fails late, another host: of 30 late 0
	// calling off true, behind another: of 30 late 0
	// calling off true, unaccepted: of 30 late 0
	// calling off true, body half come: of 30 late 0
	// calling off true, body half come, more than a socket holds: of 30 late 0
	// calling off true, body half come, its host takes none: of 5 late 0
	// calling off true, asked of another gateway: of 30 late 0
	// calling off true, a hop ends later, another host: of 30 late 0
	// calling off true, while the gateway ends: of 30 late 0
	// calling off false, connection comes up: of 30 late 0
	// calling off false, connection fails late, another host: of 30 late 0
	// calling off false, behind another: of 30 late 0
	// calling off false, unaccepted: of 30 late 0
	// calling off false, body half come: of 30 late 0
	// calling off false, body half come, more than a socket holds: of 30 late 0
	// calling off false, body half come, its host takes none: of 5 late 0
	// calling off false, asked of another gateway: of 30 late 0
	// calling off false, a hop ends later, another host: of 30 late 0
	// calling off false, while the gateway ends: of 30 late 0
}

// BenchmarkGone shows how long after the last client's end, of as many as b.N, the gateway knows of all that have left at a place.
func BenchmarkGone(b *testing.B) {
	for _, p := range places {
		b.Run(strings.ReplaceAll(p.where, " ", "-"), func(b *testing.B) {
			var most time.Duration
			for range b.N {
				l := p.play(30, false)
				if late := l.after(); late != 0 {
					b.Error("late:", late)
				}
				most = max(most, l.noted)
			}
			b.ReportMetric(float64(most)/1e6, "ms-noted-at-most")
		})
	}
}
