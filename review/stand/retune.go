package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["retune"] = widerGroup }

// widerGroup gives a gateway a new configuration in which the class order-update is known by all hosts, not by those of a
// cell. All hosts reset one in twenty connections within their work, all the time.
func widerGroup(r *rig) int {
	hosts, entries := r.startHosts(6, 20*time.Millisecond)
	var mu sync.Mutex
	attempts := map[string][]run{}
	n := 0
	for _, h := range hosts {
		h.handler = func(h *host, w http.ResponseWriter, request *http.Request, attempt *run) bool {
			mu.Lock()
			n++
			attempts[attempt.trace] = append(attempts[attempt.trace], *attempt)
			breaks := n%20 == 0
			mu.Unlock()
			if breaks {
				time.Sleep(h.work)
				r.add("host %s: %s has run and its connection is reset", h.uid, attempt.trace)
				reset(w)
			}
			return breaks
		}
	}
	registry := newRegistry(r.record, entries)
	discovery := r.startDiscovery("A", registry)
	s := settings(1, 0)
	c := config("n0", discovery.addr, s, registry.whole(false))
	g := r.start("n0", r.dir+"/tmp0", c, nil)
	if !g.awaitReady(10 * time.Second) {
		cannotRun("the gateway is not ready")
	}
	stop := make(chan struct{})
	calls := make(chan call, 10000)
	open := every(5*time.Millisecond, stop, func() { calls <- r.ask(g.addr, "POST", "order-update", true, 2*time.Second) })
	time.Sleep(2 * time.Second)
	retunedAt := time.Duration(1 << 60)
	if r.trouble {
		next := settings(1, 0)
		next["profiles"].([]object)[1]["group"] = "all"
		c["settings"] = next
		g.writeConfig()
		retunedAt = r.now()
		g.signal(syscall.SIGHUP)
	}
	time.Sleep(1200 * time.Millisecond)
	close(stop)
	open.Wait()
	close(calls)
	broken, repeated := 0, 0
	for c := range calls {
		if c.sentAt > retunedAt+1200*time.Millisecond {
			continue
		}
		for _, attempt := range attempts[c.trace][min(1, len(attempts[c.trace])):] {
			repeated++
			if cellOf(attempt.host) != cellOf(attempts[c.trace][0].host) {
				broken++
				r.add("judge: %s, sent at %.3f, SIGHUP at %.3f, ran at %s and, at %.3f, at %s of another cell", c.trace, c.sentAt.Seconds(), retunedAt.Seconds(),
					attempts[c.trace][0].host, attempt.at.Seconds(), attempt.host)
			}
		}
	}
	r.add("judge: %d attempts were further ones", repeated)
	return broken
}

// cellOf returns the cell of a host of startHosts.
func cellOf(uid string) byte { return (uid[len(uid)-1] - '0') / 2 }
