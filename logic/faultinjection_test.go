package logic_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"spanmux/logic"
)

// Each of these days has one trouble, between two times, at hosts that are otherwise a third in use; beside it stands a day with one that
// looks alike and calls for something else. What must hold is said against the same day without trouble, of what comes once the gateways
// have had a third of the trouble's time to see it.
const (
	faultStart            = 6 * time.Second
	faultFreeTail         = 2 * time.Second // before the end of the day
	maxInGoalLoss         = 0.05            // of what is committed within the goal on the day without trouble: may be lost
	maxAvoidedShareOfEven = 0.5             // of the even share: what goes at the most to hosts that are to be left
)

// faultSourceCases are gateways that learn of hosts in ways that have little in common, few and many.
var faultSourceCases = []struct {
	name           string
	sources        logic.InformationSources
	reportedFields string
	gatewayCount   int
}{
	{"few, probed", logic.InformationSources{ProbesReportLoad: true}, "held waiting", 4},
	{"few, told, probed", logic.InformationSources{PeersShareInFlight: true, ProbesReportLoad: true}, "held waiting", 4},
	{"many, blind", logic.InformationSources{}, "", 40},
	{"many, live sizes", logic.InformationSources{CapacityHints: logic.LiveCapacity}, "", 40},
	{"many, reported held", logic.InformationSources{ResponsesReportLoad: true, ResponsesReportInFlight: true, ExtraProbesAllowed: true}, "held busy", 40},
	{"many, reported queue", logic.InformationSources{ResponsesReportLoad: true}, "waiting rate", 40},
}

const (
	readProfileIndex = iota
	orderProfileIndex
)

// outcomeNames names the ends that tests cause.
var outcomeNames = [...]string{logic.HopError: "error", logic.HopTimedOut: "silence", logic.HopNoConnection: "refused", logic.HopConnectionBroken: "reset"}

// faultDeployment is the deployment without trouble.
func faultDeployment(i int) deployment {
	sourceCase := faultSourceCases[i]
	d := deployment{sourcesName: sourceCase.name, infoSources: sourceCase.sources, reportedFields: sourceCase.reportedFields, gatewayCount: sourceCase.gatewayCount, zoneCount: 2, hostCount: 8, coresPerHost: 2, slotsPerHost: 20, sharesCores: true,
		slowKindSpeed: 1, workDistribution: "exponential", waitToWorkRatio: 0.5, seed: uint64(i), arrivalDuration: 20 * time.Second, txPerSecond: 80,
		costModel: logic.CostModel{CrossZoneHop: 0.02}, hopRule: logic.HopRule{MaxHops: 3, CallOff: true, MaxRetryAfter: time.Second},
		profiles: []simProfile{
			{Profile: logic.Profile{Name: "read", Effect: logic.Idempotent, ServiceGoal: 600 * ms, Revenue: 1, LateRevenueFraction: 0.3}, trafficFraction: 0.7, meanWork: 50 * ms},
			{Profile: logic.Profile{Name: "order", Effect: logic.NonIdempotent, ServiceGoal: 1200 * ms, Revenue: 3, LateRevenueFraction: 0.3}, trafficFraction: 0.3,
				meanWork: 100 * ms}}}
	d.infoSources.MaxListPollInterval = 10 * time.Second
	return d
}

// faultFreeRuns are those without trouble and changes, each played once.
var faultFreeRuns = func() (days []func() *simulation) {
	for i := range faultSourceCases {
		days = append(days, sync.OnceValue(func() *simulation { return newSimulation(faultDeployment(i), false).runToEnd() }))
	}
	return days
}()

func (sim *simulation) runToEnd() *simulation {
	return sim.runUntil(sim.arrivalDuration + 3*time.Second)
}

// runFaultTest plays a day for each way to learn of hosts, without the trouble and with it; change makes both another deployment.
func runFaultTest(t *testing.T, applies func(logic.InformationSources) bool, change func(*deployment), injectFault func(*simulation), check func(t *testing.T, faultFree, sim *simulation)) {
	for i, sourceCase := range faultSourceCases {
		if applies != nil && !applies(sourceCase.sources) {
			continue
		}
		t.Run(sourceCase.name, func(t *testing.T) {
			t.Parallel()
			d, runFaultFree := faultDeployment(i), faultFreeRuns[i]
			if change != nil {
				change(&d)
				runFaultFree = newSimulation(d, false).runToEnd
			}
			sim, faultFree := newSimulation(d, false), runFaultFree()
			injectFault(sim)
			sim.runToEnd()
			counts, faultFreeCounts := sim.countAfterDetection(nil), faultFree.countAfterDetection(nil)
			t.Logf("in goal %.3f, calm %.3f; given up early %.3f; %d hops further; %d breakers opened, calm %d", counts.fraction(counts.inGoal), faultFreeCounts.fraction(faultFreeCounts.inGoal),
				counts.fraction(counts.failedBeforeGoal), counts.furtherHops, len(sim.breakerOpenings()), len(faultFree.breakerOpenings()))
			check(t, faultFree, sim)
		})
	}
}

// faultEnd is when the trouble ends, seen when the gateways have had time to see it.
func (sim *simulation) faultEnd() time.Duration { return sim.arrivalDuration - faultFreeTail }
func (sim *simulation) detectionDeadline() time.Duration {
	return faultStart + (sim.faultEnd()-faultStart)/3
}

// countAfterDetection counts what came while the trouble was there and had been seen.
func (sim *simulation) countAfterDetection(filter func(*simTx) bool) txCounts {
	return sim.countTransactions(sim.detectionDeadline(), sim.faultEnd(), filter)
}

func (sim *simulation) faultActive() bool {
	at := sim.now - time.Second
	return at >= faultStart && at < sim.faultEnd()
}

// scheduleAt has something done so long after the start.
func (sim *simulation) scheduleAt(elapsed time.Duration, action func()) {
	sim.schedule(time.Second+elapsed-sim.now, action)
}

// hopFraction is the part of the hops that went to some hosts, of those sent in that time that a condition picks.
func (sim *simulation) hopFraction(hosts []logic.HostID, filter func(*simHop) bool) float64 {
	all, toHosts := 0, 0
	for _, tx := range sim.transactions {
		for _, hop := range tx.hops {
			if at := hop.sentAt - time.Second; at < sim.detectionDeadline() || at >= sim.faultEnd() || filter != nil && !filter(hop) {
				continue
			}
			if all++; slices.Contains(hosts, hop.host.ID) {
				toHosts++
			}
		}
	}
	return float64(toHosts) / float64(max(1, all))
}

func checkAtLeast(t *testing.T, what string, got, min float64) {
	t.Helper()
	if got < min {
		t.Errorf("%s: %.3f, must be at least %.3f", what, got, min)
	}
}

func checkAtMost(t *testing.T, what string, got, max float64) {
	t.Helper()
	if got > max {
		t.Errorf("%s: %.3f, must be at most %.3f", what, got, max)
	}
}

// checkAvoided asks that hosts get less than half of an even share of the hops that a condition picks.
func checkAvoided(t *testing.T, what string, sim *simulation, hosts []logic.HostID, filter func(*simHop) bool) {
	t.Helper()
	checkAtMost(t, "hops to "+what, sim.hopFraction(hosts, filter), maxAvoidedShareOfEven*float64(len(hosts))/float64(sim.hostCount))
}

// checkServed asks that what a condition picks is committed within its goal as on the calm day, but for a small part.
func checkServed(t *testing.T, what string, faultFree, sim *simulation, filter func(*simTx) bool, maxLoss float64) {
	t.Helper()
	faultFreeCounts, counts := faultFree.countAfterDetection(filter), sim.countAfterDetection(filter)
	checkAtLeast(t, what+", in goal", counts.fraction(counts.inGoal), faultFreeCounts.fraction(faultFreeCounts.inGoal)-maxLoss)
}

func hasProfile(profile int) func(*simTx) bool {
	return func(tx *simTx) bool { return tx.profileIndex == profile }
}

// some are a quarter of the hosts, one in each zone; half are two in each.
var (
	quarterOfHosts = []logic.HostID{1, 2}
	halfOfHosts    = []logic.HostID{1, 2, 3, 4}
)

// slowDown makes hosts slower by that factor while the trouble is there.
func (sim *simulation) slowDown(ids []logic.HostID, factor float64) {
	setSpeed := func(speed float64) func() {
		return func() {
			for _, id := range ids {
				h := sim.hosts[id-1]
				h.advance()
				h.speed = speed
				h.scheduleNext()
			}
		}
	}
	sim.scheduleAt(faultStart, setSpeed(1/factor))
	sim.scheduleAt(sim.faultEnd(), setSpeed(1))
}

func reportsLoad(sources logic.InformationSources) bool {
	return sources.ProbesReportLoad || sources.ResponsesReportLoad || sources.CapacityHints == logic.LiveCapacity
}

// Reports that show too little, what was at the start, or nothing, while their hosts are twice as slow, must not draw the traffic there: a
// host that answers late is loaded, whatever it says. Guards against reports trusted over answers.
func TestUnderreportedLoad(t *testing.T) {
	for _, falseReport := range []struct {
		name    string
		falsify func(logic.LoadReport) logic.LoadReport
	}{
		{"low", func(load logic.LoadReport) logic.LoadReport {
			return logic.LoadReport{InFlight: 0.1 * load.InFlight, Queued: 0.1 * load.Queued, Utilization: 0.1 * load.Utilization, RequestsPerSecond: load.RequestsPerSecond, LatencyMs: 0.1 * load.LatencyMs}
		}},
		{"none", func(logic.LoadReport) logic.LoadReport { return logic.LoadReport{} }},
		{"stuck", func(logic.LoadReport) logic.LoadReport {
			return logic.LoadReport{InFlight: 1, Utilization: 0.3, RequestsPerSecond: 10, LatencyMs: 75}
		}},
	} {
		t.Run(falseReport.name, func(t *testing.T) {
			runFaultTest(t, reportsLoad, nil, func(sim *simulation) {
				sim.slowDown(quarterOfHosts, 2.5)
				sim.overrideReport = func(h *simHost, load logic.LoadReport) logic.LoadReport {
					if sim.faultActive() && slices.Contains(quarterOfHosts, h.ID) {
						return falseReport.falsify(load)
					}
					return load
				}
			}, func(t *testing.T, faultFree, sim *simulation) {
				checkServed(t, "all", faultFree, sim, nil, maxInGoalLoss)
				checkAtMost(t, "hops to hosts that are slow and say that they are free", sim.hopFraction(quarterOfHosts, nil), 0.25)
			})
		})
	}
}

// Reports of full hosts that are free must not have transactions rolled back. Guards against reports trusted over answers, the other way:
// the cores are a third in use.
func TestOverreportedLoad(t *testing.T) { testOverreportedLoad(t, quarterOfHosts) }

func testOverreportedLoad(t *testing.T, ids []logic.HostID) {
	runFaultTest(t, reportsLoad, nil, func(sim *simulation) {
		sim.overrideReport = func(h *simHost, load logic.LoadReport) logic.LoadReport {
			if sim.faultActive() && slices.Contains(ids, h.ID) {
				return logic.LoadReport{InFlight: 40, Queued: 20, Utilization: 1, RequestsPerSecond: 20, LatencyMs: 1500}
			}
			return load
		}
	}, func(t *testing.T, faultFree, sim *simulation) {
		checkServed(t, "all", faultFree, sim, nil, maxInGoalLoss)
	})
}

// The look-alike: hosts that are full, slow and say so are left for the others, as ever: reports that are true stay in use.
func TestAccurateReportsOfSlowHosts(t *testing.T) {
	runFaultTest(t, reportsLoad, nil, func(sim *simulation) { sim.slowDown(quarterOfHosts, 6) }, func(t *testing.T, faultFree, sim *simulation) {
		checkServed(t, "all", faultFree, sim, nil, 0.1)
		checkAvoided(t, "hosts that are full", sim, quarterOfHosts, nil)
	})
}

// Hosts that fail and recover by turns, each at times of its own, which no list shows: most transactions go elsewhere, few hops meet one
// that is down, and between times such hosts may be used. Guards against trials that each bring the whole traffic back.
func TestFlappingHosts(t *testing.T) {
	for _, outcome := range []logic.HopOutcome{logic.HopNoConnection, logic.HopError} {
		t.Run(outcomeNames[outcome], func(t *testing.T) {
			runFaultTest(t, nil, func(d *deployment) {
				d.profiles[orderProfileIndex].Effect, d.profiles[orderProfileIndex].DedupWindow = logic.Journalled, time.Second
			}, func(sim *simulation) {
				sim.failHop = func(hop *simHop) (logic.HopOutcome, bool) {
					down := sim.faultActive() && slices.Contains(quarterOfHosts, hop.host.ID) && (sim.now+time.Duration(hop.host.ID)*700*ms)%(3*time.Second) < 1500*ms
					return outcome, down
				}
			}, func(t *testing.T, faultFree, sim *simulation) {
				checkServed(t, "all", faultFree, sim, nil, maxInGoalLoss)
				counts := sim.countAfterDetection(nil)
				checkAtMost(t, "hops further for a transaction", counts.fraction(counts.furtherHops), 0.15)
			})
		})
	}
}

// The look-alike: one blip of a fifth of a second at a host; it is used again at once, and no breaker bars it for seconds.
func TestBriefFailure(t *testing.T) {
	runFaultTest(t, nil, nil, func(sim *simulation) {
		sim.failHop = func(hop *simHop) (logic.HopOutcome, bool) {
			at := sim.now - time.Second
			return logic.HopConnectionBroken, hop.host.ID == 1 && at >= faultStart && at < faultStart+200*ms
		}
	}, func(t *testing.T, faultFree, sim *simulation) {
		checkServed(t, "all", faultFree, sim, nil, 0.02)
		checkAtLeast(t, "hops to the host of the blip", sim.hopFraction([]logic.HostID{1}, nil), maxAvoidedShareOfEven/8)
	})
}

// A profile that fails at half of the hosts, by errors or silence, goes to the others; the hosts go on serving the other profile. Guards
// against a host barred for all as one profile fails there, and against a profile given up that others serve.
func TestProfileFailsAtHalfOfHosts(t *testing.T) {
	for _, outcome := range []logic.HopOutcome{logic.HopError, logic.HopTimedOut} {
		t.Run(outcomeNames[outcome], func(t *testing.T) {
			runFaultTest(t, nil, func(d *deployment) { d.gatewayCount, d.arrivalDuration = min(d.gatewayCount, 24), 40*time.Second }, func(sim *simulation) {
				sim.failHop = func(hop *simHop) (logic.HopOutcome, bool) {
					return outcome, sim.faultActive() && hop.profileIndex == orderProfileIndex && slices.Contains(halfOfHosts, hop.host.ID) && hop.id%10 < 9
				}
			}, func(t *testing.T, faultFree, sim *simulation) {
				checkServed(t, "reads", faultFree, sim, hasProfile(readProfileIndex), maxInGoalLoss)
				checkServed(t, "orders", faultFree, sim, hasProfile(orderProfileIndex), 0.9/2/2) // half of what is lost with the hosts taken by chance
				checkAtLeast(t, "reads at hosts where orders fail", sim.hopFraction(halfOfHosts, func(hop *simHop) bool { return hop.profileIndex == readProfileIndex }), 0.35)
			})
		})
	}
}

// A tenant whose transactions wait at all hosts: the other tenants are served as before.
func TestTenantSlowAtAllHosts(t *testing.T) {
	testSlowTransactions(t, func(d *deployment) { d.tenantCount = 4 }, func(t *simTx) bool { return t.tenantIndex == 0 }, func(t *simTx) bool { return t.tenantIndex > 0 })
}

func testSlowTransactions(t *testing.T, change func(*deployment), isSlow, isOther func(*simTx) bool) {
	runFaultTest(t, nil, change, func(sim *simulation) {
		sim.extraWait = func(hop *simHop) time.Duration {
			if sim.faultActive() && isSlow(hop.simTx) {
				return 3 * sim.profiles[hop.profileIndex].ServiceGoal / 2
			}
			return 0
		}
	}, func(t *testing.T, faultFree, sim *simulation) {
		checkServed(t, "the others", faultFree, sim, isOther, maxInGoalLoss)
		checkAtMost(t, "breakers that opened", float64(len(sim.breakerOpenings())), 0)
		counts := sim.countAfterDetection(nil)
		checkAtMost(t, "hops further for a transaction", counts.fraction(counts.furtherHops), 0.3)
	})
}
