package routing

import (
	"sync"
	"time"

	"spanmux/internal/membudget"
)

// messageMemory returns the bytes for all requests, and those for all responses, of a process that may use memoryBytes
// and have a number of connections.
func messageMemory(memoryBytes int64, connections int) int64 {
	beyondProcess := memoryBeyondProcess(memoryBytes)
	return max((beyondProcess-connectionBytes*int64(connections))/messageMemoryDivisor, beyondProcess/minMessageMemoryDivisor)
}

// memoryBeyondProcess returns the bytes that a process without any connection leaves of those that it may use.
func memoryBeyondProcess(memoryBytes int64) int64 {
	return max(memoryBytes-processBytes, memoryBytes/minBeyondProcessDivisor)
}

// requestMemory is the memory of one request, as protocol.RequestMemory reserves it.
type requestMemory struct {
	budget      *membudget.Budget
	reservation *membudget.Reservation
	waitUntil   time.Time // for others to give up theirs; zero if it had not to wait
}

// newRequestMemory returns the memory of a request that has none yet.
func newRequestMemory(budget *membudget.Budget) *requestMemory {
	return &requestMemory{budget: budget, reservation: budget.Reservation(requestAllowanceBytes)}
}

// Reserve reserves memory for the head or a short body. Other requests that are incomplete may have to yield theirs, for
// which it waits up to requestMemoryTimeout in all: the time of the request runs, as all of it may be in the socket.
func (m *requestMemory) Reserve(bytes int) bool {
	return m.reservation.Grow(bytes, m.budget.TryReserve) || m.reservation.Grow(bytes, func(bytes int) bool {
		if m.waitUntil.IsZero() {
			m.waitUntil = time.Now().Add(requestMemoryTimeout)
		}
		return m.budget.Reserve(bytes, m.waitUntil)
	})
}

// ReserveLarge reserves memory for a body that can be passed on instead. A quarter of the budget is left to shorter ones.
func (m *requestMemory) ReserveLarge(bytes int) bool {
	return m.reservation.Grow(bytes, m.budget.TryReserveThreeQuarters)
}

// release gives all of it back.
func (m *requestMemory) release() { m.reservation.Release() }

// streamBuffer is the buffer of a streamed message.
type streamBuffer struct {
	bytes  []byte
	whole  *[streamBufferBytes]byte // what bytes refers to; nil for a small buffer, which is not reserved
	budget *membudget.Budget
}

// wholeStreamBuffers are those that are not in use.
var wholeStreamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// newStreamBuffer returns a buffer of streamBufferBytes, or a small one if there is no memory for that.
func newStreamBuffer(budget *membudget.Budget) streamBuffer {
	if !budget.TryReserve(streamBufferBytes) {
		return streamBuffer{bytes: make([]byte, smallStreamBufferBytes)}
	}
	whole := wholeStreamBuffers.Get().(*[streamBufferBytes]byte)
	return streamBuffer{whole[:], whole, budget}
}

// release gives the buffer back.
func (b streamBuffer) release() {
	if b.whole != nil {
		wholeStreamBuffers.Put(b.whole)
		b.budget.Release(streamBufferBytes)
	}
}

// readAheadPieceBytes is the size of a piece of what is read ahead: a stream buffer and its framing.
const readAheadPieceBytes = streamBufferBytes + 64

// readAhead is what was read of a response faster than its client reads. Its pieces are allocated, and reserved, whole.
type readAhead struct {
	budget   *membudget.Budget
	pieces   [][]byte
	spare    []byte // an empty piece, or nil
	written  int    // bytes of the piece that next returned last
	reserved int    // bytes, those of written included
}

// adoptedReadAhead returns what another process has read ahead.
func adoptedReadAhead(budget *membudget.Budget, received []byte) readAhead {
	budget.Take(len(received))
	ahead := readAhead{budget: budget, reserved: len(received)}
	if len(received) > 0 {
		ahead.pieces = [][]byte{received}
	}
	return ahead
}

// makeRoom makes sure that a stream buffer and its framing can be appended. It returns false if there is no memory for
// that.
func (a *readAhead) makeRoom(reserve func(bytes int) bool) bool {
	if a.spare != nil {
		return true
	}
	if !reserve(readAheadPieceBytes) {
		return false
	}
	a.reserved += readAheadPieceBytes
	a.spare = make([]byte, 0, readAheadPieceBytes)
	return true
}

// append adds bytes, for which makeRoom has made room.
func (a *readAhead) append(b []byte) {
	for len(b) > 0 {
		last := len(a.pieces) - 1
		if last < 0 || len(a.pieces[last]) == cap(a.pieces[last]) {
			a.pieces, a.spare = append(a.pieces, a.spare), nil
			last++
		}
		n := min(len(b), cap(a.pieces[last])-len(a.pieces[last]))
		a.pieces[last] = append(a.pieces[last], b[:n]...)
		b = b[n:]
	}
}

// next removes and returns the first piece, which is in use until the next call; it returns nil if there is none.
func (a *readAhead) next() []byte {
	if len(a.pieces) == 0 {
		a.release()
		return nil
	}
	a.budget.Release(a.written)
	a.reserved -= a.written
	piece := a.pieces[0]
	a.pieces[0] = nil
	a.pieces, a.written = a.pieces[1:], cap(piece)
	return piece
}

// size returns how many bytes are left.
func (a *readAhead) size() (bytes int) {
	for _, piece := range a.pieces {
		bytes += len(piece)
	}
	return bytes
}

// release gives all memory back.
func (a *readAhead) release() {
	a.budget.Release(a.reserved)
	a.pieces, a.spare, a.written, a.reserved = nil, nil, 0, 0
}
