package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["1"] = repeatAfterWindow }

// repeatAfterWindow is case 1. One of fifteen hosts answers 500 to what it has done, and three of fifteen hang for some seconds
// with their connections open. Clients send long journalled transactions.
func repeatAfterWindow(b *bench, trouble bool) (breaks []string) {
	const (
		window   = 2 * time.Second // of group-book, in the settings
		hangTime = 5 * time.Second
		bodySize = 1_500_000
	)
	halls := []string{"hall-a", "hall-b", "hall-c"}
	hosts, list := b.startHosts(halls, []int{4, 6, 5}, "std-2c", func(int) int { return 150 })
	gateways := b.startGateways(parseSettings(kochi), []string{"hall-a", "hall-a"}, startDiscovery(list), false)
	var mu sync.Mutex
	var requests []*request
	var wait sync.WaitGroup
	sendFor := func(phase string, duration, every time.Duration, bodyBytes int) {
		for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(every) {
			for g, gateway := range gateways {
				mu.Lock()
				trace := fmt.Sprintf("%s-%d-%03d", phase, g, len(requests))
				r := &request{trace: trace, profile: "group-book", method: "POST", key: "key-" + trace, expiresMs: 7000, bodyBytes: bodyBytes}
				requests = append(requests, r)
				mu.Unlock()
				wait.Go(func() { b.play(gateway, r) })
			}
		}
	}
	sendFor("before", 4*time.Second, 200*time.Millisecond, 200)
	if trouble {
		hosts[0].signal(syscall.SIGUSR1, "answers 500 from here on, its work done")
		for _, h := range hosts[1:4] {
			h.signal(syscall.SIGSTOP, "hangs")
		}
	}
	hang := time.After(hangTime)
	sendFor("long", hangTime/2, 250*time.Millisecond, bodySize)
	<-hang
	for _, g := range gateways {
		b.noteFigures(g)
	}
	if trouble {
		for _, h := range hosts[1:4] {
			h.signal(syscall.SIGCONT, "goes on")
		}
		hosts[0].signal(syscall.SIGUSR2, "answers 200 again")
	}
	wait.Wait()
	time.Sleep(500 * time.Millisecond) // for the hosts' last events
	for _, g := range gateways {
		b.noteFigures(g)
	}
	for _, r := range requests {
		whole := b.eventsOf(r.trace, hostWhole)
		for i := 1; i < len(whole); i++ {
			if late := whole[i].At.Sub(whole[0].At); late > window+socketSlack+heldUp {
				breaks = append(breaks, fmt.Sprintf("%s (journalled, repeats dropped for %v in one hall): its first attempt was whole at host %s and ran; a further one was whole at host %s %.3f s later, and it ran %d times in all",
					r.trace, window, whole[0].Host, whole[i].Host, late.Seconds(), len(b.eventsOf(r.trace, hostRan))))
			}
		}
	}
	return breaks
}
