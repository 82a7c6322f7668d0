package logic_test

import (
	"fmt"
	"testing"
	"time"

	"spanmux/logic"
)

// startWithoutLoadInfo begins the scene of one of a hundred gateways to which nothing tells of hosts, with so many in its zone.
func startWithoutLoadInfo(hostCount int, profiles ...logic.Profile) *testGateway {
	var hosts []logic.Host
	for id := logic.HostID(1); id <= logic.HostID(hostCount); id++ {
		hosts = append(hosts, readyHost(id, "a", 0))
	}
	return startGatewayAmong(100, 3, logic.InformationSources{MaxListPollInterval: 10 * time.Second}, profiles, nil, hosts...)
}

// Blind gateways kept to five hosts for each transaction a second: with ten a second to a whole zone. As hosts accept
// few connections, and each costs one as much as some work, a third of all hops got none and half of the rest was
// rolled back. Hosts that a gateway meets once in some seconds teach it nothing either.
func TestSubsetWithoutLoadInfo(t *testing.T) {
	gw := startWithoutLoadInfo(40, readProfile)
	gw.runCommitted(1, 400, 0) // sixteen a second
	if n := len(gw.hopsByHost); n > 6 {
		t.Errorf("met %d hosts, want a few", n)
	}
}

// The look-alike: what traffic keeps busy, and what stands in for hosts that refuse connections, is not cut short.
func TestSubsetGrowsWithTrafficAndRefusals(t *testing.T) {
	gw := startWithoutLoadInfo(40, readProfile)
	gw.quiet = true
	for id := 1; id <= 1200; id++ { // two hundred a second
		gw.receive(id, 0, -1)
		gw.advance(5 * ms)
		gw.endHop(id, 0, logic.HopCommitted, 5*ms)
	}
	if n := len(gw.hopsByHost); n < 12 {
		t.Errorf("met %d hosts with two hundred transactions a second, want more", n)
	}
	gw = startWithoutLoadInfo(40, readProfile)
	gw.runCommitted(1, 100, 0)
	usualHosts := gw.hopsByHost
	gw.hopsByHost = map[logic.HostID]int{}
	gw.quiet = true
	for id := 101; id <= 200; id++ {
		gw.receive(id, 0, -1)
		gw.advance(5 * ms)
		if usualHosts[gw.lastHost] > 0 {
			gw.endHop(id, 0, logic.HopNoConnection, 5*ms)
		} else {
			gw.endHop(id, 0, logic.HopCommitted, 5*ms)
		}
	}
	newHosts := 0
	for id := range gw.hopsByHost {
		if usualHosts[id] == 0 {
			newHosts++
		}
	}
	if newHosts == 0 {
		t.Error(fmt.Sprint("no further host met as all usual ones refused connections: ", gw.hopsByHost))
	}
}

// startTwoZonesWithoutLoadInfo begins a blind scene with as many hosts in zone a, the own one, as in zone b, where those have ids from 100.
func startTwoZonesWithoutLoadInfo(hostsPerZone int, costModel logic.CostModel, profiles ...logic.Profile) *testGateway {
	var hosts []logic.Host
	for id := logic.HostID(1); id <= logic.HostID(hostsPerZone); id++ {
		hosts = append(hosts, readyHost(id, "a", 0), readyHost(100+id, "b", 0))
	}
	gw := startGatewayWithCosts(100, 3, logic.InformationSources{MaxListPollInterval: 10 * time.Second}, costModel, profiles, nil, hosts...)
	gw.quiet = true
	return gw
}

// runWithOwnZoneFailures plays transactions of which three in five that go to the own zone end so, and returns how many of
// the last hundred hops went there.
func (gw *testGateway) runWithOwnZoneFailures(outcome logic.HopOutcome) (ownZoneHops int) {
	for id := 1; id <= 300; id++ {
		gw.lastHost = 0
		gw.receive(id, 0, -1)
		gw.advance(60 * ms)
		if id > 200 && gw.lastHost != 0 && gw.lastHost < 100 {
			ownZoneHops++
		}
		for hopIndex, host := 0, gw.lastHost; host != 0; hopIndex, host = hopIndex+1, gw.lastHost {
			if gw.lastHost = 0; host < 100 && id%5 < 3 {
				gw.endHop(id, hopIndex, outcome, 60*ms)
			} else {
				gw.endHop(id, hopIndex, logic.HopCommitted, 60*ms)
			}
		}
	}
	return ownZoneHops
}

// Hops from some gateways to the hosts of a building were reset, and no breaker opened: so did hops to the other hosts
// there, and that was taken for errors of the transactions. A link that fails is no less broken as others are.
func TestZoneWithFailingLinksIsAvoided(t *testing.T) {
	for _, outcome := range []logic.HopOutcome{logic.HopConnectionBroken, logic.HopNoConnection} {
		if ownZoneHops := startTwoZonesWithoutLoadInfo(12, logic.CostModel{}, readProfile).runWithOwnZoneFailures(outcome); ownZoneHops > 35 {
			t.Errorf("end %d: %d of 100 hops still go to the zone whose links fail", outcome, ownZoneHops)
		}
	}
}

// The look-alike: transactions that err wherever they go show nothing of hosts or zones.
func TestTransactionErrorsKeepTrafficInZone(t *testing.T) {
	gw := startTwoZonesWithoutLoadInfo(12, logic.CostModel{}, readProfile)
	for id := 1; id <= 300; id++ {
		gw.receive(id, 0, -1)
		gw.advance(60 * ms)
		gw.endHop(id, 0, [...]logic.HopOutcome{logic.HopCommitted, logic.HopError, logic.HopCommitted, logic.HopError, logic.HopCommitted}[id%5], 60*ms)
	}
	if crossZoneHops := gw.crossZoneHops(); crossZoneHops > 30 {
		t.Errorf("%d hops left the zone", crossZoneHops)
	}
}

func (gw *testGateway) crossZoneHops() (total int) {
	for id, hops := range gw.hopsByHost {
		if id >= 100 {
			total += hops
		}
	}
	return total
}

// A zone of which few hosts are barred is not left: the others there are well.
func TestOneFailingHostKeepsTrafficInZone(t *testing.T) {
	gw := startTwoZonesWithoutLoadInfo(12, logic.CostModel{}, readProfile)
	gw.runCommitted(1, 20, 0)
	failingHost := gw.lastHost
	gw.hopsByHost = map[logic.HostID]int{}
	for id := 21; id <= 300; id++ {
		gw.receive(id, 0, -1)
		gw.advance(60 * ms)
		if gw.lastHost == failingHost {
			gw.endHop(id, 0, logic.HopConnectionBroken, ms)
		} else {
			gw.endHop(id, 0, logic.HopCommitted, 60*ms)
		}
	}
	if crossZoneHops := gw.crossZoneHops(); crossZoneHops > 0 {
		t.Errorf("%d hops left the zone for one host", crossZoneHops)
	}
}

// Hosts that remember keys were met by chance: each of a gateway's few saw all keys and forgot them.
func TestAffinityKeysWithoutLoadInfo(t *testing.T) {
	gw := startTwoZonesWithoutLoadInfo(12, logic.CostModel{}, readProfile)
	hostsUsed := map[logic.HostID]bool{}
	for key := uint32(1); key <= 30; key++ {
		hopsByHost := map[logic.HostID]int{}
		for id := 1; id <= 20; id++ {
			txID := int(key)*100 + id
			gw.TransactionReceived(gw.now, logic.TxID(txID), logic.Arrival{TenantIndex: -1, Budget: time.Second, AffinityKey: key})
			gw.advance(60 * ms)
			gw.endHop(txID, 0, logic.HopCommitted, 60*ms)
			hopsByHost[gw.lastHost]++
		}
		hostsUsed[gw.lastHost] = true
		if len(hopsByHost) > 2 {
			t.Errorf("key %d met %d hosts", key, len(hopsByHost))
		}
	}
	if len(hostsUsed) < 4 { // the look-alike: many keys are no reason to leave hosts idle
		t.Errorf("thirty keys met %d hosts", len(hostsUsed))
	}
}

// runWithLatencies plays answers that take so long by turns, and returns how many of the last hundred were rolled back.
func (gw *testGateway) runWithLatencies(latencies ...time.Duration) (rolledBack int) {
	for id := 1; id <= 400; id++ {
		hops := 0
		for _, hopsToHost := range gw.hopsByHost {
			hops -= hopsToHost
		}
		gw.receive(id, 0, -1)
		for _, hopsToHost := range gw.hopsByHost {
			hops += hopsToHost
		}
		gw.advance(60 * ms)
		if hops > 0 {
			gw.endHop(id, 0, logic.HopCommitted, latencies[id%len(latencies)])
		} else if id > 300 {
			rolledBack++
		}
	}
	return rolledBack
}

// Work differs: one answer in eight that took ten times as long counted as a jam of its zone, and where nines count,
// with hosts half idle a tenth to a quarter of a quiet day was rolled back.
func TestLongWorkIsNotCongestion(t *testing.T) {
	costModel := logic.CostModel{AvailabilityNines: 3}
	if rolledBack := startTwoZonesWithoutLoadInfo(12, costModel, readProfile).runWithLatencies(60*ms, 60*ms, 60*ms, 600*ms, 60*ms, 60*ms, 60*ms, 60*ms); rolledBack > 2 {
		t.Errorf("%d of 100 rolled back for long work", rolledBack)
	}
	// The look-alike: what takes long everywhere is one.
	if rolledBack := startTwoZonesWithoutLoadInfo(12, costModel, readProfile).runWithLatencies(300 * ms); rolledBack < 50 {
		t.Errorf("only %d of 100 rolled back in a jam", rolledBack)
	}
}
