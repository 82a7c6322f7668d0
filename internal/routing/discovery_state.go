package routing

import (
	"hash/crc32"
	"maps"
	"math/rand/v2"
	"time"

	"spanmux/internal/transport"
	"spanmux/logic"
)

// discoveryState is what is known of the host list, and the state of the calls to discovery.
// Dispatcher.mu guards it.
type discoveryState struct {
	conn            *transport.DiscoveryConn // used by the watch alone
	oldConn         *transport.DiscoveryConn // to the previous address of discovery, until the new one answers
	revision        int64
	hasList         bool // there is a list from the current address
	watching        bool
	idByUID         map[string]logic.HostID
	uidByID         map[logic.HostID]string
	addrByID        map[logic.HostID]string
	drainingBootMS  map[logic.HostID]int64 // start times of the listed hosts that drain
	bootMS          map[logic.HostID]int64 // start times of the listed hosts, where known
	addresses       *logic.AddressTable
	superseded      map[logic.HostID]bool // listed hosts that others have superseded at their addresses
	random          *rand.Rand
	backoffTimer    *time.Timer // until a failed call is repeated, whatever the core decides
	failureReported bool        // a failed call was reported to the core, which has not requested the list since
}

// newDiscoveryState returns the state without a list.
func newDiscoveryState() discoveryState {
	return discoveryState{idByUID: map[string]logic.HostID{}, uidByID: map[logic.HostID]string{}, addrByID: map[logic.HostID]string{},
		drainingBootMS: map[logic.HostID]int64{}, bootMS: map[logic.HostID]int64{},
		addresses: logic.NewAddressTable(), superseded: map[logic.HostID]bool{}}
}

// appliedList is what a list changes.
type appliedList struct {
	hosts       []logic.Host       // for the decision core
	removed     []transport.Target // no longer listed
	restarted   []transport.Target // connections to them are those of a process that has ended
	superseded  []supersededHost
	anyDraining bool
}

// supersededHost is a host that another one has superseded at its address.
type supersededHost struct{ uid, successorUID, address string }

// apply applies a list, or the changes to it.
func (s *discoveryState) apply(kind logic.ListKind, hosts []logic.Host, placements []logic.Placement) (applied appliedList) {
	applied.hosts = s.addresses.Apply(kind, hosts, placements)
	addrBefore, supersededBefore := s.addrByID, s.superseded
	if kind == logic.ListChanges {
		addrBefore, supersededBefore = s.listedAmong(applied.hosts), maps.Clone(s.superseded)
	} else {
		s.addrByID, s.drainingBootMS, s.superseded = make(map[logic.HostID]string, len(hosts)), map[logic.HostID]int64{}, map[logic.HostID]bool{}
	}
	for i := range applied.hosts {
		host := &applied.hosts[i]
		if host.SupersededBy != 0 && !supersededBefore[host.ID] {
			applied.superseded = append(applied.superseded,
				supersededHost{s.uidByID[host.ID], s.uidByID[host.SupersededBy], s.addresses.Placement(host.ID).Address})
		}
		s.applyHost(host, &applied)
	}
	s.forgetUnlisted()
	for id, addr := range addrBefore { // the order doesn't matter
		if s.addrByID[id] != addr {
			applied.removed = append(applied.removed, transport.Target{HostID: uint32(id), Addr: addr})
		}
	}
	return applied
}

// listedAmong returns the addresses of those hosts that are listed.
func (s *discoveryState) listedAmong(hosts []logic.Host) map[logic.HostID]string {
	addresses := map[logic.HostID]string{}
	for i := range hosts {
		if addr, listed := s.addrByID[hosts[i].ID]; listed {
			addresses[hosts[i].ID] = addr
		}
	}
	return addresses
}

// applyHost applies an entry of a list.
func (s *discoveryState) applyHost(host *logic.Host, applied *appliedList) {
	delete(s.drainingBootMS, host.ID)
	if delete(s.superseded, host.ID); host.SupersededBy != 0 {
		s.superseded[host.ID] = true
	}
	if host.State == logic.HostGone {
		delete(s.addrByID, host.ID)
		return
	}
	place := s.addresses.Placement(host.ID)
	s.addrByID[host.ID] = place.Address
	if s.restarted(host.ID, place.StartedMS) {
		applied.restarted = append(applied.restarted, s.targetOf(host.ID))
	}
	if host.State == logic.HostDraining {
		s.drainingBootMS[host.ID], applied.anyDraining = place.StartedMS, true
	}
}

// forgetUnlisted drops what is known of hosts that are not listed, or gone.
func (s *discoveryState) forgetUnlisted() {
	for uid, id := range s.idByUID { // the order doesn't matter
		if _, listed := s.addrByID[id]; !listed {
			delete(s.bootMS, id)
			delete(s.idByUID, uid)
			delete(s.uidByID, id)
		}
	}
}

// targetOf returns where connections to a host go; the address is empty if it is not known.
func (s *discoveryState) targetOf(id logic.HostID) transport.Target {
	return transport.Target{HostID: uint32(id), Addr: s.addrByID[id]}
}

// acceptsNewHops reports whether a host is listed and does not drain.
func (s *discoveryState) acceptsNewHops(id logic.HostID) bool {
	_, listed := s.addrByID[id]
	_, drains := s.drainingBootMS[id]
	return listed && !drains
}

// restarted records the start time of a listed host, and reports whether it has started anew since it was last listed.
func (s *discoveryState) restarted(id logic.HostID, bootMS int64) bool {
	before, known := s.bootMS[id]
	s.bootMS[id] = bootMS
	return known && before != bootMS
}

// hostIDFor returns the ID of a host, a checksum of its UID alone, as gateways refer to hosts by it
// in peer messages. 0 stands for no host. It returns false if another host has the same ID.
func (s *discoveryState) hostIDFor(uid string) (logic.HostID, bool) {
	if id, known := s.idByUID[uid]; known {
		return id, true
	}
	id := logic.HostID(max(1, crc32.ChecksumIEEE([]byte(uid))))
	if other, used := s.uidByID[id]; used && other != uid {
		return id, false
	}
	s.idByUID[uid], s.uidByID[id] = id, uid
	return id, true
}
