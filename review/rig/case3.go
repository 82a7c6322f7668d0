package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

func init() { cases["3"] = longAnswerOfDrainingHost }

// longAnswerOfDrainingHost is case 3. The process of a gateway is replaced while clients read long answers, and the list
// has said of one of ten hosts that it drains.
func longAnswerOfDrainingHost(b *bench, trouble bool) (breaks []string) {
	const (
		answerBytes = 9_600_000
		clients     = 4
	)
	hosts, list := b.startHosts([]string{"pekalongan", "solo", "semarang", "surabaya"}, []int{2, 4, 2, 2}, "big-box", func(int) int { return 100 })
	d := startDiscovery(list)
	platform := b.newPlatform(parseSettings(pekalongan), "solo", d)
	old := platform.start("old")
	time.Sleep(500 * time.Millisecond)
	var wait sync.WaitGroup
	var requests []*request
	for i := range clients {
		r := &request{trace: fmt.Sprintf("long-%d", i), profile: "order-update", method: "POST", key: fmt.Sprintf("key-%d", i), expiresMs: 2000, bodyBytes: 200, answerBytes: answerBytes}
		requests = append(requests, r)
		wait.Go(func() { b.playSlowly(platform.addr, r) })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	ran := b.eventsOf(requests[0].trace, hostRan)
	if len(ran) == 0 {
		fail("no host has %s", requests[0].trace)
	}
	part := os.Getenv("TROUBLE")      // drain or replace: that half of the disruption alone, to tell the cause
	if trouble && part != "replace" { // a host that has such an answer under way
		d.drain(b, hosts[slices.IndexFunc(hosts, func(h *hostProcess) bool { return h.name == ran[0].Host })])
	}
	time.Sleep(time.Second)
	if trouble && part != "drain" {
		platform.start("new")
		time.Sleep(500 * time.Millisecond)
		platform.end(old, 2500*time.Millisecond+700*time.Millisecond) // the longest hard limit and 0.7 s
	}
	wait.Wait()
	for _, r := range requests {
		if r.err != nil {
			breaks = append(breaks, fmt.Sprintf("%s: its answer of %d bytes was cut off after %d (%v)", r.trace, r.answerBytes, len(r.answer), r.err))
		} else if r.answer != longAnswer(r.answerBytes) {
			breaks = append(breaks, fmt.Sprintf("%s: its answer is not that of the host", r.trace))
		}
	}
	return breaks
}
