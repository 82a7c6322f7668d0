// Package logic decides for one gateway which host each transaction goes to and how it ends.
// This file holds the plain types and the interface by which it is called; logic.go decides.
package logic

import "time"

type (
	TxID   uint64
	HostID uint32
)

// Core is all that a protocol calls. Every call carries the time since the start; what the module
// wants done it does through Doer before the call returns.
type Core interface {
	// HostListReceived takes the host list, or the changes to it, and keeps no part of the slice. A Lost list carries no hosts: the call for
	// it failed.
	HostListReceived(now time.Duration, kind ListKind, hosts []Host)
	// TransactionReceived accepts a transaction, which is owed one final answer within its budget.
	TransactionReceived(now time.Duration, id TxID, arrival Arrival)
	// HopEnded reports the one outcome of a hop; over says that the transaction has its final answer.
	HopEnded(now time.Duration, id TxID, hopIndex int, result HopResult, txAnswered bool)
	// HopBodySent reports that the last byte of a hop has gone whose transaction was taken while its body was coming: its times count
	// from now, and only from now on it is work for its host.
	HopBodySent(now time.Duration, id TxID, hopIndex int)
	// ResponseStarted reports that a streamed answer has begun: from here on the transaction is its host's.
	ResponseStarted(now time.Duration, id TxID, hopIndex int)
	// ClientLeft reports that nobody waits for a transaction any more.
	ClientLeft(now time.Duration, id TxID)
	// ProbeEnded brings the end of a probe: the load that the host reports, none where there is no answer.
	ProbeEnded(now time.Duration, host HostID, load LoadReport)
	// PeerMessageReceived brings what another gateway has told.
	PeerMessageReceived(now time.Duration, from int, entries []PeerEntry)
	// Reconfigure brings other rules. Profiles keep their places, new ones come behind them; what is open keeps its own.
	Reconfigure(now time.Duration, profiles []Profile, tenants []Tenant, coldRule ColdHostRule, drainRule DrainRule, hopRule HopRule, sources InformationSources,
		costModel CostModel)
	// AvoidedHosts tells how many hosts of the list get nothing new now; it changes nothing.
	AvoidedHosts() int
	// TimerFired reports that a timer set through Doer has fallen due.
	TimerFired(now time.Duration)
	// ExportLearned is what was learnt so far, for a process that replaces this one; it changes nothing.
	ExportLearned(now time.Duration) LearnedState
	// ImportLearned takes in what such a process had learnt so long ago, of the profiles, kinds and hosts that are known here.
	ImportLearned(now time.Duration, learned LearnedState, age time.Duration)
}

// LearnedState is what one process of a gateway can hand to the next. All spans are of time or from its own moment, as the clocks of two
// processes differ.
type LearnedState struct {
	Profiles      []LearnedProfile
	Kinds         []LearnedHostKind
	Hosts         []LearnedHost
	ErrorFraction SmoothedMean `json:"Errs"` // share of errors at all hosts
}

// SmoothedMean is a smoothed value and how many samples it trusts.
type SmoothedMean struct {
	Value   float64
	Samples float64 `json:"N"`
}

// LearnedProfile is a profile's time with a core free and the least of late, nanoseconds.
type LearnedProfile struct {
	Name                string
	ServiceTime         SmoothedMean `json:"Work"`
	LongTermServiceTime SmoothedMean `json:"Slow"`
	MinServiceTimeNs    float64      `json:"Free"`
}

// LearnedHostKind is what was learnt of the hosts of one kind: hops at work in a full one, hops held and utilisation as cores fill, pace.
type LearnedHostKind struct {
	Kind                 string
	Slots                SmoothedMean `json:"Places"`
	ServiceTimeRatio     SmoothedMean `json:"Pace"`
	MeanInFlight         SmoothedMean `json:"Usual"`
	UncrowdedInFlight    SmoothedMean `json:"Held"`
	UncrowdedUtilization SmoothedMean `json:"Busy"`
}

// LearnedHost is what was learnt of one host. Of one that has started since then nothing holds.
type LearnedHost struct {
	ID               HostID
	Uptime           time.Duration `json:"Up"` // since it started, below zero where that is not known
	Weight           float64
	ServiceTimeRatio SmoothedMean `json:"Pace"`
	Latency          SmoothedMean
	BreakerOpenFor   time.Duration `json:"Open"`  // for which its breaker for all profiles still bars it, 0 where that is closed
	BreakerCooldown  time.Duration `json:"Cool"`  // of the breaker's cooldown
	ErrorFraction    float64       `json:"Share"` // of errors there
}

// Executor is what a protocol does for the module.
type Executor interface {
	// SendHop sends the transaction to a host, for as long as wait; hops of a transaction count from 0.
	SendHop(id TxID, host HostID, timeout time.Duration)
	CallOff(id TxID, hopIndex int)
	// RollBack answers finally that nothing is left behind; the client may come back after the time given.
	RollBack(id TxID, retryAfter time.Duration)
	// Abandon answers finally and promises nothing.
	Abandon(id TxID)
	Probe(host HostID)
	// CloseIdleConnections closes the connections to a host on which nothing is out.
	CloseIdleConnections(host HostID)
	// SendPeerMessage tells another gateway, or all with -1, what is out at hosts.
	SendPeerMessage(to int, entries []PeerEntry)
	// RequestHostList asks for the list and for its changes from then on.
	RequestHostList()
	SetTimer(delay time.Duration)
	Log(line string)
}

// PeerEntry is what one gateway tells another.
type PeerEntry struct {
	Kind     PeerEntryKind
	Host     HostID
	InFlight int // out there; of an end, as many as were there when its hop was sent
	Profile  int
	Outcome  HopOutcome
	Latency  time.Duration // of a sum: what the first profile takes at that host when it is free
}

type PeerEntryKind int

const (
	EntryInFlight     PeerEntryKind = iota // hops that the gateway has out at the host
	EntryAggregate                         // hops of all gateways there
	EntryHopEnded                          // how one hop there ended
	EntryPickRequest                       // for a host for a transaction
	EntryPickResponse                      // the host, none where it is better rolled back
)

type ListKind int

const (
	ListChanges ListKind = iota
	ListComplete
	ListCached
	ListFailed
)

type HostState int

const (
	HostGone HostState = iota
	HostReady
	HostDraining
)

// Host is an entry of the list. Started is zero for a host that has run for long; Size is to be compared with other hosts' only,
// and Sources.Sizes says what it stands for.
type Host struct {
	ID           HostID
	Zone         string
	Kind         string
	Cell         int
	State        HostState
	CapacityHint float64
	StartedAt    time.Duration
}

type Effect int

const (
	Idempotent Effect = iota
	Journalled
	NonIdempotent
)

// DedupScope says which hosts drop a repeat of a journalled transaction.
type DedupScope int

const (
	DedupAllHosts DedupScope = iota
	DedupSameZone
	DedupSameCell
)

type Profile struct {
	Name                string
	Effect              Effect
	DedupScope          DedupScope
	DedupWindow         time.Duration // how long repeats are dropped, from the first hop that may have run
	ServiceGoal         time.Duration // service goal
	Revenue             float64
	LateRevenueFraction float64 // share of the revenue that an answer past the goal earns
	Removed             bool    // nothing new comes of it but what was on its way
}

// Tenant is a sharer of the service; Quota is in transactions a second over all gateways.
type Tenant struct {
	Name           string
	QuotaPerSecond float64
}

// Arrival describes a transaction taken. Profile and Tenant are places in the lists given at the start;
// Tenant is -1 where there is none.
type Arrival struct {
	ProfileIndex, TenantIndex int
	Budget                    time.Duration
	AffinityKey               uint32 // of work that hosts remember, 0 where they do not
	BodyPending               bool   // its body is to come yet: see Whole
}

type HopOutcome int

const (
	HopCommitted HopOutcome = iota
	HopError
	HopHostFull
	HopTimedOut
	HopNoConnection
	HopConnectionBroken
	HopCalledOff
	HopNotSent
)

// NeverRan tells whether the end of a hop proves that it had no effect.
func (e HopOutcome) NeverRan() bool {
	return e == HopHostFull || e == HopNoConnection || e == HopNotSent
}

// LoadReport is what a host reports of itself; a figure below zero was not reported.
type LoadReport struct{ InFlight, Queued, Utilization, RequestsPerSecond, LatencyMs float64 }

// NoLoadReport is a report without figures.
var NoLoadReport = LoadReport{-1, -1, -1, -1, -1}

// HopResult is how a hop ended.
type HopResult struct {
	Outcome HopOutcome
	Latency time.Duration
	Load    LoadReport
}

// Topology is where the gateway stands among the gateways and zones.
type Topology struct {
	GatewayCount int
	GatewayIndex int // its number among them
	Zone         string
	Zones        []string
}

// ColdHostRule bounds what a freshly started host may be sent.
type ColdHostRule struct {
	InitialCapacityFraction float64       // share of its capacity at which a host starts, at the least
	WarmUpDuration          time.Duration // by when it is warm, at the latest
	OverloadMultiple        float64       // of its present capacity, which over TipAfter pushes it over
	OverloadDuration        time.Duration
	StartTimeTolerance      time.Duration // by which the told time of a start may be off, in either direction
	PredecessorActiveUntil  time.Duration // until when the process that this one replaces may spend of the budget too
}

// HopRule bounds what one transaction may use.
type HopRule struct {
	MaxHops              int
	CallOff              bool
	MaxRetryAfter        time.Duration // the longest time to come back that clients keep to, 0 where they are told none
	BudgetTolerance      time.Duration // by which the told budget of a transaction may be off, in either direction
	MaxBufferedResponses int           // answers that are held while their clients read them, 0 where nothing bounds them
	RetryBudget          RetryBudget
}

// RetryBudget bounds the hops of one gateway beyond each transaction's first: within any Span, which is 0 where nothing is stated, Free
// and Share of the transactions taken in it.
type RetryBudget struct {
	BaseRetries           float64
	RetriesPerTransaction float64
	Window                time.Duration
}

// DrainRule says what holds beside the grace, in which this module never sends.
type DrainRule struct {
	CloseIdleConnections bool // idle connections to a draining host are closed: at once, so within any time that is stated
	AllowGoneHosts       bool // a host that is merely gone, and never was told to drain, may be sent to
}

// CapacityHintKind says what the list's sizes stand for.
type CapacityHintKind int

const (
	NoCapacityHints CapacityHintKind = iota
	NominalCapacity                  // what the host can do, about
	LiveCapacity                     // the same, over one more than it holds for each core, as of some time earlier
)

// InformationSources says what a gateway learns beside the outcomes of its own hops.
type InformationSources struct {
	ProbesReportLoad        bool // hosts report their load when probed
	ResponsesReportInFlight bool // answers say what a host holds and how busy it is
	ExtraProbesAllowed      bool // hosts that report in answers may be probed besides
	PeersShareInFlight      bool // gateways tell each other what they have out
	ResponsesReportLoad     bool // answers say how hosts are loaded
	CapacityHints           CapacityHintKind
	MaxListPollInterval     time.Duration // how long it may go without asking for the list, 0 where changes come by themselves
}

// CostModel says what costs revenue beside the transaction's own.
type CostModel struct {
	CrossZoneHop      float64 // a hop into another zone, as a share of the mean revenue of a transaction
	RevenueByWork     bool    // revenue is counted for each unit of work
	OpenConnections   bool    // open ones cost by themselves
	MissedGoals       bool    // missed goals are counted by themselves; early rollbacks are not among them
	AvailabilityNines float64 // tenfold steps below all in which the unserved share counts, rollbacks too; 0 where it does not
}
