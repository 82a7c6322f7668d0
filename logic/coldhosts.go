package logic

import (
	"slices"
	"time"
)

// The budget of cold hosts.

// withinColdBudget reports whether a cold host may be sent another hop. Each gateway gets an equal part of the host's
// budget. If that isn't a whole number of hops, the fraction is rounded up or down at random, once per window: when a
// third of the hosts restarted, all gateways used the cold ones at once, and one hop from each gateway is far over the
// budget.
func (b *Balancer) withinColdBudget(h *host, profile int) bool {
	if !b.isCold(h) {
		return true
	}
	age := max(0, b.now-h.StartedAt-b.coldRule.StartTimeTolerance)
	capacityFraction := b.coldRule.InitialCapacityFraction +
		(1-b.coldRule.InitialCapacityFraction)*float64(age)/float64(b.coldRule.WarmUpDuration)
	// A kind without samples is taken to have the usual ratio.
	serviceTimeRatio := ternary(h.kindStats.serviceTimeRatio.samples == 0, 1,
		max(h.kindStats.serviceTimeRatio.value, minServiceTimeRatio))
	serviceTime := ternary(b.judgesByZone(), b.meanServiceTime, b.serviceTime[0]).value
	hopsPerNs := max(1, h.kindStats.slots.value) / (serviceTime * serviceTimeRatio)
	observedHopsPerNs := coldObservedRateFraction * h.kindStats.answersPerSecond.value *
		float64(b.topology.GatewayCount) / float64(time.Second)
	hopsPerNs = ternary(b.judgesByZone(), max(hopsPerNs, observedHopsPerNs), hopsPerNs) // the answer rate of warm hosts is a lower bound
	budgetFraction := ternary(b.now < b.coldRule.PredecessorActiveUntil, 1-ownColdBudgetFraction,
		ownColdBudgetFraction) / float64(b.topology.GatewayCount)
	budget := capacityFraction * b.coldRule.OverloadMultiple * hopsPerNs * float64(b.coldRule.OverloadDuration)
	hopLimit, sent := budgetFraction*budget, h.recentHopTimes.dropUntil(b.now-b.coldRule.OverloadDuration)
	// If this gateway's part of a large budget is below one hop, it may send one with a probability equal to the
	// capacity fraction that the host has reached.
	if !b.judgesByZone() && budget >= coldHopBudgetDivisor {
		return sent < max(1, int(hopLimit)) && (hopLimit >= 1 || b.random.uniform() < capacityFraction)
	}
	perWindow := randomSource{b.random.seed ^ uint32(h.ID), uint32(b.now / b.coldRule.OverloadDuration)}
	return (!b.judgesByZone() || b.serviceTime[profile].value*coldHopBudgetDivisor <= budget*serviceTime) &&
		sent < int(hopLimit+perWindow.uniform())
}

// isCold reports whether a host is still warming up, or may be, as its start time is not exact.
func (b *Balancer) isCold(h *host) bool {
	return h.StartedAt > 0 && b.now-h.StartedAt < b.coldRule.WarmUpDuration+b.coldRule.StartTimeTolerance
}

// recentTimes are times in ascending order.
type recentTimes []time.Duration

// dropUntil drops the times up to a time, and returns how many are left.
func (r *recentTimes) dropUntil(until time.Duration) int {
	for len(*r) > 0 && (*r)[0] <= until {
		*r = (*r)[1:]
	}
	return len(*r)
}

// add adds a time, and drops those up to another one. The room of the dropped ones is used again.
func (r *recentTimes) add(at, until time.Duration) {
	if len(*r) == cap(*r) {
		old, _ := slices.BinarySearch(*r, until+1)
		*r = slices.Delete(*r, 0, old)
	}
	*r = append(*r, at)
}

// recordHopTime records that a hop is sent to a host now.
func (b *Balancer) recordHopTime(h *host) {
	if b.coldRule.WarmUpDuration > 0 {
		h.recentHopTimes.add(b.now, b.now-b.coldRule.OverloadDuration)
	}
}

// forgetHopsBeforeStart drops the times of the hops to warm hosts that a list has as started again: these hops went to
// the processes before.
func (b *Balancer) forgetHopsBeforeStart(listed []Host) {
	for i := range listed {
		if h := b.hosts.byID[listed[i].ID]; h != nil && h.StartedAt != listed[i].StartedAt && !b.isCold(h) {
			h.recentHopTimes = nil
		}
	}
}
