package logic_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"spanmux/logic"
)

// ruleChecker feeds a Balancer with random events. As its Executor it checks the rules that must hold whatever happens,
// in whatever order, and counts violations.
type ruleChecker struct {
	*logic.Balancer
	now        time.Duration
	timers     []time.Duration
	txs        map[logic.TxID]*checkedTx
	hostStates map[logic.HostID]logic.HostState
	violations map[string]int
}

// checkedTx is what ruleChecker knows of a transaction.
type checkedTx struct {
	profile       logic.Profile
	hops          []logic.Host
	hopsInFlight  int // hops without an outcome yet
	possiblyRanOn *logic.Host
	answered      bool
}

// check counts a violation of a rule unless it is satisfied.
func (c *ruleChecker) check(rule string, satisfied bool) {
	if !satisfied {
		c.violations[rule]++
	}
}

// checkFinalAnswer checks that an answer is the only one, and that nothing is rolled back that may have run.
func (c *ruleChecker) checkFinalAnswer(id logic.TxID, rolledBack bool) {
	t := c.txs[id]
	c.check("a second final answer", t != nil && !t.answered)
	if t != nil {
		c.check("rolled back though it may have run", !rolledBack || t.possiblyRanOn == nil && t.hopsInFlight == 0 ||
			t.profile.Effect == logic.Idempotent ||
			t.profile.Effect == logic.Deduplicated && t.profile.DedupScope == logic.DedupAllHosts)
		t.answered = true
	}
}

func (c *ruleChecker) SendHop(id logic.TxID, hostID logic.HostID, limits logic.HopLimits) {
	t := c.txs[id]
	c.check("a hop after the final answer", t != nil && !t.answered)
	c.check("a hop to a host that is not ready", c.hostStates[hostID] == logic.HostReady)
	if t == nil {
		return
	}
	target := hostWithID(hostID)
	c.check("may run twice", t.possiblyRanOn == nil && t.hopsInFlight == 0 || t.profile.Effect == logic.Idempotent ||
		t.profile.Effect == logic.Deduplicated && t.possiblyRanOn != nil && t.possiblyRanOn.Zone == target.Zone)
	t.hops = append(t.hops, target)
	t.hopsInFlight++
}
func (c *ruleChecker) CallOff(logic.TxID, int)                 {}
func (c *ruleChecker) RollBack(id logic.TxID, _ time.Duration) { c.checkFinalAnswer(id, true) }
func (c *ruleChecker) Abandon(id logic.TxID)                   { c.checkFinalAnswer(id, false) }
func (c *ruleChecker) Probe(logic.HostID)                      {}
func (c *ruleChecker) CloseIdleConnections(logic.HostID)       {}
func (c *ruleChecker) SendPeerMessage(int, []logic.PeerEntry)  {}
func (c *ruleChecker) RequestHostList()                        {}
func (c *ruleChecker) SetTimer(delay time.Duration)            { c.timers = append(c.timers, c.now+delay) }
func (c *ruleChecker) Log(string)                              {}

// hostWithID returns a ready host whose zone, kind and cell depend on its ID.
func hostWithID(id logic.HostID) logic.Host {
	return logic.Host{ID: id, Zone: string('a' + rune(id%3)), Kind: []string{"box", "tower"}[id%2], Cell: int(id % 4),
		State: logic.HostReady, CapacityHint: 1}
}

// The rules hold in every kind of deployment, whatever happens: hosts that are added, drain, go and return, also whole
// zones at once; hops with all outcomes, late, repeated and out of order; failed lists; clients that leave. A zone
// without a host had crashed the program.
func Example_randomizedRuleChecks() {
	zoneDedupOrder := orderProfile
	zoneDedupOrder.DedupScope, zoneDedupOrder.DedupWindow = logic.DedupSameZone, time.Minute
	profiles := []logic.Profile{readProfile, zoneDedupOrder, paymentProfile}
	for i, sources := range []logic.InformationSources{
		{PeersShareInFlight: true, ProbesReportLoad: true},
		{ResponsesReportLoad: true},
		{ResponsesReportLoad: true, ResponsesReportInFlight: true, ExtraProbesAllowed: true},
		{CapacityHints: logic.LiveCapacity},
		{CapacityHints: logic.NominalCapacity},
	} {
		for _, gatewayCount := range []int{2, 300} {
			received, violations := 0, map[string]int{}
			for seed := range uint64(8) {
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				checker := &ruleChecker{now: time.Second, txs: map[logic.TxID]*checkedTx{},
					hostStates: map[logic.HostID]logic.HostState{}, violations: violations}
				checker.Balancer = logic.New(checker, checker.now, seed,
					logic.Topology{GatewayCount: gatewayCount, GatewayIndex: 1, Zone: "a", Zones: []string{"a", "b", "c"}},
					profiles, []logic.Tenant{{Name: "x", QuotaPerSecond: 5}},
					logic.ColdHostRule{InitialCapacityFraction: 0.2, WarmUpDuration: 5 * time.Second,
						OverloadMultiple: 3, OverloadDuration: time.Second},
					logic.DrainRule{CloseIdleConnections: seed%2 == 0},
					logic.HopRule{MaxHops: 4, CallOffAllowed: true, MaxBufferedResponses: int(seed % 3),
						BudgetTolerance: time.Second},
					sources, logic.CostModel{})
				for range 3000 {
					checker.randomStep(random, &received)
				}
			}
			fmt.Println(sources.PeersShareInFlight, sources.ResponsesReportLoad, sources.ResponsesReportInFlight,
				sources.CapacityHints, "gateways:", gatewayCount, "taken:", received > 1000, "violations:", violations)
		}
	}
	// Output:
	// true false false 0 gateways: 2 taken: true violations: map[]
	// true false false 0 gateways: 300 taken: true violations: map[]
	// false true false 0 gateways: 2 taken: true violations: map[]
	// false true false 0 gateways: 300 taken: true violations: map[]
	// false true true 0 gateways: 2 taken: true violations: map[]
	// false true true 0 gateways: 300 taken: true violations: map[]
	// false false false 2 gateways: 2 taken: true violations: map[]
	// false false false 2 gateways: 300 taken: true violations: map[]
	// false false false 1 gateways: 2 taken: true violations: map[]
	// false false false 1 gateways: 300 taken: true violations: map[]
}

// randomStep lets up to 40 ms pass and triggers one random event: the host list changes, shrinks to one zone or
// fails, a probe ends, a transaction arrives, or, of one of the last transactions, a hop ends or is reported once more,
// or the client leaves.
func (c *ruleChecker) randomStep(random *rand.Rand, received *int) {
	c.now += time.Duration(random.IntN(40)) * ms
	for len(c.timers) > 0 && c.timers[0] <= c.now {
		c.timers = c.timers[1:]
		c.TimerFired(c.now)
	}
	switch id := logic.HostID(1 + random.IntN(9)); random.IntN(12) {
	case 0:
		h := hostWithID(id)
		h.State = logic.HostState(random.IntN(3))
		h.CapacityHint = 1 / (1 + 6*random.Float64())
		if random.IntN(3) == 0 {
			h.StartedAt = c.now - time.Duration(random.IntN(4000))*ms
		}
		c.hostStates[id] = h.State
		c.HostListReceived(c.now, logic.ListChanges, []logic.Host{h})
	case 1:
		if zone := random.IntN(4); zone < 3 && random.IntN(4) == 0 { // a list of the hosts of a single zone
			c.hostStates = map[logic.HostID]logic.HostState{}
			var zoneHosts []logic.Host
			for id := logic.HostID(1 + zone); id < 10; id += 3 {
				zoneHosts = append(zoneHosts, hostWithID(id))
				c.hostStates[id] = logic.HostReady
			}
			c.HostListReceived(c.now, logic.ListComplete, zoneHosts)
		}
		if random.IntN(10) == 0 {
			c.HostListReceived(c.now, logic.ListFailed, nil)
		}
	case 2:
		c.ProbeEnded(c.now, id, logic.LoadReport{InFlight: float64(random.IntN(9)), Queued: float64(random.IntN(3)),
			Utilization: random.Float64(), RequestsPerSecond: -1, LatencyMs: -1})
	case 3, 4, 5, 6:
		*received++
		profile := random.IntN(3)
		c.txs[logic.TxID(*received)] = &checkedTx{profile: []logic.Profile{readProfile,
			{Effect: logic.Deduplicated, DedupScope: logic.DedupSameZone}, paymentProfile}[profile]}
		c.TransactionReceived(c.now, logic.TxID(*received), logic.Arrival{ProfileIndex: profile,
			TenantIndex: random.IntN(2) - 1, Budget: time.Duration(random.IntN(2000)) * ms})
	default:
		txID := logic.TxID(max(1, *received-random.IntN(9)))
		t := c.txs[txID]
		if t == nil || len(t.hops) == 0 {
			return
		}
		if random.IntN(30) == 0 {
			t.answered = true
			c.ClientLeft(c.now, txID)
			return
		}
		hopIndex := random.IntN(len(t.hops))
		if t.hops[hopIndex].ID == 0 { // has ended already: its end is reported once more
			c.HopEnded(c.now, txID, hopIndex, logic.HopResult{Outcome: logic.HopError, Load: logic.NoLoadReport}, t.answered)
			return
		}
		h := t.hops[hopIndex]
		t.hops[hopIndex].ID = 0
		t.hopsInFlight--
		result := logic.HopResult{Outcome: logic.HopOutcome(random.IntN(8)),
			Latency: time.Duration(random.IntN(1500)) * ms, Load: logic.NoLoadReport}
		if !result.Outcome.NeverRan() && t.possiblyRanOn == nil {
			t.possiblyRanOn = &h
		}
		if result.Outcome == logic.HopCommitted {
			t.answered = true
		}
		c.HopEnded(c.now, txID, hopIndex, result, t.answered)
	}
}
