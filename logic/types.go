// Package logic is the decision core of the load balancer. For one gateway it decides which host each transaction
// is sent to, whether a failed hop is retried, and how the transaction ends. It has no I/O, clock or goroutines: the
// caller passes in events and the current time through Core and carries out the decisions through Executor.
//
// types.go holds these interfaces and the data that they exchange, logic.go and the files named for what they decide the
// decisions, state.go what is stored and how it is updated.
package logic

import "time"

type (
	// TxID identifies a transaction while it is open.
	TxID uint64
	// HostID identifies a host for as long as it is listed. 0 means no host.
	HostID uint32
)

// Core receives every event that a gateway's decisions depend on. In all methods now is the time since the process
// started. Decisions are passed to the Executor before the method returns. Core isn't safe for concurrent use.
type Core interface {
	// HostListReceived applies a host list, or the changes to it. It doesn't retain hosts. With ListFailed, which
	// reports that the request for the list failed, hosts is empty.
	HostListReceived(now time.Duration, kind ListKind, hosts []Host)
	// TransactionReceived accepts a transaction. It gets exactly one final answer within its budget.
	TransactionReceived(now time.Duration, id TxID, arrival Arrival)
	// HopEnded reports the outcome of a hop, exactly once per hop. txAnswered reports whether the transaction
	// has its final answer.
	HopEnded(now time.Duration, id TxID, hopIndex int, result HopResult, txAnswered bool)
	// HopBodySent reports that the last byte of a hop's request has been sent, for a transaction that arrived with
	// its body pending. The hop's times are measured from now, and only from now on does it count as load on its host.
	HopBodySent(now time.Duration, id TxID, hopIndex int)
	// ResponseStarted reports that a streamed response has started. From then on the transaction can't be sent to
	// another host.
	ResponseStarted(now time.Duration, id TxID, hopIndex int)
	// ClientLeft reports that the client no longer waits for a transaction.
	ClientLeft(now time.Duration, id TxID)
	// ProbeEnded reports the result of a probe: the load that the host reported, or NoLoadReport if it didn't answer.
	ProbeEnded(now time.Duration, host HostID, load LoadReport)
	// PeerMessageReceived handles the entries of a message from the peer gateway with the index from.
	PeerMessageReceived(now time.Duration, from int, entries []PeerEntry)
	// Reconfigure replaces the configuration. Existing profiles keep their indexes and new ones are appended. Open
	// transactions keep the profile and the hop limit that they started with.
	Reconfigure(now time.Duration, profiles []Profile, tenants []Tenant, coldRule ColdHostRule, drainRule DrainRule,
		hopRule HopRule, sources InformationSources, costModel CostModel)
	// AvoidedHosts returns the number of listed hosts that get no new transactions. It changes no state.
	AvoidedHosts() int
	// TimerFired reports that a timer set through Executor.SetTimer has expired.
	TimerFired(now time.Duration)
	// ExportLearned returns what this process has learned, for the process that replaces it. It changes no state.
	ExportLearned(now time.Duration) LearnedState
	// ImportLearned takes over what a previous process exported age ago, for the profiles, kinds and hosts that are
	// known here.
	ImportLearned(now time.Duration, learned LearnedState, age time.Duration)
}

// LearnedState is what one process of a gateway hands to the process that replaces it, as JSON. All times in it are
// durations, or relative to the moment of the export, because the clocks of the two processes differ.
type LearnedState struct {
	Profiles      []LearnedProfile
	Kinds         []LearnedHostKind
	Hosts         []LearnedHost
	ErrorFraction SmoothedMean `json:"Errs"` // over all hosts
}

// SmoothedMean is an exponentially weighted moving average and the number of samples behind it.
type SmoothedMean struct {
	Value   float64
	Samples float64 `json:"N"`
}

// LearnedProfile holds the service times of one profile in nanoseconds: a hop's time at a host of average speed with
// a free core.
type LearnedProfile struct {
	Name                string
	ServiceTime         SmoothedMean `json:"Work"`
	LongTermServiceTime SmoothedMean `json:"Slow"` // the same, averaged over far more responses
	MinServiceTimeNs    float64      `json:"Free"` // recent minimum, as when hosts are idle
}

// LearnedHostKind is what the hosts of one kind have in common.
type LearnedHostKind struct {
	Kind               string
	Slots              SmoothedMean `json:"Places"` // hops that a fully loaded host works on at once
	ServiceTimeRatio   SmoothedMean `json:"Pace"`   // hop time relative to the usual one; above 1 is slower
	MeanInFlight       SmoothedMean `json:"Usual"`
	LowLoadInFlight    SmoothedMean `json:"Held"` // in-flight count at hosts with free cores
	LowLoadUtilization SmoothedMean `json:"Busy"` // utilization of the same hosts
}

// LearnedHost is what was learned of one host. It no longer applies to a host that has restarted since.
type LearnedHost struct {
	ID               HostID
	Uptime           time.Duration `json:"Up"` // negative if the start time is unknown
	Weight           float64
	ServiceTimeRatio SmoothedMean `json:"Pace"`
	Latency          SmoothedMean
	BreakerOpenFor   time.Duration `json:"Open"`  // remaining time of the breaker for all profiles, 0 if it is closed
	BreakerCooldown  time.Duration `json:"Cool"`  // current cooldown of that breaker
	ErrorFraction    float64       `json:"Share"` // of the hops to this host
}

// Executor carries out the decisions of a Core.
type Executor interface {
	// SendHop sends the transaction to a host within limits. The hops of a transaction are numbered from 0.
	SendHop(id TxID, host HostID, limits HopLimits)
	// CallOff cancels a hop. Its end is still reported through Core.HopEnded.
	CallOff(id TxID, hopIndex int)
	// RollBack sends the final answer that the transaction had no lasting effect. The client may retry after
	// retryAfter.
	RollBack(id TxID, retryAfter time.Duration)
	// Abandon sends the final answer that the outcome of the transaction is unknown.
	Abandon(id TxID)
	// Probe asks a host for its load. The result is reported through Core.ProbeEnded.
	Probe(host HostID)
	// CloseIdleConnections closes the connections to a host that have no hop in flight.
	CloseIdleConnections(host HostID)
	// SendPeerMessage sends entries to the peer gateway with the index to, or to all peers if to is -1.
	SendPeerMessage(to int, entries []PeerEntry)
	// RequestHostList requests the host list and, from then on, its changes.
	RequestHostList()
	// SetTimer calls Core.TimerFired after delay.
	SetTimer(delay time.Duration)
	// Log writes one line to the gateway's log.
	Log(line string)
}

// HopLimits bounds a hop in time, from the moment in which it is sent.
type HopLimits struct {
	// Timeout is for the outcome. For a request whose body is pending it counts from the last byte of that.
	Timeout time.Duration
	// DeliverWithin is for the last byte of a repeat to reach its host, 0 if the hop is no repeat. A host that gets it
	// later may no longer drop it.
	DeliverWithin time.Duration
}

// PeerEntry is one item of a message between gateways. Which fields are used, and how, depends on Kind.
type PeerEntry struct {
	Kind     PeerEntryKind
	Host     HostID
	InFlight int // hops at Host, with EntryHopEnded as of when the hop was sent; with EntryPickRequest the zone's index
	Profile  int // index of the profile, for EntryHopEnded and the pick entries
	Outcome  HopOutcome
	Latency  time.Duration // of the ended hop; with EntryAggregate what a hop of profile 0 takes at Host when it is idle
}

// PeerEntryKind is the type of a PeerEntry. The values are sent over the wire.
type PeerEntryKind int

const (
	EntryInFlight     PeerEntryKind = iota // hops that the sender has in flight at the host
	EntryAggregate                         // hops of all gateways at the host, from its zone's coordinator
	EntryHopEnded                          // outcome of one hop of the sender
	EntryPickRequest                       // asks the zone's coordinator for a host for one transaction
	EntryPickResponse                      // the host picked, 0 if the transaction should be rolled back
)

// ListKind specifies how a host list is to be applied.
type ListKind int

const (
	ListChanges  ListKind = iota // only the hosts that changed, including those that are gone
	ListComplete                 // all hosts; those not in it are gone
	ListCached                   // a complete list that may be old, such as one known before discovery has answered
	ListFailed                   // no list: the request for it failed
)

// HostState is the state of a host in discovery.
type HostState uint8

const (
	HostGone HostState = iota
	HostReady
	HostDraining
)

// Host is an entry of the host list.
type Host struct {
	ID           HostID
	SupersededBy HostID // the host that has started at its address since, see AddressTable; State is HostGone then
	Zone         string
	Kind         string // hosts of the same kind are expected to perform alike
	Cell         int
	State        HostState

	// A host of another zone, or cell, may be at its address in its place; see AddressTable.
	ZoneUncertain, CellUncertain bool

	CapacityHint float64       // relative to other hosts only; see InformationSources.CapacityHints
	StartedAt    time.Duration // 0 if the host has been running for long
}

// Effect specifies whether a transaction may run more than once.
type Effect int

const (
	Idempotent    Effect = iota
	Deduplicated         // hosts drop repeats, within Profile.DedupScope and Profile.DedupWindow
	NonIdempotent        // must not run twice
)

// DedupScope specifies which hosts drop a repeat of a deduplicated transaction.
type DedupScope int

const (
	DedupAllHosts DedupScope = iota
	DedupSameZone            // hosts in the zone of the host that it first ran on
	DedupSameCell            // hosts in the cell of the host that it first ran on
)

// Profile describes a class of transactions.
type Profile struct {
	Name                string
	Effect              Effect
	DedupScope          DedupScope
	DedupWindow         time.Duration // how long repeats are dropped, from the first hop that may have run
	ServiceGoal         time.Duration
	Revenue             float64 // of one transaction
	LateRevenueFraction float64 // fraction of Revenue earned by an answer that misses ServiceGoal
	Removed             bool    // no longer configured: only transactions that were already on their way still arrive
}

// Tenant is one of the parties that share the service.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // transactions, over all gateways
}

// Arrival describes a transaction received from a client.
type Arrival struct {
	ProfileIndex, TenantIndex int           // TenantIndex is -1 if the transaction belongs to no tenant
	Budget                    time.Duration // until its deadline
	AffinityKey               uint32        // identifies work that hosts cache, 0 if they don't
	BodyPending               bool          // the request body hasn't been received yet; see Core.HopBodySent
}

// HopOutcome is how a hop ended. The values are sent over the wire.
type HopOutcome int

const (
	HopCommitted        HopOutcome = iota
	HopError                       // the host answered with an error
	HopHostFull                    // the host rejected it without running it
	HopTimedOut                    // no answer within the timeout
	HopNoConnection                // no connection to the host, so nothing was sent
	HopConnectionBroken            // the connection failed after the hop was sent
	HopCalledOff
	HopNotRun // not sent, or declined in a way that says nothing about the host
)

// NeverRan reports whether a hop with this outcome is known to have had no effect.
func (o HopOutcome) NeverRan() bool {
	return o == HopHostFull || o == HopNoConnection || o == HopNotRun
}

// LoadReport is the load that a host reports of itself. Negative values were not reported.
type LoadReport struct{ InFlight, Queued, Utilization, RequestsPerSecond, LatencyMs float64 }

// NoLoadReport is a report without any values.
var NoLoadReport = LoadReport{-1, -1, -1, -1, -1}

// HopResult is how a hop ended.
type HopResult struct {
	Outcome HopOutcome
	Latency time.Duration
	Load    LoadReport
}

// Topology is the position of this gateway among the gateways and zones.
type Topology struct {
	GatewayCount int
	GatewayIndex int // of this gateway, from 0
	Zone         string
	Zones        []string
}

// ColdHostRule bounds the load on a recently started host.
type ColdHostRule struct {
	InitialCapacityFraction float64       // fraction of its full capacity that a host has at least when it starts
	WarmUpDuration          time.Duration // after which it has its full capacity at the latest
	OverloadMultiple        float64       // load, as a multiple of its current capacity, that overloads it ...
	OverloadDuration        time.Duration // ... if it lasts longer than this
	StartTimeTolerance      time.Duration // maximum error of the reported start time, in either direction
	PredecessorActiveUntil  time.Duration // until when the process that this one replaces also uses the cold host budget
}

// HopRule bounds what one transaction may use.
type HopRule struct {
	MaxHops              int
	CallOffAllowed       bool          // hops may be called off
	MaxRetryAfter        time.Duration // longest retry delay that clients follow, 0 if they are given none
	BudgetTolerance      time.Duration // maximum error of a transaction's stated budget, in either direction
	MaxBufferedResponses int           // responses buffered while their clients read them, 0 for no limit
	RetryBudget          RetryBudget
}

// RetryBudget limits the further hops of one gateway. In any Window there may be at most BaseRetries plus
// RetriesPerTransaction for each transaction received in it. Window is 0 if no budget is configured.
type RetryBudget struct {
	BaseRetries           float64
	RetriesPerTransaction float64
	Window                time.Duration
}

// DrainRule specifies how to treat draining hosts and hosts that are gone from the list. Whatever it specifies,
// nothing is sent to them during the drain grace.
type DrainRule struct {
	CloseIdleConnections bool // close idle connections to a draining host: immediately, so within any configured limit
	AllowGoneHosts       bool // hosts that left the list without draining may still be sent to
}

// CapacityHintKind specifies what the capacity hints in the host list measure.
type CapacityHintKind int

const (
	NoCapacityHints CapacityHintKind = iota
	NominalCapacity                  // approximate capacity of the host
	LiveCapacity                     // nominal capacity divided by 1 + in-flight hops per core, as of some time ago
)

// InformationSources specifies what a gateway learns besides the outcomes of its own hops.
type InformationSources struct {
	ProbesReportLoad        bool // hosts report their load when probed
	ResponsesReportInFlight bool // responses carry the host's in-flight count and utilization
	ExtraProbesAllowed      bool // hosts that report in responses may be probed as well
	PeersShareInFlight      bool // gateways send each other their in-flight counts
	ResponsesReportLoad     bool // responses carry the host's load
	CapacityHints           CapacityHintKind
	MaxListPollInterval     time.Duration // longest time between requests for the list, 0 if changes are pushed
}

// CostModel specifies what costs revenue, besides the revenue that the transactions themselves earn or miss.
type CostModel struct {
	CrossZoneHop    float64 // cost of a hop into another zone, as a fraction of the mean revenue of a transaction
	RevenueByWork   bool    // Profile.Revenue is per unit of work
	OpenConnections bool    // each open connection costs
	MissedGoals     bool    // missed service goals cost extra; transactions rolled back early don't count as missed

	// AvailabilityNines is set if the fraction of unserved transactions, rollbacks included, costs revenue by its power
	// of ten, and is the number of powers that count: with 3 it costs least at 0.001 and below. Otherwise it is 0.
	AvailabilityNines float64
}
