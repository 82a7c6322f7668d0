package main

import (
	"container/heap"
	"context"
	"fmt"
	"time"

	"spanmux/internal/config"
	"spanmux/logic"
)

const (
	onWay     = time.Millisecond // of a message between gateways, and of a probe there and back
	warmFor   = time.Second      // before messages count: times and paces are learnt
	countFor  = 2 * time.Second  // for which they count
	servedMin = 0.9              // of transactions that must be committed, or something else was measured
)

// fleet is many gateways that tell each other, in virtual time: the real module in each and the real messages, with no sockets. Every hop
// is committed after the same time.
type fleet struct {
	now                      time.Duration
	seq                      int
	due                      dueEvents
	members                  []*member
	codec                    *config.Instance
	counting                 bool
	taken, committed, probes int
	err                      error
}

// member is one gateway of a fleet.
type member struct {
	*logic.Balancer
	f                              *fleet
	me                             int
	timer                          int // of the one that is set
	out                            map[logic.TxID]logic.HostID
	sentBytes, gotBytes, sent, got int
}

type dueEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type dueEvents []dueEvent

func (d dueEvents) Len() int { return len(d) }
func (d dueEvents) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d dueEvents) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dueEvents) Push(x any)   { *d = append(*d, x.(dueEvent)) }
func (d *dueEvents) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

func (f *fleet) in(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.due, dueEvent{f.now + d, f.seq, do})
}

func (m *member) SendHop(id logic.TxID, host logic.HostID, _ time.Duration) {
	if _, again := m.out[id]; again {
		m.f.err = fmt.Errorf("a second hop though all are committed")
	}
	m.out[id] = host
	m.f.in(hopTakes, func() {
		delete(m.out, id)
		m.HopEnded(m.f.now, id, 0, logic.HopResult{Outcome: logic.HopCommitted, Latency: hopTakes, Load: logic.NoLoadReport}, true)
		m.f.committed++
	})
}
func (m *member) CallOff(logic.TxID, int)            {}
func (m *member) RollBack(logic.TxID, time.Duration) {}
func (m *member) Abandon(logic.TxID)                 {}
func (m *member) CloseIdleConnections(logic.HostID)  {}
func (m *member) RequestHostList()                   {}
func (m *member) Log(string)                         {}

func (m *member) Probe(host logic.HostID) {
	if m.f.counting {
		m.f.probes++
	}
	m.f.in(onWay, func() {
		m.ProbeEnded(m.f.now, host, logic.LoadReport{InFlight: 2, Queued: 0, Utilization: 0.3, RequestsPerSecond: -1, LatencyMs: -1})
	})
}

func (m *member) SetTimer(in time.Duration) {
	m.timer++
	set := m.timer
	m.f.in(in, func() {
		if m.timer == set {
			m.TimerFired(m.f.now)
		}
	})
}

func (m *member) SendPeerMessage(to int, held []logic.PeerEntry) {
	for msg := range m.f.codec.EncodePeerMessages(held) {
		for i, other := range m.f.members {
			if i != m.me && (to < 0 || i == to) {
				m.pass(other, msg)
			}
		}
	}
}

// pass has one datagram go to another gateway. Headers of IP and UDP are not counted.
func (m *member) pass(to *member, msg []byte) {
	if m.f.counting {
		m.sent, m.sentBytes = m.sent+1, m.sentBytes+len(msg)
		to.got, to.gotBytes = to.got+1, to.gotBytes+len(msg)
	}
	m.f.in(onWay, func() {
		held, err := m.f.codec.DecodePeerMessage(msg)
		if err != nil {
			m.f.err = err
			return
		}
		to.PeerMessageReceived(m.f.now, m.me, held)
	})
}

// tells plays a fleet and gives what a gateway sends and receives in a second: the mean and the worst; and the probes of a host.
func tells(ctx context.Context, gateways, ofHosts, ofZones, perSecond int) (map[string]float64, error) {
	f := &fleet{now: time.Hour}
	var err error
	if f.codec, err = opened(gateways); err != nil {
		return nil, err
	}
	all, in := hosts(ofHosts, ofZones), zones(ofZones)
	for i := range gateways {
		f.members = append(f.members, &member{f: f, me: i, out: map[logic.TxID]logic.HostID{}})
	}
	for i, m := range f.members {
		m.Balancer = logic.New(m, f.now, uint64(7+i), logic.Topology{GatewayCount: gateways, GatewayIndex: i, Zone: in[i%ofZones], Zones: in}, profiles(usualProfiles), nil,
			logic.ColdHostRule{InitialCapacityFraction: 0.25, WarmUpDuration: 8 * time.Second, OverloadMultiple: 4, OverloadDuration: time.Second}, logic.DrainRule{},
			logic.HopRule{MaxHops: 3, MaxRetryAfter: time.Second}, logic.InformationSources{PeersShareInFlight: true, ProbesReportLoad: true, MaxListPollInterval: 10 * time.Second}, logic.CostModel{CrossZoneHop: 0.05})
		m.HostListReceived(f.now, logic.ListComplete, all)
		id := logic.TxID(0)
		var arrive func()
		arrive = func() {
			id++
			f.taken++
			m.TransactionReceived(f.now, id, logic.Arrival{TenantIndex: -1, Budget: time.Second})
			f.in(time.Second/time.Duration(perSecond), arrive)
		}
		f.in(time.Second/time.Duration(perSecond)*time.Duration(i)/time.Duration(gateways), arrive)
	}
	f.in(warmFor, func() { f.counting, f.taken, f.committed = true, 0, 0 })
	for until := f.now + warmFor + countFor; len(f.due) > 0 && f.due[0].at < until && f.err == nil; {
		if f.seq%1024 == 0 && ctx.Err() != nil {
			return nil, ctx.Err()
		}
		next := heap.Pop(&f.due).(dueEvent)
		f.now = next.at
		next.do()
	}
	if f.err != nil {
		return nil, f.err
	}
	if float64(f.committed) < servedMin*float64(f.taken) {
		return nil, fmt.Errorf("%d of %d committed: the fleet gave up, so nothing was measured", f.committed, f.taken)
	}
	seconds, mean, worst, messages, worstOf := countFor.Seconds(), 0.0, 0.0, 0.0, 0.0
	for _, m := range f.members {
		bytes, n := float64(m.sentBytes+m.gotBytes)/seconds, float64(m.sent+m.got)/seconds
		mean += bytes / float64(gateways)
		messages += n / float64(gateways)
		worst, worstOf = max(worst, bytes), max(worstOf, n)
	}
	return map[string]float64{"B/s": mean, "worst B/s": worst, "msg/s": messages, "worst msg/s": worstOf,
		"probes/s": float64(f.probes) / seconds / float64(ofHosts)}, nil
}
