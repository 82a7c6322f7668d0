package logic_test

import (
	"testing"
	"time"

	"spanmux/logic"
)

// hopsAfterWrongList returns the hops by host of a gateway whose list calls all hosts gone, or leaves them out, while
// they still answer, except for host 1, which accepts no connection from then on. If firstHostState is HostDraining, an
// earlier list has host 1 draining.
func hopsAfterWrongList(allowGoneHosts bool, kind logic.ListKind, firstHostState logic.HostState) map[logic.HostID]int {
	hosts := []logic.Host{readyHost(1, "a", 0), readyHost(2, "a", 0), readyHost(3, "a", 0), readyHost(4, "a", 0)}
	gw := startGatewayWithRules(60, 3, logic.InformationSources{MaxListPollInterval: 10 * time.Second},
		logic.CostModel{}, logic.DrainRule{AllowGoneHosts: allowGoneHosts},
		logic.HopRule{MaxHops: 3, MaxRetryAfter: time.Second}, []logic.Profile{paymentProfile}, nil, hosts...)
	gw.quiet = true
	gw.runCommitted(1, 60, 0)
	if firstHostState == logic.HostDraining {
		hosts[0].State = logic.HostDraining
		gw.HostListReceived(gw.now, logic.ListChanges, hosts[:1])
	}
	var listed []logic.Host
	if kind == logic.ListChanges {
		for _, h := range hosts {
			h.State = logic.HostGone
			listed = append(listed, h)
		}
	}
	gw.HostListReceived(gw.now, kind, listed)
	gw.hopsByHost = map[logic.HostID]int{}
	for id := 100; id < 300; id++ {
		gw.lastHost = 0
		gw.receive(id, 0, -1)
		gw.advance(60 * ms)
		for hopIndex, hostID := 0, gw.lastHost; hostID != 0; hopIndex, hostID = hopIndex+1, gw.lastHost {
			if gw.lastHost = 0; hostID == 1 {
				gw.endHop(id, hopIndex, logic.HopNoConnection, 60*ms)
			} else {
				gw.endHop(id, hopIndex, logic.HopCommitted, 60*ms)
			}
		}
	}
	return gw.hopsByHost
}

// A list called all thirty hosts gone while they still answered, and a gateway that relied on it rolled everything
// back for nine seconds (simulated day ieafa53). With DrainRule.AllowGoneHosts a list does not show which hosts run: own
// hops do.
func TestGoneHostsThatAnswerAreStillUsed(t *testing.T) {
	for _, kind := range []logic.ListKind{logic.ListChanges, logic.ListComplete} {
		hops := hopsAfterWrongList(true, kind, logic.HostReady)
		if hops[2]+hops[3]+hops[4] < 190 || hops[1] > 30 {
			t.Errorf("list %d: hops %v: want most at the three hosts that answer and few at host 1", kind, hops)
		}
	}
}

// The counterpart: without AllowGoneHosts a host that is gone gets no hops, and with it one that was draining before it
// was gone gets none either.
func TestGoneAndDrainingHostsGetNoHops(t *testing.T) {
	for _, kind := range []logic.ListKind{logic.ListChanges, logic.ListComplete} {
		if hops := hopsAfterWrongList(false, kind, logic.HostReady); len(hops) > 0 {
			t.Errorf("list %d: hops %v to hosts that are gone", kind, hops)
		}
		if hops := hopsAfterWrongList(true, kind, logic.HostDraining); hops[1] > 0 {
			t.Errorf("list %d: hops %v: host 1 was draining", kind, hops)
		}
	}
}
