package main

import (
	"context"
	"fmt"
	"time"

	"spanmux/internal/config"
	"spanmux/internal/protocol"
	"spanmux/logic"
)

// measure is one operation of the gateway's code, measured at several sizes. run returns a value for each unit and the number of
// repetitions. Units: s is CPU time, first and change are wall-clock times, heap is bytes that stay in use, text is bytes on the wire, alloc
// is bytes allocated and allocs is the number of allocations.
type measure struct {
	name, sizeName, description, fixedSizes string
	sizes                                   []int
	run                                     func(m *meter, n int) (map[string]float64, int, error)
}

// Sizes at which the measures run.
var (
	hostCounts         = []int{100, 300, 1000, 3000, 10_000, 30_000, 100_000, 170_000}
	decisionHostCounts = []int{12, 57, 200, 1000, 3000, 10_000}
	profileCounts      = []int{1, 10, 30, 100, 300, 1000, 3000}
	tenantCounts       = []int{100, 1000, 10_000, 100_000, 430_000}
	changedHostCounts  = []int{1, 10, 100, 1000, 9400}
)

// measureCost returns a measure of the time and the allocations of an operation that prepare sets up for a size.
func measureCost(prepare func(n int) (before, op func())) func(*meter, int) (map[string]float64, int, error) {
	return func(m *meter, n int) (map[string]float64, int, error) {
		before, op := prepare(n)
		c, err := m.measure(before, op)
		return map[string]float64{"s": c.seconds, "allocs": c.allocations, "alloc": c.bytes}, c.readings, err
	}
}

// measureHeap returns a measure of the memory that stays in use for what build returns for a size.
func measureHeap(build func(n int) any) func(*meter, int) (map[string]float64, int, error) {
	return func(_ *meter, n int) (map[string]float64, int, error) {
		return map[string]float64{"heap": retainedHeapBytes(func() any { return build(n) })}, 1, nil
	}
}

// measureFleet returns a measure of the messages in a simulated fleet.
func measureFleet(simulate func(ctx context.Context, n int) (map[string]float64, error)) func(*meter, int) (map[string]float64, int, error) {
	return func(m *meter, n int) (map[string]float64, int, error) {
		values, err := simulate(m.ctx, n)
		return values, 1, err
	}
}

// prepareHostToggle returns an operation that changes the first hosts: they drain with one call and are ready again with the next.
func prepareHostToggle(g *simulatedGateway, hosts []logic.Host, changed int) (before, op func()) {
	toggled := append([]logic.Host{}, hosts[:changed]...)
	return nil, func() {
		for i := range toggled {
			if toggled[i].State == logic.HostReady {
				toggled[i].State = logic.HostDraining
			} else {
				toggled[i].State = logic.HostReady
			}
		}
		g.HostListReceived(g.now, logic.ListChanges, toggled)
	}
}

// preparePeriodicWork returns an operation that does the decision core's periodic work of one second, after some transactions.
func preparePeriodicWork(g *simulatedGateway) (before, op func()) {
	traffic := &trafficGenerator{simulatedGateway: g, load: logic.NoLoadReport}
	for range concurrentTransactions {
		traffic.nextTransaction()
	}
	for range warmUpSeconds { // the request for the host list falls due within these
		g.advanceToTimer()
		g.TimerFired(g.now)
	}
	return g.advanceToTimer, func() { g.TimerFired(g.now) }
}

const (
	warmUpSeconds          = 12                            // more than the maximum interval between requests for the host list
	transactionsPerReading = 64                            // 140 ms of the simulated clock, below the 200 ms at which the core takes the process for stalled
	warmUpTransactions     = 2 * peakTransactionsPerSecond // run before the readings, so that latencies and relative speeds are learnt
)

// measureDecision returns a measure of one transaction, from its arrival to the end of its only hop, by number of hosts.
func measureDecision(sources logic.InformationSources, load logic.LoadReport) func(*meter, int) (map[string]float64, int, error) {
	return func(m *meter, n int) (map[string]float64, int, error) {
		return measureTransactions(m, newTargetGateway(sources, makeProfiles(defaultProfileCount), nil, makeHosts(n, targetFleet["zones"])), load)
	}
}

// measureTransactions measures one transaction at a gateway whose hosts all send the same load report. It fails if more than a tenth of the
// transactions are rolled back or abandoned, as the cost would then not be that of a committed transaction.
func measureTransactions(m *meter, g *simulatedGateway, load logic.LoadReport) (map[string]float64, int, error) {
	traffic := &trafficGenerator{simulatedGateway: g, load: load}
	before := func() {
		if traffic.timerDue > 0 && traffic.timerDue <= traffic.now { // keeps the periodic work out of the reading
			traffic.timerDue = 0
			traffic.TimerFired(traffic.now)
		}
	}
	for range warmUpTransactions / transactionsPerReading {
		before()
		for range transactionsPerReading {
			traffic.nextTransaction()
		}
	}
	traffic.unsuccessful = 0
	firstID := traffic.id
	c, err := m.measure(before, func() {
		for range transactionsPerReading {
			traffic.nextTransaction()
		}
	})
	if transactions := int(traffic.id - firstID); err == nil && traffic.unsuccessful > transactions/10 {
		err = fmt.Errorf("%d of %d transactions failed: the measurement is not valid", traffic.unsuccessful, transactions)
	}
	return map[string]float64{"s": c.seconds / transactionsPerReading, "allocs": c.allocations / transactionsPerReading, "alloc": c.bytes / transactionsPerReading}, c.readings, err
}

// Load reports of hosts that report requests in flight, and of hosts that report their queue.
var (
	inFlightReport = logic.LoadReport{InFlight: 2, Queued: -1, Utilization: 0.2, RequestsPerSecond: -1, LatencyMs: -1}
	queueReport    = logic.LoadReport{InFlight: -1, Queued: 0, Utilization: 0.2, RequestsPerSecond: 12, LatencyMs: 20}
)

// noBootAge converts every boot time to an age of zero.
func noBootAge(int64) time.Duration { return 0 }

// parseHostListText returns an operation that parses a host list and converts it for the decision core.
func parseHostListText(text []byte) func() {
	var hosts []logic.Host // outlives the call, so that the compiler can't remove the parsing
	return func() {
		list, err := protocol.ParseHostList(text)
		if err != nil {
			panic(err)
		}
		hosts = nil
		for i := range list.Hosts {
			hosts = append(hosts, list.Hosts[i].Host(logic.HostID(i+1), noBootAge))
		}
	}
}

// Sizes that stay the same while another one varies, as the results describe them.
const (
	fixedFleet                   = "4 profiles, 18 zones, 4,400 gateways"
	fixedService                 = "57 hosts, 18 zones, 4,400 gateways"
	defaultTransactionsPerSecond = 20 // per gateway, where the rate is not what varies
)

// measures returns all measures, in the order of docs/CAPACITY.md.
func measures() []measure {
	gatewayCount := targetFleet["gateways"]
	defaultProfiles := makeProfiles(defaultProfileCount)
	return []measure{
		{"list-one", "hosts", "a change of one host that drains or is back, taken in by the module", fixedFleet, hostCounts, measureCost(func(n int) (_, _ func()) {
			allHosts := makeHosts(n, targetFleet["zones"])
			return prepareHostToggle(newTargetGateway(inFlightSources, defaultProfiles, nil, allHosts), allHosts, 1)
		})},
		{"list-size", "hosts", "a change of one host's size alone, taken in by the module", fixedFleet, hostCounts, measureCost(func(n int) (_, _ func()) {
			allHosts := makeHosts(n, targetFleet["zones"])
			g := newTargetGateway(inFlightSources, defaultProfiles, nil, allHosts)
			changed := allHosts[:1:1]
			return nil, func() {
				changed[0].CapacityHint = 3 - changed[0].CapacityHint
				g.HostListReceived(g.now, logic.ListChanges, changed)
			}
		})},
		{"list-part", "changed", "a change of some of 20,000 hosts, taken in by the module", fixedFleet + ", 20,000 hosts", changedHostCounts, measureCost(func(n int) (_, _ func()) {
			allHosts := makeHosts(20_000, targetFleet["zones"])
			return prepareHostToggle(newTargetGateway(inFlightSources, defaultProfiles, nil, allHosts), allHosts, n)
		})},
		{"list-whole", "hosts", "a whole list with nothing new in it, taken in by the module", fixedFleet, hostCounts, measureCost(func(n int) (_, _ func()) {
			allHosts := makeHosts(n, targetFleet["zones"])
			g := newTargetGateway(inFlightSources, defaultProfiles, nil, allHosts)
			return nil, func() { g.HostListReceived(g.now, logic.ListComplete, allHosts) }
		})},
		{"start", "hosts", "start of the module with its first list", fixedFleet, hostCounts, measureCost(func(n int) (_, _ func()) {
			allHosts := makeHosts(n, targetFleet["zones"])
			return nil, func() { newTargetGateway(inFlightSources, defaultProfiles, nil, allHosts) }
		})},
		{"read-whole", "hosts", "reading a whole list from its text", "", hostCounts, func(m *meter, n int) (map[string]float64, int, error) {
			text := hostListJSON(n, true)
			c, err := m.measure(nil, parseHostListText(text))
			return map[string]float64{"s": c.seconds, "allocs": c.allocations, "alloc": c.bytes, "text": float64(len(text))}, c.readings, err
		}},
		{"read-part", "changed", "reading the text of a change of some hosts", "", changedHostCounts, func(m *meter, n int) (map[string]float64, int, error) {
			text := hostListJSON(n, false)
			c, err := m.measure(nil, parseHostListText(text))
			return map[string]float64{"s": c.seconds, "allocs": c.allocations, "alloc": c.bytes, "text": float64(len(text) + hostListRequestBytes())}, c.readings, err
		}},
		{"second-told", "hosts", "the module's own work each second, where answers say what hosts hold", fixedFleet, hostCounts, measureCost(func(n int) (_, _ func()) {
			return preparePeriodicWork(newTargetGateway(inFlightSources, defaultProfiles, nil, makeHosts(n, targetFleet["zones"])))
		})},
		{"second-reports", "hosts", "the same where answers say how hosts are loaded", fixedFleet, hostCounts, measureCost(func(n int) (_, _ func()) {
			return preparePeriodicWork(newTargetGateway(loadSources, defaultProfiles, nil, makeHosts(n, targetFleet["zones"])))
		})},
		{"second-blind", "hosts", "the same where nothing is told", fixedFleet, hostCounts, measureCost(func(n int) (_, _ func()) {
			return preparePeriodicWork(newTargetGateway(noSources, defaultProfiles, nil, makeHosts(n, targetFleet["zones"])))
		})},
		{"second-profiles", "profiles", "the module's own work each second", fixedService, profileCounts, measureCost(func(n int) (_, _ func()) {
			return preparePeriodicWork(newTargetGateway(inFlightSources, makeProfiles(n), nil, makeHosts(hostsPerService, targetFleet["zones"])))
		})},
		{"second-tenants", "tenants", "the module's own work each second", "4 profiles, " + fixedService, tenantCounts, measureCost(func(n int) (_, _ func()) {
			return preparePeriodicWork(newTargetGateway(inFlightSources, defaultProfiles, makeTenants(n), makeHosts(hostsPerService, targetFleet["zones"])))
		})},
		{"decision-told", "hosts", "a decision, Take and HopEnded, where answers say what hosts hold", fixedFleet, decisionHostCounts, measureDecision(inFlightSources, inFlightReport)},
		{"decision-reports", "hosts", "the same where answers say how hosts are loaded", fixedFleet, decisionHostCounts, measureDecision(loadSources, queueReport)},
		{"decision-blind", "hosts", "the same where nothing is told", fixedFleet, decisionHostCounts, measureDecision(noSources, logic.NoLoadReport)},
		{"decision-zone", "hosts", "a decision where all hosts are in the gateway's own zone, and answers say how they are loaded", "4 profiles, 4,400 gateways", decisionHostCounts[:5], func(m *meter, n int) (map[string]float64, int, error) {
			return measureTransactions(m, newTargetGateway(loadSources, defaultProfiles, nil, makeHosts(n, 1)), queueReport)
		}},
		{"decision-profiles", "profiles", "a decision where answers say how hosts are loaded", fixedService, profileCounts, func(m *meter, n int) (map[string]float64, int, error) {
			return measureTransactions(m, newTargetGateway(loadSources, makeProfiles(n), nil, makeHosts(hostsPerService, targetFleet["zones"])), queueReport)
		}},
		{"name-profile", "profiles", "finding a transaction's profile by its name, the middle one", "", profileCounts, measureCost(func(n int) (_, _ func()) {
			instance, err := config.Parse(settingsJSON(gatewayCount, n, 0), 0)
			if err != nil {
				panic(err)
			}
			name := makeProfiles(n)[n/2].Name
			return nil, func() { instance.FindProfile(time.Hour, name, logic.Idempotent) }
		})},
		{"settings-tenants", "tenants", "reading settings, as at the start and at each change", "4 profiles", tenantCounts, func(m *meter, n int) (map[string]float64, int, error) {
			text := settingsJSON(gatewayCount, defaultProfileCount, n)
			c, err := m.measure(nil, func() {
				if _, err := config.Parse(text, 0); err != nil {
					panic(err)
				}
			})
			return map[string]float64{"s": c.seconds, "allocs": c.allocations, "alloc": c.bytes, "text": float64(len(text))}, c.readings, err
		}},
		{"retune-tenants", "tenants", "settings in which nothing is new, taken in by the module", "4 profiles, " + fixedService, []int{100, 300, 1000, 3000, 10_000}, measureCost(func(n int) (_, _ func()) {
			allTenants := makeTenants(n)
			g := newTargetGateway(inFlightSources, defaultProfiles, allTenants, makeHosts(hostsPerService, targetFleet["zones"]))
			return nil, func() { reconfigure(g, defaultProfiles, allTenants) }
		})},
		{"retune-hosts", "hosts", "settings with one new profile, taken in by the module", fixedFleet, []int{300, 3000, 30_000, 170_000}, measureCost(func(n int) (before, _ func()) {
			allHosts := makeHosts(n, targetFleet["zones"])
			var g *simulatedGateway
			return func() { g = newTargetGateway(inFlightSources, defaultProfiles, nil, allHosts) }, func() { reconfigure(g, makeProfiles(defaultProfileCount+1), nil) }
		})},
		{"memory-hosts", "hosts", "memory of the module", fixedFleet, hostCounts, measureHeap(func(n int) any {
			return newTargetGateway(inFlightSources, defaultProfiles, nil, makeHosts(n, targetFleet["zones"]))
		})},
		{"memory-profiles", "profiles", "memory of the module", "1,000 hosts", profileCounts, measureHeap(func(n int) any {
			return newTargetGateway(inFlightSources, makeProfiles(n), nil, makeHosts(1000, targetFleet["zones"]))
		})},
		{"memory-tenants", "tenants", "memory of settings and module", "4 profiles, " + fixedService, tenantCounts, measureHeap(func(n int) any {
			instance, err := config.Parse(settingsJSON(gatewayCount, defaultProfileCount, n), 0)
			if err != nil {
				panic(err)
			}
			return []any{instance, newTargetGateway(inFlightSources, defaultProfiles, makeTenants(n), makeHosts(hostsPerService, targetFleet["zones"]))}
		})},
		{"tells-few", "gateways", "messages between gateways where each tells all", "60 hosts, 3 zones, 20 transactions a second each", []int{3, 5, 8, 12, 20},
			measureFleet(func(ctx context.Context, n int) (map[string]float64, error) {
				return measurePeerMessages(ctx, n, 60, 3, defaultTransactionsPerSecond)
			})},
		{"tells-many", "gateways", "messages between gateways where one draws for each zone", "60 hosts, 3 zones, 20 transactions a second each", []int{24, 48, 96, 192},
			measureFleet(func(ctx context.Context, n int) (map[string]float64, error) {
				return measurePeerMessages(ctx, n, 60, 3, defaultTransactionsPerSecond)
			})},
		{"tells-rate", "rate", "the same by each gateway's transactions a second", "48 gateways, 60 hosts, 3 zones", []int{10, 20, 40, 80},
			measureFleet(func(ctx context.Context, n int) (map[string]float64, error) {
				return measurePeerMessages(ctx, 48, 60, 3, n)
			})},
		{"tells-hosts", "hosts", "the same by hosts", "48 gateways, 3 zones, 20 transactions a second each", []int{60, 300, 1000, 3000},
			measureFleet(func(ctx context.Context, n int) (map[string]float64, error) {
				return measurePeerMessages(ctx, 48, n, 3, defaultTransactionsPerSecond)
			})},
		{"tells-zones", "zones", "the same by zones", "48 gateways, 360 hosts, 20 transactions a second each", []int{2, 3, 6, 12, 18},
			measureFleet(func(ctx context.Context, n int) (map[string]float64, error) {
				return measurePeerMessages(ctx, 48, 360, n, defaultTransactionsPerSecond)
			})},
		// Last, because its gateways keep requesting the host list until the process ends.
		{"desk", "hosts", "the gateway up to its sockets: first, until a known list is in hand; change, from one host's change told to the next call for the list, wall time both; heap, its memory with the list",
			fixedFleet, hostCounts, func(m *meter, n int) (map[string]float64, int, error) {
				values, err := measureDispatcher(m.ctx, n)
				return values, hostChangeCount, err
			}},
	}
}

// reconfigure passes profiles and tenants to the decision core and leaves the other settings as they are.
func reconfigure(g *simulatedGateway, profiles []logic.Profile, tenants []logic.Tenant) {
	g.Reconfigure(g.now, profiles, tenants, logic.ColdHostRule{InitialCapacityFraction: 0.25, WarmUpDuration: 8 * time.Second, OverloadMultiple: 4, OverloadDuration: time.Second}, logic.DrainRule{},
		logic.HopRule{MaxHops: 3, MaxRetryAfter: time.Second}, inFlightSources, logic.CostModel{CrossZoneHop: 0.05})
}
