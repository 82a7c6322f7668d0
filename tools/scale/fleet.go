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
	messageDelay         = time.Millisecond // one way between gateways, and for the round trip of a probe
	fleetWarmUpDuration  = time.Second      // before messages are counted, so that latencies and relative speeds are learnt
	fleetCountedDuration = 2 * time.Second  // for which messages are counted
	minCommittedFraction = 0.9              // of the transactions; below it the fleet rejects or delays transactions, and the measurement is not valid
)

// fleet simulates gateways that exchange peer messages, in virtual time and without sockets. Each gateway runs the real decision core and
// sends really encoded messages. Every hop commits after the same latency.
type fleet struct {
	now                         time.Duration
	lastEventSeq                int
	events                      eventQueue
	members                     []*fleetMember
	codec                       *config.ConfiguredCore
	counting                    bool
	received, committed, probes int
	err                         error
}

// fleetMember is one gateway of a fleet.
type fleetMember struct {
	*logic.Balancer
	fleet                                                    *fleet
	index                                                    int
	timerSeq                                                 int // number of the timer that is set; earlier ones are void
	openHops                                                 map[logic.TxID]logic.HostID
	sentBytes, receivedBytes, sentMessages, receivedMessages int
}

// event is a callback at a point in virtual time; seq keeps the order of events at the same time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule runs a callback after a delay in virtual time.
func (f *fleet) schedule(delay time.Duration, run func()) {
	f.lastEventSeq++
	heap.Push(&f.events, event{f.now + delay, f.lastEventSeq, run})
}

func (m *fleetMember) SendHop(id logic.TxID, host logic.HostID, _ logic.HopLimits) {
	if _, again := m.openHops[id]; again {
		m.fleet.err = fmt.Errorf("a transaction got a second hop although every hop commits")
	}
	m.openHops[id] = host
	m.fleet.schedule(hopLatency, func() {
		delete(m.openHops, id)
		m.HopEnded(m.fleet.now, id, 0, logic.HopResult{Outcome: logic.HopCommitted, Latency: hopLatency, Load: logic.NoLoadReport}, true)
		m.fleet.committed++
	})
}
func (m *fleetMember) CallOff(logic.TxID, int)            {}
func (m *fleetMember) RollBack(logic.TxID, time.Duration) {}
func (m *fleetMember) Abandon(logic.TxID)                 {}
func (m *fleetMember) CloseIdleConnections(logic.HostID)  {}
func (m *fleetMember) RequestHostList()                   {}
func (m *fleetMember) Log(string)                         {}

func (m *fleetMember) Probe(host logic.HostID) {
	if m.fleet.counting {
		m.fleet.probes++
	}
	m.fleet.schedule(messageDelay, func() {
		m.ProbeEnded(m.fleet.now, host, logic.LoadReport{InFlight: 2, Queued: 0, Utilization: 0.3, RequestsPerSecond: -1, LatencyMs: -1})
	})
}

func (m *fleetMember) SetTimer(delay time.Duration) {
	m.timerSeq++
	timer := m.timerSeq
	m.fleet.schedule(delay, func() {
		if m.timerSeq == timer {
			m.TimerFired(m.fleet.now)
		}
	})
}

func (m *fleetMember) SendPeerMessage(to int, entries []logic.PeerEntry) {
	for msg := range m.fleet.codec.EncodePeerMessages(entries) {
		for i, other := range m.fleet.members {
			if i != m.index && (to < 0 || i == to) {
				m.deliver(other, msg)
			}
		}
	}
}

// deliver sends one datagram to another gateway. The counted bytes leave out IP and UDP headers.
func (m *fleetMember) deliver(to *fleetMember, msg []byte) {
	if m.fleet.counting {
		m.sentMessages, m.sentBytes = m.sentMessages+1, m.sentBytes+len(msg)
		to.receivedMessages, to.receivedBytes = to.receivedMessages+1, to.receivedBytes+len(msg)
	}
	m.fleet.schedule(messageDelay, func() {
		entries, err := m.fleet.codec.DecodePeerMessage(msg)
		if err != nil {
			m.fleet.err = err
			return
		}
		to.PeerMessageReceived(m.fleet.now, m.index, entries)
	})
}

// measurePeerMessages simulates a fleet and returns the bytes and messages that a gateway sends and receives per second, as the mean and for
// the busiest gateway, and the probes that a host gets per second.
func measurePeerMessages(ctx context.Context, gatewayCount, hostCount, zoneCount, transactionsPerSecond int) (map[string]float64, error) {
	f := &fleet{now: time.Hour}
	var err error
	if f.codec, err = newPeerMessageCodec(gatewayCount); err != nil {
		return nil, err
	}
	allHosts, allZones := makeHosts(hostCount, zoneCount), makeZones(zoneCount)
	for i := range gatewayCount {
		f.members = append(f.members, &fleetMember{fleet: f, index: i, openHops: map[logic.TxID]logic.HostID{}})
	}
	for i, m := range f.members {
		m.Balancer = logic.New(m, f.now, uint64(7+i), logic.Topology{GatewayCount: gatewayCount, GatewayIndex: i, Zone: allZones[i%zoneCount], Zones: allZones}, makeProfiles(defaultProfileCount), nil,
			logic.ColdHostRule{InitialCapacityFraction: 0.25, WarmUpDuration: 8 * time.Second, OverloadMultiple: 4, OverloadDuration: time.Second}, logic.DrainRule{},
			logic.HopRule{MaxHops: 3, MaxRetryAfter: time.Second}, logic.InformationSources{PeersShareInFlight: true, ProbesReportLoad: true, MaxListPollInterval: 10 * time.Second}, logic.CostModel{CrossZoneHop: 0.05})
		m.HostListReceived(f.now, logic.ListComplete, allHosts)
		id := logic.TxID(0)
		var arrive func()
		arrive = func() {
			id++
			f.received++
			m.TransactionReceived(f.now, id, logic.Arrival{TenantIndex: -1, Budget: time.Second})
			f.schedule(time.Second/time.Duration(transactionsPerSecond), arrive)
		}
		f.schedule(time.Second/time.Duration(transactionsPerSecond)*time.Duration(i)/time.Duration(gatewayCount), arrive)
	}
	f.schedule(fleetWarmUpDuration, func() { f.counting, f.received, f.committed = true, 0, 0 })
	for until := f.now + fleetWarmUpDuration + fleetCountedDuration; len(f.events) > 0 && f.events[0].at < until && f.err == nil; {
		if f.lastEventSeq%1024 == 0 && ctx.Err() != nil {
			return nil, ctx.Err()
		}
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	if f.err != nil {
		return nil, f.err
	}
	if float64(f.committed) < minCommittedFraction*float64(f.received) {
		return nil, fmt.Errorf("only %d of %d transactions committed: the measurement is not valid", f.committed, f.received)
	}
	seconds, meanBytes, worstBytes, meanMessages, worstMessages := fleetCountedDuration.Seconds(), 0.0, 0.0, 0.0, 0.0
	for _, m := range f.members {
		bytes, n := float64(m.sentBytes+m.receivedBytes)/seconds, float64(m.sentMessages+m.receivedMessages)/seconds
		meanBytes += bytes / float64(gatewayCount)
		meanMessages += n / float64(gatewayCount)
		worstBytes, worstMessages = max(worstBytes, bytes), max(worstMessages, n)
	}
	return map[string]float64{"B/s": meanBytes, "worst B/s": worstBytes, "msg/s": meanMessages, "worst msg/s": worstMessages,
		"probes/s": float64(f.probes) / seconds / float64(hostCount)}, nil
}
