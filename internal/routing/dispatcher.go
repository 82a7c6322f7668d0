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
	Counters               Counters
	pool                   *transport.Pool
	listener               *transport.Listener
	core                   *config.Instance
	discovery              discoveryState
	peers                  peerNetwork
	bodyBudget             atomic.Int64 // bytes left for bodies over the usual size
	readAheadBudget        atomic.Int64 // bytes left for what is read ahead of slow clients
	maxReadAheadBudget     int64        // of these, at the start
	closing                atomic.Bool
	ready                  atomic.Bool
	serving                atomic.Bool
	listReceived           chan struct{}            // closed once a list is in hand
	markListReceived       func()                   // says that one is
	sharedListener         bool                     // other processes may take clients off the same listener
	singleProcessConnLimit int                      // sockets for clients and hosts
	overlapConnLimit       int                      // the same while another takes clients
	streams                map[*responseStream]bool // answers under way; guarded by the lock
	handoverPath           string                   // where answers are handed over to the next process
	connLimit              *transport.ConnLimit
	predecessor            struct { // by the process before this one
		state      logic.LearnedState
		receivedAt time.Time // when it said so, zero where it did not
	}

	mu              sync.Mutex
	startedAt       time.Time
	lastTxID        logic.TxID
	txs             map[logic.TxID]*tx
	profileCounters map[string]*profileCounters
	openTraceIDs    map[string]bool // ids, as clients give them, of those that wait for their answer
	timer           *time.Timer
	deferred        []func() // what is to be done outside the lock
	inCore          bool     // the module is at work
}

// tx is a transaction that has been taken. What is below the line is guarded by the desk's lock.
type tx struct {
	id        logic.TxID
	request   *protocol.Transaction
	counters  *profileCounters
	client    *transport.Client
	startedAt time.Time
	pipelined bool          // some of what its client sends next has been read already
	done      chan struct{} // closed when its answer is written

	bodyWriters     chan *transport.BodyWriter // of a body that is to come yet: what writes it to a host
	bodyForwarded   bool                       // some of that is gone and can't be sent again
	bodyReceived    bool                       // all of it has come
	responseTimeout time.Duration              // for the answer from then on
	bodyHop         *hop                       // which has it
	answered        bool                       // it has its final answer, or nobody waits for one
	hops            []*hop
	hopsInFlight    int
}

// isDone tells whether its answer is written.
func (t *tx) isDone() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// NewDispatcher makes a gateway's desk; settings are the module's.
func NewDispatcher(settings []byte) (*Dispatcher, error) {
	core, err := config.Parse(settings, defaultMaxListPollInterval)
	d := &Dispatcher{core: core, txs: map[logic.TxID]*tx{}, openTraceIDs: map[string]bool{}, discovery: newDiscoveryState(),
		profileCounters: map[string]*profileCounters{}, listReceived: make(chan struct{}),
		streams: map[*responseStream]bool{}}
	d.markListReceived = sync.OnceFunc(func() { close(d.listReceived) })
	if err == nil {
		d.addProfileCounters()
	}
	d.timer = time.AfterFunc(time.Hour, func() { d.callCore(func(now time.Duration) { d.core.TimerFired(now) }) })
	d.timer.Stop()
	return d, err
}

// callCore calls the module under the lock and does afterwards, outside it, what the module wants done.
func (d *Dispatcher) callCore(call func(now time.Duration)) {
	d.mu.Lock()
	invariant.Check(!d.inCore, "the module is not called from within")
	d.inCore = true
	call(d.now())
	d.inCore = false
	deferred := d.deferred
	d.deferred = nil
	d.mu.Unlock()
	for _, do := range deferred {
		do()
	}
}

// now is the time on the module's clock.
func (d *Dispatcher) now() time.Duration { return clockOrigin + time.Since(d.startedAt) }

func (d *Dispatcher) afterUnlock(do func()) { d.deferred = append(d.deferred, do) }

// coreClockTime turns the time of a host's start into the module's clock; 0 is long ago, as is all before that clock began.
func (d *Dispatcher) coreClockTime(bootMS int64) time.Duration {
	if bootMS <= 0 {
		return 0
	}
	return max(0, clockOrigin+time.UnixMilli(bootMS).Sub(d.startedAt.Round(0)))
}

// startTransaction hands a transaction to the module, unless its id is that of one that is still open: its effect would happen twice.
func (d *Dispatcher) startTransaction(t *tx, profileIndex int, budget time.Duration) (started bool) {
	d.callCore(func(now time.Duration) {
		if started = !d.openTraceIDs[t.request.TraceID]; !started {
			return
		}
		d.openTraceIDs[t.request.TraceID] = true
		d.Counters.Admitted.Add(1)
		d.Counters.OpenTransactions.Add(1)
		d.lastTxID++
		t.id = d.lastTxID
		d.txs[t.id] = t
		d.core.TransactionReceived(now, t.id, d.newArrival(t.request, profileIndex, budget))
	})
	return started
}

// markAnswered notes that a transaction has its final answer, or that nobody waits for one.
func (d *Dispatcher) markAnswered(t *tx) {
	t.answered = true
	delete(d.openTraceIDs, t.request.TraceID)
	for _, h := range t.hops { // what no host has yet none needs to have, whether or not what runs may be called off
		if h.exchange != nil {
			d.afterUnlock(h.exchange.CancelIfUnwritten)
		}
	}
	d.removeIfFinished(t)
}

// clientLeft tells the module that a client has closed, if it still waits.
func (d *Dispatcher) clientLeft(t *tx) (wasWaiting bool) {
	d.callCore(func(now time.Duration) {
		if wasWaiting = !t.answered; wasWaiting {
			d.markAnswered(t)
			d.Counters.ClientLeft.Add(1)
			d.Counters.OpenTransactions.Add(-1)
			d.core.ClientLeft(now, t.id)
		}
	})
	return wasWaiting
}

// removeIfFinished drops what is over. A transaction that was given up stays while hops of it are out.
func (d *Dispatcher) removeIfFinished(t *tx) {
	if t.answered && t.hopsInFlight == 0 {
		delete(d.txs, t.id)
	}
}

func (d *Dispatcher) SetTimer(delay time.Duration) { d.timer.Reset(delay) }

func (d *Dispatcher) Log(message string) {
	if d.Counters.coreLogLimiter.allow() {
		d.afterUnlock(func() { slog.Info("module", "says", message) })
	}
}
