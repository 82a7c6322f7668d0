package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	soakGateways       = 2
	soakDuration       = 8 * time.Second // in which clients begin requests
	soakSocketLimit    = 120
	soakMemoryMB       = 64
	soakDrainGrace     = 400 * time.Millisecond
	soakIdleTimeout    = 3 * time.Second // after which hosts close idle connections
	soakConnectTimeout = 300 * time.Millisecond
	soakLongestPause   = 100 * time.Millisecond // for which a process is stopped
	maxShutdownLimit   = 3 * time.Second        // the longest deadline that counts for the kill
	killDelay          = 700 * time.Millisecond // from SIGTERM and the longest deadline to the earliest kill
	frontDelay         = 400 * time.Millisecond // for which new connections still come after SIGTERM
)

// soakProfile is a request class of a scenario.
type soakProfile struct {
	Name, Effect string
	HardLimit    time.Duration
	DedupWindow  time.Duration
}

// hostMode is how a host treats requests for a while.
type hostMode int

const (
	hostServes       hostMode = iota
	hostIsSlow                // answers late
	hostHangs                 // answers nothing, and keeps the connection
	hostErrs                  // 500
	hostDeclines              // never ran
	hostResets                // after it has the request
	hostResetsInto            // within an answer without a length
	hostEndsUnsized           // answers without a length, and closes
	hostAnswersTwice          // sends a second answer some milliseconds later
	hostModes                 // the number of those that drawHosts draws
	hostStopsReading          // within a body, and goes on later
	hostReadsSlowly
)

// hostPhase is a mode that a host enters at a time.
type hostPhase struct {
	at   time.Duration
	mode hostMode
}

// signalStep is what happens to a gateway's process at a time.
type signalStep struct {
	at     time.Duration
	action signalAction
}

// signalAction is one of the things that happen to a process.
type signalAction int

const (
	reloadSame    signalAction = iota // SIGHUP with the same file
	reloadMoved                       // SIGHUP with the other address of discovery
	reloadInvalid                     // SIGHUP with a truncated file
	printCounters                     // SIGUSR1
	pause                             // SIGSTOP, and SIGCONT soon after
	terminate                         // SIGTERM, the kill at the earliest time, and a restart
)

// listStep is a change of the host list at a time.
type listStep struct {
	at    time.Duration
	host  int
	state string // as discovery words it
}

// outage is a time in which discovery can't be reached.
type outage struct{ from, until time.Duration }

// scenario is one run of the soak, drawn from its seed.
type scenario struct {
	seed         uint64
	profiles     []soakProfile
	pushed       bool // the settings say that lists are pushed
	cancelling   bool
	peerMessages bool
	crowd        int // clients that fill the descriptors
	costly       int // clients that cost more than they send, before each gateway
	sockets      int // limit of a gateway
	memoryMB     int // the same
	clients      int
	hosts        [][]hostPhase // by host
	signals      [soakGateways][]signalStep
	lists        []listStep
	outages      []outage
	replacements []hostReplacement
	silentAt     time.Duration // when all open watches fall silent for good; 0 for never
}

// drawScenario returns the scenario of a seed.
func drawScenario(seed uint64) *scenario {
	random := rand.New(rand.NewPCG(seed, 60))
	s := &scenario{seed: seed, pushed: random.IntN(3) == 0, cancelling: random.IntN(2) == 0, peerMessages: random.IntN(4) > 0, clients: 10 + random.IntN(8)}
	if random.IntN(4) == 0 {
		s.crowd = soakSocketLimit * 3 / 2
	}
	longest := between(random, 200*time.Millisecond, maxShutdownLimit+200*time.Millisecond)
	if random.IntN(2) == 0 {
		longest = min(longest, time.Second)
	}
	for _, profile := range []soakProfile{{Name: "read", Effect: "idempotent"}, {Name: "write", Effect: "deduplicated"}, {Name: "pay", Effect: "at_most_once"}} {
		profile.HardLimit = between(random, longest/2, longest).Round(time.Millisecond)
		profile.DedupWindow = profile.HardLimit
		s.profiles = append(s.profiles, profile)
	}
	s.drawHosts(random)
	s.drawSignals(random)
	s.drawLists(random)
	if random.IntN(2) == 0 {
		from := between(random, 0, soakDuration/2)
		s.outages = append(s.outages, outage{from, from + between(random, time.Second, 4*time.Second)})
	}
	if random.IntN(3) == 0 {
		s.silentAt = between(random, time.Second, soakDuration/2)
	}
	s.drawLongWaits()
	s.drawCostlyClients()
	s.drawReplacements()
	return s
}

// drawCostlyClients draws a crowd of costly clients for some runs without another crowd, whose gateways have the least memory that there is.
func (s *scenario) drawCostlyClients() {
	random := rand.New(rand.NewPCG(s.seed, 72))
	s.sockets, s.memoryMB = soakSocketLimit, soakMemoryMB
	if s.crowd == 0 && random.IntN(2) == 0 {
		s.costly, s.sockets, s.memoryMB = 20+random.IntN(60), crowdSocketLimit, 32
	}
}

// between returns a duration of a range.
func between(random *rand.Rand, from, until time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(until-from)))
}

// drawHosts draws the hosts and their modes; two of them serve all the time.
func (s *scenario) drawHosts(random *rand.Rand) {
	for host := range 4 + random.IntN(4) {
		var phases []hostPhase
		for at := between(random, 0, 2*time.Second); host >= 2 && at < soakDuration; at += between(random, 500*time.Millisecond, 3*time.Second) {
			mode := hostServes
			if random.IntN(2) == 0 {
				mode = hostMode(random.IntN(int(hostModes)))
			}
			phases = append(phases, hostPhase{at, mode})
		}
		s.hosts = append(s.hosts, phases)
	}
}

// drawSignals draws series of signals. Each process is ended and started again at least once, often right after a series and while hosts hang.
func (s *scenario) drawSignals(random *rand.Rand) {
	for gateway := range s.signals {
		var steps []signalStep
		at := between(random, time.Second, 3*time.Second) + time.Duration(gateway)*soakDuration/3
		paused := false // pauses in a row would hold a process up for longer than it may be
		draw := func() signalAction {
			action := signalAction(random.IntN(int(terminate)))
			if action == pause && paused {
				action = printCounters
			}
			paused = paused || action == pause
			return action
		}
		for range random.IntN(7) {
			steps = append(steps, signalStep{at, draw()})
			at += between(random, time.Millisecond, 100*time.Millisecond)
		}
		steps = append(steps, signalStep{at, terminate})
		for range random.IntN(3) { // in the shutdown
			steps = append(steps, signalStep{at + between(random, time.Millisecond, 600*time.Millisecond), draw()})
		}
		if random.IntN(2) == 0 { // hosts hang through the shutdown
			for host := 2; host < len(s.hosts); host += 2 {
				s.hosts[host] = append(s.hosts[host], hostPhase{at - 100*time.Millisecond, hostHangs}, hostPhase{at + 3*time.Second, hostServes})
			}
		}
		slices.SortStableFunc(steps, func(a, b signalStep) int { return int(a.at - b.at) })
		s.signals[gateway] = steps
	}
	for host := range s.hosts {
		slices.SortStableFunc(s.hosts[host], func(a, b hostPhase) int { return int(a.at - b.at) })
	}
}

// drawLists draws hosts that drain, go and come back.
func (s *scenario) drawLists(random *rand.Rand) {
	for host := 2; host < len(s.hosts); host++ {
		if random.IntN(3) > 0 {
			continue
		}
		at := between(random, time.Second, soakDuration*3/4)
		s.lists = append(s.lists, listStep{at, host, "terminating"})
		if random.IntN(2) == 0 {
			s.lists = append(s.lists, listStep{at + between(random, time.Second, 2*time.Second), host, "terminated"})
		}
	}
	slices.SortStableFunc(s.lists, func(a, b listStep) int { return int(a.at - b.at) })
}

// longestHardLimit returns the deployment's longest deadline, as it counts for the kill.
func (s *scenario) longestHardLimit() (longest time.Duration) {
	for _, profile := range s.profiles {
		longest = max(longest, profile.HardLimit)
	}
	return min(longest, maxShutdownLimit)
}

// settings returns the settings of a gateway.
func (s *scenario) settings(gateway int) json.RawMessage {
	var profiles []map[string]any
	for _, profile := range s.profiles {
		profiles = append(profiles, map[string]any{"name": profile.Name, "effect": profile.Effect, "group": s.dedupGroup(), "window": profile.DedupWindow.Microseconds(),
			"serviceGoal": profile.HardLimit.Microseconds() * 3 / 4, "hardLimit": profile.HardLimit.Microseconds(), "revenue": 1})
	}
	discovery := "subscribe"
	if s.pushed {
		discovery = "push"
	}
	text, err := json.Marshal(map[string]any{"balancers": soakGateways, "me": gateway, "dcs": []string{"a"}, "myZone": "a", "discovery": discovery,
		"obligations": map[string]any{"askWithin": 2_000_000, "drainGrace": soakDrainGrace.Microseconds()},
		"limits": map[string]any{"mostHops": 3, "mayTell": s.peerMessages, "cancelling": s.cancelling, "connIdle": soakIdleTimeout.Microseconds(),
			"connectTimeout": soakConnectTimeout.Microseconds(), "retryAfter": true, "maxRetryAfter": 500_000},
		"profiles": profiles})
	if err != nil {
		panic(err)
	}
	return text
}

// String describes the scenario in a line.
func (s *scenario) String() string {
	return fmt.Sprintf("seed %d: %d hosts, %d clients, crowd %d, costly %d, longest deadline %v, pushed %t, cancelling %t, peers %t, %d list changes, %d replaced hosts, %d outages, silent at %v",
		s.seed, len(s.hosts), s.clients, s.crowd, s.costly, s.longestHardLimit(), s.pushed, s.cancelling, s.peerMessages, len(s.lists), len(s.replacements), len(s.outages),
		s.silentAt.Round(time.Millisecond))
}
