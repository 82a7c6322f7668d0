package routing

import (
	"log/slog"
	"slices"
	"time"

	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// filterList decides what of a list is applied; it returns false if nothing is. From the previous
// address of discovery only draining and removal of hosts is kept. A list older than the current one,
// as a restarted or lagging discovery may send, is not applied, and the whole list is requested. If
// that is older too, revisions have started anew; then a host that was draining still is, unless it
// has restarted.
func (d *Dispatcher) filterList(conn *transport.DiscoveryConn, kind logic.ListKind, list *protocol.HostList) bool {
	older := list.Revision < d.discovery.revision
	switch {
	case conn == d.discovery.oldConn:
		list.Hosts = slices.DeleteFunc(list.Hosts, func(entry protocol.HostEntry) bool {
			id, known := d.discovery.idByUID[entry.UID]
			return !known || !d.discovery.acceptsNewHops(id) || entry.Host(id, d.coreClockTime).State == logic.HostReady
		})
		return len(list.Hosts) > 0
	case conn != d.discovery.conn:
		return false
	case older && d.discovery.hasList && kind != logic.ListCached:
		d.Counters.ListsStale.Add(1)
		d.discovery.hasList = false
		return false
	}
	for i := range list.Hosts {
		entry := &list.Hosts[i]
		bootMS, draining := d.discovery.drainingBootMS[d.discovery.idByUID[entry.UID]]
		if older && draining && bootMS == entry.BootMS && entry.Host(0, d.coreClockTime).State == logic.HostReady {
			entry.State = protocol.StateTerminating
		}
	}
	return true
}

// applyList hands a list to the decision core, unless the address of discovery has changed since the
// call.
func (d *Dispatcher) applyList(conn *transport.DiscoveryConn, kind logic.ListKind, list *protocol.HostList) {
	d.callCoreForAll(func(now time.Duration) {
		if !d.filterList(conn, kind, list) {
			return
		}
		if conn == d.discovery.oldConn {
			kind = logic.ListChanges
		} else {
			d.closeOldDiscovery()
			d.discovery.revision, d.discovery.hasList = list.Revision, true
		}
		hosts, placements := d.hostsOf(list)
		applied := d.discovery.apply(kind, hosts, placements)
		d.afterUnlock(func() {
			if kind != logic.ListChanges || len(list.Hosts) > 0 {
				slog.Info("host list received", "revision", list.Revision, "full", kind != logic.ListChanges, "entries", len(list.Hosts))
			}
			d.listApplied(kind, &applied)
		})
		d.core.HostListReceived(now, kind, applied.hosts)
		if kind != logic.ListChanges {
			d.importPredecessorState(now)
		}
	})
}

// hostsOf returns the hosts of a list for the decision core, and where they are. An entry whose id is that of another host
// is left out.
func (d *Dispatcher) hostsOf(list *protocol.HostList) ([]logic.Host, []logic.Placement) {
	hosts, placements := make([]logic.Host, 0, len(list.Hosts)), make([]logic.Placement, 0, len(list.Hosts))
	for i := range list.Hosts {
		entry := &list.Hosts[i]
		id, ok := d.discovery.hostIDFor(entry.UID)
		if ok {
			hosts = append(hosts, entry.Host(id, d.coreClockTime))
			placements = append(placements, logic.Placement{Address: entry.Endpoint, StartedMS: entry.BootMS})
		} else if d.Counters.warningLimiter.allow() {
			d.afterUnlock(func() { slog.Error("host ignored: its id is that of another host", "uid", entry.UID, "id", id) })
		}
	}
	return hosts, placements
}

// listApplied does what follows a list outside the lock: it closes idle connections to hosts that are no longer there.
func (d *Dispatcher) listApplied(kind logic.ListKind, applied *appliedList) {
	for _, host := range applied.superseded {
		if d.Counters.HostsSuperseded.Add(1); d.Counters.warningLimiter.allow() {
			slog.Info("host superseded at its address", "uid", host.uid, "by", host.successorUID, "address", host.address)
		}
	}
	for _, targets := range [][]transport.Target{applied.removed, applied.restarted} {
		for _, target := range targets {
			d.pool.CloseIdleTo(target)
		}
	}
	if applied.anyDraining { // what such hosts have not sent yet may be lost with them
		d.interruptStreams()
	}
	d.hasHostList.Store(true)
	if kind == logic.ListCached { // it may be old, and its hosts long removed
		time.AfterFunc(freshListTimeout, d.markListReceived)
	} else {
		d.markListReceived()
	}
}
