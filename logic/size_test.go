package logic_test

import (
	"testing"

	"spanmux/logic"
)

const (
	// largeFleet is how many gateways, and how many hosts, no part of the program may fall short of.
	largeFleet = 1024
	// largeAllocations is the most that one ask may allocate before so many hosts: some for the answer, and for a list of hosts that grows.
	largeAllocations = 64
)

// coordinator is a gateway among a thousand that draws for a thousand hosts of its zone.
func coordinator() *scene {
	var hosts []logic.Host
	for i := range largeFleet {
		hosts = append(hosts, host(logic.HostID(1+i), "a", i))
	}
	s := startAmong(largeFleet, 0, logic.InformationSources{PeersShareInFlight: true}, []logic.Profile{read}, nil, hosts...)
	s.quiet = true
	return s
}

// askEach has other gateways, one after the other, ask for a host.
func (s *scene) askEach(rounds int) {
	for i := range rounds {
		s.PeerMessageReceived(s.now, 1+i%(largeFleet-1), []logic.PeerEntry{{Kind: logic.EntryPickRequest}})
	}
}

// A draw among a thousand hosts does not allocate for each of them: it had, and of the time that a thousand asks took much went to that.
func TestAskAllocations(t *testing.T) {
	s := coordinator()
	s.askEach(100)
	if n := testing.AllocsPerRun(200, func() { s.askEach(1) }); n > largeAllocations {
		t.Errorf("%.0f allocations for an ask", n)
	}
}

// What an ask costs the gateway that draws for a thousand hosts.
func BenchmarkAsk(b *testing.B) {
	s := coordinator()
	b.ReportAllocs()
	for i := range b.N {
		if i%largeFleet == 0 {
			b.StopTimer()
			s = coordinator()
			b.StartTimer()
		}
		s.askEach(1)
	}
}
