package logic_test

import (
	"fmt"
	"testing"
	"time"

	"spanmux/logic"
)

// What one transaction costs from its arrival to its end, by how many hosts there are and by what is told of them: with 250 hosts and
// lists that change twice a second it had cost 22 us, as each draw weighed all hosts and each list sorted them.
func BenchmarkDecision(b *testing.B) {
	for _, shape := range []struct {
		name string
		from logic.InformationSources
	}{{"sizes", logic.InformationSources{CapacityHints: logic.LiveCapacity}}, {"blind", logic.InformationSources{}}, {"reports", logic.InformationSources{ResponsesReportLoad: true}}} {
		for _, hosts := range []int{12, 50, 250, 1000} {
			b.Run(fmt.Sprintf("%s/%d", shape.name, hosts), func(b *testing.B) { decide(b, shape.from, hosts) })
		}
	}
}

// decide plays one gateway of 200 at 50 transactions a second, with a list twice a second that tells other sizes each time.
func decide(b *testing.B, from logic.InformationSources, hosts int) {
	list := make([]logic.Host, hosts)
	for i := range list {
		list[i] = worldHost(logic.HostID(i + 1))
	}
	from.MaxListPollInterval = 10 * time.Second
	s := startAmong(200, 0, from, []logic.Profile{read}, nil, list...)
	s.quiet = true
	committed := 0
	play := func(id int) {
		if id%25 == 0 {
			for i := range list {
				list[i].CapacityHint = 1 / (1 + 0.1*float64((id+i)%7))
			}
			s.HostListReceived(s.now, logic.ListCached, list)
		}
		s.last = 0
		s.take(id, 0, -1)
		s.wait(20 * ms)
		if s.last != 0 {
			s.end(id, 0, logic.HopCommitted, 20*ms)
			committed++
		}
	}
	for id := range 500 {
		play(id)
	}
	b.ReportAllocs()
	b.ResetTimer()
	before := committed
	for i := range b.N {
		play(500 + i)
	}
	if committed-before < b.N*9/10 {
		b.Fatalf("%d of %d committed: the gateway gave up, so nothing was measured", committed-before, b.N)
	}
}
