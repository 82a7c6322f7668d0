// Package openids keeps the IDs of the transactions that are open, or that may still run at a host, so that no
// transaction is taken twice. Two processes that replace one another share a registry in a file.
//
// A registry is a table of fixed size. Each entry is one word, claimed by compare-and-swap, so that processes that share
// the table need no lock. An ID is stored as a part of its SHA-256: nobody can choose two that look the same.
package openids

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bucketSlots  = 8
	buckets      = 4096
	tableEntries = buckets * bucketSlots

	timeUnit  = 100 * time.Millisecond // of an entry's expiry
	timeBits  = 23
	timeMask  = 1<<timeBits - 1
	endedFlag = 1 << timeBits // the transaction is over
	idMask    = math.MaxUint64 &^ (1<<(timeBits+1) - 1)

	// RenewInterval is the interval between two calls of Renew.
	RenewInterval = time.Second
	// leaseTTL is how long the ID of an open transaction is kept without Renew. If its process dies, a host may still run
	// the transaction: the ID is kept for endedTTL at least, though one call of Renew was late.
	leaseTTL = endedTTL + 2*RenewInterval
	// maxTTL is the longest that an entry may have left, which earlier versions give open transactions.
	maxTTL = 15 * time.Minute
	// endedTTL is how long the ID of a transaction that is over is kept, as a host may still run it: longer than the
	// deadlines of transactions, and than a process and its successor run side by side.
	endedTTL = 10 * time.Second
)

// Registry holds the IDs of transactions. Its methods may be called from any goroutine. The claim of an open transaction
// is a lease, which Renew extends: those of a process that has died expire.
type Registry struct {
	table []atomic.Uint64
	now   func() time.Duration // on a clock that all processes which use the table share

	mu     sync.Mutex
	leases map[*atomic.Uint64]entry // what this process has last written to the entries of the IDs that it has claimed
}

// New returns a registry for this process alone.
func New() *Registry {
	began := time.Now()
	return newRegistry(make([]atomic.Uint64, tableEntries), func() time.Duration { return time.Since(began) })
}

// newRegistry returns a registry with a table and a clock.
func newRegistry(table []atomic.Uint64, now func() time.Duration) *Registry {
	return &Registry{table: table, now: now, leases: map[*atomic.Uint64]entry{}}
}

// entryTime is a time in timeUnits, modulo 1<<timeBits.
type entryTime uint64

// at returns the time after a duration from now.
func (r *Registry) at(after time.Duration) entryTime {
	return entryTime((r.now()+after)/timeUnit) & timeMask
}

// entry is one word of the table: the ID's hash, whether the transaction is over, and when the entry expires. 0 is free.
type entry uint64

// newEntry returns an entry.
func newEntry(hash uint64, ended bool, expiry entryTime) entry {
	word := hash&idMask | uint64(expiry)
	if ended {
		word |= endedFlag
	}
	return entry(word)
}

func (e entry) ended() bool              { return e&endedFlag != 0 }
func (e entry) hash() uint64             { return uint64(e) & idMask }
func (e entry) has(hash uint64) bool     { return uint64(e)&idMask == hash&idMask }
func (e entry) left(at entryTime) uint64 { return (uint64(e) - uint64(at)) & timeMask } // in timeUnits, if it is live

// live reports whether an entry is in use at a time: its expiry lies ahead, by no more than an entry's may. Another process
// may have made it a little after that time.
func (e entry) live(at entryTime) bool {
	left := e.left(at)
	return e != 0 && left > 0 && left <= uint64((maxTTL+time.Second)/timeUnit)
}

// bucketOf returns the entries among which an ID is, and its hash.
func (r *Registry) bucketOf(id string) (bucket []atomic.Uint64, hash uint64) {
	sum := sha256.Sum256([]byte(id))
	first := int(binary.BigEndian.Uint32(sum[8:])) % buckets * bucketSlots
	return r.table[first:][:bucketSlots], binary.BigEndian.Uint64(sum[:]) | 1<<63
}

// Claim registers the ID of a transaction that is open from now on. It returns false if it is that of another one that is
// open or may still run, or if there is no room for it.
func (r *Registry) Claim(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claim(id)
}

// claim is Claim for a caller that holds the lock.
func (r *Registry) claim(id string) bool {
	bucket, hash := r.bucketOf(id)
	now := r.at(0)
	claimed := newEntry(hash, false, r.at(leaseTTL))
	slot, old := freeSlot(bucket, hash, now)
	for slot >= 0 && !bucket[slot].CompareAndSwap(uint64(old), uint64(claimed)) { // another process has taken it meanwhile
		slot, old = freeSlot(bucket, hash, now)
	}
	if slot < 0 {
		return false
	}
	for i := range bucket { // another process may have claimed the same ID in another slot meanwhile
		if other := entry(bucket[i].Load()); i != slot && other.has(hash) && other.live(now) {
			bucket[slot].CompareAndSwap(uint64(claimed), 0)
			return false
		}
	}
	r.leases[&bucket[slot]] = claimed
	return true
}

// Adopt takes over the claim of an ID from another process, which does not end it. It returns false if the transaction is
// over.
func (r *Registry) Adopt(id string) bool {
	bucket, hash := r.bucketOf(id)
	now := r.at(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range bucket {
		for e := entry(bucket[i].Load()); e.has(hash) && e.live(now); e = entry(bucket[i].Load()) {
			if e.ended() || r.leases[&bucket[i]] == e { // over, or that of another transaction of this process
				return false
			}
			if r.renew(&bucket[i], e) { // else the other process has renewed it meanwhile
				return true
			}
		}
	}
	return r.claim(id)
}

// HandOver leaves the claim of an ID to another process, which adopts it. The other process has leaseTTL for that.
func (r *Registry) HandOver(id string) { r.takeLease(r.bucketOf(id)) }

// Renew extends the leases of this process. One that has ended, as this process was stopped for long, stays so: the ID may
// be that of another transaction by now.
func (r *Registry) Renew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for word, lease := range r.leases { // the order does not matter
		if !r.renew(word, lease) {
			delete(r.leases, word)
		}
	}
}

// renew extends a lease, or takes one over, if its entry still is as it was. The caller holds the lock.
func (r *Registry) renew(word *atomic.Uint64, lease entry) bool {
	renewed := newEntry(lease.hash(), false, r.at(leaseTTL))
	if !word.CompareAndSwap(uint64(lease), uint64(renewed)) {
		return false
	}
	r.leases[word] = renewed
	return true
}

// takeLease returns the lease of an ID and its entry, and forgets it. The entry is nil if this process does not hold it.
func (r *Registry) takeLease(bucket []atomic.Uint64, hash uint64) (word *atomic.Uint64, lease entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range bucket {
		if lease := r.leases[&bucket[i]]; lease.has(hash) {
			delete(r.leases, &bucket[i])
			return &bucket[i], lease
		}
	}
	return nil, 0
}

// freeSlot returns a slot for an ID and the entry that is in it, or -1 if the ID is in the bucket or no slot can be used.
// Where all are in use, that of the transaction which has been over longest is.
func freeSlot(bucket []atomic.Uint64, hash uint64, now entryTime) (slot int, old entry) {
	slot, leastLeft := -1, uint64(timeMask)
	for i := range bucket {
		switch e := entry(bucket[i].Load()); {
		case !e.live(now):
			slot, old, leastLeft = i, e, 0
		case e.has(hash):
			return -1, 0
		case e.ended() && e.left(now) < leastLeft:
			slot, old, leastLeft = i, e, e.left(now)
		}
	}
	return slot, old
}

// Release ends the claim of an ID: the transaction is over, and runs nowhere.
func (r *Registry) Release(id string) { r.replace(id, 0) }

// Retain ends the claim of an ID whose transaction is over and may still run at a host. It can be claimed again only after
// endedTTL.
func (r *Registry) Retain(id string) {
	_, hash := r.bucketOf(id)
	r.replace(id, newEntry(hash, true, r.at(endedTTL)))
}

// RetainReleased does what Retain does for an ID that has been released, unless it has been claimed again.
func (r *Registry) RetainReleased(id string) {
	bucket, hash := r.bucketOf(id)
	if slot, old := freeSlot(bucket, hash, r.at(0)); slot >= 0 {
		bucket[slot].CompareAndSwap(uint64(old), uint64(newEntry(hash, true, r.at(endedTTL))))
	}
}

// replace ends the lease of an ID, if this process holds it, and replaces its entry.
func (r *Registry) replace(id string, with entry) {
	if word, lease := r.takeLease(r.bucketOf(id)); word != nil {
		word.CompareAndSwap(uint64(lease), uint64(with)) // fails if the lease has expired and the ID is claimed again
	}
}
