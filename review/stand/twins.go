package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["twins"] = twoAtOneAddress }

// twoAtOneAddress has a host die without notice and a new one, of another cell, come to its address. Discovery tells of the new
// one after half a second, and that the other is gone after six. All hosts reset one in twenty connections within their work.
func twoAtOneAddress(r *rig) int {
	var mu sync.Mutex
	attempts, cells := map[string][]run{}, map[string]int{}
	n := 0
	handler := func(h *host, w http.ResponseWriter, request *http.Request, attempt *run) bool {
		mu.Lock()
		attempts[attempt.trace] = append(attempts[attempt.trace], *attempt)
		n++
		breaks := n%20 == 0
		mu.Unlock()
		if breaks {
			time.Sleep(h.work)
			r.add("host %s: %s has run and its connection is reset", h.uid, attempt.trace)
			reset(w)
		}
		return breaks
	}
	hosts, entries := r.startHosts(10, 30*time.Millisecond)
	for i, h := range hosts {
		h.handler = handler
		entries[i].Cell = 1 + i/5
		cells[h.uid] = entries[i].Cell
	}
	registry := newRegistry(r.record, entries)
	discovery := r.startDiscovery("A", registry)
	g := r.start("n0", r.dir+"/tmp0", config("n0", discovery.addr, settings(1, 0), registry.whole(false)), nil)
	if !g.awaitReady(10 * time.Second) {
		cannotRun("the gateway is not ready")
	}
	stop := make(chan struct{})
	open := every(5*time.Millisecond, stop, func() { r.ask(g.addr, "POST", "order-update", true, 1500*time.Millisecond) })
	time.Sleep(3 * time.Second)
	diedAt := r.now()
	r.add("platform: %s dies", hosts[1].uid)
	next := r.moveHost(hosts[1], "t-1", r.trouble)
	cells[next.uid] = 2
	time.Sleep(500 * time.Millisecond)
	registry.set(entry{UID: next.uid, Endpoint: next.addr, Zone: "solo", Model: "big-box", Cell: 2, State: "in_service", Hint: 1,
		BootMS: time.Now().UnixMilli() - 500})
	toldAt := r.now() + socketSlack
	time.Sleep(diedAt + 6*time.Second - r.now())
	registry.setState(hosts[1].uid, "terminated")
	time.Sleep(2 * time.Second)
	close(stop)
	open.Wait()
	mu.Lock()
	defer mu.Unlock()
	return r.ranInTwoCells(attempts, cells, toldAt)
}

// moveHost ends a host and starts a new one, at the same address if that is asked for.
func (r *rig) moveHost(old *host, uid string, sameAddress bool) *host {
	old.server.Close()
	addr := "127.0.0.1:0"
	if sameAddress {
		addr = old.addr
	}
	ln, err := net.Listen("tcp", addr)
	must(err)
	h := &host{record: r.record, uid: uid, addr: ln.Addr().String(), work: old.work, handler: old.handler}
	h.server = &http.Server{Handler: http.HandlerFunc(h.serve), IdleTimeout: 15 * time.Second}
	go h.server.Serve(ln)
	return h
}

// ranInTwoCells records and counts the further attempts, from a time on, at hosts of another cell than that of the first one.
func (r *rig) ranInTwoCells(attempts map[string][]run, cells map[string]int, from time.Duration) (broken int) {
	repeated := 0
	for trace, runs := range attempts {
		for _, further := range runs[1:] {
			if further.at < from {
				continue
			}
			repeated++
			if first := runs[0]; cells[further.host] != cells[first.host] {
				broken++
				r.add("judge: %s ran at %s of cell %d at %.3f and at %s of cell %d at %.3f", trace, first.host, cells[first.host], first.at.Seconds(),
					further.host, cells[further.host], further.at.Seconds())
			}
		}
	}
	r.add("judge: %d attempts were further ones", repeated)
	return broken
}
