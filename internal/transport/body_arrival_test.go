package transport

import (
	"fmt"
	"time"
)

// The last byte of a body was sent after the latest moment in which nothing was unread, or in which more was still to come than the
// sockets hold.
func Example_bodyArrival() {
	const megabyte = 1 << 20
	began := time.Now()
	at := func(seconds int) time.Time { return began.Add(time.Duration(seconds) * time.Second) }
	unread := func() (int, bool) { return 2 * megabyte, true }
	var arrival bodyArrival
	arrival.begin(began)
	show := func(event string) {
		fmt.Printf("%s: sent after %v, %d marks\n", event, arrival.sentAfter.Sub(began), len(arrival.marks))
	}
	arrival.read(megabyte, at(1), unread)
	arrival.read(1000, at(2), unread)
	show("1 MB read, 2 MB unread")
	for second := range 10 {
		arrival.read(megabyte, at(3+second), unread)
	}
	show("11 MB read: what was sent and unread at 1 s was 11 MB at the most")
	arrival.read(2*megabyte, at(13), func() (int, bool) { return 0, false })
	show("13 MB read, not known how much is unread")
	arrival.readAfterWait(1000, at(14))
	show("caught up")
	// Output:
	// 1 MB read, 2 MB unread: sent after 0s, 1 marks
	// 11 MB read: what was sent and unread at 1 s was 11 MB at the most: sent after 1s, 10 marks
	// 13 MB read, not known how much is unread: sent after 3s, 9 marks
	// caught up: sent after 14s, 0 marks
}
