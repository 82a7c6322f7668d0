package logic_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"spanmux/logic"
)

// Each of these tests injects one fault, for part of a run, at hosts with an even utilization of a third. Beside it stands a test with a
// fault that looks alike but needs a different reaction. Results are compared with the same run without the fault, for the transactions
// that arrive after the gateways have had a third of the fault's duration to detect it.
const (
	faultStart            = 6 * time.Second
	faultFreeTail         = 2 * time.Second // from the end of the fault to the end of the run
	maxInGoalLoss         = 0.05            // in the fraction committed within the goal, compared with the run without the fault
	avoidedShareThreshold = 0.5             // hosts with less than this multiple of an even share of the hops count as avoided
)

// faultSourceCases are small and large numbers of gateways with very different information about hosts.
var faultSourceCases = []struct {
	name           string
	sources        logic.InformationSources
	reportedFields string
	gatewayCount   int
}{
	{"4 gateways, probes", logic.InformationSources{ProbesReportLoad: true}, "inflight queued", 4},
	{"4 gateways, peer messages, probes", logic.InformationSources{PeersShareInFlight: true, ProbesReportLoad: true}, "inflight queued", 4},
	{"40 gateways, no load information", logic.InformationSources{}, "", 40},
	{"40 gateways, live capacity hints", logic.InformationSources{CapacityHints: logic.LiveCapacity}, "", 40},
	{"40 gateways, in-flight count in responses", logic.InformationSources{ResponsesReportLoad: true, ResponsesReportInFlight: true, ExtraProbesAllowed: true}, "inflight utilization", 40},
	{"40 gateways, queue length in responses", logic.InformationSources{ResponsesReportLoad: true}, "queued rate", 40},
}

// Indexes of the profiles of faultDeployment.
const (
	readProfileIndex = iota
	orderProfileIndex
)

// outcomeNames names the outcomes that the tests inject.
var outcomeNames = [...]string{logic.HopError: "error", logic.HopTimedOut: "timeout", logic.HopNoConnection: "no connection", logic.HopConnectionBroken: "connection broken"}

// faultDeployment returns the deployment of the source case with index i.
func faultDeployment(i int) deployment {
	sourceCase := faultSourceCases[i]
	d := deployment{sourcesName: sourceCase.name, sources: sourceCase.sources, reportedFields: sourceCase.reportedFields, gatewayCount: sourceCase.gatewayCount, zoneCount: 2, hostCount: 8, coresPerHost: 2, slotsPerHost: 20, sharesCores: true,
		slowKindSpeed: 1, workDistribution: "exponential", waitToWorkRatio: 0.5, seed: uint64(i), arrivalDuration: 20 * time.Second, txPerSecond: 80,
		costModel: logic.CostModel{CrossZoneHop: 0.02}, hopRule: logic.HopRule{MaxHops: 3, CallOffAllowed: true, MaxRetryAfter: time.Second},
		profiles: []simProfile{
			{Profile: logic.Profile{Name: "read", Effect: logic.Idempotent, ServiceGoal: 600 * ms, Revenue: 1, LateRevenueFraction: 0.3}, trafficFraction: 0.7, meanWork: 50 * ms},
			{Profile: logic.Profile{Name: "order", Effect: logic.NonIdempotent, ServiceGoal: 1200 * ms, Revenue: 3, LateRevenueFraction: 0.3}, trafficFraction: 0.3,
				meanWork: 100 * ms}}}
	d.sources.MaxListPollInterval = 10 * time.Second
	return d
}

// faultFreeRuns returns the run of each source case without a fault or changes. Each is run once, when it is first needed.
var faultFreeRuns = func() (runs []func() *simulation) {
	for i := range faultSourceCases {
		runs = append(runs, sync.OnceValue(func() *simulation { return newSimulation(faultDeployment(i), false).runToEnd() }))
	}
	return runs
}()

// runToEnd runs the simulation until all transactions have had time to end.
func (sim *simulation) runToEnd() *simulation {
	return sim.runUntil(sim.arrivalDuration + 3*time.Second)
}

// runFaultTest runs each source case that applies selects, all if it is nil, without the fault and with it. If change isn't nil it changes the
// deployment of both runs.
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
			t.Logf("in goal %.3f, without fault %.3f; failed before goal %.3f; %d further hops; %d breakers opened, without fault %d", counts.fraction(counts.inGoal), faultFreeCounts.fraction(faultFreeCounts.inGoal),
				counts.fraction(counts.failedBeforeGoal), counts.furtherHops, len(sim.breakerOpenings()), len(faultFree.breakerOpenings()))
			check(t, faultFree, sim)
		})
	}
}

// faultEnd returns when the fault ends, relative to the start.
func (sim *simulation) faultEnd() time.Duration { return sim.arrivalDuration - faultFreeTail }

// detectionDeadline returns when the gateways have had enough time to detect the fault, relative to the start.
func (sim *simulation) detectionDeadline() time.Duration {
	return faultStart + (sim.faultEnd()-faultStart)/3
}

// countAfterDetection counts the transactions that arrived between detectionDeadline and the end of the fault.
func (sim *simulation) countAfterDetection(filter func(*simTx) bool) txCounts {
	return sim.countTransactions(sim.detectionDeadline(), sim.faultEnd(), filter)
}

// faultActive reports whether the fault is present now.
func (sim *simulation) faultActive() bool {
	at := sim.now - time.Second
	return at >= faultStart && at < sim.faultEnd()
}

// scheduleAt runs action when elapsed has passed since the start.
func (sim *simulation) scheduleAt(elapsed time.Duration, action func()) {
	sim.schedule(time.Second+elapsed-sim.now, action)
}

// hopFraction returns the fraction of the hops sent between detectionDeadline and the end of the fault, of those that filter selects, that
// went to the given hosts.
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

func checkAtLeast(t *testing.T, quantity string, got, min float64) {
	t.Helper()
	if got < min {
		t.Errorf("%s: %.3f, must be at least %.3f", quantity, got, min)
	}
}

func checkAtMost(t *testing.T, quantity string, got, max float64) {
	t.Helper()
	if got > max {
		t.Errorf("%s: %.3f, must be at most %.3f", quantity, got, max)
	}
}

// checkAvoided checks that hosts get at most half of an even share of the hops that filter selects.
func checkAvoided(t *testing.T, description string, sim *simulation, hosts []logic.HostID, filter func(*simHop) bool) {
	t.Helper()
	checkAtMost(t, "hops to "+description, sim.hopFraction(hosts, filter), avoidedShareThreshold*float64(len(hosts))/float64(sim.hostCount))
}

// checkServed checks that the fraction committed within the goal, of the transactions that filter selects, is at most maxLoss below that
// of the run without the fault.
func checkServed(t *testing.T, description string, faultFree, sim *simulation, filter func(*simTx) bool, maxLoss float64) {
	t.Helper()
	faultFreeCounts, counts := faultFree.countAfterDetection(filter), sim.countAfterDetection(filter)
	checkAtLeast(t, description+", in goal", counts.fraction(counts.inGoal), faultFreeCounts.fraction(faultFreeCounts.inGoal)-maxLoss)
}

// hasProfile returns a filter for the transactions of one profile.
func hasProfile(profile int) func(*simTx) bool {
	return func(tx *simTx) bool { return tx.profileIndex == profile }
}

// Hosts with a fault: one in each zone, or two in each.
var (
	quarterOfHosts = []logic.HostID{1, 2}
	halfOfHosts    = []logic.HostID{1, 2, 3, 4}
)

// slowDown makes hosts slower by factor while the fault is present.
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

// reportsLoad reports whether gateways learn the load of hosts from the hosts or from the list.
func reportsLoad(sources logic.InformationSources) bool {
	return sources.ProbesReportLoad || sources.ResponsesReportLoad || sources.CapacityHints == logic.LiveCapacity
}

// Hosts that are 2.5 times as slow, but whose reports show too little load, none, or always the same, must not attract traffic. Guards against
// gateways that trust load reports more than the observed latency: a host that answers late is loaded, whatever it reports.
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
				checkAtMost(t, "hops to slow hosts that report no load", sim.hopFraction(quarterOfHosts, nil), 0.25)
			})
		})
	}
}

// Hosts that report that they are full, although their utilization is a third, must not cause rollbacks. Guards against gateways that trust load
// reports more than the observed latency, in the opposite direction.
func TestOverreportedLoad(t *testing.T) { testOverreportedLoad(t, quarterOfHosts) }

// testOverreportedLoad checks that transactions are served while the hosts with these ids report that they are full.
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

// The counterpart of TestUnderreportedLoad and TestOverreportedLoad: hosts that are full and slow and report it are avoided, so accurate reports
// stay in use.
func TestAccurateReportsOfSlowHosts(t *testing.T) {
	runFaultTest(t, reportsLoad, nil, func(sim *simulation) { sim.slowDown(quarterOfHosts, 6) }, func(t *testing.T, faultFree, sim *simulation) {
		checkServed(t, "all", faultFree, sim, nil, 0.1)
		checkAvoided(t, "full hosts", sim, quarterOfHosts, nil)
	})
}

// Hosts that repeatedly fail and recover, each at different times and without any change of the host list: transactions are served by other
// hosts, and few hops fail. While such hosts are up they may be used. Guards against breaker trials that bring all traffic back each time.
func TestFlappingHosts(t *testing.T) {
	for _, outcome := range []logic.HopOutcome{logic.HopNoConnection, logic.HopError} {
		t.Run(outcomeNames[outcome], func(t *testing.T) {
			runFaultTest(t, nil, func(d *deployment) {
				d.profiles[orderProfileIndex].Effect, d.profiles[orderProfileIndex].DedupWindow = logic.Deduplicated, time.Second
			}, func(sim *simulation) {
				sim.failHop = func(hop *simHop) (logic.HopOutcome, bool) {
					down := sim.faultActive() && slices.Contains(quarterOfHosts, hop.host.ID) && (sim.now+time.Duration(hop.host.ID)*700*ms)%(3*time.Second) < 1500*ms
					return outcome, down
				}
			}, func(t *testing.T, faultFree, sim *simulation) {
				checkServed(t, "all", faultFree, sim, nil, maxInGoalLoss)
				counts := sim.countAfterDetection(nil)
				checkAtMost(t, "further hops per transaction", counts.fraction(counts.furtherHops), 0.15)
			})
		})
	}
}

// The counterpart of TestFlappingHosts: a host that fails for 200 ms once is soon used again. No breaker keeps it out for seconds.
func TestBriefFailure(t *testing.T) {
	runFaultTest(t, nil, nil, func(sim *simulation) {
		sim.failHop = func(hop *simHop) (logic.HopOutcome, bool) {
			at := sim.now - time.Second
			return logic.HopConnectionBroken, hop.host.ID == 1 && at >= faultStart && at < faultStart+200*ms
		}
	}, func(t *testing.T, faultFree, sim *simulation) {
		checkServed(t, "all", faultFree, sim, nil, 0.02)
		checkAtLeast(t, "hops to the host that failed briefly", sim.hopFraction([]logic.HostID{1}, nil), avoidedShareThreshold/8)
	})
}

// A profile whose hops fail at half of the hosts, with errors or timeouts, is sent to the other hosts, while all hosts serve the other profile.
// Guards against breakers that open for all profiles because one fails, and against rolling back a profile that other hosts still serve.
func TestProfileFailsAtHalfOfHosts(t *testing.T) {
	for _, outcome := range []logic.HopOutcome{logic.HopError, logic.HopTimedOut} {
		t.Run(outcomeNames[outcome], func(t *testing.T) {
			runFaultTest(t, nil, func(d *deployment) { d.gatewayCount, d.arrivalDuration = min(d.gatewayCount, 24), 40*time.Second }, func(sim *simulation) {
				sim.failHop = func(hop *simHop) (logic.HopOutcome, bool) {
					return outcome, sim.faultActive() && hop.profileIndex == orderProfileIndex && slices.Contains(halfOfHosts, hop.host.ID) && hop.id%10 < 9
				}
			}, func(t *testing.T, faultFree, sim *simulation) {
				checkServed(t, "reads", faultFree, sim, hasProfile(readProfileIndex), maxInGoalLoss)
				checkServed(t, "orders", faultFree, sim, hasProfile(orderProfileIndex), 0.9/2/2) // half of the loss with hosts picked at random
				checkAtLeast(t, "reads at hosts where orders fail", sim.hopFraction(halfOfHosts, func(hop *simHop) bool { return hop.profileIndex == readProfileIndex }), 0.35)
			})
		})
	}
}

// If the transactions of one tenant become slow at all hosts, the other tenants are served as before.
func TestTenantSlowAtAllHosts(t *testing.T) {
	testSlowTransactions(t, func(d *deployment) { d.tenantCount = 4 }, func(t *simTx) bool { return t.tenantIndex == 0 }, func(t *simTx) bool { return t.tenantIndex > 0 })
}

// testSlowTransactions makes the transactions that isSlow selects wait for 1.5 times their service goal, and checks that those that isOther
// selects are served, that no breaker opens and that further hops stay few.
func testSlowTransactions(t *testing.T, change func(*deployment), isSlow, isOther func(*simTx) bool) {
	runFaultTest(t, nil, change, func(sim *simulation) {
		sim.extraWait = func(hop *simHop) time.Duration {
			if sim.faultActive() && isSlow(hop.simTx) {
				return 3 * sim.profiles[hop.profileIndex].ServiceGoal / 2
			}
			return 0
		}
	}, func(t *testing.T, faultFree, sim *simulation) {
		checkServed(t, "the other transactions", faultFree, sim, isOther, maxInGoalLoss)
		checkAtMost(t, "breakers that opened", float64(len(sim.breakerOpenings())), 0)
		counts := sim.countAfterDetection(nil)
		checkAtMost(t, "further hops per transaction", counts.fraction(counts.furtherHops), 0.3)
	})
}
