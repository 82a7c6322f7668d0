package logic_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"spanmux/logic"
)

const (
	startupDuration           = 2 * time.Second // of a day: nothing is known yet
	maxStartupFailureFraction = 0.05            // rolled back or abandoned before the goal, of what comes in that time
	maxEarlyFailureFraction   = 0.01            // the same of all that comes after it
	maxInGoalDeficit          = 0.02            // not committed within the goal, beyond what plain gateways lose: chance brings as much
	minTransactions           = 250.0           // transactions of a day, that one is no percent
)

// harmlessSourceCases are what gateways can learn, by what settings can name.
var harmlessSourceCases = []struct {
	name           string
	sources        logic.InformationSources
	reportedFields string
}{
	{"blind", logic.InformationSources{}, ""},
	{"nominal sizes", logic.InformationSources{CapacityHints: logic.NominalCapacity}, ""},
	{"live sizes", logic.InformationSources{CapacityHints: logic.LiveCapacity}, ""},
	{"probed", logic.InformationSources{ProbesReportLoad: true}, "held waiting"},
	{"reported held", logic.InformationSources{ResponsesReportLoad: true, ResponsesReportInFlight: true}, "held busy"},
	{"reported held, probed", logic.InformationSources{ResponsesReportLoad: true, ResponsesReportInFlight: true, ExtraProbesAllowed: true}, "held waiting busy"},
	{"reported queue", logic.InformationSources{ResponsesReportLoad: true}, "waiting rate"},
	{"reported use", logic.InformationSources{ResponsesReportLoad: true}, "busy"},
	{"told", logic.InformationSources{PeersShareInFlight: true}, ""},
	{"told, probed", logic.InformationSources{PeersShareInFlight: true, ProbesReportLoad: true}, "held waiting busy"},
	{"told, reported held", logic.InformationSources{PeersShareInFlight: true, ResponsesReportLoad: true, ResponsesReportInFlight: true}, "held busy"},
	{"told, live sizes", logic.InformationSources{PeersShareInFlight: true, CapacityHints: logic.LiveCapacity}, ""},
}

// randomDeployment is a deployment by chance whose hosts are at most half in use and without a fault.
func randomDeployment(source int, seed uint64) deployment {
	random := rand.New(rand.NewPCG(seed, uint64(source)))
	uniform := func(least, most float64) float64 { return least + (most-least)*random.Float64() }
	logUniform := func(least, most float64) float64 { return least * math.Pow(most/least, random.Float64()) }
	sourceCase := harmlessSourceCases[source]
	d := deployment{sourcesName: sourceCase.name, infoSources: sourceCase.sources, reportedFields: sourceCase.reportedFields, seed: seed,
		zoneCount: 1 + random.IntN(3), coresPerHost: []int{1, 2, 4}[random.IntN(3)], sharesCores: random.IntN(2) == 0,
		slowKindSpeed: uniform(0.6, 1), targetUtilization: logUniform(0.1, 0.5), lognormalSigma: uniform(0.2, 1.5), waitToWorkRatio: max(0, uniform(-1.5, 5)),
		workDistribution: []string{"constant", "exponential", "lognormal", "lognormal"}[random.IntN(4)]}
	d.infoSources.MaxListPollInterval = 10 * time.Second
	d.gatewayCount = int([]float64{logUniform(4, 20), logUniform(21, 100), logUniform(101, 400)}[seed%3])
	d.hostCount = d.zoneCount * (2 + random.IntN(8/d.zoneCount))
	d.slotsPerHost = int(math.Ceil(uniform(2, 4) * float64(d.coresPerHost) * (1 + d.waitToWorkRatio)))
	if random.IntN(3) == 0 {
		d.keyCount, d.cachedKeySaving = 100+random.IntN(900), uniform(0.3, 0.7)
	}
	if random.IntN(4) == 0 {
		d.tenantCount = 2 + random.IntN(8)
	}
	d.costModel = []logic.CostModel{{CrossZoneHop: 0.05}, {CrossZoneHop: 0.02, OpenConnections: true}, {RevenueByWork: true}, {MissedGoals: true},
		{AvailabilityNines: 3, OpenConnections: true}}[random.IntN(5)]
	d.hopRule = logic.HopRule{MaxHops: 2 + random.IntN(3), CallOff: random.IntN(3) > 0, MaxRetryAfter: time.Second}
	least, totalFraction, totalWork, profileCount := logUniform(20, 100), 0.0, 0.0, 1+random.IntN(4)
	for i := range profileCount {
		profile := simProfile{trafficFraction: uniform(0.2, 1), minGoalMultiple: logUniform(2, 30)}
		profile.meanWork = time.Duration(least * math.Pow(10, float64(i)/3) * float64(ms))
		profile.Profile = logic.Profile{Name: zoneName(i), Revenue: math.Round(logUniform(1, 10)), DedupWindow: time.Second, DedupScope: logic.DedupScope(random.IntN(3)),
			Effect: logic.Effect(random.IntN(3)), LateRevenueFraction: []float64{0, 0.3}[random.IntN(2)]}
		totalFraction += profile.trafficFraction
		totalWork += profile.trafficFraction * float64(profile.meanWork)
		d.profiles = append(d.profiles, profile)
	}
	for i := range d.profiles {
		d.profiles[i].trafficFraction /= totalFraction
	}
	d.txPerSecond = d.targetUtilization * d.slowKindSpeed * float64(d.hostCount*d.coresPerHost) / (totalWork / totalFraction / float64(time.Second))
	if slowdown := d.txPerSecond / 300; slowdown > 1 { // the same with longer work, to be played quickly
		for i := range d.profiles {
			d.profiles[i].meanWork = time.Duration(slowdown * float64(d.profiles[i].meanWork))
		}
		d.txPerSecond /= slowdown
	}
	// So few come to some that one is a percent: they are played for longer.
	d.arrivalDuration = max(20*time.Second, min(120*time.Second, time.Duration(minTransactions/d.txPerSecond*float64(time.Second)))) + startupDuration
	return d
}

// setReachableGoals sets service goals: some times the mean at a free host, and at the least what all take but one in some hundred where gateways
// take hosts of their zone by chance and decide nothing. It tells what these then commit within the goals.
func (d *deployment) setReachableGoals(fraction float64) float64 {
	for i := range d.profiles {
		d.profiles[i].ServiceGoal = time.Minute
	}
	sim := newSimulation(*d, true).runUntil(d.arrivalDuration + time.Minute)
	for i := range d.profiles {
		profile := &d.profiles[i]
		var latencies []time.Duration
		for _, tx := range sim.transactions {
			if tx.profileIndex == i && tx.outcome == "committed" {
				latencies = append(latencies, tx.latency)
			}
		}
		slices.Sort(latencies)
		if profile.ServiceGoal = time.Duration(profile.minGoalMultiple * (1 + d.waitToWorkRatio) * float64(profile.meanWork)); len(latencies) > 0 {
			profile.ServiceGoal = max(profile.ServiceGoal, latencies[int(fraction*float64(len(latencies)))])
		}
		profile.ServiceGoal = profile.ServiceGoal.Round(10*ms) + 10*ms
		sim.profiles[i].ServiceGoal = profile.ServiceGoal
	}
	randomPickCounts := sim.countTransactions(startupDuration, d.arrivalDuration, nil)
	return randomPickCounts.fraction(randomPickCounts.inGoal)
}

// On a harmless day next to nothing is given up and no breaker opens, whatever the deployment: hosts at most half in use, without a fault,
// with goals that gateways meet that take hosts by chance. Gateways that learn of hosts by their own hops alone took the spread of work
// for a jam: on such a day, with a fifth in use, they rolled back a tenth to a quarter on arrival.
func TestHarmless(t *testing.T) {
	for source := range harmlessSourceCases {
		t.Run(harmlessSourceCases[source].name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(9) {
				d := randomDeployment(source, seed+1)
				randomPickInGoal := d.setReachableGoals([]float64{0.98, 0.99, 0.999}[seed/3%3])
				maxGoal := slices.MaxFunc(d.profiles, func(x, y simProfile) int { return cmp.Compare(x.ServiceGoal, y.ServiceGoal) }).ServiceGoal
				sim := newSimulation(d, false).runUntil(d.arrivalDuration + maxGoal)
				startup, rest := sim.countTransactions(0, startupDuration, nil), sim.countTransactions(startupDuration, d.arrivalDuration, nil)
				opened := sim.breakerOpenings()
				line := fmt.Sprintf("seed %d: given up early %.1f%%, at the start %.1f%%, in goal %.1f%% of %d, plain %.1f%%, breakers opened %d: %s", d.seed,
					100*rest.fraction(rest.failedBeforeGoal), 100*startup.fraction(startup.failedBeforeGoal), 100*rest.fraction(rest.inGoal), rest.received, 100*randomPickInGoal, len(opened), d)
				// At the start so few come that one is chance.
				if rest.fraction(rest.failedBeforeGoal) >= maxEarlyFailureFraction || startup.failedBeforeGoal > 1+int(maxStartupFailureFraction*float64(startup.received)) ||
					rest.fraction(rest.inGoal) < randomPickInGoal-maxInGoalDeficit || len(opened) > 0 {
					t.Error(line)
				} else {
					t.Log(line)
				}
			}
		})
	}
}
