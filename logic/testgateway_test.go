package logic_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"spanmux/logic"
)

const ms = time.Millisecond

// testGateway runs a Balancer in virtual time. As its Executor it records what the Balancer does, one line each, with
// the time in milliseconds.
type testGateway struct {
	*logic.Balancer
	now             time.Duration
	timers          []time.Duration
	hopsByHost      map[logic.HostID]int
	lastHost        logic.HostID // of the last hop
	listRequestedAt time.Duration
	quiet           bool // records log lines only; hops are still counted by host
	lines           strings.Builder
}

var (
	readProfile  = logic.Profile{Name: "read", Effect: logic.Idempotent, ServiceGoal: 400 * ms, Revenue: 1}
	orderProfile = logic.Profile{Name: "order", Effect: logic.Deduplicated, DedupScope: logic.DedupSameCell, DedupWindow: 300 * ms,
		ServiceGoal: 400 * ms, Revenue: 1}
	paymentProfile = logic.Profile{Name: "payment", Effect: logic.NonIdempotent, ServiceGoal: 400 * ms, Revenue: 1}
)

// startGateway starts a gateway at time 1 s in zone a of zones a and b, the first of two gateways that exchange no peer
// messages.
func startGateway(profiles []logic.Profile, tenants []logic.Tenant, hosts ...logic.Host) *testGateway {
	return startGatewayAmong(2, 0, logic.InformationSources{MaxListPollInterval: 10 * time.Second}, profiles, tenants, hosts...)
}

// startGatewayAmong starts one of several gateways, with the given sources of information.
func startGatewayAmong(gatewayCount, gatewayIndex int, sources logic.InformationSources, profiles []logic.Profile,
	tenants []logic.Tenant, hosts ...logic.Host) *testGateway {
	return startGatewayWithCosts(gatewayCount, gatewayIndex, sources, logic.CostModel{CrossZoneHop: 0.05}, profiles,
		tenants, hosts...)
}

// startGatewayWithCosts is startGatewayAmong with a cost model.
func startGatewayWithCosts(gatewayCount, gatewayIndex int, sources logic.InformationSources, costModel logic.CostModel,
	profiles []logic.Profile, tenants []logic.Tenant, hosts ...logic.Host) *testGateway {
	return startGatewayWithRules(gatewayCount, gatewayIndex, sources, costModel, logic.DrainRule{},
		logic.HopRule{MaxHops: 3, CallOffAllowed: true, MaxRetryAfter: time.Second},
		profiles, tenants, hosts...)
}

// startGatewayWithRules is startGatewayWithCosts with rules for draining hosts and for hops.
func startGatewayWithRules(gatewayCount, gatewayIndex int, sources logic.InformationSources, costModel logic.CostModel,
	drainRule logic.DrainRule, hopRule logic.HopRule,
	profiles []logic.Profile, tenants []logic.Tenant, hosts ...logic.Host) *testGateway {
	gw := &testGateway{now: time.Second, hopsByHost: map[logic.HostID]int{}}
	gw.Balancer = logic.New(gw, gw.now, uint64(7+gatewayIndex),
		logic.Topology{GatewayCount: gatewayCount, GatewayIndex: gatewayIndex, Zone: "a", Zones: []string{"a", "b"}},
		profiles, tenants,
		logic.ColdHostRule{InitialCapacityFraction: 0.25, WarmUpDuration: 8 * time.Second, OverloadMultiple: 4,
			OverloadDuration: time.Second},
		drainRule, hopRule, sources, costModel)
	gw.HostListReceived(gw.now, logic.ListCached, hosts)
	return gw
}

// readyHost returns a ready host of kind box that has run for long.
func readyHost(id logic.HostID, zone string, cell int) logic.Host {
	return logic.Host{ID: id, Zone: zone, Kind: "box", Cell: cell, State: logic.HostReady}
}

func (gw *testGateway) record(format string, args ...any) {
	if !gw.quiet {
		fmt.Fprintf(&gw.lines, "%d %s\n", gw.now/ms, fmt.Sprintf(format, args...))
	}
}

func (gw *testGateway) SendHop(id logic.TxID, host logic.HostID, limits logic.HopLimits) {
	gw.hopsByHost[host]++
	gw.lastHost = host
	within := ""
	if limits.DeliverWithin > 0 {
		within = fmt.Sprintf(", there within %d", limits.DeliverWithin/ms)
	}
	gw.record("tx %d hop to %d for %d%s", id, host, limits.Timeout/ms, within)
}
func (gw *testGateway) CallOff(id logic.TxID, hopIndex int) {
	gw.record("tx %d call off hop %d", id, hopIndex)
}
func (gw *testGateway) RollBack(id logic.TxID, retryAfter time.Duration) {
	gw.record("tx %d rolled back, retry after %d", id, retryAfter/ms)
}
func (gw *testGateway) Abandon(id logic.TxID) { gw.record("tx %d abandoned", id) }
func (gw *testGateway) Probe(id logic.HostID) { gw.record("probe %d", id) }
func (gw *testGateway) CloseIdleConnections(id logic.HostID) {
	gw.record("close idle connections to %d", id)
}
func (gw *testGateway) SendPeerMessage(to int, entries []logic.PeerEntry) {
	for _, entry := range entries {
		kind := [...]string{"in flight", "aggregate", "hop ended", "pick request", "pick response"}[entry.Kind]
		gw.record("peer message to %d: %s, host %d, %d hops", to, kind, entry.Host, entry.InFlight)
	}
}
func (gw *testGateway) RequestHostList()             { gw.listRequestedAt = gw.now; gw.record("request host list") }
func (gw *testGateway) SetTimer(delay time.Duration) { gw.timers = append(gw.timers, gw.now+delay) }
func (gw *testGateway) Log(line string)              { fmt.Fprintf(&gw.lines, "%d log: %s\n", gw.now/ms, line) }

// receive has a transaction arrive with a budget of one second. The tenant is -1 for none.
func (gw *testGateway) receive(id, profile, tenant int) {
	gw.TransactionReceived(gw.now, logic.TxID(id), logic.Arrival{ProfileIndex: profile, TenantIndex: tenant, Budget: time.Second})
}

// advance lets time pass, and fires the timers that are due meanwhile.
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

// endHop ends a hop without a load report. A transaction has its final answer once a hop is committed.
func (gw *testGateway) endHop(id, hopIndex int, outcome logic.HopOutcome, latency time.Duration) {
	result := logic.HopResult{Outcome: outcome, Latency: latency, Load: logic.NoLoadReport}
	gw.HopEnded(gw.now, logic.TxID(id), hopIndex, result, outcome == logic.HopCommitted)
}

// runCommitted runs count transactions one after the other, each committed after 60 ms, and records only log lines.
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
