package logic_test

import (
	"testing"

	"spanmux/logic"
)

const (
	// largeFleetSize is the number of gateways, and of hosts, that every part of the program must be able to handle.
	largeFleetSize = 1024
	// maxAllocationsPerPick bounds the allocations for a pick among so many hosts: some for the response, and some for a
	// list of hosts that grows.
	maxAllocationsPerPick = 64
)

// startLargeCoordinator starts one of a thousand gateways that is the coordinator of a zone with a thousand hosts.
func startLargeCoordinator() *testGateway {
	var hosts []logic.Host
	for i := range largeFleetSize {
		hosts = append(hosts, readyHost(logic.HostID(1+i), "a", i))
	}
	gw := startGatewayAmong(largeFleetSize, 0, logic.InformationSources{PeersShareInFlight: true},
		[]logic.Profile{readProfile}, nil, hosts...)
	gw.quiet = true
	return gw
}

// sendPickRequests has other gateways request picks, one after the other.
func (gw *testGateway) sendPickRequests(count int) {
	for i := range count {
		gw.PeerMessageReceived(gw.now, 1+i%(largeFleetSize-1), []logic.PeerEntry{{Kind: logic.EntryPickRequest}})
	}
}

// A pick among a thousand hosts must not allocate for each of them. It had, and much of the time of a thousand pick
// requests went to that.
func TestPickRequestAllocations(t *testing.T) {
	gw := startLargeCoordinator()
	gw.sendPickRequests(100)
	if allocations := testing.AllocsPerRun(200, func() { gw.sendPickRequests(1) }); allocations > maxAllocationsPerPick {
		t.Errorf("%.0f allocations for a pick request", allocations)
	}
}

// BenchmarkPickRequest measures a pick request at the coordinator of a zone with a thousand hosts.
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
