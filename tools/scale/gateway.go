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
	defaultProfileCount       = 4                     // request classes of one service, where the number of profiles is not what varies
	peakTransactionsPerSecond = 455                   // per gateway: 2 million over 4,400 gateways
	hopLatency                = 20 * time.Millisecond // of every hop
	concurrentTransactions    = 9                     // 455 a second for 20 ms each
	hostsPerService           = 57                    // 170,000 hosts over 3,000 services
)

// What gateways learn about hosts beside the results of their own hops.
var (
	inFlightSources = logic.InformationSources{ResponsesReportInFlight: true, ResponsesReportLoad: true, ExtraProbesAllowed: true} // responses carry the requests in flight, and probes are allowed
	loadSources     = logic.InformationSources{ResponsesReportLoad: true}                                                          // responses carry load reports without requests in flight
	noSources       = logic.InformationSources{}                                                                                   // no information
)

// makeProfiles returns n idempotent profiles with the same service goal and revenue.
func makeProfiles(n int) []logic.Profile {
	profiles := make([]logic.Profile, n)
	for i := range profiles {
		profiles[i] = logic.Profile{Name: fmt.Sprintf("profile-%05d", i), Effect: logic.Idempotent, ServiceGoal: 400 * time.Millisecond, Revenue: 1}
	}
	return profiles
}

// makeTenants returns n tenants with the same quota.
func makeTenants(n int) []logic.Tenant {
	tenants := make([]logic.Tenant, n)
	for i := range tenants {
		tenants[i] = logic.Tenant{Name: fmt.Sprintf("tenant-%06d", i), QuotaPerSecond: 100}
	}
	return tenants
}

// makeZones returns the names of n zones.
func makeZones(n int) []string {
	zones := make([]string, n)
	for i := range zones {
		zones[i] = fmt.Sprintf("zone-%02d", i)
	}
	return zones
}

// makeHosts returns hosts that are spread evenly over the zones.
func makeHosts(n, zoneCount int) []logic.Host {
	zones, hosts := makeZones(zoneCount), make([]logic.Host, n)
	for i := range hosts {
		hosts[i] = logic.Host{ID: logic.HostID(i + 1), Zone: zones[i%zoneCount], Kind: fmt.Sprintf("kind-%d", i%5), Cell: i % 97, State: logic.HostReady, CapacityHint: 1}
	}
	return hosts
}

// simulatedGateway is the decision core alone, with a clock that the caller advances. It counts the actions that the core takes.
type simulatedGateway struct {
	*logic.Balancer
	now, timerDue                      time.Duration // timerDue is 0 if no timer is set
	hopsSent, unsuccessful, probesSent int
}

// newGateway returns a gateway without hosts, whose clock starts at one hour.
func newGateway(gatewayCount int, sources logic.InformationSources, profiles []logic.Profile, tenants []logic.Tenant) *simulatedGateway {
	g := &simulatedGateway{now: time.Hour}
	sources.MaxListPollInterval = 10 * time.Second
	g.Balancer = logic.New(g, g.now, 7, logic.Topology{GatewayCount: gatewayCount, Zone: "zone-00", Zones: makeZones(targetFleet["zones"])}, profiles, tenants,
		logic.ColdHostRule{InitialCapacityFraction: 0.25, WarmUpDuration: 8 * time.Second, OverloadMultiple: 4, OverloadDuration: time.Second}, logic.DrainRule{},
		logic.HopRule{MaxHops: 3, MaxRetryAfter: time.Second}, sources, logic.CostModel{CrossZoneHop: 0.05})
	return g
}

// newTargetGateway returns a gateway of the target fleet with the given hosts.
func newTargetGateway(sources logic.InformationSources, profiles []logic.Profile, tenants []logic.Tenant, hosts []logic.Host) *simulatedGateway {
	g := newGateway(targetFleet["gateways"], sources, profiles, tenants)
	g.HostListReceived(g.now, logic.ListComplete, hosts)
	return g
}

func (g *simulatedGateway) SendHop(logic.TxID, logic.HostID, logic.HopLimits) { g.hopsSent++ }

func (g *simulatedGateway) CallOff(logic.TxID, int)                {}
func (g *simulatedGateway) RollBack(logic.TxID, time.Duration)     { g.unsuccessful++ }
func (g *simulatedGateway) Abandon(logic.TxID)                     { g.unsuccessful++ }
func (g *simulatedGateway) Probe(logic.HostID)                     { g.probesSent++ }
func (g *simulatedGateway) CloseIdleConnections(logic.HostID)      {}
func (g *simulatedGateway) SendPeerMessage(int, []logic.PeerEntry) {}
func (g *simulatedGateway) RequestHostList()                       {}
func (g *simulatedGateway) SetTimer(delay time.Duration)           { g.timerDue = g.now + delay }
func (g *simulatedGateway) Log(string)                             {}

// advanceToTimer moves the clock to when the timer is due. The caller calls TimerFired, which does the periodic work.
func (g *simulatedGateway) advanceToTimer() {
	g.now, g.timerDue = g.timerDue, 0
}

// trafficGenerator sends transactions at the rate and concurrency of the target's peak.
type trafficGenerator struct {
	*simulatedGateway
	id   logic.TxID
	open []logic.TxID
	load logic.LoadReport
}

// nextTransaction starts a transaction and, if enough are open, commits the oldest.
func (t *trafficGenerator) nextTransaction() {
	t.now += time.Second / peakTransactionsPerSecond
	t.id++
	hopsBefore := t.hopsSent
	t.TransactionReceived(t.now, t.id, logic.Arrival{ProfileIndex: 0, TenantIndex: -1, Budget: time.Second})
	if t.hopsSent > hopsBefore {
		t.open = append(t.open, t.id)
	}
	if len(t.open) > concurrentTransactions {
		t.HopEnded(t.now, t.open[0], 0, logic.HopResult{Outcome: logic.HopCommitted, Latency: hopLatency, Load: t.load}, true)
		t.open = append(t.open[:0], t.open[1:]...)
	}
}

// hostListJSON returns a host list of n hosts as discovery sends it, either complete or as a change.
func hostListJSON(n int, full bool) []byte {
	l := makeHostList(n)
	l.Full = full
	text, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	return text
}

// makeHostList returns a complete host list of n hosts.
func makeHostList(n int) *protocol.HostList {
	l := &protocol.HostList{Revision: 4, Full: true}
	zones := makeZones(targetFleet["zones"])
	for i := range n {
		l.Hosts = append(l.Hosts, protocol.HostEntry{UID: fmt.Sprintf("host-%06d", i), Endpoint: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Zone: zones[i%len(zones)], Model: fmt.Sprintf("kind-%d", i%5), Cell: i % 97, State: "in_service", CapacityHint: 1})
	}
	return l
}

// settingsJSON returns a gateway's settings as in its configuration file.
func settingsJSON(gatewayCount, profileCount, tenantCount int) []byte {
	type object = map[string]any
	var profiles, tenants []object
	for _, p := range makeProfiles(profileCount) {
		profiles = append(profiles, object{"name": p.Name, "effect": "idempotent", "serviceGoal": 400_000, "hardLimit": 1_000_000, "revenue": 1})
	}
	for _, t := range makeTenants(tenantCount) {
		tenants = append(tenants, object{"name": t.Name, "quotaRps": t.QuotaPerSecond})
	}
	text, err := json.Marshal(object{"balancers": gatewayCount, "me": 0, "myZone": "zone-00", "dcs": makeZones(targetFleet["zones"]), "profiles": profiles, "parties": tenants,
		"limits":      object{"mostHops": 3, "mayTell": false, "probes": false},
		"obligations": object{"coldFrom": 0.25, "fallMultiple": 4, "tipAfter": 1_000_000, "drainGrace": 500_000, "warmUp": 8_000_000},
		"report":      object{"via": "answers", "fields": []string{"rif", "busy"}}})
	if err != nil {
		panic(err)
	}
	return text
}

// newPeerMessageCodec returns a configuration that encodes and decodes peer messages.
func newPeerMessageCodec(gatewayCount int) (*config.ConfiguredCore, error) {
	return config.Parse(settingsJSON(gatewayCount, defaultProfileCount, 0), 10*time.Second)
}
