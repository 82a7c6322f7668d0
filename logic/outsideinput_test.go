package logic_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"spanmux/logic"
)

// outsideInput feeds a Balancer what other processes send it, in any order and from its first moment on.
type outsideInput struct {
	*ruleChecker
	random       *rand.Rand
	gatewayCount int
	profiles     []logic.Profile
	sources      logic.InformationSources
}

// step triggers one random event that another process causes: a message of a peer about hosts that may not be listed, learned state of a
// previous process, new settings, or a query of the next process.
func (o *outsideInput) step() {
	switch o.random.IntN(8) {
	case 0:
		o.ImportLearned(o.now, o.learnedState(), time.Duration(o.random.IntN(5000))*ms)
	case 1:
		o.Reconfigure(o.now, o.profiles, []logic.Tenant{{Name: "y", QuotaPerSecond: 1}},
			logic.ColdHostRule{InitialCapacityFraction: 0.1, WarmUpDuration: time.Second, OverloadMultiple: 2, OverloadDuration: time.Second},
			logic.DrainRule{}, logic.HopRule{MaxHops: 1 + o.random.IntN(4), CallOffAllowed: true}, o.sources, logic.CostModel{})
	case 2:
		o.ExportLearned(o.now)
		o.AvoidedHosts()
	default:
		var entries []logic.PeerEntry
		for range o.random.IntN(5) {
			entries = append(entries, logic.PeerEntry{Kind: logic.PeerEntryKind(o.random.IntN(5)), Host: logic.HostID(o.random.IntN(12)),
				InFlight: o.random.IntN(1024), Profile: o.random.IntN(len(o.profiles)), Outcome: logic.HopOutcome(o.random.IntN(8)),
				Latency: time.Duration(o.random.IntN(6000)) * ms})
		}
		o.PeerMessageReceived(o.now, o.random.IntN(o.gatewayCount), entries)
	}
}

// learnedState returns what a previous process may hand over, of hosts and profiles that may not be known here.
func (o *outsideInput) learnedState() logic.LearnedState {
	mean := func(scale float64) logic.SmoothedMean {
		return logic.SmoothedMean{Value: o.random.Float64() * scale, Samples: float64(o.random.IntN(50))}
	}
	return logic.LearnedState{
		Profiles: []logic.LearnedProfile{{Name: "read", ServiceTime: mean(1e8), LongTermServiceTime: mean(1e8), MinServiceTimeNs: 1e6}, {Name: "gone"}},
		Kinds:    []logic.LearnedHostKind{{Kind: "box", Slots: mean(9), ServiceTimeRatio: mean(2), MeanInFlight: mean(9)}, {Kind: "gone"}},
		Hosts: []logic.LearnedHost{{ID: logic.HostID(o.random.IntN(12)), Uptime: time.Minute, Weight: o.random.Float64(), ServiceTimeRatio: mean(2),
			Latency: mean(1e8), BreakerOpenFor: time.Second, BreakerCooldown: time.Second}},
	}
}

// Nothing that other processes send, whenever it comes, ends the process or breaks a rule. A peer's message ended a process that had no host
// list yet.
func TestInputFromOtherProcesses(t *testing.T) {
	const seeds, steps = 40, 1500
	zoneDedupOrder := orderProfile
	zoneDedupOrder.DedupScope, zoneDedupOrder.DedupWindow = logic.DedupSameZone, time.Minute
	profiles := []logic.Profile{readProfile, zoneDedupOrder, paymentProfile}
	for i, sources := range []logic.InformationSources{
		{PeersShareInFlight: true, ProbesReportLoad: true}, {PeersShareInFlight: true, ResponsesReportLoad: true},
		{PeersShareInFlight: true}, {ResponsesReportLoad: true, ResponsesReportInFlight: true, ExtraProbesAllowed: true},
		{CapacityHints: logic.LiveCapacity},
	} {
		for _, gatewayCount := range []int{1, 2, 21, 300} {
			for seed := range uint64(seeds) {
				violations, received := map[string]int{}, 0
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				checker := &ruleChecker{now: time.Second, txs: map[logic.TxID]*checkedTx{}, hostStates: map[logic.HostID]logic.HostState{}, violations: violations}
				checker.Balancer = logic.New(checker, checker.now, seed,
					logic.Topology{GatewayCount: gatewayCount, GatewayIndex: int(seed) % gatewayCount, Zone: "a", Zones: []string{"a", "b", "c"}},
					profiles, []logic.Tenant{{Name: "x", QuotaPerSecond: 5}},
					logic.ColdHostRule{InitialCapacityFraction: 0.2, WarmUpDuration: 5 * time.Second, OverloadMultiple: 3, OverloadDuration: time.Second},
					logic.DrainRule{}, logic.HopRule{MaxHops: 4, CallOffAllowed: true}, sources, logic.CostModel{})
				outside := &outsideInput{checker, random, gatewayCount, profiles, sources}
				for range steps {
					if random.IntN(2) == 0 {
						outside.step()
					} else {
						checker.randomStep(random, &received)
					}
				}
				if len(violations) > 0 {
					t.Error(fmt.Sprintf("sources %d, %d gateways, seed %d:", i, gatewayCount, seed), violations)
				}
			}
		}
	}
}
