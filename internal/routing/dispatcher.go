// Package routing takes transactions through the gateway: intake, admission, sending to hosts,
// relaying of responses, and counters. Package logic makes the decisions; it is called under one lock,
// with one clock and one timer.
package routing

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"spanmux/internal/config"
	"spanmux/internal/invariant"
	"spanmux/internal/membudget"
	"spanmux/internal/openids"
	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// Dispatcher is one gateway between its clients and the hosts. It serializes calls to the decision
// core and carries out its decisions.
type Dispatcher struct {
	Counters  Counters
	pool      *transport.Pool
	listener  *transport.Listener
	core      *config.ConfiguredCore
	discovery discoveryState
	peers     peerNetwork

	requestMemory  *membudget.Budget // see messageMemoryDivisor
	responseMemory *membudget.Budget // the same
	heldHostConns  atomic.Int64      // see holdHostConn

	closing          atomic.Bool   // Close was called
	hasHostList      atomic.Bool   // a host list, which may be a cached one, was applied
	serving          atomic.Bool   // Serve accepts clients
	listReceived     chan struct{} // closed once there is a current host list, or freshListTimeout after a cached one
	markListReceived func()        // closes listReceived

	sharedListener         bool                     // other processes may accept from the same listener
	singleProcessConnLimit int                      // connections to clients and hosts while this process is alone
	overlapConnLimit       int                      // the same while another process accepts clients
	streams                map[*responseStream]bool // responses being streamed; guarded by mu
	handoverPath           string                   // socket through which clients are handed over to the next process
	connLimit              *transport.ConnLimit
	predecessor            struct { // what the previous process had learned
		state      logic.LearnedState
		receivedAt time.Time // zero if it sent nothing
	}

	started chan struct{} // closed once the decision core exists

	// The following fields are guarded by mu; startedAt is set once.
	mu              sync.Mutex
	startedAt       time.Time
	lastTxID        logic.TxID
	txs             map[logic.TxID]*tx
	profileCounters map[string]*profileCounters // by profile name
	openIDs         *openids.Registry           // trace IDs, as clients give them, of transactions that are open or may still run
	timer           *time.Timer
	deferred        []func() // run once mu is released; they don't block
	responses       []func() // the same for writes of responses, which may wait for slow clients
	inCore          bool     // a call to the core is running
}

// tx is an admitted transaction. The fields below the blank line are guarded by Dispatcher.mu.
type tx struct {
	id        logic.TxID
	request   *protocol.Transaction
	counters  *profileCounters
	client    *transport.Client
	startedAt time.Time
	memory    *requestMemory
	pipelined bool          // some of the client's next request has been read
	done      chan struct{} // closed when its response is written

	bodyWriters        chan *transport.BodyWriter // connected hops that a streamed body can be written to
	bodyForwardStarted bool                       // some of the body was sent and can't be sent again
	bodyReceived       bool                       // the whole body was received
	responseTimeout    time.Duration              // for the response, from the end of the body on
	bodyHop            *hop                       // the hop that the body is sent to
	answered           bool                       // it has its final response, or its client has left
	mayHaveRun         bool                       // a host may have run it
	finalStatus        int                        // of its response; 0 if its client has left
	streaming          bool                       // its response is being streamed
	inputPending       bool                       // its client's input is discarded after its response
	idEnded            bool                       // its trace ID is no longer claimed, or by the next process
	hops               []*hop
	hopsInFlight       int
}

// isDone reports whether its response is written.
func (t *tx) isDone() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// NewDispatcher returns a dispatcher for the given settings.
func NewDispatcher(settings []byte) (*Dispatcher, error) {
	core, err := config.Parse(settings, defaultMaxListPollInterval)
	d := &Dispatcher{core: core, txs: map[logic.TxID]*tx{}, openIDs: openids.New(), discovery: newDiscoveryState(),
		profileCounters: map[string]*profileCounters{}, listReceived: make(chan struct{}),
		streams: map[*responseStream]bool{}, started: make(chan struct{})}
	d.markListReceived = sync.OnceFunc(func() { close(d.listReceived) })
	if err == nil {
		d.addProfileCounters()
	}
	d.timer = time.AfterFunc(time.Hour, func() { d.callCoreForAll(func(now time.Duration) { d.core.TimerFired(now) }) })
	d.timer.Stop()
	return d, err
}

// lockCore locks mu for a call of the decision core. It waits until Start has created the core: what
// peers, a previous process or clients send may arrive earlier.
func (d *Dispatcher) lockCore() {
	<-d.started
	d.mu.Lock()
}

// callCore calls the decision core under the lock. What the core wants done is run afterwards, without the lock.
func (d *Dispatcher) callCore(call func(now time.Duration)) {
	d.lockCore()
	d.callLocked(call)
}

// callLocked is callCore for a caller that holds mu, which it releases. The caller waits for the first response that is
// to be written: as a rule it is that of its own transaction. The others must not wait for that one's client.
func (d *Dispatcher) callLocked(call func(now time.Duration)) {
	responses := d.callAndUnlock(call)
	for i := 1; i < len(responses); i++ {
		go responses[i]()
	}
	if len(responses) > 0 {
		responses[0]()
	}
}

// callCoreForAll is callCore for a caller that serves all transactions, as the timer does. It does not wait for clients.
func (d *Dispatcher) callCoreForAll(call func(now time.Duration)) {
	d.lockCore()
	for _, write := range d.callAndUnlock(call) {
		go write()
	}
}

// callAndUnlock calls the decision core, releases mu, and does what the core wants done but for the writes of responses,
// which it returns.
func (d *Dispatcher) callAndUnlock(call func(now time.Duration)) (responses []func()) {
	invariant.Check(!d.inCore, "no reentrant call of the decision core")
	d.inCore = true
	call(d.now())
	d.inCore = false
	deferred, responses := d.deferred, d.responses
	d.deferred, d.responses = nil, nil
	d.mu.Unlock()
	for _, do := range deferred {
		do()
	}
	return responses
}

// now returns the time on the decision core's clock.
func (d *Dispatcher) now() time.Duration { return clockOrigin + time.Since(d.startedAt) }

// afterUnlock has do run once mu is released; do does not block. The caller is within callCore.
func (d *Dispatcher) afterUnlock(do func()) { d.deferred = append(d.deferred, do) }

// coreClockTime converts the start time of a host to the decision core's clock. 0 stands for long ago,
// as does any time before that clock's zero.
func (d *Dispatcher) coreClockTime(bootMS int64) time.Duration {
	if bootMS <= 0 {
		return 0
	}
	return max(0, clockOrigin+time.UnixMilli(bootMS).Sub(d.startedAt.Round(0)))
}

// startTransaction hands a transaction to the decision core, unless its trace ID is that of an open
// one: its effect would happen twice.
func (d *Dispatcher) startTransaction(t *tx, profileIndex int, budget time.Duration) (started bool) {
	d.callCore(func(now time.Duration) {
		if started = d.openIDs.Claim(t.request.TraceID); !started {
			return
		}
		d.Counters.Admitted.Add(1)
		d.Counters.OpenTransactions.Add(1)
		d.lastTxID++
		t.id = d.lastTxID
		d.txs[t.id] = t
		d.core.TransactionReceived(now, t.id, d.newArrival(t.request, profileIndex, budget))
	})
	return started
}

// markAnswered records that a transaction has its final response, or that its client has left.
func (d *Dispatcher) markAnswered(t *tx) {
	t.answered = true
	for _, h := range t.hops { // hops not yet written are withdrawn, whether or not running ones may be called off
		if h.exchange != nil {
			d.afterUnlock(h.exchange.CancelIfUnwritten)
		}
	}
	d.removeIfFinished(t)
}

// clientLeft notifies the decision core that a client has closed, if its transaction still waits for
// a response.
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

// removeIfFinished removes a transaction that is over. One whose client has left stays, with its request, while hops of
// it are in flight. The message is dropped, as the client's goroutine refers to the transaction until the next request.
func (d *Dispatcher) removeIfFinished(t *tx) {
	if t.answered && t.hopsInFlight == 0 {
		delete(d.txs, t.id)
		t.request.DropMessage()
		t.memory.release()
		if !t.streaming && !t.idEnded {
			d.endID(t)
		}
	}
}

// streamEnded records that a response is no longer being streamed by this process.
func (d *Dispatcher) streamEnded(t *tx, handedOver bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.streaming = false
	if handedOver { // it is the next process that ends the claim
		d.openIDs.HandOver(t.request.TraceID)
		t.idEnded = true
	}
	if err != nil { // its client does not have all of it
		t.finalStatus = 0
	}
	d.removeIfFinished(t)
}

// SetTimer has the decision core called again after delay; it replaces the previous timer.
func (d *Dispatcher) SetTimer(delay time.Duration) { d.timer.Reset(delay) }

// Log logs a message of the decision core, within a rate limit.
func (d *Dispatcher) Log(message string) {
	if d.Counters.coreLogLimiter.allow() {
		d.afterUnlock(func() { slog.Info("decision core", "message", message) })
	}
}
