package transport

import "time"

const (
	maxClientSendBufferBytes = 8 << 20 // that a client's socket may hold of a request: twice what Linux lets a send buffer grow to
	arrivalMarkIntervalBytes = 1 << 20 // between two marks
)

// bodyArrival finds out how early the last byte of a body may have been sent, while the body is read more slowly than it
// comes: its host may accept it slowly, and the last byte may wait unread. It was sent after each moment in which
// nothing was unread, and after each moment in which the sockets can't have held all that came later.
type bodyArrival struct {
	sentAfter time.Time // the latest such moment that is known
	received  int       // bytes read so far
	marks     []arrivalMark
}

// arrivalMark is what was known at a moment.
type arrivalMark struct {
	at       time.Time
	received int // bytes read
	maxSent  int // bytes that the client may have sent
}

// begin starts to follow a body whose client may have sent all of it by the given time.
func (a *bodyArrival) begin(at time.Time) { *a = bodyArrival{sentAfter: at} }

// readAfterWait records that bytes were read for which the reader had to wait until now.
func (a *bodyArrival) readAfterWait(bytes int, now time.Time) {
	a.received += bytes
	a.sentAfter, a.marks = now, a.marks[:0]
}

// read records that bytes were read that had arrived before. unread returns how many are left in the socket.
func (a *bodyArrival) read(bytes int, now time.Time, unread func() (bytes int, known bool)) {
	a.received += bytes
	for len(a.marks) > 0 && a.marks[0].maxSent < a.received {
		a.sentAfter, a.marks = a.marks[0].at, a.marks[1:]
	}
	if n := len(a.marks); n > 0 && a.received < a.marks[n-1].received+arrivalMarkIntervalBytes {
		return
	}
	if left, known := unread(); known {
		a.marks = append(a.marks, arrivalMark{now, a.received, a.received + left + maxClientSendBufferBytes})
	}
}
