package logic_test

import (
	"testing"

	"spanmux/logic"
)

const (
	// largeFleetSize is how many gateways, and how many hosts, no part of the program may fall short of.
	largeFleetSize = 1024
	// maxAllocationsPerPick is the most that one ask may allocate before so many hosts: some for the answer, and for a list of hosts that grows.
	maxAllocationsPerPick = 64
)

// startLargeCoordinator is a gateway among a thousand that draws for a thousand hosts of its zone.
func startLargeCoordinator() *testGateway {
	var hosts []logic.Host
	for i := range largeFleetSize {
		hosts = append(hosts, readyHost(logic.HostID(1+i), "a", i))
	}
	gw := startGatewayAmong(largeFleetSize, 0, logic.InformationSources{PeersShareInFlight: true}, []logic.Profile{readProfile}, nil, hosts...)
	gw.quiet = true
	return gw
}

// sendPickRequests has other gateways, one after the other, ask for a host.
func (gw *testGateway) sendPickRequests(count int) {
	for i := range count {
		gw.PeerMessageReceived(gw.now, 1+i%(largeFleetSize-1), []logic.PeerEntry{{Kind: logic.EntryPickRequest}})
	}
}

// A draw among a thousand hosts does not allocate for each of them: it had, and of the time that a thousand asks took much went to that.
func TestPickRequestAllocations(t *testing.T) {
	gw := startLargeCoordinator()
	gw.sendPickRequests(100)
	if allocations := testing.AllocsPerRun(200, func() { gw.sendPickRequests(1) }); allocations > maxAllocationsPerPick {
		t.Errorf("%.0f allocations for an ask", allocations)
	}
}

// What an ask costs the gateway that draws for a thousand hosts.
func BenchmarkPickRequest(b *testing.B) {
	gw := startLargeCoordinator()
	b.ReportAllocs()
	for i := range b.N {
		if i%largeFleetSize == 0 {
			b.StopTimer()
			gw = startLargeCoordinator()
			b.StartTimer()
		}
		gw.sendPickRequests(1)
	}
}
