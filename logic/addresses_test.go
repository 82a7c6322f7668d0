package logic_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"spanmux/logic"
)

// placedHost is an entry of a list.
type placedHost struct {
	logic.Host
	logic.Placement
}

// placed returns a host at an address, in its own cell. A start time of 0 is not known.
func placed(id logic.HostID, address string, startedMS int64) placedHost {
	return placedHost{readyHost(id, "a", int(id)), logic.Placement{Address: address, StartedMS: startedMS}}
}

// goneFrom returns a host that is gone.
func goneFrom(id logic.HostID, address string, startedMS int64) placedHost {
	host := placed(id, address, startedMS)
	host.State = logic.HostGone
	return host
}

// applyPlaced applies a list to a table.
func applyPlaced(table *logic.AddressTable, kind logic.ListKind, list []placedHost) []logic.Host {
	var hosts []logic.Host
	var placements []logic.Placement
	for _, entry := range list {
		hosts, placements = append(hosts, entry.Host), append(placements, entry.Placement)
	}
	return table.Apply(kind, hosts, placements)
}

// describe returns what a list has become, by host.
func describe(hosts []logic.Host) string {
	var parts []string
	for _, h := range hosts {
		switch {
		case h.SupersededBy != 0:
			parts = append(parts, fmt.Sprintf("%d superseded by %d", h.ID, h.SupersededBy))
		case h.State == logic.HostGone:
			parts = append(parts, fmt.Sprintf("%d gone", h.ID))
		case h.CellUncertain:
			parts = append(parts, fmt.Sprintf("%d of an uncertain cell", h.ID))
		default:
			parts = append(parts, fmt.Sprintf("%d there", h.ID))
		}
	}
	return strings.Join(parts, ", ")
}

// A host was once sent to under the ID, in the cell and with the load of another one at its address, for as long as both were listed. Each
// case is a series of lists, and what is to be applied in their place.
func TestAddressTable(t *testing.T) {
	type list struct {
		kind  logic.ListKind
		hosts []placedHost
		want  string
	}
	whole := func(want string, hosts ...placedHost) list {
		return list{logic.ListComplete, hosts, want}
	}
	change := func(want string, hosts ...placedHost) list {
		return list{logic.ListChanges, hosts, want}
	}
	for _, test := range []struct {
		name  string
		lists []list
	}{
		{"each at its address", []list{whole("1 there, 2 there", placed(1, "a", 0), placed(2, "b", 5))}},
		{"one list, in any order", []list{
			whole("1 superseded by 2, 2 there", placed(1, "a", 10), placed(2, "a", 20)),
			whole("2 there, 1 superseded by 2", placed(2, "a", 20), placed(1, "a", 10))}},
		{"a change brings the host that it supersedes along", []list{whole("1 there", placed(1, "a", 0)), change("2 there, 1 superseded by 2", placed(2, "a", 20)),
			change("")}},
		{"an earlier one comes late", []list{whole("2 there", placed(2, "a", 20)), change("1 superseded by 2", placed(1, "a", 10))}},
		{"no start times: the one that comes later", []list{whole("1 there", placed(1, "a", 0)), change("2 there, 1 superseded by 2", placed(2, "a", 0)),
			whole("1 superseded by 2, 2 there", placed(1, "a", 0), placed(2, "a", 0)), change("1 superseded by 2", placed(1, "a", 0))}},
		{"nothing tells", []list{whole("1 of an uncertain cell, 2 of an uncertain cell, 3 there", placed(1, "a", 0), placed(2, "a", 0), placed(3, "b", 0)),
			change("2 gone", goneFrom(2, "a", 0)), change("1 there", placed(1, "a", 0))}},
		{"the old one ends", []list{whole("1 superseded by 2, 2 there", placed(1, "a", 10), placed(2, "a", 20)), change("1 gone", goneFrom(1, "a", 10)),
			change("2 there", placed(2, "a", 20))}},
		{"the new one ends: the old one is not there again", []list{whole("1 superseded by 2, 2 there", placed(1, "a", 10), placed(2, "a", 20)),
			change("2 gone", goneFrom(2, "a", 20)), change("1 superseded by 2", placed(1, "a", 10)), whole("1 superseded by 2", placed(1, "a", 10))}},
		{"the new one is left out", []list{whole("1 superseded by 2, 2 there", placed(1, "a", 10), placed(2, "a", 20)), whole("1 superseded by 2", placed(1, "a", 10))}},
		{"nobody is listed for a while: nothing is known", []list{whole("1 superseded by 2, 2 there", placed(1, "a", 10), placed(2, "a", 20)), whole(""),
			whole("1 there", placed(1, "a", 10))}},
		{"a third one, which ends", []list{whole("1 superseded by 2, 2 there", placed(1, "a", 10), placed(2, "a", 20)), change("3 there, 2 superseded by 3", placed(3, "a", 30)),
			change("3 gone", goneFrom(3, "a", 30)), change("1 superseded by 3, 2 superseded by 3", placed(1, "a", 10), placed(2, "a", 20))}},
		{"two leave, the one that started last first", []list{whole("1 superseded by 3, 2 superseded by 3, 3 there", placed(1, "a", 10), placed(2, "a", 20), placed(3, "a", 30)),
			change("3 gone", goneFrom(3, "a", 30)), change("2 gone", goneFrom(2, "a", 20)), change("1 superseded by 3", placed(1, "a", 10))}},
		{"the old one starts again there", []list{whole("1 superseded by 2, 2 there", placed(1, "a", 10), placed(2, "a", 20)), change("1 there, 2 superseded by 1", placed(1, "a", 30))}},
		{"the old one starts again elsewhere", []list{whole("1 superseded by 2, 2 there", placed(1, "a", 10), placed(2, "a", 20)), change("1 there", placed(1, "b", 30)),
			change("2 there", placed(2, "a", 20))}},
		{"the new one starts again elsewhere", []list{whole("1 superseded by 2, 2 there", placed(1, "a", 10), placed(2, "a", 20)), change("2 there", placed(2, "b", 30)),
			change("1 superseded by 2", placed(1, "a", 10))}},
		{"the new one was never there", []list{whole("1 superseded by 2, 2 there", placed(1, "a", 10), placed(2, "a", 20)), change("2 there, 1 there", placed(2, "b", 20))}},
		{"the new one was never there, and a third one comes", []list{whole("1 superseded by 2, 2 there", placed(1, "a", 10), placed(2, "a", 20)),
			whole("1 there, 2 there", placed(1, "a", 10), placed(2, "b", 20)), change("3 there, 1 superseded by 3", placed(3, "a", 30))}},
		{"the new one starts again there", []list{whole("1 superseded by 2, 2 there", placed(1, "a", 10), placed(2, "a", 20)), change("2 there", placed(2, "a", 30)),
			change("1 superseded by 2", placed(1, "a", 10))}},
		{"no address", []list{whole("1 there, 2 there", placed(1, "", 10), placed(2, "", 20)), change("2 gone", goneFrom(2, "", 20))}},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := logic.NewAddressTable()
			for i, list := range test.lists {
				if got := describe(applyPlaced(table, list.kind, list.hosts)); got != list.want {
					t.Fatalf("list %d: %q, want %q", i, got, list.want)
				}
			}
		})
	}
}

// supersededBy returns the entry of a host that another one has superseded.
func supersededBy(old, successor logic.Host) logic.Host {
	old.State, old.SupersededBy = logic.HostGone, successor.ID
	return old
}

// A superseded host gets no hop and no probe, also where hosts that the list calls gone may be used.
func TestSupersededHostIsNotUsed(t *testing.T) {
	for _, allowGone := range []bool{false, true} {
		old, successor := readyHost(1, "a", 1), readyHost(2, "b", 2)
		gw := startGatewayWithRules(2, 0, logic.InformationSources{MaxListPollInterval: 10 * time.Second, ProbesReportLoad: true}, logic.CostModel{},
			logic.DrainRule{AllowGoneHosts: allowGone}, logic.HopRule{MaxHops: 3, MaxRetryAfter: time.Second}, []logic.Profile{readProfile}, nil, old, readyHost(3, "a", 1))
		gw.runCommitted(1, 20, 0)
		if gw.hopsByHost[1] == 0 {
			t.Fatal("host 1 was not used")
		}
		gw.HostListReceived(gw.now, logic.ListChanges, []logic.Host{successor, supersededBy(old, successor)})
		gw.hopsByHost, gw.quiet = map[logic.HostID]int{}, false
		gw.lines.Reset()
		gw.runCommitted(100, 50, 0)
		gw.advance(5 * time.Second)
		if gw.hopsByHost[1] > 0 || strings.Contains(gw.lines.String(), "probe 1\n") {
			t.Errorf("gone hosts allowed %t: %d hops to the superseded host, log %s", allowGone, gw.hopsByHost[1], gw.lines.String())
		}
	}
}

// hopsToColdHost returns the hops to a cold host within half a second, where hops in flight were sent to the host that it has superseded after it had
// started, and so many lists say so.
func hopsToColdHost(hopsBefore, lists int) int {
	old := readyHost(1, "a", 1)
	gw := startGatewayAmong(1, 0, logic.InformationSources{MaxListPollInterval: 10 * time.Second}, []logic.Profile{readProfile}, nil, old)
	gw.quiet = true
	gw.runCommitted(1, 50, 0)
	startedAt := gw.now
	gw.advance(100 * ms)
	for id := range hopsBefore {
		gw.receive(1000+id, 0, -1)
	}
	successor := readyHost(2, "a", 2)
	successor.StartedAt = startedAt
	for range lists {
		gw.HostListReceived(gw.now, logic.ListChanges, []logic.Host{successor, supersededBy(old, successor)})
	}
	for id := range 500 {
		gw.receive(2000+id, 0, -1)
		gw.endHop(2000+id, 0, logic.HopCommitted, 60*ms)
		gw.advance(time.Millisecond)
	}
	return gw.hopsByHost[2]
}

// What had been sent to a host that was superseded meanwhile was once neither load of its successor nor counted in the budget of that while it was cold.
func TestHopsOfSupersededHostCountAtSuccessor(t *testing.T) {
	alone := hopsToColdHost(0, 1)
	if alone < 8 {
		t.Fatalf("%d hops to the cold host", alone)
	}
	for _, before := range []int{alone / 2, alone, 2 * alone} {
		if after := hopsToColdHost(before, 1); after > max(0, alone-before) {
			t.Errorf("%d hops to the cold host, and %d before to the one that it superseded; its budget allows %d", after, before, alone)
		}
	}
	if once, again := hopsToColdHost(2, 1), hopsToColdHost(2, 3); again != once {
		t.Errorf("%d hops to the cold host, %d where the list says three times that it has superseded the other one", once, again)
	}
}

// The hops in flight at a superseded host are in flight at its successor, if they were sent after that had started, until they end.
func TestHopsInFlightMoveToSuccessor(t *testing.T) {
	old, successor := readyHost(1, "a", 1), readyHost(2, "a", 2)
	gw := startGatewayAmong(2, 0, logic.InformationSources{MaxListPollInterval: 10 * time.Second, PeersShareInFlight: true}, []logic.Profile{readProfile}, nil, old)
	gw.receive(1, 0, -1)
	gw.advance(10 * ms)
	successor.StartedAt = gw.now
	gw.receive(2, 0, -1)
	gw.receive(3, 0, -1)
	gw.lines.Reset()
	gw.HostListReceived(gw.now, logic.ListChanges, []logic.Host{successor, supersededBy(old, successor)})
	gw.advance(100 * ms)
	if lines := gw.lines.String(); !strings.Contains(lines, "host 2, 2 hops") {
		t.Errorf("two hops were sent after host 2 had started, one before:\n%s", lines)
	}
	gw.lines.Reset()
	for id := 1; id <= 3; id++ {
		gw.endHop(id, 0, logic.HopCommitted, 110*ms)
	}
	gw.advance(100 * ms)
	if lines := gw.lines.String(); !strings.Contains(lines, "host 2, 0 hops") {
		t.Errorf("all hops have ended:\n%s", lines)
	}
}

// A host that was listed in another cell as a hop of it ended had the request repeated in the new cell, or in the old one, as the list had it.
func TestRepeatAfterHostMovesToAnotherCell(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome logic.HopOutcome
		repeat  bool
	}{{"may have run", logic.HopError, false}, {"never ran", logic.HopHostFull, true}} {
		gw := startGateway([]logic.Profile{orderProfile}, nil, readyHost(1, "a", 1))
		gw.receive(1, 0, -1)
		gw.HostListReceived(gw.now, logic.ListChanges, []logic.Host{readyHost(1, "a", 2), readyHost(2, "a", 1), readyHost(3, "a", 2)})
		gw.advance(10 * ms)
		gw.endHop(1, 0, test.outcome, 10*ms)
		if repeated := gw.hopsByHost[2]+gw.hopsByHost[3] > 0; repeated != test.repeat {
			t.Errorf("%s: repeated %t\n%s", test.name, repeated, gw.lines.String())
		}
	}
}

// The entry of a host that has gone may say less of it than the one before: a hop that had run there was repeated in the cell of that entry.
func TestRepeatAfterHostIsGone(t *testing.T) {
	gone := readyHost(1, "", 0)
	gone.State = logic.HostGone
	gw := startGateway([]logic.Profile{orderProfile}, nil, readyHost(1, "a", 1))
	gw.receive(1, 0, -1)
	gw.HostListReceived(gw.now, logic.ListChanges, []logic.Host{gone, readyHost(2, "a", 1), readyHost(3, "a", 0)})
	gw.advance(10 * ms)
	gw.endHop(1, 0, logic.HopError, 10*ms)
	if gw.hopsByHost[2] != 1 || gw.hopsByHost[3] != 0 {
		t.Errorf("hops by host: %v, want the repeat at host 2\n%s", gw.hopsByHost, gw.lines.String())
	}
}

// What a gateway has in service after any series of lists is what the whole list as it stands would leave in service, and no two hosts of which
// one is known to have started later are in service at one address.
func TestAddressTableProperties(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 79))
		table, listed, inService := logic.NewAddressTable(), map[logic.HostID]placedHost{}, map[logic.HostID]bool{}
		apply := func(kind logic.ListKind, list []placedHost) {
			if kind != logic.ListChanges {
				clear(listed)
				clear(inService)
			}
			for _, entry := range list {
				if listed[entry.ID] = entry; entry.State == logic.HostGone {
					delete(listed, entry.ID)
				}
			}
			for _, host := range applyPlaced(table, kind, list) {
				if inService[host.ID] = host.State != logic.HostGone; !inService[host.ID] {
					delete(inService, host.ID)
				}
			}
		}
		for step := range 100 {
			var list []placedHost
			for id := logic.HostID(1); id <= 5; id++ {
				if random.IntN(2) == 0 {
					continue
				}
				entry := placed(id, []string{"a", "b", ""}[random.IntN(3)], int64(10*random.IntN(4)))
				if random.IntN(2) == 0 && listed[id].ID != 0 {
					entry = listed[id]
				}
				if entry.State = logic.HostReady; random.IntN(4) == 0 {
					entry.State = logic.HostGone
				}
				list = append(list, entry)
			}
			kind := logic.ListChanges
			if random.IntN(4) == 0 {
				kind = logic.ListComplete
			}
			apply(kind, list)
			for id := range inService {
				for other := range inService {
					first, second := listed[id], listed[other]
					if first.Address != "" && first.Address == second.Address && first.StartedMS < second.StartedMS {
						t.Fatalf("seed %d, step %d: %v and %v are in service at one address", seed, step, first, second)
					}
				}
			}
			before := maps.Clone(inService)
			if apply(logic.ListChanges, slices.Collect(maps.Values(listed))); !maps.Equal(before, inService) {
				t.Fatalf("seed %d, step %d: in service %v, by the whole list %v", seed, step, before, inService)
			}
		}
	}
}
