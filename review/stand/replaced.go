package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["replaced"] = replacedAtAddress }

// replacedAtAddress kills a gateway twice. While it is down, for 1.5 s, two of ten hosts that drain are replaced by new ones of
// another cell, at the addresses of those that have gone. The gateway is started again with the list as it last had it. One host
// of the first cell fails nine in ten of what it gets, after it has run it.
func replacedAtAddress(r *rig) int {
	var mu sync.Mutex
	attempts, cells := map[string][]run{}, map[string]int{}
	failing := 0
	handler := func(h *host, w http.ResponseWriter, request *http.Request, attempt *run) bool {
		mu.Lock()
		attempts[attempt.trace] = append(attempts[attempt.trace], *attempt)
		fails := false
		if h.uid == "s-0" {
			failing++
			fails = failing%10 != 0
		}
		mu.Unlock()
		if fails {
			r.add("host %s: %s has run and is answered with 500", h.uid, attempt.trace)
			w.WriteHeader(http.StatusInternalServerError)
		}
		return fails
	}
	hosts, entries := r.startHosts(10, 40*time.Millisecond)
	for i, h := range hosts {
		h.handler = handler
		entries[i].Cell = 1 + i/5
		cells[h.uid] = entries[i].Cell
	}
	registry := newRegistry(r.record, entries)
	discovery := r.startDiscovery("A", registry)
	c := config("n0", discovery.addr, settings(1, 0), registry.whole(false))
	g := r.start("n0", r.dir+"/tmp0", c, nil)
	traffic := func(duration time.Duration) {
		if !g.awaitReady(10 * time.Second) {
			cannotRun("the gateway is not ready")
		}
		stop := make(chan struct{})
		open := every(10*time.Millisecond, stop, func() { r.ask(g.addr, "POST", "order-update", true, 1500*time.Millisecond) })
		time.Sleep(duration)
		close(stop)
		open.Wait()
	}
	traffic(2 * time.Second)
	for round := range 2 {
		gone := hosts[1+2*round : 3+2*round]
		r.add("platform: %s and %s begin to drain", gone[0].uid, gone[1].uid)
		traffic(900 * time.Millisecond)
		known := registry.whole(false) // as the gateway last had it: discovery learns of the drain 1 s late
		killedAt := r.now()
		g.signal(syscall.SIGKILL)
		<-g.ended
		until := func(at time.Duration) { time.Sleep(killedAt + at - r.now()) }
		until(100 * time.Millisecond)
		for _, h := range gone {
			registry.setState(h.uid, "terminating")
		}
		until(1100 * time.Millisecond)
		var next []*host
		for _, h := range gone {
			next = append(next, r.moveHost(h, "t-"+h.uid, r.trouble))
		}
		until(1400 * time.Millisecond)
		for i, h := range gone {
			registry.setState(h.uid, "terminated")
			cells[next[i].uid] = 2
			registry.set(entry{UID: next[i].uid, Endpoint: next[i].addr, Zone: "solo", Model: "big-box", Cell: 2, State: "in_service", Hint: 1,
				BootMS: time.Now().UnixMilli() - 300})
		}
		until(1450 * time.Millisecond)
		c["known"] = known
		g = r.start("n0", fmt.Sprintf("%s/tmp%d", r.dir, round+1), c, nil)
		traffic(2 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	return r.ranInTwoCells(attempts, cells, 0)
}
