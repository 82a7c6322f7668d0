// Package routing takes transactions through the gateway: each is taken in, admitted, routed, sent, relayed and
// booked, a file for each. Decisions are the module's; it is called under one lock, with one clock and one timer.
package routing

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"spanmux/internal/config"
	"spanmux/internal/invariant"
	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// Dispatcher is one gateway between its clients and the hosts.
type Dispatcher struct {
	Counters  Counters
	pool      *transport.Pool
	listener  *transport.Listener
	opened    *config.Instance
	list      listing
	tells     tells
	large     atomic.Int64 // bytes left for bodies over the usual size
	ahead     atomic.Int64 // bytes left for what is read ahead of slow clients
	aheadMost int64        // of these, at the start
	closing   atomic.Bool
	ready     atomic.Bool
	serving   atomic.Bool
	listed    chan struct{}  // closed once a list is in hand
	has       func()         // says that one is
	shared    bool           // other processes may take clients off the same listener
	alone     int            // sockets for clients and hosts
	beside    int            // the same while another takes clients
	streams   map[*flow]bool // answers under way; guarded by the lock
	heir      string         // where answers are handed over to the next process
	connLimit *transport.ConnLimit
	learnt    struct { // by the process before this one
		what logic.LearnedState
		at   time.Time // when it said so, zero where it did not
	}

	mu      sync.Mutex
	began   time.Time
	last    logic.TxID
	txs     map[logic.TxID]*tx
	tallies map[string]*tally
	open    map[string]bool // ids, as clients give them, of those that wait for their answer
	timer   *time.Timer
	after   []func() // what is to be done outside the lock
	within  bool     // the module is at work
}

// tx is a transaction that has been taken. What is below the line is guarded by the desk's lock.
type tx struct {
	id      logic.TxID
	said    *protocol.Transaction
	tally   *tally
	client  *transport.Client
	taken   time.Time
	early   bool          // some of what its client sends next has been read already
	settled chan struct{} // closed when its answer is written

	up       chan *transport.BodyWriter // of a body that is to come yet: what writes it to a host
	passed   bool                       // some of that is gone and can't be sent again
	heard    bool                       // all of it has come
	wait     time.Duration              // for the answer from then on
	feeding  *hop                       // which has it
	answered bool                       // it has its final answer, or nobody waits for one
	hops     []*hop
	out      int
}

// over tells whether its answer is written.
func (t *tx) over() bool {
	select {
	case <-t.settled:
		return true
	default:
		return false
	}
}

// NewDispatcher makes a gateway's desk; settings are the module's.
func NewDispatcher(settings []byte) (*Dispatcher, error) {
	opened, err := config.Parse(settings, askWithin)
	d := &Dispatcher{opened: opened, txs: map[logic.TxID]*tx{}, open: map[string]bool{}, list: newListing(),
		tallies: map[string]*tally{}, listed: make(chan struct{}),
		streams: map[*flow]bool{}}
	d.has = sync.OnceFunc(func() { close(d.listed) })
	if err == nil {
		d.named()
	}
	d.timer = time.AfterFunc(time.Hour, func() { d.decide(func(now time.Duration) { d.opened.TimerFired(now) }) })
	d.timer.Stop()
	return d, err
}

// decide calls the module under the lock and does afterwards, outside it, what the module wants done.
func (d *Dispatcher) decide(call func(now time.Duration)) {
	d.mu.Lock()
	invariant.Check(!d.within, "the module is not called from within")
	d.within = true
	call(d.now())
	d.within = false
	after := d.after
	d.after = nil
	d.mu.Unlock()
	for _, do := range after {
		do()
	}
}

// now is the time on the module's clock.
func (d *Dispatcher) now() time.Duration { return origin + time.Since(d.began) }

func (d *Dispatcher) then(do func()) { d.after = append(d.after, do) }

// since turns the time of a host's start into the module's clock; 0 is long ago, as is all before that clock began.
func (d *Dispatcher) since(bootMS int64) time.Duration {
	if bootMS <= 0 {
		return 0
	}
	return max(0, origin+time.UnixMilli(bootMS).Sub(d.began.Round(0)))
}

// take hands a transaction to the module, unless its id is that of one that is still open: its effect would happen twice.
func (d *Dispatcher) take(t *tx, profile int, budget time.Duration) (taken bool) {
	d.decide(func(now time.Duration) {
		if taken = !d.open[t.said.TraceID]; !taken {
			return
		}
		d.open[t.said.TraceID] = true
		d.Counters.Admitted.Add(1)
		d.Counters.OpenTransactions.Add(1)
		d.last++
		t.id = d.last
		d.txs[t.id] = t
		d.opened.TransactionReceived(now, t.id, d.arrival(t.said, profile, budget))
	})
	return taken
}

// settled notes that a transaction has its final answer, or that nobody waits for one.
func (d *Dispatcher) settled(t *tx) {
	t.answered = true
	delete(d.open, t.said.TraceID)
	for _, h := range t.hops { // what no host has yet none needs to have, whether or not what runs may be called off
		if h.exchange != nil {
			d.then(h.exchange.CancelIfUnwritten)
		}
	}
	d.forget(t)
}

// left tells the module that a client has closed, if it still waits.
func (d *Dispatcher) left(t *tx) (waited bool) {
	d.decide(func(now time.Duration) {
		if waited = !t.answered; waited {
			d.settled(t)
			d.Counters.ClientLeft.Add(1)
			d.Counters.OpenTransactions.Add(-1)
			d.opened.ClientLeft(now, t.id)
		}
	})
	return waited
}

// forget drops what is over. A transaction that was given up stays while hops of it are out.
func (d *Dispatcher) forget(t *tx) {
	if t.answered && t.out == 0 {
		delete(d.txs, t.id)
	}
}

func (d *Dispatcher) SetTimer(in time.Duration) { d.timer.Reset(in) }

func (d *Dispatcher) Log(line string) {
	if d.Counters.says.allows() {
		d.then(func() { slog.Info("module", "says", line) })
	}
}
