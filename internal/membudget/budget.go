// Package membudget bounds the memory that peers can make the process hold. Every byte that is kept for a peer for
// longer than one call, beyond a small amount that each connection may have, is reserved from a budget before it is
// allocated. A budget holds no memory itself; it only counts.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"

	"spanmux/internal/invariant"
)

// reclaimInterval separates two looks for memory that others give up.
const reclaimInterval = 2 * time.Millisecond

// Budget is a number of bytes that many holders share. Its methods may be called from any goroutine.
type Budget struct {
	// Reclaim, if not nil, makes one holder give up what it has reserved, soon after the call, and has it call released
	// once it has. It returns false if none can. It is set before the first Reserve.
	Reclaim func(released func()) bool

	reclaiming atomic.Int32 // holders that Reclaim has made give up theirs, and that have not released it yet

	turn sync.Mutex // held by the caller of Reserve that reclaims: one at a time, so that no more is given up than is needed

	mu       sync.Mutex
	limit    int64
	used     int64
	peak     int64
	refusals int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// SetLimit changes the limit. What is reserved beyond a lower limit stays reserved; nothing more is until enough of it
// is released.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// TryReserve reserves bytes, and returns false if there are not so many left.
func (b *Budget) TryReserve(bytes int) bool { return b.tryReserveBelow(bytes, 4) }

// TryReserveFirstHalf reserves bytes if half of the budget is left after that: for uses that must not displace others.
func (b *Budget) TryReserveFirstHalf(bytes int) bool { return b.tryReserveBelow(bytes, 2) }

// TryReserveThreeQuarters reserves bytes if a quarter of the budget is left after that.
func (b *Budget) TryReserveThreeQuarters(bytes int) bool { return b.tryReserveBelow(bytes, 3) }

// tryReserveBelow reserves bytes if no more than so many quarters of the limit are reserved then.
func (b *Budget) tryReserveBelow(bytes int, quarters int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+int64(bytes) > b.limit*quarters/4 {
		return false
	}
	b.used += int64(bytes)
	b.peak = max(b.peak, b.used)
	return true
}

// Take reserves bytes whether or not so many are left: for what another process has handed over already.
func (b *Budget) Take(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += int64(bytes)
	b.peak = max(b.peak, b.used)
}

// Reserve reserves bytes. Where there are not so many left it has others give up what they hold, and waits for that until
// the deadline at the latest; it returns false if that is not enough.
func (b *Budget) Reserve(bytes int, deadline time.Time) bool {
	if b.TryReserve(bytes) || b.reclaim(bytes, deadline) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refusals++
	return false
}

// reclaim reserves bytes as others give up theirs. Those that wait for their turn have later deadlines than those before
// them, so that none waits for longer than its own.
func (b *Budget) reclaim(bytes int, deadline time.Time) bool {
	if b.Reclaim == nil {
		return false
	}
	b.turn.Lock()
	defer b.turn.Unlock()
	for time.Now().Before(deadline) {
		if b.TryReserve(bytes) {
			return true
		}
		if !b.reclaimOne() && b.reclaiming.Load() == 0 {
			break
		}
		time.Sleep(reclaimInterval)
	}
	return b.TryReserve(bytes)
}

// reclaimOne makes one holder give up what it has reserved. It returns false if none can.
func (b *Budget) reclaimOne() bool {
	b.reclaiming.Add(1)
	if b.Reclaim(func() { b.reclaiming.Add(-1) }) {
		return true
	}
	b.reclaiming.Add(-1)
	return false
}

// Release gives bytes back.
func (b *Budget) Release(bytes int) {
	b.mu.Lock()
	b.used -= int64(bytes)
	negative := b.used < 0
	b.mu.Unlock()
	invariant.Check(!negative, "no more memory released than was reserved")
}

// Usage is the state of a budget, in bytes.
type Usage struct {
	Limit, Used, Peak int64
	Refusals          int64 // calls of Reserve that failed
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{b.limit, b.used, b.peak, b.refusals}
}

// Reservation is what one holder has reserved. It is not for concurrent use.
type Reservation struct {
	budget    *Budget
	allowance int // bytes that need not be reserved
	held      int // bytes that were asked for
}

// Reservation returns a reservation of nothing. The first allowance bytes of it are not taken from the budget: they
// belong to what a connection may have in any case.
func (b *Budget) Reservation(allowance int) *Reservation {
	return &Reservation{budget: b, allowance: allowance}
}

// Grow reserves more bytes, by one of the methods of Budget.
func (r *Reservation) Grow(bytes int, reserve func(bytes int) bool) bool {
	if more := r.beyondAllowance(r.held+bytes) - r.beyondAllowance(r.held); more > 0 && !reserve(more) {
		return false
	}
	r.held += bytes
	return true
}

// Held returns how many bytes are reserved, the allowance included.
func (r *Reservation) Held() int { return r.held }

// beyondAllowance returns how many of a number of bytes are taken from the budget.
func (r *Reservation) beyondAllowance(bytes int) int { return max(0, bytes-r.allowance) }

// Shrink gives back some of the bytes that were reserved.
func (r *Reservation) Shrink(bytes int) {
	less := r.beyondAllowance(r.held) - r.beyondAllowance(r.held-bytes)
	r.held -= bytes
	r.budget.Release(less)
}

// Release gives back all that is reserved. It may be called more than once.
func (r *Reservation) Release() { r.Shrink(r.held) }
