package logic_test

import (
	"fmt"
	"testing"
	"time"

	"spanmux/logic"
)

// BenchmarkDecision measures one transaction from its arrival to its end, by the number of hosts and by what is known
// of them. With 250 hosts and a list that changes twice a second it had taken 22 us, as each pick computed
// the weights of all hosts and each list sorted them.
func BenchmarkDecision(b *testing.B) {
	for _, scenario := range []struct {
		name    string
		sources logic.InformationSources
	}{
		{"sizes", logic.InformationSources{CapacityHints: logic.LiveCapacity}},
		{"blind", logic.InformationSources{}},
		{"reports", logic.InformationSources{ResponsesReportLoad: true}},
	} {
		for _, hosts := range []int{12, 50, 250, 1000} {
			b.Run(fmt.Sprintf("%s/%d", scenario.name, hosts),
				func(b *testing.B) { benchmarkDecisions(b, scenario.sources, hosts) })
		}
	}
}

// benchmarkDecisions runs one gateway of 200 at 50 transactions per second, with a list twice a second whose capacity
// hints differ each time.
func benchmarkDecisions(b *testing.B, sources logic.InformationSources, hosts int) {
	list := make([]logic.Host, hosts)
	for i := range list {
		list[i] = hostWithID(logic.HostID(i + 1))
	}
	sources.MaxListPollInterval = 10 * time.Second
	gw := startGatewayAmong(200, 0, sources, []logic.Profile{readProfile}, nil, list...)
	gw.quiet = true
	committed := 0
	runTransaction := func(id int) {
		if id%25 == 0 {
			for i := range list {
				list[i].CapacityHint = 1 / (1 + 0.1*float64((id+i)%7))
			}
			gw.HostListReceived(gw.now, logic.ListCached, list)
		}
		gw.lastHost = 0
		gw.receive(id, 0, -1)
		gw.advance(20 * ms)
		if gw.lastHost != 0 {
			gw.endHop(id, 0, logic.HopCommitted, 20*ms)
			committed++
		}
	}
	for id := range 500 {
		runTransaction(id)
	}
	b.ReportAllocs()
	b.ResetTimer()
	before := committed
	for i := range b.N {
		runTransaction(500 + i)
	}
	if committed-before < b.N*9/10 {
		b.Fatalf("%d of %d committed: the others were rejected, so the time is not that of a decision", committed-before, b.N)
	}
}
