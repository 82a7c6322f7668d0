package main

import (
	"encoding/json"
	"slices"
)

// The settings of the cases' deployments, in the form of the simulator's first message, with the figures of the site
// files. What differs from gateway to gateway is set as each is started.

const pekalongan = `{"blend":{"whole":0.6,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.2},"clients":{"marksRetry":false},
"dcs":["pekalongan","solo","semarang","surabaya"],"discovery":"subscribe","family":"proxy","kinds":["big-box","small-box"],
"limits":{"cancelling":true,"connIdle":15000000,"connectTimeout":200000,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"maxRetryAfter":2000000,
"mayTell":true,"mostHeld":20000,"mostHops":6,"probes":true,"retryAfter":false,"secondCopies":true,"streamsPerConn":1},
"obligations":{"askWithin":10000000,"coldFrom":0.32,"drainGrace":2000000,"fallMultiple":4.0,"graceToAnswer":20000,"tipAfter":1000000,"warmUp":8900000},
"overageRevenue":0.05,"parties":[],"prices":{"connection":0.0,"crossZone":0.22,"discovery":0.0,"handshake":0.0,"lateFail":0.08,"moves":0.0,
"origin":0.0,"peer":0.0097,"probe":0.0085,"waste":0.12},"profiles":[
{"effect":"deduplicated","group":"cell","hardLimit":2000000,"lateRevenue":0.0,"name":"order-update","revenue":8.0,"serviceGoal":400000,"streamed":false,"window":1200000},
{"effect":"at_most_once","group":"all","hardLimit":2500000,"lateRevenue":0.0,"name":"order-confirm","revenue":24.0,"serviceGoal":800000,"streamed":false,"window":5000000}],
"report":{"fields":["rif","q"],"via":"probe"},"revenueBy":"request","specifics":{"warmKeys":false},"stages":["order-web"],"tick":5000,"tier":0,"weights":"none"}`

const kochi = `{"blend":{"whole":0.55,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.15},"clients":{"marksRetry":false},
"dcs":["hall-a","hall-b","hall-c"],"discovery":"automatic","family":"proxy","kinds":["std-2c","slow-2c"],
"limits":{"cancelling":true,"connIdle":30000000,"connectTimeout":100000,"cpuUsPerRequest":10.0,"cpuUsPerS":8000,"maxRetryAfter":3000000,
"mayTell":false,"mostHeld":20000,"mostHops":5,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":1},
"obligations":{"askWithin":10000000,"closeOnDrainWithin":500000,"coldFrom":0.14,"drainGrace":400000,"fallMultiple":2.5,"graceToAnswer":20000,
"onlyDrainingBinds":true,"tipAfter":1500000,"warmUp":24000000},
"overageRevenue":0.05,"parties":[],"prices":{"connection":0.0,"crossZone":0.03,"discovery":0.0,"handshake":0.0,"lateFail":0.05,"moves":0.0,
"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.06},"profiles":[
{"effect":"idempotent","group":"all","hardLimit":2000000,"lateRevenue":0.5,"name":"slot-check","revenue":3.0,"serviceGoal":400000,"streamed":false,"window":5000000},
{"effect":"at_most_once","group":"all","hardLimit":2000000,"lateRevenue":0.3,"name":"confirm","revenue":3.0,"serviceGoal":750000,"streamed":false,"window":5000000},
{"effect":"deduplicated","group":"zone","hardLimit":7500000,"lateRevenue":0.2,"name":"group-book","revenue":2.0,"serviceGoal":1500000,"streamed":false,"window":2000000}],
"report":{"fields":["busy"],"via":"probe"},"revenueBy":"work","specifics":{"warmKeys":false},"stages":["booking-web"],"tick":5000,"tier":0,"weights":"live"}`

// parseSettings returns settings that may be changed.
func parseSettings(text string) map[string]any {
	var settings map[string]any
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		fail("settings: %v", err)
	}
	return settings
}

// startHosts starts hosts of one kind, the first perZone[0] of them in the first zone and so on, and returns them with
// their list.
func (b *bench) startHosts(zones []string, perZone []int, kind string, work func(i int) (ms int)) (hosts []*hostProcess, list []listEntry) {
	for z, count := range perZone {
		for range count {
			i := len(hosts)
			h := b.startHost(zones[z]+"/h"+string(rune('a'+i)), milliseconds(work(i)))
			hosts = append(hosts, h)
			list = append(list, listEntry{UID: "s-" + h.name, Endpoint: h.addr, Zone: zones[z], Model: kind, Group: z, State: "in_service", Weight: 1})
		}
	}
	return hosts, slices.Clone(list)
}
