package main

import (
	"fmt"
	"time"
)

// socketSlack is by how much each limit is longer on sockets.
const socketSlack = 50 * time.Millisecond

// startHosts starts hosts, and returns them with their entries in the list. The hosts form cells of two.
func (r *rig) startHosts(n int, work time.Duration) (hosts []*host, entries []entry) {
	for i := range n {
		h := r.startHost(fmt.Sprintf("s-%d", i), work)
		hosts = append(hosts, h)
		entries = append(entries, entry{UID: h.uid, Endpoint: h.addr, Zone: "solo", Model: "big-box", Cell: i / 2, State: "in_service", Hint: 1})
	}
	return hosts, entries
}
