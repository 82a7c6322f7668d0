package logic

// The state of a Balancer: the host table, health and breakers of each host, tenant shares, retry counts, timers and
// open transactions, with the methods that keep them. The decisions that are made from it are in logic.go.

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"
	"time"
)

// Balancer makes the decisions of one gateway and implements Core. Each of its parts owns its state: the host table, the
// health of each host, tenant admission, and the hops of each transaction. It is not safe for concurrent use.
type Balancer struct {
	executor  Executor
	topology  Topology
	profiles  []Profile
	hopRule   HopRule
	sources   InformationSources
	costModel CostModel
	coldRule  ColdHostRule
	drainRule DrainRule
	hosts     hostTable
	admission tenantAdmission
	txs       map[TxID]*tx // open transactions

	now    time.Duration // time of the current call
	timers timerQueue
	random randomSource

	serviceTime         []movingAverage // by profile: time of a hop, in ns, at a host of ratio 1 with a free core
	longTermServiceTime []movingAverage // the same, smoothed over far more answers
	minServiceTime      []float64       // by profile: least recent service time, in ns, as when hosts are idle
	previousSamples     []float64       // by profile: number of samples in serviceTime at the last periodic update
	retryUsage          []retryUsage    // by profile
	lastAnsweredAt      []time.Duration // by profile: when a hop last succeeded
	slowReaders         int             // transactions whose clients read their answers slowly
	errorFraction       movingAverage   // of the hops at all hosts
	meanServiceTime     movingAverage   // mean of serviceTime over the transactions received, in ns
	meanRevenue         movingAverage   // of the transactions received
	recentArrivals      float64         // transactions received recently, decayed each second
	recentAdmitted      float64         // those of them that were sent to a host
	shedThisSecond      int             // transactions rejected on arrival in the current second
	lastRejection       rejection       // why the last transaction for which no host was picked got none
	lastShed            rejection       // why the last transaction was rejected on arrival
	arrivalsThisSecond  float64         // transactions received in the current second
	arrivalRate         movingAverage   // transactions per second
	linkSuspectedAt     time.Duration   // when a new connection last failed, or a hop on an idle one had no answer
	lastStallEnd        time.Duration   // when the last stall of this process ended
	probeTokens         float64         // probes that may be sent now to hosts whose reports are old

	unsentHosts                []*host        // hosts whose state is due to be sent to peers
	coordinating               bool           // has answered a pick request, and sends aggregates since then
	pendingPicks               []*pendingPick // pick requests without a response yet
	remotePickLatency          movingAverage  // in ns, from a pick request to its response or timeout
	consecutiveUnansweredPicks int            // pick requests in a row without a response
	lastPickRequestAt          time.Duration
}

// pendingPick is a remote pick request that was sent to a zone coordinator and has no response yet.
type pendingPick struct {
	tx      *tx
	sentAt  time.Duration
	txWaits bool // the transaction waits for the response; otherwise it was started without it
}

// New returns the Balancer of one gateway. All of its random choices derive from seed.
func New(executor Executor, now time.Duration, seed uint64, topology Topology, profiles []Profile, tenants []Tenant,
	coldRule ColdHostRule, drainRule DrainRule, hopRule HopRule, sources InformationSources, costModel CostModel) *Balancer {
	b := &Balancer{executor: executor, now: now, topology: topology, profiles: profiles, hopRule: hopRule, sources: sources,
		costModel: costModel, coldRule: coldRule, drainRule: drainRule,
		random: randomSource{seed: crc32.ChecksumIEEE(binary.LittleEndian.AppendUint64(nil, seed))}, txs: map[TxID]*tx{},
		serviceTime: make([]movingAverage, len(profiles)), longTermServiceTime: make([]movingAverage, len(profiles)),
		minServiceTime: make([]float64, len(profiles)), previousSamples: make([]float64, len(profiles)),
		retryUsage:     make([]retryUsage, len(profiles)),
		lastAnsweredAt: make([]time.Duration, len(profiles)),
		errorFraction:  movingAverage{samples: 1 / mediumTermSmoothing}, // starts at 0, with the weight of a settled mean
		hosts:          hostTable{byID: map[HostID]*host{}, kinds: map[string]*kindStats{}}}
	if costModel.OpenConnections || b.hasNoLoadInfo() { // one subset common to all gateways would be overloaded
		b.hosts.rankSeed = crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(nil, uint32(topology.GatewayIndex))) | 1
	}
	b.hosts.addGroups(topology)
	for _, t := range tenants {
		b.admission.tenants = append(b.admission.tenants, tenant{name: t.Name, quota: t.QuotaPerSecond})
	}
	for i, p := range profiles {
		b.serviceTime[i].value = initialServiceTimeGoalFraction * float64(p.ServiceGoal)
		b.minServiceTime[i] = b.serviceTime[i].value
	}
	b.schedule(now+time.Duration(b.random.uniform()*float64(time.Second)), b.everySecond)
	if sources.MaxListPollInterval > 0 {
		b.schedule(now+b.randomListDelay(requestRetryDelay), executor.RequestHostList)
	}
	return b
}

// Reconfigure replaces the rules. Open transactions keep the profile and the maximum number of hops with which they were
// received. A new profile begins with what was learned of the last one of the same name.
func (b *Balancer) Reconfigure(now time.Duration, profiles []Profile, tenants []Tenant, coldRule ColdHostRule, drainRule DrainRule,
	hopRule HopRule, sources InformationSources, costModel CostModel) {
	b.beginCall(now)
	for i := len(b.profiles); i < len(profiles); i++ {
		serviceTime := movingAverage{value: initialServiceTimeGoalFraction * float64(profiles[i].ServiceGoal)}
		longTerm, minTime, sameNameIndex := movingAverage{}, serviceTime.value, -1
		for j := range b.profiles {
			if b.profiles[j].Name == profiles[i].Name {
				serviceTime, longTerm, minTime, sameNameIndex = b.serviceTime[j], b.longTermServiceTime[j], b.minServiceTime[j], j
			}
		}
		b.serviceTime, b.longTermServiceTime, b.minServiceTime =
			append(b.serviceTime, serviceTime), append(b.longTermServiceTime, longTerm), append(b.minServiceTime, minTime)
		b.previousSamples, b.retryUsage, b.lastAnsweredAt =
			append(b.previousSamples, serviceTime.samples), append(b.retryUsage, retryUsage{}), append(b.lastAnsweredAt, 0)
		for _, h := range b.hosts.byID { // the order does not matter: each host gets a breaker of its own
			br := breaker{}
			if sameNameIndex >= 0 {
				br = h.profileBreakers[sameNameIndex]
			}
			h.profileBreakers = append(h.profileBreakers, br)
		}
	}
	for i := range b.retryUsage {
		// Under a new window the transactions received so far earn no retries, while the retries made still count.
		if hopRule.RetryBudget.Window != b.hopRule.RetryBudget.Window {
			b.retryUsage[i].transactions = slidingWindow{}
		}
	}
	oldTenants := b.admission.tenants
	b.admission.tenants = nil
	for _, t := range tenants {
		carried := tenant{name: t.Name}
		if i := slices.IndexFunc(oldTenants, func(old tenant) bool { return old.name == t.Name }); i >= 0 {
			carried = oldTenants[i]
		}
		carried.quota = t.QuotaPerSecond
		b.admission.tenants = append(b.admission.tenants, carried)
	}
	coldRule.PredecessorActiveUntil = b.coldRule.PredecessorActiveUntil
	b.profiles, b.coldRule, b.drainRule, b.hopRule, b.sources, b.costModel =
		profiles, coldRule, drainRule, hopRule, sources, costModel
}

// ExportLearned returns what was learned so far, for ImportLearned of the process that replaces this one.
func (b *Balancer) ExportLearned(now time.Duration) LearnedState {
	learned := LearnedState{ErrorFraction: b.errorFraction.export()}
	for i, p := range b.profiles {
		if !p.Removed && b.serviceTime[i].samples > 0 {
			learned.Profiles = append(learned.Profiles, LearnedProfile{Name: p.Name, ServiceTime: b.serviceTime[i].export(),
				LongTermServiceTime: b.longTermServiceTime[i].export(), MinServiceTimeNs: b.minServiceTime[i]})
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(b.hosts.kinds)) {
		stats := b.hosts.kinds[kind]
		learned.Kinds = append(learned.Kinds, LearnedHostKind{kind, stats.slots.export(), stats.serviceTimeRatio.export(),
			stats.meanInFlight.export(), stats.lowLoadInFlight.export(), stats.lowLoadUtilization.export()})
	}
	for _, h := range b.hosts.ready {
		entry := LearnedHost{ID: h.ID, Uptime: ternary(h.StartedAt == 0, -1, now-h.StartedAt), Weight: h.weight,
			ServiceTimeRatio: h.serviceTimeRatio.export(), Latency: h.latency.export(),
			BreakerCooldown: h.hostBreaker.cooldown, ErrorFraction: h.hostBreaker.errorFraction}
		if h.hostBreaker.open {
			entry.BreakerOpenFor = max(1, h.hostBreaker.nextTrialAt-now)
		}
		learned.Hosts = append(learned.Hosts, entry)
	}
	return learned
}

// ImportLearned takes over what a process had learned age ago. Values of profiles and host kinds count at any age, those
// of single hosts no longer than observationTTL. What this process has learned by itself stays.
func (b *Balancer) ImportLearned(now time.Duration, learned LearnedState, age time.Duration) {
	b.beginCall(now)
	for _, p := range learned.Profiles {
		i := slices.IndexFunc(b.profiles, func(known Profile) bool { return known.Name == p.Name && !known.Removed })
		if i >= 0 && b.serviceTime[i].samples == 0 && p.ServiceTime.Value > 0 && p.MinServiceTimeNs > 0 {
			b.serviceTime[i], b.longTermServiceTime[i], b.minServiceTime[i], b.previousSamples[i] =
				p.ServiceTime.movingAverage(), p.LongTermServiceTime.movingAverage(), p.MinServiceTimeNs, p.ServiceTime.Samples
		}
	}
	for _, entry := range learned.Kinds {
		if stats := b.hosts.kinds[entry.Kind]; stats != nil && stats.slots.samples == 0 && stats.serviceTimeRatio.samples == 0 {
			stats.slots, stats.serviceTimeRatio, stats.meanInFlight, stats.lowLoadInFlight, stats.lowLoadUtilization =
				entry.Slots.movingAverage(), entry.ServiceTimeRatio.movingAverage(), entry.MeanInFlight.movingAverage(),
				entry.LowLoadInFlight.movingAverage(), entry.LowLoadUtilization.movingAverage()
		}
	}
	if age > observationTTL {
		return
	}
	b.errorFraction = learned.ErrorFraction.movingAverage()
	for _, entry := range learned.Hosts {
		h := b.hosts.readyHost(entry.ID)
		if h == nil || h.latency.samples > 0 || entry.Uptime >= 0 && (now-h.StartedAt-entry.Uptime-age).Abs() > maxStartTimeSkew ||
			(entry.Uptime < 0) != (h.StartedAt == 0) {
			continue
		}
		h.weight, h.serviceTimeRatio, h.latency, h.serviceTimeRatioAt =
			entry.Weight, entry.ServiceTimeRatio.movingAverage(), entry.Latency.movingAverage(), now
		h.hostBreaker.errorFraction, h.hostBreaker.cooldown = entry.ErrorFraction, entry.BreakerCooldown
		if entry.BreakerOpenFor > age {
			h.hostBreaker.open, h.hostBreaker.nextTrialAt = true, now+entry.BreakerOpenFor-age
		}
	}
}

// markUnsent schedules the state of a host for sending to peers, in one message with all that changes within
// peerMessageDelay. It does nothing if h is nil.
func (b *Balancer) markUnsent(h *host) {
	if b.sources.PeersShareInFlight && h != nil && !h.unsent {
		h.unsent = true
		if b.unsentHosts = append(b.unsentHosts, h); len(b.unsentHosts) == 1 {
			b.schedule(b.now+peerMessageDelay, b.sendPeerMessages)
		}
	}
}

// markForResend schedules the in-flight count of a host for sending once more, as messages may be lost.
func (b *Balancer) markForResend(h *host) {
	if h.ownInFlight > 0 || h.resend {
		b.markUnsent(h)
	}
	h.resend = false
}

// closeIdleConnections closes the connections to a host that has had no hop for longer than idleFor, where open
// connections have a cost.
func (b *Balancer) closeIdleConnections(h *host, idleFor time.Duration) {
	if b.costModel.OpenConnections && h.lastUsedAt > 0 && h.ownInFlight == 0 && b.now-h.lastUsedAt > idleFor {
		h.lastUsedAt = 0
		b.executor.CloseIdleConnections(h.ID)
	}
}

// logShed logs how many transactions were rejected on arrival within the last second.
func (b *Balancer) logShed() {
	if b.shedThisSecond > 0 {
		b.executor.Log(fmt.Sprintf("%d transactions rejected on arrival in the last second, the last: %v",
			b.shedThisSecond, b.lastShed))
	}
	b.shedThisSecond = 0
}

// callOffAfter calls a hop off after delay, unless it or its transaction has ended by then.
func (b *Balancer) callOffAfter(delay time.Duration, t *tx, hopIndex int) {
	b.schedule(b.now+delay, func() {
		if !t.done && !t.hops[hopIndex].ended {
			b.executor.CallOff(t.id, hopIndex)
		}
	})
}

// sendPeerMessages sends what is new about hosts to the coordinators of their zones, or to all gateways where there are
// none.
func (b *Balancer) sendPeerMessages() {
	for _, g := range b.hosts.groups {
		if entries := unsentEntries(b.unsentHosts, g); len(entries) > 0 && b.coordinatorOf(g) != b.topology.GatewayIndex {
			b.executor.SendPeerMessage(b.coordinatorOf(g), entries)
		}
	}
	b.unsentHosts = b.unsentHosts[:0]
}

// sendAggregates sends the coordinators of the other zones, every aggregateInterval, how many hops of all gateways are
// in flight at the hosts that this gateway picks, and the time that the first profile takes there without queueing. Each
// message counts as unanswered until an aggregate comes back, so that a coordinator that sends none for observationTTL
// is given up.
func (b *Balancer) sendAggregates() {
	b.schedule(b.now+aggregateInterval, b.sendAggregates)
	var aggregates []PeerEntry
	for _, h := range b.hosts.ready {
		if b.picksFor(h.group) && !h.hostBreaker.open && !b.unresponsive(h) {
			baseLatency := time.Duration(h.boundedServiceTimeRatio() * b.serviceTime[0].value)
			aggregates = append(aggregates, PeerEntry{Kind: EntryAggregate, Host: h.ID, InFlight: h.ownInFlight + h.peersInFlight,
				Latency: baseLatency})
		}
	}
	for _, g := range b.hosts.groups {
		if !b.picksFor(g) {
			b.executor.SendPeerMessage(b.coordinatorOf(g), aggregates)
			g.recordUnanswered(1, int(observationTTL/aggregateInterval))
		}
	}
}

// Peer messages. Where there are few gateways, each sends all others its in-flight counts. One of many seldom sends two
// hops to the same host, so one gateway of each zone, the zone coordinator, picks for all: it gets a pick request for
// each transaction and receives the outcomes of hops. A gateway without a response picks by itself.

// coordinatorOf returns the index of the gateway that picks the hosts of a zone, -1 where each gateway picks by itself.
func (b *Balancer) coordinatorOf(g *zoneGroup) int {
	if !b.sources.PeersShareInFlight || b.topology.GatewayCount <= maxIndependentGateways {
		return -1
	}
	return (g.index + g.skippedCoordinators*len(b.hosts.groups)) % b.topology.GatewayCount
}

// picksFor reports whether this gateway picks the hosts of a zone without a request to another.
func (b *Balancer) picksFor(g *zoneGroup) bool {
	return b.coordinatorOf(g) < 0 || b.coordinatorOf(g) == b.topology.GatewayIndex
}

// requestRemotePick asks the coordinator of the transaction's zone for a host. The transaction waits for the response
// only while responses come soon enough to be worth it. Otherwise the gateway picks at once from what it knows, and
// sends one request per requestRetryDelay without waiting, to learn whether that has changed. It does the same when
// several coordinators in a row have not responded: then the messages of this gateway, or of all, are probably lost.
func (b *Balancer) requestRemotePick(t *tx) {
	txWaits := b.remotePickWorthwhile(t) && b.consecutiveUnansweredPicks < unansweredPicksToSuspectIsolation
	if !txWaits && b.now-b.lastPickRequestAt < requestRetryDelay {
		b.startTransaction(t)
		return
	}
	b.lastPickRequestAt = b.now
	pending := &pendingPick{t, b.now, txWaits}
	b.pendingPicks = append(b.pendingPicks, pending)
	b.executor.SendPeerMessage(b.coordinatorOf(t.homeGroup),
		[]PeerEntry{{Kind: EntryPickRequest, Profile: t.profile, InFlight: t.homeGroup.index}})
	b.schedule(b.now+min(remotePickTimeout, (t.deadline-b.now)/2), func() { b.remotePickTimedOut(pending) })
	if !txWaits {
		b.startTransaction(t)
	}
}

// remotePickTimedOut ends a pick request unless its response has come. After several such requests in a row it goes on
// to the next coordinator.
func (b *Balancer) remotePickTimedOut(pending *pendingPick) {
	i := slices.Index(b.pendingPicks, pending)
	if i < 0 {
		return
	}
	b.pendingPicks = slices.Delete(b.pendingPicks, i, i+1)
	b.remotePickLatency.add(float64(b.now-pending.sentAt), rateSmoothing)
	home, missed := pending.tx.homeGroup, 1
	// A request that no transaction waits for counts several times, as it is the only one of its second.
	if !pending.txWaits && b.consecutiveUnansweredPicks < unansweredPicksToSuspectIsolation {
		missed = consecutiveFailuresToOpen
	}
	home.recordUnanswered(missed, ternary(b.consecutiveUnansweredPicks < unansweredPicksToSuspectIsolation,
		consecutiveFailuresToOpen, 2*consecutiveFailuresToOpen))
	before := b.consecutiveUnansweredPicks
	// Back to the first coordinator, so that all gateways use the same one once messages get through again.
	if b.consecutiveUnansweredPicks += missed; before < unansweredPicksToSuspectIsolation &&
		b.consecutiveUnansweredPicks >= unansweredPicksToSuspectIsolation {
		home.skippedCoordinators, home.consecutiveUnanswered = 0, 0
	}
	if pending.txWaits {
		b.startTransaction(pending.tx)
	}
}

// remotePickAnswered ends a pick request. A transaction that waits for it goes to the host picked, is rejected where the
// coordinator picked none, and is started without the response where that host is no longer usable.
func (b *Balancer) remotePickAnswered(from int, response PeerEntry, h *host) {
	b.hosts.ownGroup().consecutiveUnanswered, b.consecutiveUnansweredPicks = 0, 0
	b.markUnsent(h) // otherwise a pick that came too late, or is not used, would stay counted as in flight
	pending := b.takePendingPick(response.Profile)
	if pending == nil {
		return
	}
	b.remotePickLatency.add(float64(b.now-pending.sentAt), rateSmoothing)
	switch t := pending.tx; {
	case !pending.txWaits || t.done:
	case response.Host == 0:
		b.lastRejection = rejection{reason: rejectedByCoordinator, profile: t.profileConfig.Name}
		b.shed(t)
	case h != nil && t.mayRunOn(h, b.now) && b.withinColdBudget(h, t.profile):
		if !b.picksFor(h.group) { // where it does, its own counts are better
			h.setPeerInFlight(from, max(0, response.InFlight-h.ownInFlight), b.now)
		}
		b.sendHop(t, h)
	default:
		b.startTransaction(t)
	}
}

// PeerMessageReceived processes the entries of a message in order.
func (b *Balancer) PeerMessageReceived(now time.Duration, from int, entries []PeerEntry) {
	b.beginCall(now)
	for _, entry := range entries {
		switch h := b.hosts.readyHost(entry.Host); {
		case entry.Kind == EntryPickResponse:
			b.remotePickAnswered(from, entry, h)
		case entry.Kind == EntryPickRequest:
			b.answerPickRequest(from, entry)
		case h == nil:
		case entry.Kind == EntryHopEnded:
			b.recordOutcome(h, float64(max(1, entry.InFlight)), entry.Profile, HopResult{entry.Outcome, entry.Latency, NoLoadReport})
		default:
			if entry.Kind == EntryAggregate && entry.Latency > 0 { // a latency of 0 would make it look infinitely fast
				h.serviceTimeRatio.value, h.group.consecutiveUnanswered = float64(entry.Latency)/b.serviceTime[entry.Profile].value, 0
			}
			h.setPeerInFlight(from, entry.InFlight, now)
		}
	}
}

// answerPickRequest picks a host for another gateway, and counts the hop as in flight there until a newer count comes.
func (b *Balancer) answerPickRequest(from int, request PeerEntry) {
	t := &tx{profile: request.Profile, profileConfig: &b.profiles[request.Profile], homeGroup: b.hosts.groupAt(request.InFlight)}
	for i := 0; i < b.topology.GatewayCount && !b.picksFor(t.homeGroup); i++ {
		t.homeGroup.skippedCoordinators++ // it is asked because the coordinators before it do not respond
	}
	response := PeerEntry{Kind: EntryPickResponse, Profile: request.Profile}
	if h := b.pickAdmitted(t); h != nil {
		response.Host, response.InFlight = h.ID, h.ownInFlight+h.peersInFlight
		holder := ternary(b.picksFor(h.group), from, b.coordinatorOf(h.group))
		h.setPeerInFlight(holder, h.inFlightByPeer[holder].hops+1, b.now)
	}
	b.executor.SendPeerMessage(from, []PeerEntry{response})
	if !b.coordinating {
		b.coordinating = true
		b.sendAggregates()
	}
}

// takePendingPick removes and returns the oldest pick request for a profile that has no response, nil where there is
// none.
func (b *Balancer) takePendingPick(profile int) *pendingPick {
	i := slices.IndexFunc(b.pendingPicks, func(pending *pendingPick) bool { return pending.tx.profile == profile })
	if i < 0 {
		return nil
	}
	pending := b.pendingPicks[i]
	b.pendingPicks = slices.Delete(b.pendingPicks, i, i+1)
	return pending
}

// manyGatewaysWithoutPeerMessages reports whether this is one of many gateways (more than maxIndependentGateways) that
// exchange no peer messages: they know each other's load only from what hosts report.
func (b *Balancer) manyGatewaysWithoutPeerMessages() bool {
	return !b.sources.PeersShareInFlight && b.topology.GatewayCount > maxIndependentGateways
}

// hostsReportInFlight reports whether the hops of other gateways at each host are known from the reports of hosts, not
// from peer messages.
func (b *Balancer) hostsReportInFlight() bool {
	return b.sources.ResponsesReportInFlight && !b.sources.PeersShareInFlight
}

// usesLiveCapacity reports whether the load of hosts is known from the live capacity hints of the host list, and from
// nothing else.
func (b *Balancer) usesLiveCapacity() bool {
	return b.sources.CapacityHints == LiveCapacity && b.manyGatewaysWithoutPeerMessages()
}

// hasNoLoadInfo reports whether this is one of many gateways that learn about hosts from the outcomes of their own hops
// alone.
func (b *Balancer) hasNoLoadInfo() bool {
	return b.manyGatewaysWithoutPeerMessages() && !b.sources.ResponsesReportLoad && !b.sources.ProbesReportLoad &&
		b.sources.CapacityHints != LiveCapacity
}

// judgesByZone reports whether load is judged by zone, as too little is known in time of any one host.
func (b *Balancer) judgesByZone() bool { return b.usesLiveCapacity() || b.hasNoLoadInfo() }

// fewGatewaysWithoutReports reports whether this is one of few gateways that learn about hosts from the outcomes of their own
// hops and from occasional probes.
func (b *Balancer) fewGatewaysWithoutReports() bool {
	return b.topology.GatewayCount <= maxIndependentGateways && !b.sources.PeersShareInFlight && !b.sources.ResponsesReportLoad
}

// probesOnly reports whether each host is known from the outcomes of own hops and from occasional probes, and from
// nothing else.
func (b *Balancer) probesOnly() bool {
	return b.sources.ProbesReportLoad && !b.sources.PeersShareInFlight && !b.sources.ResponsesReportLoad &&
		!b.judgesByZone()
}

// recordLatencyRatio records the latency of a hop, relative to that at an idle host, for the host and its zone. For
// profiles that earn no more than this one it counts in full. For those that earn more it counts less, as hosts may
// serve them first.
func (b *Balancer) recordLatencyRatio(h *host, profile int, result HopResult, hostHangs bool) {
	ratio := float64(result.Latency) / b.latencyRatioBaseline(profile)
	switch result.Outcome {
	case HopCommitted:
	case HopTimedOut, HopCalledOff:
		if b.usesLiveCapacity() {
			return
		}
	case HopHostFull, HopNoConnection:
		ratio = rejectionLatencyRatio
	default:
		return
	}
	h.latencyRatio = b.recentLatencyRatio(h)
	h.latencyRatio, h.latencyRatioAt = h.latencyRatio+latencyRatioSmoothing*(ratio-h.latencyRatio), b.now
	// A hang concerns this host alone, and a failed connection says nothing about hops that have one.
	if hostHangs || result.Outcome == HopNoConnection {
		return
	}
	g, maxRatio := h.group, b.maxCongestionSample()
	for len(g.congestion) < len(b.profiles) {
		g.congestion = append(g.congestion, congestionEstimate{value: initialCongestion})
	}
	for i := range g.congestion {
		estimate := &g.congestion[i]
		smoothing := min(max(1-math.Exp(-float64(b.now-estimate.updatedAt)/float64(congestionTimeConstant)),
			minCongestionSmoothing), maxCongestionSmoothing)
		if b.revenueForWork(i) > b.revenueForWork(profile) {
			smoothing *= higherRevenueSmoothingFactor
		} else {
			estimate.updatedAt = b.now
		}
		estimate.value += smoothing * (min(ratio, maxRatio) - estimate.value)
	}
}

// latencyRatioBaseline returns the time in ns that latency ratios refer to: the least service time of the profile, or the
// initial guess, a fraction of the service goal, where that is more.
func (b *Balancer) latencyRatioBaseline(profile int) float64 {
	return max(b.minServiceTime[profile], initialServiceTimeGoalFraction*float64(b.profiles[profile].ServiceGoal))
}

// recentLatencyRatio returns the latency ratio of a host. It goes back to 1 over time, so that a host that answers
// nothing any more is not avoided for good.
func (b *Balancer) recentLatencyRatio(h *host) float64 {
	return 1 + (h.latencyRatio-1)*math.Exp(-float64(b.now-h.latencyRatioAt)/float64(latencyRatioDecayTime))
}

// congestion returns the latency ratio of hops in a zone as seen by a profile, including hops in flight that are late
// already.
func (b *Balancer) congestion(g *zoneGroup, profile int) float64 {
	value := initialCongestion
	if profile < len(g.congestion) {
		value += (g.congestion[profile].value - initialCongestion) *
			math.Exp(-float64(b.now-g.congestion[profile].updatedAt)/float64(congestionDecayTime))
	}
	// Where the list shows the load, hops in flight are left out: at stalled hosts they say nothing about the others.
	if b.usesLiveCapacity() {
		return value
	}
	excess := 0.0
	for _, t := range b.txs { // the order does not matter for a sum
		for i := range t.hops {
			hop := &t.hops[i]
			age := float64(b.now-hop.sentAt) / b.latencyRatioBaseline(t.profile) / lateHopAgeDivisor
			if !hop.ended && hop.host.group == g && age > value &&
				b.revenueForWork(t.profile) >= b.revenueForWork(profile) && !b.suspectedOutlier(t.tenant) {
				excess += lateHopCongestionFraction * (age - value)
			}
		}
	}
	return value + excess
}

// relativeLoad returns the hops in flight at a host of a zone, a new one included, as a fraction of its concurrency
// limit; -1 where hosts do not report that.
func (b *Balancer) relativeLoad(g *zoneGroup) float64 {
	if !b.hostsReportInFlight() || len(g.hosts) == 0 || g.hosts[0].kindStats.concurrencyLimit() == 0 {
		return -1
	}
	return (g.reportedInFlight.value + 1) / g.hosts[0].kindStats.concurrencyLimit()
}

// probeStaleHosts probes the hosts of this gateway's subset whose last in-flight report is older than
// minReportAgeToProbe, as answers are few, or late under congestion. Each call adds probesPerTransaction to the probes
// that it may send.
func (b *Balancer) probeStaleHosts() {
	b.probeTokens = min(b.probeTokens+probesPerTransaction, maxProbeBurst)
	for _, g := range b.hosts.groups {
		for _, h := range g.hosts[:min(b.subsetSize(), len(g.hosts))] {
			if b.probeTokens >= 1 && !b.isCold(h) && b.now-max(h.reportedInFlightAt, h.lastProbedAt) > minReportAgeToProbe {
				h.lastProbedAt = b.now
				b.probeTokens--
				b.executor.Probe(h.ID)
			}
		}
	}
}

// recordLoadReport records a load report of a host. It counts for the whole zone too, as one of many gateways gets few
// from each host.
func (b *Balancer) recordLoadReport(h *host, load LoadReport) {
	steady := h.utilizationAt > 0 && b.now-h.utilizationAt < observationTTL &&
		math.Abs(load.Utilization-h.utilization) < maxSteadyUtilizationChange
	h.recordReportedLoad(load, b.now)
	if b.hostsReportInFlight() && load.InFlight >= 0 {
		h.recordReportedInFlight(load, steady, b.now)
		h.group.reportedInFlight = movingAverage{h.reportedInFlight, 1}
	} else if b.manyGatewaysWithoutPeerMessages() && load.Queued >= 0 {
		h.group.queuedPerHost.add(load.Queued, shortTermSmoothing)
		h.estimatedInFlight, h.estimatedInFlightAt = load.Queued+max(0, load.RequestsPerSecond*load.LatencyMs/1000), b.now
	}
}

// beginCall sets the time of a call from outside. A timer that was due more than stallThreshold ago shows that this
// process was stalled until now.
func (b *Balancer) beginCall(now time.Duration) {
	if b.now = now; len(b.timers.entries) > 0 && now-b.timers.entries[0].at > stallThreshold {
		b.lastStallEnd = now
	}
}

// openHop returns a hop that has not ended and its transaction, nil for both where there is none.
func (b *Balancer) openHop(id TxID, hopIndex int) (*tx, *hop) {
	t := b.txs[id]
	if t == nil || hopIndex < 0 || hopIndex >= len(t.hops) || t.hops[hopIndex].ended {
		return nil, nil
	}
	return t, &t.hops[hopIndex]
}

// HopBodySent counts a hop as in flight from now on. If hops counted while the bodies of slow clients arrive, their
// hosts look overloaded or unresponsive, and other transactions are rejected for it.
func (b *Balancer) HopBodySent(now time.Duration, id TxID, hopIndex int) {
	b.beginCall(now)
	t, hop := b.openHop(id, hopIndex)
	if hop == nil || t.inFlightPerHop > 0 {
		return
	}
	t.inFlightPerHop, t.deadline, hop.sentAt = 1, t.deadline+now-hop.sentAt, now
	if hop.host.ownInFlight++; hop.host.ownInFlight == 1 {
		hop.host.unansweredSince = now
	}
	hop.hostInFlight = hop.host.inFlight()
	b.markUnsent(hop.host)
}

// ResponseStarted ends the decisions on a transaction, because its final answer is being sent.
func (b *Balancer) ResponseStarted(now time.Duration, id TxID, _ int) {
	b.beginCall(now)
	if t := b.txs[id]; t != nil {
		t.done = true
	}
}

// ClientLeft ends a transaction whose client no longer waits for the answer.
func (b *Balancer) ClientLeft(now time.Duration, id TxID) {
	b.beginCall(now)
	if t := b.txs[id]; t != nil {
		b.settleTransaction(t)
	}
}

// AvoidedHosts returns how many hosts are draining, or ready with an open breaker for all profiles.
func (b *Balancer) AvoidedHosts() (count int) {
	for _, h := range b.hosts.byID { // the order does not matter for a sum
		if h.State == HostDraining || h.State == HostReady && h.hostBreaker.open {
			count++
		}
	}
	return count
}

// closeIdleIfNotReady closes the idle connections to a host that is draining or gone, where drainRule requires it. It is
// called when the list says so and whenever a hop or probe ends there, so no timer is needed.
func (b *Balancer) closeIdleIfNotReady(h Host) {
	if b.drainRule.CloseIdleConnections && h.State != HostReady {
		b.executor.CloseIdleConnections(h.ID)
	}
}

// randomListDelay returns a random delay for the next request for the host list, as gateways in step would all be late
// together. Its upper bound is baseDelay, or a time for each gateway if that is more, and at most half of the poll
// interval.
func (b *Balancer) randomListDelay(baseDelay time.Duration) time.Duration {
	maxDelay := min(max(baseDelay, time.Duration(b.topology.GatewayCount)*listPollIntervalPerGateway),
		b.sources.MaxListPollInterval/2)
	return time.Duration(b.random.uniform() * float64(maxDelay))
}

// ProbeEnded records the load that a host reported to a probe.
func (b *Balancer) ProbeEnded(now time.Duration, id HostID, load LoadReport) {
	b.beginCall(now)
	switch h := b.hosts.byID[id]; {
	case h == nil:
	case h.State == HostReady:
		b.recordLoadReport(h, load)
	default:
		b.closeIdleIfNotReady(h.Host)
	}
}

// ternary returns one of two values. Both are evaluated.
func ternary[T any](condition bool, ifTrue, ifFalse T) T {
	if condition {
		return ifTrue
	}
	return ifFalse
}

// movingAverage is the plain mean of its first samples and an exponentially weighted one from then on: a new sample has
// the weight smoothing, but at least 1/samples. With a smoothing of 0 it stays the plain mean.
type movingAverage struct{ value, samples float64 }

// add includes a sample in the average.
func (a *movingAverage) add(sample, smoothing float64) {
	a.samples++
	a.value += max(smoothing, 1/a.samples) * (sample - a.value)
}

// export returns the average in the form that is handed to the next process.
func (a movingAverage) export() SmoothedMean { return SmoothedMean{a.value, a.samples} }

// movingAverage is the inverse of movingAverage.export.
func (m SmoothedMean) movingAverage() movingAverage { return movingAverage{m.Value, m.Samples} }

// timerQueue holds functions ordered by the time at which they are due. Of those due at the same time the one added
// first comes first.
type timerQueue struct {
	entries  []timerEntry
	armedFor time.Duration // when the timer that was set fires, 0 for none
}

// timerEntry is a function to run at a time.
type timerEntry struct {
	at  time.Duration
	run func()
}

// add inserts a function after all that are due at the same time or earlier.
func (q *timerQueue) add(at time.Duration, run func()) {
	i := len(q.entries)
	for i > 0 && q.entries[i-1].at > at {
		i--
	}
	q.entries = slices.Insert(q.entries, i, timerEntry{at, run})
}

// popDue removes and returns the first function that is due, nil if none is.
func (q *timerQueue) popDue(now time.Duration) func() {
	if q.armedFor <= now {
		q.armedFor = 0
	}
	if len(q.entries) == 0 || q.entries[0].at > now {
		return nil
	}
	run := q.entries[0].run
	q.entries = slices.Delete(q.entries, 0, 1)
	return run
}

// arm sets a timer for the first function, unless the one that is set fires soon enough.
func (q *timerQueue) arm(now time.Duration, setTimer func(time.Duration)) {
	if first := max(q.entries[0].at, now+1); q.armedFor == 0 || first < q.armedFor {
		q.armedFor = first
		setTimer(first - now)
	}
}

// schedule runs a function at the given time. One timer serves all functions: it is set for the first.
func (b *Balancer) schedule(at time.Duration, run func()) {
	b.timers.add(at, run)
	b.timers.arm(b.now, b.executor.SetTimer)
}

// TimerFired runs all functions that are due and sets the timer for the next one.
func (b *Balancer) TimerFired(now time.Duration) {
	b.beginCall(now)
	for run := b.timers.popDue(now); run != nil; run = b.timers.popDue(now) {
		run()
	}
	b.timers.arm(now, b.executor.SetTimer)
}

// randomSource yields the same random numbers for the same seed: the CRC-32 of seed and counter.
type randomSource struct{ seed, drawCount uint32 }

// reserve passes over one number. A randomSource with this seed and the returned count yields it.
func (r *randomSource) reserve() uint32 {
	r.drawCount++
	return r.drawCount - 1
}

// uniform returns the next number, evenly distributed over [0, 1).
func (r *randomSource) uniform() float64 {
	r.drawCount++
	crc := ^r.seed
	for bits, i := uint64(r.drawCount)*uint64(r.seed|1), 0; i < 8; i++ {
		crc = crc32.IEEETable[byte(crc)^byte(bits)] ^ crc>>8
		bits >>= 8
	}
	return float64(^crc) / (1 << 32)
}

// hostTable holds all hosts of the host list, by ID, kind and zone.
type hostTable struct {
	byID                    map[HostID]*host
	kinds                   map[string]*kindStats
	ready                   []*host      // by ID
	withStartTime           []*host      // ready hosts whose start time is known
	groups                  []*zoneGroup // one for each zone, this gateway's first
	maxCapacityHint         float64      // largest that the list gave any host
	consecutiveListFailures int          // requests for the list in a row that failed
	rankSeed                uint32       // seed of the order in which this gateway prefers hosts, 0 for none of its own
}

// addGroups adds a group for each zone, beginning with this gateway's own.
func (t *hostTable) addGroups(topology Topology) {
	zones := topology.Zones
	if len(zones) == 0 {
		zones = []string{topology.Zone}
	}
	ownIndex := max(0, slices.Index(zones, topology.Zone))
	for i := range zones {
		index := (ownIndex + i) % len(zones)
		t.groups = append(t.groups,
			&zoneGroup{name: zones[index], index: index, queueingRatio: movingAverage{1, 1 / queueingRatioSmoothing}})
	}
	for i, g := range t.groups {
		g.searchOrder = append(append(append(g.searchOrder, g), t.groups[:i]...), t.groups[i+1:]...)
	}
}

// readyHost returns a host, nil where it is not known or not ready.
func (t *hostTable) readyHost(id HostID) *host {
	if h := t.byID[id]; h != nil && h.State == HostReady {
		return h
	}
	return nil
}

// ownGroup returns the group of this gateway's own zone.
func (t *hostTable) ownGroup() *zoneGroup { return t.groups[0] }

// errorFractionElsewhere returns the mean error fraction of the hosts with a closed breaker, except for one, whose own
// errors say nothing about what is usual. Where any of them has answered after since, only such hosts count: a host
// without hops has no errors.
func (t *hostTable) errorFractionElsewhere(except *host, since time.Duration) float64 {
	var recent, all movingAverage
	for _, h := range t.ready {
		if h != except && !h.hostBreaker.open {
			all.add(h.hostBreaker.errorFraction, 0)
			if h.unansweredSince > max(0, since) {
				recent.add(h.hostBreaker.errorFraction, 0)
			}
		}
	}
	return ternary(recent.samples > 0, recent, all).value
}

// referenceFailureFraction returns the failure fraction that the one of a profile at a host is compared with: the
// largest of other profiles there whose last hop succeeded, or the lower quartile of its own at other hosts if that is
// more. Only those count that succeeded after since, or, at other hosts, failed last. It is 1 where there is nothing to
// compare with.
func (t *hostTable) referenceFailureFraction(h *host, profile int, since time.Duration) float64 {
	var here, elsewhere []float64
	for i := range h.profileBreakers {
		if br := &h.profileBreakers[i]; i != profile && br.consecutiveFailures == 0 && br.streakSince > since {
			here = append(here, float64(br.failureFraction))
		}
	}
	for _, other := range t.ready {
		if br := &other.profileBreakers[profile]; other != h && (br.consecutiveFailures > 0 || br.streakSince > since) {
			elsewhere = append(elsewhere, float64(br.failureFraction))
		}
	}
	if len(here) == 0 || len(elsewhere) == 0 {
		return 1
	}
	slices.Sort(elsewhere)
	return max(slices.Max(here), elsewhere[len(elsewhere)/4])
}

// groupAt returns the group of a zone by its index in the topology, this gateway's own where there is none.
func (t *hostTable) groupAt(index int) *zoneGroup {
	for _, g := range t.groups {
		if g.index == index {
			return g
		}
	}
	return t.ownGroup()
}

// preferenceRank returns a number in [0, 1) by which this gateway orders its hosts, lower ones preferred. It is the same for all
// hosts if the gateway has no order of its own.
func (t *hostTable) preferenceRank(id HostID) float64 {
	return ternary(t.rankSeed == 0, &randomSource{}, &randomSource{t.rankSeed, uint32(id)}).uniform()
}

// merge applies a host list, or the changes to it, and returns the hosts that are new or have started again. The
// function isGone decides on hosts that the list leaves out or calls gone.
func (t *hostTable) merge(kind ListKind, listed []Host, isGone func(*host) bool) (added []*host) {
	if kind != ListCached {
		t.consecutiveListFailures = 0
	}
	membershipChanged := kind != ListChanges // false: only capacity hints have
	if membershipChanged {
		for _, h := range t.byID { // the order does not matter
			h.State = ternary(isGone(h), HostGone, h.State)
		}
	}
	for i := range listed {
		entry := &listed[i]
		h := t.byID[entry.ID]
		if h == nil && entry.State == HostGone {
			continue
		}
		membershipChanged = membershipChanged || h == nil || entry.State != h.State || entry.Zone != h.Zone
		if h == nil || entry.State == HostReady && h.StartedAt != entry.StartedAt {
			if h == nil {
				h = &host{rank: t.preferenceRank(entry.ID)}
				t.byID[entry.ID] = h
			}
			added = append(added, h)
		}
		if h.kindStats == nil || h.Kind != entry.Kind {
			if h.kindStats = t.kinds[entry.Kind]; h.kindStats == nil {
				h.kindStats = &kindStats{}
				t.kinds[entry.Kind] = h.kindStats
			}
		}
		if entry.State == HostGone && entry.SupersededBy == 0 && !isGone(h) {
			continue
		}
		h.Host = *entry
		h.kindStats.maxCapacityHint = max(h.kindStats.maxCapacityHint, entry.CapacityHint)
		t.maxCapacityHint = max(t.maxCapacityHint, entry.CapacityHint)
	}
	if membershipChanged {
		t.rebuildGroups()
	}
	return added
}

// updateInFlightPerCore computes the hops in flight per core of each host from the live capacity hints of a list: such a
// hint is the capacity over one more than these hops, so that of an idle host is the largest of its kind. It returns the
// mean over all hosts.
func (t *hostTable) updateInFlightPerCore(listed []Host) (overall movingAverage) {
	for i := range listed {
		if h := t.readyHost(listed[i].ID); h != nil && listed[i].CapacityHint > 0 {
			h.reportedInFlight = h.kindStats.maxCapacityHint/listed[i].CapacityHint - 1
		}
	}
	for _, stats := range t.kinds { // the order does not matter
		stats.inFlightPerCore = movingAverage{}
	}
	for _, g := range t.groups {
		g.reportedInFlight = movingAverage{}
		for _, h := range g.hosts {
			for _, mean := range []*movingAverage{&overall, &g.reportedInFlight, &h.kindStats.inFlightPerCore} {
				mean.add(h.reportedInFlight, 0)
			}
		}
	}
	return overall
}

// updateAnswerRates updates, by kind, how many answers this gateway got from a warm host within the last second.
func (t *hostTable) updateAnswerRates(isCold func(*host) bool) {
	for _, stats := range t.kinds { // the order does not matter
		if stats.warmHosts > 0 {
			stats.answersPerSecond.add(stats.answersThisSecond/stats.warmHosts, rateSmoothing)
		}
		stats.answersThisSecond, stats.warmHosts = 0, 0
	}
	for _, h := range t.ready {
		h.kindStats.warmHosts += ternary(isCold(h), 0.0, 1)
	}
}

// rebuildGroups puts the ready hosts into the groups of their zones, and drops hosts that are gone once no own hop is in
// flight there.
func (t *hostTable) rebuildGroups() {
	t.ready, t.withStartTime = t.ready[:0], t.withStartTime[:0]
	for _, g := range t.groups {
		g.hosts = g.hosts[:0]
	}
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		h := t.byID[id]
		i := slices.IndexFunc(t.groups, func(g *zoneGroup) bool { return g.name == h.Zone })
		if i < 0 {
			h.State = HostGone // its zone is not configured
		}
		if h.State == HostReady {
			h.group = t.groups[i]
			t.ready, h.group.hosts = append(t.ready, h), append(h.group.hosts, h)
			if h.StartedAt > 0 {
				t.withStartTime = append(t.withStartTime, h)
			}
		} else if h.State == HostGone && h.ownInFlight == 0 {
			delete(t.byID, id)
		}
	}
	for _, g := range t.groups {
		slices.SortStableFunc(g.hosts, func(x, y *host) int { return cmp.Compare(x.rank, y.rank) })
	}
}

// kindStats is what was learned of the hosts of one kind.
type kindStats struct {
	weight             float64       // factor on the weight of each such host, with live capacity hints
	inFlightPerCore    movingAverage // mean hops per core at these hosts, with live capacity hints
	maxCapacityHint    float64       // largest that the list gave one of them: that of an idle host
	answersThisSecond  float64       // successful hops at warm hosts in the current second
	warmHosts          float64       // how many hosts these answers come from
	answersPerSecond   movingAverage // by warm host
	slots              movingAverage // hops that a full host works on at a time, where reports show it
	meanInFlight       movingAverage // hops in flight at a host, where hosts report them and their utilization
	lowLoadInFlight    movingAverage // the same from reports of no more than the mean, while cores are free
	lowLoadUtilization movingAverage // utilization in these reports
	overloaded         bool          // one of these hosts was overloaded: from then on the slots count as known
	serviceTimeRatio   movingAverage // service time relative to the usual one of the profile
}

// zoneGroup holds the ready hosts of one zone and what is known of them together.
type zoneGroup struct {
	name                  string
	index                 int                  // among the zones of the topology
	hosts                 []*host              // by rank
	searchOrder           []*zoneGroup         // this group, then the others
	queuedPerHost         movingAverage        // hops queued at a host, where responses report it to one of many gateways
	reportedInFlight      movingAverage        // hops of others at a host from reports; with live capacity hints hops per core
	queueingRatio         movingAverage        // latency over the least service time, the slowdown by hops in flight divided out
	spilloverFraction     float64              // of its transactions that goes to other zones, with live capacity hints
	effectiveHosts        float64              // hosts weighted by spreadFactor: loaded ones count less
	inFlightAtTargets     float64              // mean hops per core at the hosts that hops are sent to, with live capacity hints
	congestion            []congestionEstimate // by profile, where zones are judged as a whole
	shedFraction          float64              // part of shedProbability that adds up over time, with live capacity hints
	shedUpdatedAt         time.Duration        // of shedFraction
	skippedCoordinators   int                  // how many coordinators were given up as unresponsive
	consecutiveUnanswered int                  // messages in a row to the coordinator without a response
}

// recordUnanswered counts responses that did not come, and goes on to the next coordinator after maxConsecutive in a
// row.
func (g *zoneGroup) recordUnanswered(count, maxConsecutive int) {
	if g.consecutiveUnanswered += count; g.consecutiveUnanswered >= maxConsecutive {
		g.skippedCoordinators, g.consecutiveUnanswered = g.skippedCoordinators+1, 0
	}
}

// congestionEstimate is the smoothed latency ratio of hops in a zone. The time is that of the last hop of a profile that
// earns as much or more.
type congestionEstimate struct {
	value     float64
	updatedAt time.Duration
}

// peerInFlight is the number of hops that another gateway has in flight at a host.
type peerInFlight struct {
	hops       int
	receivedAt time.Duration
}

// host is the entry of a host in the list and what this gateway knows of it.
type host struct {
	Host
	ownInFlight        int // hops of this gateway
	group              *zoneGroup
	kindStats          *kindStats
	peersInFlight      int                  // hops of the other gateways, by peer messages
	inFlightByPeer     map[int]peerInFlight // the same by gateway
	lastSentInFlight   int                  // ownInFlight as last sent to peers
	resend             bool                 // changed when last sent: to be sent once more
	unsent             bool                 // due to be sent to peers
	connectionUnproven bool                 // its connection, new or long idle, has not carried an answer yet
	rank               float64              // place in this gateway's order of preference
	lastUsedAt         time.Duration        // when a hop was last sent there, 0 once its connections are closed
	noConnectUntil     time.Duration        // no new connection is tried before, as one has failed
	unsentOutcomes     []PeerEntry          // of own hops, for the zone coordinator
	health
	recentHopTimes recentTimes // when hops were sent within the last OverloadDuration, where hosts start cold
}

// health is what hops and reports have shown of a host. It begins anew when the host starts again.
type health struct {
	weight              float64       // for picks; the mean over a zone is 1
	answeredThisSecond  bool          // a hop succeeded since the weights were last adjusted
	failedThisSecond    bool          // a hop failed, was rejected or timed out since then
	serviceTimeRatio    movingAverage // service time with a free core, relative to the usual one of the profile
	latency             movingAverage // of answers, queueing included, in ns
	utilization         float64       // as last reported
	utilizationAt       time.Duration // when that came, 0 for never
	lastProbedAt        time.Duration // when it was last probed because there was no recent report
	reportedInFlight    float64       // hops of others as last reported; with live capacity hints all hops per core
	reportedInFlightAt  time.Duration // when a host reported it, 0 for never or too long ago
	latencyRatio        float64       // recent latency of hops relative to that at an idle host
	latencyRatioAt      time.Duration // when latencyRatio was last updated
	estimatedInFlight   float64       // hops queued or worked on, from its reported queue, rate and latency
	estimatedInFlightAt time.Duration // when that report came, 0 for never
	spreadFactor        float64       // factor on the weight until the next list, with live capacity hints
	serviceTimeRatioAt  time.Duration // when serviceTimeRatio was last updated by an answer or timeout
	unansweredSince     time.Duration // the later of the last answer and the first of the hops in flight
	hostBreaker         breaker       // for all profiles
	profileBreakers     []breaker     // by profile
}

// breakers returns those that a hop of a profile has to pass.
func (h *host) breakers(profile int) []*breaker {
	return []*breaker{&h.hostBreaker, &h.profileBreakers[profile]}
}

// recordReportedLoad records the reported utilization of a host and the number of slots that the report shows for its
// kind. If hops are queued, all slots are in use: their number is that of the hops in flight that aren't queued. If none
// are, there are at least as many slots as hops in flight.
func (h *host) recordReportedLoad(load LoadReport, now time.Duration) {
	if load.Utilization >= 0 {
		h.utilization, h.utilizationAt = load.Utilization, now
	}
	if slots := &h.kindStats.slots; load.Queued > 0 && load.InFlight > 0 {
		slots.add(max(1, load.InFlight-load.Queued), shortTermSmoothing)
	} else if load.Queued == 0 {
		slots.value = max(slots.value, load.InFlight)
	}
}

// concurrencyLimit returns the number of hops in flight at which all cores of such a host are in use, 0 where that is
// not known.
func (s *kindStats) concurrencyLimit() float64 {
	return ternary(s.lowLoadUtilization.samples > 0, s.lowLoadInFlight.value/s.lowLoadUtilization.value, 0)
}

// recordReportedInFlight records the hops of other gateways at a host, and, for the concurrency limit of its kind, its
// hops in flight and utilization. These count only while utilization is steady: it covers a span of time, and the hops in
// flight are those at its end. At the start of a day's traffic the limit otherwise came out at three to six times its
// value, and hosts were overloaded in the first second.
func (h *host) recordReportedInFlight(load LoadReport, steady bool, now time.Duration) {
	h.reportedInFlight, h.reportedInFlightAt = max(0, load.InFlight-float64(h.ownInFlight)), now
	stats := h.kindStats
	if stats.lowLoadInFlight.samples == 0 {
		stats.lowLoadInFlight, stats.lowLoadUtilization =
			movingAverage{initialConcurrencyLimit / 2, concurrencyLimitPriorSamples},
			movingAverage{0.5, concurrencyLimitPriorSamples}
	}
	if load.Utilization > 0 && load.InFlight >= 1 {
		if stats.meanInFlight.add(load.InFlight, mediumTermSmoothing); load.InFlight <= stats.meanInFlight.value &&
			load.Utilization < maxConcurrencyLimitUtilization && steady {
			stats.lowLoadInFlight.add(load.InFlight, mediumTermSmoothing)
			stats.lowLoadUtilization.add(load.Utilization, mediumTermSmoothing)
		}
	}
}

// recordServiceTimeRatio records the service time of a hop, relative to the usual one of its profile, for the host and
// its kind.
func (h *host) recordServiceTimeRatio(ratio float64) {
	h.kindStats.serviceTimeRatio.add(ratio, mediumTermSmoothing)
	h.serviceTimeRatio.add(ratio, shortTermSmoothing)
}

// normalizeServiceTimeRatios scales the service time ratios of hosts and kinds to a mean of 1 and updates the least
// service times, once a second. A host without an answer for observationTTL may get no hops that would show a better
// ratio: its own approaches the one of its kind.
func (b *Balancer) normalizeServiceTimeRatios() {
	mean, ownHosts := movingAverage{1, 0}, []*host{}
	for _, h := range b.hosts.ready {
		if b.picksFor(h.group) { // those of other groups come with aggregates
			mean.add(h.serviceTimeRatio.value, 0)
			ownHosts = append(ownHosts, h)
		}
	}
	// A few short answers do not show the least service time.
	useLongTerm := b.hostsReportInFlight() || b.fewGatewaysWithoutReports() || b.usesLiveCapacity()
	for i := range b.serviceTime {
		serviceTime := &b.serviceTime[i]
		// Without new samples, as of a profile that is always rejected, the time would drift away.
		if serviceTime.samples-b.previousSamples[i] > priorServiceTimeRatioSamples {
			serviceTime.value *= mean.value
		}
		b.previousSamples[i] = serviceTime.samples
		// With peer messages queueing shows in the in-flight counts and does not raise the service time. A latency that
		// stays high although almost nothing is admitted is no congestion but the time that the profile takes.
		b.minServiceTime[i] *= 1 + ternary(b.hasNoLoadInfo() && b.congestion(b.hosts.ownGroup(), i) >= congestionShedRampEnd,
			congestedMinServiceTimeRisePerSecond, minServiceTimeRisePerSecond)
		typical, smoothing := *serviceTime, mediumTermSmoothing
		if useLongTerm {
			typical, smoothing = b.longTermServiceTime[i], longTermSmoothing
		}
		switch {
		case typical.samples == 0: // otherwise a profile that is never answered would yield to none, and all others to it
		case typical.samples*smoothing < 1 && !b.sources.PeersShareInFlight &&
			(useLongTerm || typical.value >= b.minServiceTime[i]): // the first samples may come from congestion
			b.minServiceTime[i] = min(typical.value, initialServiceTimeGoalFraction*float64(b.profiles[i].ServiceGoal))
		case b.sources.PeersShareInFlight || typical.value < b.minServiceTime[i]:
			b.minServiceTime[i] = typical.value
		}
	}
	for _, stats := range b.hosts.kinds {
		stats.serviceTimeRatio.value = max(stats.serviceTimeRatio.value/mean.value, minServiceTimeRatio)
	}
	for _, h := range ownHosts {
		if h.serviceTimeRatio.value /= mean.value; b.now-h.serviceTimeRatioAt > observationTTL &&
			h.kindStats.serviceTimeRatio.samples > 0 {
			h.serviceTimeRatio.value += excessDecayPerSecond * (h.kindStats.serviceTimeRatio.value - h.serviceTimeRatio.value)
		}
	}
}

// breakersClosed reports whether no breaker bars a hop of the profile.
func (h *host) breakersClosed(profile int) bool {
	return !h.hostBreaker.open && !h.profileBreakers[profile].open
}

// openedByOverload reports whether a breaker for the profile is open because of overload.
func (h *host) openedByOverload(profile int) bool {
	return slices.ContainsFunc(h.breakers(profile), func(br *breaker) bool { return br.open && br.openedByOverload })
}

// trialDueAt returns when all open breakers for the profile are due for a trial, 0 if none is open.
func (h *host) trialDueAt(profile int) (dueAt time.Duration) {
	for _, br := range h.breakers(profile) {
		if br.open {
			dueAt = max(dueAt, br.nextTrialAt)
		}
	}
	return dueAt
}

// startTrial marks the open breakers for the profile as on trial. Without an outcome the next trial is due at
// nextTrialAt.
func (h *host) startTrial(profile int, nextTrialAt time.Duration) {
	for _, br := range h.breakers(profile) {
		if br.open {
			br.onTrial, br.nextTrialAt = true, nextTrialAt
		}
	}
}

// inFlight returns the hops of all gateways at the host, as far as known.
func (h *host) inFlight() float64 {
	return float64(h.ownInFlight+h.peersInFlight) +
		ternary(h.reportedInFlightAt > 0, h.reportedInFlight, h.group.reportedInFlight.value+h.group.queuedPerHost.value)
}

// setPeerInFlight sets the number of hops that another gateway has in flight at the host.
func (h *host) setPeerInFlight(gateway, hops int, now time.Duration) {
	if h.ownInFlight+h.peersInFlight == 0 {
		h.unansweredSince = now
	}
	if h.inFlightByPeer == nil {
		h.inFlightByPeer = map[int]peerInFlight{}
	}
	h.peersInFlight += hops - h.inFlightByPeer[gateway].hops
	h.inFlightByPeer[gateway] = peerInFlight{hops, now}
}

// expirePeerInFlight drops the in-flight counts of peers and reports that are older than a time.
func (h *host) expirePeerInFlight(before time.Duration) {
	for gateway, count := range h.inFlightByPeer { // the order does not matter for a sum
		if count.receivedAt < before {
			h.peersInFlight -= count.hops
			delete(h.inFlightByPeer, gateway)
		}
	}
	if h.reportedInFlightAt < before {
		h.reportedInFlightAt = 0
	}
}

// medianLatency returns the median latency, in ns, of the hosts that have answered, 0 if none has.
func medianLatency(hosts []*host) float64 {
	var latencies []float64
	for _, h := range hosts {
		if h.latency.samples > 0 {
			latencies = append(latencies, h.latency.value)
		}
	}
	slices.Sort(latencies)
	if len(latencies) == 0 {
		return 0
	}
	return latencies[len(latencies)/2]
}

// unsentEntries returns the entries to send for the unsent hosts of a group, and marks these as sent.
func unsentEntries(unsent []*host, g *zoneGroup) (entries []PeerEntry) {
	for _, h := range unsent {
		if h.group == g {
			entries = append(append(entries, h.unsentOutcomes...), PeerEntry{Host: h.ID, InFlight: h.ownInFlight})
			h.resend = h.resend || h.lastSentInFlight != h.ownInFlight
			h.lastSentInFlight, h.unsent, h.unsentOutcomes = h.ownInFlight, false, nil
		}
	}
	return entries
}

// breaker is a circuit breaker for a host, or for one profile there. There is one for each pair of host and profile, so
// its fields are small.
type breaker struct {
	consecutiveFailures uint8
	open                bool // no hops but trials
	onTrial             bool // a trial is in flight
	openedByOverload    bool
	failureFraction     float32       // smoothed fraction of failures, timeouts among them
	errorFraction       float64       // smoothed fraction of errors
	streakSince         time.Duration // when the first of consecutiveFailures came; if there are none, the last success
	nextTrialAt         time.Duration
	cooldown            time.Duration // from opening to the next trial, before jitter
}

// retryUsage counts the transactions received of a profile, and its retries: the hops beyond each transaction's first.
type retryUsage struct{ transactions, retries slidingWindow }

// countTransaction counts a transaction received now. The span is that of the retry budget.
func (r *retryUsage) countTransaction(now, span time.Duration) { r.transactions.add(now, span) }

// countRetry counts a retry sent now. The span is that of the retry budget.
func (r *retryUsage) countRetry(now, span time.Duration) { r.retries.add(now, span) }

// bucketsPerWindow is the number of equal parts of a slidingWindow's span: counts expire one bucket at a time.
const bucketsPerWindow = 20

// slidingWindow counts events within the last span, in buckets. There is one bucket more than bucketsPerWindow, as the
// oldest lies in the window only partly.
type slidingWindow struct {
	span         time.Duration // of the last call
	newestBucket int64         // number of the newest bucket, counted from time 0 of the Balancer
	buckets      [bucketsPerWindow + 1]int32
}

// advance clears the buckets that have left the window. A change of span keeps the total, as if all had come now.
func (w *slidingWindow) advance(now, span time.Duration) {
	if span <= 0 {
		return
	}
	bucket := int64(now) / max(1, int64(span)/bucketsPerWindow)
	if w.span != span {
		total := w.total()
		*w = slidingWindow{span: span, newestBucket: bucket}
		w.buckets[bucket%(bucketsPerWindow+1)] = int32(total)
	}
	for ; w.newestBucket < bucket; w.newestBucket++ {
		if bucket-w.newestBucket > bucketsPerWindow {
			w.newestBucket = bucket - bucketsPerWindow - 1
		}
		w.buckets[(w.newestBucket+1)%(bucketsPerWindow+1)] = 0
	}
}

// add counts one event now.
func (w *slidingWindow) add(now, span time.Duration) {
	if w.advance(now, span); span > 0 {
		w.buckets[w.newestBucket%(bucketsPerWindow+1)]++
	}
}

// upperBound returns how many events at most came within the span: the oldest bucket counts in full.
func (w *slidingWindow) upperBound(now, span time.Duration) float64 {
	w.advance(now, span)
	return w.total()
}

// lowerBound returns how many events at least came within the span: the oldest bucket does not count.
func (w *slidingWindow) lowerBound(now, span time.Duration) float64 {
	w.advance(now, span)
	return w.total() - float64(w.buckets[(w.newestBucket+1)%(bucketsPerWindow+1)])
}

// total returns the sum of all buckets, as of the last advance.
func (w *slidingWindow) total() float64 {
	total := int32(0)
	for _, count := range w.buckets {
		total += count
	}
	return float64(total)
}

// tenantAdmission holds the token bucket and the missed goals of each tenant at this gateway.
type tenantAdmission struct {
	tenants []tenant
}

// missedGoalsOfOthers returns the mean fraction of hops past their service goal over the tenants, with 0 for t itself,
// and the number of hops of the others that it rests on. Both are 0 where t is nil.
func (a *tenantAdmission) missedGoalsOfOthers(t *tenant) (fraction, hops float64) {
	var others movingAverage
	for i := range a.tenants {
		if other := &a.tenants[i]; t != nil {
			others.add(ternary(other == t, 0, other.missedGoalFraction.value), 0)
			hops += ternary(other == t, 0, other.missedGoalFraction.samples)
		}
	}
	return others.value, hops
}

// tenant is the usage of one tenant. All but the quota, which is over all gateways, counts the transactions of this
// gateway.
type tenant struct {
	name                    string
	quota, tokens, arrivals float64       // quota per second; transactions left within the share; those since the last refill
	arrivalRate             movingAverage // transactions per second
	missedGoalFraction      movingAverage // of its hops
	overShare               bool          // its rate is far over its portion of the quota
}

// refill gives each tenant the tokens of one second, once a second. Its portion is an even part of the quota over the
// gateways, or as large a part as the median tenant uses here if that is more, so that at a busy gateway not every
// tenant counts as over its share.
func (a *tenantAdmission) refill(gatewayCount float64) {
	var quotaUsage []float64
	for i := range a.tenants {
		t := &a.tenants[i]
		t.arrivalRate.add(t.arrivals, shortTermSmoothing)
		t.arrivals = 0
		quotaUsage = append(quotaUsage, t.arrivalRate.value/t.quota)
	}
	slices.Sort(quotaUsage)
	for i := range a.tenants {
		t := &a.tenants[i]
		portion := t.quota * max(1/gatewayCount, quotaUsage[len(quotaUsage)/2])
		t.overShare = t.arrivalRate.value > overSharePortionMultiple*portion
		t.tokens = min(max(t.tokens, 0)+portion*portionSlackFactor, 2*portion*portionSlackFactor)
	}
}

// charge takes one token of a tenant for a transaction, and reports whether that goes beyond the tenant's share.
func (a *tenantAdmission) charge(tenantIndex int) bool {
	t := &a.tenants[tenantIndex]
	t.arrivals++
	t.tokens--
	return t.overShare && t.tokens < 0
}

// tx is the state of one transaction.
type tx struct {
	id             TxID
	profile        int // index of profileConfig
	profileConfig  *Profile
	deadline       time.Duration // when an answer earns nothing more, or the budget ends
	hops           []hop
	hopsInFlight   int
	affinityKey    uint32     // of work that hosts remember, 0 for none
	homeGroup      *zoneGroup // the zone that it arrived in
	maxHops        int
	inFlightPerHop int     // what a hop counts in flight at its host: 0 while the body arrives, or for outlierTenant
	outlierTenant  bool    // its tenant's hops are late at all hosts: they count at no host and say nothing about it
	overShare      bool    // beyond its tenant's share
	tenant         *tenant // nil for none
	slowReader     bool    // its client reads the answer slowly
	done           bool    // it has its final answer, or its response has started
}

// candidate is a host in a weighted random pick. Its score is drawn so that the largest falls to each host in proportion
// to its weight.
type candidate struct {
	host                *host
	expectedTime, score float64 // expectedTime of a hop in ns
}

// twoBestCandidates returns the candidates with the largest and second largest score, without a host where there are
// fewer.
func twoBestCandidates(candidates []candidate) (first, second candidate) {
	for i, c := range candidates {
		if i == 0 || c.score > first.score {
			first, second = c, first
		} else if second.host == nil || c.score > second.score {
			second = c
		}
	}
	return first, second
}

// hop is one attempt of a transaction at a host.
type hop struct {
	host           *host
	relocated      *location // where it may have run, once that is not just where its host is; else nil
	sentAt         time.Duration
	connectionIdle time.Duration // how long its connection had been idle, 0 where that does not matter
	hostInFlight   float64       // hops at the host when it was sent, itself included
	ended          bool
	outcome        HopOutcome
	onFailure      func() // called when it has ended without an answer: retries or finishes
}

// settleTransaction ends the decisions on a transaction and deletes it once no hop is in flight. One that every host
// answered with an error does not count towards its tenant's share, as it is hardly any work.
func (b *Balancer) settleTransaction(t *tx) {
	for i := range t.hops {
		if !t.hops[i].ended && !t.done && b.hopRule.CallOffAllowed {
			b.executor.CallOff(t.id, i)
		}
	}
	if n := t.errorCount(); !t.done && t.tenant != nil && n > 0 && n == len(t.hops) {
		t.tenant.arrivals--
		t.tenant.tokens++
	}
	if t.slowReader {
		t.slowReader = false
		b.slowReaders--
	}
	if t.done = true; t.hopsInFlight == 0 {
		delete(b.txs, t.id)
	}
}

// errorCount returns how many hosts have answered the transaction with an error.
func (t *tx) errorCount() (count int) {
	for i := range t.hops {
		if t.hops[i].ended && t.hops[i].outcome == HopError {
			count++
		}
	}
	return count
}

// extraRetryCandidates returns how many hosts beyond the subset a pick considers for a transaction that may have run: its
// group may be all that it can go to, and the subset used up.
func (t *tx) extraRetryCandidates() int { return ternary(t.possiblyRunHop() != nil, len(t.hops), 0) }
