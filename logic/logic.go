package logic

// A protocol makes a Balancer with New and calls it through Gateway; it answers through Doer (see types.go).
// What is remembered is stored in state.go. There is no input, output, clock or goroutine here.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	tick        = 10 * time.Millisecond  // changes wait so long to be told together: far less than a hop's time
	fewGateways = 20                     // that may each tell, probe and try for themselves at a bearable price
	askWait     = 100 * time.Millisecond // for a host drawn by another gateway: some messages' time
	askPart     = 0.25                   // of a goal that asks may take: late, they cost more than they bring
	muteFrom    = 25                     // asks in a row without an answer: five that draw in turn are silent
	relayTick   = 25 * time.Millisecond  // between sums told to those that draw for other zones
	stillFrom   = 200 * time.Millisecond // by which nothing is late but at a gateway that stood still
	askEach     = 25 * time.Millisecond  // of a list source's time for each gateway: some dozen calls a second
	askAgain    = time.Second            // first delay after a lost list, doubled twice; lists are seconds late
	rowToOpen   = 5                      // failures in a row that open a breaker, the paper's figure
	overloadRow = 2                      // the same where overload ends them: each costs a place there
	shareToOpen = 0.25                   // share of errors over that at all hosts: two or three close together
	usualTimes  = 4.0                    // of the share at other hosts, over both: chance brings as much to any
	usualMost   = 0.4                    // bound on that: a host that all but fails opens it whatever others do
	shareStep   = 0.15                   // smoothing of that share: about the last seven outcomes
	coolFirst   = 2 * time.Second        // first cooldown: one trial costs little, a barred host much
	coolMost    = 5 * time.Second        // longest cooldown, the decision record's figure
	tryPart     = 0.1                    // of a profile's transactions that a trial may cost
	cutFactor   = 0.7                    // weight after a bad second, the decision record's figure
	slowFactor  = 1.5                    // latency over the median that cuts it, ditto; well over the mean
	weightStep  = 0.1                    // of the mean weight: gained in a good second, and the least, ditto
	weightMost  = 2.0                    // of the mean weight, ditto
	paceLeast   = 0.5                    // of the usual pace: hosts are hardly ever twice as fast as the mean
	likeLeast   = 0.8                    // of the pace of its like: hosts of a kind are hardly faster than that
	paceStep    = 0.1                    // smoothing of a host's pace and a tenant's rate: their last ten
	startSlack  = 2 * time.Second        // by which two processes may reckon a start: clocks are read apart
	forget      = 0.2                    // of a pace over the usual, a second: gone in some ten
	workStep    = 0.02                   // smoothing of a profile's time: the last fifty answers
	slowStep    = 0.005                  // the same for the least one: a few short answers are not it
	jamFirst    = 1.25                   // times the least that answers take: a zone is jammed at times
	jamStep     = 0.05                   // smoothing of that: the last twenty answers
	jamLast     = 1.55                   // from there it always is
	firstGuess  = 0.25                   // of the service goal: time of a profile never seen
	staleAge    = 2 * time.Second        // after which reports, tells and a host's pace say little of now
	priorPaces  = 3.0                    // answers for which the usual pace counts at a new host
	freeRise    = 0.005                  // a second: how fast the least time of a profile is forgotten, minutes
	riseInJam   = 0.02                   // the same where a zone has no end of a jam
	overdue     = 2.0                    // expected times after which a time-out counts for the breaker
	silentRuns  = 3.0                    // latencies, over hops out, without an answer that make a host silent
	fullFrom    = 0.25                   // of the goal: expected time from which a group is near full
	crowdFree   = 2.0                    // hops a slot, the new one too, up to which a host is never near full
	admitMost   = 0.9                    // of the goal: time over which a transaction goes, or a group is full
	admitTail   = 0.7                    // the same where a missed goal costs more than its own revenue
	yieldFrom   = 2.5                    // times the revenue for the same work to which a profile yields
	yieldByWork = 1.4                    // the same where revenue is by work: nothing of it is a guess
	missedFrom  = 0.7                    // share of a tenant's hops past their goal: it may be an outlier
	missedTimes = 2.0                    // of the others' share, over which it is: slow hosts are so to all
	yieldPart   = 0.8                    // of the expected time at which that one would be rolled back
	crowdMost   = 2.2                    // hops a slot over which a host gets no more done and only slows down
	crowdTold   = 1.35                   // the same where hosts tell what they hold
	kneeFirst   = 8.0                    // hops at which a host's cores are in use, before reports show it
	kneePrior   = 4.0                    // reports for which that counts
	kneeBusy    = 0.9                    // utilisation from which what is held says nothing of it
	kneeCalm    = 0.15                   // change of utilisation up to which it goes with what is held
	kneeFrom    = 1.1                    // of the knee: from there a group is left, a host full, by chance
	kneeTo      = 1.6                    // from there always
	passTimes   = 1.5                    // times as many as of late pass at the most where hosts were full
	passKeep    = 0.2                    // of those counted a second ago: the last second or so
	passFree    = 3.0                    // that always pass: of few chance decides
	busyCalm    = 0.6                    // reported utilisation with room for a tenant over its share
	greedyFrom  = 1.5                    // of its portion that makes a tenant greedy: more than chance does
	overSlack   = 1.2                    // of its portion that it has all the same, as the portion is a guess
	askFrom     = 8                      // hops at a host of a kind never seen full that make it worth a probe
	goalSlack   = 5 * time.Millisecond   // by which an answer must come before the goal to reach its client
	workAge     = 10 * time.Second       // for which what a host worked on is believed: buried ones stay so
	useEach     = 12.0                   // transactions a second and host: enough to keep a connection open
	giveBackAge = 10 * time.Second       // unused for so long a connection is closed, where it costs
	probeEach   = 0.7                    // probes for a transaction at the most: a thousandth of its work
	probeMost   = 8.0                    // at once: some hosts of each zone
	probeAge    = 250 * time.Millisecond // of a report after which one is worth a probe: a hop or two
	doubtFrom   = 300 * time.Millisecond // unused for so long a connection may have been dropped unseen
	doubtFor    = 20 * time.Second       // after one was, hops on such ones wait less
	doubtTimes  = 2.5                    // of the expected time for an answer on such a one
	workFrom    = 4.0                    // hops worked on there that a draw does not mind: keys save more
	rateStep    = 0.2                    // smoothing of the own rate: about five seconds
	rowChance   = 0.0001                 // of a row of failures, by their share at others, to open a breaker
	errsMost    = 2                      // hosts that answer one with an error: it is not they, then,
	errsUsual   = 0.1                    // where so many of all hops end so
	retryShare  = 0.15                   // retry budget for a transaction where nothing tells of jams
	retryFree   = 3.0                    // the same beside that
	retrySpan   = 20 * time.Second       // in which these hold
	retryKept   = 0.5                    // of a profile's part of a retry budget, that no other may use
	readsPart   = 2.5                    // of the goal: answers far sooner at a host show that a client reads
	roomPart    = 4                      // of the room for answers that late ones may hold
	feltStep    = 0.5                    // smoothing of what hops took at a host: the last two or three
	feltFor     = 20 * time.Second       // for which that counts: hosts stay slow for as long
	feltPower   = 2.0                    // of that by which a host is drawn less
	feltFull    = 3.5                    // times the work that a full answer stands for
	ownTimes    = 15.0                   // by which one with an own hop out is drawn less: it may be stuck
	jamFor      = time.Second            // smoothing of what hops to a zone took, which is as quick as bursts
	jamSmooth   = 0.1                    // of that, the least for an answer, where they are many
	jamSwift    = 0.5                    // of that, the most, where they are few
	jamDear     = 0.25                   // of that for profiles that earn more: hosts may see to them first
	jamForget   = 5 * time.Second        // in which it goes to what it is at first
	jamNone     = 0.6                    // what it is then: the first guess of a profile's time is long
	jamOut      = 0.35                   // of the excess of what is out yet that counts: it may be long work
	jamAge      = 1.7                    // part of its time that a hop has out yet: few are over so late
	jamShed     = 1.05                   // from there transactions are rolled back by chance
	jamAlways   = 1.8                    // from there always
	stopFrom    = 0.9                    // from there on hops are called off sooner than at stopGoal
	stopTo      = 1.55                   // from there as early as they are at all
	stopGoal    = 1.2                    // of the goal, at which one is called off where there is no jam
	stopAgain   = 0.5                    // the same in a jam, of what may run again: it waits behind all others
	stopOnce    = 1.0                    // of what may not
	coldPart    = 0.8                    // of a cold host's budget for it that it spends; a successor: the rest
	coldSeen    = 0.4                    // of what warm hosts of a kind answer: for a cold one's budget
	coldHeavy   = 8.0                    // part of a cold host's budget that one hop may be at the most
	keepLeast   = 5                      // hosts of a zone that a blind gateway keeps to: one bad is a fifth
	heldSpare   = 0.5                    // of a core: what is held for each up to which a hop finds one free
	heldMost    = 3.0                    // held for each core over which hosts turn slow
	heldShed    = 0.65                   // of that, and of what a goal bears: what is over is too much
	pressedNow  = 2.0                    // of what is too much now that is rolled back
	pressedStep = 0.5                    // the same that adds up in a second
	pressedMost = 500 * time.Millisecond // of that for one transaction: none came for long
	heldCalm    = 0.7                    // held for each core up to which no zone is left
	leaveFrom   = 0.5                    // barred of the hosts kept to: fewer are these hosts' trouble alone
	leaveStep   = 0.1                    // of a zone's excess by which more of its traffic leaves with each list
	leaveMost   = 0.9                    // of a zone's traffic that leaves it
	modelStep   = 0.1                    // of the excess at hosts of a kind by which their weight falls, ditto
	weightBy    = 4.0                    // times the mean weight from which a draw takes a host at once
	drawsMost   = 16                     // draws by weight before any host will do
)

// periodic is the work of each second, as often as the decision record changes weights.
func (b *Balancer) periodic() {
	b.at(b.now+time.Second, b.periodic)
	b.table.rates(b.isCold)
	for _, h := range b.table.ready {
		h.expire(b.now - staleAge)
		b.sayAgain(h)
		b.releaseUnused(h, giveBackAge)
		if b.from.ProbesReportLoad && !b.isCold(h) && b.draws(h.group) && (b.relaying || b.rare()) {
			b.out.Probe(h.ID)
		}
	}
	for _, g := range b.table.groups {
		if !b.byZone() {
			reweigh(g.hosts)
		}
		g.rest.value -= forget * g.rest.value
		g.jam.value -= forget * max(0, g.jam.value-1)
	}
	b.rate.add(b.taken, rateStep)
	b.taken, b.came, b.passed = 0, b.came*passKeep, b.passed*passKeep
	b.settlePaces()
	b.admit.refill(float64(b.place.GatewayCount))
	b.logShed()
}

// reach is how many hosts of a group a draw is among: few where connections cost or nothing tells of hosts.
func (b *Balancer) reach() int {
	few := max(either(b.blind(), keepLeast, 1), int(math.Ceil(max(b.rate.value, b.taken)/useEach)))
	return either(b.price.OpenConnections || b.blind(), few, len(b.table.ready))
}

// asksPay tells whether a request may wait for another gateway's draw, by what such asks took of late.
func (b *Balancer) asksPay(t *tx) bool { return b.askTime.value <= askPart*float64(t.prof.ServiceGoal) }

// rare lets by chance do what each of a few gateways may do: many together then do no more than a few would.
func (b *Balancer) rare() bool { return b.chance.draw()*float64(b.place.GatewayCount) < fewGateways }

// The host table: the list, drains and the cold budget.

func (b *Balancer) HostListReceived(now time.Duration, kind ListKind, hosts []Host) {
	b.turn(now)
	if kind == ListFailed {
		b.table.lost++
		b.out.Log(fmt.Sprintf("list lost, %d times in a row", b.table.lost))
		b.at(now+b.spread(askAgain<<min(b.table.lost-1, 2)), b.out.RequestHostList)
		return
	}
	for _, h := range b.table.merge(kind, hosts, b.leaves) { // without a record; what is out still counts
		h.health = health{weight: 1, felt: 1, pace: average{1, priorPaces}, by: make([]breaker, len(b.profiles))}
	}
	for _, entry := range hosts {
		b.close(entry)
	}
	if b.sized() {
		b.even(hosts)
	}
}

// leaves tells whether one that a list calls gone, or leaves out, is. Where only drains bind, lists prove
// nothing of what runs: a host that was ready stays until own hops open its breaker.
func (b *Balancer) leaves(h *host) bool {
	return !b.drains.AllowGoneHosts || h.State != HostReady || h.whole.open
}

// coldRoom keeps an even share of a cold host's budget, and what is over whole hops by a lot for each window:
// as a third of the hosts restarted all had turned to the cold ones, and a hop from each is far over it.
func (b *Balancer) coldRoom(h *host, profile int) bool {
	if !b.isCold(h) {
		return true
	}
	age := max(0, b.now-h.StartedAt-b.cold.StartTimeTolerance)
	warm := b.cold.InitialCapacityFraction + (1-b.cold.InitialCapacityFraction)*float64(age)/float64(b.cold.WarmUpDuration)
	pace := either(h.model.pace.n == 0, 1, max(h.model.pace.value, paceLeast)) // of a kind never seen: the usual
	work := either(b.byZone(), b.mean, b.work[0]).value
	through := max(1, h.model.places.value) / (work * pace)
	seen := coldSeen * h.model.rate.value * float64(b.place.GatewayCount) / float64(time.Second)
	through = either(b.byZone(), max(through, seen), through) // warm ones show what they can do at the least
	part := either(b.now < b.cold.PredecessorActiveUntil, 1-coldPart, coldPart) / float64(b.place.GatewayCount)
	budget := warm * b.cold.OverloadMultiple * through * float64(b.cold.OverloadDuration)
	share, sent := part*budget, h.sentSince(b.now-b.cold.OverloadDuration)
	if !b.byZone() && budget >= coldHeavy { // of so many: as often as it is warm, of what a warm one would get
		return sent < max(1, int(share)) && (share >= 1 || b.chance.draw() < warm)
	}
	lot := chance{b.chance.seed ^ uint32(h.ID), uint32(b.now / b.cold.OverloadDuration)}
	return (!b.byZone() || b.work[profile].value*coldHeavy <= budget*work) && sent < int(share+lot.draw())
}

// Health: breakers, latency and weight of a host.

// note tells whether the breaker changed. Only a trial's answer closes it: late ones prove nothing. A host
// that errs on half of its hops may never err five times in a row, so the share of errors counts too.
func (k *breaker) note(bad, overload bool, errs, limit, others float64, now time.Duration, lot float64) bool {
	was := k.open
	switch {
	case !bad && was && !k.trying:
	case !bad:
		k.row, k.open, k.trying, k.cool, k.since = 0, false, false, 0, now
		k.fails, k.share = k.fails*(1-shareStep), k.share*(1-shareStep)
	default:
		k.row, k.since = min(k.row+1, math.MaxUint8-1), either(k.row == 0, now, k.since)
		k.fails += shareStep * (1 - k.fails)
		k.share += errs * shareStep * (1 - k.share)
		if was && k.trying || !was && (k.row >= either[uint8](overload, overloadRow, rowToOpen) &&
			math.Pow(others, float64(k.row)) < rowChance || k.share >= limit) {
			k.open, k.trying, k.overload = true, false, overload || was && k.overload
			k.cool = min(max(2*k.cool, either(overload, coolMost, coolFirst)), coolMost)
			k.until = now + time.Duration((0.75+lot/2)*float64(k.cool)) // not in step with other gateways
		}
	}
	return k.open != was
}

// silent tells whether a host answers nothing for far longer than its hops explain; it is then passed over.
func (b *Balancer) silent(h *host) bool {
	out := either(b.relaying && b.draws(h.group), h.own+h.others, h.own) // who draws is told of all answers
	return out > 0 && h.lat.n > 0 && float64(b.now-h.waiting) > h.lat.value*(1+silentRuns/float64(out))
}

// learn takes what the end of a hop says of its host.
func (b *Balancer) learn(h *host, load float64, profile int, r HopResult) {
	b.heard(h, r.Load)
	crowd, work, took := h.crowd(load), &b.work[profile], float64(r.Latency)
	late, bad := r.Outcome == HopTimedOut || r.Outcome == HopCalledOff, r.Outcome != HopCommitted && r.Outcome != HopNotSent
	slow := took > overdue*min(work.value, b.free[profile])*crowd
	// In a jam hops time out everywhere: only one far over a usual host's time speaks of a hang.
	bad = either(late, either(b.probesOnly(), slow, took > overdue*work.value*crowd), bad)
	errs, apart := either(bad && !late, 1.0, 0), bad && b.failsApart(h, profile)
	if b.byZone() && !apart {
		hangs := late && bad && usualTimes*b.table.failsBeside(h, profile, b.now-jamForget) < shareToOpen
		b.feel(h, profile, r, hangs)
	}
	switch {
	case r.Outcome == HopCommitted:
		b.heardOf[profile], h.paced, h.waiting, h.fresh = b.now, b.now, b.now, true
		h.lat.add(took, paceStep)
		if crowd == 1 || h.model.knee() > 0 || !b.guesses(h) {
			bound := min(overdue*work.value, float64(b.profiles[profile].ServiceGoal)) // a part that waits must not bar all
			alone := took / crowd / h.pace.value
			alone = either(b.from.PeersShareInFlight && work.n*workStep >= 1, min(alone, bound), alone)
			work.add(alone, workStep)
			b.slow[profile].add(alone, slowStep)
			h.group.jam.add(took/crowd/b.free[profile], jamStep)
			h.learnPace(took / crowd / work.value)
		}
	case late && !apart:
		h.paced, h.bad = b.now, h.bad || bad || r.Outcome == HopTimedOut
		h.lat.add(max(took, h.lat.value), paceStep)
		// One answer lost, where that is far over the work, must not make its host look ten times as slow.
		h.learnPace(min(max(took/crowd/work.value, h.pace.value), overdue*h.pace.value))
	case bad && !apart:
		h.waiting, h.bad = b.now, true
	}
	overload := b.probesOnly() && bad && !apart && (late || r.Outcome == HopHostFull)
	h.model.overloaded = h.model.overloaded || overload
	if r.Outcome != HopCommitted && !bad { // proves nothing of the host: a trial must be had again
		h.whole.trying, h.by[profile].trying = false, false
		return
	}
	b.errs.add(errs, workStep)
	usual, others := 0.0, 0.0
	link := r.Outcome == HopNoConnection || r.Outcome == HopConnectionBroken // to a blind one the others may be of one zone
	if bad && !(link && b.blind()) {
		others = b.table.errsElsewhere(h, b.now-staleAge)
		usual = b.errs.value + min(usualTimes*others, usualMost)
	}
	of := [...]string{"all profiles", b.profiles[profile].Name}
	for i, c := range h.breakers(profile) {
		if i == 0 && (r.Outcome == HopHostFull || apart) {
			c.trying = false // a full host turns all profiles away: one turned away alone is not its queue
		} else if c.note(bad || slow && c.open && c.overload, overload, errs,
			either(apart, 0, shareToOpen+usual), either(r.Outcome == HopError, others, 0), b.now, b.chance.draw()) {
			b.out.Log(fmt.Sprintf("host %d, %s: breaker open %t", h.ID, of[i], c.open))
		}
	}
}

// failsApart tells whether one more failure shows that a profile alone fails at a host: others are answered
// there meanwhile, and it at other hosts. It says nothing of the host then, and that profile is barred.
func (b *Balancer) failsApart(h *host, profile int) bool {
	k, usual := &h.by[profile], b.table.failsBeside(h, profile, h.by[profile].since)
	return float64(k.fails+shareStep*(1-k.fails)) >= shareToOpen+b.errs.value+usualTimes*usual
}

// slowness is the pace, bounded: a burst that is over before its last hop ends makes a host look fast.
func (h *host) slowness() float64 { return max(h.pace.value, likeLeast*h.model.pace.value) }

// reweigh is the decision record's change of weights in a group. Their mean stays 1, where new hosts start.
func reweigh(g []*host) {
	median, sum := medianLat(g), 0.0
	for _, h := range g {
		cut := h.bad || h.fresh && h.lat.value > slowFactor*median
		h.weight = either(cut, cutFactor*h.weight, h.weight+weightStep)
		h.bad, h.fresh = false, false
		sum += h.weight
	}
	for _, h := range g {
		h.weight = min(max(h.weight*float64(len(g))/sum, weightStep), weightMost)
	}
}

// Group choice and draw.

// crowd is how much longer a hop takes among so many; without reports slots are met halfway.
func (h *host) crowd(hops float64) float64 {
	if knee := h.model.knee(); knee > 0 {
		return math.Cbrt(1 + math.Pow(hops/knee, 3)) // its cores are in use ever more evenly
	}
	slots := h.model.places.value
	return either(slots == 0, (hops+1)/2, max(1, hops/max(1, slots)))
}

// guesses tells whether a host's slots are a guess: by it a start's transactions had been turned away.
func (b *Balancer) guesses(h *host) bool {
	return b.from.ProbesReportLoad && h.model.places.n == 0 && !h.model.overloaded
}

func (b *Balancer) expect(h *host, profile int) float64 {
	return b.work[profile].value * h.slowness() * h.crowd(h.out()+1)
}

// full tells by chance: where all gateways turned at one figure hosts would be empty and buried by turns.
func (b *Balancer) full(load, first, last float64) bool {
	return load >= first && first+b.chance.draw()*(last-first) < load
}

// fullNow tells by chance whether a host is full, by what it holds, or its zone jammed.
func (b *Balancer) fullNow(h *host) bool {
	knee := h.model.knee() // 0 for a kind that never told, which has to be met to tell
	return knee > 0 && b.full((h.out()+1)/knee, kneeFrom, kneeTo) || b.full(h.group.jam.value, jamFirst, jamLast)
}

// choose takes the own group unless that is near full, else the one that promises most, the more so as a
// crossing is dear. If every breaker is open, any allowed host will do.
func (b *Balancer) choose(t *tx) (pick *host, expected float64) {
	if b.byZone() {
		return b.chooseEven(t), 0
	}
	dear := b.price.CrossZoneHop * b.revenue.value / t.prof.Revenue // a crossing, against what this one earns
	near := min(fullFrom+2*dear, admitMost) * float64(t.prof.ServiceGoal)
	for _, barred := range []bool{false, true} {
		most, leaves := b.patience(t.profile), b.full(b.load(t.home), kneeFrom, kneeTo)
		for _, g := range t.home.order {
			if g != t.home && leaves && b.load(g) > b.load(t.home) {
				continue
			}
			h, e := b.draw(g, t, barred, min(fullFrom*float64(t.prof.ServiceGoal), most))
			if h == nil || g != t.home && e > most || b.load(g) >= 0 && b.fullNow(h) {
				continue
			}
			pick, expected = h, e
			if g != t.home {
				most = e
			} else if leaves {
				most = math.Inf(1)
			} else if !barred && !h.closed(t.profile) || // on trial
				h.model.knee() > 0 || e <= most && (h.crowd(h.out()+1) <= crowdFree || e <= near) {
				return h, e
			} else {
				most = (1 - dear) * min(most, e)
			}
		}
		if pick != nil {
			break
		}
	}
	return pick, expected
}

// draw picks from a group by weight and redraws once; over near it takes the host that promises most.
func (b *Balancer) draw(g *group, t *tx, barred bool, near float64) (pick *host, e float64) {
	lots := make([]lot, 0, min(b.reach()+t.reRun(), len(g.hosts)))
	var mean average
	whole := b.place.GatewayCount <= fewGateways || b.relaying // all that is out is known
	for _, h := range g.hosts[:min(b.reach()+t.reRun(), len(g.hosts))] {
		if !t.fits(h, b.now) || !b.coldRoom(h, t.profile) ||
			either(barred, h.overloaded(t.profile), b.silent(h)) || b.unsure(h) ||
			b.relaying && !b.draws(g) && b.now-h.heldBy[b.drawer(g)].at > askWait {
			continue
		}
		x := b.expect(h, t.profile)
		if !barred && !h.closed(t.profile) {
			if b.trusts(h, t) {
				return h, x
			}
			continue
		}
		x *= either(h.workAt > 0 && b.now-h.workAt < workAge, max(workFrom, h.work), 1)
		mean.add(x, 0)
		// All gateways draw the same hosts for a key, as these remember it.
		luck := either(t.key != 0, &chance{t.key, uint32(h.ID)}, &b.chance)
		lots = append(lots, lot{h, x, math.Log(luck.draw()) * h.slowness() / h.weight})
	}
	first, second := twoLargest(lots)
	if second.host != nil && second.e < first.e && (first.e > slowFactor*mean.value || !whole && t.key == 0) {
		first = second
	}
	if whole && first.host != nil && first.e > near { // of many, all that take the best at once would bury it
		first = slices.MinFunc(lots, func(x, y lot) int { return cmp.Compare(x.e, y.e) })
	}
	if first.host != nil && first.host.workAt > 0 {
		first.e = b.expect(first.host, t.profile)
	}
	return first.host, first.e
}

// Live sizes. One of many gateways that do not tell each other learns of hosts by the list, which says to all
// what each held some second ago. All would take the same least loaded ones: it is evened out instead.

// even has weights follow what hosts hold for each core: slowly and for good by what kinds hold beside all;
// until the next word by what evens out the difference with what comes in a second. New kinds begin with the
// root of their size: lists say which is the faster, and too much of by how much.
func (b *Balancer) even(listed []Host) {
	all := b.table.holds(listed)
	for _, m := range b.table.models {
		m.weight = either(m.weight == 0, math.Sqrt(m.size), m.weight)
		by := modelStep * (all.value - m.rest.value) / (all.value + heldSpare)
		m.weight = min(max(m.weight*math.Exp(by), weightStep), weightMost)
	}
	coming := max(1, b.rate.value*float64(b.place.GatewayCount)/max(1, all.n))
	for _, g := range b.table.groups {
		g.room, g.meets = 0, 0
		for _, h := range g.hosts {
			h.lean = min(max(0, 1+2*(all.value-h.rest)/coming), 2)
			g.room += h.lean
			g.meets += h.lean * h.rest
		}
		g.meets /= max(1, g.room)
	}
	own, calm := b.table.own(), max(all.value, heldCalm)
	own.leave = min(max(0, own.leave+leaveStep*(own.rest.value/calm-1)), leaveMost)
}

// size is a host's share of what the largest can do, where the list tells it.
func (b *Balancer) size(h *host) float64 {
	return either(b.from.CapacityHints == NominalCapacity && h.CapacityHint > 0, h.CapacityHint/b.table.largest, 1)
}

// chooseEven takes the own zone but for the part that leaves it: that goes where there is room.
func (b *Balancer) chooseEven(t *tx) *host {
	for _, h := range b.table.young { // who has a lot uses it, or they would stay cold
		if b.isCold(h) && t.fits(h, b.now) && b.coldRoom(h, t.profile) && !b.silent(h) && b.trusts(h, t) {
			return h
		}
	}
	first, sum, draw := b.firstZone(t), 0.0, either(b.blind(), (*Balancer).drawKept, (*Balancer).drawEven)
	if b.chance.draw() < t.home.leave {
		for _, g := range t.home.order[1:] {
			if sum += g.room; b.chance.draw()*sum < g.room {
				first = g
			}
		}
	}
	for _, barred := range []bool{false, true} {
		for _, g := range append([]*group{first}, t.home.order...) {
			if h := draw(b, g, t, barred); h != nil {
				return h
			}
		}
	}
	return nil
}

// firstZone is the own one, blind left by as large a part as breakers bar, if these are most hosts kept to.
func (b *Balancer) firstZone(t *tx) *group {
	var barred average
	for _, h := range t.home.hosts[:min(b.reach(), len(t.home.hosts))] {
		barred.add(either(h.whole.open, 1.0, 0), 0)
	}
	if !b.blind() || barred.value <= leaveFrom || len(t.home.order) == 1 || b.chance.draw() >= barred.value {
		return t.home
	}
	jam := func(x, y *group) int { return cmp.Compare(b.jam(x, t.profile), b.jam(y, t.profile)) }
	return slices.MinFunc(t.home.order[1:], jam)
}

// drawEven picks by weight, and looks at few hosts only, however many there are.
func (b *Balancer) drawEven(g *group, t *tx, barred bool) *host {
	n := len(g.hosts)
	at := b.chance.draw() * float64(n)
	for i := 0; i < drawsMost+n && n > 0; i++ {
		h := g.hosts[(i+int(at))%n]
		if i < drawsMost {
			h = g.hosts[int(b.chance.draw()*float64(n))]
			if b.chance.draw()*weightBy > b.weight(h) {
				continue
			}
		}
		if t.fits(h, b.now) && b.coldRoom(h, t.profile) && (barred || !b.silent(h) && b.trusts(h, t)) {
			return h
		}
	}
	return nil
}

// drawKept draws by weight among the few that a blind gateway keeps to, for a key the same as others would.
func (b *Balancer) drawKept(g *group, t *tx, barred bool) *host {
	pick, most := (*host)(nil), math.Inf(-1)
	for _, h := range g.hosts[:min(b.reach()+len(t.hops), len(g.hosts))] {
		if !t.fits(h, b.now) || !b.coldRoom(h, t.profile) || !barred && (b.silent(h) || !b.trusts(h, t)) {
			continue
		}
		if !barred && !h.closed(t.profile) { // on trial
			return h
		}
		luck := either(t.key != 0, chance{t.key, uint32(h.ID)}, chance{b.chance.seed, b.chance.next()})
		if lot := math.Log(luck.draw()) / b.weight(h); lot > most {
			pick, most = h, lot
		}
	}
	return pick
}

// weight is a host's in such a draw. Where nothing tells of hosts it goes by what own hops took there lately,
// and whether one is out: of many gateways each meets a host so seldom that it should have ended.
func (b *Balancer) weight(h *host) float64 {
	felt := weightBy * b.size(h) / math.Pow(max(1, b.feltAt(h)), feltPower)
	return either(b.blind(), felt, h.lean*h.weight*h.model.weight) / (1 + ownTimes*float64(h.own))
}

// trusts tells whether no breaker bars a host, or lets it be tried. A trial must not cost a transaction that
// cannot run twice, unless its own profile is on trial, and then few of these.
func (b *Balancer) trusts(h *host, t *tx) bool {
	if h.closed(t.profile) {
		return true
	}
	if h.dueBy(t.profile) > b.now || t.prof.Effect == NonIdempotent && h.whole.open || !b.rare() ||
		t.prof.Effect == NonIdempotent && b.chance.draw() > tryPart {
		return false
	}
	h.try(t.profile, b.now+coolMost)
	return true
}

// Admission.

// patience is the expected time over which a transaction is rolled back on arrival. A profile yields to those
// that earn more for the same work, unless these would be rolled back at a free host: all would be with them.
func (b *Balancer) patience(profile int) float64 {
	// A lone one sees its own hops alone, and there are more at a host the more gateways a zone has.
	alone := 1 + (crowdMost-1)/math.Sqrt(max(1, float64(b.place.GatewayCount)/float64(len(b.table.groups))))
	crowd := either(b.lone(), alone, either(b.told(), crowdTold, crowdMost))
	bears := func(i int) float64 { return min(b.bears(i), crowd*b.free[i]) / b.work[i].value } // times the work
	most := bears(profile)
	from := either(b.price.RevenueByWork, yieldByWork, yieldFrom) * b.earns(profile)
	for i := range b.profiles {
		if !b.profiles[i].Removed && b.earns(i) > from && bears(i) > 1 {
			most = min(most, yieldPart*bears(i))
		}
	}
	return most * b.work[profile].value
}

// bears is the time up to which an answer is worth its hop. Where unserved shares count by tenfold steps a
// rollback is as bad as a late answer: none before the goal.
func (b *Balancer) bears(i int) float64 {
	part := either(b.price.MissedGoals, admitTail, either(b.price.AvailabilityNines > 0, 1, admitMost))
	return (part + b.profiles[i].LateRevenueFraction/2) * float64(b.profiles[i].ServiceGoal)
}

// earns is what a profile earns for the same work.
func (b *Balancer) earns(i int) float64 {
	return b.profiles[i].Revenue / either(b.price.RevenueByWork, 1, b.work[i].value)
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
	case t.prof.Effect == NonIdempotent || now-r.at >= t.prof.DedupWindow-goalSlack:
		return false
	}
	return t.prof.DedupScope == DedupAllHosts || t.prof.DedupScope == DedupSameZone && h.Zone == r.host.Zone ||
		t.prof.DedupScope == DedupSameCell && h.Cell == r.host.Cell
}

// outlier tells whether a tenant's hops miss their goals where the others' do not: they wait for something of
// its own, and no host is judged by them. If they are much work instead, the others miss theirs soon.
func (a *admission) outlier(t *tenant) bool {
	others, heard := a.missedByOthers(t)
	return min(heard, t.missed.n) >= rowToOpen && t.missed.value > max(missedFrom, missedTimes*others)
}

// suspect tells it sooner, by two misses close together. Where gateways tell no one answer counts for much.
func (b *Balancer) suspect(t *tenant) bool {
	others, heard := b.admit.missedByOthers(t)
	return !b.from.PeersShareInFlight && heard >= rowToOpen && t.missed.value > max(shareToOpen, usualTimes*others)
}

func (b *Balancer) TransactionReceived(now time.Duration, id TxID, a Arrival) {
	b.turn(now)
	p := &b.profiles[a.ProfileIndex]
	t := &tx{id: id, profile: a.ProfileIndex, prof: p, key: a.AffinityKey, home: b.table.own(),
		stop: now + a.Budget + b.hops.BudgetTolerance, most: b.hops.MaxHops}
	// Stopped at its goal, an idempotent one only comes again: a late answer at least ends its client's tries.
	if p.LateRevenueFraction == 0 && p.Effect != Idempotent {
		t.stop = min(t.stop, now+p.ServiceGoal-goalSlack)
	}
	b.taken, b.came = b.taken+1, b.came+1
	b.mean.add(b.work[a.ProfileIndex].value, workStep)
	b.retries[a.ProfileIndex].took(now, b.retryBudget().Window)
	b.revenue.add(p.Revenue, workStep)
	b.txs[id] = t
	if b.told() && b.from.ExtraProbesAllowed {
		b.freshen()
	}
	if a.TenantIndex >= 0 {
		t.tenant, t.over = &b.admit.tenants[a.TenantIndex], b.admit.over(a.TenantIndex)
		t.outlier = b.admit.outlier(t.tenant)
	}
	t.weighs = either(a.BodyPending || t.outlier, 0, 1)
	if b.hops.MaxBufferedResponses > 0 {
		b.at(now+p.ServiceGoal, func() { b.overstays(t) })
	}
	either(b.draws(t.home), b.start, b.ask)(t)
}

// admitted is the host for a new transaction, nil where it is rolled back; a host or profile long unheard of
// is tried, or a profile would stay barred as long as others are heard of.
// News of few hops held must not let in all tries at once: hardly more pass than passed of late.
func (b *Balancer) admitted(t *tx) *host {
	if b.byZone() {
		h := b.chooseEven(t)
		return either(h != nil && !b.isCold(h) && b.jammed(t, h.group), nil, h)
	}
	most := b.patience(t.profile)
	h, e := b.choose(t)
	most = either(b.place.GatewayCount == 1 && h != nil && h.out() == 0, max(most, b.bears(t.profile)), most) // idle
	over := t.over && h != nil && (b.now-h.busyAt >= staleAge || h.busy >= busyCalm)
	most = either(over, min(most, b.free[t.profile]), most) // a free slot at a usual host
	if h != nil && h.model.knee() > 0 {
		if e = 0; b.chance.draw()*b.came > passTimes*b.passed+passFree {
			return nil
		}
		b.passed++
	}
	if h == nil || b.probesOnly() && !h.closed(t.profile) || b.guesses(h) || e <= most { // or a trial
		return h
	}
	if h.own > 0 || b.now-min(max(h.paced, h.restAt), b.heardOf[t.profile]) < staleAge || !b.rare() {
		return nil
	}
	if b.probesOnly() { // one such at a time
		h.paced, b.heardOf[t.profile] = b.now, b.now
	}
	return h
}

// jammed tells by chance whether a transaction is rolled back for what hops take in a zone. What is known of
// another is little and old: by live sizes a jam of the own one counts too, or all would try them by turns.
func (b *Balancer) jammed(t *tx, g *group) bool {
	if b.blind() {
		return b.full(b.jam(g, t.profile), jamShed, jamAlways)
	}
	jam := max(b.jam(t.home, t.profile), b.jam(g, t.profile))
	of := jam * b.usually(t.profile) / b.bears(t.profile) * (g.meets + heldSpare) / heldMost
	return b.chance.draw() < b.pressed(g, math.Sqrt(of)-heldShed)
}

// jamOfOne is the most that one answer counts for: many long ones are a jam, the more so where nines count.
func (b *Balancer) jamOfOne() float64 {
	return either(b.price.AvailabilityNines > 0, jamAlways, feltFull)
}

// pressed is the part of a zone's transactions that is rolled back. It adds up over time, as the list is
// late: by what is too much now alone zones were closed and flooded by turns.
func (b *Balancer) pressed(g *group, over float64) float64 {
	passed := min(b.now-g.pressedAt, pressedMost)
	g.pressed = min(max(0, g.pressed+pressedStep*min(over, 1)*passed.Seconds()), leaveMost)
	g.pressedAt = b.now
	return g.pressed + pressedNow*over
}

// lets is for how long a hop is let be: the less, the more a zone is jammed. What waits turns hosts slow.
func (b *Balancer) lets(t *tx, g *group) time.Duration {
	least := either(t.prof.Effect == Idempotent, stopAgain, stopOnce)
	jam := min(max(0, (b.jam(g, t.profile)-stopFrom)/(stopTo-stopFrom)), 1)
	return time.Duration((stopGoal + (least-stopGoal)*jam) * float64(t.prof.ServiceGoal))
}

func (b *Balancer) start(t *tx) {
	switch h := b.admitted(t); {
	case t.done:
	case h != nil:
		b.send(t, h)
	default:
		b.shed++
		b.finish(t)
	}
}

func (b *Balancer) send(t *tx, h *host) {
	if b.isCold(h) {
		h.sent = append(h.sent, b.now)
	}
	h.own += t.weighs
	h.waiting = either(h.own == 1, b.now, h.waiting)
	if all := h.own + h.others; b.guesses(h) && all >= askFrom && all%(askFrom/2) == 0 {
		b.out.Probe(h.ID) // it may be full by now
	}
	b.unsaid(h)
	wait, idle := b.doubt(t, h)
	h.proving = either(h.own == 1, h.used == 0 || idle > 0, h.proving)
	h.used, t.out = b.now, t.out+1
	t.hops = append(t.hops, hop{host: h, at: b.now, idle: idle, load: h.out(), then: func() {
		if t.out == 0 && !b.again(t) {
			b.finish(t)
		}
	}})
	b.out.SendHop(t.id, h.ID, wait)
	if b.blind() && b.hops.CallOff {
		b.callOffIn(b.lets(t, h.group), t, len(t.hops)-1)
	}
}

// reads tells whether an answer is late though its host answers others far sooner: its client reads slowly.
func (b *Balancer) reads(t *tx, k *hop) bool {
	return b.hops.MaxBufferedResponses > 0 && b.now-k.at >= t.prof.ServiceGoal && k.host.lat.value < float64(t.prof.ServiceGoal)/readsPart
}

// overstays ends what its client reads slowly where such ones hold much of the room for answers: all others
// wait for it, and hosts look slow that are not.
func (b *Balancer) overstays(t *tx) {
	if t.done || len(t.hops) == 0 || !b.reads(t, &t.hops[len(t.hops)-1]) {
		return
	}
	t.late = true
	if b.late++; roomPart*b.late > b.hops.MaxBufferedResponses {
		b.finish(t)
	}
}

// unsure tells whether nothing goes to a host: a new connection, which costs it much even if it fails, just
// failed, or the first hop on an unproven one is out, with which all others there would be lost.
func (b *Balancer) unsure(h *host) bool {
	return b.now < h.unmade || h.proving && h.own > 0 && b.shaken > 0 && b.now-b.shaken < doubtFor
}

// doubt is how long a hop may wait, and how long its connection stood unused, where it may have been dropped.
func (b *Balancer) doubt(t *tx, h *host) (wait, idle time.Duration) {
	wait, idle = t.stop-b.now, b.now-h.used
	if !b.price.OpenConnections || h.used == 0 || idle < doubtFrom || h.own > 1 {
		return wait, 0
	}
	least := min(wait, time.Duration(doubtTimes*b.expect(h, t.profile)))
	return either(b.shaken > 0 && b.now-b.shaken < doubtFor, least, wait), idle
}

// again sends a further hop where a host can still answer in time.
func (b *Balancer) again(t *tx) bool {
	if t.errors() >= errsMost && b.errs.value >= errsUsual || !b.affords(t.profile) {
		return false
	}
	h, e := b.choose(t)
	if h == nil || len(t.hops) >= t.most || e >= float64(t.stop-b.now) ||
		b.probesOnly() && h.closed(t.profile) && e > b.patience(t.profile) {
		return false
	}
	b.retries[t.profile].retried(b.now, b.retryBudget().Window)
	b.send(t, h)
	return true
}

// retryBudget is the rule where one is stated; else, where nothing tells of jams, what keeps them small.
func (b *Balancer) retryBudget() RetryBudget {
	stated := b.hops.RetryBudget.Window > 0 || !b.blind()
	return either(stated, b.hops.RetryBudget, RetryBudget{retryFree, retryShare, retrySpan})
}

// affords keeps the retry budget in any window; of each profile's part, by revenue, some is kept from others.
func (b *Balancer) affords(profile int) bool {
	rule, revenue, taken := b.retryBudget(), 0.0, 0.0
	for i := range b.retries {
		n := b.retries[i].taken.least(b.now, rule.Window)
		taken, revenue = taken+n, revenue+n*b.profiles[i].Revenue
	}
	left := rule.BaseRetries + rule.RetriesPerTransaction*taken
	kept := retryKept * left / max(revenue, 1)
	for i := range b.retries {
		r, used := &b.retries[i], b.retries[i].hops.most(b.now, rule.Window)
		left -= either(i == profile, used, max(used, kept*r.taken.least(b.now, rule.Window)*b.profiles[i].Revenue))
	}
	return left >= 1 || rule.Window == 0
}

// finish answers at once; to be rolled back, nothing may be left.
func (b *Balancer) finish(t *tx) {
	if t.prof.Effect == Idempotent || t.ran() == nil || t.prof.Effect == Journalled && t.prof.DedupScope == DedupAllHosts {
		b.out.RollBack(t.id, min(time.Duration(b.work[t.profile].value), b.hops.MaxRetryAfter))
	} else {
		b.out.Abandon(t.id)
	}
	b.settle(t)
}

func (b *Balancer) HopEnded(now time.Duration, id TxID, i int, r HopResult, over bool) {
	b.turn(now)
	t, k := b.hopOut(id, i)
	if k == nil {
		return
	}
	k.over, k.end, t.out, k.host.own = true, r.Outcome, t.out-1, k.host.own-t.weighs
	switch {
	case r.Outcome == HopCommitted:
		k.host.used, k.host.proving = now, false
		k.host.model.done += either(b.isCold(k.host), 0.0, 1)
	case k.idle > 0 && r.Outcome == HopTimedOut && k.at >= b.still:
		b.shaken = now
		b.out.CloseIdleConnections(k.host.ID)
	case r.Outcome == HopNoConnection && b.price.OpenConnections:
		b.shaken, k.host.unmade = now, now+time.Duration((0.75+b.chance.draw()/2)*float64(coolMost))
	}
	b.close(k.host.Host)
	b.unsaid(k.host)
	off := r.Outcome == HopCalledOff // by a blind gateway itself, where it is late
	late := r.Outcome == HopTimedOut || (r.Outcome == HopCommitted || off && b.blind()) && now-k.at > t.prof.ServiceGoal
	if t.tenant != nil && (late || r.Outcome == HopCommitted) {
		t.tenant.missed.add(either(late, 1.0, 0), shareStep)
	}
	apart := t.outlier && (late || r.Outcome == HopCommitted) || (late || off) && b.suspect(t.tenant)
	if !apart && !b.draws(k.host.group) && k.at >= b.still {
		k.host.ends = append(k.host.ends, PeerEntry{EntryHopEnded, k.host.ID, int(k.load), t.profile, r.Outcome, r.Latency})
	}
	if k.at >= b.still && !apart && !b.reads(t, k) { // else it speaks of this gateway, a client, a tenant
		b.learn(k.host, k.load, t.profile, r)
	}
	either(t.done || over, func() { b.settle(t) }, k.then)()
}
