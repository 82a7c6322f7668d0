package main

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"
)

var (
	soakFirstSeed = flag.Uint64("soak-first-seed", 1, "first seed of TestSoak")
	soakRuns      = flag.Int("soak-runs", 4, "number of seeds of TestSoak")
	soakParallel  = flag.Int("soak-parallel", 4, "runs of TestSoak at a time")
	soakLogs      = flag.String("soak-logs", "", "folder in which TestSoak keeps the logs of its gateways")
)

// minServedFraction is what a run has to serve for its checks to say anything.
const minServedFraction = 0.2

// TestSoak plays gateways, as processes of their own, between stand-in clients, hosts and a discovery that are drawn from a seed, and checks
// the rules on what clients and hosts recorded. Processes get signals in series and are replaced while clients go on sending on their
// connections until the kill, which comes as early as it may. One seed draws the same run each time; what it meets of it depends on timing.
//
//	go test -run TestSoak ./cmd/spanmux -soak-first-seed 17 -soak-runs 1 -soak-logs /tmp/soak
func TestSoak(t *testing.T) {
	slots := make(chan bool, *soakParallel)
	var wait sync.WaitGroup
	for i := range *soakRuns {
		seed := *soakFirstSeed + uint64(i)
		slots <- true
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			playSoak(t, seed)
		}()
	}
	wait.Wait()
}

// playSoak plays the run of a seed and checks its records.
func playSoak(t *testing.T, seed uint64) {
	s := drawScenario(seed)
	dir := cmp.Or(*soakLogs, t.TempDir())
	dir = filepath.Join(dir, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Error(err)
		return
	}
	record := playScenario(s, dir)
	record.mu.Lock()
	defer record.mu.Unlock()
	violations := judge(record, s)
	served, refused, failed, unanswered := outcomes(record.requests)
	fmt.Printf("%v; requests %d: served %d, refused %d, failed %d, unanswered %d; attempts %d; violations %d\n",
		s, len(record.requests), served, refused, failed, unanswered, len(record.attempts), len(violations))
	long := record.longRequests()
	longServed, longRefused, longFailed, longUnanswered := outcomes(long)
	fmt.Printf("seed %d: long bodies %d: served %d, refused %d, failed %d, unanswered, partly sent or left %d\n", seed, len(long), longServed, longRefused, longFailed, longUnanswered)
	if float64(served) < minServedFraction*float64(len(record.requests)) {
		t.Errorf("seed %d: served %d of %d requests", seed, served, len(record.requests))
	}
	for _, violation := range violations {
		t.Errorf("seed %d: %s", seed, violation)
	}
}

// longRequests returns the requests with long bodies.
func (r *soakRecord) longRequests() (long []requestRecord) {
	for _, request := range r.requests {
		if request.bodyBytes > 0 {
			long = append(long, request)
		}
	}
	return long
}

// outcomes counts requests by their outcome.
func outcomes(requests []requestRecord) (served, refused, failed, unanswered int) {
	for _, request := range requests {
		switch request.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			refused++
		case 0:
			unanswered++
		default:
			failed++
		}
	}
	return served, refused, failed, unanswered
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// playScenario plays a run and returns what its parts recorded.
func playScenario(s *scenario, dir string) *soakRecord {
	record := &soakRecord{began: time.Now()}
	hosts := make([]*soakHost, len(s.hosts)+len(s.replacements)) // those that replace others come later
	for i, phases := range s.hosts {
		hosts[i] = startSoakHost(record, i, s.cellOf(i), s.resetOneIn(), phases)
	}
	gateways := make([]*soakGateway, soakGateways)
	discovery := startSoakDiscovery(record, hosts[:len(s.hosts)], s.silentAt, func(gateway int) int { return gateways[gateway].processIndex() })
	peerAddrs := make([]string, soakGateways)
	for i := range peerAddrs {
		peerAddrs[i] = freeAddress()
	}
	for i := range gateways {
		gateways[i] = &soakGateway{index: i, scenario: s, record: record, discovery: discovery, dir: dir, addr: freeAddress(), peerAddrs: peerAddrs,
			random: rand.New(rand.NewPCG(s.seed, uint64(1000+i))), terminated: make(chan bool)}
	}
	for _, gateway := range gateways {
		gateway.start(0)
	}
	stopWatch := make(chan bool)
	go record.watchDelays(stopWatch)
	playParts(s, record, gateways, discovery, hosts)
	close(stopWatch)
	for _, gateway := range gateways {
		gateway.stop()
	}
	discovery.stop()
	for _, host := range hosts {
		host.stop()
	}
	return record
}

// playParts plays the clients, and what the scenario has of signals and of changes, and waits for all of it.
func playParts(s *scenario, record *soakRecord, gateways []*soakGateway, discovery *soakDiscovery, hosts []*soakHost) {
	var parts sync.WaitGroup
	start := func(play func()) {
		parts.Add(1)
		go func() {
			defer parts.Done()
			play()
		}()
	}
	newClient := func(number int) *soakClient {
		return &soakClient{number: number, record: record, scenario: s, gateways: gateways, random: rand.New(rand.NewPCG(s.seed, uint64(number))),
			longRandom: rand.New(rand.NewPCG(s.seed, uint64(5000+number)))}
	}
	for number := range s.clients {
		start(newClient(number).run)
	}
	for gateway := range gateways {
		for i := range 4 {
			start(func() { newClient(100 + 10*gateway + i).rest(gateway) })
			start(func() { newClient(200 + 10*gateway + i).sendPartOfRequest(gateway) })
		}
		start(gateways[gateway].playSignals)
	}
	start(func() { playChanges(s, record, discovery, hosts) })
	start(func() { sendStrayDatagrams(s, record, gateways[0].peerAddrs) })
	var crowds []interface{ stopAll() }
	for _, gateway := range gateways {
		if s.crowd > 0 {
			crowds = append(crowds, startIdleClients(gateway.addr, s.crowd))
		}
		if s.costly > 0 {
			crowds = append(crowds, startCrowd(gateway.addr, s.costly, soakCrowdForms()))
		}
	}
	parts.Wait()
	for _, crowd := range crowds {
		crowd.stopAll()
	}
}

// soakCrowdForms returns the forms of costly clients that runs beside each other can have.
func soakCrowdForms() []crowdForm {
	return slices.DeleteFunc(slices.Clone(crowdForms), func(form crowdForm) bool { return form.heavy })
}

// sendStrayDatagrams sends the gateways datagrams of any content and length, from an address that is none of their peers'.
func sendStrayDatagrams(s *scenario, record *soakRecord, addrs []string) {
	random := rand.New(rand.NewPCG(s.seed, 2000))
	for i := 0; record.now() < soakDuration; i++ {
		if conn, err := net.Dial("udp", addrs[i%len(addrs)]); err == nil {
			datagram := make([]byte, random.IntN(600))
			for j := range datagram {
				datagram[j] = byte(random.Uint32())
			}
			conn.Write(datagram)
			conn.Close()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// soakChange is something that happens to hosts or discovery at a time.
type soakChange struct {
	at   time.Duration
	make func()
}

// playChanges makes the changes of the list, the replacements of hosts and the outages of discovery, at their times.
func playChanges(s *scenario, record *soakRecord, discovery *soakDiscovery, hosts []*soakHost) {
	changes := replacementChanges(s, record, discovery, hosts)
	for _, step := range s.lists {
		changes = append(changes, soakChange{step.at, func() { discovery.change(step.host, step.state) }})
		if step.state == "terminated" {
			changes = append(changes, soakChange{step.at + soakDrainGrace, hosts[step.host].stop})
		}
	}
	for _, outage := range s.outages {
		changes = append(changes, soakChange{outage.from, func() { discovery.setDown(true) }}, soakChange{outage.until, func() { discovery.setDown(false) }})
	}
	slices.SortStableFunc(changes, func(a, b soakChange) int { return cmp.Compare(a.at, b.at) })
	for _, change := range changes {
		time.Sleep(change.at - record.now())
		change.make()
	}
}
