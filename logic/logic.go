package logic

// How it is called: a protocol makes a Balancer with New and calls it through Gateway; it answers through
// Out. Both are defined in types.go, what it remembers in state.go. There is no input, output, clock or
// goroutine in here. The sections: time, host table, health, group choice and draw, admission, path.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	tick        = 10 * time.Millisecond  // changes wait so long to be told together: far less than a hop's time
	second      = time.Second            // between weight changes, as the decision record has it
	fewGateways = 8                      // that may each tell, probe and try for themselves at a bearable price
	askWait     = 100 * time.Millisecond // for a host drawn by another gateway: some messages' time
	relayTick   = 25 * time.Millisecond  // between sums told to those that draw for other zones
	askEach     = 25 * time.Millisecond  // of a list source's time for each gateway: some dozen calls a second
	askAgain    = time.Second            // first delay after a lost list, doubled twice; lists are seconds late
	rowToOpen   = 5                      // failures in a row that open a breaker, the paper's figure
	shareToOpen = 0.25                   // share of errors over that at all hosts: two or three close together
	shareStep   = 0.15                   // smoothing of that share: about the last seven outcomes
	coolFirst   = 2 * time.Second        // first cooldown: one trial costs little, a barred host much
	coolMost    = 5 * time.Second        // longest cooldown, the decision record's figure
	cutFactor   = 0.7                    // weight after a bad second, the decision record's figure
	slowFactor  = 1.5                    // latency over the median that cuts it, ditto; well over the mean
	raisePart   = 0.1                    // part of the mean weight gained in a good second, ditto
	weightLeast = 0.1                    // of the mean weight, ditto
	weightMost  = 2.0                    // of the mean weight, ditto
	paceLeast   = 0.5                    // of the usual pace: hosts are hardly ever twice as fast as the mean
	paceStep    = 0.1                    // smoothing of a host's pace and a tenant's rate: their last ten
	forget      = 0.2                    // of a pace over the usual, a second: gone in some ten
	workStep    = 0.02                   // smoothing of a profile's time: the last fifty answers
	firstGuess  = 0.25                   // of the service goal: time of a profile never seen
	staleAge    = 2 * time.Second        // after which reports, tells and a host's pace say little of now
	priorPaces  = 3.0                    // answers for which the usual pace counts at a new host
	copyAfter   = 2.0                    // expected times after which a second copy is sent
	freeRise    = 0.005                  // a second: how fast the least time of a profile is forgotten, minutes
	overdue     = 2.0                    // expected times after which a time-out counts for the breaker
	silentRuns  = 3.0                    // latencies, over hops out, without an answer that make a host silent
	fullFrom    = 0.25                   // of the goal: expected time from which a group is near full
	fullMost    = 0.9                    // of the goal: the same at most, as twice a crossing's price is added
	crowdFree   = 2.0                    // hops a slot, the new one too, up to which a host is never near full
	busyFull    = 0.85                   // reported utilisation of a full group, the paper's figure
	admitMost   = 0.9                    // of the goal: expected time over which a transaction is rolled back
	admitTail   = 0.7                    // the same where a missed goal costs more than its own revenue
	yieldFrom   = 2.5                    // times the revenue for the same work to which a profile yields
	yieldPart   = 0.8                    // of the expected time at which that one would be rolled back
	crowdMost   = 2.2                    // hops a slot over which a host gets no more done and only slows down
	crowdUntold = 3.0                    // the same where only the own ones are known, and the time is the least
	busyCalm    = 0.6                    // reported utilisation well under that, where a host has room for anyone
	overCrowd   = 1.0                    // the same for a tenant over its share: a free slot at a usual host
	greedyFrom  = 1.5                    // of its portion that makes a tenant greedy: more than chance does
	overSlack   = 1.2                    // of its portion that it has all the same, as the portion is a guess
	goalSlack   = 5 * time.Millisecond   // by which an answer must come before the goal to reach its client
	coldPart    = 0.8                    // of this gateway's share of a cold host's budget that it spends
)

// at has something done at its time; the one timer is set for the first of these.
func (b *Balancer) at(when time.Duration, do func()) {
	b.due.add(when, do)
	b.due.arm(b.now, b.out.SetTimer)
}

func (b *Balancer) Timer(now time.Duration) {
	b.now = now
	for do := b.due.next(now); do != nil; do = b.due.next(now) {
		do()
	}
	b.due.arm(now, b.out.SetTimer)
}

// periodic is the work of each second.
func (b *Balancer) periodic() {
	b.at(b.now+second, b.periodic)
	for _, h := range b.table.ready {
		for from, k := range h.heldBy { // order does not matter: what is too old goes
			if b.now-k.at > staleAge {
				h.others -= k.hops
				delete(h.heldBy, from)
			}
		}
		if h.own > 0 || h.again { // said once more, as messages may be lost
			b.unsaid(h)
		}
		h.again = false
		if to := b.drawer(h.group); b.from.Probes && !b.table.isCold(h, b.now) && (to == b.place.Me || to < 0 && b.rare()) {
			b.out.Probe(h.ID)
		}
	}
	for _, g := range b.table.groups {
		if g.awaited > g.heard && b.now-g.awaited > staleAge {
			g.skip++ // who collects for this zone is silent: the next one
			g.awaited = 0
		}
		reweigh(g.hosts)
	}
	b.settlePaces()
	b.admit.refill(float64(b.place.Gateways), second.Seconds())
	if b.shed > 0 {
		b.out.Log(fmt.Sprintf("last second: %d rolled back on arrival, %d hops into other zones", b.shed, b.spilt))
	}
	b.shed, b.spilt = 0, 0
}

// rare lets by chance do what each of a few gateways may do: many together then do no more than a few would.
func (b *Balancer) rare() bool { return b.chance.draw()*float64(b.place.Gateways) < fewGateways }

// The host table: the list, drains and the cold budget.

func (b *Balancer) List(now time.Duration, kind ListKind, hosts []Host) {
	b.now = now
	t := &b.table
	switch kind {
	case Lost:
		t.lost++
		b.out.Log(fmt.Sprintf("list lost, %d times in a row", t.lost))
		b.at(now+b.spread(min(askAgain<<min(t.lost-1, 2), b.from.AskWithin)), b.out.AskList)
		return
	case Whole, Cached:
		for _, h := range t.byID {
			h.State = Gone
		}
	}
	if kind != Cached {
		t.lost = 0
	}
	for _, entry := range hosts {
		h := cmp.Or(t.byID[entry.ID], &host{heldBy: map[int]heldBy{}})
		t.byID[entry.ID], t.models[entry.Kind] = h, cmp.Or(t.models[entry.Kind], &model{})
		if h.by == nil || entry.State == Ready && h.Started != entry.Started {
			// A host that has started again is cold and without a record; what is out to it still counts.
			h.health, h.sent = health{weight: 1, pace: average{1, priorPaces},
				by: make([]breaker, len(b.profiles)), model: t.models[entry.Kind]}, nil
		}
		if h.Host = entry; h.sent == nil && t.isCold(h, now) {
			h.sent = []time.Duration{}
			b.out.Log(fmt.Sprintf("host %d starts cold", h.ID))
		}
	}
	t.ready = nil
	for _, g := range t.groups {
		g.hosts = nil
	}
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		h := t.byID[id]
		i := slices.IndexFunc(t.groups, func(g *group) bool { return g.zone == h.Zone })
		if h.State == Ready && i >= 0 {
			h.group = t.groups[i]
			t.ready, h.group.hosts = append(t.ready, h), append(h.group.hosts, h)
		} else if h.State == Gone && h.own == 0 {
			delete(t.byID, id)
		}
	}
}

// spread is a time by chance for a call of the list. All gateways in step would be late together, and the more
// there are, the longer one source takes to answer them.
func (b *Balancer) spread(usual time.Duration) time.Duration {
	all := min(max(usual, time.Duration(b.place.Gateways)*askEach), b.from.AskWithin/2)
	return time.Duration(b.chance.draw() * float64(all))
}

// coldRoom tells whether a further hop stays within this gateway's even share of a cold host's budget. It is
// judged from what warm hosts like it get through. A share of less than a hop is kept by chance: the host is let
// into a draw as often as it is warm, so that all together send it that part of what a warm one gets.
func (b *Balancer) coldRoom(h *host) bool {
	c := &b.table.cold
	if !b.table.isCold(h, b.now) {
		return true
	}
	for len(h.sent) > 0 && b.now-h.sent[0] >= c.TipAfter {
		h.sent = h.sent[1:]
	}
	warm := c.From + (1-c.From)*float64(b.now-h.Started)/float64(c.WarmUp)
	share := coldPart * warm * c.Multiple * h.model.through.value * c.TipAfter.Seconds() / float64(b.place.Gateways)
	return len(h.sent) < max(1, int(share)) && (share >= 1 || b.place.Gateways <= fewGateways || b.chance.draw() < warm)
}

// What gateways tell each other. Few tell all others what they have out. Many hardly meet a host twice, so for
// each zone one of them draws for all: it is asked for a host for each transaction and told how each hop ended.
// Messages grow with the transactions, not with the square of the gateways. Unanswered, a gateway draws itself.

func (b *Balancer) many() bool { return b.from.Tells && b.place.Gateways > fewGateways }

// drawer is the gateway that draws for a zone, -1 where each draws for itself.
func (b *Balancer) drawer(g *group) int {
	if !b.many() {
		return -1
	}
	return (g.index + g.skip*len(b.table.groups)) % b.place.Gateways
}

// draws tells whether this gateway decides for a zone's hosts by what it sees itself.
func (b *Balancer) draws(g *group) bool {
	to := b.drawer(g)
	return to < 0 || to == b.place.Me
}

// knows tells whether this gateway is told enough of a host: by all gateways, or by the one that draws there.
func (b *Balancer) knows(h *host) bool {
	to := b.drawer(h.group)
	return to < 0 || to == b.place.Me || b.now-h.heldBy[to].at < askWait
}

func (b *Balancer) ask(t *tx) {
	g := b.table.groups[0]
	if b.now-max(g.heard, g.awaited) > staleAge {
		g.awaited = b.now
	}
	b.asking = append(b.asking, t)
	b.out.Tell(b.drawer(g), []Held{{Kind: Asks, Profile: t.profile, Hops: g.index}})
	b.at(b.now+min(askWait, (t.stop-b.now)/2), func() {
		if i := slices.Index(b.asking, t); i >= 0 {
			b.asking = slices.Delete(b.asking, i, i+1)
			b.place1(t)
		}
	})
}

func (b *Balancer) answered(k Held) {
	h := b.table.byID[k.Host]
	if h != nil && h.group != nil {
		b.unsaid(h) // or a host drawn too late, or not taken, would count as out there
	}
	i := slices.IndexFunc(b.asking, func(t *tx) bool { return t.profile == k.Profile })
	if i < 0 {
		return
	}
	t := b.asking[i]
	b.asking = slices.Delete(b.asking, i, i+1)
	switch {
	case t.done:
	case k.Host == 0:
		b.shed++
		b.finish(t)
	case h != nil && h.State == Ready && t.fits(h, b.now) && b.coldRoom(h):
		b.hold(h, b.drawer(b.table.groups[0]), max(0, k.Hops-h.own))
		b.send(t, h, b.expect(h, t.profile))
	default:
		b.place1(t)
	}
}

// hold counts what another gateway has out at a host.
func (b *Balancer) hold(h *host, from, hops int) {
	if h.own+h.others == 0 {
		h.waiting = b.now
	}
	h.others += hops - h.heldBy[from].hops
	h.heldBy[from] = heldBy{hops, b.now}
}

// unsaid has a host told of soon.
func (b *Balancer) unsaid(h *host) {
	if !b.from.Tells || b.place.Gateways < 2 || h.unsaid {
		return
	}
	h.unsaid = true
	if b.untold = append(b.untold, h); len(b.untold) == 1 {
		b.at(b.now+tick, b.tell)
	}
}

func (b *Balancer) tell() {
	for _, g := range b.table.groups {
		var held []Held
		for _, h := range b.untold {
			if h.group == g {
				held = append(append(held, h.ends...), Held{Host: h.ID, Hops: h.own})
				h.again = h.again || h.said != h.own // said once more, as messages may be lost
				h.said, h.unsaid, h.ends = h.own, false, nil
			}
		}
		if to := b.drawer(g); to != b.place.Me && held != nil {
			b.out.Tell(to, held)
		}
	}
	b.untold = b.untold[:0]
}

func (b *Balancer) Told(now time.Duration, from int, held []Held) {
	b.now = now
	for _, k := range held {
		h := b.table.byID[k.Host]
		switch {
		case k.Kind == Answer:
			b.table.groups[0].heard = now
			b.answered(k)
		case k.Kind == Asks && k.Profile < len(b.profiles):
			b.drawFor(from, k)
		case h == nil || h.State != Ready:
		case k.Kind == Sum:
			h.pace.value = float64(k.Took) / b.work[0].value
			b.hold(h, from, k.Hops)
		case k.Kind == Ended && k.Profile < len(b.profiles):
			b.learn(h, float64(max(1, k.Hops)), k.Profile, Result{k.End, k.Took, NoLoad})
		case k.Kind == Out:
			b.hold(h, from, k.Hops)
		}
	}
}

// drawFor draws a host for a transaction of another gateway, which counts as out there from now on.
func (b *Balancer) drawFor(from int, k Held) {
	t := &tx{profile: k.Profile, prof: &b.profiles[k.Profile], home: b.table.groups[0]}
	for _, g := range b.table.groups {
		if g.index == k.Hops {
			t.home = g
		}
	}
	answer := Held{Kind: Answer, Profile: k.Profile}
	if h, _ := b.choose1(t); h != nil {
		answer.Host, answer.Hops = h.ID, h.own+h.others
		if to := b.drawer(h.group); to != b.place.Me {
			from1 := to // until its next sum
			b.hold(h, from1, h.heldBy[from1].hops+1)
		} else {
			b.hold(h, from, h.heldBy[from].hops+1)
		}
		h.tried(k.Profile, b.now)
	}
	b.out.Tell(from, []Held{answer})
	if !b.relaying {
		b.relaying = true
		b.relay()
	}
}

// relay tells those that draw for other zones how the hosts of this one stand.
func (b *Balancer) relay() {
	b.at(b.now+relayTick, b.relay)
	var sums []Held
	for _, g := range b.table.groups {
		for _, h := range g.hosts {
			if b.drawer(g) == b.place.Me && !h.whole.open && !b.silent(h) {
				sums = append(sums, Held{Kind: Sum, Host: h.ID, Hops: h.own + h.others,
					Took: time.Duration(h.pace.value * b.work[0].value)})
			}
		}
	}
	for _, g := range b.table.groups {
		if to := b.drawer(g); to != b.place.Me {
			b.out.Tell(to, sums)
		}
	}
}

// Health: breakers, latency and weight of a host.

// note takes an outcome and tells whether the breaker changed. Only a trial's answer closes it, as late
// answers to hops sent before prove nothing. A host that errs on half of its hops may never err five times in
// a row, so the share of errors counts too.
func (k *breaker) note(bad bool, errs, usual float64, now time.Duration, chance float64) bool {
	was := k.open
	switch {
	case !bad && was && !k.trying:
	case !bad:
		k.row, k.open, k.trying, k.cool = 0, false, false, 0
		k.share *= 1 - shareStep
		if was {
			k.share = min(k.share, shareToOpen/2) // the next error opens it again
		}
	default:
		k.row++
		k.share += errs * shareStep * (1 - k.share)
		if was && k.trying || !was && (k.row >= rowToOpen || k.share >= shareToOpen+usual) {
			k.bar(now, chance)
		}
	}
	return k.open != was
}

func (k *breaker) bar(now time.Duration, chance float64) {
	k.open, k.trying = true, false
	k.cool = min(max(2*k.cool, coolFirst), coolMost)
	k.until = now + time.Duration((0.75+chance/2)*float64(k.cool)) // not in step with other gateways
}

func (b *Balancer) judge(h *host, c *breaker, of string, bad bool, errs float64) {
	if c.note(bad, errs, b.errs.value, b.now, b.chance.draw()) {
		b.out.Log(fmt.Sprintf("host %d, %s: breaker open %t", h.ID, of, c.open))
	}
}

// tried notes a trial that is on its way; another is due only after the longest cooldown.
func (h *host) tried(profile int, now time.Duration) {
	for _, k := range []*breaker{&h.whole, &h.by[profile]} {
		if k.open && now >= k.until {
			k.trying, k.until = true, now+coolMost
		}
	}
}

func (h *host) trialDue(profile int, now time.Duration) bool {
	due := func(k *breaker) bool { return !k.open || now >= k.until }
	return !h.closed(profile) && due(&h.whole) && due(&h.by[profile])
}

// silent tells whether a host takes work and answers nothing, for far longer than its hops out explain. It is
// passed over until it answers, long before its hops time out.
func (b *Balancer) silent(h *host) bool {
	out := h.own
	if b.drawer(h.group) == b.place.Me {
		out += h.others // it is told of all answers too
	}
	return out > 0 && h.lat.n > 0 && float64(b.now-h.waiting) > h.lat.value*(1+silentRuns/float64(out))
}

func (h *host) report(l Load, now time.Duration) {
	if l.Busy >= 0 {
		h.busy, h.busyAt = l.Busy, now
	}
	if p := &h.model.places; l.Waiting > 0 && l.Held > 0 {
		p.add(max(1, l.Held-l.Waiting), paceStep)
	} else if l.Waiting == 0 {
		p.value = max(p.value, l.Held)
	}
}

// learn takes what the end of a hop says of its host.
func (b *Balancer) learn(h *host, load float64, profile int, r Result) {
	h.report(r.Load, b.now)
	crowd, work, took := h.crowded(load), &b.work[profile], float64(r.Took)
	bad, errs := false, 0.0
	switch r.End {
	case Committed:
		h.paced, h.waiting, h.fresh, work.at = b.now, b.now, true, b.now
		h.lat.add(took, paceStep)
		work.add(took/crowd/h.pace.value, workStep)
		h.learnPace(took / crowd / work.value)
	case TimedOut, CalledOff:
		// Where all are slow hops time out everywhere; only one far over a usual host's time speaks of a hang. So
		// does one called off for its second copy, or a host that hangs would be cleared each time by that.
		bad = took > overdue*work.value*crowd
		h.paced, h.bad = b.now, h.bad || bad || r.End == TimedOut
		h.lat.add(max(took, h.lat.value), paceStep)
		h.learnPace(max(took/crowd/work.value, h.pace.value))
	case Error, Broken, NoConnection, Full:
		h.waiting, h.bad, bad, errs = b.now, true, true, 1
	}
	if r.End != Committed && !bad { // proves nothing of the host: a trial must be had again
		h.whole.trying, h.by[profile].trying = false, false
		return
	}
	b.errs.add(errs, workStep)
	of := [...]string{"all profiles", b.profiles[profile].Name}
	for i, c := range []*breaker{&h.whole, &h.by[profile]} {
		if i == 0 && r.End == Full {
			c.trying = false // a full host turns all profiles away: one turned away alone is not its queue
		} else {
			b.judge(h, c, of[i], bad, errs)
		}
	}
}

// learnPace bounds the pace: a burst that is over before its last hop ends makes a host look fast, which brings
// it the next burst.
func (h *host) learnPace(p float64) {
	h.model.pace.add(p, workStep)
	h.pace.add(p, paceStep)
	h.pace.value = max(h.pace.value, paceLeast)
}

// settlePaces keeps paces around 1, so that a profile's work is its time at a usual host. A host seen slow,
// as cold ones are, gets no hops that would show it well again: without any, its pace is forgotten.
func (b *Balancer) settlePaces() {
	mean := average{1, 0}
	for _, h := range b.table.ready {
		h.model.through.n = min(h.model.through.n, 0)
	}
	for _, h := range b.table.ready {
		if b.draws(h.group) {
			mean.add(h.pace.value, 0)
		}
		if h.lat.n > 0 && !b.table.isCold(h, b.now) { // as if one more were out
			h.model.through.add(float64(h.own+h.others+1)*float64(second)/h.lat.value, 0)
		}
	}
	for i := range b.work {
		w, guess := &b.work[i], firstGuess*float64(b.profiles[i].Goal)
		w.value *= mean.value
		b.free[i] *= 1 + freeRise // where gateways tell, a jam is in the crowd and does not raise the work
		if b.from.Tells || w.value < b.free[i] {
			b.free[i] = w.value
		} else if w.n*workStep < 1 { // a day may begin in a jam
			b.free[i] = min(w.value, guess)
		}
	}
	for _, h := range b.table.ready {
		if !b.draws(h.group) {
			continue // its pace is told
		}
		if h.pace.value /= mean.value; b.now-h.paced > staleAge && h.model.pace.n > 0 {
			h.pace.value += forget * (max(h.model.pace.value, paceLeast) - h.pace.value)
		}
	}
	for _, m := range b.table.models {
		m.pace.value /= mean.value
	}
}

// reweigh is the decision record's change of weights in a group. Their mean stays 1, where new hosts start.
func reweigh(g []*host) {
	var lats []float64
	for _, h := range g {
		if h.lat.n > 0 {
			lats = append(lats, h.lat.value)
		}
	}
	slices.Sort(lats)
	sum := 0.0
	for _, h := range g {
		if h.weight += raisePart; h.bad || h.fresh && h.lat.value > slowFactor*lats[len(lats)/2] {
			h.weight = cutFactor * (h.weight - raisePart)
		}
		h.bad, h.fresh = false, false
		sum += h.weight
	}
	for _, h := range g {
		h.weight = min(max(h.weight*float64(len(g))/sum, weightLeast), weightMost)
	}
}

// Group choice and draw.

// expect is the time that a hop is likely to take: the profile's, by the host's pace, by the crowd at it.
func (b *Balancer) expect(h *host, profile int) float64 {
	return b.work[profile].value * h.pace.value * h.crowd()
}

// choose takes the own group unless that is near full, else the group that promises most: a further one the
// more so as a crossing is dear, or they only move a jam about. If every breaker is open, any allowed host
// will do.
func (b *Balancer) choose(t *tx) (pick *host, expected float64) {
	dear := b.price.Crossing * b.revenue.value / t.prof.Revenue // a crossing, against what this one earns
	near := min(fullFrom+2*dear, fullMost) * float64(t.prof.Goal)
	for barred := false; ; barred = true {
		most := b.patience(t.profile)
		for i := -1; i < len(b.table.groups); i++ {
			g := t.home
			if i >= 0 {
				if g = b.table.groups[i]; g == t.home {
					continue
				}
			}
			h, e, busy := b.draw(g, t, barred, min(near, most))
			if h == nil || g != t.home && e > most {
				continue
			}
			pick, expected = h, e
			if g != t.home {
				most = e
			} else if h.trialDue(t.profile, b.now) ||
				e <= most && (h.crowd() <= crowdFree || e <= near && busy < busyFull) {
				return h, e
			} else {
				most = (1 - dear) * min(most, e)
			}
		}
		if pick != nil || barred {
			return pick, expected
		}
	}
}

// draw picks from a group by weight, once more where that is well over the mean; if that is over near all the
// same, the host that promises most. With it comes the group's reported utilisation.
func (b *Balancer) draw(g *group, t *tx, barred bool, near float64) (pick *host, e, utilisation float64) {
	var second, best *host
	var mean, busy average
	var e2, least, first, next float64
	few := b.place.Gateways <= fewGateways || b.drawer(b.table.groups[0]) == b.place.Me || b.relaying
	for _, h := range g.hosts {
		if b.relaying && !b.knows(h) {
			continue
		}
		if !t.fits(h, b.now) || !b.coldRoom(h) || !barred && b.silent(h) {
			continue
		}
		x := b.expect(h, t.profile)
		if !barred && !h.closed(t.profile) {
			// A trial must not cost a transaction that cannot run twice, unless its own profile is on trial.
			if h.trialDue(t.profile, b.now) && (t.prof.Effect != NonIdempotent || !h.whole.open) && b.rare() {
				return h, x, 0
			}
			continue
		}
		mean.add(x, 0)
		if h.busyAt > 0 && b.now-h.busyAt < staleAge {
			busy.add(h.busy, 0)
		}
		// The largest lot falls to each host as often as its weight asks.
		luck := &b.chance
		if t.key != 0 { // all gateways draw the same hosts for a key, as these remember it
			luck = &chance{t.key, uint32(h.ID)}
		}
		if lot := math.Log(luck.draw()) * h.pace.value / h.weight; pick == nil || lot > first {
			pick, second, e, e2, first, next = h, pick, x, e, lot, first
		} else if second == nil || lot > next {
			second, e2, next = h, x, lot
		}
		if few && (best == nil || x < least) {
			best, least = h, x
		}
	}
	if e > slowFactor*mean.value && e2 < e {
		pick, e = second, e2
	}
	if !few && t.key == 0 && second != nil && e2 < e { // all of many taking the best at once would bury it
		pick, e = second, e2
	} else if few && e > near {
		pick, e = best, least
	}
	return pick, e, busy.value
}

// Admission.

// over tells whether a transaction goes beyond its tenant's share.
func (a *admission) over(i int) bool {
	t := &a.tenants[i]
	t.taken++
	t.tokens--
	return t.greedy && t.tokens < 0
}

// refill gives each tenant the tokens of a further second. Its portion is an even part of its quota,
// or what the middle tenant shows, so that none at a busy gateway is taken for greedy.
func (a *admission) refill(gateways, seconds float64) {
	var parts []float64
	for i := range a.tenants {
		t := &a.tenants[i]
		t.rate.add(t.taken/seconds, paceStep)
		t.taken = 0
		parts = append(parts, t.rate.value/t.quota)
	}
	slices.Sort(parts)
	for i := range a.tenants {
		t := &a.tenants[i]
		portion := t.quota * max(1/gateways, parts[len(parts)/2])
		t.greedy = t.rate.value > greedyFrom*portion
		grant := portion * overSlack * seconds
		t.tokens = min(max(t.tokens, 0)+grant, 2*grant)
	}
}

// patience is the expected time over which a transaction is rolled back on arrival. A profile yields to those
// that earn far more for the same work before these are pressed themselves.
func (b *Balancer) patience(profile int) float64 {
	bears := func(i int) float64 { // times the work
		p := &b.profiles[i]
		return min((b.admit.part+p.LateRevenue/2)*float64(p.Goal), b.admit.crowd*b.free[i]) / b.work[i].value
	}
	most := bears(profile)
	for i := range b.profiles {
		if b.earns(i) > yieldFrom*b.earns(profile) {
			most = min(most, yieldPart*bears(i))
		}
	}
	return most * b.work[profile].value
}

// earns is what a profile earns for the same work.
func (b *Balancer) earns(profile int) float64 {
	if b.price.ByWork {
		return b.profiles[profile].Revenue
	}
	return b.profiles[profile].Revenue / b.work[profile].value
}

// A transaction's path.

// fits keeps the second rule: no host where an effect could happen twice; and none tried before.
func (t *tx) fits(h *host, now time.Duration) bool {
	if slices.ContainsFunc(t.hops, func(k hop) bool { return k.host == h }) {
		return false
	}
	r := t.ran()
	switch {
	case r == nil || t.prof.Effect == Idempotent:
		return true
	case t.prof.Effect == NonIdempotent || now-r.at >= t.prof.Window-goalSlack:
		return false
	}
	return t.prof.Reach == AllHosts || t.prof.Reach == SameZone && h.Zone == r.host.Zone ||
		t.prof.Reach == SameCell && h.Cell == r.host.Cell
}

func (b *Balancer) Take(now time.Duration, id TxID, a Arrival) {
	b.now = now
	p := &b.profiles[a.Profile]
	t := &tx{id: id, profile: a.Profile, prof: p, key: a.Key, home: b.table.groups[0], stop: now + a.Budget}
	// Stopped at its goal, an idempotent one only comes again: a late answer at least ends its client's tries.
	if p.LateRevenue == 0 && p.Effect != Idempotent {
		t.stop = min(t.stop, now+p.Goal-goalSlack)
	}
	b.revenue.add(p.Revenue, workStep)
	b.txs[id] = t
	t.over = a.Tenant >= 0 && b.admit.over(a.Tenant)
	if to := b.drawer(b.table.groups[0]); to >= 0 && to != b.place.Me {
		b.ask(t)
	} else {
		b.place1(t)
	}
}

// choose1 is the host for a transaction that has arrived, nil where it is better rolled back.
func (b *Balancer) choose1(t *tx) (*host, float64) {
	most := b.patience(t.profile)
	h, e := b.choose(t)
	if t.over && h != nil && !h.calm(b.now) {
		most = min(most, overCrowd*b.free[t.profile])
	}
	// A host long without an answer is worth a hop, to see whether its estimate is out of date. Every idle one
	// would be too many: to one of many gateways most hosts are idle in any jam.
	if h == nil || e > most && (h.own > 0 || b.now-h.paced < staleAge || !b.rare()) {
		return nil, 0
	}
	return h, e
}

func (b *Balancer) place1(t *tx) {
	if t.done {
		return
	}
	h, e := b.choose1(t)
	if h == nil {
		b.shed++
		b.finish(t)
		return
	}
	b.send(t, h, e)
}

func (b *Balancer) send(t *tx, h *host, expected float64) {
	i := len(t.hops)
	h.tried(t.profile, b.now)
	if h.Zone != b.place.Zone {
		b.spilt++
	}
	if b.table.isCold(h, b.now) {
		h.sent = append(h.sent, b.now)
	}
	if h.own++; h.own == 1 {
		h.waiting = b.now
	}
	b.unsaid(h)
	t.out++
	t.hops = append(t.hops, hop{host: h, at: b.now, load: float64(h.own + h.others), then: func() {
		if t.out == 0 && !b.again(t, math.Inf(1)) {
			b.finish(t)
		}
	}})
	b.out.Hop(t.id, h.ID, t.stop-b.now)
	if t.prof.Effect == NonIdempotent || !b.hops.SecondCopies || i+1 >= b.hops.Most {
		return
	}
	b.at(b.now+time.Duration(copyAfter*expected), func() {
		if !t.done && !t.hops[i].over && i == len(t.hops)-1 {
			b.again(t, fullFrom*float64(t.prof.Goal))
		}
	})
}

// again sends a further hop where a host can still answer in time, and within most; it tells whether it did.
func (b *Balancer) again(t *tx, most float64) bool {
	h, e := b.choose(t)
	if h == nil || len(t.hops) >= b.hops.Most || e >= min(float64(t.stop-b.now), most) {
		return false
	}
	b.send(t, h, e)
	return true
}

// finish answers at once: rolled back where nothing is left, to come back after its usual time; or abandoned.
func (b *Balancer) finish(t *tx) {
	if t.prof.Effect == Idempotent || t.ran() == nil || t.prof.Effect == Journalled && t.prof.Reach == AllHosts {
		b.out.RollBack(t.id, min(time.Duration(b.work[t.profile].value), b.hops.BackMost))
	} else {
		b.out.Abandon(t.id)
	}
	b.settle(t)
}

// settle calls off what is still out of a transaction that has ended, and forgets it when nothing is.
func (b *Balancer) settle(t *tx) {
	for i := range t.hops {
		if !t.hops[i].over && !t.done && b.hops.CallOff {
			b.out.CallOff(t.id, i)
		}
	}
	if t.done = true; t.out == 0 {
		delete(b.txs, t.id)
	}
}

func (b *Balancer) HopEnded(now time.Duration, id TxID, i int, r Result, over bool) {
	b.now = now
	t := b.txs[id]
	if t == nil || i < 0 || i >= len(t.hops) || t.hops[i].over {
		return
	}
	k := &t.hops[i]
	k.over, k.end = true, r.End
	t.out--
	k.host.own--
	b.unsaid(k.host)
	if b.many() && b.drawer(k.host.group) != b.place.Me {
		k.host.ends = append(k.host.ends, Held{Kind: Ended, Host: k.host.ID, Hops: int(k.load), Profile: t.profile, End: r.End, Took: r.Took})
	}
	b.learn(k.host, k.load, t.profile, r)
	if t.done || over {
		k.then = func() { b.settle(t) }
	}
	k.then()
}

func (b *Balancer) Begun(now time.Duration, id TxID, _ int) {
	b.now = now
	if t := b.txs[id]; t != nil {
		t.done = true
	}
}

func (b *Balancer) Left(now time.Duration, id TxID) {
	b.now = now
	if t := b.txs[id]; t != nil {
		b.settle(t)
	}
}

func (b *Balancer) Probed(now time.Duration, id HostID, l Load) {
	b.now = now
	if h := b.table.byID[id]; h != nil {
		h.report(l, now)
	}
}
