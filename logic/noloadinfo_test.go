package logic_test

import (
	"fmt"
	"testing"
	"time"

	"spanmux/logic"
)

// startWithoutLoadInfo starts one of a hundred gateways that get no load information, with hostCount hosts in its zone.
func startWithoutLoadInfo(hostCount int, profiles ...logic.Profile) *testGateway {
	var hosts []logic.Host
	for id := logic.HostID(1); id <= logic.HostID(hostCount); id++ {
		hosts = append(hosts, readyHost(id, "a", 0))
	}
	return startGatewayAmong(100, 3, logic.InformationSources{MaxListPollInterval: 10 * time.Second}, profiles, nil, hosts...)
}

// A gateway without load information uses few hosts. It used to use five hosts per transaction a second, so a whole zone
// at ten a second. Hosts accept few connections, and each costs them some work: a third of all hops got no connection and
// half of the rest was rolled back. A gateway also learns nothing useful about hosts that it uses only once in several seconds.
func TestSubsetWithoutLoadInfo(t *testing.T) {
	gw := startWithoutLoadInfo(40, readProfile)
	gw.runCommitted(1, 400, 0) // at 16 per second
	if n := len(gw.hopsByHost); n > 6 {
		t.Errorf("used %d hosts, want at most 6", n)
	}
}

// The counterpart of TestSubsetWithoutLoadInfo: a gateway uses more hosts if it has more traffic, or if the usual hosts
// refuse connections.
func TestSubsetGrowsWithTrafficAndRefusals(t *testing.T) {
	gw := startWithoutLoadInfo(40, readProfile)
	gw.quiet = true
	for id := 1; id <= 1200; id++ { // 200 per second
		gw.receive(id, 0, -1)
		gw.advance(5 * ms)
		gw.endHop(id, 0, logic.HopCommitted, 5*ms)
	}
	if n := len(gw.hopsByHost); n < 12 {
		t.Errorf("used %d hosts at 200 transactions per second, want at least 12", n)
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
		t.Error(fmt.Sprint("no other host used although all usual ones refused connections: ", gw.hopsByHost))
	}
}

// startTwoZonesWithoutLoadInfo starts one of a hundred gateways that get no load information, in zone a. Both zones have
// hostsPerZone hosts; the ids of those in zone b are above 100.
func startTwoZonesWithoutLoadInfo(hostsPerZone int, costModel logic.CostModel, profiles ...logic.Profile) *testGateway {
	var hosts []logic.Host
	for id := logic.HostID(1); id <= logic.HostID(hostsPerZone); id++ {
		hosts = append(hosts, readyHost(id, "a", 0), readyHost(100+id, "b", 0))
	}
	gw := startGatewayWithCosts(100, 3, logic.InformationSources{MaxListPollInterval: 10 * time.Second}, costModel, profiles, nil, hosts...)
	gw.quiet = true
	return gw
}

// runWithOwnZoneFailures runs 300 transactions. Three in five of those sent to the own zone end with outcome, further hops
// included. It returns how many of the last hundred transactions were first sent to the own zone.
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

// A zone whose links fail is avoided. When hops from some gateways to all hosts of a zone failed with broken connections, no
// breaker opened, because the failures at the other hosts of the zone made them look like errors of the transactions. Failed
// connections count even if those to other hosts fail too.
func TestZoneWithFailingLinksIsAvoided(t *testing.T) {
	for _, outcome := range []logic.HopOutcome{logic.HopConnectionBroken, logic.HopNoConnection} {
		if ownZoneHops := startTwoZonesWithoutLoadInfo(12, logic.CostModel{}, readProfile).runWithOwnZoneFailures(outcome); ownZoneHops > 35 {
			t.Errorf("outcome %d: %d of 100 hops still go to the zone with failing links", outcome, ownZoneHops)
		}
	}
}

// The counterpart of TestZoneWithFailingLinksIsAvoided: transactions that fail with errors at any host say nothing about
// hosts or zones.
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

// crossZoneHops returns the number of hops to hosts in zone b.
func (gw *testGateway) crossZoneHops() (total int) {
	for id, hops := range gw.hopsByHost {
		if id >= 100 {
			total += hops
		}
	}
	return total
}

// Traffic does not leave a zone in which breakers bar only one host, because the other hosts are healthy.
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

// Transactions with the same affinity key go to the same host. When hosts were picked at random, each of the gateway's few
// hosts got all keys and evicted them from its cache.
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
			t.Errorf("key %d went to %d hosts", key, len(hopsByHost))
		}
	}
	if len(hostsUsed) < 4 { // many different keys still use several hosts
		t.Errorf("thirty keys went to only %d hosts", len(hostsUsed))
	}
}

// runWithLatencies runs 400 transactions, committed with the given latencies in rotation, and returns how many of the last hundred
// were rolled back.
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

// Long work is not taken as congestion: one answer in eight takes ten times as long as the others. It used to count as congestion of
// the zone, and if the cost model counts availability in nines, a tenth to a quarter of the transactions was rolled back with hosts
// half idle.
func TestLongWorkIsNotCongestion(t *testing.T) {
	costModel := logic.CostModel{AvailabilityNines: 3}
	if rolledBack := startTwoZonesWithoutLoadInfo(12, costModel, readProfile).runWithLatencies(60*ms, 60*ms, 60*ms, 600*ms, 60*ms, 60*ms, 60*ms, 60*ms); rolledBack > 2 {
		t.Errorf("%d of 100 rolled back because of long work", rolledBack)
	}
	// The counterpart: if all answers are slow, the zone is congested.
	if rolledBack := startTwoZonesWithoutLoadInfo(12, costModel, readProfile).runWithLatencies(300 * ms); rolledBack < 50 {
		t.Errorf("only %d of 100 rolled back under congestion", rolledBack)
	}
}
