package logic

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"
	"time"
)

// Balancer decides for one gateway. Its parts each own their state: the host table, the health of each host,
// admission, and each transaction's path.
type Balancer struct {
	out      Executor
	place    Topology
	profiles []Profile
	hops     HopRule
	from     InformationSources
	price    CostModel
	cold     ColdHostRule
	drains   DrainRule
	table    table
	admit    admission
	txs      map[TxID]*tx

	now    time.Duration
	due    dueTimes
	chance chance

	work    []average       // by profile: a hop's time on a host of pace 1 with a core free, nanoseconds
	slow    []average       // the same over far more answers
	free    []float64       // by profile: the least that has been of late, as when hosts are free
	was     []float64       // by profile: answers counted in its time a second ago
	retries []retries       // by profile
	heardOf []time.Duration // by profile: when one was last answered
	late    int             // transactions whose clients read their answers slowly
	errs    average         // share of errors at all hosts
	mean    average         // time of the transactions taken, as of work
	revenue average         // of the transactions taken
	came    float64         // transactions taken of late
	passed  float64         // of these, those that went to a host
	shed    int             // rolled back on arrival within the last second
	taken   float64         // transactions taken within the last second
	rate    average         // the same, smoothed
	shaken  time.Duration   // when a connection last could not be made, or a hop on an unused one had no answer
	still   time.Duration   // until when this gateway last stood still
	probes  float64         // that may be sent beside answers

	untold   []*host   // hosts to tell of soon
	relaying bool      // sums are due to be told
	asking   []*asking // those that have no answer yet
	askTime  average   // from an ask to its answer, or until it was given up
	mute     int       // asks in a row that had no answer
	askedAt  time.Duration
}

// asking is one ask of another gateway for a host.
type asking struct {
	tx    *tx
	at    time.Duration
	waits bool // its request goes on with the answer
}

// New makes the decisions of one gateway; seed is the root of all its chance.
func New(out Executor, now time.Duration, seed uint64, place Topology, profiles []Profile, tenants []Tenant,
	cold ColdHostRule, drains DrainRule, hops HopRule, from InformationSources, price CostModel) *Balancer {
	b := &Balancer{out: out, now: now, place: place, profiles: profiles, hops: hops, from: from, price: price,
		cold: cold, drains: drains,
		chance: chance{seed: crc32.ChecksumIEEE(binary.LittleEndian.AppendUint64(nil, seed))}, txs: map[TxID]*tx{},
		work: make([]average, len(profiles)), slow: make([]average, len(profiles)),
		free: make([]float64, len(profiles)), was: make([]float64, len(profiles)), retries: make([]retries, len(profiles)),
		heardOf: make([]time.Duration, len(profiles)),
		errs:    average{n: 1 / mediumTermSmoothing}, // none at first
		table:   table{byID: map[HostID]*host{}, models: map[string]*model{}}}
	if price.OpenConnections || b.blind() { // those that it keeps to are its own: all gateways' alike would be crowded
		b.table.ranks = crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(nil, uint32(place.GatewayIndex))) | 1
	}
	b.table.addGroups(place)
	for _, t := range tenants {
		b.admit.tenants = append(b.admit.tenants, tenant{name: t.Name, quota: t.QuotaPerSecond})
	}
	for i, p := range profiles {
		b.work[i].value = initialServiceTimeGoalFraction * float64(p.ServiceGoal)
		b.free[i] = b.work[i].value
	}
	b.at(now+time.Duration(b.chance.draw()*float64(time.Second)), b.everySecond)
	if from.MaxListPollInterval > 0 {
		b.at(now+b.spread(requestRetryDelay), out.RequestHostList)
	}
	return b
}

// Reconfigure takes other rules. What is open holds the profile and the number of hops with which it was taken; a profile that is new
// begins with what was learnt of the last one of its name.
func (b *Balancer) Reconfigure(now time.Duration, profiles []Profile, tenants []Tenant, cold ColdHostRule, drains DrainRule, hops HopRule,
	from InformationSources, price CostModel) {
	b.turn(now)
	for i := len(b.profiles); i < len(profiles); i++ {
		work := average{value: initialServiceTimeGoalFraction * float64(profiles[i].ServiceGoal)}
		slow, free, like := average{}, work.value, -1
		for k := range b.profiles {
			if b.profiles[k].Name == profiles[i].Name {
				work, slow, free, like = b.work[k], b.slow[k], b.free[k], k
			}
		}
		b.work, b.slow, b.free = append(b.work, work), append(b.slow, slow), append(b.free, free)
		b.was, b.retries, b.heardOf = append(b.was, work.n), append(b.retries, retries{}), append(b.heardOf, 0)
		for _, h := range b.table.byID { // in any order: each gets its own
			k := breaker{}
			if like >= 0 {
				k = h.by[like]
			}
			h.by = append(h.by, k)
		}
	}
	for i := range b.retries {
		if hops.RetryBudget.Window != b.hops.RetryBudget.Window { // what was taken before earns nothing; hops made still count
			b.retries[i].taken = window{}
		}
	}
	was := b.admit.tenants
	b.admit.tenants = nil
	for _, t := range tenants {
		kept := tenant{name: t.Name}
		if i := slices.IndexFunc(was, func(k tenant) bool { return k.name == t.Name }); i >= 0 {
			kept = was[i]
		}
		kept.quota = t.QuotaPerSecond
		b.admit.tenants = append(b.admit.tenants, kept)
	}
	cold.PredecessorActiveUntil = b.cold.PredecessorActiveUntil
	b.profiles, b.cold, b.drains, b.hops, b.from, b.price = profiles, cold, drains, hops, from, price
}

func (b *Balancer) ExportLearned(now time.Duration) LearnedState {
	l := LearnedState{Errs: b.errs.mean()}
	for i, p := range b.profiles {
		if !p.Removed && b.work[i].n > 0 {
			l.Profiles = append(l.Profiles, LearnedProfile{Name: p.Name, Work: b.work[i].mean(), Slow: b.slow[i].mean(), Free: b.free[i]})
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(b.table.models)) {
		m := b.table.models[kind]
		l.Kinds = append(l.Kinds, LearnedHostKind{kind, m.places.mean(), m.pace.mean(), m.usual.mean(), m.held.mean(), m.busy.mean()})
	}
	for _, h := range b.table.ready {
		k := LearnedHost{ID: h.ID, Up: either(h.StartedAt == 0, -1, now-h.StartedAt), Weight: h.weight, Pace: h.pace.mean(), Latency: h.lat.mean(),
			Cool: h.whole.cool, Share: h.whole.share}
		if h.whole.open {
			k.Open = max(1, h.whole.until-now)
		}
		l.Hosts = append(l.Hosts, k)
	}
	return l
}

// ImportLearned trusts what was learnt of profiles and kinds for as long as it takes; what was learnt of hosts is old after some seconds. What
// this process has learnt by itself stays.
func (b *Balancer) ImportLearned(now time.Duration, l LearnedState, age time.Duration) {
	b.turn(now)
	for _, p := range l.Profiles {
		i := slices.IndexFunc(b.profiles, func(k Profile) bool { return k.Name == p.Name && !k.Removed })
		if i >= 0 && b.work[i].n == 0 && p.Work.Value > 0 && p.Free > 0 {
			b.work[i], b.slow[i], b.free[i], b.was[i] = p.Work.average(), p.Slow.average(), p.Free, p.Work.N
		}
	}
	for _, k := range l.Kinds {
		if m := b.table.models[k.Kind]; m != nil && m.places.n == 0 && m.pace.n == 0 {
			m.places, m.pace, m.usual, m.held, m.busy = k.Places.average(), k.Pace.average(), k.Usual.average(), k.Held.average(), k.Busy.average()
		}
	}
	if age > observationTTL {
		return
	}
	b.errs = l.Errs.average()
	for _, k := range l.Hosts {
		h := b.table.readyHost(k.ID)
		if h == nil || h.lat.n > 0 || k.Up >= 0 && (now-h.StartedAt-k.Up-age).Abs() > maxStartTimeSkew || (k.Up < 0) != (h.StartedAt == 0) {
			continue
		}
		h.weight, h.pace, h.lat, h.paced = k.Weight, k.Pace.average(), k.Latency.average(), now
		h.whole.share, h.whole.cool = k.Share, k.Cool
		if k.Open > age {
			h.whole.open, h.whole.until = true, now+k.Open-age
		}
	}
}

// unsaid has a host told of soon.
func (b *Balancer) unsaid(h *host) {
	if b.from.PeersShareInFlight && h != nil && !h.unsaid {
		h.unsaid = true
		if b.untold = append(b.untold, h); len(b.untold) == 1 {
			b.at(b.now+peerMessageDelay, b.tell)
		}
	}
}

// sayAgain has what is out at a host told once more, as messages may be lost.
func (b *Balancer) sayAgain(h *host) {
	if h.own > 0 || h.again {
		b.unsaid(h)
	}
	h.again = false
}

// releaseUnused closes the connections to a host that were not used for the given time, where open connections have a price.
func (b *Balancer) releaseUnused(h *host, unused time.Duration) {
	if b.price.OpenConnections && h.used > 0 && h.own == 0 && b.now-h.used > unused {
		h.used = 0
		b.out.CloseIdleConnections(h.ID)
	}
}

// logShed logs how many transactions were rolled back on arrival within the last second.
func (b *Balancer) logShed() {
	if b.shed > 0 {
		b.out.Log(fmt.Sprintf("last second: %d rolled back on arrival", b.shed))
	}
	b.shed = 0
}

// callOffIn calls a hop off after that time, unless it or its transaction has ended by then.
func (b *Balancer) callOffIn(in time.Duration, t *tx, i int) {
	b.at(b.now+in, func() {
		if !t.done && !t.hops[i].over {
			b.out.CallOff(t.id, i)
		}
	})
}

// tell tells all that is new.
func (b *Balancer) tell() {
	for _, g := range b.table.groups {
		if held := news(b.untold, g); len(held) > 0 && b.drawer(g) != b.place.GatewayIndex {
			b.out.SendPeerMessage(b.drawer(g), held)
		}
	}
	b.untold = b.untold[:0]
}

// relay tells those that draw for other zones how the hosts of this one stand.
func (b *Balancer) relay() {
	b.at(b.now+aggregateInterval, b.relay)
	var sums []PeerEntry
	for _, h := range b.table.ready {
		if b.draws(h.group) && !h.whole.open && !b.unresponsive(h) {
			took := time.Duration(h.boundedServiceTimeRatio() * b.work[0].value)
			sums = append(sums, PeerEntry{Kind: EntryAggregate, Host: h.ID, InFlight: h.own + h.others, Latency: took})
		}
	}
	for _, g := range b.table.groups {
		if !b.draws(g) {
			b.out.SendPeerMessage(b.drawer(g), sums)
			g.missed(1, int(observationTTL/aggregateInterval))
		}
	}
}

// Telling. Few gateways tell all others what they have out. One of many hardly meets a host twice: one a zone
// draws for all, is asked for each transaction and told how hops ended. Unanswered, each draws by itself.

// drawer draws for a zone; it is -1 where each gateway draws for itself.
func (b *Balancer) drawer(g *group) int {
	if !b.from.PeersShareInFlight || b.place.GatewayCount <= maxIndependentGateways {
		return -1
	}
	return (g.index + g.skip*len(b.table.groups)) % b.place.GatewayCount
}

func (b *Balancer) draws(g *group) bool {
	return b.drawer(g) < 0 || b.drawer(g) == b.place.GatewayIndex
}

// ask asks for a host. A request waits for the answer only where such answers come soon enough to be worth it; else its gateway picks at
// once from what it knows, and asks once a second without waiting, to learn whether that has changed. The same where several that draw were
// silent one after the other: then it is this gateway, or all, that nobody hears.
func (b *Balancer) ask(t *tx) {
	waits := b.remotePickWorthwhile(t) && b.mute < unansweredPicksToSuspectIsolation
	if !waits && b.now-b.askedAt < requestRetryDelay {
		b.startTransaction(t)
		return
	}
	b.askedAt = b.now
	asking := &asking{t, b.now, waits}
	b.asking = append(b.asking, asking)
	b.out.SendPeerMessage(b.drawer(t.home), []PeerEntry{{Kind: EntryPickRequest, Profile: t.profile, InFlight: t.home.index}})
	b.at(b.now+min(remotePickTimeout, (t.stop-b.now)/2), func() { b.unanswered(asking) })
	if !waits {
		b.startTransaction(t)
	}
}

// unanswered gives up an ask unless it was answered.
func (b *Balancer) unanswered(a *asking) {
	i := slices.Index(b.asking, a)
	if i < 0 {
		return
	}
	b.asking = slices.Delete(b.asking, i, i+1)
	b.askTime.add(float64(b.now-a.at), rateSmoothing)
	home, missed := a.tx.home, 1
	if !a.waits && b.mute < unansweredPicksToSuspectIsolation { // it stands for those of its second that were not asked for
		missed = consecutiveFailuresToOpen
	}
	home.missed(missed, either(b.mute < unansweredPicksToSuspectIsolation, consecutiveFailuresToOpen, 2*consecutiveFailuresToOpen))
	was := b.mute
	if b.mute += missed; was < unansweredPicksToSuspectIsolation && b.mute >= unansweredPicksToSuspectIsolation { // once heard again all are to ask the same one
		home.skip, home.misses = 0, 0
	}
	if a.waits {
		b.startTransaction(a.tx)
	}
}

func (b *Balancer) answered(from int, k PeerEntry, h *host) {
	b.table.own().misses, b.mute = 0, 0
	b.unsaid(h) // or a host drawn too late, or not taken, would count as out there
	a := b.asked(k.Profile)
	if a == nil {
		return
	}
	b.askTime.add(float64(b.now-a.at), rateSmoothing)
	switch t := a.tx; {
	case !a.waits || t.done:
	case k.Host == 0:
		b.shed++
		b.finishTransaction(t)
	case h != nil && t.mayRunOn(h, b.now) && b.withinColdBudget(h, t.profile):
		if !b.draws(h.group) { // else it knows better
			h.hold(from, max(0, k.InFlight-h.own), b.now)
		}
		b.sendHop(t, h)
	default:
		b.startTransaction(t)
	}
}

func (b *Balancer) PeerMessageReceived(now time.Duration, from int, held []PeerEntry) {
	b.turn(now)
	for _, k := range held {
		switch h := b.table.readyHost(k.Host); {
		case k.Kind == EntryPickResponse:
			b.answered(from, k, h)
		case k.Kind == EntryPickRequest:
			b.drawFor(from, k)
		case h == nil:
		case k.Kind == EntryHopEnded:
			b.recordOutcome(h, float64(max(1, k.InFlight)), k.Profile, HopResult{k.Outcome, k.Latency, NoLoadReport})
		default:
			if k.Kind == EntryAggregate && k.Latency > 0 { // no time would make it look infinitely fast
				h.pace.value, h.group.misses = float64(k.Latency)/b.work[k.Profile].value, 0
			}
			h.hold(from, k.InFlight, now)
		}
	}
}

// drawFor counts the hop as out until more is told.
func (b *Balancer) drawFor(from int, k PeerEntry) {
	t := &tx{profile: k.Profile, prof: &b.profiles[k.Profile], home: b.table.group(k.InFlight)}
	for i := 0; i < b.place.GatewayCount && !b.draws(t.home); i++ {
		t.home.skip++ // asked, as those before it are silent
	}
	answer := PeerEntry{Kind: EntryPickResponse, Profile: k.Profile}
	if h := b.pickAdmitted(t); h != nil {
		answer.Host, answer.InFlight = h.ID, h.own+h.others
		by := either(b.draws(h.group), from, b.drawer(h.group))
		h.hold(by, h.heldBy[by].hops+1, b.now)
	}
	b.out.SendPeerMessage(from, []PeerEntry{answer})
	if !b.relaying {
		b.relaying = true
		b.relay()
	}
}

// asked takes out the first ask for a profile that waits for its answer, nil where none does.
func (b *Balancer) asked(profile int) *asking {
	i := slices.IndexFunc(b.asking, func(a *asking) bool { return a.tx.profile == profile })
	if i < 0 {
		return nil
	}
	a := b.asking[i]
	b.asking = slices.Delete(b.asking, i, i+1)
	return a
}

// alone tells whether this is one of many gateways that learn of each other only by what hosts report.
func (b *Balancer) alone() bool {
	return !b.from.PeersShareInFlight && b.place.GatewayCount > maxIndependentGateways
}

// told tells whether it learns by reports what others have out at each host.
func (b *Balancer) told() bool { return b.from.ResponsesReportInFlight && !b.from.PeersShareInFlight }

// sized tells whether it learns by the list what hosts hold, and from nobody else.
func (b *Balancer) sized() bool { return b.from.CapacityHints == LiveCapacity && b.alone() }

// blind tells whether this is one of many gateways that learn of hosts by the ends of their own hops alone.
func (b *Balancer) blind() bool {
	return b.alone() && !b.from.ResponsesReportLoad && !b.from.ProbesReportLoad && b.from.CapacityHints != LiveCapacity
}

// byZone tells whether it judges zones, as it knows too little of any one host in time.
func (b *Balancer) byZone() bool { return b.sized() || b.blind() }

// lone tells whether this is one of few that learn of hosts by the ends of their own hops, and by a probe now and then.
func (b *Balancer) lone() bool {
	return b.place.GatewayCount <= maxIndependentGateways && !b.from.PeersShareInFlight && !b.from.ResponsesReportLoad
}

// probesOnly tells whether it learns of each host by the ends of its own hops and by probes now and then, and from nobody else.
func (b *Balancer) probesOnly() bool {
	return b.from.ProbesReportLoad && !b.from.PeersShareInFlight && !b.from.ResponsesReportLoad && !b.byZone()
}

// feel takes in what a hop took, of what it takes at a free host. What a profile feels those that earn less feel alike; of those that
// earn more it says less, as hosts may see to them first.
func (b *Balancer) feel(h *host, profile int, r HopResult, hangs bool) {
	times := float64(r.Latency) / b.usually(profile)
	switch r.Outcome {
	case HopCommitted:
	case HopTimedOut, HopCalledOff:
		if b.sized() {
			return
		}
	case HopHostFull, HopNoConnection:
		times = rejectionLatencyRatio
	default:
		return
	}
	h.felt = b.feltAt(h)
	h.felt, h.feltSince = h.felt+latencyRatioSmoothing*(times-h.felt), b.now
	if hangs || r.Outcome == HopNoConnection { // the one is that host's alone, the other says nothing of hops that have a connection
		return
	}
	g, most := h.group, b.maxCongestionSample()
	for len(g.jams) < len(b.profiles) {
		g.jams = append(g.jams, jam{value: initialCongestion})
	}
	for i := range g.jams {
		j := &g.jams[i]
		step := min(max(1-math.Exp(-float64(b.now-j.at)/float64(congestionTimeConstant)), minCongestionSmoothing), maxCongestionSmoothing)
		if b.revenueForWork(i) > b.revenueForWork(profile) {
			step *= higherRevenueSmoothingFactor
		} else {
			j.at = b.now
		}
		j.value += step * (min(times, most) - j.value)
	}
}

// usually is the time that jams are reckoned by: the first guess, a part of the goal, where a profile takes less.
func (b *Balancer) usually(profile int) float64 {
	return max(b.free[profile], initialServiceTimeGoalFraction*float64(b.profiles[profile].ServiceGoal))
}

// feltAt is what hops took at a host of late: one that answers nothing more is forgotten.
func (b *Balancer) feltAt(h *host) float64 {
	return 1 + (h.felt-1)*math.Exp(-float64(b.now-h.feltSince)/float64(latencyRatioDecayTime))
}

// jam is what hops take in a zone for a profile, those that are out yet and late included.
func (b *Balancer) jam(g *group, profile int) float64 {
	v := initialCongestion
	if profile < len(g.jams) {
		v += (g.jams[profile].value - initialCongestion) * math.Exp(-float64(b.now-g.jams[profile].at)/float64(congestionDecayTime))
	}
	if b.sized() { // where hosts stand still what is out says nothing of the others, and the list tells of them
		return v
	}
	more := 0.0
	for _, t := range b.txs { // in any order: it is a sum
		for i := range t.hops {
			k := &t.hops[i]
			age := float64(b.now-k.at) / b.usually(t.profile) / lateHopAgeDivisor
			if !k.over && k.host.group == g && age > v && b.revenueForWork(t.profile) >= b.revenueForWork(profile) && !b.suspectedOutlier(t.tenant) {
				more += lateHopCongestionFraction * (age - v)
			}
		}
	}
	return v + more
}

// load is what the hosts of a group hold, of that at which their cores are all in use, as far as told; -1 where it is not.
func (b *Balancer) load(g *group) float64 {
	if !b.told() || len(g.hosts) == 0 || g.hosts[0].model.knee() == 0 {
		return -1
	}
	return (g.rest.value + 1) / g.hosts[0].model.knee()
}

// freshen probes a host in reach that has not told lately what it holds: answers are few, or late in a jam.
func (b *Balancer) freshen() {
	b.probes = min(b.probes+probesPerTransaction, maxProbeBurst)
	for _, g := range b.table.groups {
		for _, h := range g.hosts[:min(b.subsetSize(), len(g.hosts))] {
			if b.probes >= 1 && !b.isCold(h) && b.now-max(h.restAt, h.probed) > minReportAgeToProbe {
				h.probed = b.now
				b.probes--
				b.out.Probe(h.ID)
			}
		}
	}
}

// heard takes a report; to one of many it speaks for the zone.
func (b *Balancer) heard(h *host, l LoadReport) {
	calm := h.busyAt > 0 && b.now-h.busyAt < observationTTL && math.Abs(l.Utilization-h.busy) < maxSteadyUtilizationChange
	h.report(l, b.now)
	if b.told() && l.InFlight >= 0 {
		h.tells(l, calm, b.now)
		h.group.rest = average{h.rest, 1}
	} else if b.alone() && l.Queued >= 0 {
		h.group.queue.add(l.Queued, shortTermSmoothing)
		h.work, h.workAt = l.Queued+max(0, l.RequestsPerSecond*l.LatencyMs/1000), b.now
	}
}

// turn begins a call. Where something should have been done long ago the gateway itself stood still until now.
func (b *Balancer) turn(now time.Duration) {
	if b.now = now; len(b.due.items) > 0 && now-b.due.items[0].at > stallThreshold {
		b.still = now
	}
}

// hopOut is a hop that has not ended, nil where none is known.
func (b *Balancer) hopOut(id TxID, i int) (*tx, *hop) {
	t := b.txs[id]
	if t == nil || i < 0 || i >= len(t.hops) || t.hops[i].over {
		return nil, nil
	}
	return t, &t.hops[i]
}

// HopBodySent counts the hop as out. While the bodies of slow clients came, their hosts looked crowded, or silent, and others were rolled
// back for it.
func (b *Balancer) HopBodySent(now time.Duration, id TxID, i int) {
	b.turn(now)
	t, k := b.hopOut(id, i)
	if k == nil || t.weighs > 0 {
		return
	}
	t.weighs, t.stop, k.at = 1, t.stop+now-k.at, now
	if k.host.own++; k.host.own == 1 {
		k.host.waiting = now
	}
	k.load = k.host.out()
	b.unsaid(k.host)
}

func (b *Balancer) ResponseStarted(now time.Duration, id TxID, _ int) {
	b.turn(now)
	if t := b.txs[id]; t != nil {
		t.done = true
	}
}

func (b *Balancer) ClientLeft(now time.Duration, id TxID) {
	b.turn(now)
	if t := b.txs[id]; t != nil {
		b.settle(t)
	}
}

// AvoidedHosts counts hosts that drain, and those whose breaker for all profiles is open.
func (b *Balancer) AvoidedHosts() (n int) {
	for _, h := range b.table.byID { // in any order: it is a sum
		if h.State == HostDraining || h.State == HostReady && h.whole.open {
			n++
		}
	}
	return n
}

// close gives back what is idle to a host that drains or is gone, where that is a rule: on being told, and
// as a hop or probe ends there, so that no time has to be kept.
func (b *Balancer) close(h Host) {
	if b.drains.CloseIdleConnections && h.State != HostReady {
		b.out.CloseIdleConnections(h.ID)
	}
}

// spread is a time by chance for a call of the list: in step all would be late together.
func (b *Balancer) spread(usual time.Duration) time.Duration {
	all := min(max(usual, time.Duration(b.place.GatewayCount)*listPollIntervalPerGateway), b.from.MaxListPollInterval/2)
	return time.Duration(b.chance.draw() * float64(all))
}

func (b *Balancer) ProbeEnded(now time.Duration, id HostID, l LoadReport) {
	b.turn(now)
	switch h := b.table.byID[id]; {
	case h == nil:
	case h.State == HostReady:
		b.heard(h, l)
	default:
		b.close(h.Host)
	}
}

func either[T any](first bool, a, b T) T {
	if first {
		return a
	}
	return b
}

// average is a smoothed value that trusts its first samples.
type average struct{ value, n float64 }

func (a *average) add(x, step float64) {
	a.n++
	a.value += max(step, 1/a.n) * (x - a.value)
}

func (a average) mean() SmoothedMean { return SmoothedMean{a.value, a.n} }

func (m SmoothedMean) average() average { return average{m.Value, m.N} }

// dueTimes are kept in order; of equal ones the first added comes first.
type dueTimes struct {
	items []dueItem
	armed time.Duration // when the timer set falls due, 0 for none
}

type dueItem struct {
	at time.Duration
	do func()
}

func (d *dueTimes) add(at time.Duration, do func()) {
	i := len(d.items)
	for i > 0 && d.items[i-1].at > at {
		i--
	}
	d.items = slices.Insert(d.items, i, dueItem{at, do})
}

// next takes out the first that is due, nil if none is.
func (d *dueTimes) next(now time.Duration) func() {
	if d.armed <= now {
		d.armed = 0
	}
	if len(d.items) == 0 || d.items[0].at > now {
		return nil
	}
	do := d.items[0].do
	d.items = slices.Delete(d.items, 0, 1)
	return do
}

// arm sets a timer for the first, unless one that is set is soon enough.
func (d *dueTimes) arm(now time.Duration, set func(time.Duration)) {
	if first := max(d.items[0].at, now+1); d.armed == 0 || first < d.armed {
		d.armed = first
		set(first - now)
	}
}

// at has something done at its time; the one timer is set for the first of these.
func (b *Balancer) at(when time.Duration, do func()) {
	b.due.add(when, do)
	b.due.arm(b.now, b.out.SetTimer)
}

func (b *Balancer) TimerFired(now time.Duration) {
	b.turn(now)
	for do := b.due.next(now); do != nil; do = b.due.next(now) {
		do()
	}
	b.due.arm(now, b.out.SetTimer)
}

// chance gives the same draws for the same seed.
type chance struct{ seed, draws uint32 }

// next counts one draw.
func (c *chance) next() uint32 {
	c.draws++
	return c.draws - 1
}

// draw is even over [0, 1).
func (c *chance) draw() float64 {
	c.draws++
	sum := ^c.seed
	for mixed, i := uint64(c.draws)*uint64(c.seed|1), 0; i < 8; i++ {
		sum = crc32.IEEETable[byte(sum)^byte(mixed)] ^ sum>>8
		mixed >>= 8
	}
	return float64(^sum) / (1 << 32)
}

type table struct {
	byID    map[HostID]*host
	models  map[string]*model
	ready   []*host  // by id
	young   []*host  // those of which a start is known
	groups  []*group // the own one first
	largest float64  // size that a list has told of a host
	lost    int      // calls for the list lost in a row
	ranks   uint32   // seed of the order in which this gateway takes hosts
}

func (t *table) addGroups(p Topology) {
	zones := p.Zones
	if len(zones) == 0 {
		zones = []string{p.Zone}
	}
	own := max(0, slices.Index(zones, p.Zone))
	for i := range zones {
		at := (own + i) % len(zones)
		t.groups = append(t.groups, &group{zone: zones[at], index: at, jam: average{1, 1 / queueingRatioSmoothing}})
	}
	for i, g := range t.groups {
		g.order = append(append(append(g.order, g), t.groups[:i]...), t.groups[i+1:]...)
	}
}

// readyHost is nil where a host is not known or not ready.
func (t *table) readyHost(id HostID) *host {
	if h := t.byID[id]; h != nil && h.State == HostReady {
		return h
	}
	return nil
}

func (t *table) own() *group { return t.groups[0] }

// errsElsewhere is the mean share of errors at the hosts that are not barred, but for one: that one's own say nothing of what
// is usual. Where any told anything since then, only such hosts count: those that get no hops err on none.
func (t *table) errsElsewhere(than *host, since time.Duration) float64 {
	var mean, all average
	for _, h := range t.ready {
		if h != than && !h.whole.open {
			all.add(h.whole.share, 0)
			if h.waiting > max(0, since) {
				mean.add(h.whole.share, 0)
			}
		}
	}
	return either(mean.n > 0, mean, all).value
}

// failsBeside is the share of failures that a profile's at a host is compared with: the largest of other profiles there that were
// answered last, or the lower quartile of its own at other hosts if that is more. Only what was answered since then counts, and where its own
// failed last; it is 1 where there is nothing to compare with.
func (t *table) failsBeside(h *host, profile int, since time.Duration) float64 {
	var here, elsewhere []float64
	for i := range h.by {
		if k := &h.by[i]; i != profile && k.row == 0 && k.since > since {
			here = append(here, float64(k.fails))
		}
	}
	for _, other := range t.ready {
		if k := &other.by[profile]; other != h && (k.row > 0 || k.since > since) {
			elsewhere = append(elsewhere, float64(k.fails))
		}
	}
	if len(here) == 0 || len(elsewhere) == 0 {
		return 1
	}
	slices.Sort(elsewhere)
	return max(slices.Max(here), elsewhere[len(elsewhere)/4])
}

// group is the one of that index among the zones, the own one where there is none.
func (t *table) group(index int) *group {
	for _, g := range t.groups {
		if g.index == index {
			return g
		}
	}
	return t.own()
}

// rank is a host's place in the order of this gateway, the same for all where it keeps to no order of its own.
func (t *table) rank(id HostID) float64 {
	return either(t.ranks == 0, &chance{}, &chance{t.ranks, uint32(id)}).draw()
}

// merge takes a list in and returns the hosts that are new or have started again.
func (t *table) merge(kind ListKind, hosts []Host, leaves func(*host) bool) (fresh []*host) {
	if kind != ListCached {
		t.lost = 0
	}
	moved := kind != ListChanges // whether any comes, goes or begins anew: else only sizes have changed
	if moved {
		for _, h := range t.byID { // in any order: each is its own
			h.State = either(leaves(h), HostGone, h.State)
		}
	}
	for i := range hosts {
		entry := &hosts[i]
		h := t.byID[entry.ID]
		moved = moved || h == nil || entry.State != h.State || entry.Zone != h.Zone
		if h == nil || entry.State == HostReady && h.StartedAt != entry.StartedAt {
			if h == nil {
				h = &host{rank: t.rank(entry.ID)}
				t.byID[entry.ID] = h
			}
			fresh = append(fresh, h)
		}
		if h.model == nil || h.Kind != entry.Kind {
			if h.model = t.models[entry.Kind]; h.model == nil {
				h.model = &model{}
				t.models[entry.Kind] = h.model
			}
		}
		if entry.State == HostGone && !leaves(h) {
			continue
		}
		h.Host = *entry
		h.model.size = max(h.model.size, entry.CapacityHint)
		t.largest = max(t.largest, entry.CapacityHint)
	}
	if moved {
		t.arrange()
	}
	return fresh
}

// holds takes in what hosts hold for each core, by the sizes that a list gives, and tells the mean over all.
func (t *table) holds(listed []Host) (all average) {
	for i := range listed {
		if h := t.readyHost(listed[i].ID); h != nil && listed[i].CapacityHint > 0 {
			h.rest = h.model.size/listed[i].CapacityHint - 1
		}
	}
	for _, m := range t.models { // in any order: each is its own
		m.rest = average{}
	}
	for _, g := range t.groups {
		g.rest = average{}
		for _, h := range g.hosts {
			for _, mean := range []*average{&all, &g.rest, &h.model.rest} {
				mean.add(h.rest, 0)
			}
		}
	}
	return all
}

// rates takes in what a warm host of each kind did for this gateway within the last second.
func (t *table) rates(cold func(*host) bool) {
	for _, m := range t.models { // in any order: each is its own
		if m.warm > 0 {
			m.rate.add(m.done/m.warm, rateSmoothing)
		}
		m.done, m.warm = 0, 0
	}
	for _, h := range t.ready {
		h.model.warm += either(cold(h), 0.0, 1)
	}
}

// arrange puts the hosts that are ready into their groups.
func (t *table) arrange() {
	t.ready, t.young = t.ready[:0], t.young[:0]
	for _, g := range t.groups {
		g.hosts = g.hosts[:0]
	}
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		h := t.byID[id]
		i := slices.IndexFunc(t.groups, func(g *group) bool { return g.zone == h.Zone })
		if i < 0 {
			h.State = HostGone // in no zone that is known
		}
		if h.State == HostReady {
			h.group = t.groups[i]
			t.ready, h.group.hosts = append(t.ready, h), append(h.group.hosts, h)
			if h.StartedAt > 0 {
				t.young = append(t.young, h)
			}
		} else if h.State == HostGone && h.own == 0 {
			delete(t.byID, id)
		}
	}
	for _, g := range t.groups {
		slices.SortStableFunc(g.hosts, func(x, y *host) int { return cmp.Compare(x.rank, y.rank) })
	}
}

// model is what like hosts show.
type model struct {
	weight     float64 // times that of each host, where the list tells what they hold
	rest       average // held for each core there, ditto
	size       float64 // the largest that the list has told of one: what one that holds nothing is
	done       float64 // answers of warm hosts of this kind within the last second
	warm       float64 // these hosts
	rate       average // answers of each a second
	places     average // hops in work at a full host, where reports show it
	usual      average // hops there, where hosts report these and utilisation
	held       average // those up to the usual ones, when cores are free
	busy       average // and the utilisation then
	overloaded bool    // one of these hosts was: how many hops they take is no guess then
	pace       average // times the usual time of a profile
}

// group is the hosts of one zone.
type group struct {
	zone      string
	index     int // among the zones
	hosts     []*host
	order     []*group      // this one and then the others
	queue     average       // hops waiting at a host here, where answers report it to one of many
	rest      average       // hops of other gateways at a host here, where answers report what is held to one of many
	jam       average       // what answers here take, crowds aside, of the least
	leave     float64       // part of its traffic that goes to others, where the list tells what hosts hold
	room      float64       // hosts here, those counted less that hold much, ditto
	meets     float64       // held for each core at the hosts that hops go to, ditto
	jams      []jam         // by profile, what hops take here, where nothing tells of hosts
	pressed   float64       // part of its transactions that is rolled back, where the list tells what hosts hold
	pressedAt time.Duration // when that was last reckoned
	skip      int           // those that drew here and were given up as silent
	misses    int           // answers in a row that did not come
}

// missed counts answers that did not come, and goes on to the next drawer after most in a row.
func (g *group) missed(answers, most int) {
	if g.misses += answers; g.misses >= most {
		g.skip, g.misses = g.skip+1, 0
	}
}

// jam is smoothed, with the time of its last answer.
type jam struct {
	value float64
	at    time.Duration
}

type heldBy struct {
	hops int
	at   time.Duration
}

type host struct {
	Host
	own     int // hops of this gateway out
	group   *group
	model   *model
	others  int            // hops of the other gateways out, as told
	heldBy  map[int]heldBy // the same by the gateway that told
	said    int            // own hops out as last told
	again   bool           // to be told of once more
	unsaid  bool           // to be told of soon
	proving bool           // nothing has come yet on its connection, new or unused for long
	rank    float64        // its place in the order in which this gateway takes hosts
	used    time.Duration  // when a hop last went there, 0 once its connections are given back
	unmade  time.Duration  // until when no new connection is tried, as one could not be made
	ends    []PeerEntry    // how own hops ended, not yet told
	health
	sent []time.Duration // hops within the last TipAfter while cold
}

type health struct {
	weight    float64
	fresh     bool          // an answer since the last second
	bad       bool          // a failure, full answer or time-out since the last slow tick
	pace      average       // times the usual time of a profile, with a core free
	lat       average       // time of an answer, waits included
	busy      float64       // reported utilisation
	busyAt    time.Duration // when that came, 0 for never
	probed    time.Duration // when last probed beside answers
	rest      float64       // hops of other gateways there, as it last reported
	restAt    time.Duration // when that came
	felt      float64       // what hops took here of late, of what they take at a free host
	feltSince time.Duration // when that was
	work      float64       // hops that wait or are worked on there, by its queue, rate and time
	workAt    time.Duration // when that came
	lean      float64       // times the weight, until the list tells anew what hosts hold
	paced     time.Duration // when an answer or time-out last said something of its pace
	waiting   time.Duration // since when hops are out without any answer, if any are
	whole     breaker
	by        []breaker // by profile
}

func (h *host) breakers(profile int) []*breaker { return []*breaker{&h.whole, &h.by[profile]} }

// report takes in what a host says of its load.
func (h *host) report(l LoadReport, now time.Duration) {
	if l.Utilization >= 0 {
		h.busy, h.busyAt = l.Utilization, now
	}
	if p := &h.model.places; l.Queued > 0 && l.InFlight > 0 {
		p.add(max(1, l.InFlight-l.Queued), shortTermSmoothing)
	} else if l.Queued == 0 {
		p.value = max(p.value, l.InFlight)
	}
}

// knee is the hops at which all cores of such a host are in use, 0 where that is not known.
func (m *model) knee() float64 { return either(m.busy.n > 0, m.held.value/m.busy.value, 0) }

// tells takes in what others have out at the host, and what its like hold as their cores fill. That only while the load is
// calm: utilisation is of a time, what is held of its end, and as a day began the knee came out at three to six times its
// value, so that hosts were buried in the first second.
func (h *host) tells(l LoadReport, calm bool, now time.Duration) {
	h.rest, h.restAt = max(0, l.InFlight-float64(h.own)), now
	m := h.model
	if m.held.n == 0 {
		m.held, m.busy = average{initialConcurrencyLimit / 2, concurrencyLimitPriorSamples}, average{0.5, concurrencyLimitPriorSamples}
	}
	if l.Utilization > 0 && l.InFlight >= 1 {
		if m.usual.add(l.InFlight, mediumTermSmoothing); l.InFlight <= m.usual.value && l.Utilization < maxConcurrencyLimitUtilization && calm {
			m.held.add(l.InFlight, mediumTermSmoothing)
			m.busy.add(l.Utilization, mediumTermSmoothing)
		}
	}
}

func (h *host) learnPace(p float64) {
	h.model.pace.add(p, mediumTermSmoothing)
	h.pace.add(p, shortTermSmoothing)
}

// settlePaces keeps paces around 1. One not heard of gets no hops to show it well: it goes to its like's.
func (b *Balancer) settlePaces() {
	mean, own := average{1, 0}, []*host{}
	for _, h := range b.table.ready {
		if b.draws(h.group) { // others' paces are told
			mean.add(h.pace.value, 0)
			own = append(own, h)
		}
	}
	seldom := b.told() || b.lone() || b.sized() // a few short answers are not the least time
	for i := range b.work {
		w := &b.work[i]
		if w.n-b.was[i] > priorServiceTimeRatioSamples { // the time of one rolled back each time would drift away
			w.value *= mean.value
		}
		b.was[i] = w.n
		// Where gateways tell, a jam is in the crowd and does not raise the work. What stays so long although next to nothing is
		// taken is no jam, but what a profile takes.
		b.free[i] *= 1 + either(b.blind() && b.jam(b.table.own(), i) >= congestionShedRampEnd, congestedMinServiceTimeRisePerSecond, minServiceTimeRisePerSecond)
		usual, step := *w, mediumTermSmoothing
		if seldom {
			usual, step = b.slow[i], longTermSmoothing
		}
		switch {
		case usual.n == 0: // or what is never answered would yield to nothing, and all others to it
		case usual.n*step < 1 && !b.from.PeersShareInFlight && (seldom || usual.value >= b.free[i]): // begun in a jam?
			b.free[i] = min(usual.value, initialServiceTimeGoalFraction*float64(b.profiles[i].ServiceGoal))
		case b.from.PeersShareInFlight || usual.value < b.free[i]:
			b.free[i] = usual.value
		}
	}
	for _, m := range b.table.models {
		m.pace.value = max(m.pace.value/mean.value, minServiceTimeRatio)
	}
	for _, h := range own {
		if h.pace.value /= mean.value; b.now-h.paced > observationTTL && h.model.pace.n > 0 {
			h.pace.value += excessDecayPerSecond * (h.model.pace.value - h.pace.value)
		}
	}
}

// closed tells whether neither breaker is open.
func (h *host) closed(profile int) bool { return !h.whole.open && !h.by[profile].open }

// overloaded tells whether overload opened a breaker that is open.
func (h *host) overloaded(profile int) bool {
	return slices.ContainsFunc(h.breakers(profile), func(k *breaker) bool { return k.open && k.overload })
}

// dueBy is when all its open breakers are due for a trial.
func (h *host) dueBy(profile int) (by time.Duration) {
	for _, k := range h.breakers(profile) {
		if k.open {
			by = max(by, k.until)
		}
	}
	return by
}

// try marks its open breakers as on trial, and when the next is due.
func (h *host) try(profile int, next time.Duration) {
	for _, k := range h.breakers(profile) {
		if k.open {
			k.trying, k.until = true, next
		}
	}
}

// out is all hops there, as far as known.
func (h *host) out() float64 {
	return float64(h.own+h.others) + either(h.restAt > 0, h.rest, h.group.rest.value+h.group.queue.value)
}

// hold counts what another gateway has out.
func (h *host) hold(from, hops int, now time.Duration) {
	if h.own+h.others == 0 {
		h.waiting = now
	}
	if h.heldBy == nil {
		h.heldBy = map[int]heldBy{}
	}
	h.others += hops - h.heldBy[from].hops
	h.heldBy[from] = heldBy{hops, now}
}

// expire forgets what was told before since.
func (h *host) expire(since time.Duration) {
	for from, k := range h.heldBy { // in any order: it is a sum
		if k.at < since {
			h.others -= k.hops
			delete(h.heldBy, from)
		}
	}
	if h.restAt < since {
		h.restAt = 0
	}
}

func (b *Balancer) isCold(h *host) bool {
	return h.StartedAt > 0 && b.now-h.StartedAt < b.cold.WarmUpDuration+b.cold.StartTimeTolerance
}

// sentSince is how many hops were sent to it since then, as it was cold.
func (h *host) sentSince(since time.Duration) int {
	for len(h.sent) > 0 && h.sent[0] <= since {
		h.sent = h.sent[1:]
	}
	return len(h.sent)
}

// medianLat is the middle latency of the hosts that have answered.
func medianLat(g []*host) float64 {
	var lats []float64
	for _, h := range g {
		if h.lat.n > 0 {
			lats = append(lats, h.lat.value)
		}
	}
	slices.Sort(lats)
	if len(lats) == 0 {
		return 0
	}
	return lats[len(lats)/2]
}

// news is what is to be told of the hosts of a group.
func news(untold []*host, g *group) (held []PeerEntry) {
	for _, h := range untold {
		if h.group == g {
			held = append(append(held, h.ends...), PeerEntry{Host: h.ID, InFlight: h.own})
			h.again = h.again || h.said != h.own
			h.said, h.unsaid, h.ends = h.own, false, nil
		}
	}
	return held
}

// breaker is for a host, or for one profile there. There is one for each of both, so its fields are as small as may be.
type breaker struct {
	row      uint8         // failures in a row
	open     bool          // no hops but trials
	trying   bool          // a trial is out
	overload bool          // it was opened by overload
	fails    float32       // smoothed share of failures, time-outs among them
	share    float64       // the same of errors
	since    time.Duration // when the first of the row failed, or, where there is none, of the last good answer
	until    time.Duration // when the next trial is due
	cool     time.Duration // the cooldown before it
}

// retries counts a profile's transactions taken and its hops beyond each transaction's first.
type retries struct{ taken, hops window }

func (r *retries) took(now, span time.Duration)    { r.taken.add(now, span) }
func (r *retries) retried(now, span time.Duration) { r.hops.add(now, span) }

// windowSlots is into how many slots a window is cut: what is counted falls by a twentieth of it at once.
const windowSlots = 20

// window counts what came within the last span, by slots. The oldest slot lies in it partly.
type window struct {
	span   time.Duration // as last counted by
	newest int64         // number of the newest slot since the module's time 0
	slots  [windowSlots + 1]int32
}

// turn lets go of slots that are past. Another span keeps what was counted, as if it had all come now.
func (w *window) turn(now, span time.Duration) {
	if span <= 0 {
		return
	}
	at := int64(now) / max(1, int64(span)/windowSlots)
	if w.span != span {
		all := w.all()
		*w = window{span: span, newest: at}
		w.slots[at%(windowSlots+1)] = int32(all)
	}
	for ; w.newest < at; w.newest++ {
		if at-w.newest > windowSlots {
			w.newest = at - windowSlots - 1
		}
		w.slots[(w.newest+1)%(windowSlots+1)] = 0
	}
}

func (w *window) add(now, span time.Duration) {
	if w.turn(now, span); span > 0 {
		w.slots[w.newest%(windowSlots+1)]++
	}
}

// most is what may have come within the span, least what surely has.
func (w *window) most(now, span time.Duration) float64 {
	w.turn(now, span)
	return w.all()
}

func (w *window) least(now, span time.Duration) float64 {
	w.turn(now, span)
	return w.all() - float64(w.slots[(w.newest+1)%(windowSlots+1)])
}

func (w *window) all() float64 {
	n := int32(0)
	for _, k := range w.slots {
		n += k
	}
	return float64(n)
}

type admission struct {
	tenants []tenant
}

// missedByOthers is the share of hops past their goal of the tenants but this one, and how many hops that rests on; 0 for no tenant.
func (a *admission) missedByOthers(t *tenant) (share, hops float64) {
	var others average
	for i := range a.tenants {
		if k := &a.tenants[i]; t != nil {
			others.add(either(k == t, 0, k.missed.value), 0)
			hops += either(k == t, 0, k.missed.n)
		}
	}
	return others.value, hops
}

// tenant counts in transactions a second of this gateway.
type tenant struct {
	name                 string
	quota, tokens, taken float64
	rate                 average
	missed               average // share of hops past their goal
	greedy               bool    // it sends far more than its portion
}

// refill gives tenants a second's tokens, by an even part of the quota or what the middle tenant shows, so
// that none at a busy gateway is taken for greedy.
func (a *admission) refill(gateways float64) {
	var parts []float64
	for i := range a.tenants {
		t := &a.tenants[i]
		t.rate.add(t.taken, shortTermSmoothing)
		t.taken = 0
		parts = append(parts, t.rate.value/t.quota)
	}
	slices.Sort(parts)
	for i := range a.tenants {
		t := &a.tenants[i]
		portion := t.quota * max(1/gateways, parts[len(parts)/2])
		t.greedy = t.rate.value > overSharePortionMultiple*portion
		t.tokens = min(max(t.tokens, 0)+portion*portionSlackFactor, 2*portion*portionSlackFactor)
	}
}

// over tells whether a transaction goes beyond its tenant's share.
func (a *admission) over(i int) bool {
	t := &a.tenants[i]
	t.taken++
	t.tokens--
	return t.greedy && t.tokens < 0
}

type tx struct {
	id      TxID
	profile int
	prof    *Profile
	stop    time.Duration // when an answer earns nothing more, or the budget ends
	hops    []hop
	out     int // hops out
	key     uint32
	home    *group  // the zone it came in
	most    int     // hops that it may have
	weighs  int     // what a hop of it counts at its host: nothing while its body comes
	outlier bool    // its tenant's wait long wherever they go: its hops weigh and tell nothing
	over    bool    // beyond its tenant's share
	tenant  *tenant // nil where there is none
	late    bool    // its client reads it slowly
	done    bool    // it has its final answer, or its stream has begun
}

// lot is a host's in a draw: the largest falls to each as often as its weight asks.
type lot struct {
	host   *host
	e, lot float64 // expected time; the lot
}

func twoLargest(lots []lot) (first, second lot) {
	for i, l := range lots {
		if i == 0 || l.lot > first.lot {
			first, second = l, first
		} else if second.host == nil || l.lot > second.lot {
			second = l
		}
	}
	return first, second
}

type hop struct {
	host *host
	at   time.Duration
	idle time.Duration // for which its connection had stood unused, where that matters
	load float64       // hops at the host when it was sent, itself included
	over bool
	end  HopOutcome
	then func() // what comes next where the hop has not answered
}

// settle ends a transaction's part here. One that any host answers with an error is not counted to its tenant's share: it is hardly
// any work.
func (b *Balancer) settle(t *tx) {
	for i := range t.hops {
		if !t.hops[i].over && !t.done && b.hops.CallOff {
			b.out.CallOff(t.id, i)
		}
	}
	if n := t.errors(); !t.done && t.tenant != nil && n > 0 && n == len(t.hops) {
		t.tenant.taken--
		t.tenant.tokens++
	}
	if t.late {
		t.late = false
		b.late--
	}
	if t.done = true; t.out == 0 {
		delete(b.txs, t.id)
	}
}

// errors is how many hosts have answered it with an error.
func (t *tx) errors() (n int) {
	for i := range t.hops {
		if t.hops[i].over && t.hops[i].end == HopError {
			n++
		}
	}
	return n
}

// reRun is how many hosts further a transaction may go that may have run: its group is all that it has.
func (t *tx) reRun() int { return either(t.ran() != nil, len(t.hops), 0) }

// ran is the first hop that may have run, or still may.
func (t *tx) ran() *hop {
	for i := range t.hops {
		if !t.hops[i].over || !t.hops[i].end.NeverRan() {
			return &t.hops[i]
		}
	}
	return nil
}
