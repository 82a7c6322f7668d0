package routing

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"spanmux/internal/protocol"
	"spanmux/logic"
)

const (
	// largeFleetSize is the number of gateways, and of hosts, that every part of the program has to
	// support.
	largeFleetSize = 1024
	// maxLargeFleetHeapBytes bounds the live heap that a gateway needs for them: a sixteenth of a small
	// gateway's 64 MB.
	maxLargeFleetHeapBytes = 4 << 20
	// maxLargeFleetGoroutines bounds its goroutines other than those for connections to clients and hosts.
	maxLargeFleetGoroutines = 16
)

// largeFleetSettings returns the settings of one gateway of the fleet, the coordinator of the zone
// that all hosts are in.
func largeFleetSettings() string {
	return strings.Replace(testSettings, `"balancers":2`, fmt.Sprintf(`"balancers":%d`, largeFleetSize), 1)
}

// largeFleetHosts returns a list of hosts, each with an address of its own and the same port of this
// machine.
func largeFleetHosts(port int, state string) []protocol.HostEntry {
	entries := make([]protocol.HostEntry, largeFleetSize)
	for i := range entries {
		entries[i] = protocol.HostEntry{UID: fmt.Sprintf("host-%08x", i), Endpoint: fmt.Sprintf("127.1.%d.%d:%d", i>>8, i&255, port),
			Zone: "a", Model: "m2", Cell: i, State: state, CapacityHint: 1}
	}
	return entries
}

// resourceUsage is the live heap and the number of goroutines of this process.
type resourceUsage struct {
	heap       uint64
	goroutines int
}

// measureUsage measures after a garbage collection.
func measureUsage() resourceUsage {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return resourceUsage{m.HeapAlloc, runtime.NumGoroutine()}
}

// checkGrowth reports growth over the bounds; testGoroutines are not counted.
func (before resourceUsage) checkGrowth(t *testing.T, testGoroutines int) {
	t.Helper()
	now := measureUsage()
	t.Logf("live heap %d KB more, goroutines %d more", (int64(now.heap)-int64(before.heap))>>10, now.goroutines-before.goroutines-testGoroutines)
	if now.heap > before.heap+maxLargeFleetHeapBytes {
		t.Errorf("live heap grew by %d KB", (now.heap-before.heap)>>10)
	}
	if n := now.goroutines - before.goroutines - testGoroutines; n > maxLargeFleetGoroutines {
		t.Errorf("%d more goroutines", n)
	}
}

// newTestDispatcher returns a dispatcher without a host list.
func newTestDispatcher(t *testing.T, settings string, sockets int) *Dispatcher {
	t.Helper()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	d, err := NewDispatcher([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	d.ConfigureListener(ln, false, sockets, 0, 64<<20)
	return d
}

// startDiscovery starts a discovery that answers each call with the next text from the channel.
func startDiscovery(t *testing.T) (addr string, lists chan<- []byte) {
	responses := make(chan []byte)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case text := <-responses:
			w.Write(text)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String(), responses
}

// marshalJSON returns the JSON of a value.
func marshalJSON(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// eventually waits until the condition holds, or fails the test.
func eventually(t *testing.T, timeout time.Duration, event string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", timeout, event)
		}
	}
}

// A thousand hosts arrive in one list, then drain one by one, a change per call, and all return in one
// call. A gateway of a fleet of a thousand applies each change, with little memory and without a
// goroutine per host.
func TestListLargeFleet(t *testing.T) {
	d := newTestDispatcher(t, largeFleetSettings(), 400)
	addr, lists := startDiscovery(t)
	before := measureUsage()
	d.Start(7, addr, nil)
	known := func() (hosts, draining int, rev int64) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.discovery.addrByID), len(d.discovery.drainingBootMS), d.discovery.revision
	}
	lists <- marshalJSON(t, protocol.HostList{Revision: 1, Full: true, Hosts: largeFleetHosts(5000, "in_service")})
	eventually(t, 2*time.Second, "the whole list", func() bool { hosts, _, _ := known(); return hosts == largeFleetSize })
	before.checkGrowth(t, 0)

	began := time.Now()
	for i, e := range largeFleetHosts(5000, protocol.StateTerminating) {
		lists <- marshalJSON(t, protocol.HostList{Revision: int64(2 + i), Hosts: []protocol.HostEntry{e}})
	}
	eventually(t, time.Second, "all drain", func() bool { _, draining, _ := known(); return draining == largeFleetSize })
	took := time.Since(began)
	t.Logf("a change took %v", took/largeFleetSize)
	if took > 10*time.Second {
		t.Errorf("%v for %d changes", took, largeFleetSize)
	}
	lists <- marshalJSON(t, protocol.HostList{Revision: 2 + largeFleetSize, Hosts: largeFleetHosts(5000, "in_service")})
	eventually(t, time.Second, "all are back", func() bool { hosts, draining, _ := known(); return hosts == largeFleetSize && draining == 0 })
	var shown struct{ Discovered, Ejected int }
	if err := json.Unmarshal(d.MetricsJSON(), &shown); err != nil || shown.Discovered != largeFleetSize || shown.Ejected != 0 {
		t.Errorf("figures: %+v, %v", shown, err)
	}
	lists <- marshalJSON(t, protocol.HostList{Revision: 3 + largeFleetSize, Full: true})
	eventually(t, time.Second, "all are gone", func() bool { hosts, _, _ := known(); return hosts == 0 })
}

// peerSockets are the sockets of the other gateways.
type peerSockets []*net.UDPConn

// openPeers opens a socket for each gateway of the fleet.
func openPeers(t *testing.T) (sockets peerSockets, addrs []string) {
	for range largeFleetSize {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		sockets, addrs = append(sockets, c), append(addrs, c.LocalAddr().String())
	}
	return sockets, addrs
}

// joinPeers joins a gateway to the others until the test ends, when their ports may be reused.
func joinPeers(t *testing.T, d *Dispatcher, own string, addrs []string) {
	t.Helper()
	if err := d.JoinPeers(own, addrs, ""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.peers.socket.Close() })
}

// receive returns the messages that each socket receives within a time, up to maxMessages each.
func (p peerSockets) receive(timeout time.Duration, maxMessages int) (got [][][]byte) {
	got = make([][][]byte, len(p))
	var all sync.WaitGroup
	for i, c := range p {
		all.Add(1)
		go func() {
			defer all.Done()
			c.SetReadDeadline(time.Now().Add(timeout))
			for msg := make([]byte, 512); len(got[i]) < maxMessages; {
				n, err := c.Read(msg)
				if err != nil {
					return
				}
				got[i] = append(got[i], slices.Clone(msg[:n]))
			}
		}()
	}
	all.Wait()
	return got
}

// A thousand gateways send pick requests to the coordinator of a thousand hosts, and entries about
// their hops, while it is busy: everything arrives, each request is answered with a host, with little
// memory and without a goroutine per gateway.
func TestPeerMessagesReceivedLargeFleet(t *testing.T) {
	const entriesPerDatagram = 25
	d := newTestDispatcher(t, largeFleetSettings(), 400)
	peers, addrs := openPeers(t)
	own := addrs[0]
	peers[0].Close()
	peers = peers[1:]
	before := measureUsage()
	joinPeers(t, d, own, addrs)
	addr, _ := startDiscovery(t)
	d.Start(7, addr, &protocol.HostList{Revision: 1, Full: true, Hosts: largeFleetHosts(5000, "in_service")})

	at := netip.MustParseAddrPort(own)
	d.mu.Lock()
	for i, c := range peers {
		var inFlight []logic.PeerEntry // as many as fit in a datagram: a hop in flight at one host, and none any more at others
		for k := range entriesPerDatagram {
			id, _ := d.discovery.hostIDFor(fmt.Sprintf("host-%08x", (i+k)%largeFleetSize))
			inFlight = append(inFlight, logic.PeerEntry{Kind: logic.EntryInFlight, Host: id, InFlight: 1 / (1 + k)})
		}
		for msg := range d.core.EncodePeerMessages(inFlight) {
			c.WriteToUDPAddrPort(msg, at)
		}
		for msg := range d.core.EncodePeerMessages([]logic.PeerEntry{{Kind: logic.EntryPickRequest}}) {
			c.WriteToUDPAddrPort(msg, at)
		}
	}
	sentAt := time.Now()
	d.mu.Unlock()
	picked := map[logic.HostID]int{}
	for i, got := range peers.receive(10*time.Second, 1) {
		if len(got) != 1 {
			t.Fatalf("gateway %d: %d answers", i+1, len(got))
		}
		entries, err := d.core.DecodePeerMessage(got[0])
		if err != nil || len(entries) != 1 || entries[0].Kind != logic.EntryPickResponse || entries[0].Host == 0 {
			t.Fatalf("gateway %d received %+v, %v", i+1, entries, err)
		}
		picked[entries[0].Host]++
	}
	t.Logf("%d pick requests answered within %v", len(peers), time.Since(sentAt))
	if received := d.Counters.PeerMessagesReceived.Load(); received != 2*int64(len(peers)) || d.Counters.PeerMessagesInvalid.Load() != 0 {
		t.Errorf("%d datagrams accepted, %d dropped", received, d.Counters.PeerMessagesInvalid.Load())
	}
	if len(picked) < largeFleetSize/4 {
		t.Errorf("only %d hosts were picked", len(picked))
	}
	before.checkGrowth(t, 0)
}

// A peer message about a thousand hosts reaches a thousand other gateways, with each host's ID and
// number of hops.
func TestPeerMessagesSentLargeFleet(t *testing.T) {
	d := newTestDispatcher(t, largeFleetSettings(), 400)
	peers, addrs := openPeers(t)
	own := addrs[0]
	peers[0].Close()
	joinPeers(t, d, own, addrs)
	addr, _ := startDiscovery(t)
	d.Start(7, addr, nil)
	var entries []logic.PeerEntry
	for i := range largeFleetSize {
		entries = append(entries, logic.PeerEntry{Kind: logic.EntryInFlight, Host: logic.HostID(1 + i), InFlight: 1 + i%7})
	}
	messages := len(slices.Collect(d.core.EncodePeerMessages(entries)))
	go d.callCore(func(time.Duration) { d.SendPeerMessage(-1, entries) })
	for i, got := range peers[1:].receive(10*time.Second, messages) {
		var read []logic.PeerEntry
		for _, msg := range got {
			part, err := d.core.DecodePeerMessage(msg)
			if err != nil {
				t.Fatal(err)
			}
			read = append(read, part...)
		}
		if !slices.Equal(read, entries) {
			t.Fatalf("gateway %d has %d datagrams of %d, %d hosts of %d", i+1, len(got), messages, len(read), len(entries))
		}
	}
	if n := d.Counters.PeerMessagesUnsent.Load(); n != 0 {
		t.Errorf("%d datagrams not sent", n)
	}
	d.callCore(func(time.Duration) { d.SendPeerMessage(largeFleetSize-1, entries[:1]) })
	if got := peers[largeFleetSize-1:].receive(time.Second, 1); len(got[0]) != 1 {
		t.Error("the last gateway received nothing")
	}
}

// A process hands its learned state for a thousand hosts to the next one, in far less time than the
// next one waits.
func TestLearnedStateLargeFleet(t *testing.T) {
	path := filepath.Join(t.TempDir(), "heir")
	known := func() *protocol.HostList {
		return &protocol.HostList{Revision: 1, Full: true, Hosts: largeFleetHosts(5000, "in_service")}
	}
	silentDiscovery, _ := startDiscovery(t)
	predecessor := newTestDispatcher(t, largeFleetSettings(), 400)
	predecessor.Start(7, silentDiscovery, known())
	predecessor.callCore(func(now time.Duration) {
		state := predecessor.core.ExportLearned(now)
		for i := range state.Hosts {
			h := &state.Hosts[i]
			h.Weight, h.ServiceTimeRatio, h.Latency = 0.5+float64(i)/largeFleetSize/3, logic.SmoothedMean{Value: 1.0 / 3, Samples: 7}, logic.SmoothedMean{Value: 1e9 / 3, Samples: 1e4 / 3}
			h.ErrorFraction, h.BreakerOpenFor, h.BreakerCooldown = 1.0/3, 4*time.Second, 5*time.Second
		}
		predecessor.core.ImportLearned(now, state, 0)
	})
	if err := predecessor.ListenForHandover(path); err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	successor := newTestDispatcher(t, largeFleetSettings(), 400)
	if err := successor.ListenForHandover(path); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes handed over within %v", len(predecessor.encodeLearnedState()), time.Since(startedAt))
	addr, lists := startDiscovery(t)
	successor.Start(7, addr, nil)
	lists <- marshalJSON(t, known())
	eventually(t, 2*time.Second, "the list", func() bool { successor.mu.Lock(); defer successor.mu.Unlock(); return successor.discovery.hasList })
	var stateBefore, stateAfter logic.LearnedState
	predecessor.callCore(func(now time.Duration) { stateBefore = predecessor.core.ExportLearned(now) })
	successor.callCore(func(now time.Duration) { stateAfter = successor.core.ExportLearned(now) })
	if len(stateAfter.Hosts) != largeFleetSize || len(stateBefore.Hosts) != largeFleetSize {
		t.Fatalf("%d hosts of %d", len(stateAfter.Hosts), len(stateBefore.Hosts))
	}
	for i := range stateAfter.Hosts {
		a, b := stateBefore.Hosts[i], stateAfter.Hosts[i]
		if a.ID != b.ID || a.Weight != b.Weight || a.ServiceTimeRatio != b.ServiceTimeRatio || a.Latency != b.Latency || a.ErrorFraction != b.ErrorFraction || b.BreakerOpenFor <= 0 {
			t.Fatalf("host %d: %+v handed over, %+v received", i, a, b)
		}
	}
}
