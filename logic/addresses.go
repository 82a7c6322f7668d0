package logic

import "slices"

// Placement is an entry of the host list with what tells which of several hosts is at an address.
type Placement struct {
	Host      Host
	Address   string // where the host is connected to; "" if it is not known
	StartedMS int64  // Unix time in milliseconds at which it started, 0 if it has been running for long
}

// AddressTable decides which host is reached at an address where the list has several: one that has died without notice
// stays listed for a while, beside the one that was started in its place. An address reaches one process alone, so the
// host that started there last supersedes the others. To this gateway these are gone, and stay so when that host leaves
// as well, until they are listed with another start time or address. Source: real/PROTOCOL.md, "Discovery" (boot_ms).
type AddressTable struct {
	listed    map[HostID]*listing
	addresses map[string]*addressHosts
	lists     int // how many lists were applied
}

// listing is a host as it was last listed.
type listing struct {
	Placement
	firstList  int // number of the list that first had it with this address and start time
	superseded bool
}

// addressHosts are the hosts at one address, for as long as one is listed there.
type addressHosts struct {
	listed   []*listing
	departed *listing // the one that started last of those which have left the list since; nil for none
}

// NewAddressTable returns a table without hosts.
func NewAddressTable() *AddressTable {
	return &AddressTable{listed: map[HostID]*listing{}, addresses: map[string]*addressHosts{}}
}

// Apply takes a list, or the changes to it, and returns what the gateway is to apply in its place: a superseded host is
// gone, with SupersededBy set. Where the list doesn't tell which of two hosts is at their address, both stay, and what
// is uncertain of them is marked. Changes come with the other hosts for which the verdict is another one now.
func (t *AddressTable) Apply(kind ListKind, placements []Placement) []Placement {
	t.lists++
	entries := make(map[HostID]bool, len(placements))
	for _, p := range placements {
		entries[p.Host.ID] = true
	}
	if kind != ListChanges {
		for id, old := range t.listed { // in any order: of those that leave one address the last to start is kept
			if !entries[id] {
				t.remove(old, true)
			}
		}
	}
	touched := make([]*addressHosts, 0, len(placements))
	for _, p := range placements {
		touched = append(touched, t.update(p)...)
	}
	result := make([]Placement, 0, len(placements))
	for _, p := range placements {
		result = append(result, t.verdict(p))
	}
	for _, at := range touched {
		for _, other := range at.listed {
			if before := other.superseded; !entries[other.Host.ID] {
				if p := t.verdict(other.Placement); other.superseded != before {
					result = append(result, p)
				}
			}
		}
	}
	return result
}

// update records an entry of a list, and returns the addresses at which it changes something.
func (t *AddressTable) update(p Placement) (touched []*addressHosts) {
	old := t.listed[p.Host.ID]
	gone := p.Host.State == HostGone || p.Address == ""
	if old != nil {
		touched = append(touched, t.addresses[old.Address])
		if !gone && old.Address == p.Address && old.StartedMS == p.StartedMS {
			old.Placement = p
			return touched
		}
		// With the same start time it was never at the other address: that was an error of the list.
		t.remove(old, gone || old.Address != p.Address && old.StartedMS != p.StartedMS)
	}
	if gone {
		return touched
	}
	return append(touched, t.add(&listing{Placement: p, firstList: t.lists}))
}

// add adds a host to the table and returns its address.
func (t *AddressTable) add(l *listing) *addressHosts {
	t.listed[l.Host.ID] = l
	at := t.addresses[l.Address]
	if at == nil {
		at = &addressHosts{}
		t.addresses[l.Address] = at
	}
	at.listed = append(at.listed, l)
	if at.departed != nil && at.departed.Host.ID == l.Host.ID {
		at.departed = nil
	}
	return at
}

// remove removes a host from the table. departed reports whether it was at its address until now.
func (t *AddressTable) remove(l *listing, departed bool) {
	delete(t.listed, l.Host.ID)
	at := t.addresses[l.Address]
	at.listed = slices.DeleteFunc(at.listed, func(other *listing) bool { return other == l })
	if departed && (at.departed == nil || l.startedAfter(at.departed)) {
		at.departed = l
	}
	if len(at.listed) == 0 {
		delete(t.addresses, l.Address)
	}
}

// verdict returns an entry of a list as it is to be applied.
func (t *AddressTable) verdict(p Placement) Placement {
	l := t.listed[p.Host.ID]
	if l == nil { // gone, or without an address
		return p
	}
	at := t.addresses[l.Address]
	newest := at.newest()
	if l.superseded = newest.startedAfter(l); l.superseded {
		successor := newest.Host
		p.Host.State, p.Host.SupersededBy = HostGone, &successor
		return p
	}
	for _, other := range at.listed {
		if !l.startedAfter(other) { // nothing tells which of the two is there
			p.Host.ZoneUncertain = p.Host.ZoneUncertain || other.Host.Zone != p.Host.Zone
			p.Host.CellUncertain = p.Host.CellUncertain || other.Host.Cell != p.Host.Cell
		}
	}
	return p
}

// newest returns the host that started at the address last.
func (at *addressHosts) newest() *listing {
	newest := at.departed
	for _, l := range at.listed {
		if newest == nil || l.startedAfter(newest) {
			newest = l
		}
	}
	return newest
}

// startedAfter reports whether a host started after another one at the same address. Of two with the same start time the
// one that came to the list later did.
func (l *listing) startedAfter(other *listing) bool {
	if l.StartedMS == other.StartedMS {
		return l.firstList > other.firstList
	}
	return l.StartedMS > other.StartedMS
}
