package logic_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"spanmux/logic"
)

// runTransactions plays n transactions 20 ms apart, each answered after what took gives for it, waits for the last, and tells how many went.
func (gw *testGateway) runTransactions(first, count, profile int, tenant func(id int) int, latency func(id int) time.Duration) (admitted int) {
	gw.quiet = true
	type answer struct {
		id int
		at time.Duration
	}
	var unanswered []answer
	for id := first; id < first+count || len(unanswered) > 0; id++ {
		if hopsBefore := gw.totalHops(); id < first+count {
			if gw.receive(id, profile, tenant(id)); gw.totalHops() > hopsBefore {
				admitted++
				unanswered = append(unanswered, answer{id, gw.now + latency(id)})
			}
		}
		gw.advance(20 * ms)
		unanswered = slices.DeleteFunc(unanswered, func(answer answer) bool {
			if answer.at > gw.now {
				return false
			}
			gw.endHop(answer.id, 0, logic.HopCommitted, latency(answer.id))
			return true
		})
	}
	gw.quiet = false
	return admitted
}

func (gw *testGateway) totalHops() (n int) {
	for _, hops := range gw.hopsByHost {
		n += hops
	}
	return n
}

func noTenant(int) int { return -1 }

func constantLatency(latency time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return latency }
}

// longOneIn is a long answer for one in n, else a short one.
func longOneIn(n int, long, short time.Duration) func(int) time.Duration {
	return func(id int) time.Duration {
		if id%n == 0 {
			return long
		}
		return short
	}
}

var peersShareSources = logic.InformationSources{PeersShareInFlight: true, MaxListPollInterval: 10 * time.Second}

func readyHosts(count int) (hosts []logic.Host) {
	for id := range count {
		hosts = append(hosts, readyHost(logic.HostID(id+1), "a", 1))
	}
	return hosts
}

// What a part of a profile waits for, wherever it goes, does not make the rest look as long: one in three answers took 900 ms, and
// the others were rolled back at hosts that answer them in 60. Where all are answered past their goal there is no such part, and
// they are rolled back but for some tries.
func Example_slowPartOfProfile() {
	for _, longEvery := range []int{3, 1} {
		gw := startGatewayAmong(2, 0, peersShareSources, []logic.Profile{readProfile}, nil, readyHosts(30)...)
		gw.runTransactions(1, 200, 0, noTenant, constantLatency(60*ms))
		gw.runTransactions(1001, 500, 0, noTenant, longOneIn(longEvery, 900*ms, 60*ms))
		fmt.Println(gw.runTransactions(2001, 200, 0, noTenant, longOneIn(longEvery, 900*ms, 60*ms)), "of 200 went")
	}
	// Output:
	// 184 of 200 went
	// 8 of 200 went
}

// A profile that no host answers in time is rolled back, but tried now and then: as others kept hosts heard of it had stayed barred
// for good after its cause was gone. While the cause lasts no more than tries go.
func Example_slowProfileRecovers() {
	gw := startGatewayAmong(2, 0, peersShareSources, []logic.Profile{readProfile, orderProfile}, nil, readyHosts(30)...)
	for round := range 50 {
		latency := 60 * ms
		if round >= 10 && round < 30 {
			latency = 900 * ms
		}
		gw.runTransactions(10000+100*round, 20, 0, noTenant, constantLatency(60*ms))
		if admitted := gw.runTransactions(20000+100*round, 20, 1, noTenant, constantLatency(latency)); round%10 > 7 {
			fmt.Println(latency, admitted, "of 20 went")
		}
	}
	// Output:
	// 60ms 20 of 20 went
	// 60ms 20 of 20 went
	// 900ms 0 of 20 went
	// 900ms 0 of 20 went
	// 900ms 0 of 20 went
	// 900ms 0 of 20 went
	// 60ms 20 of 20 went
	// 60ms 20 of 20 went
	// 60ms 20 of 20 went
	// 60ms 20 of 20 went
}

// Where revenue is by work a profile yields to one that earns half as much again, so that more of that go where hosts are full.
// Where it is by transaction the work is a guess, and what looks like half as much again may be none: neither yields.
func Example_yieldToHigherRevenueByWork() {
	highRevenue := orderProfile
	highRevenue.Revenue = 1.5
	for _, byWork := range []bool{true, false} {
		gw := startGatewayWithCosts(2, 0, peersShareSources, logic.CostModel{RevenueByWork: byWork}, []logic.Profile{readProfile, highRevenue}, nil, readyHosts(3)...)
		for i := range 2 {
			gw.runTransactions(1+1000*i, 200, i, noTenant, constantLatency(60*ms))
		}
		var admitted [2]int
		gw.quiet = true
		for id := 3000; id < 3040; id++ {
			hopsBefore := gw.totalHops()
			gw.receive(id, id%2, -1)
			admitted[id%2] += gw.totalHops() - hopsBefore
		}
		fmt.Println(admitted)
	}
	// Output:
	// [3 6]
	// [5 4]
}

// What no host answers in time, though it earns most, has none yield to it: all others had been rolled back with it.
func Example_noYieldToSlowProfile() {
	highRevenue := orderProfile
	highRevenue.Revenue = 5
	gw := startGatewayWithCosts(2, 0, peersShareSources, logic.CostModel{RevenueByWork: true}, []logic.Profile{readProfile, highRevenue}, nil, readyHosts(9)...)
	gw.runTransactions(1, 200, 0, noTenant, constantLatency(60*ms))
	admitted := 0
	for id := 1000; id < 5000; id += 100 {
		gw.runTransactions(id, 10, 1, noTenant, constantLatency(900*ms))
		admitted += gw.runTransactions(id+50, 10, 0, noTenant, constantLatency(60*ms))
	}
	fmt.Println(admitted, "of 400 went")
	// Output:
	// 400 of 400 went
}

// One tenant's transactions wait long at every host: no host is thought full, slow or broken by them, and the others go as ever.
// Where all tenants' do, it is the hosts.
func Example_slowTenant() {
	tenants := []logic.Tenant{{"slow", 20}, {"second", 20}, {"third", 20}}
	for _, allSlow := range []bool{false, true} {
		gw := startGatewayAmong(2, 0, peersShareSources, []logic.Profile{readProfile}, tenants, readyHosts(4)...)
		tenantOf := func(id int) int { return id % 3 }
		gw.runTransactions(1, 200, 0, tenantOf, constantLatency(60*ms))
		admitted := gw.runTransactions(3000, 600, 0, tenantOf, func(id int) time.Duration {
			if allSlow || id%3 == 0 {
				return 900 * ms
			}
			return 60 * ms
		})
		fmt.Println(admitted, "of 600 went")
	}
	// Output:
	// 556 of 600 went
	// 34 of 600 went
}

// Where one in three hops misses its goal whoever sends them, chance hardly takes a tenant for slow: with none at all 1245 go, from half of
// its hops on 1173 did, as its hops filled hosts unseen.
func Example_noOutlierTenantByChance() {
	var tenants []logic.Tenant
	for i := range 8 {
		tenants = append(tenants, logic.Tenant{Name: fmt.Sprint(i), QuotaPerSecond: 20})
	}
	gw := startGatewayAmong(2, 0, peersShareSources, []logic.Profile{readProfile}, tenants, readyHosts(2)...)
	tenantOf := func(id int) int { return id * 7919 % 8 }
	gw.runTransactions(1, 200, 0, tenantOf, constantLatency(60*ms))
	random, latencies := rand.New(rand.NewPCG(1, 2)), map[int]time.Duration{}
	for id := 1000; id < 3000; id++ {
		latencies[id] = []time.Duration{60 * ms, 500 * ms}[random.IntN(3)/2]
	}
	admitted := gw.runTransactions(1000, 2000, 0, tenantOf, func(id int) time.Duration { return latencies[id] })
	fmt.Println(admitted, "of 2000 went")
	// Output:
	// 1240 of 2000 went
}

// A tenant that other rules leave out while its transactions are out: their ends had been looked up among the tenants left.
func Example_tenantRemovedWithHopsInFlight() {
	tenants := []logic.Tenant{{"first", 20}, {"second", 20}}
	gw := startGateway([]logic.Profile{readProfile}, tenants, readyHost(1, "a", 1))
	gw.receive(1, 0, 1)
	gw.receive(2, 0, 1)
	gw.Reconfigure(gw.now, []logic.Profile{readProfile}, tenants[:1], logic.ColdHostRule{}, logic.DrainRule{}, logic.HopRule{MaxHops: 1},
		logic.InformationSources{}, logic.CostModel{})
	gw.advance(60 * ms)
	gw.endHop(1, 0, logic.HopCommitted, 60*ms)
	gw.endHop(2, 0, logic.HopError, 60*ms)
	gw.printLines()
	// Output:
	// 1000 tx 1 hop to 1 for 1000
	// 1000 tx 2 hop to 1 for 1000
	// 1060 tx 2 rolled back, come back after 0
}
