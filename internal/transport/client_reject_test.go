package transport

import (
	"fmt"
	"net"
	"time"
)

// rejectingConn has its listener turn messages away in the instant in which the time to read one is lifted.
type rejectingConn struct {
	*net.TCPConn
	reject func()
}

func (c rejectingConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if t.IsZero() {
		c.reject()
	}
	return err
}

// A message has come whole as its process is told to end, or as that turns away what is not whole. It is taken, so its client is not to
// be turned away: the time set for that, over at once, looked like the end of the client's connection, and the transaction ended with
// no answer (one in ten runs of Example_replaced under load).
func ExampleClient_MarkActive_rejected() {
	for _, level := range []int32{rejectUndispatched, rejectIncomplete} {
		ln, _ := net.Listen("tcp", "127.0.0.1:0")
		l := NewListener(ln, NewConnLimit(9), 9, 1)
		ended := make(chan bool)
		go l.Serve(func(c *Client) {
			defer close(ended)
			if c.AwaitRequest() != nil {
				return
			}
			c.Reader.ReadString('\n')
			c.conn = rejectingConn{c.conn.(*net.TCPConn), func() {
				l.mu.Lock()
				defer l.mu.Unlock()
				l.reject(level)
			}}
			c.MarkActive()
			time.AfterFunc(20*time.Millisecond, func() { c.conn.SetReadDeadline(time.Now()) }) // as when its answer has been idle for long
			began := time.Now()
			c.WatchForClose(func() bool { return true })
			fmt.Println("waits for its answer:", time.Since(began) >= 20*time.Millisecond)
		})
		nc, _ := net.Dial("tcp", l.Addr())
		fmt.Fprintln(nc, "go")
		<-ended
		nc.Close()
		l.Shutdown()
	}
	// Output:
	// waits for its answer: true
	// waits for its answer: true
}
