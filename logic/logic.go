package logic

// How it is called: a protocol makes one Balancer a gateway with New and calls it through the interface
// Gateway; the Balancer answers through Out. Both are defined, with all plain types, in types.go. There
// is no input or output, clock or goroutine in here: time comes with each call, and the same calls give
// the same decisions.

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

const (
	tick        = 100 * time.Millisecond // telling and load sampling: a few hops' time, cheap at any size
	slowTick    = 10                     // ticks between weight changes: a second, as the design has it
	askJitter   = 400 * time.Millisecond // spreads first calls for the list; a call's usual time
	askAgain    = time.Second            // least delay after a lost list, doubled up to askMost
	askMost     = 4 * time.Second        // well inside any period after which a gateway counts as told
	rowToOpen   = 5                      // failures in a row that open a breaker, the paper's figure
	shareToOpen = 0.25                   // share of errors that opens it: two close together, see breaker.note
	shareStep   = 0.15                   // smoothing of that share: about the last seven outcomes
	coolFirst   = 2 * time.Second        // first cooldown: one trial costs little, a barred host much
	coolMost    = 5 * time.Second        // longest cooldown, the decision record's figure
	cutFactor   = 0.7                    // weight after a bad second, the decision record's figure
	slowFactor  = 1.5                    // latency over the group's median that cuts it, ditto
	raisePart   = 0.1                    // part of the mean weight gained in a good second, ditto
	sharpness   = 3.0                    // power of the expected time in the draw: twice the time, an eighth of the draws
	weightLeast = 0.1                    // of the mean weight, ditto
	weightMost  = 2.0                    // of the mean weight, ditto
	paceStep    = 0.1                    // smoothing of a host's pace: its last ten answers
	workStep    = 0.02                   // smoothing of a profile's time: the last fifty answers
	firstGuess  = 0.25                   // of the service goal: time of a profile never seen
	overdue     = 2.0                    // expected times after which a time-out counts for the breaker
	silentRuns  = 3.0                    // latencies over hops out without an answer that make a host silent
	silentLeast = 20 * time.Millisecond  // network noise on top of it
	fullFrom    = 0.25                   // of the goal: expected time at which a group is near full, before price
	fullMost    = 0.9                    // of the goal: the same where a crossing is dear
	busyFull    = 0.85                   // reported utilisation of a full group, the paper's figure
	busyAge     = 2 * time.Second        // a report older than this says nothing of now
	admitMost   = 0.9                    // of the goal: expected time over which a transaction is rolled back
	admitTail   = 0.7                    // the same where a missed goal costs more than its own revenue
	overAdmit   = 0.2                    // the same for a tenant over its share
	overSlack   = 1.2                    // a tenant's traffic over its portion that is still within it
	goalSlack   = 5 * time.Millisecond   // an answer must leave this much before the goal to reach its client
	copyEarly   = 1.5                    // expected times before a second copy, at the least
	copyLate    = 2.5                    // and at the most
	toldAge     = time.Second            // what a gateway told counts for this long: ten tells
	coldPart    = 0.8                    // of this gateway's share of a cold host's budget that it spends
	meanStep    = 0.05                   // smoothing of a host's load, a tick: two seconds
	nanos       = float64(time.Second)
)

// Balancer decides for one gateway.
type Balancer struct {
	out      Out
	place    Place
	profiles []Profile
	hops     HopRule
	loads    LoadSource
	price    Price
	now      time.Duration
	table    table
	seed     uint32
	count    uint32
	txs      map[TxID]*tx
	due      []dueItem     // by time
	armed    time.Duration // when the timer set falls due, 0 for none
	nextTick time.Duration
	ticks    int
	work     []average // a profile's time on a host of usual pace with a core free, in nanoseconds
	revenue  average   // of the transactions taken
	admit    admission
	told     []time.Duration // when each gateway last told
	shed     int             // transactions rolled back on arrival since the last slow tick
	spilt    int
}

// New makes the decisions of one gateway; seed is the root of all its chance.
func New(out Out, now time.Duration, seed uint64, place Place, profiles []Profile, tenants []Tenant,
	cold ColdRule, hops HopRule, loads LoadSource, price Price) *Balancer {
	b := &Balancer{out: out, now: now, place: place, profiles: profiles, hops: hops, loads: loads, price: price,
		txs: map[TxID]*tx{}, work: make([]average, len(profiles)), told: make([]time.Duration, place.Gateways),
		seed:  crc32.ChecksumIEEE(binary.LittleEndian.AppendUint64(nil, seed)),
		table: table{byID: map[HostID]*host{}, cold: cold, gateways: place.Gateways, profiles: len(profiles)},
		admit: admission{tenants: make([]tenant, len(tenants)), most: admitMost}}
	for i, z := range place.Zones {
		if z == place.Zone {
			b.table.zones = append(slices.Clone(place.Zones[i:]), place.Zones[:i]...)
		}
	}
	if price.Misses {
		b.admit.most = admitTail
	}
	for i, t := range tenants {
		b.admit.tenants[i] = tenant{quota: t.Quota}
	}
	for i, p := range profiles {
		b.work[i].value = firstGuess * float64(p.Goal)
	}
	b.at(now+time.Duration(b.chance()*float64(askJitter)), func() { b.out.AskList() })
	b.nextTick = now + tick
	b.arm()
	return b
}

// chance draws evenly from [0, 1).
func (b *Balancer) chance() float64 {
	b.count++
	var c [8]byte
	binary.LittleEndian.PutUint32(c[:], b.count)
	binary.LittleEndian.PutUint32(c[4:], b.seed)
	return float64(crc32.Update(b.seed, crc32.IEEETable, c[:])) / (1 << 32)
}

// average is a smoothed value that trusts its first samples.
type average struct{ value, n float64 }

func (a *average) add(x, step float64) {
	a.n++
	a.value += max(step, 1/a.n) * (x - a.value)
}

// The due times, in order.

type dueItem struct {
	at time.Duration
	do func()
}

func (b *Balancer) at(when time.Duration, do func()) {
	i := len(b.due)
	for i > 0 && b.due[i-1].at > when {
		i--
	}
	b.due = slices.Insert(b.due, i, dueItem{when, do})
	b.arm()
}

func (b *Balancer) arm() {
	when := b.nextTick
	if len(b.due) > 0 {
		when = min(when, b.due[0].at)
	}
	if when > 0 && (b.armed == 0 || when < b.armed) {
		b.armed = when
		b.out.SetTimer(max(when-b.now, 1))
	}
}

func (b *Balancer) Timer(now time.Duration) {
	b.now = now
	if now < b.armed {
		return // one set earlier, that a nearer time has replaced
	}
	b.armed = 0
	for len(b.due) > 0 && b.due[0].at <= now {
		do := b.due[0].do
		b.due = slices.Delete(b.due, 0, 1)
		do()
	}
	if now >= b.nextTick {
		b.nextTick = now + tick
		b.periodic()
	}
	b.arm()
}

func (b *Balancer) periodic() {
	b.ticks++
	msg := make([]byte, 0, 256)
	for i, h := range b.table.ready {
		h.load.add(float64(h.own)+h.others, meanStep)
		if b.loads.Tells && h.own > 0 && len(msg)+5 <= 256 {
			msg = append(binary.LittleEndian.AppendUint32(msg, uint32(h.ID)), byte(min(h.own, 255)))
		}
		if b.loads.ByProbe && (b.ticks+i)%slowTick == 0 && !b.table.isCold(h, b.now) {
			b.out.Probe(h.ID)
		}
	}
	if b.loads.Tells && b.place.Gateways > 1 {
		b.out.Tell(msg)
	}
	for from, at := range b.told {
		if at > 0 && b.now-at > toldAge {
			b.hear(from, nil)
			b.told[from] = 0
		}
	}
	if b.ticks%slowTick != 0 {
		return
	}
	for _, g := range b.table.groups {
		reweigh(g)
	}
	b.admit.count(float64(b.place.Gateways), slowTick*tick.Seconds())
	if b.shed+b.spilt > 0 {
		b.out.Log(fmt.Sprintf("last second: %d rolled back on arrival, %d spilt", b.shed, b.spilt))
		b.shed, b.spilt = 0, 0
	}
}

// The host table: the list, drains and the cold budget.

type host struct {
	Host
	own    int     // hops of this gateway out
	others float64 // hops of the other gateways out, as told
	told   []byte
	load   average // hops out of all gateways
	health
	sent []time.Duration // hops within the last TipAfter, kept while cold
}

type table struct {
	byID               map[HostID]*host
	ready              []*host
	groups             [][]*host // ready hosts by zone, the own one first
	zones              []string
	cold               ColdRule
	gateways, profiles int
	asks               int
}

func (b *Balancer) List(now time.Duration, kind ListKind, hosts []Host) {
	b.now = now
	t := &b.table
	if kind == Lost {
		wait := min(askAgain<<min(t.asks, 8), askMost)
		t.asks++
		b.out.Log(fmt.Sprintf("list lost, %d times in a row", t.asks))
		b.at(now+time.Duration((0.5+b.chance())*float64(wait)), func() { b.out.AskList() })
		return
	}
	if kind != Cached {
		t.asks = 0
	}
	if kind != Changes {
		for _, h := range t.byID {
			h.State = Gone
		}
	}
	for _, entry := range hosts {
		h := t.byID[entry.ID]
		if h == nil || entry.State == Ready && h.Started != entry.Started {
			// A host that has started again is cold and has no record; hops out to it are still counted.
			fresh := &host{Host: entry, told: make([]byte, t.gateways), health: newHealth(t.profiles)}
			fresh.pace.value = t.paceOf(entry.Kind)
			if h != nil {
				fresh.own, fresh.others, fresh.told = h.own, h.others, h.told
				*h = *fresh
			} else {
				t.byID[entry.ID] = fresh
			}
			continue
		}
		h.Host = entry
	}
	t.group()
}

func (t *table) group() {
	t.ready = t.ready[:0]
	for _, h := range t.byID {
		if h.State == Ready {
			t.ready = append(t.ready, h)
		}
	}
	slices.SortFunc(t.ready, func(a, b *host) int { return cmp.Compare(a.ID, b.ID) })
	t.groups = make([][]*host, len(t.zones))
	for _, h := range t.ready {
		if i := slices.Index(t.zones, h.Zone); i >= 0 {
			t.groups[i] = append(t.groups[i], h)
		}
	}
	for _, g := range t.groups {
		mean, n := 0.0, 0.0
		for _, h := range g {
			if h.weight > 0 {
				mean, n = mean+h.weight, n+1
			}
		}
		for _, h := range g {
			if h.weight == 0 { // new servers start at the mean weight
				h.weight = 1
				if n > 0 {
					h.weight = mean / n
				}
			}
		}
	}
}

func (t *table) paceOf(kind string) float64 {
	var like, all average
	for _, h := range t.ready {
		if h.pace.n > 0 {
			all.add(h.pace.value, 0)
			if h.Kind == kind {
				like.add(h.pace.value, 0)
			}
		}
	}
	switch {
	case like.n > 0:
		return like.value
	case all.n > 0:
		return all.value
	}
	return 1
}

func (t *table) isCold(h *host, now time.Duration) bool {
	return h.Started > 0 && now-h.Started < t.cold.WarmUp
}

// coldRoom tells whether a hop now stays within this gateway's share of a cold host's budget. Capacity is judged
// from what warm hosts of the kind, or failing these of any kind, get through.
func (t *table) coldRoom(h *host, now time.Duration) bool {
	if !t.isCold(h, now) {
		return true
	}
	for len(h.sent) > 0 && now-h.sent[0] >= t.cold.TipAfter {
		h.sent = h.sent[1:]
	}
	var like, all average
	for _, o := range t.ready {
		if !t.isCold(o, now) && o.lat.n > 0 {
			through := o.load.value / o.lat.value * nanos
			all.add(through, 0)
			if o.Kind == h.Kind {
				like.add(through, 0)
			}
		}
	}
	if like.n == 0 {
		like.value = all.value
	}
	share := t.cold.From + (1-t.cold.From)*float64(now-h.Started)/float64(t.cold.WarmUp)
	budget := coldPart * t.cold.Multiple / float64(t.gateways) * share * like.value * t.cold.TipAfter.Seconds()
	return float64(len(h.sent)) < max(1, math.Floor(budget))
}

func (b *Balancer) Told(now time.Duration, from int, msg []byte) {
	b.now = now
	if from >= 0 && from < len(b.told) {
		b.told[from] = now
		b.hear(from, msg)
	}
}

func (b *Balancer) hear(from int, msg []byte) {
	for _, h := range b.table.ready {
		h.others -= float64(h.told[from])
		h.told[from] = 0
	}
	for ; len(msg) >= 5; msg = msg[5:] {
		if h := b.table.byID[HostID(binary.LittleEndian.Uint32(msg))]; h != nil && h.State == Ready {
			h.others += float64(msg[4]) - float64(h.told[from])
			h.told[from] = msg[4]
		}
	}
}

// Health: breakers, weight and latency of a host.

type breaker struct {
	row          int
	share        float64
	open, trying bool
	until, cool  time.Duration
}

// note takes an outcome and tells whether the breaker changed. Late answers to hops sent before it opened do not
// close it: only a trial does. An error counts by its share too, since a host that errs on half of its hops may
// never err five times in a row; a time-out does not, for when all are slow that would open every breaker.
func (k *breaker) note(bad, errs bool, now time.Duration, jitter float64) bool {
	switch {
	case !bad && k.open && !k.trying:
		return false
	case !bad:
		changed := k.open
		k.row, k.open, k.trying = 0, false, false
		k.share *= 1 - shareStep
		if changed {
			k.share = min(k.share, shareToOpen/2) // one more error opens it again
		} else if k.share < shareStep/2 {
			k.cool = 0
		}
		return changed
	}
	k.row++
	if errs {
		k.share += shareStep * (1 - k.share)
	}
	if k.open && !k.trying || !k.open && k.row < rowToOpen && k.share < shareToOpen {
		return false
	}
	changed := !k.open
	k.cool = min(max(2*k.cool, coolFirst), coolMost)
	k.open, k.trying = true, false
	k.until = now + time.Duration((0.75+jitter/2)*float64(k.cool)) // apart from the other gateways' trials
	return changed
}

type health struct {
	weight  float64
	bad     bool    // a failure or full answer since the last slow tick
	pace    average // times the profile's usual time, with a core free
	lat     average // time of an answer, waits included
	slots   float64 // hops in work at once, where reports show it
	busy    float64 // reported utilisation
	busyAt  time.Duration
	waiting time.Duration // since when hops are out without any answer, 0 if none
	whole   breaker
	by      []breaker // a profile
}

func newHealth(profiles int) health { return health{slots: 1, by: make([]breaker, profiles)} }

// silent tells whether a host takes work and answers nothing: far longer without an answer than its hops out
// explain. It is passed over until it answers, long before its hops time out.
func (h *host) silent(now time.Duration) bool {
	return h.own > 0 && h.waiting > 0 && h.lat.n > 0 &&
		float64(now-h.waiting) > h.lat.value*(1+silentRuns/float64(h.own))+float64(silentLeast)
}

func (h *host) closed(profile int) bool { return !h.whole.open && !h.by[profile].open }

func (h *host) trialDue(profile int, now time.Duration) bool {
	ok := func(k *breaker) bool { return !k.open || now >= k.until && !k.trying }
	return !h.closed(profile) && ok(&h.whole) && ok(&h.by[profile])
}

func (h *host) report(l Load, now time.Duration) {
	if l.Busy >= 0 {
		h.busy, h.busyAt = l.Busy, now
	}
	if l.Waiting > 0 && l.Held > l.Waiting {
		h.slots = max(1, h.slots+paceStep*(l.Held-l.Waiting-h.slots))
	}
}

func reweigh(g []*host) {
	var lats []float64
	mean := 0.0
	for _, h := range g {
		mean += h.weight / float64(len(g))
		if h.lat.n > 0 {
			lats = append(lats, h.lat.value)
		}
	}
	slices.Sort(lats)
	for _, h := range g {
		if h.bad || len(lats) > 0 && h.lat.value > slowFactor*lats[len(lats)/2] {
			h.weight *= cutFactor
		} else {
			h.weight += raisePart * mean
		}
		h.weight = min(max(h.weight, weightLeast*mean), weightMost*mean)
		h.bad = false
	}
}

// Group choice and draw.

// expect is the time that a hop of the profile is likely to take on the host.
func (b *Balancer) expect(h *host, profile int) float64 {
	return b.work[profile].value * h.pace.value * max(1, (float64(h.own)+h.others+1)/h.slots)
}

// choose takes the own group until it is near full, then the further one that promises most. fit narrows the hosts
// to those that the transaction may still go to.
func (b *Balancer) choose(t *tx) (pick *host, expected float64) {
	p := &b.profiles[t.profile]
	goal := float64(p.Goal)
	dear := b.price.Crossing * b.revenue.value / p.Revenue // what a crossing costs against what this one earns
	near := min(fullFrom+2*dear, fullMost) * goal
	for _, barred := range []bool{false, true} { // where every breaker is open, all allowed hosts
		for i, g := range b.table.groups {
			h, e := b.draw(g, t, barred, near)
			if h == nil {
				continue
			}
			if i == 0 && (e <= near || h.trialDue(t.profile, b.now)) {
				return h, e
			}
			if i > 0 {
				e += dear * goal / 2
			}
			if pick == nil || e < expected {
				pick, expected = h, e
			}
		}
		if pick != nil {
			return pick, expected
		}
	}
	return nil, 0
}

// draw picks from a group by weight, and once more where the first is slower than the mean; where the pick is near
// full all the same, the host that promises most. Weights change once a second and time-outs come sooner than that,
// so a weight counts for less as far as its host's expected time is over the shortest.
func (b *Balancer) draw(g []*host, t *tx, barred bool, near float64) (*host, float64) {
	var room [32]choice
	open, best := room[:0], -1
	for _, h := range g {
		if !t.fits(h, b.now) || !b.table.coldRoom(h, b.now) {
			continue
		}
		e := b.expect(h, t.profile)
		if !barred && (!h.closed(t.profile) || h.silent(b.now)) {
			// A trial is never a transaction that must not run twice, unless its own profile is on trial.
			if h.trialDue(t.profile, b.now) && !h.silent(b.now) &&
				(t.prof.Effect != NonIdempotent || !h.whole.open) {
				return h, e
			}
			continue
		}
		open = append(open, choice{h, e, 0})
		if best < 0 || e < open[best].expected {
			best = len(open) - 1
		}
	}
	if best < 0 {
		return nil, 0
	}
	weights, mean := 0.0, 0.0
	for i := range open {
		c := &open[i]
		c.weight = c.host.weight * math.Pow(open[best].expected/c.expected, sharpness)
		weights += c.weight
		mean += c.expected / float64(len(open))
	}
	pick := b.weighted(open, weights)
	if pick.expected > mean {
		if again := b.weighted(open, weights); again.expected < pick.expected {
			pick = again
		}
	}
	if pick.expected > near {
		pick = &open[best]
	}
	return pick.host, pick.expected
}

type choice struct {
	host             *host
	expected, weight float64
}

func (b *Balancer) weighted(open []choice, weights float64) *choice {
	x := b.chance() * weights
	for i := range open {
		if x -= open[i].weight; x < 0 {
			return &open[i]
		}
	}
	return &open[len(open)-1]
}

// Admission.

type tenant struct{ quota, rate, tokens, taken float64 }

type admission struct {
	tenants []tenant
	most    float64 // of the goal
}

// over tells whether a transaction goes beyond its tenant's share.
func (a *admission) over(i int) bool {
	if i < 0 {
		return false
	}
	t := &a.tenants[i]
	t.taken++
	if t.rate == 0 {
		return false
	}
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// count gives each tenant the tokens of a further second. A gateway does not know its part of the traffic: it is held
// to be an even part, or as much as the middle tenant shows, so that a busy gateway takes no tenant for greedy.
func (a *admission) count(gateways, seconds float64) {
	var parts []float64
	for i := range a.tenants {
		t := &a.tenants[i]
		t.rate += 0.3 * (t.taken/seconds - t.rate)
		t.taken = 0
		parts = append(parts, t.rate/t.quota)
	}
	slices.Sort(parts)
	for i := range a.tenants {
		t := &a.tenants[i]
		grant := t.quota * max(1/gateways, parts[len(parts)/2]) * overSlack * seconds
		t.tokens = min(t.tokens+grant, 2*grant)
	}
}

// A transaction's path.

type hop struct {
	host *host
	at   time.Duration
	load float64 // hops at the host when it was sent, itself included
	then func(Result)
	end  End
	over bool
}

type tx struct {
	id        TxID
	profile   int
	prof      *Profile
	stop      time.Duration // when an answer earns nothing more, or the budget ends
	goalAt    time.Duration
	hops      []hop
	out       int
	done      bool
	streaming bool
}

// ran is the first hop that may have run, or still may.
func (t *tx) ran() *hop {
	for i := range t.hops {
		if !t.hops[i].over || !t.hops[i].end.NeverRan() {
			return &t.hops[i]
		}
	}
	return nil
}

// fits keeps the second rule: no host that would make an effect happen twice, and none tried before.
func (t *tx) fits(h *host, now time.Duration) bool {
	if len(t.hops) == 0 {
		return true
	}
	for i := range t.hops {
		if t.hops[i].host == h {
			return false
		}
	}
	r := t.ran()
	if r == nil || t.prof.Effect == Idempotent {
		return true
	}
	if t.prof.Effect == NonIdempotent || now-r.at >= t.prof.Window-goalSlack {
		return false
	}
	return t.prof.Reach == AllHosts || t.prof.Reach == SameZone && h.Zone == r.host.Zone ||
		t.prof.Reach == SameCell && h.Cell == r.host.Cell
}

func (t *tx) mayRollBack() bool {
	return t.prof.Effect == Idempotent || t.ran() == nil ||
		t.prof.Effect == Journalled && t.prof.Reach == AllHosts
}

func (b *Balancer) Take(now time.Duration, id TxID, a Arrival) {
	b.now = now
	p := &b.profiles[a.Profile]
	t := &tx{id: id, profile: a.Profile, prof: p, stop: now + a.Budget, goalAt: now + p.Goal - goalSlack}
	// Stopped at its goal, an idempotent one would only come again: a late answer at least ends its client's tries.
	if p.LateRevenue == 0 && p.Effect != Idempotent {
		t.stop = min(t.stop, t.goalAt)
	}
	b.revenue.add(p.Revenue, workStep)
	b.txs[id] = t
	over := b.admit.over(a.Tenant)
	h, e := b.choose(t)
	most := b.admit.most + p.LateRevenue/2
	if over {
		most = overAdmit
	}
	// An idle host is always worth a hop: it alone shows that an estimate is out of date.
	if h == nil || e > most*float64(p.Goal) && h.own > 0 {
		b.shed++
		b.finish(t)
		return
	}
	b.send(t, h, e)
}

func (b *Balancer) send(t *tx, h *host, expected float64) {
	i := len(t.hops)
	if h.Zone != b.place.Zone {
		b.spilt++
	}
	for _, k := range []*breaker{&h.whole, &h.by[t.profile]} {
		k.trying = k.open && b.now >= k.until
	}
	if b.table.isCold(h, b.now) {
		h.sent = append(h.sent, b.now)
	}
	h.own++
	if h.waiting == 0 {
		h.waiting = b.now
	}
	t.out++
	t.hops = append(t.hops, hop{host: h, at: b.now, load: float64(h.own) + h.others,
		then: func(r Result) { b.next(t) }})
	b.out.Hop(t.id, h.ID, t.stop-b.now)
	if t.prof.Effect == NonIdempotent || !b.hops.SecondCopies || i+1 >= b.hops.Most {
		return
	}
	left := float64(t.stop - b.now)
	after := max(copyEarly*expected, min(copyLate*expected, left-copyEarly*expected))
	if after < left {
		b.at(b.now+time.Duration(after), func() {
			if !t.done && !t.streaming && !t.hops[i].over && i == len(t.hops)-1 {
				b.copyTo(t)
			}
		})
	}
}

// copyTo sends a second copy where another host can still answer in time and is not near full itself.
func (b *Balancer) copyTo(t *tx) {
	h, e := b.choose(t)
	if h != nil && e < float64(t.stop-b.now) && e <= fullFrom*float64(t.prof.Goal) {
		b.send(t, h, e)
	}
}

// next goes on after a hop that has not answered: another one, or the end.
func (b *Balancer) next(t *tx) {
	if t.out > 0 {
		return
	}
	if len(t.hops) < b.hops.Most {
		if h, e := b.choose(t); h != nil && e < float64(t.stop-b.now) {
			b.send(t, h, e)
			return
		}
	}
	b.finish(t)
}

// finish gives the final answer at once: rolled back where nothing is left behind, abandoned where that is unsure.
func (b *Balancer) finish(t *tx) {
	t.done = true
	if t.mayRollBack() {
		b.out.RollBack(t.id, 0)
	} else {
		b.out.Abandon(t.id)
	}
	b.settle(t)
}

// settle calls off what is still out of a transaction that has ended, and forgets it when nothing is.
func (b *Balancer) settle(t *tx) {
	if t.out == 0 {
		delete(b.txs, t.id)
		return
	}
	for i := range t.hops {
		if !t.hops[i].over && b.hops.CallOff {
			b.out.CallOff(t.id, i)
		}
	}
}

func (b *Balancer) HopEnded(now time.Duration, id TxID, i int, _ HostID, r Result, over bool) {
	b.now = now
	t := b.txs[id]
	if t == nil || i < 0 || i >= len(t.hops) || t.hops[i].over {
		return
	}
	k := &t.hops[i]
	k.over, k.end = true, r.End
	t.out--
	b.learn(k, t.profile, r)
	if t.done {
		b.settle(t)
		return
	}
	if over {
		t.done = true
		b.settle(t)
		return
	}
	k.then(r)
}

func (b *Balancer) learn(k *hop, profile int, r Result) {
	h := k.host
	h.own--
	h.report(r.Load, b.now)
	if h.waiting = b.now; h.own == 0 {
		h.waiting = 0
	}
	took, slots := float64(r.Took), max(1, k.load/h.slots)
	bad, errs := false, false
	switch r.End {
	case Committed:
		h.lat.add(took, paceStep)
		b.work[profile].add(took/slots/h.pace.value, workStep)
		h.pace.add(took/slots/b.work[profile].value, paceStep)
	case TimedOut:
		// Where all are slow, hops time out everywhere; only one far over its expected time speaks of a host that hangs.
		expected := b.work[profile].value * h.pace.value * slots
		bad = took > overdue*expected
		h.lat.add(max(took, h.lat.value), paceStep)
		h.pace.add(max(took/slots/b.work[profile].value, h.pace.value), paceStep)
	case Error, Broken, NoConnection:
		bad, errs = true, true
	case Full:
		h.bad = true
		return
	default:
		h.whole.trying, h.by[profile].trying = false, false
		return
	}
	h.bad = h.bad || r.End != Committed
	if r.End == TimedOut && !bad {
		return
	}
	for _, c := range []*breaker{&h.whole, &h.by[profile]} {
		if c.note(bad, errs, b.now, b.chance()) {
			b.out.Log(fmt.Sprintf("host %d profile %s: breaker open %t", h.ID, b.profiles[profile].Name, c.open))
		}
	}
}

func (b *Balancer) Begun(now time.Duration, id TxID, i int) {
	b.now = now
	if t := b.txs[id]; t != nil {
		t.streaming = true
	}
}

func (b *Balancer) Left(now time.Duration, id TxID) {
	b.now = now
	if t := b.txs[id]; t != nil && !t.done {
		t.done = true
		b.settle(t)
	}
}

func (b *Balancer) Probed(now time.Duration, id HostID, l Load) {
	b.now = now
	if h := b.table.byID[id]; h != nil {
		h.report(l, now)
	}
}
