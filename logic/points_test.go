package logic_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"spanmux/logic"
)

// each plays n transactions 20 ms apart, each answered after what took gives for it, waits for the last, and tells how many went.
func (gw *testGateway) each(first, n, profile int, tenant func(id int) int, took func(id int) time.Duration) (went int) {
	gw.quiet = true
	type answer struct {
		id int
		at time.Duration
	}
	var due []answer
	for id := first; id < first+n || len(due) > 0; id++ {
		if was := gw.all(); id < first+n {
			if gw.receive(id, profile, tenant(id)); gw.all() > was {
				went++
				due = append(due, answer{id, gw.now + took(id)})
			}
		}
		gw.advance(20 * ms)
		due = slices.DeleteFunc(due, func(k answer) bool {
			if k.at > gw.now {
				return false
			}
			gw.endHop(k.id, 0, logic.HopCommitted, took(k.id))
			return true
		})
	}
	gw.quiet = false
	return went
}

func (gw *testGateway) all() (n int) {
	for _, k := range gw.hopsByHost {
		n += k
	}
	return n
}

func nobody(int) int { return -1 }

func steady(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

// oneIn is a long answer for one in n, else a short one.
func oneIn(n int, long, short time.Duration) func(int) time.Duration {
	return func(id int) time.Duration {
		if id%n == 0 {
			return long
		}
		return short
	}
}

var tells = logic.InformationSources{PeersShareInFlight: true, MaxListPollInterval: 10 * time.Second}

func pool(n int) (hosts []logic.Host) {
	for id := range n {
		hosts = append(hosts, readyHost(logic.HostID(id+1), "a", 1))
	}
	return hosts
}

// What a part of a profile waits for, wherever it goes, does not make the rest look as long: one in three answers took 900 ms, and
// the others were rolled back at hosts that answer them in 60. Where all are answered past their goal there is no such part, and
// they are rolled back but for some tries.
func Example_partOfAProfile() {
	for _, n := range []int{3, 1} {
		gw := startGatewayAmong(2, 0, tells, []logic.Profile{readProfile}, nil, pool(30)...)
		gw.each(1, 200, 0, nobody, steady(60*ms))
		gw.each(1001, 500, 0, nobody, oneIn(n, 900*ms, 60*ms))
		fmt.Println(gw.each(2001, 200, 0, nobody, oneIn(n, 900*ms, 60*ms)), "of 200 went")
	}
	// Output:
	// 184 of 200 went
	// 8 of 200 went
}

// A profile that no host answers in time is rolled back, but tried now and then: as others kept hosts heard of it had stayed barred
// for good after its cause was gone. While the cause lasts no more than tries go.
func Example_profileTriedAgain() {
	gw := startGatewayAmong(2, 0, tells, []logic.Profile{readProfile, orderProfile}, nil, pool(30)...)
	for id := range 50 {
		took := 60 * ms
		if id >= 10 && id < 30 {
			took = 900 * ms
		}
		gw.each(10000+100*id, 20, 0, nobody, steady(60*ms))
		if n := gw.each(20000+100*id, 20, 1, nobody, steady(took)); id%10 > 7 {
			fmt.Println(took, n, "of 20 went")
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
func Example_yieldsToHalfAsMuchAgain() {
	dear := orderProfile
	dear.Revenue = 1.5
	for _, byWork := range []bool{true, false} {
		gw := startGatewayWithCosts(2, 0, tells, logic.CostModel{RevenueByWork: byWork}, []logic.Profile{readProfile, dear}, nil, pool(3)...)
		for i := range 2 {
			gw.each(1+1000*i, 200, i, nobody, steady(60*ms))
		}
		var went [2]int
		gw.quiet = true
		for id := 3000; id < 3040; id++ {
			was := gw.all()
			gw.receive(id, id%2, -1)
			went[id%2] += gw.all() - was
		}
		fmt.Println(went)
	}
	// Output:
	// [3 6]
	// [5 4]
}

// What no host answers in time, though it earns most, has none yield to it: all others had been rolled back with it.
func Example_yieldsToNoneBarred() {
	dear := orderProfile
	dear.Revenue = 5
	gw := startGatewayWithCosts(2, 0, tells, logic.CostModel{RevenueByWork: true}, []logic.Profile{readProfile, dear}, nil, pool(9)...)
	gw.each(1, 200, 0, nobody, steady(60*ms))
	went := 0
	for id := 1000; id < 5000; id += 100 {
		gw.each(id, 10, 1, nobody, steady(900*ms))
		went += gw.each(id+50, 10, 0, nobody, steady(60*ms))
	}
	fmt.Println(went, "of 400 went")
	// Output:
	// 400 of 400 went
}

// One tenant's transactions wait long at every host: no host is thought full, slow or broken by them, and the others go as ever.
// Where all tenants' do, it is the hosts.
func Example_slowTenant() {
	tenants := []logic.Tenant{{"slow", 20}, {"second", 20}, {"third", 20}}
	for _, all := range []bool{false, true} {
		gw := startGatewayAmong(2, 0, tells, []logic.Profile{readProfile}, tenants, pool(4)...)
		third := func(id int) int { return id % 3 }
		gw.each(1, 200, 0, third, steady(60*ms))
		n := gw.each(3000, 600, 0, third, func(id int) time.Duration {
			if all || id%3 == 0 {
				return 900 * ms
			}
			return 60 * ms
		})
		fmt.Println(n, "of 600 went")
	}
	// Output:
	// 556 of 600 went
	// 34 of 600 went
}

// Where one in three hops misses its goal whoever sends them, chance hardly takes a tenant for slow: with none at all 1245 go, from half of
// its hops on 1173 did, as its hops filled hosts unseen.
func Example_noTenantSlowByChance() {
	var tenants []logic.Tenant
	for i := range 8 {
		tenants = append(tenants, logic.Tenant{Name: fmt.Sprint(i), QuotaPerSecond: 20})
	}
	gw := startGatewayAmong(2, 0, tells, []logic.Profile{readProfile}, tenants, pool(2)...)
	anybody := func(id int) int { return id * 7919 % 8 }
	gw.each(1, 200, 0, anybody, steady(60*ms))
	dice, took := rand.New(rand.NewPCG(1, 2)), map[int]time.Duration{}
	for id := 1000; id < 3000; id++ {
		took[id] = []time.Duration{60 * ms, 500 * ms}[dice.IntN(3)/2]
	}
	n := gw.each(1000, 2000, 0, anybody, func(id int) time.Duration { return took[id] })
	fmt.Println(n, "of 2000 went")
	// Output:
	// 1240 of 2000 went
}

// A tenant that other rules leave out while its transactions are out: their ends had been looked up among the tenants left.
func Example_tenantLeavesWhileOut() {
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
