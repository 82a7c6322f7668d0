package routing

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// RequestHostList starts a watch, at the core's request.
func (d *Dispatcher) RequestHostList() {
	d.discovery.failureReported = false
	d.startListWatch()
}

// startListWatch starts a watch, unless one is running, which receives all changes.
func (d *Dispatcher) startListWatch() {
	if !d.discovery.watching {
		d.discovery.watching = true
		conn := d.discovery.conn
		d.afterUnlock(func() { go d.watchList(conn) })
	}
}

// changeDiscoveryAddr moves the watch to another address. The call in flight to the old address may
// last long. Until the new one answers, draining and removal of hosts are still taken from the old
// one, and nothing else, nor does its failure count. Revisions may not continue at the new address, so
// its first call requests the whole list.
func (d *Dispatcher) changeDiscoveryAddr(addr string) {
	if addr == d.discovery.conn.Addr {
		return
	}
	d.closeOldDiscovery()
	d.discovery.oldConn = d.discovery.conn
	d.discovery.conn, d.discovery.revision, d.discovery.hasList, d.discovery.watching = &transport.DiscoveryConn{Addr: addr}, 0, false, false
	d.startListWatch()
}

// closeOldDiscovery drops the connection to the previous address of discovery.
func (d *Dispatcher) closeOldDiscovery() {
	if d.discovery.oldConn != nil {
		d.afterUnlock(d.discovery.oldConn.Close)
		d.discovery.oldConn = nil
	}
}

// listBackoff returns how long after its failure a call is repeated, if it had lasted for elapsed;
// jitter is in [0, 1). The time counts from the beginning of the call: a change has to be known 6 s
// after discovery has it and can be reached, whatever failed before, so calls must begin no further
// apart than the timeout of an unanswered one. Calls that fail at one instant have begun at different
// ones, so repeats don't come at once either.
func listBackoff(elapsed time.Duration, jitter float64) time.Duration {
	return max(0, minListBackoff+time.Duration(jitter*float64(maxListBackoff-minListBackoff))-elapsed)
}

// watchList requests the list until a call fails. Calls follow each other at once, so that no change
// is missed. A call that timed out or was broken off is no sign that discovery is down, and the
// changes it missed have to be known soon: it is repeated at once, and only the next failure is
// reported to the core. A refused call is reported immediately: discovery is down, or has too many
// callers.
func (d *Dispatcher) watchList(conn *transport.DiscoveryConn) {
	for retried := false; ; {
		d.mu.Lock()
		path, wait, margin, current, revision := protocol.HostListPath, time.Duration(0), listCallTimeout, d.discovery.conn == conn, d.discovery.revision
		if d.discovery.hasList {
			wait, margin = listWatchDuration, listWatchMargin
			path = protocol.WatchTarget(d.discovery.revision, wait)
		}
		d.mu.Unlock()
		if !current {
			return
		}
		calledAt := time.Now()
		list, err := d.fetchList(conn, path, wait+margin)
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
		if (len(list.Hosts) == 0 || list.Revision == revision) && time.Since(calledAt) < minListCallPause { // a discovery that doesn't hold calls is not called without a pause
			time.Sleep(minListCallPause)
		}
	}
}

// listCallFailed records the failure of a call that had lasted for elapsed, and reports whether the
// watch stops. If it does, the next call comes when the core requests it, and after a backoff at the
// latest: with many gateways the core lets up to half of the longest poll interval pass, which is
// longer than a change may take to be known. A pushed list has to be current as soon as discovery
// returns, so the watch goes on with calls at short intervals.
func (d *Dispatcher) listCallFailed(conn *transport.DiscoveryConn, err error, elapsed time.Duration) (stop bool) {
	pause := time.Duration(0)
	d.callCore(func(now time.Duration) {
		if stop = d.discovery.conn != conn || !d.core.HostListPushed; d.discovery.conn == conn {
			d.discovery.watching = !stop
			d.Counters.ListCallsFailed.Add(1)
			if d.Counters.warningLimiter.allow() {
				d.afterUnlock(func() { slog.Warn("call for the host list failed", "error", err) })
			}
			if stop {
				d.discovery.backoffTimer.Reset(listBackoff(elapsed, d.discovery.random.Float64()))
			}
			if stop && !d.discovery.failureReported { // reported for each failure, the core would request the list for each, and refused calls would multiply
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

// wasInterrupted reports whether a call timed out or its connection ended before the response was
// complete.
func wasInterrupted(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" { // connection refused or unreachable
		return false
	}
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || protocol.IsTruncated(err)
}

// fetchList requests the host list once.
func (d *Dispatcher) fetchList(conn *transport.DiscoveryConn, path string, timeout time.Duration) (list *protocol.HostList, err error) {
	d.Counters.ListCalls.Add(1)
	err = conn.RoundTrip(protocol.EncodeGet(path, conn.Addr), timeout, func(r *bufio.Reader) (bool, error) {
		body, status, keep, err := protocol.ReadHostList(r)
		if err == nil && status != 200 {
			err = fmt.Errorf("discovery answered with status %d", status)
		}
		if err == nil {
			list, err = protocol.ParseHostList(body)
		}
		return keep, err
	})
	return list, err
}
