package logic_test

import (
	"fmt"
	"testing"
	"time"

	"spanmux/logic"
)

const (
	stallStart           = 4 * time.Second // from then on hops keep their slots
	stallEnd             = stallStart + 5*time.Second
	recoveryDeadline     = stallEnd + 3*time.Second // service must have recovered by then
	overloadRunDuration  = recoveryDeadline + 5*time.Second
	minRecoveredFraction = 0.8 // of the fraction committed within the goal before the stall
	overloadRunCount     = 5   // averaged, because a single run depends on chance
)

// newOverloadSimulation returns a simulation with gateways that learn of hosts by their own hops and by probes. Hosts keep working on hops that
// were called off, and each hop whose work ends between stallStart and stallEnd keeps its slot until stallEnd.
func newOverloadSimulation(gatewayCount int, seed uint64) *simulation {
	bid := simProfile{trafficFraction: 0.7, meanWork: 180 * ms, Profile: logic.Profile{Name: "bid", Effect: logic.Idempotent, ServiceGoal: 720 * ms, Revenue: 1}}
	bill := simProfile{trafficFraction: 0.3, meanWork: 200 * ms, Profile: logic.Profile{Name: "bill", Effect: logic.NonIdempotent, ServiceGoal: 1200 * ms, Revenue: 4}}
	sim := newSimulation(deployment{
		sourcesName: "probes", sources: logic.InformationSources{ProbesReportLoad: true}, reportedFields: "inflight queued", gatewayCount: gatewayCount, zoneCount: 1, hostCount: 10, coresPerHost: 3, slotsPerHost: 3,
		slowKindSpeed: 0.8, workDistribution: "lognormal", lognormalSigma: 0.4, profiles: []simProfile{bid, bill}, seed: seed, txPerSecond: 75, arrivalDuration: overloadRunDuration,
		hopRule: logic.HopRule{MaxHops: 4, CallOffAllowed: true, MaxRetryAfter: time.Second}}, false)
	sim.hostsIgnoreCancellation, sim.queueLimit = true, 40
	sim.extraWait = func(hop *simHop) time.Duration {
		if at := sim.now - time.Second; at >= stallStart && at < stallEnd {
			return stallEnd - at
		}
		return 0
	}
	return sim
}

// Three seconds after a stall of five seconds, in which all slots of all hosts stay occupied, service has recovered. It failed with gateways
// that know hosts only from their own hops, because they kept the queues full: a host that rejected all hops had none in flight and looked
// idle, and with all breakers open any host was picked.
func TestOverloadClears(t *testing.T) {
	for _, gatewayCount := range []int{2, 8} {
		t.Run(fmt.Sprintf("%d gateways", gatewayCount), func(t *testing.T) {
			t.Parallel()
			testOverloadClears(t, gatewayCount)
		})
	}
}

// The same with twenty gateways. Each sends to a host so rarely that two consecutive overload outcomes come late (KNOWN-RED.txt).
func TestOverloadClearsTwentyGateways(t *testing.T) {
	t.Parallel()
	testOverloadClears(t, 20)
}

// testOverloadClears compares the fraction committed within the goal after recoveryDeadline with that before the stall.
func testOverloadClears(t *testing.T, gatewayCount int) {
	t.Helper()
	before, stalled, recovered := 0.0, 0.0, 0.0
	for seed := range uint64(overloadRunCount) {
		sim := newOverloadSimulation(gatewayCount, seed+1).runUntil(overloadRunDuration + 2*time.Second)
		inGoal := func(from, to time.Duration) float64 {
			counts := sim.countTransactions(from, to, nil)
			return counts.fraction(counts.inGoal) / overloadRunCount
		}
		before += inGoal(startupDuration, stallStart-time.Second)
		stalled += inGoal(stallStart+time.Second, stallEnd)
		recovered += inGoal(recoveryDeadline, overloadRunDuration)
	}
	line := fmt.Sprintf("in goal: before the stall %.0f%%, during it %.0f%%, after recovery %.0f%%", 100*before, 100*stalled, 100*recovered)
	if recovered < minRecoveredFraction*before {
		t.Error(line)
	} else {
		t.Log(line)
	}
}
