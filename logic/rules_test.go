package logic_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"spanmux/logic"
)

// judge plays a gateway's world by chance and holds the gateway to what must never happen, whatever comes and in whatever order.
type judge struct {
	*logic.Balancer
	now   time.Duration
	timer []time.Duration
	open  map[logic.TxID]*judged
	state map[logic.HostID]logic.HostState
	wrong map[string]int
}

type judged struct {
	profile logic.Profile
	hops    []logic.Host
	out     int // hops without an outcome
	mayRan  *logic.Host
	ended   bool
}

func (j *judge) hold(what string, so bool) {
	if !so {
		j.wrong[what]++
	}
}

func (j *judge) final(id logic.TxID, back bool) {
	t := j.open[id]
	j.hold("a second final answer", t != nil && !t.ended)
	if t != nil {
		j.hold("rolled back though it may have run", !back || t.mayRan == nil && t.out == 0 || t.profile.Effect == logic.Idempotent ||
			t.profile.Effect == logic.Journalled && t.profile.DedupScope == logic.DedupAllHosts)
		t.ended = true
	}
}

func (j *judge) SendHop(id logic.TxID, to logic.HostID, wait time.Duration) {
	t := j.open[id]
	j.hold("a hop of what is over", t != nil && !t.ended)
	j.hold("a hop to a host that is not ready", j.state[to] == logic.HostReady)
	if t == nil {
		return
	}
	h := worldHost(to)
	j.hold("run twice", t.mayRan == nil && t.out == 0 || t.profile.Effect == logic.Idempotent ||
		t.profile.Effect == logic.Journalled && t.mayRan != nil && t.mayRan.Zone == h.Zone)
	t.hops = append(t.hops, h)
	t.out++
}
func (j *judge) CallOff(logic.TxID, int)                 {}
func (j *judge) RollBack(id logic.TxID, _ time.Duration) { j.final(id, true) }
func (j *judge) Abandon(id logic.TxID)                   { j.final(id, false) }
func (j *judge) Probe(logic.HostID)                      {}
func (j *judge) CloseIdleConnections(logic.HostID)       {}
func (j *judge) SendPeerMessage(int, []logic.PeerEntry)  {}
func (j *judge) RequestHostList()                        {}
func (j *judge) SetTimer(in time.Duration)               { j.timer = append(j.timer, j.now+in) }
func (j *judge) Log(string)                              {}

func worldHost(id logic.HostID) logic.Host {
	return logic.Host{ID: id, Zone: string('a' + rune(id%3)), Kind: []string{"box", "tower"}[id%2], Cell: int(id % 4), State: logic.HostReady, CapacityHint: 1}
}

// Whatever comes, in each shape of deployment: hosts that come, drain, go and return by zones, outcomes of all kinds, late, twice and
// out of order, lists lost, clients that leave. A zone left without a host stopped the program once.
func Example_rulesByChance() {
	order := order
	order.DedupScope, order.DedupWindow = logic.DedupSameZone, time.Minute
	profiles := []logic.Profile{read, order, payment}
	for i, from := range []logic.InformationSources{{PeersShareInFlight: true, ProbesReportLoad: true}, {ResponsesReportLoad: true}, {ResponsesReportLoad: true, ResponsesReportInFlight: true, ExtraProbesAllowed: true},
		{CapacityHints: logic.LiveCapacity}, {CapacityHints: logic.NominalCapacity}} {
		for _, gateways := range []int{2, 300} {
			taken, wrong := 0, map[string]int{}
			for seed := range uint64(8) {
				draw := rand.New(rand.NewPCG(seed, uint64(i)))
				j := &judge{now: time.Second, open: map[logic.TxID]*judged{}, state: map[logic.HostID]logic.HostState{}, wrong: wrong}
				j.Balancer = logic.New(j, j.now, seed, logic.Topology{GatewayCount: gateways, GatewayIndex: 1, Zone: "a", Zones: []string{"a", "b", "c"}},
					profiles, []logic.Tenant{{Name: "x", QuotaPerSecond: 5}}, logic.ColdHostRule{InitialCapacityFraction: 0.2, WarmUpDuration: 5 * time.Second, OverloadMultiple: 3, OverloadDuration: time.Second},
					logic.DrainRule{CloseIdleConnections: seed%2 == 0}, logic.HopRule{MaxHops: 4, CallOff: true, MaxBufferedResponses: int(seed % 3), BudgetTolerance: time.Second}, from, logic.CostModel{})
				for range 3000 {
					j.step(draw, &taken)
				}
			}
			fmt.Println(from.PeersShareInFlight, from.ResponsesReportLoad, from.ResponsesReportInFlight, from.CapacityHints, "gateways:", gateways, "taken:", taken > 1000, "wrong:", wrong)
		}
	}
	// Output:
	// true false false 0 gateways: 2 taken: true wrong: map[]
	// true false false 0 gateways: 300 taken: true wrong: map[]
	// false true false 0 gateways: 2 taken: true wrong: map[]
	// false true false 0 gateways: 300 taken: true wrong: map[]
	// false true true 0 gateways: 2 taken: true wrong: map[]
	// false true true 0 gateways: 300 taken: true wrong: map[]
	// false false false 2 gateways: 2 taken: true wrong: map[]
	// false false false 2 gateways: 300 taken: true wrong: map[]
	// false false false 1 gateways: 2 taken: true wrong: map[]
	// false false false 1 gateways: 300 taken: true wrong: map[]
}

func (j *judge) step(draw *rand.Rand, taken *int) {
	j.now += time.Duration(draw.IntN(40)) * ms
	for len(j.timer) > 0 && j.timer[0] <= j.now {
		j.timer = j.timer[1:]
		j.TimerFired(j.now)
	}
	switch id := logic.HostID(1 + draw.IntN(9)); draw.IntN(12) {
	case 0:
		h := worldHost(id)
		h.State = logic.HostState(draw.IntN(3))
		h.CapacityHint = 1 / (1 + 6*draw.Float64())
		if draw.IntN(3) == 0 {
			h.StartedAt = j.now - time.Duration(draw.IntN(4000))*ms
		}
		j.state[id] = h.State
		j.HostListReceived(j.now, logic.ListChanges, []logic.Host{h})
	case 1:
		if zone := draw.IntN(4); zone < 3 && draw.IntN(4) == 0 { // a zone, and no other host
			j.state = map[logic.HostID]logic.HostState{}
			var all []logic.Host
			for id := logic.HostID(1 + zone); id < 10; id += 3 {
				all = append(all, worldHost(id))
				j.state[id] = logic.HostReady
			}
			j.HostListReceived(j.now, logic.ListComplete, all)
		}
		if draw.IntN(10) == 0 {
			j.HostListReceived(j.now, logic.ListFailed, nil)
		}
	case 2:
		j.ProbeEnded(j.now, id, logic.LoadReport{InFlight: float64(draw.IntN(9)), Queued: float64(draw.IntN(3)), Utilization: draw.Float64(), RequestsPerSecond: -1, LatencyMs: -1})
	case 3, 4, 5, 6:
		*taken++
		p := draw.IntN(3)
		j.open[logic.TxID(*taken)] = &judged{profile: []logic.Profile{read, {Effect: logic.Journalled, DedupScope: logic.DedupSameZone}, payment}[p]}
		j.TransactionReceived(j.now, logic.TxID(*taken), logic.Arrival{ProfileIndex: p, TenantIndex: draw.IntN(2) - 1, Budget: time.Duration(draw.IntN(2000)) * ms})
	default:
		tx := logic.TxID(max(1, *taken-draw.IntN(9)))
		t := j.open[tx]
		if t == nil || len(t.hops) == 0 {
			return
		}
		if draw.IntN(30) == 0 {
			t.ended = true
			j.ClientLeft(j.now, tx)
			return
		}
		n := draw.IntN(len(t.hops))
		if t.hops[n].ID == 0 { // told already, and now twice
			j.HopEnded(j.now, tx, n, logic.HopResult{Outcome: logic.HopError, Load: logic.NoLoadReport}, t.ended)
			return
		}
		h := t.hops[n]
		t.hops[n].ID = 0
		t.out--
		r := logic.HopResult{Outcome: logic.HopOutcome(draw.IntN(8)), Latency: time.Duration(draw.IntN(1500)) * ms, Load: logic.NoLoadReport}
		if !r.Outcome.NeverRan() && t.mayRan == nil {
			t.mayRan = &h
		}
		if r.Outcome == logic.HopCommitted {
			t.ended = true
		}
		j.HopEnded(j.now, tx, n, r, t.ended)
	}
}
