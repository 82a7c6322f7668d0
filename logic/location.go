package logic

import "slices"

// location is the zone and the cell of a host, as far as they are certain. They tell which hosts drop a repeat of what
// has run there.
type location struct {
	zone                         string
	cell                         int
	zoneUncertain, cellUncertain bool
}

// location returns where a host is.
func (h *Host) location() location {
	return location{h.Zone, h.Cell, h.ZoneUncertain, h.CellUncertain}
}

// location returns where a hop may have run.
func (h *hop) location() location {
	if h.relocated != nil {
		return *h.relocated
	}
	return h.host.location()
}

// mayBe makes uncertain what another location, which may be the true one, has otherwise.
func (l *location) mayBe(other location) {
	l.zoneUncertain = l.zoneUncertain || other.zoneUncertain || l.zone != other.zone
	l.cellUncertain = l.cellUncertain || other.cellUncertain || l.cell != other.cell
}

// sharesRepeats reports whether a host at one location surely drops a repeat of what has run at the other.
func (l location) sharesRepeats(other location, scope DedupScope) bool {
	switch scope {
	case DedupSameZone:
		return !l.zoneUncertain && !other.zoneUncertain && l.zone == other.zone
	case DedupSameCell:
		return !l.cellUncertain && !other.cellUncertain && l.cell == other.cell
	}
	return true
}

// unknownLocation is that of a host of which nothing is known.
var unknownLocation = location{zoneUncertain: true, cellUncertain: true}

// locationChange is a host whose hops may have run at another location than the one that they were sent to: the list told
// late that the host has moved, or that another one has superseded it.
type locationChange struct {
	host          *host
	before, moved location
	successor     HostID // 0 for a host that has moved
}

// locationChanges returns the changes that a list makes to the known hosts.
func (b *Balancer) locationChanges(listed []Host) (changes []locationChange) {
	for i := range listed {
		entry := &listed[i]
		h := b.hosts.byID[entry.ID]
		switch {
		case h == nil:
		case entry.SupersededBy != 0:
			changes = append(changes, locationChange{h, h.location(), unknownLocation, entry.SupersededBy})
		case entry.location() == h.location():
		case entry.State == HostGone: // it was where it was, whatever the entry says
			changes = append(changes, locationChange{h, h.location(), h.location(), 0})
		default:
			changes = append(changes, locationChange{h, h.location(), entry.location(), 0})
		}
	}
	return changes
}

// applyLocationChanges applies changes to the hops of open transactions, once the list that makes them is applied.
func (b *Balancer) applyLocationChanges(changes []locationChange) {
	for _, change := range changes {
		actual := change.moved
		if successor := b.hosts.byID[change.successor]; successor != nil {
			actual = successor.location()
		}
		for _, t := range b.txs { // in any order: each transaction by itself
			for i := range t.hops {
				if t.hops[i].host == change.host {
					t.hops[i].relocate(change.before, actual)
				}
			}
		}
		if successor := b.hosts.readyHost(change.successor); successor != nil {
			b.moveHops(change.host, successor)
		}
	}
}

// relocate records that a hop which was sent to one location may have run at another.
func (h *hop) relocate(sent, actual location) {
	if h.relocated == nil {
		h.relocated = &sent
	}
	h.relocated.mayBe(actual)
}

// moveHops moves the hops that were sent to a host after its successor had started to the successor: they reach that one,
// count as load there, and use its budget while it is cold.
func (b *Balancer) moveHops(old, successor *host) {
	if successor.StartedAt == 0 {
		return
	}
	oldest := max(successor.StartedAt, b.now-b.coldRule.OverloadDuration)
	for _, sentAt := range old.recentHopTimes {
		if sentAt >= oldest {
			successor.recentHopTimes = append(successor.recentHopTimes, sentAt)
		}
	}
	slices.Sort(successor.recentHopTimes)
	old.recentHopTimes = nil // the next list says again that it is superseded
	if successor.ownInFlight == 0 {
		successor.unansweredSince = b.now
	}
	for _, t := range b.txs { // in any order: a sum
		for i := range t.hops {
			if hop := &t.hops[i]; hop.host == old && !hop.ended && hop.sentAt >= successor.StartedAt {
				hop.host = successor
				old.ownInFlight -= t.inFlightPerHop
				successor.ownInFlight += t.inFlightPerHop
			}
		}
	}
	b.markUnsent(successor)
}
