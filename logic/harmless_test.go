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
	startWithin = 2 * time.Second // of a day: nothing is known yet
	startMost   = 0.05            // rolled back or abandoned before the goal, of what comes in that time
	earlyMost   = 0.01            // the same of all that comes after it
	lostMost    = 0.02            // not committed within the goal, beyond what plain gateways lose: chance brings as much
	fewest      = 250.0           // transactions of a day, that one is no percent
)

// sources are what gateways can learn, by what settings can name.
var sources = []struct {
	name   string
	from   logic.InformationSources
	fields string
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

// drawn is a deployment by chance whose hosts are at most half in use and without a fault.
func drawn(source int, seed uint64) deployment {
	luck := rand.New(rand.NewPCG(seed, uint64(source)))
	between := func(least, most float64) float64 { return least + (most-least)*luck.Float64() }
	wide := func(least, most float64) float64 { return least * math.Pow(most/least, luck.Float64()) }
	s := sources[source]
	p := deployment{sources: s.name, from: s.from, fields: s.fields, seed: seed,
		zones: 1 + luck.IntN(3), cores: []int{1, 2, 4}[luck.IntN(3)], shares: luck.IntN(2) == 0,
		slowest: between(0.6, 1), inUse: wide(0.1, 0.5), spread: between(0.2, 1.5), waits: max(0, between(-1.5, 5)),
		work: []string{"constant", "exponential", "lognormal", "lognormal"}[luck.IntN(4)]}
	p.from.MaxListPollInterval = 10 * time.Second
	p.gateways = int([]float64{wide(4, 20), wide(21, 100), wide(101, 400)}[seed%3])
	p.hosts = p.zones * (2 + luck.IntN(8/p.zones))
	p.slots = int(math.Ceil(between(2, 4) * float64(p.cores) * (1 + p.waits)))
	if luck.IntN(3) == 0 {
		p.keys, p.keySaves = 100+luck.IntN(900), between(0.3, 0.7)
	}
	if luck.IntN(4) == 0 {
		p.tenants = 2 + luck.IntN(8)
	}
	p.price = []logic.CostModel{{CrossZoneHop: 0.05}, {CrossZoneHop: 0.02, OpenConnections: true}, {RevenueByWork: true}, {MissedGoals: true},
		{AvailabilityNines: 3, OpenConnections: true}}[luck.IntN(5)]
	p.hops = logic.HopRule{MaxHops: 2 + luck.IntN(3), CallOff: luck.IntN(3) > 0, MaxRetryAfter: time.Second}
	least, all, mean, n := wide(20, 100), 0.0, 0.0, 1+luck.IntN(4)
	for i := range n {
		k := profileMix{share: between(0.2, 1), goal: wide(2, 30)}
		k.work = time.Duration(least * math.Pow(10, float64(i)/3) * float64(ms))
		k.Profile = logic.Profile{Name: zoneName(i), Revenue: math.Round(wide(1, 10)), DedupWindow: time.Second, DedupScope: logic.DedupScope(luck.IntN(3)),
			Effect: logic.Effect(luck.IntN(3)), LateRevenueFraction: []float64{0, 0.3}[luck.IntN(2)]}
		all += k.share
		mean += k.share * float64(k.work)
		p.profiles = append(p.profiles, k)
	}
	for i := range p.profiles {
		p.profiles[i].share /= all
	}
	p.perSecond = p.inUse * p.slowest * float64(p.hosts*p.cores) / (mean / all / float64(time.Second))
	if few := p.perSecond / 300; few > 1 { // the same with longer work, to be played quickly
		for i := range p.profiles {
			p.profiles[i].work = time.Duration(few * float64(p.profiles[i].work))
		}
		p.perSecond /= few
	}
	// So few come to some that one is a percent: they are played for longer.
	p.length = max(20*time.Second, min(120*time.Second, time.Duration(fewest/p.perSecond*float64(time.Second)))) + startWithin
	return p
}

// reachable sets service goals: some times the mean at a free host, and at the least what all take but one in some hundred where gateways
// take hosts of their zone by chance and decide nothing. It tells what these then commit within the goals.
func (p *deployment) reachable(all float64) float64 {
	for i := range p.profiles {
		p.profiles[i].ServiceGoal = time.Minute
	}
	d := newDay(*p, true).play(p.length + time.Minute)
	for i := range p.profiles {
		k := &p.profiles[i]
		var took []time.Duration
		for _, t := range d.txs {
			if t.profile == i && t.how == "committed" {
				took = append(took, t.took)
			}
		}
		slices.Sort(took)
		if k.ServiceGoal = time.Duration(k.goal * (1 + p.waits) * float64(k.work)); len(took) > 0 {
			k.ServiceGoal = max(k.ServiceGoal, took[int(all*float64(len(took)))])
		}
		k.ServiceGoal = k.ServiceGoal.Round(10*ms) + 10*ms
		d.profiles[i].ServiceGoal = k.ServiceGoal
	}
	plain := d.tally(startWithin, p.length, nil)
	return plain.of(plain.inGoal)
}

// On a harmless day next to nothing is given up and no breaker opens, whatever the deployment: hosts at most half in use, without a fault,
// with goals that gateways meet that take hosts by chance. Gateways that learn of hosts by their own hops alone took the spread of work
// for a jam: on such a day, with a fifth in use, they rolled back a tenth to a quarter on arrival.
func TestHarmless(t *testing.T) {
	for source := range sources {
		t.Run(sources[source].name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(9) {
				p := drawn(source, seed+1)
				plain := p.reachable([]float64{0.98, 0.99, 0.999}[seed/3%3])
				longest := slices.MaxFunc(p.profiles, func(x, y profileMix) int { return cmp.Compare(x.ServiceGoal, y.ServiceGoal) }).ServiceGoal
				d := newDay(p, false).play(p.length + longest)
				start, rest := d.tally(0, startWithin, nil), d.tally(startWithin, p.length, nil)
				opened := d.breakers()
				line := fmt.Sprintf("seed %d: given up early %.1f%%, at the start %.1f%%, in goal %.1f%% of %d, plain %.1f%%, breakers opened %d: %s", p.seed,
					100*rest.of(rest.early), 100*start.of(start.early), 100*rest.of(rest.inGoal), rest.taken, 100*plain, len(opened), p)
				// At the start so few come that one is chance.
				if rest.of(rest.early) >= earlyMost || start.early > 1+int(startMost*float64(start.taken)) ||
					rest.of(rest.inGoal) < plain-lostMost || len(opened) > 0 {
					t.Error(line)
				} else {
					t.Log(line)
				}
			}
		})
	}
}
