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

// deployment is all that a played day is made of: hosts, what transactions ask of them, and what gateways learn.
type deployment struct {
	sources   string // what gateways learn, in words
	from      logic.InformationSources
	fields    string // of load reports: held, waiting, busy, rate
	gateways  int
	zones     int
	hosts     int
	cores     int // of a host
	slots     int // of a host: hops that it works on or that wait for others
	shares    bool
	slowest   float64 // speed of the slower kind of host, of the other's
	inUse     float64 // part of its cores that the slower kind needs, were transactions spread evenly
	work      string  // how work is spread: constant, exponential, lognormal
	spread    float64 // of lognormal work
	waits     float64 // times the work that a transaction waits for others
	profiles  []profileMix
	tenants   int
	keys      int     // distinct ones, 0 for none
	keySaves  float64 // part of the work that a host saves on a key that it has met lately
	price     logic.CostModel
	hops      logic.HopRule
	length    time.Duration // for which clients come
	seed      uint64
	perSecond float64 // transactions, over all gateways
}

type profileMix struct {
	logic.Profile
	share float64
	work  time.Duration // mean
	goal  float64       // service goal in mean times at a free host, at the least
}

func (p deployment) String() string {
	work := p.work
	if p.work == "lognormal" {
		work = fmt.Sprintf("lognormal %.1f", p.spread)
	}
	var goals []string
	for _, k := range p.profiles {
		goals = append(goals, fmt.Sprintf("%d/%d", k.work/ms, k.ServiceGoal/ms))
	}
	return fmt.Sprintf("%s, %d gateways at %.2g/s, %dx%d cores in %d zones, %d%% in use, "+
		"work %s, waits x%.1f, work/goal %s, tenants %d, keys %d",
		p.sources, p.gateways, p.perSecond/float64(p.gateways), p.hosts, p.cores, p.zones, int(100*p.inUse), work, p.waits,
		strings.Join(goals, " "), p.tenants, p.keys)
}

const (
	nearby     = 500 * time.Microsecond // one way within a zone
	across     = 2 * ms                 // the same between zones
	listEach   = 500 * ms               // between lists of live sizes
	listLate   = 2                      // such steps by which a list is late
	keyHeld    = 8 * time.Second        // for which a host remembers a key
	reportOver = time.Second            // over which reports of utilisation and rate are smoothed
)

// day plays a deployment in virtual time: clients arrive by chance, alike at all times, and each gateway is a Balancer of its own. All
// chance is by the seed; what a transaction asks for does not depend on what becomes of it.
type day struct {
	deployment
	now      time.Duration
	events   eventQueue
	seq      int
	clients  *rand.Rand
	luck     *rand.Rand // of all else
	hosted   []*playedHost
	balanced []*playedGateway
	txs      []*playedTx
	logged   []string
	sizes    [][]logic.Host // of late, the newest last

	goesOn    bool // hosts go on with a hop that is given up
	queueMost int  // hops that may wait at a host, at the least as many as it has slots

	fails func(k *playedHop) (logic.HopOutcome, bool)              // a hop that ends at once in that way, or without an answer
	drags func(k *playedHop) time.Duration                         // what it waits besides, in its slot
	says  func(h *playedHost, l logic.LoadReport) logic.LoadReport // what a host reports in place of l
	away  func(g *playedGateway, h *playedHost) time.Duration      // what the way between these takes besides, each way
}

type dayEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []dayEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(dayEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (d *day) after(in time.Duration, do func()) {
	d.seq++
	heap.Push(&d.events, dayEvent{d.now + max(0, in), d.seq, do})
}

// playedTx is a transaction with what becomes of it.
type playedTx struct {
	id       logic.TxID
	at       time.Duration
	gateway  *playedGateway
	profile  int
	tenant   int
	key      uint32
	work     time.Duration
	waits    time.Duration
	hops     []*playedHop
	answered bool
	how      string // committed, rolled back, abandoned, left
	took     time.Duration
}

func (t *playedTx) answer(now time.Duration, how string) {
	if !t.answered {
		t.answered, t.how, t.took = true, how, now-t.at
	}
}

type playedHop struct {
	*playedTx
	number int
	host   *playedHost
	sent   time.Duration
	begun  time.Duration // its work there
	left   float64       // of its work, nanoseconds on a core of speed 1
	ended  bool          // at the gateway
	gone   bool          // from the host
}

// playedHost works on its hops on so many cores, which all share or the first have; a hop that waits for others holds a slot and no core.
type playedHost struct {
	*day
	logic.Host
	speed   float64
	working []*playedHop // in order
	idle    []*playedHop // that wait for others, in their slots
	queue   []*playedHop // that wait for a slot
	since   time.Duration
	version int // of its next dayEvent
	used    float64
	rate    float64 // answers a second
	took    float64 // by them, milliseconds
	met     map[uint32]time.Duration
}

func (h *playedHost) pace(i int) float64 {
	if h.shares {
		return h.speed * min(1, float64(h.cores)/float64(len(h.working)))
	}
	return map[bool]float64{true: h.speed}[i < h.cores]
}

// advance works until now.
func (h *playedHost) advance() {
	dt := h.now - h.since
	h.since = h.now
	for i, k := range h.working {
		k.left -= h.pace(i) * float64(dt)
	}
	old := math.Exp(-float64(dt) / float64(reportOver))
	h.used = h.used*old + (1-old)*min(1, float64(len(h.working))/float64(h.cores))
	h.rate *= old
}

// next has it go on when the first of its hops is through.
func (h *playedHost) next() {
	for len(h.queue) > 0 && len(h.working)+len(h.idle) < h.slots {
		k := h.queue[0]
		k.begun = h.now
		h.working, h.queue = append(h.working, k), h.queue[1:]
	}
	first := math.Inf(1)
	for i, k := range h.working {
		if p := h.pace(i); p > 0 {
			first = min(first, max(0, k.left)/p)
		}
	}
	if h.version++; math.IsInf(first, 1) {
		return
	}
	version := h.version
	h.after(time.Duration(math.Ceil(first)), func() {
		if version == h.version {
			h.advance()
			h.through()
		}
	})
}

// through takes out what has had its work.
func (h *playedHost) through() {
	for i := 0; i < len(h.working); i++ {
		k := h.working[i]
		if k.left >= 1 {
			continue
		}
		h.working = slices.Delete(h.working, i, i+1)
		i--
		h.idle = append(h.idle, k)
		waits := k.waits
		if h.drags != nil {
			waits += h.drags(k)
		}
		h.after(waits, func() {
			if !k.gone {
				h.advance()
				h.remove(k)
				h.rate += 1 / reportOver.Seconds()
				h.took += 0.1 * ((h.now-k.begun).Seconds()*1000 - h.took)
				h.next()
				h.tell(k, logic.HopCommitted)
			}
		})
	}
	h.next()
}

func (h *playedHost) remove(k *playedHop) {
	k.gone = true
	for _, of := range []*[]*playedHop{&h.working, &h.idle, &h.queue} {
		*of = slices.DeleteFunc(*of, func(x *playedHop) bool { return x == k })
	}
}

func (h *playedHost) arrives(k *playedHop) {
	if h.fails != nil {
		if end, so := h.fails(k); so {
			if k.gone = true; end != logic.HopTimedOut {
				h.tell(k, end)
			}
			return
		}
	}
	h.advance()
	if len(h.queue) >= max(h.queueMost, h.slots) {
		k.gone = true
		h.tell(k, logic.HopHostFull)
		return
	}
	k.left = float64(k.work)
	if k.key != 0 {
		if at, known := h.met[k.key]; known && h.now-at < keyHeld {
			k.left *= 1 - h.keySaves
		}
		h.met[k.key] = h.now
	}
	h.queue = append(h.queue, k)
	h.next()
}

func (h *playedHost) held() int { return len(h.working) + len(h.idle) + len(h.queue) }

// tell brings the end of a hop to its gateway.
func (h *playedHost) tell(k *playedHop, end logic.HopOutcome) {
	l := logic.NoLoadReport
	if h.from.ResponsesReportLoad {
		l = h.load()
	}
	h.after(k.gateway.way(h), func() { k.gateway.ended(k, end, l) })
}

func (h *playedHost) load() logic.LoadReport {
	h.advance()
	l := logic.LoadReport{InFlight: float64(h.held()), Queued: float64(len(h.queue)), Utilization: h.used, RequestsPerSecond: h.rate, LatencyMs: h.took}
	if h.says != nil {
		l = h.says(h, l)
	}
	for _, f := range []struct {
		name string
		of   *float64
	}{{"held", &l.InFlight}, {"waiting", &l.Queued}, {"busy", &l.Utilization}, {"rate", &l.RequestsPerSecond}, {"rate", &l.LatencyMs}} {
		if !strings.Contains(h.fields, f.name) {
			*f.of = -1
		}
	}
	return l
}

// playedGateway does for a Balancer what it asks for.
type playedGateway struct {
	*day
	logic.Core
	me       int
	zone     string
	watching bool
}

func (g *playedGateway) way(h *playedHost) time.Duration {
	way := nearby
	if h.Zone != g.zone {
		way = across
	}
	if g.away != nil {
		way += g.away(g, h)
	}
	return way
}

func (g *playedGateway) ended(k *playedHop, end logic.HopOutcome, l logic.LoadReport) {
	if k.ended {
		return
	}
	k.ended = true
	if end == logic.HopCommitted {
		k.answer(g.now, "committed")
	}
	g.HopEnded(g.now, k.id, k.number, logic.HopResult{Outcome: end, Latency: g.now - k.sent, Load: l}, k.answered)
}

// stops has a host stop work on a hop.
func (g *playedGateway) stops(k *playedHop) {
	g.after(g.way(k.host), func() {
		if !k.gone && !g.goesOn {
			k.host.advance()
			k.host.remove(k)
			k.host.next()
		}
	})
}

func (g *playedGateway) SendHop(id logic.TxID, to logic.HostID, wait time.Duration) {
	t := g.txs[id]
	k := &playedHop{playedTx: t, number: len(t.hops), host: g.hosted[to-1], sent: g.now}
	t.hops = append(t.hops, k)
	g.after(g.way(k.host), func() {
		if !k.gone {
			k.host.arrives(k)
		}
	})
	g.after(wait, func() {
		if !k.ended {
			g.stops(k)
			g.ended(k, logic.HopTimedOut, logic.NoLoadReport)
		}
	})
}

func (g *playedGateway) CallOff(id logic.TxID, hop int) {
	if k := g.txs[id].hops[hop]; !k.ended {
		g.stops(k)
		g.after(0, func() { g.ended(k, logic.HopCalledOff, logic.NoLoadReport) })
	}
}
func (g *playedGateway) RollBack(id logic.TxID, _ time.Duration) {
	g.txs[id].answer(g.now, "rolled back")
}
func (g *playedGateway) Abandon(id logic.TxID)             { g.txs[id].answer(g.now, "abandoned") }
func (g *playedGateway) CloseIdleConnections(logic.HostID) {}
func (g *playedGateway) Log(line string) {
	g.logged = append(g.logged, fmt.Sprintf("%.1f gateway %d: %s", g.now.Seconds(), g.me, line))
}
func (g *playedGateway) SetTimer(in time.Duration) { g.after(in, func() { g.TimerFired(g.now) }) }
func (g *playedGateway) Probe(id logic.HostID) {
	h := g.hosted[id-1]
	g.after(g.way(h), func() {
		l := h.load()
		g.after(g.way(h), func() { g.ProbeEnded(g.now, id, l) })
	})
}
func (g *playedGateway) SendPeerMessage(to int, held []logic.PeerEntry) {
	for _, other := range g.balanced {
		if other != g && (to == other.me || to < 0) {
			g.after(across, func() { other.PeerMessageReceived(g.now, g.me, held) })
		}
	}
}
func (g *playedGateway) RequestHostList() {
	g.watching = true
	g.after(listEach, func() { g.HostListReceived(g.now, logic.ListComplete, g.sizes[0]) })
}

// list is what the list says of now.
func (d *day) list() (all []logic.Host) {
	for _, h := range d.hosted {
		entry := h.Host
		if entry.CapacityHint = h.speed * float64(d.cores); d.from.CapacityHints == logic.LiveCapacity {
			l := logic.LoadReport{InFlight: float64(h.held())}
			if d.says != nil {
				l = d.says(h, l)
			}
			entry.CapacityHint /= 1 + l.InFlight/float64(d.cores)
		}
		all = append(all, entry)
	}
	return all
}

func (d *day) lists() {
	if d.sizes = append(d.sizes, d.list()); len(d.sizes) > listLate {
		d.sizes = d.sizes[1:]
	}
	if d.from.CapacityHints == logic.LiveCapacity {
		for _, g := range d.balanced {
			if g.watching {
				g.HostListReceived(d.now, logic.ListChanges, d.sizes[0])
			}
		}
	}
	d.after(listEach, d.lists)
}

func zoneName(i int) string { return string('a' + rune(i)) }

// newDay makes the day, with plain gateways or with the module.
func newDay(p deployment, plain bool) *day {
	d := &day{deployment: p, now: time.Second, clients: rand.New(rand.NewPCG(p.seed, 1)), luck: rand.New(rand.NewPCG(p.seed, 2))}
	var zones []string
	for i := range p.zones {
		zones = append(zones, zoneName(i))
	}
	for i := range p.hosts {
		h := &playedHost{day: d, speed: 1, met: map[uint32]time.Duration{}, since: d.now,
			Host: logic.Host{ID: logic.HostID(i + 1), Zone: zones[i%p.zones], Kind: "box", Cell: i % 4, State: logic.HostReady}}
		if p.slowest < 1 && i/p.zones%2 == 1 {
			h.Kind, h.speed = "old box", p.slowest
		}
		d.hosted = append(d.hosted, h)
	}
	var profiles []logic.Profile
	for _, k := range p.profiles {
		profiles = append(profiles, k.Profile)
	}
	var tenants []logic.Tenant
	for i := range p.tenants {
		tenants = append(tenants, logic.Tenant{Name: zoneName(i), QuotaPerSecond: 2 * p.perSecond / float64(p.tenants)})
	}
	d.lists()
	for i := range p.gateways {
		g := &playedGateway{day: d, me: i, zone: zones[i%p.zones]}
		if d.balanced = append(d.balanced, g); plain {
			g.Core = &plainGateway{playedGateway: g}
			continue
		}
		g.Core = logic.New(g, d.now, p.seed<<16+uint64(i), logic.Topology{GatewayCount: p.gateways, GatewayIndex: i, Zone: g.zone, Zones: zones}, profiles,
			tenants, logic.ColdHostRule{InitialCapacityFraction: 0.2, WarmUpDuration: 10 * time.Second, OverloadMultiple: 3, OverloadDuration: time.Second}, logic.DrainRule{}, p.hops, p.from, p.price)
		g.HostListReceived(d.now, logic.ListCached, d.sizes[0])
	}
	d.arrive()
	return d
}

// plainGateway takes a host of its zone by chance and never decides anything: a harmless day is measured by it.
type plainGateway struct {
	logic.Core
	*playedGateway
}

func (g *plainGateway) TransactionReceived(_ time.Duration, id logic.TxID, a logic.Arrival) {
	each := g.hosts / g.zones
	at := (g.me%g.zones + g.zones*g.luck.IntN(each))
	g.SendHop(id, logic.HostID(at+1), a.Budget)
}
func (g *plainGateway) HopEnded(time.Duration, logic.TxID, int, logic.HopResult, bool) {}
func (g *plainGateway) ClientLeft(time.Duration, logic.TxID)                           {}
func (g *plainGateway) HostListReceived(time.Duration, logic.ListKind, []logic.Host)   {}

// spreadOut is one by the deployment's spread of work, 1 in the mean.
func (d *day) spreadOut() float64 {
	normal, exponential := d.clients.NormFloat64(), d.clients.ExpFloat64() // always as many draws
	switch d.work {
	case "exponential":
		return exponential
	case "lognormal":
		return math.Exp(d.spread*normal - d.spread*d.spread/2)
	}
	return 1
}

func (d *day) arrive() {
	d.after(time.Duration(d.clients.ExpFloat64()/d.perSecond*float64(time.Second)), func() {
		if d.now-time.Second < d.length {
			d.take()
			d.arrive()
		}
	})
}

func (d *day) take() {
	zone, of, part := d.clients.IntN(d.zones), d.clients.Float64(), d.clients.Float64()
	t := &playedTx{id: logic.TxID(len(d.txs)), at: d.now, tenant: -1}
	mine := (d.gateways - zone + d.zones - 1) / d.zones
	t.gateway = d.balanced[zone+d.zones*int(of*float64(mine))]
	for t.profile = 0; t.profile < len(d.profiles)-1 && part >= d.profiles[t.profile].share; t.profile++ {
		part -= d.profiles[t.profile].share
	}
	p := &d.profiles[t.profile]
	t.work = time.Duration(d.spreadOut() * float64(p.work))
	t.waits = time.Duration(d.spreadOut() * d.waits * float64(p.work))
	if key := d.clients.Float64(); d.keys > 0 { // the more popular the lower, the first some 20 times the last
		t.key = 1 + uint32(20*(math.Pow(float64(d.keys)/20+1, key)-1))
	}
	if tenant := d.clients.IntN(max(1, d.tenants)); d.tenants > 0 {
		t.tenant = tenant
	}
	d.txs = append(d.txs, t)
	budget := 3 * p.ServiceGoal
	t.gateway.TransactionReceived(d.now, t.id, logic.Arrival{ProfileIndex: t.profile, TenantIndex: t.tenant, Budget: budget, AffinityKey: t.key})
	d.after(budget, func() {
		if !t.answered {
			t.answer(d.now, "left")
			t.gateway.ClientLeft(d.now, t.id)
		}
	})
}

// play goes on until then, since the day's start.
func (d *day) play(until time.Duration) *day {
	for len(d.events) > 0 && d.events[0].at <= time.Second+until {
		e := heap.Pop(&d.events).(dayEvent)
		d.now = e.at
		e.do()
	}
	return d
}

// tally counts what became of the transactions that some condition picks, of those that came between two times since the start.
type tally struct {
	taken, committed, inGoal, back, abandoned, further int
	early                                              int // rolled back or abandoned before the service goal
}

func (d *day) tally(from, to time.Duration, of func(*playedTx) bool) (n tally) {
	for _, t := range d.txs {
		if at := t.at - time.Second; at < from || at >= to || of != nil && !of(t) {
			continue
		}
		n.taken++
		n.further += max(0, len(t.hops)-1)
		switch t.how {
		case "committed":
			if n.committed++; t.took <= d.profiles[t.profile].ServiceGoal {
				n.inGoal++
			}
		case "rolled back":
			n.back++
		case "abandoned", "left":
			n.abandoned++
		}
		if t.answered && t.how != "committed" && t.took < d.profiles[t.profile].ServiceGoal-10*ms {
			n.early++
		}
	}
	return n
}

func (n tally) of(part int) float64 { return float64(part) / float64(max(1, n.taken)) }

// breakers are the lines on breakers that opened.
func (d *day) breakers() (lines []string) {
	for _, l := range d.logged {
		if strings.HasSuffix(l, "breaker open true") {
			lines = append(lines, l)
		}
	}
	return lines
}
