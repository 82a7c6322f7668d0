package main

import (
	"encoding/json"
	"fmt"
	"time"

	"spanmux/internal/config"
	"spanmux/internal/protocol"
	"spanmux/logic"
)

const (
	usualProfiles = 4                     // where profiles are not what varies: kinds of work of one service
	perSecond     = 455                   // transactions a second and gateway: 2 million over 4,400
	hopTakes      = 20 * time.Millisecond // of a host, for each hop
	openAtOnce    = 9                     // transactions: those of 20 ms at 455 a second
	hostsEach     = 57                    // of a service: 170,000 over 3,000
)

// What gateways learn of hosts, beside the ends of their own hops.
var (
	told    = logic.InformationSources{ResponsesReportInFlight: true, ResponsesReportLoad: true, ExtraProbesAllowed: true} // answers say what hosts hold
	reports = logic.InformationSources{ResponsesReportLoad: true}                                                          // answers say how hosts are loaded
	blind   = logic.InformationSources{}                                                                                   // nothing
)

func profiles(n int) []logic.Profile {
	all := make([]logic.Profile, n)
	for i := range all {
		all[i] = logic.Profile{Name: fmt.Sprintf("profile-%05d", i), Effect: logic.Idempotent, ServiceGoal: 400 * time.Millisecond, Revenue: 1}
	}
	return all
}

func tenants(n int) []logic.Tenant {
	all := make([]logic.Tenant, n)
	for i := range all {
		all[i] = logic.Tenant{Name: fmt.Sprintf("tenant-%06d", i), QuotaPerSecond: 100}
	}
	return all
}

func zones(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("zone-%02d", i)
	}
	return all
}

// hosts are spread evenly over the zones.
func hosts(n, zoned int) []logic.Host {
	in, all := zones(zoned), make([]logic.Host, n)
	for i := range all {
		all[i] = logic.Host{ID: logic.HostID(i + 1), Zone: in[i%zoned], Kind: fmt.Sprintf("kind-%d", i%5), Cell: i % 97, State: logic.HostReady, CapacityHint: 1}
	}
	return all
}

// gateway is the module alone, with a clock that is moved by hand. What it wants done is counted.
type gateway struct {
	*logic.Balancer
	now, due           time.Duration // due is 0 where no timer is set
	sent, back, probes int
}

func newGateway(among int, from logic.InformationSources, profiles []logic.Profile, tenants []logic.Tenant) *gateway {
	g := &gateway{now: time.Hour}
	from.MaxListPollInterval = 10 * time.Second
	g.Balancer = logic.New(g, g.now, 7, logic.Topology{GatewayCount: among, Zone: "zone-00", Zones: zones(target["zones"])}, profiles, tenants,
		logic.ColdHostRule{InitialCapacityFraction: 0.25, WarmUpDuration: 8 * time.Second, OverloadMultiple: 4, OverloadDuration: time.Second}, logic.DrainRule{},
		logic.HopRule{MaxHops: 3, MaxRetryAfter: time.Second}, from, logic.CostModel{CrossZoneHop: 0.05})
	return g
}

// atTarget is a gateway of the target's fleet.
func atTarget(from logic.InformationSources, profiles []logic.Profile, tenants []logic.Tenant, hosts []logic.Host) *gateway {
	g := newGateway(target["gateways"], from, profiles, tenants)
	g.HostListReceived(g.now, logic.ListComplete, hosts)
	return g
}

func (g *gateway) SendHop(logic.TxID, logic.HostID, time.Duration) { g.sent++ }

func (g *gateway) CallOff(logic.TxID, int)                {}
func (g *gateway) RollBack(logic.TxID, time.Duration)     { g.back++ }
func (g *gateway) Abandon(logic.TxID)                     { g.back++ }
func (g *gateway) Probe(logic.HostID)                     { g.probes++ }
func (g *gateway) CloseIdleConnections(logic.HostID)      {}
func (g *gateway) SendPeerMessage(int, []logic.PeerEntry) {}
func (g *gateway) RequestHostList()                       {}
func (g *gateway) SetTimer(in time.Duration)              { g.due = g.now + in }
func (g *gateway) Log(string)                             {}

// toDue goes to the next of the module's own seconds, whose work comes with the call of Timer that is left to do.
func (g *gateway) toDue() {
	g.now, g.due = g.due, 0
}

// player plays transactions, as many a second and as many at once as at the target's peak.
type player struct {
	*gateway
	id   logic.TxID
	open []logic.TxID
	load logic.LoadReport
}

// one takes a transaction and ends the oldest.
func (p *player) one() {
	p.now += time.Second / perSecond
	p.id++
	was := p.sent
	p.TransactionReceived(p.now, p.id, logic.Arrival{ProfileIndex: 0, TenantIndex: -1, Budget: time.Second})
	if p.sent > was {
		p.open = append(p.open, p.id)
	}
	if len(p.open) > openAtOnce {
		p.HopEnded(p.now, p.open[0], 0, logic.HopResult{Outcome: logic.HopCommitted, Latency: hopTakes, Load: p.load}, true)
		p.open = append(p.open[:0], p.open[1:]...)
	}
}

// listText is discovery's word on so many hosts.
func listText(n int, all bool) []byte {
	l := list(n)
	l.Full = all
	text, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	return text
}

func list(n int) *protocol.HostList {
	l := &protocol.HostList{Revision: 4, Full: true}
	in := zones(target["zones"])
	for i := range n {
		l.Hosts = append(l.Hosts, protocol.HostEntry{UID: fmt.Sprintf("host-%06d", i), Endpoint: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Zone: in[i%len(in)], Model: fmt.Sprintf("kind-%d", i%5), Cell: i % 97, State: "in_service", Size: 1})
	}
	return l
}

// settings are a gateway's as its file holds them.
func settings(gateways, ofProfiles, ofTenants int) []byte {
	type object = map[string]any
	var kinds, parties []object
	for _, p := range profiles(ofProfiles) {
		kinds = append(kinds, object{"name": p.Name, "effect": "idempotent", "serviceGoal": 400_000, "hardLimit": 1_000_000, "revenue": 1})
	}
	for _, t := range tenants(ofTenants) {
		parties = append(parties, object{"name": t.Name, "quotaRps": t.QuotaPerSecond})
	}
	text, err := json.Marshal(object{"balancers": gateways, "me": 0, "myZone": "zone-00", "dcs": zones(target["zones"]), "profiles": kinds, "parties": parties,
		"limits":      object{"mostHops": 3, "mayTell": false, "probes": false},
		"obligations": object{"coldFrom": 0.25, "fallMultiple": 4, "tipAfter": 1_000_000, "drainGrace": 500_000, "warmUp": 8_000_000},
		"report":      object{"via": "answers", "fields": []string{"rif", "busy"}}})
	if err != nil {
		panic(err)
	}
	return text
}

// opened is what reads and writes messages between gateways.
func opened(gateways int) (*config.Instance, error) {
	return config.Parse(settings(gateways, usualProfiles, 0), 10*time.Second)
}
