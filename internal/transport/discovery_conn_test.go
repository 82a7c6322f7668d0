package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"
)

// A long list that arrives slowly is read to its end, even if that takes longer than the time-out of the call. A response
// that arrives at less than the minimum rate fails in time, and so does one that pauses. With a single time-out for the
// whole call, a list of ten thousand hosts was never received from a slow discovery service.
func ExampleDiscoveryConn_RoundTrip() {
	const long = 300 << 10
	addr, end := startScriptedHost(
		func(nc net.Conn, r *bufio.Reader) {
			for n := 0; n < long; n += long / 10 {
				nc.Write(make([]byte, long/10))
				time.Sleep(50 * time.Millisecond)
			}
		},
		func(nc net.Conn, r *bufio.Reader) {
			for err := error(nil); err == nil; time.Sleep(20 * time.Millisecond) {
				_, err = nc.Write(make([]byte, 1))
			}
		},
		func(nc net.Conn, r *bufio.Reader) {
			nc.Write(make([]byte, long-1))
			io.Copy(io.Discard, nc)
		})
	defer end()
	discovery := &DiscoveryConn{Addr: addr}
	for _, what := range []string{"slowly", "dribbles", "stops"} {
		start, received := time.Now(), 0
		err := discovery.RoundTrip(net.Buffers{[]byte("go")}, 100*time.Millisecond, func(r *bufio.Reader) (bool, error) {
			n, err := io.ReadFull(r, make([]byte, long))
			received = n
			return false, err
		})
		took := time.Since(start)
		fmt.Println(what+", all:", received == long, "lost:", err != nil, "over 0.4 s:", took > 400*time.Millisecond, "over 2.3 s:", took > 2300*time.Millisecond)
	}
	// Output:
	// slowly, all: true lost: false over 0.4 s: true over 2.3 s: false
	// dribbles, all: false lost: true over 0.4 s: false over 2.3 s: false
	// stops, all: false lost: true over 0.4 s: true over 2.3 s: false
}
