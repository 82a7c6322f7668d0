package logic_test

import (
	"fmt"
	"testing"
	"time"

	"spanmux/logic"
)

// blind begins the scene of one of a hundred gateways to which nothing tells of hosts, with so many in its zone.
func blind(hosts int, profiles ...logic.Profile) *testGateway {
	var all []logic.Host
	for id := logic.HostID(1); id <= logic.HostID(hosts); id++ {
		all = append(all, readyHost(id, "a", 0))
	}
	return startGatewayAmong(100, 3, logic.InformationSources{MaxListPollInterval: 10 * time.Second}, profiles, nil, all...)
}

// Blind gateways kept to five hosts for each transaction a second: with ten a second to a whole zone. As hosts accept
// few connections, and each costs one as much as some work, a third of all hops got none and half of the rest was
// rolled back. Hosts that a gateway meets once in some seconds teach it nothing either.
func TestBlindGatewayKeepsToFewHosts(t *testing.T) {
	gw := blind(40, readProfile)
	gw.runCommitted(1, 400, 0) // sixteen a second
	if n := len(gw.hopsByHost); n > 6 {
		t.Errorf("met %d hosts, want a few", n)
	}
}

// The look-alike: what traffic keeps busy, and what stands in for hosts that refuse connections, is not cut short.
func TestBlindGatewayUsesMoreHostsWhereTrafficOrRefusalsAsk(t *testing.T) {
	gw := blind(40, readProfile)
	gw.quiet = true
	for id := 1; id <= 1200; id++ { // two hundred a second
		gw.receive(id, 0, -1)
		gw.advance(5 * ms)
		gw.endHop(id, 0, logic.HopCommitted, 5*ms)
	}
	if n := len(gw.hopsByHost); n < 12 {
		t.Errorf("met %d hosts with two hundred transactions a second, want more", n)
	}
	gw = blind(40, readProfile)
	gw.runCommitted(1, 100, 0)
	met := gw.hopsByHost
	gw.hopsByHost = map[logic.HostID]int{}
	gw.quiet = true
	for id := 101; id <= 200; id++ {
		gw.receive(id, 0, -1)
		gw.advance(5 * ms)
		if met[gw.lastHost] > 0 {
			gw.endHop(id, 0, logic.HopNoConnection, 5*ms)
		} else {
			gw.endHop(id, 0, logic.HopCommitted, 5*ms)
		}
	}
	fresh := 0
	for id := range gw.hopsByHost {
		if met[id] == 0 {
			fresh++
		}
	}
	if fresh == 0 {
		t.Error(fmt.Sprint("no further host met as all usual ones refused connections: ", gw.hopsByHost))
	}
}

// twoZones begins a blind scene with as many hosts in zone a, the own one, as in zone b, where those have ids from 100.
func twoZones(hosts int, price logic.CostModel, profiles ...logic.Profile) *testGateway {
	var all []logic.Host
	for id := logic.HostID(1); id <= logic.HostID(hosts); id++ {
		all = append(all, readyHost(id, "a", 0), readyHost(100+id, "b", 0))
	}
	gw := startGatewayWithCosts(100, 3, logic.InformationSources{MaxListPollInterval: 10 * time.Second}, price, profiles, nil, all...)
	gw.quiet = true
	return gw
}

// failsInOwnZone plays transactions of which three in five that go to the own zone end so, and returns how many of
// the last hundred hops went there.
func (gw *testGateway) failsInOwnZone(end logic.HopOutcome) (own int) {
	for id := 1; id <= 300; id++ {
		gw.lastHost = 0
		gw.receive(id, 0, -1)
		gw.advance(60 * ms)
		if id > 200 && gw.lastHost != 0 && gw.lastHost < 100 {
			own++
		}
		for hop, to := 0, gw.lastHost; to != 0; hop, to = hop+1, gw.lastHost {
			if gw.lastHost = 0; to < 100 && id%5 < 3 {
				gw.endHop(id, hop, end, 60*ms)
			} else {
				gw.endHop(id, hop, logic.HopCommitted, 60*ms)
			}
		}
	}
	return own
}

// Hops from some gateways to the hosts of a building were reset, and no breaker opened: so did hops to the other hosts
// there, and that was taken for errors of the transactions. A link that fails is no less broken as others are.
func TestZoneWhoseLinksFailIsLeft(t *testing.T) {
	for _, end := range []logic.HopOutcome{logic.HopConnectionBroken, logic.HopNoConnection} {
		if own := twoZones(12, logic.CostModel{}, readProfile).failsInOwnZone(end); own > 35 {
			t.Errorf("end %d: %d of 100 hops still go to the zone whose links fail", end, own)
		}
	}
}

// The look-alike: transactions that err wherever they go show nothing of hosts or zones.
func TestZoneIsNotLeftForErrorsOfTransactions(t *testing.T) {
	gw := twoZones(12, logic.CostModel{}, readProfile)
	for id := 1; id <= 300; id++ {
		gw.receive(id, 0, -1)
		gw.advance(60 * ms)
		gw.endHop(id, 0, [...]logic.HopOutcome{logic.HopCommitted, logic.HopError, logic.HopCommitted, logic.HopError, logic.HopCommitted}[id%5], 60*ms)
	}
	if crossed := gw.crossed(); crossed > 30 {
		t.Errorf("%d hops left the zone", crossed)
	}
}

func (gw *testGateway) crossed() (n int) {
	for id, hops := range gw.hopsByHost {
		if id >= 100 {
			n += hops
		}
	}
	return n
}

// A zone of which few hosts are barred is not left: the others there are well.
func TestZoneIsNotLeftForOneHost(t *testing.T) {
	gw := twoZones(12, logic.CostModel{}, readProfile)
	gw.runCommitted(1, 20, 0)
	down := gw.lastHost
	gw.hopsByHost = map[logic.HostID]int{}
	for id := 21; id <= 300; id++ {
		gw.receive(id, 0, -1)
		gw.advance(60 * ms)
		if gw.lastHost == down {
			gw.endHop(id, 0, logic.HopConnectionBroken, ms)
		} else {
			gw.endHop(id, 0, logic.HopCommitted, 60*ms)
		}
	}
	if crossed := gw.crossed(); crossed > 0 {
		t.Errorf("%d hops left the zone for one host", crossed)
	}
}

// Hosts that remember keys were met by chance: each of a gateway's few saw all keys and forgot them.
func TestBlindKeysGoToTheSameHost(t *testing.T) {
	gw := twoZones(12, logic.CostModel{}, readProfile)
	hosts := map[logic.HostID]bool{}
	for key := uint32(1); key <= 30; key++ {
		met := map[logic.HostID]int{}
		for id := 1; id <= 20; id++ {
			at := int(key)*100 + id
			gw.TransactionReceived(gw.now, logic.TxID(at), logic.Arrival{TenantIndex: -1, Budget: time.Second, AffinityKey: key})
			gw.advance(60 * ms)
			gw.endHop(at, 0, logic.HopCommitted, 60*ms)
			met[gw.lastHost]++
		}
		hosts[gw.lastHost] = true
		if len(met) > 2 {
			t.Errorf("key %d met %d hosts", key, len(met))
		}
	}
	if len(hosts) < 4 { // the look-alike: many keys are no reason to leave hosts idle
		t.Errorf("thirty keys met %d hosts", len(hosts))
	}
}

// playTook plays answers that take so long by turns, and returns how many of the last hundred were rolled back.
func (gw *testGateway) playTook(took ...time.Duration) (back int) {
	for id := 1; id <= 400; id++ {
		hops := 0
		for _, n := range gw.hopsByHost {
			hops -= n
		}
		gw.receive(id, 0, -1)
		for _, n := range gw.hopsByHost {
			hops += n
		}
		gw.advance(60 * ms)
		if hops > 0 {
			gw.endHop(id, 0, logic.HopCommitted, took[id%len(took)])
		} else if id > 300 {
			back++
		}
	}
	return back
}

// Work differs: one answer in eight that took ten times as long counted as a jam of its zone, and where nines count,
// with hosts half idle a tenth to a quarter of a quiet day was rolled back.
func TestLongWorkIsNoJam(t *testing.T) {
	nines := logic.CostModel{AvailabilityNines: 3}
	if back := twoZones(12, nines, readProfile).playTook(60*ms, 60*ms, 60*ms, 600*ms, 60*ms, 60*ms, 60*ms, 60*ms); back > 2 {
		t.Errorf("%d of 100 rolled back for long work", back)
	}
	// The look-alike: what takes long everywhere is one.
	if back := twoZones(12, nines, readProfile).playTook(300 * ms); back < 50 {
		t.Errorf("only %d of 100 rolled back in a jam", back)
	}
}
