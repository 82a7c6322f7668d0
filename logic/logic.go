package logic

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// Changes are collected for this long and sent in one peer message. Far shorter than a hop.
	peerMessageDelay = 10 * time.Millisecond
	// Up to this many gateways may each message all others, probe and run trials on their own at bearable cost.
	maxIndependentGateways = 20
	// Timeout for a pick by another gateway: the time of a few messages.
	remotePickTimeout = 100 * time.Millisecond
	// Remote picks that take more than this fraction of the service goal cost more than they bring.
	maxRemotePickGoalFraction = 0.25
	// Remote picks in a row without a response after which this gateway itself is assumed to be cut off: by then five
	// coordinators, one after the other, have not responded.
	unansweredPicksToSuspectIsolation = 25
	// Interval between the aggregates sent to the coordinators of other zones.
	aggregateInterval = 25 * time.Millisecond
	// A timer that is overdue by more than this shows that this process was stalled.
	stallThreshold = 200 * time.Millisecond
	// Delays of list requests are spread over this time per gateway, so that the list source gets some dozen requests a
	// second from all gateways together.
	listPollIntervalPerGateway = 25 * time.Millisecond
	// First delay after a failed list request, doubled twice; lists are seconds old anyway. Also the interval between
	// pick requests that no transaction waits for.
	requestRetryDelay = time.Second
	// Failures in a row that open a breaker, the documented default of the design (docs/design.md). Also the minimum
	// number of samples for judging a tenant, and the unanswered picks after which another gateway is tried as
	// coordinator.
	consecutiveFailuresToOpen = 5
	// The same for failures by overload, of which each costs a slot at the host.
	consecutiveOverloadsToOpen = 2
	// Smoothed failure fraction, in excess of the usual one, that opens a breaker: two or three failures close together.
	errorFractionToOpen = 0.25
	// The limit is raised by this multiple of the error fraction at other hosts, which any host may reach by chance.
	usualErrorMultiple = 4.0
	// Maximum of that raise, so that the breaker of a host at which nearly every hop fails opens in any case.
	maxUsualErrorFraction = 0.4
	// EWMA coefficient of failure fractions: covers about the last seven outcomes of hops to a host.
	failureFractionSmoothing = 0.15
	// Cooldown after a breaker first opens. It is short because a trial costs little and excluding a good host costs much.
	initialCooldown = 2 * time.Second
	// Longest cooldown, the documented default of the design (docs/design.md).
	maxCooldown = 5 * time.Second
	// Fraction of the non-idempotent transactions that may be risked on a trial.
	nonIdempotentTrialFraction = 0.1
	// A host's weight is multiplied by this after a second with failures or slow answers. This value and
	// slowLatencyMultiple, weightIncrement and maxWeight are the documented defaults of the design (docs/design.md).
	slowHostWeightFactor = 0.7
	// Latency, as a multiple of the median over the hosts of a zone, over which a host counts as slow.
	slowLatencyMultiple = 1.5
	// Added to a host's weight after a good second. Also the minimum weight. The mean weight is 1.
	weightIncrement = 0.1
	// Maximum weight, where the mean is 1.
	maxWeight = 2.0
	// Hosts are hardly ever twice as fast as the mean.
	minServiceTimeRatio = 0.5
	// Hosts are hardly faster than this relative to others of their kind.
	minServiceTimeRatioToKind = 0.8
	// EWMA coefficient for about the last ten samples, such as a host's latency and service time ratio, or a tenant's
	// rate.
	shortTermSmoothing = 0.1
	// Largest difference between a host's start time as computed by two processes, which read their clocks at
	// different moments.
	maxStartTimeSkew = 2 * time.Second
	// The excess of service time ratios, queueing ratios and reported in-flight counts over their usual level decays by
	// this fraction each second, so that after about ten seconds little of it is left.
	excessDecayPerSecond = 0.2
	// EWMA coefficient for about the last fifty samples, such as the service time of a profile.
	mediumTermSmoothing = 0.02
	// EWMA coefficient for about the last 200 samples, used for minimum service times: a few short answers do not show
	// the minimum.
	longTermSmoothing = 0.005
	// Queueing ratio (hop time relative to the minimum) from which a zone is sometimes taken as congested.
	queueingRatioRampStart = 1.25
	// EWMA coefficient of the queueing ratio: covers about the last twenty answers in a zone.
	queueingRatioSmoothing = 0.05
	// Queueing ratio from which a zone is always taken as congested.
	queueingRatioRampEnd = 1.55
	// Service time of a profile without samples, as a fraction of its service goal.
	initialServiceTimeGoalFraction = 0.25
	// Age at which load reports, peer messages and a host's service time ratio are stale.
	observationTTL = 2 * time.Second
	// Number of samples that the usual ratio counts for at a new host.
	priorServiceTimeRatioSamples = 3.0
	// Rise of a minimum service time, as a fraction of it, so that an old minimum loses its effect within minutes.
	minServiceTimeRisePerSecond = 0.005
	// The same while congestion of a zone does not end.
	congestedMinServiceTimeRisePerSecond = 0.02
	// A timeout counts for the breaker after this multiple of the expected time.
	overdueServiceTimeMultiple = 2.0
	// A host is unresponsive if it has answered nothing for its usual latency times 1 plus this value divided by the
	// number of hops in flight.
	unresponsiveLatencyMultiple = 3.0
	// Expected time, as a fraction of the service goal, from which a zone is near full.
	nearFullGoalFraction = 0.25
	// Slowdown of a host by its hops in flight, the new one included, up to which it is not near full.
	nearFullSlowdownThreshold = 2.0
	// Expected time, as a fraction of the service goal, over which a transaction is rolled back and a zone is full.
	maxAdmittedGoalFraction = 0.9
	// The same if a missed goal costs more than the revenue of the transaction.
	maxAdmittedGoalFractionIfMissesCost = 0.7
	// A profile yields to profiles that earn this many times as much for the same work.
	yieldRevenueMultiple = 2.5
	// The same if revenue is per unit of work, which needs no estimate of the work.
	yieldRevenueMultipleByWork = 1.4
	// A tenant may be an outlier if more than this fraction of its hops miss their goal, ...
	outlierMissedGoalFraction = 0.7
	// ... and more than this multiple of the others' fraction: slow hosts are slow for all tenants.
	outlierMissedGoalMultiple = 2.0
	// Fraction of the threshold of the higher-earning profile at which the yielding one is rolled back.
	yieldExpectedTimeFraction = 0.8
	// Hops per slot over which a host has no higher throughput and only gets slower.
	maxHopsPerSlot = 2.2
	// The same if hosts report their in-flight count.
	maxHopsPerSlotWithReports = 1.35
	// In-flight count at which a host's cores are all in use, until reports show it.
	initialConcurrencyLimit = 8.0
	// Number of reports that the initial limit counts for.
	concurrencyLimitPriorSamples = 4.0
	// Utilization from which the in-flight count says nothing about the limit.
	maxConcurrencyLimitUtilization = 0.9
	// Change of utilization up to which it matches the in-flight count reported with it.
	maxSteadyUtilizationChange = 0.15
	// Load relative to the concurrency limit from which a zone is sometimes left and a host sometimes full, ...
	relativeLoadRampStart = 1.1
	// ... and from which they always are.
	relativeLoadRampEnd = 1.6
	// Where hosts were full, at most this many times as many transactions as recently are admitted.
	maxAdmissionGrowthFactor = 1.5
	// Fraction of the recent counts kept each second: they cover about the last second.
	recentCountRetentionPerSecond = 0.2
	// Always admitted in addition: small counts are dominated by chance.
	alwaysAdmittedTransactions = 3.0
	// Reported utilization up to which there is room for tenants over their share.
	maxUtilizationForOverShare = 0.6
	// A tenant is over its share at this multiple of its portion: more than chance explains.
	overSharePortionMultiple = 1.5
	// A tenant may use this multiple of its portion, because the portion is an estimate.
	portionSlackFactor = 1.2
	// In-flight count that makes a host with unknown slots worth a probe.
	minInFlightToProbe = 8
	// A host must answer this long before the service goal for the answer to reach the client in time.
	serviceGoalMargin = 5 * time.Millisecond
	// An estimate from the reported queue is used for this long: overloaded hosts stay overloaded.
	estimatedInFlightTTL = 10 * time.Second
	// Enough to keep a connection to a host in use.
	txPerSecondPerSubsetHost = 12.0
	// Unused connections are closed after this time if open connections cost.
	idleConnectionTimeout = 10 * time.Second
	// A probe costs a thousandth of the work of a transaction.
	probesPerTransaction = 0.7
	// Enough for some hosts of each zone at once.
	maxProbeBurst = 8.0
	// A report is worth a fresh probe after the time of a hop or two.
	minReportAgeToProbe = 250 * time.Millisecond
	// A connection unused for this long may have been dropped without notice.
	suspectConnectionIdleTime = 300 * time.Millisecond
	// After one was dropped, hops on such connections get a shorter timeout for this long, ...
	linkSuspicionDuration = 20 * time.Second
	// ... which is this multiple of the expected time.
	suspectConnectionTimeMultiple = 2.5
	// Estimated in-flight count up to which it does not affect a pick: cached work of the affinity key saves more.
	ignoredEstimatedInFlight = 4.0
	// EWMA coefficient of rates, which are updated once a second, and of the latency of remote picks: covers about the
	// last five samples.
	rateSmoothing = 0.2
	// A streak of errors opens a breaker only if it is less probable than this at the error fraction elsewhere.
	maxFailureStreakProbability = 0.0001
	// After errors from this many hosts the hosts are not the cause, ...
	maxErrorAnswersPerTx = 2
	// ... provided that this fraction of all hops ends with an error. There is no further hop then.
	commonErrorFraction = 0.1
	// Retry budget if none is configured and there is no load information to show congestion.
	defaultRetriesPerTransaction = 0.15
	defaultBaseRetries           = 3.0
	defaultRetryWindow           = 20 * time.Second
	// Fraction of each profile's part of the retry budget that no other profile may use.
	reservedRetryFraction = 0.5
	// If a host usually answers within the goal divided by this, a late answer means that its client reads slowly.
	slowReaderGoalDivisor = 2.5
	// Slow readers may hold the buffered responses divided by this.
	slowReaderBufferDivisor = 4
	// EWMA coefficient of a host's latency ratio: covers about the last two or three hops to it.
	latencyRatioSmoothing = 0.5
	// Hosts stay slow for about this long.
	latencyRatioDecayTime = 20 * time.Second
	// A host's weight falls with its latency ratio to this power.
	latencyRatioWeightExponent = 2.0
	// Latency ratio that a rejected or unconnected hop counts as.
	rejectionLatencyRatio = 3.5
	// The weight of a host is divided by 1 plus this value for each own hop in flight, as such a hop may be stuck.
	ownInFlightWeightPenalty = 15.0
	// Time constant of the EWMA of a zone's congestion, as short as bursts are.
	congestionTimeConstant = time.Second
	// Minimum EWMA coefficient of congestion per answer, which applies where answers are frequent.
	minCongestionSmoothing = 0.1
	// Maximum EWMA coefficient of congestion per answer, which applies where answers are rare.
	maxCongestionSmoothing = 0.5
	// Factor on that coefficient for profiles that earn more than that of the hop: hosts may serve them first.
	higherRevenueSmoothingFactor = 0.25
	// Time constant with which congestion returns to its initial value.
	congestionDecayTime = 5 * time.Second
	// Congestion without samples. It is below 1 because the initial service time of a profile is a high estimate.
	initialCongestion = 0.6
	// Part of the excess age of hops in flight that counts as congestion. Not all of it does, because these hops may be
	// long work.
	lateHopCongestionFraction = 0.35
	// Few hops take this multiple of their usual time, so the age of a hop in flight is divided by it.
	lateHopAgeDivisor = 1.7
	// Congestion from which transactions are sometimes rolled back.
	congestionShedRampStart = 1.05
	// Congestion from which they always are.
	congestionShedRampEnd = 1.8
	// Congestion from which hops are called off sooner than at callOffGoalMultiple.
	congestionCallOffRampStart = 0.9
	// Congestion from which they are called off as early as ever.
	congestionCallOffRampEnd = 1.55
	// Age, as a multiple of the service goal, at which a hop is called off without congestion.
	callOffGoalMultiple = 1.2
	// The same under congestion, for idempotent transactions: at hosts their hops wait behind all others.
	congestedCallOffGoalMultipleIdempotent = 0.5
	// The same for other transactions.
	congestedCallOffGoalMultiple = 1.0
	// Part of a cold host's budget that this process uses. A process that replaces it uses the rest meanwhile.
	ownColdBudgetFraction = 0.8
	// Part of the answer rate of warm hosts of its kind that counts for the budget of a cold host.
	coldObservedRateFraction = 0.4
	// A single hop may use at most the budget of a cold host divided by this.
	coldHopBudgetDivisor = 8.0
	// Minimum number of hosts of a zone that a gateway without load information uses, so that one bad host affects at most
	// a fifth of its transactions.
	minHostSubset = 5
	// In-flight count per core up to which a hop finds a free core.
	spareInFlightPerCore = 0.5
	// In-flight count per core over which hosts get slow.
	maxInFlightPerCore = 3.0
	// Part of that limit, and of the time that the goal leaves, over which load is excessive.
	shedLoadThreshold = 0.65
	// Part of the current excess that is rolled back.
	shedProportionalGain = 2.0
	// Part of the excess that accumulates each second.
	shedIntegralGainPerSecond = 0.5
	// Bound on the time between two transactions that counts, for when none came for long.
	maxShedIntegrationStep = 500 * time.Millisecond
	// In-flight count per core up to which no traffic leaves its zone.
	minSpilloverInFlightPerCore = 0.7
	// Fraction of hosts with an open breaker over which traffic leaves the zone. A smaller fraction is a problem of these
	// hosts, not of the zone.
	minBarredFractionToLeaveZone = 0.5
	// Part of a zone's excess by which more of its traffic leaves with each list.
	spilloverStepPerList = 0.1
	// Bound on the part of a zone's traffic that goes to other zones, and on the part that accumulates for shedding.
	maxDivertedFraction = 0.9
	// Exponent by which the weight of a kind of host changes with each list, per unit of relative excess load.
	kindWeightStep = 0.1
	// In rejection sampling, a host with this multiple of the mean weight is always accepted.
	samplingWeightBound = 4.0
	// Rejection samples tried before the first allowed host is taken whatever its weight.
	maxWeightedSamples = 16
)

// everySecond runs the periodic work: it expires old reports, probes hosts, adjusts weights and service time ratios,
// and refills the tenants' tokens. That weights change once a second is part of the design (docs/design.md).
func (b *Balancer) everySecond() {
	b.schedule(b.now+time.Second, b.everySecond)
	b.hosts.updateAnswerRates(b.isCold)
	for _, h := range b.hosts.ready {
		h.expirePeerInFlight(b.now - observationTTL)
		b.markForResend(h)
		b.closeIdleConnections(h, idleConnectionTimeout)
		if b.sources.ProbesReportLoad && !b.isCold(h) && b.picksFor(h.group) &&
			(b.coordinating || b.randomlyElected()) {
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
	b.arrivalsThisSecond, b.recentArrivals, b.recentAdmitted = 0, b.recentArrivals*recentCountRetentionPerSecond,
		b.recentAdmitted*recentCountRetentionPerSecond
	b.normalizeServiceTimeRatios()
	b.admission.refill(float64(b.topology.GatewayCount))
	b.logShed()
}

// subsetSize returns how many hosts of a zone are candidates for a pick. It is small if connections cost or if there
// is no load information; otherwise it is all hosts.
func (b *Balancer) subsetSize() int {
	few := max(ternary(b.hasNoLoadInfo(), minHostSubset, 1),
		int(math.Ceil(max(b.arrivalRate.value, b.arrivalsThisSecond)/txPerSecondPerSubsetHost)))
	return ternary(b.costModel.OpenConnections || b.hasNoLoadInfo(), few, len(b.hosts.ready))
}

// remotePickWorthwhile reports whether a transaction may wait for the pick of another gateway, judged by how long
// such picks took recently.
func (b *Balancer) remotePickWorthwhile(t *tx) bool {
	return b.remotePickLatency.value <= maxRemotePickGoalFraction*float64(t.profileConfig.ServiceGoal)
}

// randomlyElected reports whether this gateway may do what a few gateways may each do. With many gateways it is true
// at random, for about maxIndependentGateways of them.
func (b *Balancer) randomlyElected() bool {
	return b.random.uniform()*float64(b.topology.GatewayCount) < maxIndependentGateways
}

// Host lists.

// HostListReceived implements Core. After a failed request it schedules another.
func (b *Balancer) HostListReceived(now time.Duration, kind ListKind, hosts []Host) {
	b.beginCall(now)
	if kind == ListFailed {
		b.hosts.consecutiveListFailures++
		b.executor.Log(fmt.Sprintf("host list request failed, %d times in a row", b.hosts.consecutiveListFailures))
		b.schedule(now+b.randomListDelay(requestRetryDelay<<min(b.hosts.consecutiveListFailures-1, 2)),
			b.executor.RequestHostList)
		return
	}
	changes := b.locationChanges(hosts)
	b.forgetHopsBeforeStart(hosts)
	// The health of new and restarted hosts starts from its defaults, but their hops in flight still count.
	for _, host := range b.hosts.merge(kind, hosts, b.isGone) {
		host.health = health{weight: 1, latencyRatio: 1,
			serviceTimeRatio: movingAverage{1, priorServiceTimeRatioSamples},
			profileBreakers:  make([]breaker, len(b.profiles))}
	}
	b.applyLocationChanges(changes)
	for _, entry := range hosts {
		b.closeIdleIfNotReady(entry)
	}
	if b.usesLiveCapacity() {
		b.spreadByLiveCapacity(hosts)
	}
}

// isGone reports whether a host that the list marks as gone or omits is to be treated as gone. With
// DrainRule.AllowGoneHosts the list doesn't show whether a host runs: one that was ready stays until failed hops have
// opened its breaker.
func (b *Balancer) isGone(h *host) bool {
	return !b.drainRule.AllowGoneHosts || h.State != HostReady || h.hostBreaker.open
}

// Host health: breakers, latency and weight.

// record counts the outcome of a hop and reports whether the breaker opened or closed. errorSample is 1 for an error
// and otherwise 0, errorLimit the smoothed error fraction that opens the breaker, and jitter a random number in [0, 1). A
// streak of failures opens it only if it is improbable at errorFractionElsewhere. The error fraction counts as well,
// since a host that fails half of its hops may never fail five times in a row. Only the answer to a trial closes an
// open breaker, because late answers to earlier hops don't show that the host has recovered.
func (br *breaker) record(failed, overloaded bool, errorSample, errorLimit, errorFractionElsewhere float64,
	now time.Duration, jitter float64) bool {
	wasOpen := br.open
	switch {
	case !failed && wasOpen && !br.onTrial:
	case !failed:
		br.consecutiveFailures, br.open, br.onTrial, br.cooldown, br.streakSince = 0, false, false, 0, now
		br.failureFraction, br.errorFraction = br.failureFraction*(1-failureFractionSmoothing),
			br.errorFraction*(1-failureFractionSmoothing)
	default:
		br.consecutiveFailures, br.streakSince = min(br.consecutiveFailures+1, math.MaxUint8-1),
			ternary(br.consecutiveFailures == 0, now, br.streakSince)
		br.failureFraction += failureFractionSmoothing * (1 - br.failureFraction)
		br.errorFraction += errorSample * failureFractionSmoothing * (1 - br.errorFraction)
		if wasOpen && br.onTrial || !wasOpen &&
			(br.consecutiveFailures >=
				ternary[uint8](overloaded, consecutiveOverloadsToOpen, consecutiveFailuresToOpen) &&
				math.Pow(errorFractionElsewhere, float64(br.consecutiveFailures)) < maxFailureStreakProbability ||
				br.errorFraction >= errorLimit) {
			br.open, br.onTrial, br.openedByOverload = true, false, overloaded || wasOpen && br.openedByOverload
			br.cooldown = min(max(2*br.cooldown, ternary(overloaded, maxCooldown, initialCooldown)), maxCooldown)
			br.nextTrialAt = now + time.Duration((0.75+jitter/2)*float64(br.cooldown)) // not in step with other gateways
		}
	}
	return br.open != wasOpen
}

// unresponsive reports whether a host has answered nothing for far longer than its hops in flight explain. It gets no
// hops then.
func (b *Balancer) unresponsive(h *host) bool {
	// A coordinator learns of the answers to the hops of all gateways.
	inFlight := ternary(b.coordinating && b.picksFor(h.group), h.ownInFlight+h.peersInFlight, h.ownInFlight)
	return inFlight > 0 && h.latency.samples > 0 && float64(b.now-h.unansweredSince) >
		h.latency.value*(1+unresponsiveLatencyMultiple/float64(inFlight))
}

// recordOutcome updates the health of a host, and the service times of the profile, by the outcome of a hop.
// hostInFlight is the host's in-flight count when the hop was sent, the hop included.
func (b *Balancer) recordOutcome(h *host, hostInFlight float64, profile int, result HopResult) {
	b.recordLoadReport(h, result.Load)
	slowdown, serviceTime, took := h.slowdown(hostInFlight), &b.serviceTime[profile], float64(result.Latency)
	late, failed := result.Outcome == HopTimedOut || result.Outcome == HopCalledOff,
		result.Outcome != HopCommitted && result.Outcome != HopNotRun
	overdue := took > overdueServiceTimeMultiple*min(serviceTime.value, b.minServiceTime[profile])*slowdown
	// Under congestion hops time out everywhere: only one far over the usual time suggests that the host hangs.
	failed = ternary(late,
		ternary(b.probesOnly(), overdue, took > overdueServiceTimeMultiple*serviceTime.value*slowdown), failed)
	errorSample, profileOnly := ternary(failed && !late, 1.0, 0), failed && b.onlyProfileFails(h, profile)
	if b.judgesByZone() && !profileOnly {
		hostHangs := late && failed &&
			usualErrorMultiple*b.hosts.referenceFailureFraction(h, profile, b.now-congestionDecayTime) <
				errorFractionToOpen
		b.recordLatencyRatio(h, profile, result, hostHangs)
	}
	switch {
	case result.Outcome == HopCommitted:
		b.lastAnsweredAt[profile], h.serviceTimeRatioAt, h.unansweredSince, h.answeredThisSecond = b.now, b.now,
			b.now, true
		h.latency.add(took, shortTermSmoothing)
		if slowdown == 1 || h.kindStats.concurrencyLimit() > 0 || !b.slotsUnknown(h) {
			// A few hops that wait at hosts must not get all others rejected.
			maxTime := min(overdueServiceTimeMultiple*serviceTime.value, float64(b.profiles[profile].ServiceGoal))
			uncontendedTime := took / slowdown / h.serviceTimeRatio.value
			uncontendedTime = ternary(b.sources.PeersShareInFlight && serviceTime.samples*mediumTermSmoothing >= 1,
				min(uncontendedTime, maxTime), uncontendedTime)
			serviceTime.add(uncontendedTime, mediumTermSmoothing)
			b.longTermServiceTime[profile].add(uncontendedTime, longTermSmoothing)
			h.group.queueingRatio.add(took/slowdown/b.minServiceTime[profile], queueingRatioSmoothing)
			h.recordServiceTimeRatio(took / slowdown / serviceTime.value)
		}
	case late && !profileOnly:
		h.serviceTimeRatioAt, h.failedThisSecond = b.now, h.failedThisSecond || failed || result.Outcome == HopTimedOut
		h.latency.add(max(took, h.latency.value), shortTermSmoothing)
		// One lost answer, if the timeout is far over the service time, must not make its host look ten times as
		// slow.
		h.recordServiceTimeRatio(min(max(took/slowdown/serviceTime.value, h.serviceTimeRatio.value),
			overdueServiceTimeMultiple*h.serviceTimeRatio.value))
	case failed && !profileOnly:
		h.unansweredSince, h.failedThisSecond = b.now, true
	}
	overloaded := b.probesOnly() && failed && !profileOnly && (late || result.Outcome == HopHostFull)
	h.kindStats.overloaded = h.kindStats.overloaded || overloaded
	if result.Outcome != HopCommitted && !failed { // says nothing about the host: another trial is needed
		h.hostBreaker.onTrial, h.profileBreakers[profile].onTrial = false, false
		return
	}
	b.errorFraction.add(errorSample, mediumTermSmoothing)
	usualErrors, errorsElsewhere := 0.0, 0.0
	// Without load information the other hosts may all be of one zone: nothing to compare a lost connection with.
	connectionFailed := result.Outcome == HopNoConnection || result.Outcome == HopConnectionBroken
	if failed && !(connectionFailed && b.hasNoLoadInfo()) {
		errorsElsewhere = b.hosts.errorFractionElsewhere(h, b.now-observationTTL)
		usualErrors = b.errorFraction.value + min(usualErrorMultiple*errorsElsewhere, maxUsualErrorFraction)
	}
	scopes := [...]string{"all profiles", b.profiles[profile].Name}
	for i, scopeBreaker := range h.breakers(profile) {
		if i == 0 && (result.Outcome == HopHostFull || profileOnly) {
			// A full host rejects all profiles: if only one is rejected, its queue is not the cause.
			scopeBreaker.onTrial = false
		} else if scopeBreaker.record(failed || overdue && scopeBreaker.open && scopeBreaker.openedByOverload,
			overloaded, errorSample,
			ternary(profileOnly, 0, errorFractionToOpen+usualErrors),
			ternary(result.Outcome == HopError, errorsElsewhere, 0), b.now, b.random.uniform()) {
			b.executor.Log(fmt.Sprintf("host %d, %s: breaker open %t", h.ID, scopes[i], scopeBreaker.open))
		}
	}
}

// onlyProfileFails reports whether one more failure would show that a profile fails at this host alone, while other
// profiles are answered here and the profile is answered at other hosts. The failure then says nothing about the host
// in general, and only the breaker of the profile opens.
func (b *Balancer) onlyProfileFails(h *host, profile int) bool {
	failing, elsewhere := &h.profileBreakers[profile],
		b.hosts.referenceFailureFraction(h, profile, h.profileBreakers[profile].streakSince)
	return float64(failing.failureFraction+failureFractionSmoothing*(1-failing.failureFraction)) >=
		errorFractionToOpen+b.errorFraction.value+usualErrorMultiple*elsewhere
}

// boundedServiceTimeRatio returns the service time ratio with a lower bound: a burst that is over before its last hop
// ends makes a host look too fast.
func (h *host) boundedServiceTimeRatio() float64 {
	return max(h.serviceTimeRatio.value, minServiceTimeRatioToKind*h.kindStats.serviceTimeRatio.value)
}

// adjustWeights changes the weights of the hosts of a zone once a second: it multiplies the weight of a failing or slow
// host by slowHostWeightFactor and adds weightIncrement to that of any other. It keeps their mean at 1, which is also
// the weight of a new host.
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

// Choice of a zone and of a host in it.

// slowdown returns by what factor a hop takes longer with this many hops at the host, compared to a host with a free
// core. If the number of slots is unknown it assumes the mean between one slot and a slot for each hop.
func (h *host) slowdown(hops float64) float64 {
	if limit := h.kindStats.concurrencyLimit(); limit > 0 {
		return math.Cbrt(1 + math.Pow(hops/limit, 3)) // the more hops, the more evenly the cores are used
	}
	slots := h.kindStats.slots.value
	return ternary(slots == 0, (hops+1)/2, max(1, hops/max(1, slots)))
}

// slotsUnknown reports whether the number of slots of a host is only a guess. No transaction may be rolled back
// because of it, or the first ones after the start would be.
func (b *Balancer) slotsUnknown(h *host) bool {
	return b.sources.ProbesReportLoad && h.kindStats.slots.samples == 0 && !h.kindStats.overloaded
}

// expectedTime returns how long, in nanoseconds, a new hop of a profile is expected to take at a host.
func (b *Balancer) expectedTime(h *host, profile int) float64 {
	return b.serviceTime[profile].value * h.boundedServiceTimeRatio() * h.slowdown(h.inFlight()+1)
}

// randomlyOverRamp reports whether value is over a threshold drawn at random between rampStart and rampEnd. With one
// threshold for all gateways hosts would be idle and overloaded alternately.
func (b *Balancer) randomlyOverRamp(value, rampStart, rampEnd float64) bool {
	return value >= rampStart && rampStart+b.random.uniform()*(rampEnd-rampStart) < value
}

// atCapacity reports, with some randomness, whether a host is full by its in-flight count or its zone is congested.
func (b *Balancer) atCapacity(h *host) bool {
	limit := h.kindStats.concurrencyLimit() // 0 for a kind without reports, which has to get hops to report
	return limit > 0 && b.randomlyOverRamp((h.inFlight()+1)/limit, relativeLoadRampStart, relativeLoadRampEnd) ||
		b.randomlyOverRamp(h.group.queueingRatio.value, queueingRatioRampStart, queueingRatioRampEnd)
}

// chooseHost returns the host for a hop, nil if there is none, and the expected time in nanoseconds. It takes the own
// zone unless that is near full, and otherwise the zone with the lowest expected time; the more crossing zones costs, the
// more it prefers the own. If all breakers are open, any host that the transaction may run on will do.
func (b *Balancer) chooseHost(t *tx) (pick *host, expected float64) {
	if b.judgesByZone() {
		return b.chooseByZone(t), 0
	}
	// The cost of crossing zones, relative to the revenue of this transaction.
	crossZonePenalty := b.costModel.CrossZoneHop * b.meanRevenue.value / t.profileConfig.Revenue
	nearFullTime := min(nearFullGoalFraction+2*crossZonePenalty, maxAdmittedGoalFraction) *
		float64(t.profileConfig.ServiceGoal)
	for _, allowBarred := range []bool{false, true} {
		maxTime, leavesHome := b.admissionThreshold(t.profile),
			b.randomlyOverRamp(b.relativeLoad(t.homeGroup), relativeLoadRampStart, relativeLoadRampEnd)
		for _, g := range t.homeGroup.searchOrder {
			if g != t.homeGroup && leavesHome && b.relativeLoad(g) > b.relativeLoad(t.homeGroup) {
				continue
			}
			h, hostTime := b.pickFromGroup(g, t, allowBarred,
				min(nearFullGoalFraction*float64(t.profileConfig.ServiceGoal), maxTime))
			if h == nil || g != t.homeGroup && hostTime > maxTime || b.relativeLoad(g) >= 0 && b.atCapacity(h) {
				continue
			}
			pick, expected = h, hostTime
			if g != t.homeGroup {
				maxTime = hostTime
			} else if leavesHome {
				maxTime = math.Inf(1)
			} else if !allowBarred && !h.breakersClosed(t.profile) || // on trial
				h.kindStats.concurrencyLimit() > 0 || hostTime <= maxTime &&
				(h.slowdown(h.inFlight()+1) <= nearFullSlowdownThreshold || hostTime <= nearFullTime) {
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

// pickFromGroup picks a host of a zone at random by weight: it takes the better of two candidates if the first is
// slow. If the expected time is over nearFullTime it takes the candidate with the lowest. A host that is due for a
// trial is returned at once. With allowBarred open breakers are ignored, except those opened by overload.
func (b *Balancer) pickFromGroup(g *zoneGroup, t *tx, allowBarred bool,
	nearFullTime float64) (pick *host, expectedTime float64) {
	candidates := make([]candidate, 0, min(b.subsetSize()+t.extraRetryCandidates(), len(g.hosts)))
	var meanTime movingAverage
	allHopsKnown := b.topology.GatewayCount <= maxIndependentGateways || b.coordinating
	for _, h := range g.hosts[:min(b.subsetSize()+t.extraRetryCandidates(), len(g.hosts))] {
		if !t.mayRunOn(h, b.now) || !b.withinColdBudget(h, t.profile) ||
			ternary(allowBarred, h.openedByOverload(t.profile), b.unresponsive(h)) || b.connectionBlocked(h) ||
			b.coordinating && !b.picksFor(g) && b.now-h.inFlightByPeer[b.coordinatorOf(g)].receivedAt >
				remotePickTimeout {
			continue
		}
		hostTime := b.expectedTime(h, t.profile)
		if !allowBarred && !h.breakersClosed(t.profile) {
			if b.passesBreakers(h, t) {
				return h, hostTime
			}
			continue
		}
		hostTime *= ternary(h.estimatedInFlightAt > 0 && b.now-h.estimatedInFlightAt < estimatedInFlightTTL,
			max(ignoredEstimatedInFlight, h.estimatedInFlight), 1)
		meanTime.add(hostTime, 0)
		// All gateways pick the same hosts for a key, as these cache its work.
		random := ternary(t.affinityKey != 0, &randomSource{t.affinityKey, uint32(h.ID)}, &b.random)
		candidates = append(candidates,
			candidate{h, hostTime, math.Log(random.uniform()) * h.boundedServiceTimeRatio() / h.weight})
	}
	first, second := twoBestCandidates(candidates)
	if second.host != nil && second.expectedTime < first.expectedTime &&
		(first.expectedTime > slowLatencyMultiple*meanTime.value || !allHopsKnown && t.affinityKey == 0) {
		first = second
	}
	// Many gateways that all took the best one would overload it.
	if allHopsKnown && first.host != nil && first.expectedTime > nearFullTime {
		first = slices.MinFunc(candidates,
			func(x, y candidate) int { return cmp.Compare(x.expectedTime, y.expectedTime) })
	}
	if first.host != nil && first.host.estimatedInFlightAt > 0 {
		first.expectedTime = b.expectedTime(first.host, t.profile)
	}
	return first.host, first.expectedTime
}

// Choice of a host where only zones can be judged.

// spreadByLiveCapacity adjusts the load spreading to the live capacities of a list. This is for one of many gateways
// that exchange no messages and learn from the list how many hops each host had in flight some seconds ago. If all of
// them picked the least loaded hosts, these would be overloaded, so the differences are evened out instead.
//
// The weight of a kind follows slowly, and permanently, how its in-flight count per core compares to the overall one.
// The spread factor of a host holds until the next list: it evens out the difference with the arrivals of a second.
// The weight of a new kind starts at the square root of its capacity hint, as the hint tells which kind is faster but
// overstates by how much.
func (b *Balancer) spreadByLiveCapacity(listed []Host) {
	overall := b.hosts.updateInFlightPerCore(listed)
	for _, stats := range b.hosts.kinds {
		stats.weight = ternary(stats.weight == 0, math.Sqrt(stats.maxCapacityHint), stats.weight)
		exponent := kindWeightStep * (overall.value - stats.inFlightPerCore.value) /
			(overall.value + spareInFlightPerCore)
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
	home.spilloverFraction = min(max(0,
		home.spilloverFraction+spilloverStepPerList*(home.reportedInFlight.value/minInFlight-1)), maxDivertedFraction)
}

// relativeCapacity returns the nominal capacity of a host relative to the largest one, 1 if the list doesn't contain it.
func (b *Balancer) relativeCapacity(h *host) float64 {
	return ternary(b.sources.CapacityHints == NominalCapacity && h.CapacityHint > 0,
		h.CapacityHint/b.hosts.maxCapacityHint, 1)
}

// chooseByZone returns the host for a hop where this gateway judges zones rather than hosts, nil if there is none. It
// takes the own zone, except for the part of the traffic that spills over to zones with spare capacity.
func (b *Balancer) chooseByZone(t *tx) *host {
	for _, h := range b.hosts.withStartTime { // use this gateway's part of their budget, or they would stay cold
		if b.isCold(h) && t.mayRunOn(h, b.now) && b.withinColdBudget(h, t.profile) && !b.unresponsive(h) &&
			b.passesBreakers(h, t) {
			return h
		}
	}
	first, totalHosts, pick := b.firstGroup(t), 0.0,
		ternary(b.hasNoLoadInfo(), (*Balancer).pickFromSubset, (*Balancer).pickBySampling)
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

// firstGroup returns the zone to try first: the own one. If most hosts of its subset have an open breaker, a
// gateway without load information tries the least congested other zone instead, for the same fraction of its
// transactions.
func (b *Balancer) firstGroup(t *tx) *zoneGroup {
	var barredFraction movingAverage
	for _, h := range t.homeGroup.hosts[:min(b.subsetSize(), len(t.homeGroup.hosts))] {
		barredFraction.add(ternary(h.hostBreaker.open, 1.0, 0), 0)
	}
	if !b.hasNoLoadInfo() || barredFraction.value <= minBarredFractionToLeaveZone ||
		len(t.homeGroup.searchOrder) == 1 || b.random.uniform() >= barredFraction.value {
		return t.homeGroup
	}
	byCongestion := func(x, y *zoneGroup) int {
		return cmp.Compare(b.congestion(x, t.profile), b.congestion(y, t.profile))
	}
	return slices.MinFunc(t.homeGroup.searchOrder[1:], byCongestion)
}

// pickBySampling picks a host of a zone by weight with rejection sampling. Its cost doesn't grow with the number of
// hosts as long as some sample is accepted.
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
		if t.mayRunOn(h, b.now) && b.withinColdBudget(h, t.profile) &&
			(allowBarred || !b.unresponsive(h) && b.passesBreakers(h, t)) {
			return h
		}
	}
	return nil
}

// pickFromSubset picks by weight among the subset of hosts that a gateway without load information uses. For an
// affinity key it picks the same host as other gateways would.
func (b *Balancer) pickFromSubset(g *zoneGroup, t *tx, allowBarred bool) *host {
	pick, bestScore := (*host)(nil), math.Inf(-1)
	for _, h := range g.hosts[:min(b.subsetSize()+len(t.hops), len(g.hosts))] {
		if !t.mayRunOn(h, b.now) || !b.withinColdBudget(h, t.profile) ||
			!allowBarred && (b.unresponsive(h) || !b.passesBreakers(h, t)) {
			continue
		}
		if !allowBarred && !h.breakersClosed(t.profile) { // on trial
			return h
		}
		random := ternary(t.affinityKey != 0, randomSource{t.affinityKey, uint32(h.ID)},
			randomSource{b.random.seed, b.random.reserve()})
		if score := math.Log(random.uniform()) / b.pickWeight(h); score > bestScore {
			pick, bestScore = h, score
		}
	}
	return pick
}

// pickWeight returns a host's weight for pickBySampling and pickFromSubset. Without load information it depends on
// the latency of recent own hops and on own hops in flight: one of many gateways meets a host so rarely that its last
// hop there should have ended.
func (b *Balancer) pickWeight(h *host) float64 {
	byLatency := samplingWeightBound * b.relativeCapacity(h) /
		math.Pow(max(1, b.recentLatencyRatio(h)), latencyRatioWeightExponent)
	return ternary(b.hasNoLoadInfo(), byLatency, h.spreadFactor*h.weight*h.kindStats.weight) /
		(1 + ownInFlightWeightPenalty*float64(h.ownInFlight))
}

// passesBreakers reports whether a transaction may be sent to a host as far as its breakers are concerned: they are
// closed, or due for a trial, which it then starts. A non-idempotent transaction isn't used for a trial unless only
// the breaker of its own profile is open, and then only a small fraction of them.
func (b *Balancer) passesBreakers(h *host, t *tx) bool {
	if h.breakersClosed(t.profile) {
		return true
	}
	if h.trialDueAt(t.profile) > b.now || t.profileConfig.Effect == NonIdempotent && h.hostBreaker.open ||
		!b.randomlyElected() ||
		t.profileConfig.Effect == NonIdempotent && b.random.uniform() > nonIdempotentTrialFraction {
		return false
	}
	h.startTrial(t.profile, b.now+maxCooldown)
	return true
}

// Admission.

// admissionThreshold returns the expected time, in nanoseconds, over which a transaction of a profile is rolled back
// on arrival. A profile yields to profiles that earn more for the same work: its threshold, relative to the service
// time, is lower than theirs. It doesn't yield to those that would be rolled back even at an idle host, or it would be
// rolled back with them.
func (b *Balancer) admissionThreshold(profile int) float64 {
	// This gateway sees only its own hops; the more gateways a zone has, the more others are at a host.
	ownHopsPerSlot := 1 +
		(maxHopsPerSlot-1)/math.Sqrt(max(1, float64(b.topology.GatewayCount)/float64(len(b.hosts.groups))))
	hopsPerSlot := ternary(b.fewGatewaysWithoutReports(), ownHopsPerSlot,
		ternary(b.hostsReportInFlight(), maxHopsPerSlotWithReports, maxHopsPerSlot))
	// Returns the threshold relative to the service time.
	slowdownLimit := func(i int) float64 {
		return min(b.maxWorthwhileTime(i), hopsPerSlot*b.minServiceTime[i]) / b.serviceTime[i].value
	}
	limit := slowdownLimit(profile)
	minRevenue := ternary(b.costModel.RevenueByWork, yieldRevenueMultipleByWork, yieldRevenueMultiple) *
		b.revenueForWork(profile)
	for i := range b.profiles {
		if !b.profiles[i].Removed && b.revenueForWork(i) > minRevenue && slowdownLimit(i) > 1 {
			limit = min(limit, yieldExpectedTimeFraction*slowdownLimit(i))
		}
	}
	return limit * b.serviceTime[profile].value
}

// maxWorthwhileTime returns the time in nanoseconds up to which an answer is worth its hop. If unserved transactions
// cost by powers of ten, a rollback is as bad as a late answer, so nothing is rolled back before the goal.
func (b *Balancer) maxWorthwhileTime(profile int) float64 {
	goalFraction := ternary(b.costModel.MissedGoals, maxAdmittedGoalFractionIfMissesCost,
		ternary(b.costModel.AvailabilityNines > 0, 1, maxAdmittedGoalFraction))
	return (goalFraction + b.profiles[profile].LateRevenueFraction/2) * float64(b.profiles[profile].ServiceGoal)
}

// revenueForWork returns the revenue of a profile for a unit of work.
func (b *Balancer) revenueForWork(profile int) float64 {
	return b.profiles[profile].Revenue / ternary(b.costModel.RevenueByWork, 1, b.serviceTime[profile].value)
}

// Transactions and their hops.

// isOutlier reports whether hops of a tenant miss their goals while those of the others don't. They then wait for
// something of the tenant's own, and hosts aren't judged by them. If they are heavy work instead, the others soon
// miss their goals too.
func (a *tenantAdmission) isOutlier(t *tenant) bool {
	others, samples := a.missedGoalsOfOthers(t)
	return min(samples, t.missedGoalFraction.samples) >= consecutiveFailuresToOpen &&
		t.missedGoalFraction.value > max(outlierMissedGoalFraction, outlierMissedGoalMultiple*others)
}

// suspectedOutlier is like isOutlier but reacts sooner, to two misses close together. It is used where gateways
// exchange no messages, so that a single answer counts for much.
func (b *Balancer) suspectedOutlier(t *tenant) bool {
	others, samples := b.admission.missedGoalsOfOthers(t)
	return !b.sources.PeersShareInFlight && samples >= consecutiveFailuresToOpen &&
		t.missedGoalFraction.value > max(errorFractionToOpen, usualErrorMultiple*others)
}

// TransactionReceived implements Core. It starts the transaction, or asks the coordinator of the own zone for a host.
func (b *Balancer) TransactionReceived(now time.Duration, id TxID, arrival Arrival) {
	b.beginCall(now)
	p := &b.profiles[arrival.ProfileIndex]
	t := &tx{id: id, profile: arrival.ProfileIndex, profileConfig: p, affinityKey: arrival.AffinityKey,
		homeGroup: b.hosts.ownGroup(),
		deadline:  now + arrival.Budget + b.hopRule.BudgetTolerance, maxHops: b.hopRule.MaxHops}
	// An idempotent transaction that was stopped at its goal would only be sent again: a late answer at least ends
	// the client's attempts.
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
	t.inFlightPerHop = ternary(arrival.BodyPending || t.outlierTenant, 0, 1)
	if b.hopRule.MaxBufferedResponses > 0 {
		b.schedule(now+p.ServiceGoal, func() { b.endSlowRead(t) })
	}
	ternary(b.picksFor(t.homeGroup), b.startTransaction, b.requestRemotePick)(t)
}

// pickAdmitted returns the host for a new transaction, nil if it is to be rolled back. A host or profile that has had
// no answer for long is tried nevertheless, or the profile would stay rejected for as long as others are answered.
//
// Reports of low in-flight counts must not let in a whole burst at once, so little more is admitted than recently.
func (b *Balancer) pickAdmitted(t *tx) *host {
	b.lastRejection = rejection{reason: rejectedWithoutHost, profile: t.profileConfig.Name}
	if b.judgesByZone() {
		h := b.chooseByZone(t)
		if h != nil && !b.isCold(h) && b.shedsForCongestion(t, h.group) {
			b.lastRejection.reason, b.lastRejection.host = rejectedForCongestion, h.ID
			return nil
		}
		return h
	}
	maxTime := b.admissionThreshold(t.profile)
	h, expectedTime := b.chooseHost(t)
	// With a single gateway, an idle host takes whatever is worth its hop.
	maxTime = ternary(b.topology.GatewayCount == 1 && h != nil && h.inFlight() == 0,
		max(maxTime, b.maxWorthwhileTime(t.profile)), maxTime)
	overShare := t.overShare && h != nil &&
		(b.now-h.utilizationAt >= observationTTL || h.utilization >= maxUtilizationForOverShare)
	// A tenant over its share gets no more than a free slot at an average host.
	maxTime = ternary(overShare, min(maxTime, b.minServiceTime[t.profile]), maxTime)
	if h != nil && h.kindStats.concurrencyLimit() > 0 {
		if expectedTime = 0; b.random.uniform()*b.recentArrivals >
			maxAdmissionGrowthFactor*b.recentAdmitted+alwaysAdmittedTransactions {
			b.lastRejection.reason = rejectedByAdmissionRate
			return nil
		}
		b.recentAdmitted++
	}
	// With an open breaker this is a trial, which goes ahead whatever time it is expected to take.
	if h == nil || b.probesOnly() && !h.breakersClosed(t.profile) || b.slotsUnknown(h) || expectedTime <= maxTime {
		return h
	}
	if h.ownInFlight > 0 || b.now-min(max(h.serviceTimeRatioAt, h.reportedInFlightAt), b.lastAnsweredAt[t.profile]) <
		observationTTL || !b.randomlyElected() {
		b.lastRejection = rejection{rejectedByExpectedTime, t.profileConfig.Name, h.ID, h.inFlight(),
			time.Duration(expectedTime), time.Duration(maxTime)}
		return nil
	}
	if b.probesOnly() { // one such attempt at a time
		h.serviceTimeRatioAt, b.lastAnsweredAt[t.profile] = b.now, b.now
	}
	return h
}

// shedsForCongestion reports, with some randomness, whether a transaction is rolled back because of the congestion of
// a zone. What is known of another zone is little and old: with live capacities congestion of the own zone counts as
// well, or all gateways would move from one zone to the next together.
func (b *Balancer) shedsForCongestion(t *tx, g *zoneGroup) bool {
	if b.hasNoLoadInfo() {
		return b.randomlyOverRamp(b.congestion(g, t.profile), congestionShedRampStart, congestionShedRampEnd)
	}
	congestion := max(b.congestion(t.homeGroup, t.profile), b.congestion(g, t.profile))
	load := congestion * b.latencyRatioBaseline(t.profile) / b.maxWorthwhileTime(t.profile) *
		(g.inFlightAtTargets + spareInFlightPerCore) / maxInFlightPerCore
	return b.random.uniform() < b.shedProbability(g, math.Sqrt(load)-shedLoadThreshold)
}

// maxCongestionSample bounds what a single answer adds to the congestion of a zone. It takes many long answers to
// make a zone congested, and more so if unserved transactions cost by powers of ten.
func (b *Balancer) maxCongestionSample() float64 {
	return ternary(b.costModel.AvailabilityNines > 0, congestionShedRampEnd, rejectionLatencyRatio)
}

// shedProbability returns the fraction of a zone's transactions to roll back, by proportional-integral control of its
// excess load. Because lists are late, control by the current excess alone would alternately empty and overload zones.
func (b *Balancer) shedProbability(g *zoneGroup, excess float64) float64 {
	elapsed := min(b.now-g.shedUpdatedAt, maxShedIntegrationStep)
	g.shedFraction = min(max(0, g.shedFraction+shedIntegralGainPerSecond*min(excess, 1)*elapsed.Seconds()),
		maxDivertedFraction)
	g.shedUpdatedAt = b.now
	return g.shedFraction + shedProportionalGain*excess
}

// hopTimeLimit returns after how long a hop is called off. The more a zone is congested the shorter it is: waiting
// hops make hosts slow.
func (b *Balancer) hopTimeLimit(t *tx, g *zoneGroup) time.Duration {
	congestedMultiple := ternary(t.profileConfig.Effect == Idempotent, congestedCallOffGoalMultipleIdempotent,
		congestedCallOffGoalMultiple)
	severity := min(max(0, (b.congestion(g, t.profile)-congestionCallOffRampStart)/
		(congestionCallOffRampEnd-congestionCallOffRampStart)), 1)
	return time.Duration((callOffGoalMultiple + (congestedMultiple-callOffGoalMultiple)*severity) *
		float64(t.profileConfig.ServiceGoal))
}

// startTransaction sends the first hop of a transaction, or rolls it back if no host admits it.
func (b *Balancer) startTransaction(t *tx) {
	switch h := b.pickAdmitted(t); {
	case t.done:
	case h != nil:
		b.sendHop(t, h)
	default:
		b.shed(t)
	}
}

// shed rejects a transaction on arrival.
func (b *Balancer) shed(t *tx) {
	b.shedThisSecond++
	b.lastShed = b.lastRejection
	b.finishTransaction(t)
}

// sendHop sends a hop of a transaction to a host and updates the counts of both.
func (b *Balancer) sendHop(t *tx, h *host) {
	b.recordHopTime(h)
	h.ownInFlight += t.inFlightPerHop
	h.unansweredSince = ternary(h.ownInFlight == 1, b.now, h.unansweredSince)
	if inFlight := h.ownInFlight + h.peersInFlight; b.slotsUnknown(h) && inFlight >= minInFlightToProbe &&
		inFlight%(minInFlightToProbe/2) == 0 {
		b.executor.Probe(h.ID) // it may be full by now
	}
	b.markUnsent(h)
	wait, idle := b.hopTimeout(t, h)
	limits := HopLimits{Timeout: wait, DeliverWithin: t.repeatWindowLeft(b.now)}
	h.connectionUnproven = ternary(h.ownInFlight == 1, h.lastUsedAt == 0 || idle > 0, h.connectionUnproven)
	h.lastUsedAt, t.hopsInFlight = b.now, t.hopsInFlight+1
	t.hops = append(t.hops,
		hop{host: h, sentAt: b.now, connectionIdle: idle, hostInFlight: h.inFlight(), onFailure: func() {
			if t.hopsInFlight == 0 && !b.retry(t) {
				b.finishTransaction(t)
			}
		}})
	b.executor.SendHop(t.id, h.ID, limits)
	if b.hasNoLoadInfo() && b.hopRule.CallOffAllowed {
		b.callOffAfter(b.hopTimeLimit(t, h.group), t, len(t.hops)-1)
	}
}

// isReadSlowly reports whether an answer is late although its host usually answers far sooner, so that it is the
// client that reads slowly.
func (b *Balancer) isReadSlowly(t *tx, hop *hop) bool {
	return b.hopRule.MaxBufferedResponses > 0 && b.now-hop.sentAt >= t.profileConfig.ServiceGoal &&
		hop.host.latency.value < float64(t.profileConfig.ServiceGoal)/slowReaderGoalDivisor
}

// endSlowRead ends a transaction with a slowly reading client if such clients hold much of the response buffers. All
// other transactions wait for these buffers, which makes hosts look slow that aren't.
func (b *Balancer) endSlowRead(t *tx) {
	if t.done || len(t.hops) == 0 || !b.isReadSlowly(t, &t.hops[len(t.hops)-1]) {
		return
	}
	t.slowReader = true
	if b.slowReaders++; slowReaderBufferDivisor*b.slowReaders > b.hopRule.MaxBufferedResponses {
		b.finishTransaction(t)
	}
}

// connectionBlocked reports whether a host must get no hops because of its connection: making a new one, which costs
// the host much even if it fails, has just failed, or the first hop on an unproven one is in flight, with which all
// others there would be lost.
func (b *Balancer) connectionBlocked(h *host) bool {
	return b.now < h.noConnectUntil || h.connectionUnproven && h.ownInFlight > 0 && b.linkSuspectedAt > 0 &&
		b.now-b.linkSuspectedAt < linkSuspicionDuration
}

// hopTimeout returns the timeout of a hop and, if its connection was unused for so long that it may have been
// dropped, for how long it was unused, otherwise 0.
func (b *Balancer) hopTimeout(t *tx, h *host) (wait, idle time.Duration) {
	wait, idle = t.deadline-b.now, b.now-h.lastUsedAt
	if !b.costModel.OpenConnections || h.lastUsedAt == 0 || idle < suspectConnectionIdleTime || h.ownInFlight > 1 {
		return wait, 0
	}
	suspectWait := min(wait, time.Duration(suspectConnectionTimeMultiple*b.expectedTime(h, t.profile)))
	return ternary(b.linkSuspectedAt > 0 && b.now-b.linkSuspectedAt < linkSuspicionDuration, suspectWait, wait), idle
}

// retry sends a further hop if the retry budget allows it and a host can still answer in time.
func (b *Balancer) retry(t *tx) bool {
	if t.errorCount() >= maxErrorAnswersPerTx && b.errorFraction.value >= commonErrorFraction ||
		!b.withinRetryBudget(t.profile) {
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

// retryBudget returns the configured budget, or a default one that keeps congestion small if none is configured and
// there is no load information to show it.
func (b *Balancer) retryBudget() RetryBudget {
	stated := b.hopRule.RetryBudget.Window > 0 || !b.hasNoLoadInfo()
	return ternary(stated, b.hopRule.RetryBudget,
		RetryBudget{defaultBaseRetries, defaultRetriesPerTransaction, defaultRetryWindow})
}

// withinRetryBudget reports whether a further hop of a profile stays within the retry budget. Part of each profile's
// portion of the budget, by revenue, is reserved for that profile.
func (b *Balancer) withinRetryBudget(profile int) bool {
	budget, revenue, taken := b.retryBudget(), 0.0, 0.0
	for i := range b.retryUsage {
		transactions := b.retryUsage[i].transactions.lowerBound(b.now, budget.Window)
		taken, revenue = taken+transactions, revenue+transactions*b.profiles[i].Revenue
	}
	remaining := budget.BaseRetries + budget.RetriesPerTransaction*taken
	reservedPerRevenue := reservedRetryFraction * remaining / max(revenue, 1)
	for i := range b.retryUsage {
		usage, used := &b.retryUsage[i], b.retryUsage[i].retries.upperBound(b.now, budget.Window)
		remaining -= ternary(i == profile, used,
			max(used, reservedPerRevenue*usage.transactions.lowerBound(b.now, budget.Window)*b.profiles[i].Revenue))
	}
	return remaining >= 1 || budget.Window == 0
}

// finishTransaction ends a transaction that no host has committed. It is rolled back only if it can have had no
// lasting effect, and otherwise abandoned.
func (b *Balancer) finishTransaction(t *tx) {
	if t.profileConfig.Effect == Idempotent || t.possiblyRunHop() == nil ||
		t.profileConfig.Effect == Deduplicated && t.profileConfig.DedupScope == DedupAllHosts {
		b.executor.RollBack(t.id, min(time.Duration(b.serviceTime[t.profile].value), b.hopRule.MaxRetryAfter))
	} else {
		b.executor.Abandon(t.id)
	}
	b.settleTransaction(t)
}

// HopEnded implements Core. It records the outcome for the host, unless the cause lies with this gateway, the client or
// the tenant, and then retries or ends the transaction.
func (b *Balancer) HopEnded(now time.Duration, id TxID, hopIndex int, result HopResult, txAnswered bool) {
	b.beginCall(now)
	t, hop := b.openHop(id, hopIndex)
	if hop == nil {
		return
	}
	hop.ended, hop.outcome, t.hopsInFlight, hop.host.ownInFlight = true, result.Outcome, t.hopsInFlight-1,
		hop.host.ownInFlight-t.inFlightPerHop
	switch {
	case result.Outcome == HopCommitted:
		hop.host.lastUsedAt, hop.host.connectionUnproven = now, false
		hop.host.kindStats.answersThisSecond += ternary(b.isCold(hop.host), 0.0, 1)
	case hop.connectionIdle > 0 && result.Outcome == HopTimedOut && hop.sentAt >= b.lastStallEnd:
		b.linkSuspectedAt = now
		b.executor.CloseIdleConnections(hop.host.ID)
	case result.Outcome == HopNoConnection && b.costModel.OpenConnections:
		b.linkSuspectedAt, hop.host.noConnectUntil = now,
			now+time.Duration((0.75+b.random.uniform()/2)*float64(maxCooldown))
	}
	b.closeIdleIfNotReady(hop.host.Host)
	b.markUnsent(hop.host)
	calledOff := result.Outcome == HopCalledOff // a gateway without load information itself calls off late hops
	late := result.Outcome == HopTimedOut || (result.Outcome == HopCommitted || calledOff && b.hasNoLoadInfo()) &&
		now-hop.sentAt > t.profileConfig.ServiceGoal
	if t.tenant != nil && (late || result.Outcome == HopCommitted) {
		t.tenant.missedGoalFraction.add(ternary(late, 1.0, 0), failureFractionSmoothing)
	}
	tenantOnly := t.outlierTenant && (late || result.Outcome == HopCommitted) ||
		(late || calledOff) && b.suspectedOutlier(t.tenant)
	if !tenantOnly && !b.picksFor(hop.host.group) && hop.sentAt >= b.lastStallEnd {
		hop.host.unsentOutcomes = append(hop.host.unsentOutcomes,
			PeerEntry{EntryHopEnded, hop.host.ID, int(hop.hostInFlight), t.profile, result.Outcome, result.Latency})
	}
	// Other outcomes are caused by this gateway, a client or a tenant, and say nothing about the host.
	if hop.sentAt >= b.lastStallEnd && !tenantOnly && !b.isReadSlowly(t, hop) {
		b.recordOutcome(hop.host, hop.hostInFlight, t.profile, result)
	}
	ternary(t.done || txAnswered, func() { b.settleTransaction(t) }, hop.onFailure)()
}
