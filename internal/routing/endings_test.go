package routing

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"spanmux/internal/protocol"
	"spanmux/logic"
)

// gated is a stage whose connections to hosts come up only as the gate lets them; calling one off does not hurry it.
type gated struct {
	*stage
	dials, gate chan bool
}

func playGated(cancelling bool, hosts ...string) *gated {
	s := &gated{playBy(strings.Replace(settings, `"cancelling":true`, fmt.Sprintf(`"cancelling":%t`, cancelling), 1), hosts...),
		make(chan bool, 9), make(chan bool)}
	s.decide(func(time.Duration) {
		s.pool.Up = func(_ context.Context, network, addr string) (net.Conn, error) {
			s.dials <- true
			<-s.gate
			return net.Dial(network, addr)
		}
	})
	return s
}

var leaves = map[string]func(*line){
	"closes": func(c *line) { c.Close() },
	"resets": func(c *line) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
	"halves": func(c *line) { c.Conn.(*net.TCPConn).CloseWrite() },
}

func (s *stage) untilLeft(n int64) {
	s.until("client seen to leave", func() bool { return s.Book.Left.Load()+s.Book.LeftBefore.Load() == n })
}

// A connection that came up after its client had left was written to all the same where what runs may not be called off, and a dial that
// was called off spoke against its host. What no host has yet costs none anything to drop.
func Example_leavesWhileConnectionComesUp() {
	for _, cancelling := range []bool{true, false} {
		sent := 0
		for _, profile := range []string{"read", "order", "pay"} {
			for _, how := range []string{"closes", "resets", "halves"} {
				s := playGated(cancelling, "one")
				c := s.dial()
				io.WriteString(c, text(profile, "go", ""))
				<-s.dials
				leaves[how](c)
				s.untilLeft(1)
				s.gate <- true
				s.until("withdrawn", func() bool { return s.Book.Withdrawn.Load() == 1 })
				sent += int(s.Book.Written.Load()) + len(s.lines)
				if n := s.Book.Ends[logic.NoConnection].Load(); n != 0 {
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

// A client that sends on before its answer and then leaves was seen by nobody until that answer, and what it had sent behind was taken
// then, and sent. The same if both come in one piece, and if the rest comes as the first is out.
func Example_leavesBehindAnother() {
	for _, apart := range []bool{false, true} {
		s := play("one")
		c := s.dial()
		first, second := text("pay", "wait", ""), text("pay", "second", "")
		if apart {
			io.WriteString(c, first)
			s.untilLine("one: POST /pay?wait")
			io.WriteString(c, second+strings.Repeat(second, 400)) // more than is read ahead
		} else {
			io.WriteString(c, first+second)
			s.untilLine("one: POST /pay?wait")
		}
		c.Close()
		s.untilLeft(1)
		s.until("all closed", func() bool { return s.front.Open() == 0 })
		fmt.Println("sent:", s.Book.Hops.Load(), "left:", s.Book.Left.Load())
	}
	// Output:
	// sent: 1 left: 1
	// sent: 1 left: 1
}

// A message that waits to be accepted, as the front is at its limit, is not taken once its client has closed.
func Example_leavesUnaccepted() {
	s := play("one")
	c := s.dial()
	io.WriteString(c, "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
	s.get(c, "ready")
	s.front.Shut()
	s.until("the end", s.front.Over)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s.Listen(ln, false, 400, 0, 2<<20)
	for _, how := range []string{"closes", "resets", "halves"} {
		c := s.dial()
		io.WriteString(c, text("pay", "go", ""))
		leaves[how](c)
	}
	go s.front.Serve(s.client)
	s.until("all closed", func() bool { return s.front.Accepted.Load() == 3 && s.front.Open() == 0 })
	fmt.Println("taken:", s.Book.Taken.Load(), "sent:", s.Book.Hops.Load())
	// Output: taken: 0 sent: 0
}

// A client that leaves with its body half come, as the connection to a host comes up, was seen once that was there, and its host kept half
// a message for an hour where nothing may be called off.
func Example_leavesWithinBody() {
	for _, up := range []bool{false, true} {
		s := playGated(false, "one")
		s.large.Store(0) // no room to hold any
		c := s.dial()
		io.WriteString(c, strings.Replace(text("pay", "go", ""), "Length: 2", "Length: 100000", 1)+strings.Repeat("a", 50_000))
		<-s.dials
		if up {
			s.gate <- true
			s.until("body on its way", func() bool { s.Desk.mu.Lock(); defer s.Desk.mu.Unlock(); return len(s.txs) == 1 && s.txs[1].passed })
		}
		c.Close()
		s.untilLeft(1)
		if !up {
			s.gate <- true
		}
		s.until("withdrawn", func() bool { return s.Book.Withdrawn.Load() == 1 && s.front.Open() == 0 })
		s.until("its socket is free", func() bool { return s.room.Used() == 0 })
		fmt.Println("some passed on:", up, "written whole:", s.Book.Written.Load(), s.lines)
	}
	// Output:
	// some passed on: false written whole: 0 []
	// some passed on: true written whole: 0 []
}

// What waits for a host drawn by another gateway is not sent once its client has left, nor does it go on to the next host as the
// hop that is out ends.
func Example_leavesInModule() {
	s := playBy(strings.Replace(settings, `"balancers":2`, `"me":1,"balancers":21`, 1), "one")
	s.decide(func(time.Duration) { // from here on the module's time goes on as the test has it
		s.timer.Stop()
		s.timer = time.AfterFunc(time.Hour, func() {})
	})
	c := s.dial()
	io.WriteString(c, text("pay", "go", ""))
	s.until("taken", func() bool { return s.Book.Taken.Load() == 1 })
	c.Close()
	s.untilLeft(1)
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); { // its wait is over within
		s.decide(func(now time.Duration) { s.opened.Timer(now) })
	}
	fmt.Println("asks unanswered, sent:", s.Book.Hops.Load())

	s = playBy(strings.Replace(settings, `"cancelling":true`, `"cancelling":false`, 1), "one", "two")
	goOn := make(chan bool)
	entry := s.scripted(func(nc net.Conn, head *http.Request) {
		s.say("has it")
		<-goOn
		io.WriteString(nc, "HTTP/1.1 503 no\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
	})
	other := entry
	other.UID = "other"
	s.takeList(s.list.line, logic.Whole, &protocol.List{Rev: 5, All: true, Targets: []protocol.Entry{entry, other}})
	c = s.dial()
	io.WriteString(c, text("pay", "go", ""))
	s.untilLine("has it")
	c.Close()
	s.untilLeft(1)
	goOn <- true
	s.until("turned away", func() bool { return s.Book.Ends[logic.Full].Load() == 1 })
	fmt.Println("turned away by the first, sent:", s.Book.Hops.Load())
	// Output:
	// asks unanswered, sent: 0
	// turned away by the first, sent: 1
}

// A host that drains while a connection to it comes up gets nothing on that: the grace may be over by then. It never ran, so even a
// payment goes on to the next host.
func Example_drainsWhileConnectionComesUp() {
	s := playGated(true, "one", "two")
	c := s.dial()
	io.WriteString(c, text("pay", "go", ""))
	<-s.dials
	var first logic.HostID
	s.decide(func(time.Duration) { first = s.txs[1].hops[0].host })
	uid := s.list.uids[first]
	s.takeList(s.list.line, logic.Changes, &protocol.List{Rev: 5, Targets: []protocol.Entry{
		{UID: uid, Endpoint: s.list.addr[first], Zone: "a", State: "terminating"}}})
	s.gate <- true
	s.gate <- true
	s.get(c, "pay")
	fmt.Println("to the draining one:", strings.Count(strings.Join(s.lines, "\n"), uid+": POST"), "withdrawn:", s.Book.Withdrawn.Load(), s.lines[len(s.lines)-1])
	// Output: to the draining one: 0 withdrawn: 1 pay: 200 "answer to go"
}

// BenchmarkLeaving shows how long after its client's end a transaction is known to be left that waits for a connection, with another
// behind it; of none may anything be sent.
func BenchmarkLeaving(b *testing.B) {
	var most time.Duration
	for range b.N {
		s := playGated(false, "one")
		c := s.dial()
		io.WriteString(c, text("pay", "go", "")+text("pay", "second", ""))
		<-s.dials
		c.Close()
		at := time.Now()
		s.untilLeft(1)
		most = max(most, time.Since(at))
		s.gate <- true
		s.until("withdrawn", func() bool { return s.Book.Withdrawn.Load() == 1 })
		if n := s.Book.Written.Load(); n > 0 {
			b.Error("sent:", n)
		}
	}
	b.ReportMetric(float64(most)/1e6, "ms-late-at-most")
}
