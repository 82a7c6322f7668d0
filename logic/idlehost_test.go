package logic_test

import (
	"fmt"
	"time"

	"spanmux/logic"
)

// A host that answered some in 0.3 ms, and then some in 20 ms as its machine was busy, is idle for ten seconds, far under the goal of 0.4 s. What
// comes is to go to it: rolled back for what is expected against the least time of late, nothing is ever learnt anew (Example_replaced of cmd/spanmux under load).
func Example_idleHost() {
	gw := startGatewayAmong(1, 0, logic.InformationSources{MaxListPollInterval: 10 * time.Second}, []logic.Profile{readProfile}, nil, readyHost(1, "a", 1))
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

// Hosts of a kind that tells nothing, as others do, were taken for full, always: what is out was divided by a knee of zero. They got one hop of 538
// and the one that tells all others (seven of nine drawn harmless days of such shapes gave up early). They are as good as any now.
func Example_hostKindWithoutReports() {
	hosts := []logic.Host{readyHost(1, "a", 1), readyHost(2, "a", 1), readyHost(3, "a", 1)}
	hosts[1].Kind, hosts[2].Kind = "crate", "crate"
	gw := startGatewayAmong(100, 0, logic.InformationSources{MaxListPollInterval: 10 * time.Second, ResponsesReportLoad: true, ResponsesReportInFlight: true}, []logic.Profile{readProfile}, nil, hosts...)
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
			gw.HopEnded(gw.now, logic.TxID(id), 0, logic.HopResult{Outcome: logic.HopCommitted, Latency: 20 * ms, Load: load}, true)
		}
	}
	fmt.Println("hops to hosts that tell nothing, over 200:", gw.hopsByHost[2]+gw.hopsByHost[3] > 200)
	// Output:
	// hops to hosts that tell nothing, over 200: true
}
