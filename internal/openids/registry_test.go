package openids

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// newTestRegistry returns a registry whose clock the test moves.
func newTestRegistry() (*Registry, *time.Duration) {
	now := new(time.Duration)
	r := New()
	r.now = func() time.Duration { return *now }
	return r, now
}

// An ID can be claimed again once its transaction is over, or later if a host may still run it.
func ExampleRegistry_Claim() {
	r, now := newTestRegistry()
	fmt.Println("claimed:", r.Claim("a"), "again:", r.Claim("a"), "another:", r.Claim("b"))
	r.Release("a")
	fmt.Println("released:", r.Claim("a"))
	r.Retain("a")
	fmt.Println("retained:", r.Claim("a"))
	*now += endedTTL
	fmt.Println("later:", r.Claim("a"))
	r.Release("a")
	r.RetainReleased("a")
	fmt.Println("released, then retained:", r.Claim("a"))
	*now += endedTTL
	fmt.Println("later:", r.Claim("a"))
	for range 100 {
		*now += RenewInterval
		r.Renew()
	}
	fmt.Println("open for long:", r.Claim("a"))
	*now += endedTTL
	fmt.Println("its process has died:", r.Claim("a"))
	*now += 2 * RenewInterval
	fmt.Println("later:", r.Claim("a"))
	// Output:
	// claimed: true again: false another: true
	// released: true
	// retained: false
	// later: true
	// released, then retained: false
	// later: true
	// open for long: false
	// its process has died: false
	// later: true
}

// The claim of an ID that goes to another process is that one's to renew and to end.
func ExampleRegistry_Adopt() {
	before, now := newTestRegistry()
	after := newRegistry(before.table, before.now)
	another := newRegistry(before.table, before.now)
	wait := func(renewers ...*Registry) {
		for range 30 {
			*now += RenewInterval
			for _, r := range renewers {
				r.Renew()
			}
		}
	}
	fmt.Println("claimed:", before.Claim("a"), "adopted:", after.Adopt("a"))
	before.HandOver("a")
	wait(after)
	fmt.Println("handed over:", another.Claim("a"))
	after.Release("a")
	before.Renew()
	fmt.Println("ended:", another.Claim("a"))
	another.Retain("a")
	fmt.Println("retained:", after.Adopt("a"), after.Claim("a"))
	wait()
	fmt.Println("not claimed by another version:", after.Adopt("a"), another.Claim("a"))
	wait(before, another)
	fmt.Println("its process has died:", another.Claim("a"))
	// Output:
	// claimed: true adopted: true
	// handed over: false
	// ended: true
	// retained: false false
	// not claimed by another version: true false
	// its process has died: true
}

// A process that was stopped for longer than its leases last ends nothing that is another's by then.
func ExampleRegistry_Renew_stopped() {
	stopped, now := newTestRegistry()
	other := newRegistry(stopped.table, stopped.now)
	for _, end := range []func(string){stopped.Release, stopped.Retain, func(string) { stopped.Renew() }} {
		id := fmt.Sprint(*now)
		stopped.Claim(id)
		*now += leaseTTL
		fmt.Print("claimed by the other: ", other.Claim(id))
		end(id)
		fmt.Print(", still its: ", !stopped.Claim(id))
		other.Release(id)
		fmt.Println(", free in the end:", stopped.Claim(id))
	}
	// Output:
	// claimed by the other: true, still its: true, free in the end: true
	// claimed by the other: true, still its: true, free in the end: true
	// claimed by the other: true, still its: true, free in the end: true
}

// The IDs of transactions that are over give way to those of open ones, which never do.
func TestFullRegistry(t *testing.T) {
	r, now := newTestRegistry()
	for i := range 4 * tableEntries {
		if id := fmt.Sprint("ended", i); r.Claim(id) {
			r.Retain(id)
		} else {
			t.Fatalf("%s not claimed", id)
		}
	}
	open := 0
	for i := range tableEntries / 4 {
		if r.Claim(fmt.Sprint("open", i)) {
			open++
		}
	}
	if open < tableEntries/4*99/100 {
		t.Errorf("%d of %d claimed", open, tableEntries/4)
	}
	for i := range tableEntries / 4 {
		if id := fmt.Sprint("open", i); r.Claim(id) {
			open--
		}
	}
	if open < tableEntries/4*99/100 {
		t.Errorf("%d still open", open)
	}
	*now += time.Second
}

// The clock of an entry starts anew after some days; entries from before that are not taken for live ones for good.
func TestRegistryClockWraps(t *testing.T) {
	r, now := newTestRegistry()
	wrap := time.Duration(1<<timeBits) * timeUnit
	for *now = 0; *now < 2*wrap; *now += wrap / 50 {
		id := fmt.Sprint(*now)
		if !r.Claim(id) || r.Claim(id) {
			t.Fatalf("wrong claim at %v", *now)
		}
		*now += leaseTTL + 2*timeUnit
		if !r.Claim(id) {
			t.Fatalf("expired entry is live at %v", *now)
		}
		r.Release(id)
	}
}

// Two processes never both claim an ID, however close their calls come.
func TestSharedRegistry(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	var registries [2]*Registry
	for i := range registries {
		var err error
		if registries[i], err = OpenShared(path); err != nil {
			t.Fatal(err)
		}
	}
	const ids = 20_000
	var claims [ids]atomic.Int32
	var running sync.WaitGroup
	for _, r := range registries {
		running.Add(1)
		go func() {
			defer running.Done()
			for i := range ids {
				if r.Claim(fmt.Sprint(i)) {
					claims[i].Add(1)
				}
			}
		}()
	}
	running.Wait()
	none := 0
	for i := range claims {
		switch claims[i].Load() {
		case 0:
			none++
		case 2:
			t.Fatalf("ID %d claimed twice", i)
		}
	}
	if none > ids/10 {
		t.Errorf("%d IDs claimed by none", none)
	}
	owner, other := registries[0], registries[1]
	if !owner.Claim("mine") {
		t.Fatal("not claimed")
	}
	if other.Release("mine"); other.Claim("mine") {
		t.Error("an ID that another process has claimed was released")
	}
	if owner.Release("mine"); !other.Claim("mine") {
		t.Error("an ID that one process released is not free for the other")
	}
}

// An ID was once refused because another process claimed another ID, with an entry in the same place, at that moment.
func TestClaimsBesideOtherProcess(t *testing.T) {
	first := New()
	second := newRegistry(first.table, first.now)
	var ids []string // of one bucket
	place, _ := first.bucketOf("0")
	for i := 0; len(ids) < 2; i++ {
		if bucket, _ := first.bucketOf(fmt.Sprint(i)); &bucket[0] == &place[0] {
			ids = append(ids, fmt.Sprint(i))
		}
	}
	var refused atomic.Int32
	var running sync.WaitGroup
	for i, r := range []*Registry{first, second} {
		running.Go(func() {
			for range 200_000 {
				if !r.Claim(ids[i]) {
					refused.Add(1)
				}
				r.Release(ids[i])
			}
		})
	}
	running.Wait()
	if n := refused.Load(); n > 0 {
		t.Errorf("%d claims refused", n)
	}
}

// A file that is not a table is refused, and left as it is.
func TestOpenSharedWrongFile(t *testing.T) {
	if _, err := OpenShared(t.TempDir()); err == nil {
		t.Error("a folder was opened")
	}
}
