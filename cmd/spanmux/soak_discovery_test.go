package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// soakDiscovery is a stand-in discovery. Each gateway has two addresses of it, so that a new configuration can move it and its records name
// the gateway of a call.
type soakDiscovery struct {
	record    *soakRecord
	addrs     [soakGateways][2]string
	servers   []*http.Server
	processOf func(gateway int) int // the process of a gateway that runs now
	silentAt  time.Duration         // see scenario

	mu       sync.Mutex
	revision int
	entries  []listEntry
	changed  chan bool // closed at the next change, and as an outage begins
	down     bool
}

// listEntry is a host in the list.
type listEntry struct {
	host     *soakHost
	state    string
	revision int // of its last change
}

// startSoakDiscovery starts discovery with a list of hosts.
func startSoakDiscovery(record *soakRecord, hosts []*soakHost, silentAt time.Duration, processOf func(gateway int) int) *soakDiscovery {
	d := &soakDiscovery{record: record, processOf: processOf, silentAt: silentAt, revision: 1, changed: make(chan bool)}
	for _, host := range hosts {
		d.entries = append(d.entries, listEntry{host, "in_service", 1})
	}
	for gateway := range d.addrs {
		for i := range d.addrs[gateway] {
			listener := listenOnFreeAddress()
			d.addrs[gateway][i] = listener.Addr().String()
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, gateway) })}
			d.servers = append(d.servers, server)
			go server.Serve(listener)
		}
	}
	return d
}

// stop ends all calls.
func (d *soakDiscovery) stop() {
	for _, server := range d.servers {
		server.Close()
	}
}

// change changes the state of a host.
func (d *soakDiscovery) change(host int, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.entries[host].state, d.entries[host].revision = state, d.revision
	close(d.changed)
	d.changed = make(chan bool)
}

// setDown begins or ends an outage; as it begins, watches end.
func (d *soakDiscovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.changed)
	d.changed = make(chan bool)
}

// list returns the list for a gateway: what changed after a revision, or all that is there where that is 0.
func (d *soakDiscovery) list(gateway, after int) (text string, changes []listEntry) {
	var targets []string
	for _, entry := range d.entries {
		if entry.revision <= after || after == 0 && entry.state == "terminated" {
			continue
		}
		changes = append(changes, entry)
		targets = append(targets, fmt.Sprintf(`{"uid":"%s","endpoint":"%s","az":"a","model":"m","pod_group":%d,"state":"%s","capacity_hint":1,"boot_ms":%d}`,
			entry.host.uid(), entry.host.listeners[gateway].Addr(), entry.host.cell, entry.state, entry.host.bootMS))
	}
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, d.revision, after == 0, strings.Join(targets, ",")), changes
}

// knownList returns the whole list for a gateway's configuration file.
func (d *soakDiscovery) knownList(gateway int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, _ := d.list(gateway, 0)
	return text
}

// serve answers a call, and records what it tells of hosts that drain or are gone, and of new ones.
func (d *soakDiscovery) serve(w http.ResponseWriter, r *http.Request, gateway int) {
	after, _ := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	calledAt := d.record.now()
	d.mu.Lock()
	for waiting := true; waiting && !d.down && after >= d.revision; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-expired:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		d.mu.Lock()
	}
	down, process := d.down, d.processOf(gateway)
	text, changes := d.list(gateway, after)
	d.mu.Unlock()
	if calledAt < d.silentAt && d.record.now() >= d.silentAt {
		<-r.Context().Done()
		return
	}
	if down {
		panic(http.ErrAbortHandler) // resets the connection
	}
	if _, err := w.Write([]byte(text)); err != nil || http.NewResponseController(w).Flush() != nil {
		return
	}
	d.record.mu.Lock()
	defer d.record.mu.Unlock()
	for _, entry := range changes {
		written := listRecord{gateway, process, entry.host.index, entry.state, d.record.now()}
		if entry.state != "in_service" {
			d.record.lists = append(d.record.lists, written)
		} else if entry.host.bootMS > 0 {
			d.record.listsAdding = append(d.record.listsAdding, written)
		}
	}
}
