package routing

import (
	"bufio"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// discoveryState is what is known of the list; the desk's lock guards it.
type discoveryState struct {
	conn            *transport.DiscoveryConn // to discovery; only the watch calls on it
	oldConn         *transport.DiscoveryConn // to where discovery was, until it is heard at the new address
	revision        int64
	hasList         bool // a list of this discovery is in hand
	watching        bool
	idByUID         map[string]logic.HostID
	uidByID         map[logic.HostID]string
	addrByID        map[logic.HostID]string
	drainingBootMS  map[logic.HostID]int64 // those listed that do, with the time of their start
	random          *rand.Rand
	backoffTimer    *time.Timer // until a lost call is had again, whatever the module says
	failureReported bool        // the module was told of a lost call, and is to ask
}

func newDiscoveryState() discoveryState {
	return discoveryState{idByUID: map[string]logic.HostID{}, uidByID: map[logic.HostID]string{}, addrByID: map[logic.HostID]string{},
		drainingBootMS: map[logic.HostID]int64{}}
}

// RequestHostList begins a watch, as the module asks.
func (d *Dispatcher) RequestHostList() {
	d.discovery.failureReported = false
	d.startListWatch()
}

// startListWatch begins a watch; one that goes on already brings what there is.
func (d *Dispatcher) startListWatch() {
	if !d.discovery.watching {
		d.discovery.watching = true
		conn := d.discovery.conn
		d.afterUnlock(func() { go d.watchList(conn) })
	}
}

// changeDiscoveryAddr has the list asked for at another address from now on. The call that is out at the old one may wait for
// long yet; until the new one is heard, hosts that go by what it brings do go, and nothing else that it brings, nor its end, says
// anything any more. Versions may not go on there: the first call is for all.
func (d *Dispatcher) changeDiscoveryAddr(addr string) {
	if addr == d.discovery.conn.Addr {
		return
	}
	d.closeOldDiscovery()
	d.discovery.oldConn = d.discovery.conn
	d.discovery.conn, d.discovery.revision, d.discovery.hasList, d.discovery.watching = &transport.DiscoveryConn{Addr: addr}, 0, false, false
	d.startListWatch()
}

func (d *Dispatcher) closeOldDiscovery() {
	if d.discovery.oldConn != nil {
		d.afterUnlock(d.discovery.oldConn.Close)
		d.discovery.oldConn = nil
	}
}

// filterList is what is taken of a list that is not simply the next one; it is false where nothing is. Of one from where discovery was
// before, only what goes. One that is older than what is in hand, as a discovery that has begun anew or lags behind may answer, is
// not taken: all is asked for. Where that is older too the numbers begin anew; a host that was said to drain, and has not started
// since, does so still.
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

// listBackoff is how long after its loss a call is had again that had been out for so long; jitter is of [0, 1). It is counted from the call's
// beginning: a change counts as told 6 s after discovery had it and could be reached, whatever had failed before, so that calls begin no
// further apart than a silent one takes. Of those that fail in one instant each had begun in its own.
func listBackoff(elapsed time.Duration, jitter float64) time.Duration {
	return max(0, minListBackoff+time.Duration(jitter*float64(maxListBackoff-minListBackoff))-elapsed)
}

// watchList calls for the list until a call is lost. The next call comes at once, so that the watch goes on. One that fell silent, or was
// broken off, says nothing against discovery, and what it missed counts as told soon: it is had again at once, and only the next loss is
// for the module. One that was refused is that already: discovery is down, or has too many callers.
func (d *Dispatcher) watchList(conn *transport.DiscoveryConn) {
	for retried := false; ; {
		d.mu.Lock()
		path, wait, grace, current, revision := protocol.HostListPath, time.Duration(0), listCallTimeout, d.discovery.conn == conn, d.discovery.revision
		if d.discovery.hasList {
			wait, grace = listWatchDuration, listWatchGrace
			path = protocol.WatchTarget(d.discovery.revision, wait)
		}
		d.mu.Unlock()
		if !current {
			return
		}
		calledAt := time.Now()
		list, err := d.fetchList(conn, path, wait+grace)
		if retried = err != nil && !retried && wait > 0 && wasInterrupted(err); retried {
			d.Counters.ListCallsRetried.Add(1)
			continue
		}
		if err != nil {
			if d.listCallFailed(conn, err, time.Since(calledAt)) {
				return
			}
			continue
		}
		kind := logic.ListChanges
		if list.Full {
			kind = logic.ListComplete
		}
		d.applyList(conn, kind, list)
		if (len(list.Hosts) == 0 || list.Revision == revision) && time.Since(calledAt) < minListCallPause { // one that does not wait is not called without a pause
			time.Sleep(minListCallPause)
		}
	}
}

// listCallFailed notes that a call is that had been out for so long, and tells whether the watch is over: the next call is due when the module asks,
// and after a backoff at the latest. Where there are many gateways the module lets up to half of the time pass for which a gateway need not
// ask at all, which is longer than a change takes to count as told. Of a list that is pushed what comes at discovery's return counts at once:
// it is called for all the time.
func (d *Dispatcher) listCallFailed(conn *transport.DiscoveryConn, err error, elapsed time.Duration) (stop bool) {
	pause := time.Duration(0)
	d.callCore(func(now time.Duration) {
		if stop = d.discovery.conn != conn || !d.core.HostListPushed; d.discovery.conn == conn {
			d.discovery.watching = !stop
			d.Counters.ListCallsFailed.Add(1)
			if d.Counters.warningLimiter.allow() {
				d.afterUnlock(func() { slog.Warn("list lost", "error", err) })
			}
			if stop {
				d.discovery.backoffTimer.Reset(listBackoff(elapsed, d.discovery.random.Float64()))
			}
			if stop && !d.discovery.failureReported { // told of each, it would ask once for each: calls that are refused would make ever more
				d.discovery.failureReported = true
				d.core.HostListReceived(now, logic.ListFailed, nil)
			}
		}
		pause = max(d.core.DrainGrace/listRetriesPerDrainGrace, minListCallPause)
	})
	if !stop {
		time.Sleep(pause)
	}
	return stop
}

// wasInterrupted tells whether a call was answered by nobody: it fell silent, or its connection ended.
func wasInterrupted(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" { // nobody is there
		return false
	}
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || protocol.IsTruncated(err)
}

func (d *Dispatcher) fetchList(conn *transport.DiscoveryConn, path string, timeout time.Duration) (list *protocol.HostList, err error) {
	d.Counters.ListCalls.Add(1)
	err = conn.RoundTrip(protocol.EncodeGet(path, conn.Addr), timeout, func(r *bufio.Reader) (bool, error) {
		body, status, keep, err := protocol.ReadHostList(r)
		if err == nil && status != 200 {
			err = fmt.Errorf("discovery answers %d", status)
		}
		if err == nil {
			list, err = protocol.ParseHostList(body)
		}
		return keep, err
	})
	return list, err
}

// applyList hands a list to the module, unless discovery has moved since it was called for.
func (d *Dispatcher) applyList(conn *transport.DiscoveryConn, kind logic.ListKind, list *protocol.HostList) {
	d.callCore(func(now time.Duration) {
		if !d.filterList(conn, kind, list) {
			return
		}
		if conn == d.discovery.oldConn {
			kind = logic.ListChanges
		} else {
			d.closeOldDiscovery()
			d.discovery.revision, d.discovery.hasList = list.Revision, true
		}
		var hosts []logic.Host
		anyDraining := false
		targetsBefore := d.discovery.targets()
		if kind != logic.ListChanges {
			d.discovery.addrByID, d.discovery.drainingBootMS = map[logic.HostID]string{}, map[logic.HostID]int64{}
		}
		for i := range list.Hosts {
			entry := &list.Hosts[i]
			id, ok := d.discovery.hostIDFor(entry.UID)
			if !ok {
				d.afterUnlock(func() { slog.Error("two hosts with one number: left out", "uid", entry.UID, "number", id) })
				continue
			}
			host := entry.Host(id, d.coreClockTime)
			if d.discovery.addrByID[id] = entry.Endpoint; host.State == logic.HostGone {
				delete(d.discovery.addrByID, id)
			}
			if delete(d.discovery.drainingBootMS, id); host.State == logic.HostDraining {
				d.discovery.drainingBootMS[id], anyDraining = entry.BootMS, true
			}
			hosts = append(hosts, host)
		}
		for uid, id := range d.discovery.idByUID { // in any order: those of hosts that are gone are dropped
			if _, listed := d.discovery.addrByID[id]; !listed {
				delete(d.discovery.idByUID, uid)
				delete(d.discovery.uidByID, id)
			}
		}
		targetsAfter := d.discovery.targets()
		d.afterUnlock(func() {
			if kind != logic.ListChanges || len(list.Hosts) > 0 {
				slog.Info("list", "rev", list.Revision, "whole", kind != logic.ListChanges, "entries", len(list.Hosts))
			}
			for target := range targetsBefore { // in any order: they are closed
				if !targetsAfter[target] {
					d.pool.CloseIdleTo(target)
				}
			}
			if anyDraining { // what such hosts still give may be lost with them
				d.interruptStreams()
			}
			d.ready.Store(true)
			if kind == logic.ListCached { // it may be old: hosts in it may be long gone
				time.AfterFunc(freshListTimeout, d.markListReceived)
			} else {
				d.markListReceived()
			}
		})
		d.core.HostListReceived(now, kind, hosts)
		if kind != logic.ListChanges {
			d.importPredecessorState(now)
		}
	})
}

func (s *discoveryState) targetOf(id logic.HostID) transport.Target {
	return transport.Target{HostID: uint32(id), Addr: s.addrByID[id]}
}

// acceptsNewHops tells whether a host is listed and does not drain.
func (s *discoveryState) acceptsNewHops(id logic.HostID) bool {
	_, listed := s.addrByID[id]
	_, drains := s.drainingBootMS[id]
	return listed && !drains
}

func (s *discoveryState) targets() map[transport.Target]bool {
	all := map[transport.Target]bool{}
	for id := range s.addrByID {
		all[s.targetOf(id)] = true
	}
	return all
}

// hostIDFor is a host's number, from its uid alone: all gateways tell each other of it by that. 0 stands for none.
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
