package logic_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"spanmux/logic"
)

// deployment is the configuration of a simulation: gateways and what they learn, hosts, and the transactions.
type deployment struct {
	sourcesName       string // describes sources in the tests' output
	sources           logic.InformationSources
	reportedFields    string // values in load reports, separated by spaces: inflight, queued, utilization, rate
	gatewayCount      int
	zoneCount         int
	hostCount         int
	coresPerHost      int
	slotsPerHost      int     // hops that are being worked on or wait for other services
	sharesCores       bool    // all hops that a host works on share its cores; if not, the oldest have one each
	slowKindSpeed     float64 // speed of the slower kind of host, relative to the other; 1 for a single kind
	targetUtilization float64 // fraction of the cores in use if all hosts were of the slower kind
	workDistribution  string  // constant, exponential or lognormal
	lognormalSigma    float64 // sigma of lognormal work
	waitToWorkRatio   float64 // mean wait for other services, relative to the mean work
	profiles          []simProfile
	tenantCount       int
	keyCount          int     // distinct affinity keys, 0 for none
	cachedKeySaving   float64 // fraction of the work saved at a host that recently served the key
	costModel         logic.CostModel
	hopRule           logic.HopRule
	arrivalDuration   time.Duration // during which transactions arrive
	seed              uint64
	txPerSecond       float64 // over all gateways
}

// simProfile is a profile with its part of the traffic and the work of its transactions.
type simProfile struct {
	logic.Profile
	trafficFraction float64
	meanWork        time.Duration
	minGoalMultiple float64 // minimum service goal, relative to the mean time at an idle host
}

func (d deployment) String() string {
	work := d.workDistribution
	if d.workDistribution == "lognormal" {
		work = fmt.Sprintf("lognormal %.1f", d.lognormalSigma)
	}
	var goals []string
	for _, profile := range d.profiles {
		goals = append(goals, fmt.Sprintf("%d/%d", profile.meanWork/ms, profile.ServiceGoal/ms))
	}
	return fmt.Sprintf("%s, %d gateways at %.2g/s, %dx%d cores in %d zones, %d%% utilization, "+
		"work %s, waits x%.1f, work/goal %s, tenants %d, keys %d",
		d.sourcesName, d.gatewayCount, d.txPerSecond/float64(d.gatewayCount), d.hostCount, d.coresPerHost, d.zoneCount, int(100*d.targetUtilization), work, d.waitToWorkRatio,
		strings.Join(goals, " "), d.tenantCount, d.keyCount)
}

const (
	sameZoneLatency     = 500 * time.Microsecond // one way, within a zone
	crossZoneLatency    = 2 * ms                 // one way, between zones
	listInterval        = 500 * ms               // between updates of the host list with live capacity hints
	listDelayIntervals  = 2                      // delay of a list, in list intervals
	cachedKeyTTL        = 8 * time.Second        // how long a host benefits from a key that it served
	reportSmoothingTime = time.Second            // time constant of the reported utilization and rate
)

// simulation runs a deployment in virtual time, which starts at one second. Transactions arrive at a constant mean rate, and each gateway is
// a Balancer of its own. All randomness comes from the seed, and the arriving transactions do not depend on how earlier ones ended.
type simulation struct {
	deployment
	now          time.Duration
	events       eventQueue
	lastSeq      int
	clientRandom *rand.Rand
	otherRandom  *rand.Rand // for everything but the arriving transactions
	hosts        []*simHost
	gateways     []*simGateway
	transactions []*simTx
	logLines     []string
	recentLists  [][]logic.Host // the newest last; gateways receive the first

	hostsIgnoreCancellation bool // hosts keep working on hops that were called off or timed out
	queueLimit              int  // hops that may be queued at a host; slotsPerHost if that is higher

	// Each of these may be nil.
	failHop        func(hop *simHop) (logic.HopOutcome, bool)               // reports whether a hop fails on arrival and how; with HopTimedOut it gets no answer
	extraWait      func(hop *simHop) time.Duration                          // added to the wait of a hop for other services, during which it keeps its slot
	overrideReport func(h *simHost, load logic.LoadReport) logic.LoadReport // what a host reports instead of load
	extraLatency   func(g *simGateway, h *simHost) time.Duration            // added in each direction
}

// simEvent is an action at a point in virtual time. Events at the same time run in the order of seq.
type simEvent struct {
	at     time.Duration
	seq    int
	action func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule runs action after delay.
func (sim *simulation) schedule(delay time.Duration, action func()) {
	sim.lastSeq++
	heap.Push(&sim.events, simEvent{sim.now + max(0, delay), sim.lastSeq, action})
}

// simTx is a transaction, its hops and its final answer.
type simTx struct {
	id           logic.TxID
	arrivedAt    time.Duration
	gateway      *simGateway
	profileIndex int
	tenantIndex  int
	affinityKey  uint32
	work         time.Duration // on a core of speed 1
	waitTime     time.Duration // for other services, after the work
	hops         []*simHop
	answered     bool
	outcome      string        // committed, rolled back, abandoned, or left if the client gave up
	latency      time.Duration // until the final answer
}

// recordAnswer sets the final answer of a transaction that has none yet.
func (t *simTx) recordAnswer(now time.Duration, outcome string) {
	if !t.answered {
		t.answered, t.outcome, t.latency = true, outcome, now-t.arrivedAt
	}
}

// simHop is one hop of a transaction.
type simHop struct {
	*simTx
	hopIndex       int
	host           *simHost
	sentAt         time.Duration
	startedAt      time.Duration // when it got a slot
	remainingWork  float64       // in nanoseconds on a core of speed 1
	endedAtGateway bool          // the gateway knows its outcome
	leftHost       bool          // the host no longer works on it or queues it
}

// simHost is a host with a number of cores, either shared by all hops that it works on or given to the oldest ones. A hop that waits for
// other services keeps its slot but uses no core.
type simHost struct {
	*simulation
	logic.Host
	speed               float64
	working             []*simHop     // the oldest first
	waiting             []*simHop     // for other services, in their slots
	queued              []*simHop     // without a slot
	advancedAt          time.Duration // time up to which the work is accounted for
	nextEventVersion    int           // invalidates the events scheduled before the last change
	smoothedUtilization float64
	answersPerSecond    float64
	meanLatencyMs       float64
	keyLastSeen         map[uint32]time.Duration
}

// hopSpeed returns the speed at which the host works on its hop with index i.
func (h *simHost) hopSpeed(workingIndex int) float64 {
	if h.sharesCores {
		return h.speed * min(1, float64(h.coresPerHost)/float64(len(h.working)))
	}
	return map[bool]float64{true: h.speed}[workingIndex < h.coresPerHost]
}

// advance accounts for the work done until now.
func (h *simHost) advance() {
	elapsed := h.now - h.advancedAt
	h.advancedAt = h.now
	for i, hop := range h.working {
		hop.remainingWork -= h.hopSpeed(i) * float64(elapsed)
	}
	decay := math.Exp(-float64(elapsed) / float64(reportSmoothingTime))
	h.smoothedUtilization = h.smoothedUtilization*decay + (1-decay)*min(1, float64(len(h.working))/float64(h.coresPerHost))
	h.answersPerSecond *= decay
}

// scheduleNext moves queued hops into free slots and schedules an event for when the first hop has had its work.
func (h *simHost) scheduleNext() {
	for len(h.queued) > 0 && len(h.working)+len(h.waiting) < h.slotsPerHost {
		hop := h.queued[0]
		hop.startedAt = h.now
		h.working, h.queued = append(h.working, hop), h.queued[1:]
	}
	firstDone := math.Inf(1)
	for i, hop := range h.working {
		if speed := h.hopSpeed(i); speed > 0 {
			firstDone = min(firstDone, max(0, hop.remainingWork)/speed)
		}
	}
	if h.nextEventVersion++; math.IsInf(firstDone, 1) {
		return
	}
	version := h.nextEventVersion
	h.schedule(time.Duration(math.Ceil(firstDone)), func() {
		if version == h.nextEventVersion {
			h.advance()
			h.finishWork()
		}
	})
}

// finishWork moves the hops that have had their work from working to waiting.
func (h *simHost) finishWork() {
	for i := 0; i < len(h.working); i++ {
		hop := h.working[i]
		if hop.remainingWork >= 1 {
			continue
		}
		h.working = slices.Delete(h.working, i, i+1)
		i--
		h.waiting = append(h.waiting, hop)
		waitTime := hop.waitTime
		if h.extraWait != nil {
			waitTime += h.extraWait(hop)
		}
		h.schedule(waitTime, func() {
			if !hop.leftHost {
				h.advance()
				h.remove(hop)
				h.answersPerSecond += 1 / reportSmoothingTime.Seconds()
				h.meanLatencyMs += 0.1 * ((h.now-hop.startedAt).Seconds()*1000 - h.meanLatencyMs)
				h.scheduleNext()
				h.sendOutcome(hop, logic.HopCommitted)
			}
		})
	}
	h.scheduleNext()
}

// remove takes a hop from the host, wherever it is.
func (h *simHost) remove(hop *simHop) {
	hop.leftHost = true
	for _, hops := range []*[]*simHop{&h.working, &h.waiting, &h.queued} {
		*hops = slices.DeleteFunc(*hops, func(other *simHop) bool { return other == hop })
	}
}

// hopArrived fails a hop, rejects it if the queue is full, or queues it.
func (h *simHost) hopArrived(hop *simHop) {
	if h.failHop != nil {
		if outcome, failed := h.failHop(hop); failed {
			if hop.leftHost = true; outcome != logic.HopTimedOut {
				h.sendOutcome(hop, outcome)
			}
			return
		}
	}
	h.advance()
	if len(h.queued) >= max(h.queueLimit, h.slotsPerHost) {
		hop.leftHost = true
		h.sendOutcome(hop, logic.HopHostFull)
		return
	}
	hop.remainingWork = float64(hop.work)
	if hop.affinityKey != 0 {
		if at, seen := h.keyLastSeen[hop.affinityKey]; seen && h.now-at < cachedKeyTTL {
			hop.remainingWork *= 1 - h.cachedKeySaving
		}
		h.keyLastSeen[hop.affinityKey] = h.now
	}
	h.queued = append(h.queued, hop)
	h.scheduleNext()
}

func (h *simHost) inFlight() int { return len(h.working) + len(h.waiting) + len(h.queued) }

// sendOutcome sends the outcome of a hop to its gateway, with the host's load if responses report it.
func (h *simHost) sendOutcome(hop *simHop, outcome logic.HopOutcome) {
	load := logic.NoLoadReport
	if h.sources.ResponsesReportLoad {
		load = h.loadReport()
	}
	h.schedule(hop.gateway.oneWayLatency(h), func() { hop.gateway.hopEnded(hop, outcome, load) })
}

// loadReport returns the load with the values that the host reports.
func (h *simHost) loadReport() logic.LoadReport {
	h.advance()
	load := logic.LoadReport{InFlight: float64(h.inFlight()), Queued: float64(len(h.queued)), Utilization: h.smoothedUtilization, RequestsPerSecond: h.answersPerSecond, LatencyMs: h.meanLatencyMs}
	if h.overrideReport != nil {
		load = h.overrideReport(h, load)
	}
	for _, field := range []struct {
		name  string
		value *float64
	}{{"inflight", &load.InFlight}, {"queued", &load.Queued}, {"utilization", &load.Utilization}, {"rate", &load.RequestsPerSecond}, {"rate", &load.LatencyMs}} {
		if !strings.Contains(h.reportedFields, field.name) {
			*field.value = -1
		}
	}
	return load
}

// simGateway is a gateway: the Executor of its Core.
type simGateway struct {
	*simulation
	logic.Core
	index         int
	zone          string
	listRequested bool
}

// oneWayLatency returns the network latency between the gateway and a host.
func (g *simGateway) oneWayLatency(h *simHost) time.Duration {
	latency := sameZoneLatency
	if h.Zone != g.zone {
		latency = crossZoneLatency
	}
	if g.extraLatency != nil {
		latency += g.extraLatency(g, h)
	}
	return latency
}

// hopEnded reports the outcome of a hop to the Core, unless it has ended already.
func (g *simGateway) hopEnded(hop *simHop, outcome logic.HopOutcome, load logic.LoadReport) {
	if hop.endedAtGateway {
		return
	}
	hop.endedAtGateway = true
	if outcome == logic.HopCommitted {
		hop.recordAnswer(g.now, "committed")
	}
	g.HopEnded(g.now, hop.id, hop.hopIndex, logic.HopResult{Outcome: outcome, Latency: g.now - hop.sentAt, Load: load}, hop.answered)
}

// stopAtHost cancels a hop at its host.
func (g *simGateway) stopAtHost(hop *simHop) {
	g.schedule(g.oneWayLatency(hop.host), func() {
		if !hop.leftHost && !g.hostsIgnoreCancellation {
			hop.host.advance()
			hop.host.remove(hop)
			hop.host.scheduleNext()
		}
	})
}

func (g *simGateway) SendHop(id logic.TxID, host logic.HostID, limits logic.HopLimits) {
	tx := g.transactions[id]
	hop := &simHop{simTx: tx, hopIndex: len(tx.hops), host: g.hosts[host-1], sentAt: g.now}
	tx.hops = append(tx.hops, hop)
	g.schedule(g.oneWayLatency(hop.host), func() {
		if !hop.leftHost {
			hop.host.hopArrived(hop)
		}
	})
	g.schedule(limits.Timeout, func() {
		if !hop.endedAtGateway {
			g.stopAtHost(hop)
			g.hopEnded(hop, logic.HopTimedOut, logic.NoLoadReport)
		}
	})
}

func (g *simGateway) CallOff(id logic.TxID, hopIndex int) {
	if hop := g.transactions[id].hops[hopIndex]; !hop.endedAtGateway {
		g.stopAtHost(hop)
		g.schedule(0, func() { g.hopEnded(hop, logic.HopCalledOff, logic.NoLoadReport) })
	}
}
func (g *simGateway) RollBack(id logic.TxID, _ time.Duration) {
	g.transactions[id].recordAnswer(g.now, "rolled back")
}
func (g *simGateway) Abandon(id logic.TxID)             { g.transactions[id].recordAnswer(g.now, "abandoned") }
func (g *simGateway) CloseIdleConnections(logic.HostID) {}
func (g *simGateway) Log(line string) {
	g.logLines = append(g.logLines, fmt.Sprintf("%.1f gateway %d: %s", g.now.Seconds(), g.index, line))
}
func (g *simGateway) SetTimer(delay time.Duration) { g.schedule(delay, func() { g.TimerFired(g.now) }) }
func (g *simGateway) Probe(id logic.HostID) {
	h := g.hosts[id-1]
	g.schedule(g.oneWayLatency(h), func() {
		load := h.loadReport()
		g.schedule(g.oneWayLatency(h), func() { g.ProbeEnded(g.now, id, load) })
	})
}
func (g *simGateway) SendPeerMessage(to int, entries []logic.PeerEntry) {
	for _, other := range g.gateways {
		if other != g && (to == other.index || to < 0) {
			g.schedule(crossZoneLatency, func() { other.PeerMessageReceived(g.now, g.index, entries) })
		}
	}
}
func (g *simGateway) RequestHostList() {
	g.listRequested = true
	g.schedule(listInterval, func() { g.HostListReceived(g.now, logic.ListComplete, g.recentLists[0]) })
}

// currentList returns the host list as of now.
func (sim *simulation) currentList() (hosts []logic.Host) {
	for _, h := range sim.hosts {
		entry := h.Host
		if entry.CapacityHint = h.speed * float64(sim.coresPerHost); sim.sources.CapacityHints == logic.LiveCapacity {
			load := logic.LoadReport{InFlight: float64(h.inFlight())}
			if sim.overrideReport != nil {
				load = sim.overrideReport(h, load)
			}
			entry.CapacityHint /= 1 + load.InFlight/float64(sim.coresPerHost)
		}
		hosts = append(hosts, entry)
	}
	return hosts
}

// publishLists records the current list once per listInterval, and sends the delayed one to all gateways that requested lists if it carries
// live capacity hints.
func (sim *simulation) publishLists() {
	if sim.recentLists = append(sim.recentLists, sim.currentList()); len(sim.recentLists) > listDelayIntervals {
		sim.recentLists = sim.recentLists[1:]
	}
	if sim.sources.CapacityHints == logic.LiveCapacity {
		for _, g := range sim.gateways {
			if g.listRequested {
				g.HostListReceived(sim.now, logic.ListChanges, sim.recentLists[0])
			}
		}
	}
	sim.schedule(listInterval, sim.publishLists)
}

func zoneName(i int) string { return string('a' + rune(i)) }

// newSimulation starts a deployment with a Balancer for each gateway, or with a randomGateway if randomPicks is set.
func newSimulation(d deployment, randomPicks bool) *simulation {
	sim := &simulation{deployment: d, now: time.Second, clientRandom: rand.New(rand.NewPCG(d.seed, 1)), otherRandom: rand.New(rand.NewPCG(d.seed, 2))}
	var zones []string
	for i := range d.zoneCount {
		zones = append(zones, zoneName(i))
	}
	for i := range d.hostCount {
		h := &simHost{simulation: sim, speed: 1, keyLastSeen: map[uint32]time.Duration{}, advancedAt: sim.now,
			Host: logic.Host{ID: logic.HostID(i + 1), Zone: zones[i%d.zoneCount], Kind: "box", Cell: i % 4, State: logic.HostReady}}
		if d.slowKindSpeed < 1 && i/d.zoneCount%2 == 1 {
			h.Kind, h.speed = "old box", d.slowKindSpeed
		}
		sim.hosts = append(sim.hosts, h)
	}
	var profiles []logic.Profile
	for _, profile := range d.profiles {
		profiles = append(profiles, profile.Profile)
	}
	var tenants []logic.Tenant
	for i := range d.tenantCount {
		tenants = append(tenants, logic.Tenant{Name: zoneName(i), QuotaPerSecond: 2 * d.txPerSecond / float64(d.tenantCount)})
	}
	sim.publishLists()
	for i := range d.gatewayCount {
		g := &simGateway{simulation: sim, index: i, zone: zones[i%d.zoneCount]}
		if sim.gateways = append(sim.gateways, g); randomPicks {
			g.Core = &randomGateway{simGateway: g}
			continue
		}
		g.Core = logic.New(g, sim.now, d.seed<<16+uint64(i), logic.Topology{GatewayCount: d.gatewayCount, GatewayIndex: i, Zone: g.zone, Zones: zones}, profiles,
			tenants, logic.ColdHostRule{InitialCapacityFraction: 0.2, WarmUpDuration: 10 * time.Second, OverloadMultiple: 3, OverloadDuration: time.Second}, logic.DrainRule{}, d.hopRule, d.sources, d.costModel)
		g.HostListReceived(sim.now, logic.ListCached, sim.recentLists[0])
	}
	sim.scheduleArrival()
	return sim
}

// randomGateway sends each transaction to a random host of its zone and decides nothing else. TestHarmless compares with it.
type randomGateway struct {
	logic.Core
	*simGateway
}

func (g *randomGateway) TransactionReceived(_ time.Duration, id logic.TxID, arrival logic.Arrival) {
	hostsPerZone := g.hostCount / g.zoneCount
	hostIndex := (g.index%g.zoneCount + g.zoneCount*g.otherRandom.IntN(hostsPerZone))
	g.SendHop(id, logic.HostID(hostIndex+1), logic.HopLimits{Timeout: arrival.Budget})
}
func (g *randomGateway) HopEnded(time.Duration, logic.TxID, int, logic.HopResult, bool) {}
func (g *randomGateway) ClientLeft(time.Duration, logic.TxID)                           {}
func (g *randomGateway) HostListReceived(time.Duration, logic.ListKind, []logic.Host)   {}

// workFactor returns a random factor from the work distribution, with mean 1.
func (sim *simulation) workFactor() float64 {
	normal, exponential := sim.clientRandom.NormFloat64(), sim.clientRandom.ExpFloat64() // the same number of draws for each distribution
	switch sim.workDistribution {
	case "exponential":
		return exponential
	case "lognormal":
		return math.Exp(sim.lognormalSigma*normal - sim.lognormalSigma*sim.lognormalSigma/2)
	}
	return 1
}

// scheduleArrival schedules the next transaction, and so on until arrivalDuration has passed.
func (sim *simulation) scheduleArrival() {
	sim.schedule(time.Duration(sim.clientRandom.ExpFloat64()/sim.txPerSecond*float64(time.Second)), func() {
		if sim.now-time.Second < sim.arrivalDuration {
			sim.receiveTransaction()
			sim.scheduleArrival()
		}
	})
}

// receiveTransaction makes a random transaction arrive at a random gateway. Its client leaves when the budget is used up.
func (sim *simulation) receiveTransaction() {
	zone, gatewayChoice, profileChoice := sim.clientRandom.IntN(sim.zoneCount), sim.clientRandom.Float64(), sim.clientRandom.Float64()
	tx := &simTx{id: logic.TxID(len(sim.transactions)), arrivedAt: sim.now, tenantIndex: -1}
	gatewaysInZone := (sim.gatewayCount - zone + sim.zoneCount - 1) / sim.zoneCount
	tx.gateway = sim.gateways[zone+sim.zoneCount*int(gatewayChoice*float64(gatewaysInZone))]
	for tx.profileIndex = 0; tx.profileIndex < len(sim.profiles)-1 && profileChoice >= sim.profiles[tx.profileIndex].trafficFraction; tx.profileIndex++ {
		profileChoice -= sim.profiles[tx.profileIndex].trafficFraction
	}
	profile := &sim.profiles[tx.profileIndex]
	tx.work = time.Duration(sim.workFactor() * float64(profile.meanWork))
	tx.waitTime = time.Duration(sim.workFactor() * sim.waitToWorkRatio * float64(profile.meanWork))
	if keyChoice := sim.clientRandom.Float64(); sim.keyCount > 0 { // lower keys are more popular, the first about 20 times as much as the last
		tx.affinityKey = 1 + uint32(20*(math.Pow(float64(sim.keyCount)/20+1, keyChoice)-1))
	}
	if tenantIndex := sim.clientRandom.IntN(max(1, sim.tenantCount)); sim.tenantCount > 0 {
		tx.tenantIndex = tenantIndex
	}
	sim.transactions = append(sim.transactions, tx)
	budget := 3 * profile.ServiceGoal
	tx.gateway.TransactionReceived(sim.now, tx.id, logic.Arrival{ProfileIndex: tx.profileIndex, TenantIndex: tx.tenantIndex, Budget: budget, AffinityKey: tx.affinityKey})
	sim.schedule(budget, func() {
		if !tx.answered {
			tx.recordAnswer(sim.now, "left")
			tx.gateway.ClientLeft(sim.now, tx.id)
		}
	})
}

// runUntil runs the simulation until elapsed after its start.
func (sim *simulation) runUntil(elapsed time.Duration) *simulation {
	for len(sim.events) > 0 && sim.events[0].at <= time.Second+elapsed {
		e := heap.Pop(&sim.events).(simEvent)
		sim.now = e.at
		e.action()
	}
	return sim
}

// txCounts counts transactions by their final answer.
type txCounts struct {
	received, committed, inGoal, rolledBack, abandoned, furtherHops int
	failedBeforeGoal                                                int // rolled back or abandoned more than 10 ms before the service goal
}

// countTransactions counts the transactions that arrived between from and to after the start and that filter selects, all if it is nil.
func (sim *simulation) countTransactions(from, to time.Duration, filter func(*simTx) bool) (counts txCounts) {
	for _, tx := range sim.transactions {
		if arrivedAt := tx.arrivedAt - time.Second; arrivedAt < from || arrivedAt >= to || filter != nil && !filter(tx) {
			continue
		}
		counts.received++
		counts.furtherHops += max(0, len(tx.hops)-1)
		switch tx.outcome {
		case "committed":
			if counts.committed++; tx.latency <= sim.profiles[tx.profileIndex].ServiceGoal {
				counts.inGoal++
			}
		case "rolled back":
			counts.rolledBack++
		case "abandoned", "left":
			counts.abandoned++
		}
		if tx.answered && tx.outcome != "committed" && tx.latency < sim.profiles[tx.profileIndex].ServiceGoal-10*ms {
			counts.failedBeforeGoal++
		}
	}
	return counts
}

// fraction returns count as a fraction of the transactions received.
func (counts txCounts) fraction(count int) float64 {
	return float64(count) / float64(max(1, counts.received))
}

// breakerOpenings returns the log lines about breakers that opened.
func (sim *simulation) breakerOpenings() (lines []string) {
	for _, line := range sim.logLines {
		if strings.HasSuffix(line, "breaker open true") {
			lines = append(lines, line)
		}
	}
	return lines
}
