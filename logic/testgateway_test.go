package logic_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"spanmux/logic"
)

const ms = time.Millisecond

// testGateway plays a gateway and prints what it wants done, each line with the time in milliseconds.
type testGateway struct {
	*logic.Balancer
	now             time.Duration
	timers          []time.Duration
	hopsByHost      map[logic.HostID]int
	lastHost        logic.HostID // where the last hop went
	listRequestedAt time.Duration
	quiet           bool // prints nothing of hops and answers, but counts them
	lines           strings.Builder
}

var (
	readProfile  = logic.Profile{Name: "read", Effect: logic.Idempotent, ServiceGoal: 400 * ms, Revenue: 1}
	orderProfile = logic.Profile{Name: "order", Effect: logic.Journalled, DedupScope: logic.DedupSameCell, DedupWindow: 300 * ms,
		ServiceGoal: 400 * ms, Revenue: 1}
	paymentProfile = logic.Profile{Name: "payment", Effect: logic.NonIdempotent, ServiceGoal: 400 * ms, Revenue: 1}
)

// startGateway begins a scene at one second, in zone a of a and b, as the first of two gateways that do not tell.
func startGateway(profiles []logic.Profile, tenants []logic.Tenant, hosts ...logic.Host) *testGateway {
	return startGatewayAmong(2, 0, logic.InformationSources{MaxListPollInterval: 10 * time.Second}, profiles, tenants, hosts...)
}

func startGatewayAmong(gatewayCount, gatewayIndex int, sources logic.InformationSources, profiles []logic.Profile, tenants []logic.Tenant,
	hosts ...logic.Host) *testGateway {
	return startGatewayWithCosts(gatewayCount, gatewayIndex, sources, logic.CostModel{CrossZoneHop: 0.05}, profiles, tenants, hosts...)
}

func startGatewayWithCosts(gatewayCount, gatewayIndex int, sources logic.InformationSources, costModel logic.CostModel, profiles []logic.Profile,
	tenants []logic.Tenant, hosts ...logic.Host) *testGateway {
	return startGatewayWithRules(gatewayCount, gatewayIndex, sources, costModel, logic.DrainRule{}, logic.HopRule{MaxHops: 3, CallOff: true, MaxRetryAfter: time.Second},
		profiles, tenants, hosts...)
}

func startGatewayWithRules(gatewayCount, gatewayIndex int, sources logic.InformationSources, costModel logic.CostModel, drainRule logic.DrainRule, hopRule logic.HopRule,
	profiles []logic.Profile, tenants []logic.Tenant, hosts ...logic.Host) *testGateway {
	gw := &testGateway{now: time.Second, hopsByHost: map[logic.HostID]int{}}
	gw.Balancer = logic.New(gw, gw.now, uint64(7+gatewayIndex),
		logic.Topology{GatewayCount: gatewayCount, GatewayIndex: gatewayIndex, Zone: "a", Zones: []string{"a", "b"}}, profiles, tenants,
		logic.ColdHostRule{InitialCapacityFraction: 0.25, WarmUpDuration: 8 * time.Second, OverloadMultiple: 4, OverloadDuration: time.Second},
		drainRule, hopRule, sources, costModel)
	gw.HostListReceived(gw.now, logic.ListCached, hosts)
	return gw
}

func readyHost(id logic.HostID, zone string, cell int) logic.Host {
	return logic.Host{ID: id, Zone: zone, Kind: "box", Cell: cell, State: logic.HostReady}
}

func (gw *testGateway) record(format string, args ...any) {
	if !gw.quiet {
		fmt.Fprintf(&gw.lines, "%d %s\n", gw.now/ms, fmt.Sprintf(format, args...))
	}
}

func (gw *testGateway) SendHop(id logic.TxID, host logic.HostID, timeout time.Duration) {
	gw.hopsByHost[host]++
	gw.lastHost = host
	gw.record("tx %d hop to %d for %d", id, host, timeout/ms)
}
func (gw *testGateway) CallOff(id logic.TxID, hopIndex int) {
	gw.record("tx %d call off hop %d", id, hopIndex)
}
func (gw *testGateway) RollBack(id logic.TxID, retryAfter time.Duration) {
	gw.record("tx %d rolled back, come back after %d", id, retryAfter/ms)
}
func (gw *testGateway) Abandon(id logic.TxID)                { gw.record("tx %d abandoned", id) }
func (gw *testGateway) Probe(id logic.HostID)                { gw.record("probe %d", id) }
func (gw *testGateway) CloseIdleConnections(id logic.HostID) { gw.record("release %d", id) }
func (gw *testGateway) SendPeerMessage(to int, entries []logic.PeerEntry) {
	for _, entry := range entries {
		kind := [...]string{"out", "sum", "ended", "asks", "answer"}[entry.Kind]
		gw.record("tell %d: %s, host %d, %d hops", to, kind, entry.Host, entry.InFlight)
	}
}
func (gw *testGateway) RequestHostList()             { gw.listRequestedAt = gw.now; gw.record("ask for the list") }
func (gw *testGateway) SetTimer(delay time.Duration) { gw.timers = append(gw.timers, gw.now+delay) }
func (gw *testGateway) Log(line string)              { fmt.Fprintf(&gw.lines, "%d log: %s\n", gw.now/ms, line) }
func (gw *testGateway) receive(id, profile, tenant int) {
	gw.TransactionReceived(gw.now, logic.TxID(id), logic.Arrival{ProfileIndex: profile, TenantIndex: tenant, Budget: time.Second})
}

// advance lets time pass, with the timers that fall due.
func (gw *testGateway) advance(d time.Duration) *testGateway {
	for until := gw.now + d; ; {
		slices.Sort(gw.timers)
		if len(gw.timers) == 0 || gw.timers[0] > until {
			gw.now = until
			return gw
		}
		gw.now, gw.timers = gw.timers[0], gw.timers[1:]
		gw.TimerFired(gw.now)
	}
}

func (gw *testGateway) endHop(id, hopIndex int, outcome logic.HopOutcome, latency time.Duration) {
	result := logic.HopResult{Outcome: outcome, Latency: latency, Load: logic.NoLoadReport}
	gw.HopEnded(gw.now, logic.TxID(id), hopIndex, result, outcome == logic.HopCommitted)
}

// runCommitted plays n transactions that are answered one after the other, each after 60 ms, without a word.
func (gw *testGateway) runCommitted(first, count, profile int) {
	gw.quiet = true
	for id := first; id < first+count; id++ {
		gw.receive(id, profile, -1)
		gw.advance(60 * ms)
		gw.endHop(id, 0, logic.HopCommitted, 60*ms)
	}
	gw.quiet = false
}

func (gw *testGateway) printLines() { fmt.Print(gw.lines.String()) }
