package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["2"] = longBodyToHungHost }

// longBodyToHungHost is case 2. Two of twelve hosts hang. Clients send transactions with long bodies and wait.
func longBodyToHungHost(b *bench, trouble bool) (breaks []string) {
	const bodySize = 2_200_000
	zones := []string{"pekalongan", "solo", "semarang", "surabaya"}
	hosts, list := b.startHosts(zones, []int{3, 3, 3, 3}, "big-box", func(int) int { return 100 })
	gateways := b.startGateways(parseSettings(pekalongan), []string{"solo", "semarang"}, startDiscovery(list), true)
	var requests []*request
	var wait sync.WaitGroup
	sendFor := func(phase string, duration, every time.Duration, bodyBytes int) {
		for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(every) {
			for g, gateway := range gateways {
				r := &request{trace: fmt.Sprintf("%s-%d-%03d", phase, g, len(requests)), profile: "order-confirm", method: "POST", expiresMs: 2500, bodyBytes: bodyBytes}
				requests = append(requests, r)
				wait.Go(func() { b.play(gateway, r) })
			}
		}
	}
	sendFor("before", 3*time.Second, 200*time.Millisecond, 200)
	hung := []*hostProcess{hosts[3], hosts[6]} // one in the zone of each gateway
	if trouble {
		for _, h := range hung {
			h.signal(syscall.SIGSTOP, "hangs")
		}
	}
	began := time.Now()
	sendFor("long", 6*time.Second, 400*time.Millisecond, bodySize)
	time.Sleep(time.Until(began.Add(12 * time.Second)))
	for _, g := range gateways {
		b.noteFigures(g)
	}
	if trouble {
		for _, h := range hung {
			h.signal(syscall.SIGCONT, "goes on")
		}
	}
	wait.Wait()
	time.Sleep(500 * time.Millisecond)
	for _, r := range requests {
		if text := r.lost(); text != "" {
			breaks = append(breaks, text)
		}
	}
	return breaks
}
