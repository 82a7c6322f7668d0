package transport

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

// script is a host of a few connections, each handled by the next of its functions.
func script(conns ...func(nc net.Conn, r *bufio.Reader)) (addr string, end func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		for _, serve := range conns {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				serve(nc, bufio.NewReader(nc))
			}()
		}
	}()
	return ln.Addr().String(), func() { ln.Close() }
}

// until waits for what is to come about, for 5 seconds at the most.
func until(so func() bool) {
	for end := time.Now().Add(ever); !so() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

const ever = 5 * time.Second

var hows = [...]string{"answered", "never up", "not written", "broken", "timed out", "given up", "no room", "withdrawn"}

// talk sends one line and waits for how that ends.
func talk(p *Pool, addr, line string, within time.Duration, giveUp bool) {
	talkTo(p, Target{Addr: addr}, line, within, giveUp)
}

func talkTo(p *Pool, to Target, line string, within time.Duration, giveUp bool) {
	done, answer := make(chan Outcome, 2), ""
	x := &Exchange{BuildMessage: func() net.Buffers { return net.Buffers{[]byte(line), []byte("\n")} },
		Deadline: time.Now().Add(within), OnDone: func(how Outcome) { done <- how },
		ReadResponse: func(r *bufio.Reader) (bool, error) {
			text, err := r.ReadString('\n')
			answer = text
			return true, err
		}}
	opened := p.Opened.Load()
	p.Start(to, x)
	if giveUp {
		until(func() bool { return p.Opened.Load() > opened })
		x.Cancel()
	}
	fmt.Printf("%s: %s %q, %d opened\n", line, hows[<-done], answer, p.Opened.Load())
	select {
	case how := <-done:
		fmt.Println("ended twice:", hows[how])
	case <-time.After(5 * time.Millisecond):
	}
}

// Each exchange ends once, and the end tells whether the host may have had all of it. An answer that comes after
// an exchange was given up must not reach the next one, so that closes the connection.
func ExamplePool() {
	echo := func(nc net.Conn, r *bufio.Reader) {
		for line, err := r.ReadString('\n'); err == nil; line, err = r.ReadString('\n') {
			fmt.Fprint(nc, "re ", line)
		}
	}
	half := func(nc net.Conn, r *bufio.Reader) { r.ReadString('\n'); fmt.Fprint(nc, "hal") }
	silent := func(nc net.Conn, r *bufio.Reader) { r.ReadString('\n'); r.ReadString('\n') }
	addr, end := script(echo, half, silent, silent, echo)
	p := NewPool(NewConnLimit(2), ever, time.Second)
	talk(p, addr, "first", ever, false)
	talk(p, addr, "on the same", ever, false)
	p.CloseIdleTo(Target{Addr: addr})
	talk(p, addr, "cut", ever, false)
	talk(p, addr, "hang", 300*time.Millisecond, false)
	talk(p, addr, "called off", ever, true)
	talk(p, addr, "on a new one", ever, false)
	until(func() bool { return p.limit.InUse() == 0 }) // after half of what the host keeps one idle for
	end()
	talk(p, addr, "closed", ever, false)
	until(func() bool { return p.limit.InUse() == 0 })
	fmt.Println("open:", p.limit.InUse())
	// Output:
	// first: answered "re first\n", 1 opened
	// on the same: answered "re on the same\n", 1 opened
	// cut: broken "hal", 2 opened
	// hang: timed out "", 3 opened
	// called off: given up "", 4 opened
	// on a new one: answered "re on a new one\n", 5 opened
	// closed: never up "", 5 opened
	// open: 0
}

// A host that comes to the address of another is another: what is open to that one does not serve it.
func ExamplePool_Start() {
	host := func(answer string) func(net.Conn, *bufio.Reader) {
		return func(nc net.Conn, r *bufio.Reader) {
			for _, err := r.ReadString('\n'); err == nil; _, err = r.ReadString('\n') {
				fmt.Fprintln(nc, answer)
			}
		}
	}
	addr, end := script(host("the first's"), host("the successor's"))
	defer end()
	p := NewPool(NewConnLimit(3), ever, ever)
	first, second := Target{1, addr}, Target{2, addr}
	talkTo(p, first, "first", ever, false)
	talkTo(p, second, "to its successor", ever, false)
	talkTo(p, first, "second", ever, false)
	p.CloseIdleTo(first)
	p.CloseIdleTo(second)
	until(func() bool { return p.limit.InUse() == 0 })
	fmt.Println("kept of hosts that have gone:", len(p.idle))
	// Output:
	// first: answered "the first's\n", 1 opened
	// to its successor: answered "the successor's\n", 2 opened
	// second: answered "the first's\n", 2 opened
	// kept of hosts that have gone: 0
}

// What comes behind an answer is not read as the answer to the next message, even if it is sent before the connection's
// goroutine has seen it; there is none here.
func Example_behind() {
	addr, end := script(func(nc net.Conn, r *bufio.Reader) { fmt.Fprintln(nc, "noise"); r.ReadByte() })
	defer end()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	defer nc.Close()
	c := &hostConn{conn: nc, socket: socketStateOf(nc), reader: bufio.NewReader(nc)}
	until(c.socket.readable)
	fmt.Println("sent:", c.send(&Exchange{Deadline: time.Now().Add(ever), BuildMessage: func() net.Buffers { return nil }}))
	// Output: sent: false
}

// An exchange given up before it is written is not written.
func ExampleExchange_Cancel() {
	addr, end := script(func(nc net.Conn, r *bufio.Reader) {
		line, _ := r.ReadString('\n')
		fmt.Printf("host: %q\n", line)
	})
	defer end()
	done := make(chan Outcome)
	x := &Exchange{Deadline: time.Now().Add(time.Second), OnDone: func(how Outcome) { done <- how }}
	x.Cancel()
	NewPool(NewConnLimit(2), ever, time.Second).Start(Target{Addr: addr}, x)
	fmt.Println(hows[<-done])
	// Output: withdrawn
}

// startLineServer is one that answers lines.
func startLineServer(limit *ConnLimit, maxClients int) *Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	l := NewListener(ln, limit, maxClients, 1)
	go l.Serve(func(c *Client) {
		for c.AwaitRequest() == nil {
			line, err := c.Reader.ReadString('\n')
			if err != nil || !c.MarkActive() {
				return
			} else if c.OverLimit {
				c.Write(net.Buffers{[]byte("no room\n")})
				return
			} else if line == "stay\n" {
				c.WatchForClose(func() bool { return true })
			}
			c.Write(net.Buffers{[]byte("ok\n")})
		}
	})
	return l
}

func say(nc net.Conn, more string) {
	fmt.Fprintln(nc, "go")
	nc.SetReadDeadline(time.Now().Add(ever))
	text, _ := bufio.NewReader(nc).ReadString('\n')
	fmt.Printf("go: %q, %s\n", text, more)
}

// Clients that say nothing, or never all, give way before one that may come again; and one over the limit takes the place
// of such a one as soon as it has said what it came for. Crowds of them would take all the room else.
func ExampleClient_MarkActive() {
	l := startLineServer(NewConnLimit(2), 2)
	dial := func() net.Conn {
		accepted := l.Accepted.Load()
		nc, _ := net.Dial("tcp", l.Addr())
		until(func() bool { return l.Accepted.Load() > accepted })
		return nc
	}
	waitForState := func(state connState, many int) { // an answer is read before the listener has seen that it is written
		until(func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			n := 0
			for c := range l.clients {
				if c.state == state {
					n++
				}
			}
			return n == many
		})
	}
	known := dial()
	say(known, "known")
	dial()
	waitForState(stateNew, 1)
	time.Sleep(2 * newClientGrace)
	half := dial()
	say(half, "for one that said nothing")
	fmt.Fprint(half, "ha")
	waitForState(stateReading, 1)
	time.Sleep(partialRequestGrace + newClientGrace)
	third := dial()
	say(third, "for one that sent half")
	say(known, "still there")
	fmt.Fprintln(known, "stay")
	fmt.Fprintln(third, "stay")
	waitForState(stateActive, 2)
	over := dial()
	fmt.Fprintln(third, "go")
	third.SetReadDeadline(time.Now().Add(ever))
	answers := bufio.NewReader(third) // what stayed has its answer first, and is idle for an instant before the next
	stayed, _ := answers.ReadString('\n')
	text, _ := answers.ReadString('\n')
	fmt.Printf("stay, go: %q, %q, answered, and soon idle\n", stayed, text)
	waitForState(stateIdle, 1)
	say(over, "over the room until it spoke")
	l.Shutdown()
	known.Close()
	third.Close()
	until(func() bool { return l.OpenClients() == 0 })
	(&Client{listener: l, conn: over}).MarkIdle() // as of one whose client has left just before
	fmt.Println("counted as idle when all have left:", l.idleClients)
	// Output:
	// go: "ok\n", known
	// go: "ok\n", for one that said nothing
	// go: "ok\n", for one that sent half
	// go: "ok\n", still there
	// stay, go: "ok\n", "ok\n", answered, and soon idle
	// go: "ok\n", over the room until it spoke
	// counted as idle when all have left: 0
}

// Idle connections to hosts give way to clients, and idle clients to new ones; part of the room is for hosts. A client
// for whom there is no room is told so.
func ExampleListener() {
	limit := NewConnLimit(3)
	addr, end := script(func(nc net.Conn, r *bufio.Reader) { r.ReadString('\n'); fmt.Fprintln(nc, "hi"); r.ReadByte() })
	defer end()
	p := NewPool(limit, ever, time.Minute)
	l := startLineServer(limit, 3)
	idle := func() (n int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.clients {
			if c.holdsSlot && (c.state == stateNew || c.state == stateIdle) {
				n++
			}
		}
		return n
	}
	stay := func(nc net.Conn, left int) { // so many are idle from then on
		fmt.Fprintln(nc, "stay")
		until(func() bool { return idle() == left })
		fmt.Println("held, idle:", idle())
	}
	dial := func(left int) net.Conn {
		nc, _ := net.Dial("tcp", l.Addr())
		until(func() bool { return idle() == left })
		return nc
	}
	talk(p, addr, "to a host", ever, false)
	first, second, third := dial(1), dial(2), dial(3)
	stay(second, 2)
	stay(third, 1)
	fmt.Println("of hosts gave way:", p.Evicted.Load())
	say(first, "is idle again")
	until(func() bool { return idle() == 1 })
	fourth := dial(1)
	stay(fourth, 0)
	say(first, "closed, as it gave way")
	say(dial(0), "over the room")
	second.Close()
	third.Close()
	fourth.Close()
	until(func() bool { return limit.InUse() == 0 })
	fmt.Println("places taken when all have left:", limit.InUse())
	l.Shutdown()
	// Output:
	// to a host: answered "hi\n", 1 opened
	// held, idle: 2
	// held, idle: 1
	// of hosts gave way: 1
	// go: "ok\n", is idle again
	// held, idle: 0
	// go: "", closed, as it gave way
	// go: "no room\n", over the room
	// places taken when all have left: 0
}
