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

// listing is what is known of the list; the desk's lock guards it.
type listing struct {
	line     *transport.DiscoveryConn // to discovery; only the watch calls on it
	old      *transport.DiscoveryConn // to where discovery was, until it is heard at the new address
	rev      int64
	has      bool // a list of this discovery is in hand
	watching bool
	ids      map[string]logic.HostID
	uids     map[logic.HostID]string
	addr     map[logic.HostID]string
	drains   map[logic.HostID]int64 // those listed that do, with the time of their start
	jitter   *rand.Rand
	backoff  *time.Timer // until a lost call is had again, whatever the module says
	owed     bool        // the module was told of a lost call, and is to ask
}

func newListing() listing {
	return listing{ids: map[string]logic.HostID{}, uids: map[logic.HostID]string{}, addr: map[logic.HostID]string{},
		drains: map[logic.HostID]int64{}}
}

// RequestHostList begins a watch, as the module asks.
func (d *Dispatcher) RequestHostList() {
	d.list.owed = false
	d.ask()
}

// ask begins a watch; one that goes on already brings what there is.
func (d *Dispatcher) ask() {
	if !d.list.watching {
		d.list.watching = true
		line := d.list.line
		d.then(func() { go d.watch(line) })
	}
}

// rediscover has the list asked for at another address from now on. The call that is out at the old one may wait for
// long yet; until the new one is heard, hosts that go by what it brings do go, and nothing else that it brings, nor its end, says
// anything any more. Versions may not go on there: the first call is for all.
func (d *Dispatcher) rediscover(addr string) {
	if addr == d.list.line.Addr {
		return
	}
	d.closeOld()
	d.list.old = d.list.line
	d.list.line, d.list.rev, d.list.has, d.list.watching = &transport.DiscoveryConn{Addr: addr}, 0, false, false
	d.ask()
}

func (d *Dispatcher) closeOld() {
	if d.list.old != nil {
		d.then(d.list.old.Close)
		d.list.old = nil
	}
}

// dated is what is taken of a list that is not simply the next one; it is false where nothing is. Of one from where discovery was
// before, only what goes. One that is older than what is in hand, as a discovery that has begun anew or lags behind may answer, is
// not taken: all is asked for. Where that is older too the numbers begin anew; a host that was said to drain, and has not started
// since, does so still.
func (d *Dispatcher) dated(line *transport.DiscoveryConn, kind logic.ListKind, list *protocol.HostList) bool {
	older := list.Revision < d.list.rev
	switch {
	case line == d.list.old:
		list.Hosts = slices.DeleteFunc(list.Hosts, func(e protocol.HostEntry) bool {
			id, known := d.list.ids[e.UID]
			return !known || !d.list.takes(id) || e.Host(id, d.since).State == logic.HostReady
		})
		return len(list.Hosts) > 0
	case line != d.list.line:
		return false
	case older && d.list.has && kind != logic.ListCached:
		d.Counters.ListsStale.Add(1)
		d.list.has = false
		return false
	}
	for i := range list.Hosts {
		e := &list.Hosts[i]
		boot, drains := d.list.drains[d.list.ids[e.UID]]
		if older && drains && boot == e.BootMS && e.Host(0, d.since).State == logic.HostReady {
			e.State = protocol.StateTerminating
		}
	}
	return true
}

// backoff is how long after its loss a call is had again that had been out for so long; jitter is of [0, 1). It is counted from the call's
// beginning: a change counts as told 6 s after discovery had it and could be reached, whatever had failed before, so that calls begin no
// further apart than a silent one takes. Of those that fail in one instant each had begun in its own.
func backoff(out time.Duration, jitter float64) time.Duration {
	return max(0, backoffLeast+time.Duration(jitter*float64(backoffMost-backoffLeast))-out)
}

// watch calls for the list until a call is lost. The next call comes at once, so that the watch goes on. One that fell silent, or was
// broken off, says nothing against discovery, and what it missed counts as told soon: it is had again at once, and only the next loss is
// for the module. One that was refused is that already: discovery is down, or has too many callers.
func (d *Dispatcher) watch(line *transport.DiscoveryConn) {
	for again := false; ; {
		d.mu.Lock()
		target, wait, late, current, rev := protocol.HostListPath, time.Duration(0), callLate, d.list.line == line, d.list.rev
		if d.list.has {
			wait, late = watchWait, listLate
			target = protocol.WatchTarget(d.list.rev, wait)
		}
		d.mu.Unlock()
		if !current {
			return
		}
		called := time.Now()
		list, err := d.callList(line, target, wait+late)
		if again = err != nil && !again && wait > 0 && cutOff(err); again {
			d.Counters.ListCallsRetried.Add(1)
			continue
		}
		if err != nil {
			if d.lost(line, err, time.Since(called)) {
				return
			}
			continue
		}
		kind := logic.ListChanges
		if list.Full {
			kind = logic.ListComplete
		}
		d.takeList(line, kind, list)
		if (len(list.Hosts) == 0 || list.Revision == rev) && time.Since(called) < hurry { // one that does not wait is not called without a pause
			time.Sleep(hurry)
		}
	}
}

// lost notes that a call is that had been out for so long, and tells whether the watch is over: the next call is due when the module asks,
// and after a backoff at the latest. Where there are many gateways the module lets up to half of the time pass for which a gateway need not
// ask at all, which is longer than a change takes to count as told. Of a list that is pushed what comes at discovery's return counts at once:
// it is called for all the time.
func (d *Dispatcher) lost(line *transport.DiscoveryConn, err error, out time.Duration) (over bool) {
	pause := time.Duration(0)
	d.decide(func(now time.Duration) {
		if over = d.list.line != line || !d.opened.HostListPushed; d.list.line == line {
			d.list.watching = !over
			d.Counters.ListCallsFailed.Add(1)
			if d.Counters.lines.allows() {
				d.then(func() { slog.Warn("list lost", "error", err) })
			}
			if over {
				d.list.backoff.Reset(backoff(out, d.list.jitter.Float64()))
			}
			if over && !d.list.owed { // told of each, it would ask once for each: calls that are refused would make ever more
				d.list.owed = true
				d.opened.HostListReceived(now, logic.ListFailed, nil)
			}
		}
		pause = max(d.opened.DrainGrace/gracePart, hurry)
	})
	if !over {
		time.Sleep(pause)
	}
	return over
}

// cutOff tells whether a call was answered by nobody: it fell silent, or its connection ended.
func cutOff(err error) bool {
	var call *net.OpError
	if errors.As(err, &call) && call.Op == "dial" { // nobody is there
		return false
	}
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || protocol.IsTruncated(err)
}

func (d *Dispatcher) callList(line *transport.DiscoveryConn, target string, within time.Duration) (list *protocol.HostList, err error) {
	d.Counters.ListCalls.Add(1)
	err = line.RoundTrip(protocol.EncodeGet(target, line.Addr), within, func(r *bufio.Reader) (bool, error) {
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

// takeList hands a list to the module, unless discovery has moved since it was called for.
func (d *Dispatcher) takeList(line *transport.DiscoveryConn, kind logic.ListKind, list *protocol.HostList) {
	d.decide(func(now time.Duration) {
		if !d.dated(line, kind, list) {
			return
		}
		if line == d.list.old {
			kind = logic.ListChanges
		} else {
			d.closeOld()
			d.list.rev, d.list.has = list.Revision, true
		}
		var hosts []logic.Host
		drains := false
		was := d.list.targets()
		if kind != logic.ListChanges {
			d.list.addr, d.list.drains = map[logic.HostID]string{}, map[logic.HostID]int64{}
		}
		for i := range list.Hosts {
			e := &list.Hosts[i]
			id, ok := d.list.number(e.UID)
			if !ok {
				d.then(func() { slog.Error("two hosts with one number: left out", "uid", e.UID, "number", id) })
				continue
			}
			host := e.Host(id, d.since)
			if d.list.addr[id] = e.Endpoint; host.State == logic.HostGone {
				delete(d.list.addr, id)
			}
			if delete(d.list.drains, id); host.State == logic.HostDraining {
				d.list.drains[id], drains = e.BootMS, true
			}
			hosts = append(hosts, host)
		}
		for uid, id := range d.list.ids { // in any order: those of hosts that are gone are dropped
			if _, listed := d.list.addr[id]; !listed {
				delete(d.list.ids, uid)
				delete(d.list.uids, id)
			}
		}
		are := d.list.targets()
		d.then(func() {
			if kind != logic.ListChanges || len(list.Hosts) > 0 {
				slog.Info("list", "rev", list.Revision, "whole", kind != logic.ListChanges, "entries", len(list.Hosts))
			}
			for to := range was { // in any order: they are closed
				if !are[to] {
					d.pool.CloseIdleTo(to)
				}
			}
			if drains { // what such hosts still give may be lost with them
				d.nudge()
			}
			d.ready.Store(true)
			if kind == logic.ListCached { // it may be old: hosts in it may be long gone
				time.AfterFunc(freshWithin, d.has)
			} else {
				d.has()
			}
		})
		d.opened.HostListReceived(now, kind, hosts)
		if kind != logic.ListChanges {
			d.learn(now)
		}
	})
}

func (l *listing) target(id logic.HostID) transport.Target {
	return transport.Target{HostID: uint32(id), Addr: l.addr[id]}
}

// takes tells whether a host is listed and does not drain.
func (l *listing) takes(id logic.HostID) bool {
	_, listed := l.addr[id]
	_, drains := l.drains[id]
	return listed && !drains
}

func (l *listing) targets() map[transport.Target]bool {
	all := map[transport.Target]bool{}
	for id := range l.addr {
		all[l.target(id)] = true
	}
	return all
}

// number is a host's number, from its uid alone: all gateways tell each other of it by that. 0 stands for none.
func (l *listing) number(uid string) (logic.HostID, bool) {
	if id, known := l.ids[uid]; known {
		return id, true
	}
	id := logic.HostID(max(1, crc32.ChecksumIEEE([]byte(uid))))
	if other, taken := l.uids[id]; taken && other != uid {
		return id, false
	}
	l.ids[uid], l.uids[id] = id, uid
	return id, true
}
