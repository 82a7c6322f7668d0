package routing

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"spanmux/internal/protocol"
	"spanmux/logic"
)

// addressRecord records which requests the process at each address got.
type addressRecord struct {
	mu   sync.Mutex
	runs map[string][]string // addresses by the ID of the request
}

// startHost starts a process that answers, with an error if the query of a request says so and it comes for the first time.
func (r *addressRecord) startHost(g *testGateway) string {
	address := ""
	address = g.startServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("X-Trace-Id")
		if id == "" { // a probe
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.runs[id] = append(r.runs[id], address); len(r.runs[id]) == 1 && strings.HasPrefix(request.URL.RawQuery, "error") {
			w.WriteHeader(500)
		}
	}))
	return address
}

// atBoth returns how many requests ran at both of two addresses, and at how many runs were at the first.
func (r *addressRecord) atBoth(first, second string) (both, atFirst int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, addresses := range r.runs {
		seen := map[string]bool{}
		for _, address := range addresses {
			seen[address] = true
			if address == first {
				atFirst++
			}
		}
		if seen[first] && seen[second] {
			both++
		}
	}
	return both, atFirst
}

// requests returns how many requests ran.
func (r *addressRecord) requests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// inCell returns an entry of a host in a cell. A start time of 0 is not known.
func inCell(uid, address string, cell int, bootMS int64) protocol.HostEntry {
	return protocol.HostEntry{UID: uid, Endpoint: address, Zone: "a", Model: "m", Cell: cell, State: "in_service", BootMS: bootMS}
}

// ended returns an entry as it is once the host has ended.
func ended(entry protocol.HostEntry) protocol.HostEntry {
	entry.State = "terminated"
	return entry
}

// A keyed request that had run was once repeated in another cell while two hosts were listed at one address, a dead one and the one that
// was started there: what was meant for the dead one ran at the other.
func TestKeyedRepeatAtSharedAddress(t *testing.T) {
	const first, second, third = 1000, 2000, 3000 // start times
	type list struct {
		kind  logic.ListKind
		hosts func(shared, own string) []protocol.HostEntry
	}
	entries := func(kind logic.ListKind, hosts func(shared, own string) []protocol.HostEntry) list {
		return list{kind, hosts}
	}
	before := entries(logic.ListComplete, func(shared, own string) []protocol.HostEntry {
		return []protocol.HostEntry{inCell("other", own, 1, first), inCell("old", shared, 1, first)}
	})
	beforeUnknown := entries(logic.ListComplete, func(shared, own string) []protocol.HostEntry {
		return []protocol.HostEntry{inCell("other", own, 1, 0), inCell("old", shared, 1, 0)}
	})
	both := func(shared, own string) []protocol.HostEntry {
		return []protocol.HostEntry{inCell("new", shared, 2, second), inCell("other", own, 1, first), inCell("old", shared, 1, first)}
	}
	change := func(hosts ...func(shared string) protocol.HostEntry) list {
		return entries(logic.ListChanges, func(shared, _ string) (changed []protocol.HostEntry) {
			for _, host := range hosts {
				changed = append(changed, host(shared))
			}
			return changed
		})
	}
	oldHost := func(shared string) protocol.HostEntry { return inCell("old", shared, 1, first) }
	newHost := func(shared string) protocol.HostEntry { return inCell("new", shared, 2, second) }
	newHostUnknown := func(shared string) protocol.HostEntry { return inCell("new", shared, 2, 0) }
	thirdHost := func(shared string) protocol.HostEntry { return inCell("third", shared, 3, third) }
	draining := func(host func(string) protocol.HostEntry) func(string) protocol.HostEntry {
		return func(shared string) protocol.HostEntry {
			entry := host(shared)
			entry.State = protocol.StateTerminating
			return entry
		}
	}
	gone := func(host func(string) protocol.HostEntry) func(string) protocol.HostEntry {
		return func(shared string) protocol.HostEntry { return ended(host(shared)) }
	}
	for _, test := range []struct {
		name   string
		lists  []list
		serves bool // the shared address takes requests
	}{
		{"a whole list has both", []list{entries(logic.ListComplete, both)}, true},
		{"a cached list has both", []list{entries(logic.ListCached, both)}, true},
		{"a change adds the new one", []list{before, change(newHost)}, true},
		{"a change repeats the old one", []list{before, change(newHost), change(oldHost)}, true},
		{"a whole list after the change", []list{before, change(newHost), entries(logic.ListComplete, both)}, true},
		{"no start times, a change adds the new one", []list{beforeUnknown, change(newHostUnknown)}, true},
		{"the old one ends", []list{before, change(newHost), change(gone(oldHost))}, true},
		{"the old one drains", []list{before, change(newHost), change(draining(oldHost))}, true},
		{"the new one drains", []list{before, change(newHost), change(draining(newHost))}, false},
		{"the new one ends first", []list{before, change(newHost), change(gone(newHost))}, false},
		{"a whole list leaves the new one out", []list{before, change(newHost), before}, false},
		{"a third one", []list{before, change(newHost), change(thirdHost)}, true},
		{"a third one, which ends", []list{before, change(newHost, thirdHost), change(gone(thirdHost))}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			gateway, record := newTestGateway(), &addressRecord{runs: map[string][]string{}}
			shared, own := record.startHost(gateway), record.startHost(gateway)
			for i, list := range test.lists {
				gateway.applyList(gateway.discovery.conn, list.kind, &protocol.HostList{Revision: int64(5 + i), Full: list.kind != logic.ListChanges, Hosts: list.hosts(shared, own)})
			}
			for i := range 200 {
				gateway.roundTrip("order", map[bool]string{true: "error", false: "go"}[i%5 == 0]+fmt.Sprint(i))
			}
			if both, atShared := record.atBoth(shared, own); both > 0 || atShared > 0 != test.serves {
				t.Errorf("%d requests ran in both cells; %d at the shared address, want some: %t", both, atShared, test.serves)
			}
		})
	}
}

// Where the list doesn't tell which of two hosts is at an address, both are used, and nothing that may have run there is repeated in
// another cell.
func TestUnknownHostAtSharedAddress(t *testing.T) {
	gateway, record := newTestGateway(), &addressRecord{runs: map[string][]string{}}
	shared, own := record.startHost(gateway), record.startHost(gateway)
	gateway.applyList(gateway.discovery.conn, logic.ListComplete, &protocol.HostList{Revision: 5, Full: true, Hosts: []protocol.HostEntry{
		inCell("first", shared, 1, 0), inCell("other", own, 1, 0), inCell("second", shared, 2, 0)}})
	for i := range 200 {
		gateway.roundTrip("order", map[bool]string{true: "error", false: "go"}[i%5 == 0]+fmt.Sprint(i))
	}
	if both, atShared := record.atBoth(shared, own); both > 0 || atShared == 0 {
		t.Errorf("%d requests ran in both cells; %d at the shared address", both, atShared)
	}
	if n := len(gateway.discovery.addrByID); n != 3 {
		t.Errorf("%d hosts in service, want 3", n)
	}
}

// A hop was out, or its connection was coming up, as the list told that another host had started at its address. What may have run there was
// once repeated in the cell of the old host.
func TestHopOutAtSharedAddress(t *testing.T) {
	for _, test := range []struct {
		name, answer string
		status       int // for the client
		repeated     bool
	}{
		{"may have run", "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n", 504, false},
		{"never ran", "HTTP/1.1 503 no\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", 200, true},
		{"committed", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			gateway, record := newTestGateway(), &addressRecord{runs: map[string][]string{}}
			arrived, answer := make(chan bool, 9), make(chan bool)
			shared := gateway.startScriptedHost(func(nc net.Conn, head *http.Request) {
				arrived <- true
				<-answer
				io.WriteString(nc, test.answer)
			}).Endpoint
			gateway.applyList(gateway.discovery.conn, logic.ListComplete, &protocol.HostList{Revision: 5, Full: true, Hosts: []protocol.HostEntry{inCell("old", shared, 1, 1000)}})
			client := gateway.dial()
			defer client.Close()
			io.WriteString(client, requestText("order", "go", ""))
			<-arrived
			gateway.applyList(gateway.discovery.conn, logic.ListChanges, &protocol.HostList{Revision: 6, Hosts: []protocol.HostEntry{inCell("new", shared, 2, 2000),
				inCell("same cell as old", record.startHost(gateway), 1, 1000), inCell("same cell as new", record.startHost(gateway), 2, 1000)}})
			close(answer)
			client.SetReadDeadline(time.Now().Add(3 * time.Second))
			response, err := http.ReadResponse(client.reader, nil)
			if err != nil || response.StatusCode != test.status {
				t.Errorf("answer %v, %v; want status %d", response, err, test.status)
			}
			if repeated := record.requests() + len(arrived); repeated > 0 != test.repeated {
				t.Errorf("repeated %d times, want it repeated: %t", repeated, test.repeated)
			}
		})
	}
	t.Run("connection comes up", func(t *testing.T) {
		gateway, record := newTestGateway(), &addressRecord{runs: map[string][]string{}}
		dialing, resume := make(chan bool, 9), make(chan bool)
		gateway.callCore(func(time.Duration) {
			gateway.pool.Dial = func(_ context.Context, network, addr string) (net.Conn, error) {
				dialing <- true
				<-resume
				return net.Dial(network, addr)
			}
		})
		shared, own := record.startHost(gateway), record.startHost(gateway)
		gateway.applyList(gateway.discovery.conn, logic.ListComplete, &protocol.HostList{Revision: 5, Full: true, Hosts: []protocol.HostEntry{inCell("old", shared, 1, 1000)}})
		client := gateway.dial()
		defer client.Close()
		io.WriteString(client, requestText("order", "error", ""))
		<-dialing
		gateway.applyList(gateway.discovery.conn, logic.ListChanges, &protocol.HostList{Revision: 6, Hosts: []protocol.HostEntry{inCell("new", shared, 2, 2000), inCell("other", own, 1, 1000)}})
		close(resume)
		client.SetReadDeadline(time.Now().Add(3 * time.Second))
		if response, err := http.ReadResponse(client.reader, nil); err != nil || response.StatusCode != 504 {
			t.Errorf("answer %v, %v; want status 504", response, err)
		}
		if both, _ := record.atBoth(shared, own); both > 0 || record.requests() != 1 {
			t.Errorf("%d requests ran, %d of them in both cells", record.requests(), both)
		}
		if n := gateway.Counters.HopsWithdrawn.Load(); n != 1 {
			t.Errorf("%d hops withdrawn, want 1", n)
		}
	})
}

// startCommittingHost starts a host that commits every request. When a connection ends, ends gets the query of its last request.
func startCommittingHost(ends chan<- string) (address string) {
	return startConnServer(func(nc net.Conn) {
		reader, last := bufio.NewReader(nc), ""
		for head, err := http.ReadRequest(reader); err == nil; head, err = http.ReadRequest(reader) {
			io.Copy(io.Discard, head.Body)
			last = head.URL.RawQuery
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		ends <- last
	})
}

// The connections to a superseded host are closed, and those to its successor stay as the old host ends.
func TestConnectionsAtSharedAddress(t *testing.T) {
	gateway, ends := newTestGateway(), make(chan string, 9)
	address := startCommittingHost(ends)
	apply := func(revision int64, entry protocol.HostEntry) {
		gateway.applyList(gateway.discovery.conn, logic.ListChanges, &protocol.HostList{Revision: revision, Hosts: []protocol.HostEntry{entry}})
	}
	oldHost, newHost := inCell("old", address, 1, 1000), inCell("new", address, 2, 2000)
	apply(5, oldHost)
	gateway.roundTrip("order", "to-old")
	time.Sleep(2 * reuseTime)
	apply(6, newHost)
	select {
	case last := <-ends:
		if last != "to-old" {
			t.Errorf("closed: the connection of %q", last)
		}
	case <-time.After(time.Second):
		t.Error("the connection to the superseded host stays open")
	}
	gateway.roundTrip("order", "to-new")
	time.Sleep(2 * reuseTime)
	apply(7, ended(oldHost))
	select {
	case last := <-ends:
		t.Errorf("closed as the old host ended: the connection of %q", last)
	case <-time.After(100 * time.Millisecond):
	}
	if superseded := gateway.Counters.HostsSuperseded.Load(); superseded != 1 {
		t.Errorf("%d hosts superseded, want 1", superseded)
	}
}
