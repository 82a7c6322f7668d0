package main

import (
	"context"
	"fmt"
	"time"

	"spanmux/internal/config"
	"spanmux/internal/protocol"
	"spanmux/logic"
)

// measure is one operation of the real code at several sizes. It gives a value for each unit: s is processor time, wall is time by the
// clock on the wall, heap is bytes that stay in use, text is bytes on the wire, alloc and allocs are bytes and allocations.
type measure struct {
	name, by, what, fixed string
	sizes                 []int
	of                    func(m *meter, n int) (map[string]float64, int, error)
}

var (
	byHosts    = []int{100, 300, 1000, 3000, 10_000, 30_000, 100_000, 170_000}
	bySome     = []int{12, 57, 200, 1000, 3000, 10_000}
	byProfiles = []int{1, 10, 30, 100, 300, 1000, 3000}
	byTenants  = []int{100, 1000, 10_000, 100_000, 430_000}
	byChanged  = []int{1, 10, 100, 1000, 9400}
)

// costs runs an operation that is made for a size.
func costs(of func(n int) (before, op func())) func(*meter, int) (map[string]float64, int, error) {
	return func(m *meter, n int) (map[string]float64, int, error) {
		before, op := of(n)
		c, err := m.cost(before, op)
		return map[string]float64{"s": c.seconds, "allocs": c.allocs, "alloc": c.bytes}, c.reps, err
	}
}

// keeps is the memory of what is built.
func keeps(build func(n int) any) func(*meter, int) (map[string]float64, int, error) {
	return func(_ *meter, n int) (map[string]float64, int, error) {
		return map[string]float64{"heap": liveHeap(func() any { return build(n) })}, 1, nil
	}
}

// played is what a fleet's gateways tell each other.
func played(of func(ctx context.Context, n int) (map[string]float64, error)) func(*meter, int) (map[string]float64, int, error) {
	return func(m *meter, n int) (map[string]float64, int, error) {
		values, err := of(m.ctx, n)
		return values, 1, err
	}
}

// toggled is a change of the first hosts: they drain, and are back with the next.
func toggled(g *gateway, from []logic.Host, changed int) (before, op func()) {
	change := append([]logic.Host{}, from[:changed]...)
	return nil, func() {
		for i := range change {
			if change[i].State == logic.HostReady {
				change[i].State = logic.HostDraining
			} else {
				change[i].State = logic.HostReady
			}
		}
		g.HostListReceived(g.now, logic.ListChanges, change)
	}
}

// ownSecond is the module's work of a second, some transactions having passed in it.
func ownSecond(g *gateway) (before, op func()) {
	p := &player{gateway: g, load: logic.NoLoadReport}
	for range openAtOnce {
		p.one()
	}
	for range secondsBefore { // the one call for the list is among what falls due first
		g.toDue()
		g.TimerFired(g.now)
	}
	return g.toDue, func() { g.TimerFired(g.now) }
}

const (
	secondsBefore = 12            // more than a gateway may go without asking for the list
	decidedAtOnce = 64            // transactions in one reading: 140 ms of the module's clock, under what it takes for standing still
	warmedUp      = 2 * perSecond // transactions before: times and paces are learnt
)

// decision is a transaction from its arrival to the end of its one hop.
func decision(from logic.InformationSources, load logic.LoadReport) func(*meter, int) (map[string]float64, int, error) {
	return func(m *meter, n int) (map[string]float64, int, error) {
		return decided(m, atTarget(from, profiles(usualProfiles), nil, hosts(n, target["zones"])), load)
	}
}

func decided(m *meter, g *gateway, load logic.LoadReport) (map[string]float64, int, error) {
	p := &player{gateway: g, load: load}
	before := func() {
		if p.due > 0 && p.due <= p.now { // its own second is not in the reading
			p.due = 0
			p.TimerFired(p.now)
		}
	}
	for range warmedUp / decidedAtOnce {
		before()
		for range decidedAtOnce {
			p.one()
		}
	}
	p.back = 0
	was := p.id
	c, err := m.cost(before, func() {
		for range decidedAtOnce {
			p.one()
		}
	})
	if passed := int(p.id - was); err == nil && p.back > passed/10 {
		err = fmt.Errorf("%d of %d rolled back: the gateway gave up, so nothing was measured", p.back, passed)
	}
	return map[string]float64{"s": c.seconds / decidedAtOnce, "allocs": c.allocs / decidedAtOnce, "alloc": c.bytes / decidedAtOnce}, c.reps, err
}

// answered is what a host says in its answers, by shape.
var (
	saysHeld  = logic.LoadReport{InFlight: 2, Queued: -1, Utilization: 0.2, RequestsPerSecond: -1, LatencyMs: -1}
	saysQueue = logic.LoadReport{InFlight: -1, Queued: 0, Utilization: 0.2, RequestsPerSecond: 12, LatencyMs: 20}
)

func since(int64) time.Duration { return 0 }

// read reads a list and makes what the module takes of it.
func read(text []byte) func() {
	var hosts []logic.Host // outlives a call, so that the compiler can't leave out the reading
	return func() {
		l, err := protocol.ParseHostList(text)
		if err != nil {
			panic(err)
		}
		hosts = nil
		for i := range l.Hosts {
			hosts = append(hosts, l.Hosts[i].Host(logic.HostID(i+1), since))
		}
	}
}

const (
	atFleet    = "4 profiles, 18 zones, 4,400 gateways"
	ofService  = "57 hosts, 18 zones, 4,400 gateways"
	tellsUsual = 20 // transactions a second and gateway where that is not what varies
)

// measures are all of them, in the order of the page.
func measures() []measure {
	fleetOf := target["gateways"]
	usual := profiles(usualProfiles)
	return []measure{
		{"list-one", "hosts", "a change of one host that drains or is back, taken in by the module", atFleet, byHosts, costs(func(n int) (_, _ func()) {
			all := hosts(n, target["zones"])
			return toggled(atTarget(told, usual, nil, all), all, 1)
		})},
		{"list-size", "hosts", "a change of one host's size alone, taken in by the module", atFleet, byHosts, costs(func(n int) (_, _ func()) {
			all := hosts(n, target["zones"])
			g := atTarget(told, usual, nil, all)
			one := all[:1:1]
			return nil, func() {
				one[0].CapacityHint = 3 - one[0].CapacityHint
				g.HostListReceived(g.now, logic.ListChanges, one)
			}
		})},
		{"list-part", "changed", "a change of some of 20,000 hosts, taken in by the module", atFleet + ", 20,000 hosts", byChanged, costs(func(n int) (_, _ func()) {
			all := hosts(20_000, target["zones"])
			return toggled(atTarget(told, usual, nil, all), all, n)
		})},
		{"list-whole", "hosts", "a whole list with nothing new in it, taken in by the module", atFleet, byHosts, costs(func(n int) (_, _ func()) {
			all := hosts(n, target["zones"])
			g := atTarget(told, usual, nil, all)
			return nil, func() { g.HostListReceived(g.now, logic.ListComplete, all) }
		})},
		{"start", "hosts", "start of the module with its first list", atFleet, byHosts, costs(func(n int) (_, _ func()) {
			all := hosts(n, target["zones"])
			return nil, func() { atTarget(told, usual, nil, all) }
		})},
		{"read-whole", "hosts", "reading a whole list from its text", "", byHosts, func(m *meter, n int) (map[string]float64, int, error) {
			text := listText(n, true)
			c, err := m.cost(nil, read(text))
			return map[string]float64{"s": c.seconds, "allocs": c.allocs, "alloc": c.bytes, "text": float64(len(text))}, c.reps, err
		}},
		{"read-part", "changed", "reading the text of a change of some hosts", "", byChanged, func(m *meter, n int) (map[string]float64, int, error) {
			text := listText(n, false)
			c, err := m.cost(nil, read(text))
			return map[string]float64{"s": c.seconds, "allocs": c.allocs, "alloc": c.bytes, "text": float64(len(text) + callBytes())}, c.reps, err
		}},
		{"second-told", "hosts", "the module's own work each second, where answers say what hosts hold", atFleet, byHosts, costs(func(n int) (_, _ func()) {
			return ownSecond(atTarget(told, usual, nil, hosts(n, target["zones"])))
		})},
		{"second-reports", "hosts", "the same where answers say how hosts are loaded", atFleet, byHosts, costs(func(n int) (_, _ func()) {
			return ownSecond(atTarget(reports, usual, nil, hosts(n, target["zones"])))
		})},
		{"second-blind", "hosts", "the same where nothing is told", atFleet, byHosts, costs(func(n int) (_, _ func()) {
			return ownSecond(atTarget(blind, usual, nil, hosts(n, target["zones"])))
		})},
		{"second-profiles", "profiles", "the module's own work each second", ofService, byProfiles, costs(func(n int) (_, _ func()) {
			return ownSecond(atTarget(told, profiles(n), nil, hosts(hostsEach, target["zones"])))
		})},
		{"second-tenants", "tenants", "the module's own work each second", "4 profiles, " + ofService, byTenants, costs(func(n int) (_, _ func()) {
			return ownSecond(atTarget(told, usual, tenants(n), hosts(hostsEach, target["zones"])))
		})},
		{"decision-told", "hosts", "a decision, Take and HopEnded, where answers say what hosts hold", atFleet, bySome, decision(told, saysHeld)},
		{"decision-reports", "hosts", "the same where answers say how hosts are loaded", atFleet, bySome, decision(reports, saysQueue)},
		{"decision-blind", "hosts", "the same where nothing is told", atFleet, bySome, decision(blind, logic.NoLoadReport)},
		{"decision-zone", "hosts", "a decision where all hosts are in the gateway's own zone, and answers say how they are loaded", "4 profiles, 4,400 gateways", bySome[:5], func(m *meter, n int) (map[string]float64, int, error) {
			return decided(m, atTarget(reports, usual, nil, hosts(n, 1)), saysQueue)
		}},
		{"decision-profiles", "profiles", "a decision where answers say how hosts are loaded", ofService, byProfiles, func(m *meter, n int) (map[string]float64, int, error) {
			return decided(m, atTarget(reports, profiles(n), nil, hosts(hostsEach, target["zones"])), saysQueue)
		}},
		{"name-profile", "profiles", "finding a transaction's profile by its name, the middle one", "", byProfiles, costs(func(n int) (_, _ func()) {
			o, err := config.Parse(settings(fleetOf, n, 0), 0)
			if err != nil {
				panic(err)
			}
			name := profiles(n)[n/2].Name
			return nil, func() { o.FindProfile(time.Hour, name, logic.Idempotent) }
		})},
		{"settings-tenants", "tenants", "reading settings, as at the start and at each change", "4 profiles", byTenants, func(m *meter, n int) (map[string]float64, int, error) {
			text := settings(fleetOf, usualProfiles, n)
			c, err := m.cost(nil, func() {
				if _, err := config.Parse(text, 0); err != nil {
					panic(err)
				}
			})
			return map[string]float64{"s": c.seconds, "allocs": c.allocs, "alloc": c.bytes, "text": float64(len(text))}, c.reps, err
		}},
		{"retune-tenants", "tenants", "settings in which nothing is new, taken in by the module", "4 profiles, " + ofService, []int{100, 300, 1000, 3000, 10_000}, costs(func(n int) (_, _ func()) {
			all := tenants(n)
			g := atTarget(told, usual, all, hosts(hostsEach, target["zones"]))
			return nil, func() { retune(g, usual, all) }
		})},
		{"retune-hosts", "hosts", "settings with one new profile, taken in by the module", atFleet, []int{300, 3000, 30_000, 170_000}, costs(func(n int) (before, _ func()) {
			all := hosts(n, target["zones"])
			var g *gateway
			return func() { g = atTarget(told, usual, nil, all) }, func() { retune(g, profiles(usualProfiles+1), nil) }
		})},
		{"memory-hosts", "hosts", "memory of the module", atFleet, byHosts, keeps(func(n int) any {
			return atTarget(told, usual, nil, hosts(n, target["zones"]))
		})},
		{"memory-profiles", "profiles", "memory of the module", "1,000 hosts", byProfiles, keeps(func(n int) any {
			return atTarget(told, profiles(n), nil, hosts(1000, target["zones"]))
		})},
		{"memory-tenants", "tenants", "memory of settings and module", "4 profiles, " + ofService, byTenants, keeps(func(n int) any {
			o, err := config.Parse(settings(fleetOf, usualProfiles, n), 0)
			if err != nil {
				panic(err)
			}
			return []any{o, atTarget(told, usual, tenants(n), hosts(hostsEach, target["zones"]))}
		})},
		{"tells-few", "gateways", "messages between gateways where each tells all", "60 hosts, 3 zones, 20 transactions a second each", []int{3, 5, 8, 12, 20},
			played(func(ctx context.Context, n int) (map[string]float64, error) { return tells(ctx, n, 60, 3, tellsUsual) })},
		{"tells-many", "gateways", "messages between gateways where one draws for each zone", "60 hosts, 3 zones, 20 transactions a second each", []int{24, 48, 96, 192},
			played(func(ctx context.Context, n int) (map[string]float64, error) { return tells(ctx, n, 60, 3, tellsUsual) })},
		{"tells-rate", "rate", "the same by each gateway's transactions a second", "48 gateways, 60 hosts, 3 zones", []int{10, 20, 40, 80},
			played(func(ctx context.Context, n int) (map[string]float64, error) { return tells(ctx, 48, 60, 3, n) })},
		{"tells-hosts", "hosts", "the same by hosts", "48 gateways, 3 zones, 20 transactions a second each", []int{60, 300, 1000, 3000},
			played(func(ctx context.Context, n int) (map[string]float64, error) { return tells(ctx, 48, n, 3, tellsUsual) })},
		{"tells-zones", "zones", "the same by zones", "48 gateways, 360 hosts, 20 transactions a second each", []int{2, 3, 6, 12, 18},
			played(func(ctx context.Context, n int) (map[string]float64, error) {
				return tells(ctx, 48, 360, n, tellsUsual)
			})},
		// Last, as its gateways go on asking for the list until the process ends.
		{"desk", "hosts", "the gateway up to its sockets: first, until a known list is in hand; change, from one host's change told to the next call for the list, wall time both; heap, its memory with the list",
			atFleet, byHosts, func(m *meter, n int) (map[string]float64, int, error) {
				values, err := desk(m.ctx, n)
				return values, changesPlayed, err
			}},
	}
}

// retune gives the module other profiles and tenants and leaves all else.
func retune(g *gateway, profiles []logic.Profile, tenants []logic.Tenant) {
	g.Reconfigure(g.now, profiles, tenants, logic.ColdHostRule{InitialCapacityFraction: 0.25, WarmUpDuration: 8 * time.Second, OverloadMultiple: 4, OverloadDuration: time.Second}, logic.DrainRule{},
		logic.HopRule{MaxHops: 3, MaxRetryAfter: time.Second}, told, logic.CostModel{CrossZoneHop: 0.05})
}
