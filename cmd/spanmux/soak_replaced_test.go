package main

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

// hostReplacement is a host that dies without notice, and another one that is started at its addresses, in the other cell.
type hostReplacement struct {
	host     int // that dies; the other one has the number len(scenario.hosts) and up, in the order of the replacements
	at       time.Duration
	listedAt time.Duration // when discovery has the new host
	goneAt   time.Duration // when discovery has the old one as terminated
}

// drawReplacements draws hosts that are replaced, for half of the seeds. Repeats of such runs stay within a cell. It has a generator of its
// own, so that the rest of a seed's run is what it was.
func (s *scenario) drawReplacements() {
	random := rand.New(rand.NewPCG(s.seed, 79))
	if random.IntN(2) == 0 {
		return
	}
	changes := map[int]bool{} // hosts that the list changes anyway
	for _, step := range s.lists {
		changes[step.host] = true
	}
	for host := 2; host < len(s.hosts) && len(s.replacements) < 2; host++ {
		if changes[host] {
			continue
		}
		at := between(random, 500*time.Millisecond, soakDuration/2)
		listedAt := at + between(random, 270*time.Millisecond, 2400*time.Millisecond)
		s.replacements = append(s.replacements, hostReplacement{host, at, listedAt, listedAt + between(random, 0, 4*time.Second)})
	}
	slices.SortFunc(s.replacements, func(a, b hostReplacement) int { return cmp.Compare(a.at, b.at) })
}

// dedupGroup returns the group of hosts that drop repeats, as the settings word it.
func (s *scenario) dedupGroup() string {
	if len(s.replacements) > 0 {
		return "cell"
	}
	return "all"
}

// resetOneIn returns of how many requests hosts reset one after it has run, 0 for none: where hosts are replaced, much is to be repeated.
func (s *scenario) resetOneIn() int {
	if len(s.replacements) > 0 {
		return 8
	}
	return 0
}

// cellOf returns the cell of a host.
func (s *scenario) cellOf(host int) int {
	if host >= len(s.hosts) {
		return 1 - s.cellOf(s.replacements[host-len(s.hosts)].host)
	}
	return host % 2
}

// replacementChanges returns the changes that the replacements make.
func replacementChanges(s *scenario, record *soakRecord, discovery *soakDiscovery, hosts []*soakHost) (changes []soakChange) {
	for i, replacement := range s.replacements {
		number := len(s.hosts) + i
		changes = append(changes,
			soakChange{replacement.at, func() { hosts[number] = replaceSoakHost(record, hosts[replacement.host], number, s.cellOf(number)) }},
			soakChange{replacement.listedAt, func() { discovery.add(hosts[number]) }},
			soakChange{replacement.goneAt, func() { discovery.change(replacement.host, "terminated") }})
	}
	return changes
}

// replaceSoakHost stops a host and starts another one at its addresses, which treats requests as the old one would.
func replaceSoakHost(record *soakRecord, old *soakHost, index, cell int) *soakHost {
	old.stop()
	h := &soakHost{record: record, index: index, cell: cell, bootMS: time.Now().UnixMilli(), resetOneIn: old.resetOneIn, phases: old.phases, conns: map[net.Conn]bool{}}
	for gateway := range h.listeners {
		listener, err := net.Listen("tcp", old.listeners[gateway].Addr().String())
		if err != nil {
			panic(err)
		}
		h.listeners[gateway] = listener
		go h.accept(listener, gateway)
	}
	return h
}

// add adds a host to the list.
func (d *soakDiscovery) add(host *soakHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.entries = append(d.entries, listEntry{host, "in_service", d.revision})
	close(d.changed)
	d.changed = make(chan bool)
}

// checkCells checks that a keyed request that may have run in one cell is repeated in no other, from when its gateway was told of the new host
// at an address.
func (j *soakJudge) checkCells(last requestRecord, attempts []*attemptRecord) {
	if len(j.scenario.replacements) == 0 || j.profiles[last.profile].Effect != "deduplicated" || len(j.requests[last.traceID]) > 1 {
		return
	}
	for _, first := range attempts {
		for _, further := range attempts {
			ran := first.wholeAt > 0 && first.mode != hostDeclines && further.wholeAt > 0 && first.wholeAt < further.firstByteAt
			if ran && j.scenario.cellOf(first.host) != j.scenario.cellOf(further.host) && !j.untoldOf(first.host, further) && !j.untoldOf(further.host, further) {
				j.violate("duplicate in another cell", "%+v, attempts %s", last, describeAttempts(attempts))
				return
			}
		}
	}
}

// untoldOf reports whether a host is a new one at an old address, of which the process that made an attempt had not been told by then.
func (j *soakJudge) untoldOf(host int, attempt *attemptRecord) bool {
	if host < len(j.scenario.hosts) {
		return false
	}
	process := j.processOf(attempt.gateway, attempt.firstByteAt)
	for _, list := range j.listsAdding {
		if process != nil && list.gateway == process.gateway && list.process == process.process && list.host == host {
			return attempt.firstByteAt <= list.writtenAt+socketSlack
		}
	}
	return true
}
