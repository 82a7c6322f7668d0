package logic

import "slices"

// Placement is where a listed host is, and since when.
type Placement struct {
	Address   string // where it is connected to, "" if it is not known
	StartedMS int64  // Unix time in milliseconds at which it started, 0 if it has been running for long
}

// AddressTable decides which host is reached at an address where the list has several: one that has died without notice
// stays listed for a while, beside the one that was started in its place. An address reaches one process alone, so the
// host that started there last supersedes the others. To this gateway these are gone, and stay so when that host leaves
// as well, until they are listed with another start time or address. Source: real/PROTOCOL.md, "Discovery" (boot_ms).
type AddressTable struct {
	listed    map[HostID]*listing
	addresses map[string]*listing // the first of the hosts at an address, as long as one is listed there
	lists     int32               // how many lists were applied
}

// listing is a host as it was last listed, or as it was when it left the list.
type listing struct {
	Placement
	host       *Host
	next       *listing // another host at its address
	firstList  int32    // number of the list that first had it with this address and start time
	lastList   int32    // number of the list that last had it
	departed   bool     // it has left the list; of several such the one that started last is kept
	superseded bool
}

// NewAddressTable returns a table without hosts.
func NewAddressTable() *AddressTable {
	return &AddressTable{listed: map[HostID]*listing{}, addresses: map[string]*listing{}}
}

// Apply takes a list, or the changes to it, and returns what the gateway is to apply in its place: a superseded host is
// gone, with SupersededBy set. Where the list doesn't tell which of two hosts is at their address, both stay, and what
// is uncertain of them is marked. Changes come with the other hosts for which the verdict is another one now. The table
// refers to the list from then on; the caller doesn't change it. Each host has the placement of the same index.
func (t *AddressTable) Apply(kind ListKind, hosts []Host, placements []Placement) []Host {
	t.lists++
	if len(t.listed) == 0 {
		t.listed, t.addresses = make(map[HostID]*listing, len(hosts)), make(map[string]*listing, len(hosts))
	}
	var changed []string // addresses
	for i := range hosts {
		if old := t.listed[hosts[i].ID]; kind == ListChanges && old != nil {
			changed = append(changed, old.Address)
		}
		t.update(&hosts[i], placements[i])
		if kind == ListChanges {
			changed = append(changed, placements[i].Address)
		}
	}
	if kind != ListChanges {
		t.removeOmitted()
	}
	applied, copied := hosts, false
	for i := range hosts {
		l := t.listed[hosts[i].ID]
		if l == nil {
			continue
		}
		if !t.isShared(l) {
			l.superseded = false
			continue
		}
		if !copied {
			applied, copied = slices.Clone(hosts), true
		}
		applied[i] = t.verdict(l)
	}
	for _, address := range changed {
		applied = t.appendOthers(applied, address)
	}
	return applied
}

// appendOthers appends the hosts at an address that the current list does not have, and for which the verdict is another
// one now.
func (t *AddressTable) appendOthers(applied []Host, address string) []Host {
	for l := t.addresses[address]; l != nil; l = l.next {
		if l.departed || l.lastList == t.lists {
			continue
		}
		before := l.superseded
		if host := t.verdict(l); l.superseded != before {
			applied = append(slices.Clip(applied), host)
		}
	}
	return applied
}

// Placement returns where a listed host is.
func (t *AddressTable) Placement(id HostID) Placement {
	if l := t.listed[id]; l != nil {
		return l.Placement
	}
	return Placement{}
}

// update records an entry of a list.
func (t *AddressTable) update(host *Host, place Placement) {
	gone := host.State == HostGone
	if old := t.listed[host.ID]; old != nil {
		if !gone && old.Placement == place {
			old.host, old.lastList = host, t.lists
			return
		}
		// With the same start time it was never at the other address: that was an error of the list.
		t.remove(old, gone || old.Address != place.Address && old.StartedMS != place.StartedMS)
	}
	if !gone {
		t.add(&listing{Placement: place, host: host, firstList: t.lists, lastList: t.lists})
	}
}

// removeOmitted removes the hosts that the current list, a complete one, does not have.
func (t *AddressTable) removeOmitted() {
	for _, l := range t.listed { // in any order: of those that leave one address the last to start is kept
		if l.lastList != t.lists {
			t.remove(l, true)
		}
	}
}

// add adds a host to the table.
func (t *AddressTable) add(l *listing) {
	for other := t.addresses[l.Address]; other != nil; other = other.next {
		if other.host.ID == l.host.ID { // it is back
			t.unlink(other)
		}
	}
	if t.listed[l.host.ID] = l; l.Address == "" {
		return
	}
	l.next = t.addresses[l.Address]
	t.addresses[l.Address] = l
}

// remove removes a host from the list. departed reports whether it was at its address until now.
func (t *AddressTable) remove(l *listing, departed bool) {
	delete(t.listed, l.host.ID)
	if l.departed = departed; !departed {
		t.unlink(l)
	}
	anyListed := false
	for other := t.addresses[l.Address]; other != nil; other = other.next {
		anyListed = anyListed || !other.departed
		if departed && other.departed && other != l {
			older := other
			if other.startedAfter(l) {
				older = l
			}
			t.unlink(older)
		}
	}
	if !anyListed {
		delete(t.addresses, l.Address)
	}
}

// unlink removes a host from its address.
func (t *AddressTable) unlink(l *listing) {
	first := t.addresses[l.Address]
	if first == l {
		t.addresses[l.Address] = l.next
		return
	}
	for before := first; before != nil; before = before.next {
		if before.next == l {
			before.next = l.next
			return
		}
	}
}

// isShared reports whether others are, or were, at the address of a listed host.
func (t *AddressTable) isShared(l *listing) bool {
	first := t.addresses[l.Address]
	return first != nil && (l.next != nil || first != l)
}

// verdict returns a listed host as it is to be applied.
func (t *AddressTable) verdict(l *listing) Host {
	host, newest := *l.host, l
	first := t.addresses[l.Address]
	for other := first; other != nil; other = other.next {
		if other.startedAfter(newest) {
			newest = other
		}
	}
	if l.superseded = newest != l; l.superseded {
		host.State, host.SupersededBy = HostGone, newest.host.ID
		return host
	}
	for other := first; other != nil; other = other.next {
		if !other.departed && !l.startedAfter(other) { // nothing tells which of the two is there
			host.ZoneUncertain = host.ZoneUncertain || other.host.Zone != host.Zone
			host.CellUncertain = host.CellUncertain || other.host.Cell != host.Cell
		}
	}
	return host
}

// startedAfter reports whether a host started after another one at the same address. Of two with the same start time the
// one that came to the list later did.
func (l *listing) startedAfter(other *listing) bool {
	if l.StartedMS == other.StartedMS {
		return l.firstList > other.firstList
	}
	return l.StartedMS > other.StartedMS
}
