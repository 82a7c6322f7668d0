package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// largeFleetSize is the number of gateways, and of hosts, that the program has to support.
	largeFleetSize = 1024
	// maxLargeFleetStartDuration bounds the time until a process with so many of both is ready.
	maxLargeFleetStartDuration = 3 * time.Second
	// maxLargeFleetThreads bounds the number of its threads, which must not grow with the number of gateways and hosts.
	maxLargeFleetThreads = 40
)

// hostFleet is largeFleetSize hosts, each with an address of its own, and the discovery server that lists them.
type hostFleet struct {
	mu        sync.Mutex
	reached   map[string]bool // by address
	served    atomic.Int64
	list      []byte
	discovery string
}

// startHostFleet starts the hosts and the discovery server for the duration of a test.
func startHostFleet(t *testing.T) *hostFleet {
	t.Helper()
	h := &hostFleet{reached: map[string]bool{}}
	ln, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	hosts := &http.Server{Handler: http.HandlerFunc(h.serve)}
	go hosts.Serve(ln)
	t.Cleanup(func() { hosts.Close() })

	var targets []map[string]any
	for i := range largeFleetSize {
		targets = append(targets, map[string]any{"uid": fmt.Sprintf("host-%08x", i), "az": "a", "model": "m2", "pod_group": i, "state": "in_service",
			"capacity_hint": 1, "endpoint": fmt.Sprintf("127.1.%d.%d:%d", i>>8, i&255, ln.Addr().(*net.TCPAddr).Port)})
	}
	if h.list, err = json.Marshal(map[string]any{"rev": 1, "all": true, "targets": targets}); err != nil {
		t.Fatal(err)
	}
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("index") {
			<-r.Context().Done()
			return
		}
		w.Write(h.list)
	}))
	t.Cleanup(discovery.CloseClientConnections)
	h.discovery = discovery.Listener.Addr().String()
	return h
}

// serve answers requests and probes of all hosts, and records which host was reached.
func (h *hostFleet) serve(w http.ResponseWriter, r *http.Request) {
	at, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	h.mu.Lock()
	h.reached[at.String()] = true
	h.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/status") {
		io.WriteString(w, "TEXT inflight=1, queue=0")
		return
	}
	h.served.Add(1)
	io.WriteString(w, "answer")
}

// reachedHosts returns the number of hosts that have got a request.
func (h *hostFleet) reachedHosts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.reached)
}

// openPeerSockets opens a socket for each of the other gateways. The first of the addresses is left for the gateway under test.
func openPeerSockets(t *testing.T) (peers []*net.UDPConn, addrs []string) {
	t.Helper()
	for i := range largeFleetSize {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, c.LocalAddr().String())
		if i == 0 {
			defer c.Close() // once the others are open: closed before, its port may become one of theirs
			continue
		}
		t.Cleanup(func() { c.Close() })
		peers = append(peers, c)
	}
	return peers, addrs
}

// requestPicks sends a remote pick request from each of the peers at once, and counts those that get a response with a host before the timeout.
func requestPicks(peers []*net.UDPConn, to string, timeout time.Duration) (answered int) {
	const kindPickRequest, kindPickResponse, entryBytes = 3, 4, 10
	profile := uint16(crc32.ChecksumIEEE([]byte("read")))
	request := binary.LittleEndian.AppendUint16([]byte{0, 0, 0, 0, 0, kindPickRequest << 4}, profile)
	request = append(request, 0, 0)
	gateway := netip.MustParseAddrPort(to)
	for _, conn := range peers {
		conn.WriteToUDPAddrPort(request, gateway)
	}
	deadline := time.Now().Add(timeout)
	for _, conn := range peers {
		conn.SetReadDeadline(deadline)
		msg := make([]byte, 256)
		for {
			n, err := conn.Read(msg)
			if err != nil {
				break
			}
			if n == entryBytes && msg[5]>>4 == kindPickResponse {
				if binary.LittleEndian.Uint32(msg) != 0 {
					answered++
				}
				break
			}
		}
	}
	return answered
}

// processStatus returns a number from /proc/PID/status.
func processStatus(t *testing.T, p *exec.Cmd, name string) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), name+":")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		t.Fatal("no field " + name)
	}
	n, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A process that is one of a thousand gateways in front of a thousand hosts, with all of them in its configuration and in discovery's list, is
// ready soon, serves clients, answers simultaneous pick requests of all other gateways, reloads its file and hands over to the next process,
// within the memory of a small gateway.
func TestLargeFleetProcess(t *testing.T) {
	hosts := startHostFleet(t)
	peers, addrs := openPeerSockets(t)
	addr, socket, dir := sharedListener()
	defer os.RemoveAll(dir)
	settings := fmt.Sprintf(`{"balancers":%d,"me":0,"dcs":["a"],"myZone":"a","discovery":"subscribe","report":{"via":"probe","fields":["rif","q"]},`+
		`"obligations":{"askWithin":2000000,"drainGrace":400000},"limits":{"mostHops":2,"mayTell":true,"probes":true,"connectTimeout":300000,`+
		`"connIdle":4000000},"profiles":[{"name":"read","effect":"idempotent","serviceGoal":1000000,"hardLimit":2000000,"revenue":1}]}`, largeFleetSize)
	start := func(n int, known json.RawMessage) (p *exec.Cmd, admin string) {
		admin = freeAddress()
		started := time.Now()
		p = startProcess(dir, n, 400, largeFleetSize, map[string]any{"name": "large", "control": admin, "discovery": hosts.discovery, "peer_listen": addrs[0],
			"peers": addrs, "known": known, "settings": json.RawMessage(settings)}, socket)
		t.Cleanup(func() { p.Process.Kill() })
		if !eventually(func() bool { return adminAnswers(admin, "ready", "yes") }) {
			t.Fatal("not ready after 10 s")
		}
		startDuration := time.Since(started)
		if t.Logf("ready after %v", startDuration); startDuration > maxLargeFleetStartDuration {
			t.Errorf("ready only after %v", startDuration)
		}
		return p, admin
	}
	checkServes := func(p *exec.Cmd, admin string) {
		eventually(func() bool { return requestPicks(peers[:1], addrs[0], 100*time.Millisecond) == 1 }) // until the process has taken over the peer address
		answered := requestPicks(peers, addrs[0], largeFleetPickTimeout)
		served := 0
		for i := range 100 {
			served += int(sendRequest(addr, fmt.Sprint(p.Process.Pid, "-", i)))
		}
		var metrics struct{ Discovered, Ejected int }
		if err := json.Unmarshal([]byte(adminRequest("GET", admin, "metrics")), &metrics); err != nil {
			t.Error(err)
		}
		if answered != len(peers) || served != 100 || metrics.Discovered != largeFleetSize || metrics.Ejected != 0 {
			t.Errorf("%d of %d gateways got a pick response, %d of 100 clients were served; %+v", answered, len(peers), served, metrics)
		}
		p.Process.Signal(syscall.SIGHUP)
		if !eventually(func() bool { return strings.Contains(adminRequest("GET", admin, "metrics"), `"sighup_applied":1`) }) {
			t.Error("the configuration is not reloaded on SIGHUP")
		}
	}
	checkResources := func(p *exec.Cmd) {
		memory, threads := processStatus(t, p, "VmHWM"), processStatus(t, p, "Threads")
		if t.Logf("%d kB, %d threads", memory, threads); memory > maxLargeFleetMemoryKB || threads > maxLargeFleetThreads {
			t.Errorf("%d kB of memory, %d threads", memory, threads)
		}
	}

	first, admin := start(1, nil)
	checkServes(first, admin)
	if !eventually(func() bool { return hosts.reachedHosts() == largeFleetSize }) { // by probes
		t.Errorf("only %d hosts were reached", hosts.reachedHosts())
	}
	checkResources(first)
	second, admin := start(2, hosts.list)
	first.Process.Signal(syscall.SIGTERM)
	if err := first.Wait(); err != nil {
		t.Error(err)
	}
	checkServes(second, admin)
	checkResources(second)
	second.Process.Signal(syscall.SIGTERM)
	if err := second.Wait(); err != nil {
		t.Error(err)
	}
}
