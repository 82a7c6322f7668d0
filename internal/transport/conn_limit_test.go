package transport

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

// An exchange waits for a slot if the connection limit has none free, as new clients become evictable within
// milliseconds. If it gets none within the connect time-out it ends with OutcomeNoSlot. OutcomeConnectFailed, as if the
// host were down, made the circuit breakers of healthy hosts open.
func ExampleConnLimit_Acquire() {
	addr, end := startScriptedHost(func(nc net.Conn, r *bufio.Reader) {
		r.ReadString('\n')
		fmt.Fprintln(nc, "answer")
	})
	defer end()
	limit := NewConnLimit(1)
	p := NewPool(limit, 200*time.Millisecond, time.Second)
	limit.TryAcquire()
	time.AfterFunc(50*time.Millisecond, limit.Release)
	exchangeLine(p, addr, "one", time.Second, false)
	p.CloseAllIdle()
	waitUntil(func() bool { return limit.InUse() == 0 })
	limit.TryAcquire()
	exchangeLine(p, addr, "none", time.Second, false)
	done := make(chan Outcome, 1)
	x := &Exchange{Deadline: time.Now().Add(time.Second), OnDone: func(how Outcome) { done <- how }}
	p.Start(Target{Addr: addr}, x)
	x.Cancel()
	fmt.Println("given up:", outcomeNames[<-done], "sockets:", limit.InUse())
	// Output:
	// one: answered "answer\n", 1 opened
	// none: no room "", 1 opened
	// given up: withdrawn sockets: 1
}
