package logic

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

// Balancer decides for one gateway. Its parts each own their state: the host table, the health of each host,
// admission, and each transaction's path.
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
	txs       map[TxID]*tx

	now    time.Duration
	timers timerQueue
	random randomSource

	serviceTime         []movingAverage // by profile: a hop's time on a host of pace 1 with a core free, nanoseconds
	longTermServiceTime []movingAverage // the same over far more answers
	minServiceTime      []float64       // by profile: the least that has been of late, as when hosts are free
	previousSamples     []float64       // by profile: answers counted in its time a second ago
	retryUsage          []retryUsage    // by profile
	lastAnsweredAt      []time.Duration // by profile: when one was last answered
	slowReaders         int             // transactions whose clients read their answers slowly
	errorFraction       movingAverage   // share of errors at all hosts
	meanServiceTime     movingAverage   // time of the transactions taken, as of work
	meanRevenue         movingAverage   // of the transactions taken
	recentArrivals      float64         // transactions taken of late
	recentAdmitted      float64         // of these, those that went to a host
	shedThisSecond      int             // rolled back on arrival within the last second
	arrivalsThisSecond  float64         // transactions taken within the last second
	arrivalRate         movingAverage   // the same, smoothed
	linkSuspectedAt     time.Duration   // when a connection last could not be made, or a hop on an unused one had no answer
	lastStallEnd        time.Duration   // until when this gateway last stood still
	probeTokens         float64         // that may be sent beside answers

	unsentHosts                []*host        // hosts to tell of soon
	coordinating               bool           // sums are due to be told
	pendingPicks               []*pendingPick // those that have no answer yet
	remotePickLatency          movingAverage  // from an ask to its answer, or until it was given up
	consecutiveUnansweredPicks int            // asks in a row that had no answer
	lastPickRequestAt          time.Duration
}

// pendingPick is one ask of another gateway for a host.
type pendingPick struct {
	tx      *tx
	sentAt  time.Duration
	txWaits bool // its request goes on with the answer
}

// New makes the decisions of one gateway; seed is the root of all its chance.
func New(executor Executor, now time.Duration, seed uint64, topology Topology, profiles []Profile, tenants []Tenant,
	coldRule ColdHostRule, drainRule DrainRule, hopRule HopRule, sources InformationSources, costModel CostModel) *Balancer {
	b := &Balancer{executor: executor, now: now, topology: topology, profiles: profiles, hopRule: hopRule, sources: sources, costModel: costModel,
		coldRule: coldRule, drainRule: drainRule,
		random: randomSource{seed: crc32.ChecksumIEEE(binary.LittleEndian.AppendUint64(nil, seed))}, txs: map[TxID]*tx{},
		serviceTime: make([]movingAverage, len(profiles)), longTermServiceTime: make([]movingAverage, len(profiles)),
		minServiceTime: make([]float64, len(profiles)), previousSamples: make([]float64, len(profiles)), retryUsage: make([]retryUsage, len(profiles)),
		lastAnsweredAt: make([]time.Duration, len(profiles)),
		errorFraction:  movingAverage{samples: 1 / mediumTermSmoothing}, // none at first
		hosts:          hostTable{byID: map[HostID]*host{}, kinds: map[string]*kindStats{}}}
	if costModel.OpenConnections || b.hasNoLoadInfo() { // those that it keeps to are its own: all gateways' alike would be crowded
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

// Reconfigure takes other rules. What is open holds the profile and the number of hops with which it was taken; a profile that is new
// begins with what was learnt of the last one of its name.
func (b *Balancer) Reconfigure(now time.Duration, profiles []Profile, tenants []Tenant, coldRule ColdHostRule, drainRule DrainRule, hopRule HopRule,
	sources InformationSources, costModel CostModel) {
	b.beginCall(now)
	for i := len(b.profiles); i < len(profiles); i++ {
		serviceTime := movingAverage{value: initialServiceTimeGoalFraction * float64(profiles[i].ServiceGoal)}
		longTerm, minTime, sameNameIndex := movingAverage{}, serviceTime.value, -1
		for k := range b.profiles {
			if b.profiles[k].Name == profiles[i].Name {
				serviceTime, longTerm, minTime, sameNameIndex = b.serviceTime[k], b.longTermServiceTime[k], b.minServiceTime[k], k
			}
		}
		b.serviceTime, b.longTermServiceTime, b.minServiceTime = append(b.serviceTime, serviceTime), append(b.longTermServiceTime, longTerm), append(b.minServiceTime, minTime)
		b.previousSamples, b.retryUsage, b.lastAnsweredAt = append(b.previousSamples, serviceTime.samples), append(b.retryUsage, retryUsage{}), append(b.lastAnsweredAt, 0)
		for _, h := range b.hosts.byID { // in any order: each gets its own
			k := breaker{}
			if sameNameIndex >= 0 {
				k = h.profileBreakers[sameNameIndex]
			}
			h.profileBreakers = append(h.profileBreakers, k)
		}
	}
	for i := range b.retryUsage {
		if hopRule.RetryBudget.Window != b.hopRule.RetryBudget.Window { // what was taken before earns nothing; hops made still count
			b.retryUsage[i].transactions = slidingWindow{}
		}
	}
	oldTenants := b.admission.tenants
	b.admission.tenants = nil
	for _, t := range tenants {
		carried := tenant{name: t.Name}
		if i := slices.IndexFunc(oldTenants, func(k tenant) bool { return k.name == t.Name }); i >= 0 {
			carried = oldTenants[i]
		}
		carried.quota = t.QuotaPerSecond
		b.admission.tenants = append(b.admission.tenants, carried)
	}
	coldRule.PredecessorActiveUntil = b.coldRule.PredecessorActiveUntil
	b.profiles, b.coldRule, b.drainRule, b.hopRule, b.sources, b.costModel = profiles, coldRule, drainRule, hopRule, sources, costModel
}

func (b *Balancer) ExportLearned(now time.Duration) LearnedState {
	learned := LearnedState{ErrorFraction: b.errorFraction.export()}
	for i, p := range b.profiles {
		if !p.Removed && b.serviceTime[i].samples > 0 {
			learned.Profiles = append(learned.Profiles, LearnedProfile{Name: p.Name, ServiceTime: b.serviceTime[i].export(), LongTermServiceTime: b.longTermServiceTime[i].export(), MinServiceTimeNs: b.minServiceTime[i]})
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(b.hosts.kinds)) {
		stats := b.hosts.kinds[kind]
		learned.Kinds = append(learned.Kinds, LearnedHostKind{kind, stats.slots.export(), stats.serviceTimeRatio.export(), stats.meanInFlight.export(), stats.uncrowdedInFlight.export(), stats.uncrowdedUtilization.export()})
	}
	for _, h := range b.hosts.ready {
		entry := LearnedHost{ID: h.ID, Uptime: ternary(h.StartedAt == 0, -1, now-h.StartedAt), Weight: h.weight, ServiceTimeRatio: h.serviceTimeRatio.export(), Latency: h.latency.export(),
			BreakerCooldown: h.hostBreaker.cooldown, ErrorFraction: h.hostBreaker.errorFraction}
		if h.hostBreaker.open {
			entry.BreakerOpenFor = max(1, h.hostBreaker.nextTrialAt-now)
		}
		learned.Hosts = append(learned.Hosts, entry)
	}
	return learned
}

// ImportLearned trusts what was learnt of profiles and kinds for as long as it takes; what was learnt of hosts is old after some seconds. What
// this process has learnt by itself stays.
func (b *Balancer) ImportLearned(now time.Duration, learned LearnedState, age time.Duration) {
	b.beginCall(now)
	for _, p := range learned.Profiles {
		i := slices.IndexFunc(b.profiles, func(entry Profile) bool { return entry.Name == p.Name && !entry.Removed })
		if i >= 0 && b.serviceTime[i].samples == 0 && p.ServiceTime.Value > 0 && p.MinServiceTimeNs > 0 {
			b.serviceTime[i], b.longTermServiceTime[i], b.minServiceTime[i], b.previousSamples[i] = p.ServiceTime.movingAverage(), p.LongTermServiceTime.movingAverage(), p.MinServiceTimeNs, p.ServiceTime.Samples
		}
	}
	for _, entry := range learned.Kinds {
		if stats := b.hosts.kinds[entry.Kind]; stats != nil && stats.slots.samples == 0 && stats.serviceTimeRatio.samples == 0 {
			stats.slots, stats.serviceTimeRatio, stats.meanInFlight, stats.uncrowdedInFlight, stats.uncrowdedUtilization = entry.Slots.movingAverage(), entry.ServiceTimeRatio.movingAverage(), entry.MeanInFlight.movingAverage(), entry.UncrowdedInFlight.movingAverage(), entry.UncrowdedUtilization.movingAverage()
		}
	}
	if age > observationTTL {
		return
	}
	b.errorFraction = learned.ErrorFraction.movingAverage()
	for _, entry := range learned.Hosts {
		h := b.hosts.readyHost(entry.ID)
		if h == nil || h.latency.samples > 0 || entry.Uptime >= 0 && (now-h.StartedAt-entry.Uptime-age).Abs() > maxStartTimeSkew || (entry.Uptime < 0) != (h.StartedAt == 0) {
			continue
		}
		h.weight, h.serviceTimeRatio, h.latency, h.serviceTimeRatioAt = entry.Weight, entry.ServiceTimeRatio.movingAverage(), entry.Latency.movingAverage(), now
		h.hostBreaker.errorFraction, h.hostBreaker.cooldown = entry.ErrorFraction, entry.BreakerCooldown
		if entry.BreakerOpenFor > age {
			h.hostBreaker.open, h.hostBreaker.nextTrialAt = true, now+entry.BreakerOpenFor-age
		}
	}
}

// markUnsent has a host told of soon.
func (b *Balancer) markUnsent(h *host) {
	if b.sources.PeersShareInFlight && h != nil && !h.unsent {
		h.unsent = true
		if b.unsentHosts = append(b.unsentHosts, h); len(b.unsentHosts) == 1 {
			b.schedule(b.now+peerMessageDelay, b.sendPeerMessages)
		}
	}
}

// markForResend has what is out at a host told once more, as messages may be lost.
func (b *Balancer) markForResend(h *host) {
	if h.ownInFlight > 0 || h.resend {
		b.markUnsent(h)
	}
	h.resend = false
}

// closeIdleConnections closes the connections to a host that were not used for the given time, where open connections have a price.
func (b *Balancer) closeIdleConnections(h *host, idleFor time.Duration) {
	if b.costModel.OpenConnections && h.lastUsedAt > 0 && h.ownInFlight == 0 && b.now-h.lastUsedAt > idleFor {
		h.lastUsedAt = 0
		b.executor.CloseIdleConnections(h.ID)
	}
}

// logShed logs how many transactions were rolled back on arrival within the last second.
func (b *Balancer) logShed() {
	if b.shedThisSecond > 0 {
		b.executor.Log(fmt.Sprintf("last second: %d rolled back on arrival", b.shedThisSecond))
	}
	b.shedThisSecond = 0
}

// callOffAfter calls a hop off after that time, unless it or its transaction has ended by then.
func (b *Balancer) callOffAfter(delay time.Duration, t *tx, hopIndex int) {
	b.schedule(b.now+delay, func() {
		if !t.done && !t.hops[hopIndex].ended {
			b.executor.CallOff(t.id, hopIndex)
		}
	})
}

// sendPeerMessages tells all that is new.
func (b *Balancer) sendPeerMessages() {
	for _, g := range b.hosts.groups {
		if entries := unsentEntries(b.unsentHosts, g); len(entries) > 0 && b.coordinatorOf(g) != b.topology.GatewayIndex {
			b.executor.SendPeerMessage(b.coordinatorOf(g), entries)
		}
	}
	b.unsentHosts = b.unsentHosts[:0]
}

// sendAggregates tells those that draw for other zones how the hosts of this one stand.
func (b *Balancer) sendAggregates() {
	b.schedule(b.now+aggregateInterval, b.sendAggregates)
	var aggregates []PeerEntry
	for _, h := range b.hosts.ready {
		if b.picksFor(h.group) && !h.hostBreaker.open && !b.unresponsive(h) {
			baseLatency := time.Duration(h.boundedServiceTimeRatio() * b.serviceTime[0].value)
			aggregates = append(aggregates, PeerEntry{Kind: EntryAggregate, Host: h.ID, InFlight: h.ownInFlight + h.peersInFlight, Latency: baseLatency})
		}
	}
	for _, g := range b.hosts.groups {
		if !b.picksFor(g) {
			b.executor.SendPeerMessage(b.coordinatorOf(g), aggregates)
			g.recordUnanswered(1, int(observationTTL/aggregateInterval))
		}
	}
}

// Telling. Few gateways tell all others what they have out. One of many hardly meets a host twice: one a zone
// draws for all, is asked for each transaction and told how hops ended. Unanswered, each draws by itself.

// coordinatorOf draws for a zone; it is -1 where each gateway draws for itself.
func (b *Balancer) coordinatorOf(g *zoneGroup) int {
	if !b.sources.PeersShareInFlight || b.topology.GatewayCount <= maxIndependentGateways {
		return -1
	}
	return (g.index + g.skippedCoordinators*len(b.hosts.groups)) % b.topology.GatewayCount
}

func (b *Balancer) picksFor(g *zoneGroup) bool {
	return b.coordinatorOf(g) < 0 || b.coordinatorOf(g) == b.topology.GatewayIndex
}

// requestRemotePick asks for a host. A request waits for the answer only where such answers come soon enough to be worth it; else its gateway picks at
// once from what it knows, and asks once a second without waiting, to learn whether that has changed. The same where several that draw were
// silent one after the other: then it is this gateway, or all, that nobody hears.
func (b *Balancer) requestRemotePick(t *tx) {
	txWaits := b.remotePickWorthwhile(t) && b.consecutiveUnansweredPicks < unansweredPicksToSuspectIsolation
	if !txWaits && b.now-b.lastPickRequestAt < requestRetryDelay {
		b.startTransaction(t)
		return
	}
	b.lastPickRequestAt = b.now
	pending := &pendingPick{t, b.now, txWaits}
	b.pendingPicks = append(b.pendingPicks, pending)
	b.executor.SendPeerMessage(b.coordinatorOf(t.homeGroup), []PeerEntry{{Kind: EntryPickRequest, Profile: t.profile, InFlight: t.homeGroup.index}})
	b.schedule(b.now+min(remotePickTimeout, (t.deadline-b.now)/2), func() { b.remotePickTimedOut(pending) })
	if !txWaits {
		b.startTransaction(t)
	}
}

// remotePickTimedOut gives up an ask unless it was answered.
func (b *Balancer) remotePickTimedOut(pending *pendingPick) {
	i := slices.Index(b.pendingPicks, pending)
	if i < 0 {
		return
	}
	b.pendingPicks = slices.Delete(b.pendingPicks, i, i+1)
	b.remotePickLatency.add(float64(b.now-pending.sentAt), rateSmoothing)
	home, missed := pending.tx.homeGroup, 1
	if !pending.txWaits && b.consecutiveUnansweredPicks < unansweredPicksToSuspectIsolation { // it stands for those of its second that were not asked for
		missed = consecutiveFailuresToOpen
	}
	home.recordUnanswered(missed, ternary(b.consecutiveUnansweredPicks < unansweredPicksToSuspectIsolation, consecutiveFailuresToOpen, 2*consecutiveFailuresToOpen))
	before := b.consecutiveUnansweredPicks
	if b.consecutiveUnansweredPicks += missed; before < unansweredPicksToSuspectIsolation && b.consecutiveUnansweredPicks >= unansweredPicksToSuspectIsolation { // once heard again all are to ask the same one
		home.skippedCoordinators, home.consecutiveUnanswered = 0, 0
	}
	if pending.txWaits {
		b.startTransaction(pending.tx)
	}
}

func (b *Balancer) remotePickAnswered(from int, response PeerEntry, h *host) {
	b.hosts.ownGroup().consecutiveUnanswered, b.consecutiveUnansweredPicks = 0, 0
	b.markUnsent(h) // or a host drawn too late, or not taken, would count as out there
	pending := b.takePendingPick(response.Profile)
	if pending == nil {
		return
	}
	b.remotePickLatency.add(float64(b.now-pending.sentAt), rateSmoothing)
	switch t := pending.tx; {
	case !pending.txWaits || t.done:
	case response.Host == 0:
		b.shedThisSecond++
		b.finishTransaction(t)
	case h != nil && t.mayRunOn(h, b.now) && b.withinColdBudget(h, t.profile):
		if !b.picksFor(h.group) { // else it knows better
			h.setPeerInFlight(from, max(0, response.InFlight-h.ownInFlight), b.now)
		}
		b.sendHop(t, h)
	default:
		b.startTransaction(t)
	}
}

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
			if entry.Kind == EntryAggregate && entry.Latency > 0 { // no time would make it look infinitely fast
				h.serviceTimeRatio.value, h.group.consecutiveUnanswered = float64(entry.Latency)/b.serviceTime[entry.Profile].value, 0
			}
			h.setPeerInFlight(from, entry.InFlight, now)
		}
	}
}

// answerPickRequest counts the hop as out until more is told.
func (b *Balancer) answerPickRequest(from int, request PeerEntry) {
	t := &tx{profile: request.Profile, profileConfig: &b.profiles[request.Profile], homeGroup: b.hosts.groupAt(request.InFlight)}
	for i := 0; i < b.topology.GatewayCount && !b.picksFor(t.homeGroup); i++ {
		t.homeGroup.skippedCoordinators++ // asked, as those before it are silent
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

// takePendingPick takes out the first ask for a profile that waits for its answer, nil where none does.
func (b *Balancer) takePendingPick(profile int) *pendingPick {
	i := slices.IndexFunc(b.pendingPicks, func(pending *pendingPick) bool { return pending.tx.profile == profile })
	if i < 0 {
		return nil
	}
	pending := b.pendingPicks[i]
	b.pendingPicks = slices.Delete(b.pendingPicks, i, i+1)
	return pending
}

// manyWithoutPeerMessages tells whether this is one of many gateways that learn of each other only by what hosts report.
func (b *Balancer) manyWithoutPeerMessages() bool {
	return !b.sources.PeersShareInFlight && b.topology.GatewayCount > maxIndependentGateways
}

// hostsReportInFlight tells whether it learns by reports what others have out at each host.
func (b *Balancer) hostsReportInFlight() bool {
	return b.sources.ResponsesReportInFlight && !b.sources.PeersShareInFlight
}

// usesLiveCapacity tells whether it learns by the list what hosts hold, and from nobody else.
func (b *Balancer) usesLiveCapacity() bool {
	return b.sources.CapacityHints == LiveCapacity && b.manyWithoutPeerMessages()
}

// hasNoLoadInfo tells whether this is one of many gateways that learn of hosts by the ends of their own hops alone.
func (b *Balancer) hasNoLoadInfo() bool {
	return b.manyWithoutPeerMessages() && !b.sources.ResponsesReportLoad && !b.sources.ProbesReportLoad && b.sources.CapacityHints != LiveCapacity
}

// judgesByZone tells whether it judges zones, as it knows too little of any one host in time.
func (b *Balancer) judgesByZone() bool { return b.usesLiveCapacity() || b.hasNoLoadInfo() }

// fewWithoutReports tells whether this is one of few that learn of hosts by the ends of their own hops, and by a probe now and then.
func (b *Balancer) fewWithoutReports() bool {
	return b.topology.GatewayCount <= maxIndependentGateways && !b.sources.PeersShareInFlight && !b.sources.ResponsesReportLoad
}

// probesOnly tells whether it learns of each host by the ends of its own hops and by probes now and then, and from nobody else.
func (b *Balancer) probesOnly() bool {
	return b.sources.ProbesReportLoad && !b.sources.PeersShareInFlight && !b.sources.ResponsesReportLoad && !b.judgesByZone()
}

// recordLatencyRatio takes in what a hop took, of what it takes at a free host. What a profile feels those that earn less feel alike; of those that
// earn more it says less, as hosts may see to them first.
func (b *Balancer) recordLatencyRatio(h *host, profile int, result HopResult, hostHangs bool) {
	ratio := float64(result.Latency) / b.referenceTime(profile)
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
	if hostHangs || result.Outcome == HopNoConnection { // the one is that host's alone, the other says nothing of hops that have a connection
		return
	}
	g, maxRatio := h.group, b.maxCongestionSample()
	for len(g.congestion) < len(b.profiles) {
		g.congestion = append(g.congestion, congestionEstimate{value: initialCongestion})
	}
	for i := range g.congestion {
		estimate := &g.congestion[i]
		smoothing := min(max(1-math.Exp(-float64(b.now-estimate.updatedAt)/float64(congestionTimeConstant)), minCongestionSmoothing), maxCongestionSmoothing)
		if b.revenueForWork(i) > b.revenueForWork(profile) {
			smoothing *= higherRevenueSmoothingFactor
		} else {
			estimate.updatedAt = b.now
		}
		estimate.value += smoothing * (min(ratio, maxRatio) - estimate.value)
	}
}

// referenceTime is the time that jams are reckoned by: the first guess, a part of the goal, where a profile takes less.
func (b *Balancer) referenceTime(profile int) float64 {
	return max(b.minServiceTime[profile], initialServiceTimeGoalFraction*float64(b.profiles[profile].ServiceGoal))
}

// recentLatencyRatio is what hops took at a host of late: one that answers nothing more is forgotten.
func (b *Balancer) recentLatencyRatio(h *host) float64 {
	return 1 + (h.latencyRatio-1)*math.Exp(-float64(b.now-h.latencyRatioAt)/float64(latencyRatioDecayTime))
}

// congestion is what hops take in a zone for a profile, those that are out yet and late included.
func (b *Balancer) congestion(g *zoneGroup, profile int) float64 {
	value := initialCongestion
	if profile < len(g.congestion) {
		value += (g.congestion[profile].value - initialCongestion) * math.Exp(-float64(b.now-g.congestion[profile].updatedAt)/float64(congestionDecayTime))
	}
	if b.usesLiveCapacity() { // where hosts stand still what is out says nothing of the others, and the list tells of them
		return value
	}
	excess := 0.0
	for _, t := range b.txs { // in any order: it is a sum
		for i := range t.hops {
			k := &t.hops[i]
			age := float64(b.now-k.sentAt) / b.referenceTime(t.profile) / lateHopAgeDivisor
			if !k.ended && k.host.group == g && age > value && b.revenueForWork(t.profile) >= b.revenueForWork(profile) && !b.suspectedOutlier(t.tenant) {
				excess += lateHopCongestionFraction * (age - value)
			}
		}
	}
	return value + excess
}

// relativeLoad is what the hosts of a group hold, of that at which their cores are all in use, as far as told; -1 where it is not.
func (b *Balancer) relativeLoad(g *zoneGroup) float64 {
	if !b.hostsReportInFlight() || len(g.hosts) == 0 || g.hosts[0].kindStats.concurrencyLimit() == 0 {
		return -1
	}
	return (g.reportedInFlight.value + 1) / g.hosts[0].kindStats.concurrencyLimit()
}

// probeStaleHosts probes a host in reach that has not told lately what it holds: answers are few, or late in a jam.
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

// recordLoadReport takes a report; to one of many it speaks for the zone.
func (b *Balancer) recordLoadReport(h *host, load LoadReport) {
	steady := h.utilizationAt > 0 && b.now-h.utilizationAt < observationTTL && math.Abs(load.Utilization-h.utilization) < maxSteadyUtilizationChange
	h.recordReportedLoad(load, b.now)
	if b.hostsReportInFlight() && load.InFlight >= 0 {
		h.recordReportedInFlight(load, steady, b.now)
		h.group.reportedInFlight = movingAverage{h.reportedInFlight, 1}
	} else if b.manyWithoutPeerMessages() && load.Queued >= 0 {
		h.group.queuedPerHost.add(load.Queued, shortTermSmoothing)
		h.estimatedInFlight, h.estimatedInFlightAt = load.Queued+max(0, load.RequestsPerSecond*load.LatencyMs/1000), b.now
	}
}

// beginCall begins a call. Where something should have been done long ago the gateway itself stood still until now.
func (b *Balancer) beginCall(now time.Duration) {
	if b.now = now; len(b.timers.entries) > 0 && now-b.timers.entries[0].at > stallThreshold {
		b.lastStallEnd = now
	}
}

// openHop is a hop that has not ended, nil where none is known.
func (b *Balancer) openHop(id TxID, hopIndex int) (*tx, *hop) {
	t := b.txs[id]
	if t == nil || hopIndex < 0 || hopIndex >= len(t.hops) || t.hops[hopIndex].ended {
		return nil, nil
	}
	return t, &t.hops[hopIndex]
}

// HopBodySent counts the hop as out. While the bodies of slow clients came, their hosts looked crowded, or silent, and others were rolled
// back for it.
func (b *Balancer) HopBodySent(now time.Duration, id TxID, hopIndex int) {
	b.beginCall(now)
	t, k := b.openHop(id, hopIndex)
	if k == nil || t.hopWeight > 0 {
		return
	}
	t.hopWeight, t.deadline, k.sentAt = 1, t.deadline+now-k.sentAt, now
	if k.host.ownInFlight++; k.host.ownInFlight == 1 {
		k.host.unansweredSince = now
	}
	k.hostInFlight = k.host.inFlight()
	b.markUnsent(k.host)
}

func (b *Balancer) ResponseStarted(now time.Duration, id TxID, _ int) {
	b.beginCall(now)
	if t := b.txs[id]; t != nil {
		t.done = true
	}
}

func (b *Balancer) ClientLeft(now time.Duration, id TxID) {
	b.beginCall(now)
	if t := b.txs[id]; t != nil {
		b.settleTransaction(t)
	}
}

// AvoidedHosts counts hosts that drain, and those whose breaker for all profiles is open.
func (b *Balancer) AvoidedHosts() (count int) {
	for _, h := range b.hosts.byID { // in any order: it is a sum
		if h.State == HostDraining || h.State == HostReady && h.hostBreaker.open {
			count++
		}
	}
	return count
}

// closeIdleIfNotReady gives back what is idle to a host that drains or is gone, where that is a rule: on being told, and
// as a hop or probe ends there, so that no time has to be kept.
func (b *Balancer) closeIdleIfNotReady(h Host) {
	if b.drainRule.CloseIdleConnections && h.State != HostReady {
		b.executor.CloseIdleConnections(h.ID)
	}
}

// randomListDelay is a time by chance for a call of the list: in step all would be late together.
func (b *Balancer) randomListDelay(baseDelay time.Duration) time.Duration {
	maxDelay := min(max(baseDelay, time.Duration(b.topology.GatewayCount)*listPollIntervalPerGateway), b.sources.MaxListPollInterval/2)
	return time.Duration(b.random.uniform() * float64(maxDelay))
}

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

func ternary[T any](condition bool, ifTrue, ifFalse T) T {
	if condition {
		return ifTrue
	}
	return ifFalse
}

// movingAverage is a smoothed value that trusts its first samples.
type movingAverage struct{ value, samples float64 }

func (a *movingAverage) add(sample, smoothing float64) {
	a.samples++
	a.value += max(smoothing, 1/a.samples) * (sample - a.value)
}

func (a movingAverage) export() SmoothedMean { return SmoothedMean{a.value, a.samples} }

func (m SmoothedMean) movingAverage() movingAverage { return movingAverage{m.Value, m.Samples} }

// timerQueue are kept in order; of equal ones the first added comes first.
type timerQueue struct {
	entries  []timerEntry
	armedFor time.Duration // when the timer set falls due, 0 for none
}

type timerEntry struct {
	at  time.Duration
	run func()
}

func (q *timerQueue) add(at time.Duration, run func()) {
	i := len(q.entries)
	for i > 0 && q.entries[i-1].at > at {
		i--
	}
	q.entries = slices.Insert(q.entries, i, timerEntry{at, run})
}

// popDue takes out the first that is due, nil if none is.
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

// arm sets a timer for the first, unless one that is set is soon enough.
func (q *timerQueue) arm(now time.Duration, setTimer func(time.Duration)) {
	if first := max(q.entries[0].at, now+1); q.armedFor == 0 || first < q.armedFor {
		q.armedFor = first
		setTimer(first - now)
	}
}

// schedule has something done at its time; the one timer is set for the first of these.
func (b *Balancer) schedule(at time.Duration, run func()) {
	b.timers.add(at, run)
	b.timers.arm(b.now, b.executor.SetTimer)
}

func (b *Balancer) TimerFired(now time.Duration) {
	b.beginCall(now)
	for run := b.timers.popDue(now); run != nil; run = b.timers.popDue(now) {
		run()
	}
	b.timers.arm(now, b.executor.SetTimer)
}

// randomSource gives the same draws for the same seed.
type randomSource struct{ seed, drawCount uint32 }

// reserve counts one draw.
func (r *randomSource) reserve() uint32 {
	r.drawCount++
	return r.drawCount - 1
}

// uniform is even over [0, 1).
func (r *randomSource) uniform() float64 {
	r.drawCount++
	crc := ^r.seed
	for bits, i := uint64(r.drawCount)*uint64(r.seed|1), 0; i < 8; i++ {
		crc = crc32.IEEETable[byte(crc)^byte(bits)] ^ crc>>8
		bits >>= 8
	}
	return float64(^crc) / (1 << 32)
}

type hostTable struct {
	byID                    map[HostID]*host
	kinds                   map[string]*kindStats
	ready                   []*host      // by id
	startKnown              []*host      // those of which a start is known
	groups                  []*zoneGroup // the own one first
	maxCapacityHint         float64      // size that a list has told of a host
	consecutiveListFailures int          // calls for the list lost in a row
	rankSeed                uint32       // seed of the order in which this gateway takes hosts
}

func (t *hostTable) addGroups(topology Topology) {
	zones := topology.Zones
	if len(zones) == 0 {
		zones = []string{topology.Zone}
	}
	ownIndex := max(0, slices.Index(zones, topology.Zone))
	for i := range zones {
		index := (ownIndex + i) % len(zones)
		t.groups = append(t.groups, &zoneGroup{name: zones[index], index: index, queueingRatio: movingAverage{1, 1 / queueingRatioSmoothing}})
	}
	for i, g := range t.groups {
		g.searchOrder = append(append(append(g.searchOrder, g), t.groups[:i]...), t.groups[i+1:]...)
	}
}

// readyHost is nil where a host is not known or not ready.
func (t *hostTable) readyHost(id HostID) *host {
	if h := t.byID[id]; h != nil && h.State == HostReady {
		return h
	}
	return nil
}

func (t *hostTable) ownGroup() *zoneGroup { return t.groups[0] }

// errorFractionElsewhere is the mean share of errors at the hosts that are not barred, but for one: that one's own say nothing of what
// is usual. Where any told anything since then, only such hosts count: those that get no hops err on none.
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

// referenceFailureFraction is the share of failures that a profile's at a host is compared with: the largest of other profiles there that were
// answered last, or the lower quartile of its own at other hosts if that is more. Only what was answered since then counts, and where its own
// failed last; it is 1 where there is nothing to compare with.
func (t *hostTable) referenceFailureFraction(h *host, profile int, since time.Duration) float64 {
	var here, elsewhere []float64
	for i := range h.profileBreakers {
		if k := &h.profileBreakers[i]; i != profile && k.consecutiveFailures == 0 && k.streakSince > since {
			here = append(here, float64(k.failureFraction))
		}
	}
	for _, other := range t.ready {
		if k := &other.profileBreakers[profile]; other != h && (k.consecutiveFailures > 0 || k.streakSince > since) {
			elsewhere = append(elsewhere, float64(k.failureFraction))
		}
	}
	if len(here) == 0 || len(elsewhere) == 0 {
		return 1
	}
	slices.Sort(elsewhere)
	return max(slices.Max(here), elsewhere[len(elsewhere)/4])
}

// groupAt is the one of that index among the zones, the own one where there is none.
func (t *hostTable) groupAt(index int) *zoneGroup {
	for _, g := range t.groups {
		if g.index == index {
			return g
		}
	}
	return t.ownGroup()
}

// rank is a host's place in the order of this gateway, the same for all where it keeps to no order of its own.
func (t *hostTable) rank(id HostID) float64 {
	return ternary(t.rankSeed == 0, &randomSource{}, &randomSource{t.rankSeed, uint32(id)}).uniform()
}

// merge takes a list in and returns the hosts that are new or have started again.
func (t *hostTable) merge(kind ListKind, listed []Host, isGone func(*host) bool) (added []*host) {
	if kind != ListCached {
		t.consecutiveListFailures = 0
	}
	membershipChanged := kind != ListChanges // whether any comes, goes or begins anew: else only sizes have changed
	if membershipChanged {
		for _, h := range t.byID { // in any order: each is its own
			h.State = ternary(isGone(h), HostGone, h.State)
		}
	}
	for i := range listed {
		entry := &listed[i]
		h := t.byID[entry.ID]
		membershipChanged = membershipChanged || h == nil || entry.State != h.State || entry.Zone != h.Zone
		if h == nil || entry.State == HostReady && h.StartedAt != entry.StartedAt {
			if h == nil {
				h = &host{rank: t.rank(entry.ID)}
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
		if entry.State == HostGone && !isGone(h) {
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

// updateInFlightPerCore takes in what hosts hold for each core, by the sizes that a list gives, and tells the mean over all.
func (t *hostTable) updateInFlightPerCore(listed []Host) (overall movingAverage) {
	for i := range listed {
		if h := t.readyHost(listed[i].ID); h != nil && listed[i].CapacityHint > 0 {
			h.reportedInFlight = h.kindStats.maxCapacityHint/listed[i].CapacityHint - 1
		}
	}
	for _, m := range t.kinds { // in any order: each is its own
		m.inFlightPerCore = movingAverage{}
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

// updateAnswerRates takes in what a warm host of each kind did for this gateway within the last second.
func (t *hostTable) updateAnswerRates(isCold func(*host) bool) {
	for _, m := range t.kinds { // in any order: each is its own
		if m.warmHosts > 0 {
			m.answersPerSecond.add(m.answersThisSecond/m.warmHosts, rateSmoothing)
		}
		m.answersThisSecond, m.warmHosts = 0, 0
	}
	for _, h := range t.ready {
		h.kindStats.warmHosts += ternary(isCold(h), 0.0, 1)
	}
}

// rebuildGroups puts the hosts that are ready into their groups.
func (t *hostTable) rebuildGroups() {
	t.ready, t.startKnown = t.ready[:0], t.startKnown[:0]
	for _, g := range t.groups {
		g.hosts = g.hosts[:0]
	}
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		h := t.byID[id]
		i := slices.IndexFunc(t.groups, func(g *zoneGroup) bool { return g.name == h.Zone })
		if i < 0 {
			h.State = HostGone // in no zone that is known
		}
		if h.State == HostReady {
			h.group = t.groups[i]
			t.ready, h.group.hosts = append(t.ready, h), append(h.group.hosts, h)
			if h.StartedAt > 0 {
				t.startKnown = append(t.startKnown, h)
			}
		} else if h.State == HostGone && h.ownInFlight == 0 {
			delete(t.byID, id)
		}
	}
	for _, g := range t.groups {
		slices.SortStableFunc(g.hosts, func(x, y *host) int { return cmp.Compare(x.rank, y.rank) })
	}
}

// kindStats is what like hosts show.
type kindStats struct {
	weight               float64       // times that of each host, where the list tells what they hold
	inFlightPerCore      movingAverage // held for each core there, ditto
	maxCapacityHint      float64       // the largest that the list has told of one: what one that holds nothing is
	answersThisSecond    float64       // answers of warm hosts of this kind within the last second
	warmHosts            float64       // these hosts
	answersPerSecond     movingAverage // answers of each a second
	slots                movingAverage // hops in work at a full host, where reports show it
	meanInFlight         movingAverage // hops there, where hosts report these and utilisation
	uncrowdedInFlight    movingAverage // those up to the usual ones, when cores are free
	uncrowdedUtilization movingAverage // and the utilisation then
	overloaded           bool          // one of these hosts was: how many hops they take is no guess then
	serviceTimeRatio     movingAverage // times the usual time of a profile
}

// zoneGroup is the hosts of one zone.
type zoneGroup struct {
	name                  string
	index                 int // among the zones
	hosts                 []*host
	searchOrder           []*zoneGroup         // this one and then the others
	queuedPerHost         movingAverage        // hops waiting at a host here, where answers report it to one of many
	reportedInFlight      movingAverage        // hops of other gateways at a host here, where answers report what is held to one of many
	queueingRatio         movingAverage        // what answers here take, crowds aside, of the least
	spilloverFraction     float64              // part of its traffic that goes to others, where the list tells what hosts hold
	effectiveHosts        float64              // hosts here, those counted less that hold much, ditto
	inFlightAtTargets     float64              // held for each core at the hosts that hops go to, ditto
	congestion            []congestionEstimate // by profile, what hops take here, where nothing tells of hosts
	shedFraction          float64              // part of its transactions that is rolled back, where the list tells what hosts hold
	shedUpdatedAt         time.Duration        // when that was last reckoned
	skippedCoordinators   int                  // those that drew here and were given up as silent
	consecutiveUnanswered int                  // answers in a row that did not come
}

// recordUnanswered counts answers that did not come, and goes on to the next drawer after most in a row.
func (g *zoneGroup) recordUnanswered(count, maxConsecutive int) {
	if g.consecutiveUnanswered += count; g.consecutiveUnanswered >= maxConsecutive {
		g.skippedCoordinators, g.consecutiveUnanswered = g.skippedCoordinators+1, 0
	}
}

// congestionEstimate is smoothed, with the time of its last answer.
type congestionEstimate struct {
	value     float64
	updatedAt time.Duration
}

type peerInFlight struct {
	hops       int
	receivedAt time.Duration
}

type host struct {
	Host
	ownInFlight        int // hops of this gateway out
	group              *zoneGroup
	kindStats          *kindStats
	peersInFlight      int                  // hops of the other gateways out, as told
	inFlightByPeer     map[int]peerInFlight // the same by the gateway that told
	lastSentInFlight   int                  // own hops out as last told
	resend             bool                 // to be told of once more
	unsent             bool                 // to be told of soon
	connectionUnproven bool                 // nothing has come yet on its connection, new or unused for long
	rank               float64              // its place in the order in which this gateway takes hosts
	lastUsedAt         time.Duration        // when a hop last went there, 0 once its connections are given back
	noConnectUntil     time.Duration        // until when no new connection is tried, as one could not be made
	unsentOutcomes     []PeerEntry          // how own hops ended, not yet told
	health
	coldHopTimes []time.Duration // hops within the last TipAfter while cold
}

type health struct {
	weight              float64
	answeredThisSecond  bool          // an answer since the last second
	failedThisSecond    bool          // a failure, full answer or time-out since the last slow tick
	serviceTimeRatio    movingAverage // times the usual time of a profile, with a core free
	latency             movingAverage // time of an answer, waits included
	utilization         float64       // reported utilisation
	utilizationAt       time.Duration // when that came, 0 for never
	lastProbedAt        time.Duration // when last probed beside answers
	reportedInFlight    float64       // hops of other gateways there, as it last reported
	reportedInFlightAt  time.Duration // when that came
	latencyRatio        float64       // what hops took here of late, of what they take at a free host
	latencyRatioAt      time.Duration // when that was
	estimatedInFlight   float64       // hops that wait or are worked on there, by its queue, rate and time
	estimatedInFlightAt time.Duration // when that came
	spreadFactor        float64       // times the weight, until the list tells anew what hosts hold
	serviceTimeRatioAt  time.Duration // when an answer or time-out last said something of its pace
	unansweredSince     time.Duration // since when hops are out without any answer, if any are
	hostBreaker         breaker
	profileBreakers     []breaker // by profile
}

func (h *host) breakers(profile int) []*breaker {
	return []*breaker{&h.hostBreaker, &h.profileBreakers[profile]}
}

// recordReportedLoad takes in what a host says of its load.
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

// concurrencyLimit is the hops at which all cores of such a host are in use, 0 where that is not known.
func (m *kindStats) concurrencyLimit() float64 {
	return ternary(m.uncrowdedUtilization.samples > 0, m.uncrowdedInFlight.value/m.uncrowdedUtilization.value, 0)
}

// recordReportedInFlight takes in what others have out at the host, and what its like hold as their cores fill. That only while the load is
// calm: utilisation is of a time, what is held of its end, and as a day began the knee came out at three to six times its
// value, so that hosts were buried in the first second.
func (h *host) recordReportedInFlight(load LoadReport, steady bool, now time.Duration) {
	h.reportedInFlight, h.reportedInFlightAt = max(0, load.InFlight-float64(h.ownInFlight)), now
	stats := h.kindStats
	if stats.uncrowdedInFlight.samples == 0 {
		stats.uncrowdedInFlight, stats.uncrowdedUtilization = movingAverage{initialConcurrencyLimit / 2, concurrencyLimitPriorSamples}, movingAverage{0.5, concurrencyLimitPriorSamples}
	}
	if load.Utilization > 0 && load.InFlight >= 1 {
		if stats.meanInFlight.add(load.InFlight, mediumTermSmoothing); load.InFlight <= stats.meanInFlight.value && load.Utilization < maxConcurrencyLimitUtilization && steady {
			stats.uncrowdedInFlight.add(load.InFlight, mediumTermSmoothing)
			stats.uncrowdedUtilization.add(load.Utilization, mediumTermSmoothing)
		}
	}
}

func (h *host) recordServiceTimeRatio(ratio float64) {
	h.kindStats.serviceTimeRatio.add(ratio, mediumTermSmoothing)
	h.serviceTimeRatio.add(ratio, shortTermSmoothing)
}

// normalizeServiceTimeRatios keeps paces around 1. One not heard of gets no hops to show it well: it goes to its like's.
func (b *Balancer) normalizeServiceTimeRatios() {
	mean, ownHosts := movingAverage{1, 0}, []*host{}
	for _, h := range b.hosts.ready {
		if b.picksFor(h.group) { // others' paces are told
			mean.add(h.serviceTimeRatio.value, 0)
			ownHosts = append(ownHosts, h)
		}
	}
	useLongTerm := b.hostsReportInFlight() || b.fewWithoutReports() || b.usesLiveCapacity() // a few short answers are not the least time
	for i := range b.serviceTime {
		serviceTime := &b.serviceTime[i]
		if serviceTime.samples-b.previousSamples[i] > priorServiceTimeRatioSamples { // the time of one rolled back each time would drift away
			serviceTime.value *= mean.value
		}
		b.previousSamples[i] = serviceTime.samples
		// Where gateways tell, a jam is in the crowd and does not raise the work. What stays so long although next to nothing is
		// taken is no jam, but what a profile takes.
		b.minServiceTime[i] *= 1 + ternary(b.hasNoLoadInfo() && b.congestion(b.hosts.ownGroup(), i) >= congestionShedRampEnd, congestedMinServiceTimeRisePerSecond, minServiceTimeRisePerSecond)
		typical, smoothing := *serviceTime, mediumTermSmoothing
		if useLongTerm {
			typical, smoothing = b.longTermServiceTime[i], longTermSmoothing
		}
		switch {
		case typical.samples == 0: // or what is never answered would yield to nothing, and all others to it
		case typical.samples*smoothing < 1 && !b.sources.PeersShareInFlight && (useLongTerm || typical.value >= b.minServiceTime[i]): // begun in a jam?
			b.minServiceTime[i] = min(typical.value, initialServiceTimeGoalFraction*float64(b.profiles[i].ServiceGoal))
		case b.sources.PeersShareInFlight || typical.value < b.minServiceTime[i]:
			b.minServiceTime[i] = typical.value
		}
	}
	for _, m := range b.hosts.kinds {
		m.serviceTimeRatio.value = max(m.serviceTimeRatio.value/mean.value, minServiceTimeRatio)
	}
	for _, h := range ownHosts {
		if h.serviceTimeRatio.value /= mean.value; b.now-h.serviceTimeRatioAt > observationTTL && h.kindStats.serviceTimeRatio.samples > 0 {
			h.serviceTimeRatio.value += excessDecayPerSecond * (h.kindStats.serviceTimeRatio.value - h.serviceTimeRatio.value)
		}
	}
}

// breakersClosed tells whether neither breaker is open.
func (h *host) breakersClosed(profile int) bool {
	return !h.hostBreaker.open && !h.profileBreakers[profile].open
}

// openedByOverload tells whether overload opened a breaker that is open.
func (h *host) openedByOverload(profile int) bool {
	return slices.ContainsFunc(h.breakers(profile), func(k *breaker) bool { return k.open && k.openedByOverload })
}

// trialDueAt is when all its open breakers are due for a trial.
func (h *host) trialDueAt(profile int) (dueAt time.Duration) {
	for _, k := range h.breakers(profile) {
		if k.open {
			dueAt = max(dueAt, k.nextTrialAt)
		}
	}
	return dueAt
}

// startTrial marks its open breakers as on trial, and when the next is due.
func (h *host) startTrial(profile int, nextTrialAt time.Duration) {
	for _, k := range h.breakers(profile) {
		if k.open {
			k.onTrial, k.nextTrialAt = true, nextTrialAt
		}
	}
}

// inFlight is all hops there, as far as known.
func (h *host) inFlight() float64 {
	return float64(h.ownInFlight+h.peersInFlight) + ternary(h.reportedInFlightAt > 0, h.reportedInFlight, h.group.reportedInFlight.value+h.group.queuedPerHost.value)
}

// setPeerInFlight counts what another gateway has out.
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

// expirePeerInFlight forgets what was told before since.
func (h *host) expirePeerInFlight(before time.Duration) {
	for gateway, k := range h.inFlightByPeer { // in any order: it is a sum
		if k.receivedAt < before {
			h.peersInFlight -= k.hops
			delete(h.inFlightByPeer, gateway)
		}
	}
	if h.reportedInFlightAt < before {
		h.reportedInFlightAt = 0
	}
}

func (b *Balancer) isCold(h *host) bool {
	return h.StartedAt > 0 && b.now-h.StartedAt < b.coldRule.WarmUpDuration+b.coldRule.StartTimeTolerance
}

// coldHopsSince is how many hops were sent to it since then, as it was cold.
func (h *host) coldHopsSince(since time.Duration) int {
	for len(h.coldHopTimes) > 0 && h.coldHopTimes[0] <= since {
		h.coldHopTimes = h.coldHopTimes[1:]
	}
	return len(h.coldHopTimes)
}

// medianLatency is the middle latency of the hosts that have answered.
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

// unsentEntries is what is to be told of the hosts of a group.
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

// breaker is for a host, or for one profile there. There is one for each of both, so its fields are as small as may be.
type breaker struct {
	consecutiveFailures uint8         // failures in a row
	open                bool          // no hops but trials
	onTrial             bool          // a trial is out
	openedByOverload    bool          // it was opened by overload
	failureFraction     float32       // smoothed share of failures, time-outs among them
	errorFraction       float64       // the same of errors
	streakSince         time.Duration // when the first of the row failed, or, where there is none, of the last good answer
	nextTrialAt         time.Duration // when the next trial is due
	cooldown            time.Duration // the cooldown before it
}

// retryUsage counts a profile's transactions taken and its hops beyond each transaction's first.
type retryUsage struct{ transactions, retries slidingWindow }

func (r *retryUsage) countTransaction(now, span time.Duration) { r.transactions.add(now, span) }
func (r *retryUsage) countRetry(now, span time.Duration)       { r.retries.add(now, span) }

// slotsPerWindow is into how many slots a window is cut: what is counted falls by a twentieth of it at once.
const slotsPerWindow = 20

// slidingWindow counts what came within the last span, by slots. The oldest slot lies in it partly.
type slidingWindow struct {
	span       time.Duration // as last counted by
	newestSlot int64         // number of the newest slot since the module's time 0
	slots      [slotsPerWindow + 1]int32
}

// advance lets go of slots that are past. Another span keeps what was counted, as if it had all come now.
func (w *slidingWindow) advance(now, span time.Duration) {
	if span <= 0 {
		return
	}
	slot := int64(now) / max(1, int64(span)/slotsPerWindow)
	if w.span != span {
		total := w.total()
		*w = slidingWindow{span: span, newestSlot: slot}
		w.slots[slot%(slotsPerWindow+1)] = int32(total)
	}
	for ; w.newestSlot < slot; w.newestSlot++ {
		if slot-w.newestSlot > slotsPerWindow {
			w.newestSlot = slot - slotsPerWindow - 1
		}
		w.slots[(w.newestSlot+1)%(slotsPerWindow+1)] = 0
	}
}

func (w *slidingWindow) add(now, span time.Duration) {
	if w.advance(now, span); span > 0 {
		w.slots[w.newestSlot%(slotsPerWindow+1)]++
	}
}

// upperBound is what may have come within the span, least what surely has.
func (w *slidingWindow) upperBound(now, span time.Duration) float64 {
	w.advance(now, span)
	return w.total()
}

func (w *slidingWindow) lowerBound(now, span time.Duration) float64 {
	w.advance(now, span)
	return w.total() - float64(w.slots[(w.newestSlot+1)%(slotsPerWindow+1)])
}

func (w *slidingWindow) total() float64 {
	total := int32(0)
	for _, k := range w.slots {
		total += k
	}
	return float64(total)
}

type tenantAdmission struct {
	tenants []tenant
}

// missedGoalsOfOthers is the share of hops past their goal of the tenants but this one, and how many hops that rests on; 0 for no tenant.
func (a *tenantAdmission) missedGoalsOfOthers(t *tenant) (fraction, hops float64) {
	var others movingAverage
	for i := range a.tenants {
		if k := &a.tenants[i]; t != nil {
			others.add(ternary(k == t, 0, k.missedGoalFraction.value), 0)
			hops += ternary(k == t, 0, k.missedGoalFraction.samples)
		}
	}
	return others.value, hops
}

// tenant counts in transactions a second of this gateway.
type tenant struct {
	name                    string
	quota, tokens, arrivals float64
	arrivalRate             movingAverage
	missedGoalFraction      movingAverage // share of hops past their goal
	overShare               bool          // it sends far more than its portion
}

// refill gives tenants a second's tokens, by an even part of the quota or what the middle tenant shows, so
// that none at a busy gateway is taken for greedy.
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

// charge tells whether a transaction goes beyond its tenant's share.
func (a *tenantAdmission) charge(tenantIndex int) bool {
	t := &a.tenants[tenantIndex]
	t.arrivals++
	t.tokens--
	return t.overShare && t.tokens < 0
}

type tx struct {
	id            TxID
	profile       int
	profileConfig *Profile
	deadline      time.Duration // when an answer earns nothing more, or the budget ends
	hops          []hop
	hopsInFlight  int // hops out
	affinityKey   uint32
	homeGroup     *zoneGroup // the zone it came in
	maxHops       int        // hops that it may have
	hopWeight     int        // what a hop of it counts at its host: nothing while its body comes
	outlierTenant bool       // its tenant's wait long wherever they go: its hops weigh and tell nothing
	overShare     bool       // beyond its tenant's share
	tenant        *tenant    // nil where there is none
	slowReader    bool       // its client reads it slowly
	done          bool       // it has its final answer, or its stream has begun
}

// candidate is a host's in a draw: the largest falls to each as often as its weight asks.
type candidate struct {
	host                *host
	expectedTime, score float64 // expected time; the lot
}

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

type hop struct {
	host           *host
	sentAt         time.Duration
	connectionIdle time.Duration // for which its connection had stood unused, where that matters
	hostInFlight   float64       // hops at the host when it was sent, itself included
	ended          bool
	outcome        HopOutcome
	onFailure      func() // what comes next where the hop has not answered
}

// settleTransaction ends a transaction's part here. One that any host answers with an error is not counted to its tenant's share: it is hardly
// any work.
func (b *Balancer) settleTransaction(t *tx) {
	for i := range t.hops {
		if !t.hops[i].ended && !t.done && b.hopRule.CallOff {
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

// errorCount is how many hosts have answered it with an error.
func (t *tx) errorCount() (count int) {
	for i := range t.hops {
		if t.hops[i].ended && t.hops[i].outcome == HopError {
			count++
		}
	}
	return count
}

// extraCandidates is how many hosts further a transaction may go that may have run: its group is all that it has.
func (t *tx) extraCandidates() int { return ternary(t.possiblyRunHop() != nil, len(t.hops), 0) }

// possiblyRunHop is the first hop that may have run, or still may.
func (t *tx) possiblyRunHop() *hop {
	for i := range t.hops {
		if !t.hops[i].ended || !t.hops[i].outcome.NeverRan() {
			return &t.hops[i]
		}
	}
	return nil
}
