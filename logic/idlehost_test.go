package logic_test

import (
	"fmt"
	"time"

	"spanmux/logic"
)

// A host answered some hops in 0.3 ms, then some in 20 ms as its machine was busy, and is now idle for ten seconds.
// Both times are far below the service goal of 0.4 s, so transactions must go there. When they were rejected because
// the expected time exceeds the least recent service time, nothing new was ever learned about the host (seen in
// Example_replaced of cmd/spanmux under load).
func Example_idleHost() {
	gw := startGatewayAmong(1, 0, logic.InformationSources{MaxListPollInterval: 10 * time.Second},
		[]logic.Profile{readProfile}, nil, readyHost(1, "a", 1))
	gw.quiet = true
	id := 0
	runTransactions := func(count int, latency, pause time.Duration) {
		for range count {
			id++
			gw.receive(id, 0, -1)
			gw.advance(latency)
			gw.endHop(id, 0, logic.HopCommitted, latency)
			gw.advance(pause)
		}
	}
	runTransactions(20, 300*time.Microsecond, 0)
	runTransactions(12, 20*ms, 0)
	gw.hopsByHost = map[logic.HostID]int{}
	runTransactions(100, 300*time.Microsecond, 100*ms)
	fmt.Println("hops, of 100:", gw.hopsByHost[1])
	// Output:
	// hops, of 100: 100
}

// Hosts of a kind that reports no load, next to others that do, always counted as full, because their hops in flight
// were divided by a concurrency limit of zero. They got one hop of 538 and the reporting host all others (in seven of
// nine random simulated days without faults but with such hosts, gateways gave up transactions early). They are now
// used as much as any.
func Example_hostKindWithoutReports() {
	hosts := []logic.Host{readyHost(1, "a", 1), readyHost(2, "a", 1), readyHost(3, "a", 1)}
	hosts[1].Kind, hosts[2].Kind = "crate", "crate"
	gw := startGatewayAmong(100, 0, logic.InformationSources{MaxListPollInterval: 10 * time.Second,
		ResponsesReportLoad: true, ResponsesReportInFlight: true}, []logic.Profile{readProfile}, nil, hosts...)
	gw.quiet = true
	for id := 1; id <= 600; id++ {
		gw.lastHost = 0
		gw.receive(id, 0, -1)
		gw.advance(20 * ms)
		load := logic.LoadReport{InFlight: 2, Queued: -1, Utilization: 0.3, RequestsPerSecond: -1, LatencyMs: -1}
		if gw.lastHost >= 2 {
			load = logic.NoLoadReport
		}
		if gw.lastHost != 0 {
			gw.HopEnded(gw.now, logic.TxID(id), 0,
				logic.HopResult{Outcome: logic.HopCommitted, Latency: 20 * ms, Load: load}, true)
		}
	}
	fmt.Println("hops to hosts without load reports, over 200:", gw.hopsByHost[2]+gw.hopsByHost[3] > 200)
	// Output:
	// hops to hosts without load reports, over 200: true
}
