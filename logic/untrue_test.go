package logic_test

import (
	"testing"
	"time"

	"spanmux/logic"
)

// untrueList plays a gateway whose list calls all hosts gone, or leaves them out, while they answer as ever, and returns the hops after that. The
// first host stops answering then in earnest.
func untrueList(only bool, kind logic.ListKind, first logic.HostState) map[logic.HostID]int {
	hosts := []logic.Host{host(1, "a", 0), host(2, "a", 0), host(3, "a", 0), host(4, "a", 0)}
	s := startRuled(60, 3, logic.InformationSources{MaxListPollInterval: 10 * time.Second}, logic.CostModel{}, logic.DrainRule{AllowGoneHosts: only},
		logic.HopRule{MaxHops: 3, MaxRetryAfter: time.Second}, []logic.Profile{payment}, nil, hosts...)
	s.quiet = true
	s.answered(1, 60, 0)
	if first == logic.HostDraining {
		hosts[0].State = logic.HostDraining
		s.HostListReceived(s.now, logic.ListChanges, hosts[:1])
	}
	var told []logic.Host
	if kind == logic.ListChanges {
		for _, h := range hosts {
			h.State = logic.HostGone
			told = append(told, h)
		}
	}
	s.HostListReceived(s.now, kind, told)
	s.hopsTo = map[logic.HostID]int{}
	for id := 100; id < 300; id++ {
		s.last = 0
		s.take(id, 0, -1)
		s.wait(60 * ms)
		for hop, to := 0, s.last; to != 0; hop, to = hop+1, s.last {
			if s.last = 0; to == 1 {
				s.end(id, hop, logic.HopNoConnection, 60*ms)
			} else {
				s.end(id, hop, logic.HopCommitted, 60*ms)
			}
		}
	}
	return s.hopsTo
}

// A list called all thirty hosts gone while they answered, and for nine seconds a gateway that believed it rolled all back (ieafa53). Where only
// drains bind, a list proves nothing of what runs: own hops do.
func TestUntrueListIsNotBelieved(t *testing.T) {
	for _, kind := range []logic.ListKind{logic.ListChanges, logic.ListComplete} {
		hops := untrueList(true, kind, logic.HostReady)
		if hops[2]+hops[3]+hops[4] < 190 || hops[1] > 30 {
			t.Errorf("list %d: hops %v: want the three that answer used, the one that does not left", kind, hops)
		}
	}
}

// The look-alikes: where being gone binds nothing goes there, and a host that drained first gets nothing either way.
func TestListThatBindsIsKept(t *testing.T) {
	for _, kind := range []logic.ListKind{logic.ListChanges, logic.ListComplete} {
		if hops := untrueList(false, kind, logic.HostReady); len(hops) > 0 {
			t.Errorf("list %d: hops %v to hosts that are gone", kind, hops)
		}
		if hops := untrueList(true, kind, logic.HostDraining); hops[1] > 0 {
			t.Errorf("list %d: hops %v: the first one drained", kind, hops)
		}
	}
}
