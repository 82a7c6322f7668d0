package logic

// A protocol makes a Balancer with New and calls it through Gateway; it answers through Doer (see types.go).
// What is remembered is stored in state.go. There is no input, output, clock or goroutine here.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	peerMessageDelay                       = 10 * time.Millisecond  // changes wait so long to be told together: far less than a hop's time
	maxIndependentGateways                 = 20                     // that may each tell, probe and try for themselves at a bearable price
	remotePickTimeout                      = 100 * time.Millisecond // for a host drawn by another gateway: some messages' time
	maxRemotePickGoalFraction              = 0.25                   // of a goal that asks may take: late, they cost more than they bring
	unansweredPicksToSuspectIsolation      = 25                     // asks in a row without an answer: five that draw in turn are silent
	aggregateInterval                      = 25 * time.Millisecond  // between sums told to those that draw for other zones
	stallThreshold                         = 200 * time.Millisecond // by which nothing is late but at a gateway that stood still
	listPollIntervalPerGateway             = 25 * time.Millisecond  // of a list source's time for each gateway: some dozen calls a second
	requestRetryDelay                      = time.Second            // first delay after a lost list, doubled twice; lists are seconds late
	consecutiveFailuresToOpen              = 5                      // failures in a row that open a breaker, the paper's figure
	consecutiveOverloadsToOpen             = 2                      // the same where overload ends them: each costs a place there
	errorFractionToOpen                    = 0.25                   // share of errors over that at all hosts: two or three close together
	usualErrorMultiple                     = 4.0                    // of the share at other hosts, over both: chance brings as much to any
	maxUsualErrorFraction                  = 0.4                    // bound on that: a host that all but fails opens it whatever others do
	failureFractionSmoothing               = 0.15                   // smoothing of that share: about the last seven outcomes
	initialCooldown                        = 2 * time.Second        // first cooldown: one trial costs little, a barred host much
	maxCooldown                            = 5 * time.Second        // longest cooldown, the decision record's figure
	nonIdempotentTrialFraction             = 0.1                    // of a profile's transactions that a trial may cost
	slowHostWeightFactor                   = 0.7                    // weight after a bad second, the decision record's figure
	slowLatencyMultiple                    = 1.5                    // latency over the median that cuts it, ditto; well over the mean
	weightIncrement                        = 0.1                    // of the mean weight: gained in a good second, and the least, ditto
	maxWeight                              = 2.0                    // of the mean weight, ditto
	minServiceTimeRatio                    = 0.5                    // of the usual pace: hosts are hardly ever twice as fast as the mean
	minServiceTimeRatioToKind              = 0.8                    // of the pace of its like: hosts of a kind are hardly faster than that
	shortTermSmoothing                     = 0.1                    // smoothing of a host's pace and a tenant's rate: their last ten
	maxStartTimeSkew                       = 2 * time.Second        // by which two processes may reckon a start: clocks are read apart
	excessDecayPerSecond                   = 0.2                    // of a pace over the usual, a second: gone in some ten
	mediumTermSmoothing                    = 0.02                   // smoothing of a profile's time: the last fifty answers
	longTermSmoothing                      = 0.005                  // the same for the least one: a few short answers are not it
	queueingRatioRampStart                 = 1.25                   // times the least that answers take: a zone is jammed at times
	queueingRatioSmoothing                 = 0.05                   // smoothing of that: the last twenty answers
	queueingRatioRampEnd                   = 1.55                   // from there it always is
	initialServiceTimeGoalFraction         = 0.25                   // of the service goal: time of a profile never seen
	observationTTL                         = 2 * time.Second        // after which reports, tells and a host's pace say little of now
	priorServiceTimeRatioSamples           = 3.0                    // answers for which the usual pace counts at a new host
	minServiceTimeRisePerSecond            = 0.005                  // a second: how fast the least time of a profile is forgotten, minutes
	congestedMinServiceTimeRisePerSecond   = 0.02                   // the same where a zone has no end of a jam
	overdueServiceTimeMultiple             = 2.0                    // expected times after which a time-out counts for the breaker
	unresponsiveLatencyMultiple            = 3.0                    // latencies, over hops out, without an answer that make a host silent
	nearFullGoalFraction                   = 0.25                   // of the goal: expected time from which a group is near full
	uncrowdedHopsPerSlot                   = 2.0                    // hops a slot, the new one too, up to which a host is never near full
	maxAdmittedGoalFraction                = 0.9                    // of the goal: time over which a transaction goes, or a group is full
	maxAdmittedGoalFractionIfMissesCost    = 0.7                    // the same where a missed goal costs more than its own revenue
	yieldRevenueMultiple                   = 2.5                    // times the revenue for the same work to which a profile yields
	yieldRevenueMultipleByWork             = 1.4                    // the same where revenue is by work: nothing of it is a guess
	outlierMissedGoalFraction              = 0.7                    // share of a tenant's hops past their goal: it may be an outlier
	outlierMissedGoalMultiple              = 2.0                    // of the others' share, over which it is: slow hosts are so to all
	yieldExpectedTimeFraction              = 0.8                    // of the expected time at which that one would be rolled back
	maxHopsPerSlot                         = 2.2                    // hops a slot over which a host gets no more done and only slows down
	maxHopsPerSlotWithReports              = 1.35                   // the same where hosts tell what they hold
	initialConcurrencyLimit                = 8.0                    // hops at which a host's cores are in use, before reports show it
	concurrencyLimitPriorSamples           = 4.0                    // reports for which that counts
	maxConcurrencyLimitUtilization         = 0.9                    // utilisation from which what is held says nothing of it
	maxSteadyUtilizationChange             = 0.15                   // change of utilisation up to which it goes with what is held
	relativeLoadRampStart                  = 1.1                    // of the knee: from there a group is left, a host full, by chance
	relativeLoadRampEnd                    = 1.6                    // from there always
	maxAdmissionGrowthFactor               = 1.5                    // times as many as of late pass at the most where hosts were full
	recentCountRetentionPerSecond          = 0.2                    // of those counted a second ago: the last second or so
	alwaysAdmittedTransactions             = 3.0                    // that always pass: of few chance decides
	maxUtilizationForOverShare             = 0.6                    // reported utilisation with room for a tenant over its share
	overSharePortionMultiple               = 1.5                    // of its portion that makes a tenant greedy: more than chance does
	portionSlackFactor                     = 1.2                    // of its portion that it has all the same, as the portion is a guess
	minInFlightToProbe                     = 8                      // hops at a host of a kind never seen full that make it worth a probe
	serviceGoalMargin                      = 5 * time.Millisecond   // by which an answer must come before the goal to reach its client
	estimatedInFlightTTL                   = 10 * time.Second       // for which what a host worked on is believed: buried ones stay so
	txPerSecondPerSubsetHost               = 12.0                   // transactions a second and host: enough to keep a connection open
	idleConnectionTimeout                  = 10 * time.Second       // unused for so long a connection is closed, where it costs
	probesPerTransaction                   = 0.7                    // probes for a transaction at the most: a thousandth of its work
	maxProbeBurst                          = 8.0                    // at once: some hosts of each zone
	minReportAgeToProbe                    = 250 * time.Millisecond // of a report after which one is worth a probe: a hop or two
	suspectConnectionIdleTime              = 300 * time.Millisecond // unused for so long a connection may have been dropped unseen
	linkSuspicionDuration                  = 20 * time.Second       // after one was, hops on such ones wait less
	suspectConnectionTimeMultiple          = 2.5                    // of the expected time for an answer on such a one
	ignoredEstimatedInFlight               = 4.0                    // hops worked on there that a draw does not mind: keys save more
	rateSmoothing                          = 0.2                    // smoothing of the own rate: about five seconds
	maxFailureStreakProbability            = 0.0001                 // of a row of failures, by their share at others, to open a breaker
	maxErrorAnswersPerTx                   = 2                      // hosts that answer one with an error: it is not they, then,
	commonErrorFraction                    = 0.1                    // where so many of all hops end so
	defaultRetriesPerTransaction           = 0.15                   // retry budget for a transaction where nothing tells of jams
	defaultBaseRetries                     = 3.0                    // the same beside that
	defaultRetryWindow                     = 20 * time.Second       // in which these hold
	reservedRetryFraction                  = 0.5                    // of a profile's part of a retry budget, that no other may use
	slowReaderGoalDivisor                  = 2.5                    // of the goal: answers far sooner at a host show that a client reads
	slowReaderBufferDivisor                = 4                      // of the room for answers that late ones may hold
	latencyRatioSmoothing                  = 0.5                    // smoothing of what hops took at a host: the last two or three
	latencyRatioDecayTime                  = 20 * time.Second       // for which that counts: hosts stay slow for as long
	latencyRatioWeightExponent             = 2.0                    // of that by which a host is drawn less
	rejectionLatencyRatio                  = 3.5                    // times the work that a full answer stands for
	ownInFlightWeightPenalty               = 15.0                   // by which one with an own hop out is drawn less: it may be stuck
	congestionTimeConstant                 = time.Second            // smoothing of what hops to a zone took, which is as quick as bursts
	minCongestionSmoothing                 = 0.1                    // of that, the least for an answer, where they are many
	maxCongestionSmoothing                 = 0.5                    // of that, the most, where they are few
	higherRevenueSmoothingFactor           = 0.25                   // of that for profiles that earn more: hosts may see to them first
	congestionDecayTime                    = 5 * time.Second        // in which it goes to what it is at first
	initialCongestion                      = 0.6                    // what it is then: the first guess of a profile's time is long
	lateHopCongestionFraction              = 0.35                   // of the excess of what is out yet that counts: it may be long work
	lateHopAgeDivisor                      = 1.7                    // part of its time that a hop has out yet: few are over so late
	congestionShedRampStart                = 1.05                   // from there transactions are rolled back by chance
	congestionShedRampEnd                  = 1.8                    // from there always
	congestionCallOffRampStart             = 0.9                    // from there on hops are called off sooner than at stopGoal
	congestionCallOffRampEnd               = 1.55                   // from there as early as they are at all
	callOffGoalMultiple                    = 1.2                    // of the goal, at which one is called off where there is no jam
	congestedCallOffGoalMultipleIdempotent = 0.5                    // the same in a jam, of what may run again: it waits behind all others
	congestedCallOffGoalMultiple           = 1.0                    // of what may not
	ownColdBudgetFraction                  = 0.8                    // of a cold host's budget for it that it spends; a successor: the rest
	coldObservedRateFraction               = 0.4                    // of what warm hosts of a kind answer: for a cold one's budget
	coldHopBudgetDivisor                   = 8.0                    // part of a cold host's budget that one hop may be at the most
	minHostSubset                          = 5                      // hosts of a zone that a blind gateway keeps to: one bad is a fifth
	spareInFlightPerCore                   = 0.5                    // of a core: what is held for each up to which a hop finds one free
	maxInFlightPerCore                     = 3.0                    // held for each core over which hosts turn slow
	shedLoadThreshold                      = 0.65                   // of that, and of what a goal bears: what is over is too much
	shedProportionalGain                   = 2.0                    // of what is too much now that is rolled back
	shedIntegralGainPerSecond              = 0.5                    // the same that adds up in a second
	maxShedIntegrationStep                 = 500 * time.Millisecond // of that for one transaction: none came for long
	minSpilloverInFlightPerCore            = 0.7                    // held for each core up to which no zone is left
	minBarredFractionToLeaveZone           = 0.5                    // barred of the hosts kept to: fewer are these hosts' trouble alone
	spilloverStepPerList                   = 0.1                    // of a zone's excess by which more of its traffic leaves with each list
	maxDivertedFraction                    = 0.9                    // of a zone's traffic that leaves it
	kindWeightStep                         = 0.1                    // of the excess at hosts of a kind by which their weight falls, ditto
	samplingWeightBound                    = 4.0                    // times the mean weight from which a draw takes a host at once
	maxWeightedSamples                     = 16                     // draws by weight before any host will do
)

// everySecond is the work of each second, as often as the decision record changes weights.
func (b *Balancer) everySecond() {
	b.schedule(b.now+time.Second, b.everySecond)
	b.hosts.updateAnswerRates(b.isCold)
	for _, h := range b.hosts.ready {
		h.expirePeerInFlight(b.now - observationTTL)
		b.markForResend(h)
		b.closeIdleConnections(h, idleConnectionTimeout)
		if b.sources.ProbesReportLoad && !b.isCold(h) && b.picksFor(h.group) && (b.coordinating || b.randomlyElected()) {
			b.executor.Probe(h.ID)
		}
	}
	for _, g := range b.hosts.groups {
		if !b.judgesByZone() {
			adjustWeights(g.hosts)
		}
		g.reportedInFlight.value -= excessDecayPerSecond * g.reportedInFlight.value
		g.queueingRatio.value -= excessDecayPerSecond * max(0, g.queueingRatio.value-1)
	}
	b.arrivalRate.add(b.arrivalsThisSecond, rateSmoothing)
	b.arrivalsThisSecond, b.recentArrivals, b.recentAdmitted = 0, b.recentArrivals*recentCountRetentionPerSecond, b.recentAdmitted*recentCountRetentionPerSecond
	b.normalizeServiceTimeRatios()
	b.admission.refill(float64(b.topology.GatewayCount))
	b.logShed()
}

// subsetSize is how many hosts of a group a draw is among: few where connections cost or nothing tells of hosts.
func (b *Balancer) subsetSize() int {
	few := max(ternary(b.hasNoLoadInfo(), minHostSubset, 1), int(math.Ceil(max(b.arrivalRate.value, b.arrivalsThisSecond)/txPerSecondPerSubsetHost)))
	return ternary(b.costModel.OpenConnections || b.hasNoLoadInfo(), few, len(b.hosts.ready))
}

// remotePickWorthwhile tells whether a request may wait for another gateway's draw, by what such asks took of late.
func (b *Balancer) remotePickWorthwhile(t *tx) bool {
	return b.remotePickLatency.value <= maxRemotePickGoalFraction*float64(t.profileConfig.ServiceGoal)
}

// randomlyElected lets by chance do what each of a few gateways may do: many together then do no more than a few would.
func (b *Balancer) randomlyElected() bool {
	return b.random.uniform()*float64(b.topology.GatewayCount) < maxIndependentGateways
}

// The host table: the list, drains and the cold budget.

func (b *Balancer) HostListReceived(now time.Duration, kind ListKind, hosts []Host) {
	b.beginCall(now)
	if kind == ListFailed {
		b.hosts.consecutiveListFailures++
		b.executor.Log(fmt.Sprintf("list lost, %d times in a row", b.hosts.consecutiveListFailures))
		b.schedule(now+b.randomListDelay(requestRetryDelay<<min(b.hosts.consecutiveListFailures-1, 2)), b.executor.RequestHostList)
		return
	}
	for _, host := range b.hosts.merge(kind, hosts, b.isGone) { // without a record; what is out still counts
		host.health = health{weight: 1, latencyRatio: 1, serviceTimeRatio: movingAverage{1, priorServiceTimeRatioSamples}, profileBreakers: make([]breaker, len(b.profiles))}
	}
	for _, entry := range hosts {
		b.closeIdleIfNotReady(entry)
	}
	if b.usesLiveCapacity() {
		b.spreadByLiveCapacity(hosts)
	}
}

// isGone tells whether one that a list calls gone, or leaves out, is. Where only drains bind, lists prove
// nothing of what runs: a host that was ready stays until own hops open its breaker.
func (b *Balancer) isGone(h *host) bool {
	return !b.drainRule.AllowGoneHosts || h.State != HostReady || h.hostBreaker.open
}

// withinColdBudget keeps an even share of a cold host's budget, and what is over whole hops by a lot for each window:
// as a third of the hosts restarted all had turned to the cold ones, and a hop from each is far over it.
func (b *Balancer) withinColdBudget(h *host, profile int) bool {
	if !b.isCold(h) {
		return true
	}
	age := max(0, b.now-h.StartedAt-b.coldRule.StartTimeTolerance)
	capacityFraction := b.coldRule.InitialCapacityFraction + (1-b.coldRule.InitialCapacityFraction)*float64(age)/float64(b.coldRule.WarmUpDuration)
	serviceTimeRatio := ternary(h.kindStats.serviceTimeRatio.samples == 0, 1, max(h.kindStats.serviceTimeRatio.value, minServiceTimeRatio)) // of a kind never seen: the usual
	serviceTime := ternary(b.judgesByZone(), b.meanServiceTime, b.serviceTime[0]).value
	hopsPerNs := max(1, h.kindStats.slots.value) / (serviceTime * serviceTimeRatio)
	observedHopsPerNs := coldObservedRateFraction * h.kindStats.answersPerSecond.value * float64(b.topology.GatewayCount) / float64(time.Second)
	hopsPerNs = ternary(b.judgesByZone(), max(hopsPerNs, observedHopsPerNs), hopsPerNs) // warm ones show what they can do at the least
	budgetFraction := ternary(b.now < b.coldRule.PredecessorActiveUntil, 1-ownColdBudgetFraction, ownColdBudgetFraction) / float64(b.topology.GatewayCount)
	budget := capacityFraction * b.coldRule.OverloadMultiple * hopsPerNs * float64(b.coldRule.OverloadDuration)
	hopLimit, sent := budgetFraction*budget, h.coldHopsSince(b.now-b.coldRule.OverloadDuration)
	if !b.judgesByZone() && budget >= coldHopBudgetDivisor { // of so many: as often as it is warm, of what a warm one would get
		return sent < max(1, int(hopLimit)) && (hopLimit >= 1 || b.random.uniform() < capacityFraction)
	}
	perWindow := randomSource{b.random.seed ^ uint32(h.ID), uint32(b.now / b.coldRule.OverloadDuration)}
	return (!b.judgesByZone() || b.serviceTime[profile].value*coldHopBudgetDivisor <= budget*serviceTime) && sent < int(hopLimit+perWindow.uniform())
}

// Health: breakers, latency and weight of a host.

// record tells whether the breaker changed. Only a trial's answer closes it: late ones prove nothing. A host
// that errs on half of its hops may never err five times in a row, so the share of errors counts too.
func (k *breaker) record(failed, overloaded bool, errorSample, errorLimit, errorFractionElsewhere float64, now time.Duration, jitter float64) bool {
	wasOpen := k.open
	switch {
	case !failed && wasOpen && !k.onTrial:
	case !failed:
		k.consecutiveFailures, k.open, k.onTrial, k.cooldown, k.streakSince = 0, false, false, 0, now
		k.failureFraction, k.errorFraction = k.failureFraction*(1-failureFractionSmoothing), k.errorFraction*(1-failureFractionSmoothing)
	default:
		k.consecutiveFailures, k.streakSince = min(k.consecutiveFailures+1, math.MaxUint8-1), ternary(k.consecutiveFailures == 0, now, k.streakSince)
		k.failureFraction += failureFractionSmoothing * (1 - k.failureFraction)
		k.errorFraction += errorSample * failureFractionSmoothing * (1 - k.errorFraction)
		if wasOpen && k.onTrial || !wasOpen && (k.consecutiveFailures >= ternary[uint8](overloaded, consecutiveOverloadsToOpen, consecutiveFailuresToOpen) &&
			math.Pow(errorFractionElsewhere, float64(k.consecutiveFailures)) < maxFailureStreakProbability || k.errorFraction >= errorLimit) {
			k.open, k.onTrial, k.openedByOverload = true, false, overloaded || wasOpen && k.openedByOverload
			k.cooldown = min(max(2*k.cooldown, ternary(overloaded, maxCooldown, initialCooldown)), maxCooldown)
			k.nextTrialAt = now + time.Duration((0.75+jitter/2)*float64(k.cooldown)) // not in step with other gateways
		}
	}
	return k.open != wasOpen
}

// unresponsive tells whether a host answers nothing for far longer than its hops explain; it is then passed over.
func (b *Balancer) unresponsive(h *host) bool {
	inFlight := ternary(b.coordinating && b.picksFor(h.group), h.ownInFlight+h.peersInFlight, h.ownInFlight) // who draws is told of all answers
	return inFlight > 0 && h.latency.samples > 0 && float64(b.now-h.unansweredSince) > h.latency.value*(1+unresponsiveLatencyMultiple/float64(inFlight))
}

// recordOutcome takes what the end of a hop says of its host.
func (b *Balancer) recordOutcome(h *host, hostInFlight float64, profile int, result HopResult) {
	b.recordLoadReport(h, result.Load)
	slowdown, serviceTime, took := h.slowdown(hostInFlight), &b.serviceTime[profile], float64(result.Latency)
	late, failed := result.Outcome == HopTimedOut || result.Outcome == HopCalledOff, result.Outcome != HopCommitted && result.Outcome != HopNotSent
	overdue := took > overdueServiceTimeMultiple*min(serviceTime.value, b.minServiceTime[profile])*slowdown
	// In a jam hops time out everywhere: only one far over a usual host's time speaks of a hang.
	failed = ternary(late, ternary(b.probesOnly(), overdue, took > overdueServiceTimeMultiple*serviceTime.value*slowdown), failed)
	errorSample, profileOnly := ternary(failed && !late, 1.0, 0), failed && b.onlyProfileFails(h, profile)
	if b.judgesByZone() && !profileOnly {
		hostHangs := late && failed && usualErrorMultiple*b.hosts.referenceFailureFraction(h, profile, b.now-congestionDecayTime) < errorFractionToOpen
		b.recordLatencyRatio(h, profile, result, hostHangs)
	}
	switch {
	case result.Outcome == HopCommitted:
		b.lastAnsweredAt[profile], h.serviceTimeRatioAt, h.unansweredSince, h.answeredThisSecond = b.now, b.now, b.now, true
		h.latency.add(took, shortTermSmoothing)
		if slowdown == 1 || h.kindStats.concurrencyLimit() > 0 || !b.slotsUnknown(h) {
			maxTime := min(overdueServiceTimeMultiple*serviceTime.value, float64(b.profiles[profile].ServiceGoal)) // a part that waits must not bar all
			uncrowded := took / slowdown / h.serviceTimeRatio.value
			uncrowded = ternary(b.sources.PeersShareInFlight && serviceTime.samples*mediumTermSmoothing >= 1, min(uncrowded, maxTime), uncrowded)
			serviceTime.add(uncrowded, mediumTermSmoothing)
			b.longTermServiceTime[profile].add(uncrowded, longTermSmoothing)
			h.group.queueingRatio.add(took/slowdown/b.minServiceTime[profile], queueingRatioSmoothing)
			h.recordServiceTimeRatio(took / slowdown / serviceTime.value)
		}
	case late && !profileOnly:
		h.serviceTimeRatioAt, h.failedThisSecond = b.now, h.failedThisSecond || failed || result.Outcome == HopTimedOut
		h.latency.add(max(took, h.latency.value), shortTermSmoothing)
		// One answer lost, where that is far over the work, must not make its host look ten times as slow.
		h.recordServiceTimeRatio(min(max(took/slowdown/serviceTime.value, h.serviceTimeRatio.value), overdueServiceTimeMultiple*h.serviceTimeRatio.value))
	case failed && !profileOnly:
		h.unansweredSince, h.failedThisSecond = b.now, true
	}
	overloaded := b.probesOnly() && failed && !profileOnly && (late || result.Outcome == HopHostFull)
	h.kindStats.overloaded = h.kindStats.overloaded || overloaded
	if result.Outcome != HopCommitted && !failed { // proves nothing of the host: a trial must be had again
		h.hostBreaker.onTrial, h.profileBreakers[profile].onTrial = false, false
		return
	}
	b.errorFraction.add(errorSample, mediumTermSmoothing)
	usualErrors, errorsElsewhere := 0.0, 0.0
	connectionFailed := result.Outcome == HopNoConnection || result.Outcome == HopConnectionBroken // to a blind one the others may be of one zone
	if failed && !(connectionFailed && b.hasNoLoadInfo()) {
		errorsElsewhere = b.hosts.errorFractionElsewhere(h, b.now-observationTTL)
		usualErrors = b.errorFraction.value + min(usualErrorMultiple*errorsElsewhere, maxUsualErrorFraction)
	}
	scopes := [...]string{"all profiles", b.profiles[profile].Name}
	for i, scopeBreaker := range h.breakers(profile) {
		if i == 0 && (result.Outcome == HopHostFull || profileOnly) {
			scopeBreaker.onTrial = false // a full host turns all profiles away: one turned away alone is not its queue
		} else if scopeBreaker.record(failed || overdue && scopeBreaker.open && scopeBreaker.openedByOverload, overloaded, errorSample,
			ternary(profileOnly, 0, errorFractionToOpen+usualErrors), ternary(result.Outcome == HopError, errorsElsewhere, 0), b.now, b.random.uniform()) {
			b.executor.Log(fmt.Sprintf("host %d, %s: breaker open %t", h.ID, scopes[i], scopeBreaker.open))
		}
	}
}

// onlyProfileFails tells whether one more failure shows that a profile alone fails at a host: others are answered
// there meanwhile, and it at other hosts. It says nothing of the host then, and that profile is barred.
func (b *Balancer) onlyProfileFails(h *host, profile int) bool {
	failing, elsewhere := &h.profileBreakers[profile], b.hosts.referenceFailureFraction(h, profile, h.profileBreakers[profile].streakSince)
	return float64(failing.failureFraction+failureFractionSmoothing*(1-failing.failureFraction)) >= errorFractionToOpen+b.errorFraction.value+usualErrorMultiple*elsewhere
}

// boundedServiceTimeRatio is the pace, bounded: a burst that is over before its last hop ends makes a host look fast.
func (h *host) boundedServiceTimeRatio() float64 {
	return max(h.serviceTimeRatio.value, minServiceTimeRatioToKind*h.kindStats.serviceTimeRatio.value)
}

// adjustWeights is the decision record's change of weights in a group. Their mean stays 1, where new hosts start.
func adjustWeights(hosts []*host) {
	median, sum := medianLatency(hosts), 0.0
	for _, h := range hosts {
		reduce := h.failedThisSecond || h.answeredThisSecond && h.latency.value > slowLatencyMultiple*median
		h.weight = ternary(reduce, slowHostWeightFactor*h.weight, h.weight+weightIncrement)
		h.failedThisSecond, h.answeredThisSecond = false, false
		sum += h.weight
	}
	for _, h := range hosts {
		h.weight = min(max(h.weight*float64(len(hosts))/sum, weightIncrement), maxWeight)
	}
}

// Group choice and draw.

// slowdown is how much longer a hop takes among so many; without reports slots are met halfway.
func (h *host) slowdown(hops float64) float64 {
	if limit := h.kindStats.concurrencyLimit(); limit > 0 {
		return math.Cbrt(1 + math.Pow(hops/limit, 3)) // its cores are in use ever more evenly
	}
	slots := h.kindStats.slots.value
	return ternary(slots == 0, (hops+1)/2, max(1, hops/max(1, slots)))
}

// slotsUnknown tells whether a host's slots are a guess: by it a start's transactions had been turned away.
func (b *Balancer) slotsUnknown(h *host) bool {
	return b.sources.ProbesReportLoad && h.kindStats.slots.samples == 0 && !h.kindStats.overloaded
}

func (b *Balancer) expectedTime(h *host, profile int) float64 {
	return b.serviceTime[profile].value * h.boundedServiceTimeRatio() * h.slowdown(h.inFlight()+1)
}

// randomlyOverRamp tells by chance: where all gateways turned at one figure hosts would be empty and buried by turns.
func (b *Balancer) randomlyOverRamp(value, rampStart, rampEnd float64) bool {
	return value >= rampStart && rampStart+b.random.uniform()*(rampEnd-rampStart) < value
}

// atCapacity tells by chance whether a host is full, by what it holds, or its zone jammed.
func (b *Balancer) atCapacity(h *host) bool {
	limit := h.kindStats.concurrencyLimit() // 0 for a kind that never told, which has to be met to tell
	return limit > 0 && b.randomlyOverRamp((h.inFlight()+1)/limit, relativeLoadRampStart, relativeLoadRampEnd) || b.randomlyOverRamp(h.group.queueingRatio.value, queueingRatioRampStart, queueingRatioRampEnd)
}

// chooseHost takes the own group unless that is near full, else the one that promises most, the more so as a
// crossing is dear. If every breaker is open, any allowed host will do.
func (b *Balancer) chooseHost(t *tx) (pick *host, expected float64) {
	if b.judgesByZone() {
		return b.chooseByZone(t), 0
	}
	crossZonePenalty := b.costModel.CrossZoneHop * b.meanRevenue.value / t.profileConfig.Revenue // a crossing, against what this one earns
	nearFullTime := min(nearFullGoalFraction+2*crossZonePenalty, maxAdmittedGoalFraction) * float64(t.profileConfig.ServiceGoal)
	for _, allowBarred := range []bool{false, true} {
		maxTime, leavesHome := b.admissionThreshold(t.profile), b.randomlyOverRamp(b.relativeLoad(t.homeGroup), relativeLoadRampStart, relativeLoadRampEnd)
		for _, g := range t.homeGroup.searchOrder {
			if g != t.homeGroup && leavesHome && b.relativeLoad(g) > b.relativeLoad(t.homeGroup) {
				continue
			}
			h, hostTime := b.pickFromGroup(g, t, allowBarred, min(nearFullGoalFraction*float64(t.profileConfig.ServiceGoal), maxTime))
			if h == nil || g != t.homeGroup && hostTime > maxTime || b.relativeLoad(g) >= 0 && b.atCapacity(h) {
				continue
			}
			pick, expected = h, hostTime
			if g != t.homeGroup {
				maxTime = hostTime
			} else if leavesHome {
				maxTime = math.Inf(1)
			} else if !allowBarred && !h.breakersClosed(t.profile) || // on trial
				h.kindStats.concurrencyLimit() > 0 || hostTime <= maxTime && (h.slowdown(h.inFlight()+1) <= uncrowdedHopsPerSlot || hostTime <= nearFullTime) {
				return h, hostTime
			} else {
				maxTime = (1 - crossZonePenalty) * min(maxTime, hostTime)
			}
		}
		if pick != nil {
			break
		}
	}
	return pick, expected
}

// pickFromGroup picks from a group by weight and redraws once; over near it takes the host that promises most.
func (b *Balancer) pickFromGroup(g *zoneGroup, t *tx, allowBarred bool, nearFullTime float64) (pick *host, expectedTime float64) {
	candidates := make([]candidate, 0, min(b.subsetSize()+t.extraCandidates(), len(g.hosts)))
	var meanTime movingAverage
	allHopsKnown := b.topology.GatewayCount <= maxIndependentGateways || b.coordinating // all that is out is known
	for _, h := range g.hosts[:min(b.subsetSize()+t.extraCandidates(), len(g.hosts))] {
		if !t.mayRunOn(h, b.now) || !b.withinColdBudget(h, t.profile) ||
			ternary(allowBarred, h.openedByOverload(t.profile), b.unresponsive(h)) || b.connectionBlocked(h) ||
			b.coordinating && !b.picksFor(g) && b.now-h.inFlightByPeer[b.coordinatorOf(g)].receivedAt > remotePickTimeout {
			continue
		}
		hostTime := b.expectedTime(h, t.profile)
		if !allowBarred && !h.breakersClosed(t.profile) {
			if b.passesBreakers(h, t) {
				return h, hostTime
			}
			continue
		}
		hostTime *= ternary(h.estimatedInFlightAt > 0 && b.now-h.estimatedInFlightAt < estimatedInFlightTTL, max(ignoredEstimatedInFlight, h.estimatedInFlight), 1)
		meanTime.add(hostTime, 0)
		// All gateways draw the same hosts for a key, as these remember it.
		random := ternary(t.affinityKey != 0, &randomSource{t.affinityKey, uint32(h.ID)}, &b.random)
		candidates = append(candidates, candidate{h, hostTime, math.Log(random.uniform()) * h.boundedServiceTimeRatio() / h.weight})
	}
	first, second := twoBestCandidates(candidates)
	if second.host != nil && second.expectedTime < first.expectedTime && (first.expectedTime > slowLatencyMultiple*meanTime.value || !allHopsKnown && t.affinityKey == 0) {
		first = second
	}
	if allHopsKnown && first.host != nil && first.expectedTime > nearFullTime { // of many, all that take the best at once would bury it
		first = slices.MinFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.expectedTime, y.expectedTime) })
	}
	if first.host != nil && first.host.estimatedInFlightAt > 0 {
		first.expectedTime = b.expectedTime(first.host, t.profile)
	}
	return first.host, first.expectedTime
}

// Live sizes. One of many gateways that do not tell each other learns of hosts by the list, which says to all
// what each held some second ago. All would take the same least loaded ones: it is evened out instead.

// spreadByLiveCapacity has weights follow what hosts hold for each core: slowly and for good by what kinds hold beside all;
// until the next word by what evens out the difference with what comes in a second. New kinds begin with the
// root of their size: lists say which is the faster, and too much of by how much.
func (b *Balancer) spreadByLiveCapacity(listed []Host) {
	overall := b.hosts.updateInFlightPerCore(listed)
	for _, stats := range b.hosts.kinds {
		stats.weight = ternary(stats.weight == 0, math.Sqrt(stats.maxCapacityHint), stats.weight)
		exponent := kindWeightStep * (overall.value - stats.inFlightPerCore.value) / (overall.value + spareInFlightPerCore)
		stats.weight = min(max(stats.weight*math.Exp(exponent), weightIncrement), maxWeight)
	}
	arrivalsPerHost := max(1, b.arrivalRate.value*float64(b.topology.GatewayCount)/max(1, overall.samples))
	for _, g := range b.hosts.groups {
		g.effectiveHosts, g.inFlightAtTargets = 0, 0
		for _, h := range g.hosts {
			h.spreadFactor = min(max(0, 1+2*(overall.value-h.reportedInFlight)/arrivalsPerHost), 2)
			g.effectiveHosts += h.spreadFactor
			g.inFlightAtTargets += h.spreadFactor * h.reportedInFlight
		}
		g.inFlightAtTargets /= max(1, g.effectiveHosts)
	}
	home, minInFlight := b.hosts.ownGroup(), max(overall.value, minSpilloverInFlightPerCore)
	home.spilloverFraction = min(max(0, home.spilloverFraction+spilloverStepPerList*(home.reportedInFlight.value/minInFlight-1)), maxDivertedFraction)
}

// relativeCapacity is a host's share of what the largest can do, where the list tells it.
func (b *Balancer) relativeCapacity(h *host) float64 {
	return ternary(b.sources.CapacityHints == NominalCapacity && h.CapacityHint > 0, h.CapacityHint/b.hosts.maxCapacityHint, 1)
}

// chooseByZone takes the own zone but for the part that leaves it: that goes where there is room.
func (b *Balancer) chooseByZone(t *tx) *host {
	for _, h := range b.hosts.startKnown { // who has a lot uses it, or they would stay cold
		if b.isCold(h) && t.mayRunOn(h, b.now) && b.withinColdBudget(h, t.profile) && !b.unresponsive(h) && b.passesBreakers(h, t) {
			return h
		}
	}
	first, totalHosts, pick := b.firstGroup(t), 0.0, ternary(b.hasNoLoadInfo(), (*Balancer).pickFromSubset, (*Balancer).pickBySampling)
	if b.random.uniform() < t.homeGroup.spilloverFraction {
		for _, g := range t.homeGroup.searchOrder[1:] {
			if totalHosts += g.effectiveHosts; b.random.uniform()*totalHosts < g.effectiveHosts {
				first = g
			}
		}
	}
	for _, allowBarred := range []bool{false, true} {
		for _, g := range append([]*zoneGroup{first}, t.homeGroup.searchOrder...) {
			if h := pick(b, g, t, allowBarred); h != nil {
				return h
			}
		}
	}
	return nil
}

// firstGroup is the own one, blind left by as large a part as breakers bar, if these are most hosts kept to.
func (b *Balancer) firstGroup(t *tx) *zoneGroup {
	var barredFraction movingAverage
	for _, h := range t.homeGroup.hosts[:min(b.subsetSize(), len(t.homeGroup.hosts))] {
		barredFraction.add(ternary(h.hostBreaker.open, 1.0, 0), 0)
	}
	if !b.hasNoLoadInfo() || barredFraction.value <= minBarredFractionToLeaveZone || len(t.homeGroup.searchOrder) == 1 || b.random.uniform() >= barredFraction.value {
		return t.homeGroup
	}
	byCongestion := func(x, y *zoneGroup) int { return cmp.Compare(b.congestion(x, t.profile), b.congestion(y, t.profile)) }
	return slices.MinFunc(t.homeGroup.searchOrder[1:], byCongestion)
}

// pickBySampling picks by weight, and looks at few hosts only, however many there are.
func (b *Balancer) pickBySampling(g *zoneGroup, t *tx, allowBarred bool) *host {
	count := len(g.hosts)
	offset := b.random.uniform() * float64(count)
	for i := 0; i < maxWeightedSamples+count && count > 0; i++ {
		h := g.hosts[(i+int(offset))%count]
		if i < maxWeightedSamples {
			h = g.hosts[int(b.random.uniform()*float64(count))]
			if b.random.uniform()*samplingWeightBound > b.pickWeight(h) {
				continue
			}
		}
		if t.mayRunOn(h, b.now) && b.withinColdBudget(h, t.profile) && (allowBarred || !b.unresponsive(h) && b.passesBreakers(h, t)) {
			return h
		}
	}
	return nil
}

// pickFromSubset draws by weight among the few that a blind gateway keeps to, for a key the same as others would.
func (b *Balancer) pickFromSubset(g *zoneGroup, t *tx, allowBarred bool) *host {
	pick, bestScore := (*host)(nil), math.Inf(-1)
	for _, h := range g.hosts[:min(b.subsetSize()+len(t.hops), len(g.hosts))] {
		if !t.mayRunOn(h, b.now) || !b.withinColdBudget(h, t.profile) || !allowBarred && (b.unresponsive(h) || !b.passesBreakers(h, t)) {
			continue
		}
		if !allowBarred && !h.breakersClosed(t.profile) { // on trial
			return h
		}
		random := ternary(t.affinityKey != 0, randomSource{t.affinityKey, uint32(h.ID)}, randomSource{b.random.seed, b.random.reserve()})
		if score := math.Log(random.uniform()) / b.pickWeight(h); score > bestScore {
			pick, bestScore = h, score
		}
	}
	return pick
}

// pickWeight is a host's in such a draw. Where nothing tells of hosts it goes by what own hops took there lately,
// and whether one is out: of many gateways each meets a host so seldom that it should have ended.
func (b *Balancer) pickWeight(h *host) float64 {
	byLatency := samplingWeightBound * b.relativeCapacity(h) / math.Pow(max(1, b.recentLatencyRatio(h)), latencyRatioWeightExponent)
	return ternary(b.hasNoLoadInfo(), byLatency, h.spreadFactor*h.weight*h.kindStats.weight) / (1 + ownInFlightWeightPenalty*float64(h.ownInFlight))
}

// passesBreakers tells whether no breaker bars a host, or lets it be tried. A trial must not cost a transaction that
// cannot run twice, unless its own profile is on trial, and then few of these.
func (b *Balancer) passesBreakers(h *host, t *tx) bool {
	if h.breakersClosed(t.profile) {
		return true
	}
	if h.trialDueAt(t.profile) > b.now || t.profileConfig.Effect == NonIdempotent && h.hostBreaker.open || !b.randomlyElected() ||
		t.profileConfig.Effect == NonIdempotent && b.random.uniform() > nonIdempotentTrialFraction {
		return false
	}
	h.startTrial(t.profile, b.now+maxCooldown)
	return true
}

// Admission.

// admissionThreshold is the expected time over which a transaction is rolled back on arrival. A profile yields to those
// that earn more for the same work, unless these would be rolled back at a free host: all would be with them.
func (b *Balancer) admissionThreshold(profile int) float64 {
	// A lone one sees its own hops alone, and there are more at a host the more gateways a zone has.
	ownHopsPerSlot := 1 + (maxHopsPerSlot-1)/math.Sqrt(max(1, float64(b.topology.GatewayCount)/float64(len(b.hosts.groups))))
	hopsPerSlot := ternary(b.fewWithoutReports(), ownHopsPerSlot, ternary(b.hostsReportInFlight(), maxHopsPerSlotWithReports, maxHopsPerSlot))
	slowdownLimit := func(i int) float64 {
		return min(b.maxWorthwhileTime(i), hopsPerSlot*b.minServiceTime[i]) / b.serviceTime[i].value
	} // times the work
	limit := slowdownLimit(profile)
	minRevenue := ternary(b.costModel.RevenueByWork, yieldRevenueMultipleByWork, yieldRevenueMultiple) * b.revenueForWork(profile)
	for i := range b.profiles {
		if !b.profiles[i].Removed && b.revenueForWork(i) > minRevenue && slowdownLimit(i) > 1 {
			limit = min(limit, yieldExpectedTimeFraction*slowdownLimit(i))
		}
	}
	return limit * b.serviceTime[profile].value
}

// maxWorthwhileTime is the time up to which an answer is worth its hop. Where unserved shares count by tenfold steps a
// rollback is as bad as a late answer: none before the goal.
func (b *Balancer) maxWorthwhileTime(profile int) float64 {
	goalFraction := ternary(b.costModel.MissedGoals, maxAdmittedGoalFractionIfMissesCost, ternary(b.costModel.AvailabilityNines > 0, 1, maxAdmittedGoalFraction))
	return (goalFraction + b.profiles[profile].LateRevenueFraction/2) * float64(b.profiles[profile].ServiceGoal)
}

// revenueForWork is what a profile earns for the same work.
func (b *Balancer) revenueForWork(profile int) float64 {
	return b.profiles[profile].Revenue / ternary(b.costModel.RevenueByWork, 1, b.serviceTime[profile].value)
}

// A transaction's path.

// mayRunOn keeps the second rule: no host where an effect could happen twice; and none tried before.
func (t *tx) mayRunOn(h *host, now time.Duration) bool {
	if slices.ContainsFunc(t.hops, func(used hop) bool { return used.host == h }) {
		return false
	}
	ranOn := t.possiblyRunHop()
	switch {
	case ranOn == nil || t.profileConfig.Effect == Idempotent:
		return true
	case t.profileConfig.Effect == NonIdempotent || now-ranOn.sentAt >= t.profileConfig.DedupWindow-serviceGoalMargin:
		return false
	}
	return t.profileConfig.DedupScope == DedupAllHosts || t.profileConfig.DedupScope == DedupSameZone && h.Zone == ranOn.host.Zone ||
		t.profileConfig.DedupScope == DedupSameCell && h.Cell == ranOn.host.Cell
}

// isOutlier tells whether a tenant's hops miss their goals where the others' do not: they wait for something of
// its own, and no host is judged by them. If they are much work instead, the others miss theirs soon.
func (a *tenantAdmission) isOutlier(t *tenant) bool {
	others, samples := a.missedGoalsOfOthers(t)
	return min(samples, t.missedGoalFraction.samples) >= consecutiveFailuresToOpen && t.missedGoalFraction.value > max(outlierMissedGoalFraction, outlierMissedGoalMultiple*others)
}

// suspectedOutlier tells it sooner, by two misses close together. Where gateways tell no one answer counts for much.
func (b *Balancer) suspectedOutlier(t *tenant) bool {
	others, samples := b.admission.missedGoalsOfOthers(t)
	return !b.sources.PeersShareInFlight && samples >= consecutiveFailuresToOpen && t.missedGoalFraction.value > max(errorFractionToOpen, usualErrorMultiple*others)
}

func (b *Balancer) TransactionReceived(now time.Duration, id TxID, arrival Arrival) {
	b.beginCall(now)
	p := &b.profiles[arrival.ProfileIndex]
	t := &tx{id: id, profile: arrival.ProfileIndex, profileConfig: p, affinityKey: arrival.AffinityKey, homeGroup: b.hosts.ownGroup(),
		deadline: now + arrival.Budget + b.hopRule.BudgetTolerance, maxHops: b.hopRule.MaxHops}
	// Stopped at its goal, an idempotent one only comes again: a late answer at least ends its client's tries.
	if p.LateRevenueFraction == 0 && p.Effect != Idempotent {
		t.deadline = min(t.deadline, now+p.ServiceGoal-serviceGoalMargin)
	}
	b.arrivalsThisSecond, b.recentArrivals = b.arrivalsThisSecond+1, b.recentArrivals+1
	b.meanServiceTime.add(b.serviceTime[arrival.ProfileIndex].value, mediumTermSmoothing)
	b.retryUsage[arrival.ProfileIndex].countTransaction(now, b.retryBudget().Window)
	b.meanRevenue.add(p.Revenue, mediumTermSmoothing)
	b.txs[id] = t
	if b.hostsReportInFlight() && b.sources.ExtraProbesAllowed {
		b.probeStaleHosts()
	}
	if arrival.TenantIndex >= 0 {
		t.tenant, t.overShare = &b.admission.tenants[arrival.TenantIndex], b.admission.charge(arrival.TenantIndex)
		t.outlierTenant = b.admission.isOutlier(t.tenant)
	}
	t.hopWeight = ternary(arrival.BodyPending || t.outlierTenant, 0, 1)
	if b.hopRule.MaxBufferedResponses > 0 {
		b.schedule(now+p.ServiceGoal, func() { b.endSlowRead(t) })
	}
	ternary(b.picksFor(t.homeGroup), b.startTransaction, b.requestRemotePick)(t)
}

// pickAdmitted is the host for a new transaction, nil where it is rolled back; a host or profile long unheard of
// is tried, or a profile would stay barred as long as others are heard of.
// News of few hops held must not let in all tries at once: hardly more pass than passed of late.
func (b *Balancer) pickAdmitted(t *tx) *host {
	if b.judgesByZone() {
		h := b.chooseByZone(t)
		return ternary(h != nil && !b.isCold(h) && b.shedsForCongestion(t, h.group), nil, h)
	}
	maxTime := b.admissionThreshold(t.profile)
	h, expectedTime := b.chooseHost(t)
	maxTime = ternary(b.topology.GatewayCount == 1 && h != nil && h.inFlight() == 0, max(maxTime, b.maxWorthwhileTime(t.profile)), maxTime) // idle
	overShare := t.overShare && h != nil && (b.now-h.utilizationAt >= observationTTL || h.utilization >= maxUtilizationForOverShare)
	maxTime = ternary(overShare, min(maxTime, b.minServiceTime[t.profile]), maxTime) // a free slot at a usual host
	if h != nil && h.kindStats.concurrencyLimit() > 0 {
		if expectedTime = 0; b.random.uniform()*b.recentArrivals > maxAdmissionGrowthFactor*b.recentAdmitted+alwaysAdmittedTransactions {
			return nil
		}
		b.recentAdmitted++
	}
	if h == nil || b.probesOnly() && !h.breakersClosed(t.profile) || b.slotsUnknown(h) || expectedTime <= maxTime { // or a trial
		return h
	}
	if h.ownInFlight > 0 || b.now-min(max(h.serviceTimeRatioAt, h.reportedInFlightAt), b.lastAnsweredAt[t.profile]) < observationTTL || !b.randomlyElected() {
		return nil
	}
	if b.probesOnly() { // one such at a time
		h.serviceTimeRatioAt, b.lastAnsweredAt[t.profile] = b.now, b.now
	}
	return h
}

// shedsForCongestion tells by chance whether a transaction is rolled back for what hops take in a zone. What is known of
// another is little and old: by live sizes a jam of the own one counts too, or all would try them by turns.
func (b *Balancer) shedsForCongestion(t *tx, g *zoneGroup) bool {
	if b.hasNoLoadInfo() {
		return b.randomlyOverRamp(b.congestion(g, t.profile), congestionShedRampStart, congestionShedRampEnd)
	}
	congestion := max(b.congestion(t.homeGroup, t.profile), b.congestion(g, t.profile))
	load := congestion * b.referenceTime(t.profile) / b.maxWorthwhileTime(t.profile) * (g.inFlightAtTargets + spareInFlightPerCore) / maxInFlightPerCore
	return b.random.uniform() < b.shedProbability(g, math.Sqrt(load)-shedLoadThreshold)
}

// maxCongestionSample is the most that one answer counts for: many long ones are a jam, the more so where nines count.
func (b *Balancer) maxCongestionSample() float64 {
	return ternary(b.costModel.AvailabilityNines > 0, congestionShedRampEnd, rejectionLatencyRatio)
}

// shedProbability is the part of a zone's transactions that is rolled back. It adds up over time, as the list is
// late: by what is too much now alone zones were closed and flooded by turns.
func (b *Balancer) shedProbability(g *zoneGroup, excess float64) float64 {
	elapsed := min(b.now-g.shedUpdatedAt, maxShedIntegrationStep)
	g.shedFraction = min(max(0, g.shedFraction+shedIntegralGainPerSecond*min(excess, 1)*elapsed.Seconds()), maxDivertedFraction)
	g.shedUpdatedAt = b.now
	return g.shedFraction + shedProportionalGain*excess
}

// hopTimeLimit is for how long a hop is let be: the less, the more a zone is jammed. What waits turns hosts slow.
func (b *Balancer) hopTimeLimit(t *tx, g *zoneGroup) time.Duration {
	congestedMultiple := ternary(t.profileConfig.Effect == Idempotent, congestedCallOffGoalMultipleIdempotent, congestedCallOffGoalMultiple)
	severity := min(max(0, (b.congestion(g, t.profile)-congestionCallOffRampStart)/(congestionCallOffRampEnd-congestionCallOffRampStart)), 1)
	return time.Duration((callOffGoalMultiple + (congestedMultiple-callOffGoalMultiple)*severity) * float64(t.profileConfig.ServiceGoal))
}

func (b *Balancer) startTransaction(t *tx) {
	switch h := b.pickAdmitted(t); {
	case t.done:
	case h != nil:
		b.sendHop(t, h)
	default:
		b.shedThisSecond++
		b.finishTransaction(t)
	}
}

func (b *Balancer) sendHop(t *tx, h *host) {
	if b.isCold(h) {
		h.coldHopTimes = append(h.coldHopTimes, b.now)
	}
	h.ownInFlight += t.hopWeight
	h.unansweredSince = ternary(h.ownInFlight == 1, b.now, h.unansweredSince)
	if inFlight := h.ownInFlight + h.peersInFlight; b.slotsUnknown(h) && inFlight >= minInFlightToProbe && inFlight%(minInFlightToProbe/2) == 0 {
		b.executor.Probe(h.ID) // it may be full by now
	}
	b.markUnsent(h)
	wait, idle := b.hopTimeout(t, h)
	h.connectionUnproven = ternary(h.ownInFlight == 1, h.lastUsedAt == 0 || idle > 0, h.connectionUnproven)
	h.lastUsedAt, t.hopsInFlight = b.now, t.hopsInFlight+1
	t.hops = append(t.hops, hop{host: h, sentAt: b.now, connectionIdle: idle, hostInFlight: h.inFlight(), onFailure: func() {
		if t.hopsInFlight == 0 && !b.retry(t) {
			b.finishTransaction(t)
		}
	}})
	b.executor.SendHop(t.id, h.ID, wait)
	if b.hasNoLoadInfo() && b.hopRule.CallOff {
		b.callOffAfter(b.hopTimeLimit(t, h.group), t, len(t.hops)-1)
	}
}

// isReadSlowly tells whether an answer is late though its host answers others far sooner: its client reads slowly.
func (b *Balancer) isReadSlowly(t *tx, hop *hop) bool {
	return b.hopRule.MaxBufferedResponses > 0 && b.now-hop.sentAt >= t.profileConfig.ServiceGoal && hop.host.latency.value < float64(t.profileConfig.ServiceGoal)/slowReaderGoalDivisor
}

// endSlowRead ends what its client reads slowly where such ones hold much of the room for answers: all others
// wait for it, and hosts look slow that are not.
func (b *Balancer) endSlowRead(t *tx) {
	if t.done || len(t.hops) == 0 || !b.isReadSlowly(t, &t.hops[len(t.hops)-1]) {
		return
	}
	t.slowReader = true
	if b.slowReaders++; slowReaderBufferDivisor*b.slowReaders > b.hopRule.MaxBufferedResponses {
		b.finishTransaction(t)
	}
}

// connectionBlocked tells whether nothing goes to a host: a new connection, which costs it much even if it fails, just
// failed, or the first hop on an unproven one is out, with which all others there would be lost.
func (b *Balancer) connectionBlocked(h *host) bool {
	return b.now < h.noConnectUntil || h.connectionUnproven && h.ownInFlight > 0 && b.linkSuspectedAt > 0 && b.now-b.linkSuspectedAt < linkSuspicionDuration
}

// hopTimeout is how long a hop may wait, and how long its connection stood unused, where it may have been dropped.
func (b *Balancer) hopTimeout(t *tx, h *host) (wait, idle time.Duration) {
	wait, idle = t.deadline-b.now, b.now-h.lastUsedAt
	if !b.costModel.OpenConnections || h.lastUsedAt == 0 || idle < suspectConnectionIdleTime || h.ownInFlight > 1 {
		return wait, 0
	}
	suspectWait := min(wait, time.Duration(suspectConnectionTimeMultiple*b.expectedTime(h, t.profile)))
	return ternary(b.linkSuspectedAt > 0 && b.now-b.linkSuspectedAt < linkSuspicionDuration, suspectWait, wait), idle
}

// retry sends a further hop where a host can still answer in time.
func (b *Balancer) retry(t *tx) bool {
	if t.errorCount() >= maxErrorAnswersPerTx && b.errorFraction.value >= commonErrorFraction || !b.retryAffordable(t.profile) {
		return false
	}
	h, expectedTime := b.chooseHost(t)
	if h == nil || len(t.hops) >= t.maxHops || expectedTime >= float64(t.deadline-b.now) ||
		b.probesOnly() && h.breakersClosed(t.profile) && expectedTime > b.admissionThreshold(t.profile) {
		return false
	}
	b.retryUsage[t.profile].countRetry(b.now, b.retryBudget().Window)
	b.sendHop(t, h)
	return true
}

// retryBudget is the rule where one is stated; else, where nothing tells of jams, what keeps them small.
func (b *Balancer) retryBudget() RetryBudget {
	stated := b.hopRule.RetryBudget.Window > 0 || !b.hasNoLoadInfo()
	return ternary(stated, b.hopRule.RetryBudget, RetryBudget{defaultBaseRetries, defaultRetriesPerTransaction, defaultRetryWindow})
}

// retryAffordable keeps the retry budget in any window; of each profile's part, by revenue, some is kept from others.
func (b *Balancer) retryAffordable(profile int) bool {
	budget, revenue, taken := b.retryBudget(), 0.0, 0.0
	for i := range b.retryUsage {
		transactions := b.retryUsage[i].transactions.lowerBound(b.now, budget.Window)
		taken, revenue = taken+transactions, revenue+transactions*b.profiles[i].Revenue
	}
	remaining := budget.BaseRetries + budget.RetriesPerTransaction*taken
	reservedPerRevenue := reservedRetryFraction * remaining / max(revenue, 1)
	for i := range b.retryUsage {
		usage, used := &b.retryUsage[i], b.retryUsage[i].retries.upperBound(b.now, budget.Window)
		remaining -= ternary(i == profile, used, max(used, reservedPerRevenue*usage.transactions.lowerBound(b.now, budget.Window)*b.profiles[i].Revenue))
	}
	return remaining >= 1 || budget.Window == 0
}

// finishTransaction answers at once; to be rolled back, nothing may be left.
func (b *Balancer) finishTransaction(t *tx) {
	if t.profileConfig.Effect == Idempotent || t.possiblyRunHop() == nil || t.profileConfig.Effect == Journalled && t.profileConfig.DedupScope == DedupAllHosts {
		b.executor.RollBack(t.id, min(time.Duration(b.serviceTime[t.profile].value), b.hopRule.MaxRetryAfter))
	} else {
		b.executor.Abandon(t.id)
	}
	b.settleTransaction(t)
}

func (b *Balancer) HopEnded(now time.Duration, id TxID, hopIndex int, result HopResult, txAnswered bool) {
	b.beginCall(now)
	t, hop := b.openHop(id, hopIndex)
	if hop == nil {
		return
	}
	hop.ended, hop.outcome, t.hopsInFlight, hop.host.ownInFlight = true, result.Outcome, t.hopsInFlight-1, hop.host.ownInFlight-t.hopWeight
	switch {
	case result.Outcome == HopCommitted:
		hop.host.lastUsedAt, hop.host.connectionUnproven = now, false
		hop.host.kindStats.answersThisSecond += ternary(b.isCold(hop.host), 0.0, 1)
	case hop.connectionIdle > 0 && result.Outcome == HopTimedOut && hop.sentAt >= b.lastStallEnd:
		b.linkSuspectedAt = now
		b.executor.CloseIdleConnections(hop.host.ID)
	case result.Outcome == HopNoConnection && b.costModel.OpenConnections:
		b.linkSuspectedAt, hop.host.noConnectUntil = now, now+time.Duration((0.75+b.random.uniform()/2)*float64(maxCooldown))
	}
	b.closeIdleIfNotReady(hop.host.Host)
	b.markUnsent(hop.host)
	calledOff := result.Outcome == HopCalledOff // by a blind gateway itself, where it is late
	late := result.Outcome == HopTimedOut || (result.Outcome == HopCommitted || calledOff && b.hasNoLoadInfo()) && now-hop.sentAt > t.profileConfig.ServiceGoal
	if t.tenant != nil && (late || result.Outcome == HopCommitted) {
		t.tenant.missedGoalFraction.add(ternary(late, 1.0, 0), failureFractionSmoothing)
	}
	tenantOnly := t.outlierTenant && (late || result.Outcome == HopCommitted) || (late || calledOff) && b.suspectedOutlier(t.tenant)
	if !tenantOnly && !b.picksFor(hop.host.group) && hop.sentAt >= b.lastStallEnd {
		hop.host.unsentOutcomes = append(hop.host.unsentOutcomes, PeerEntry{EntryHopEnded, hop.host.ID, int(hop.hostInFlight), t.profile, result.Outcome, result.Latency})
	}
	if hop.sentAt >= b.lastStallEnd && !tenantOnly && !b.isReadSlowly(t, hop) { // else it speaks of this gateway, a client, a tenant
		b.recordOutcome(hop.host, hop.hostInFlight, t.profile, result)
	}
	ternary(t.done || txAnswered, func() { b.settleTransaction(t) }, hop.onFailure)()
}
