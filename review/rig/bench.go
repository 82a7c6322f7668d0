package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// bench is one play of a case: its record and the processes that it has started.
type bench struct {
	dir       string // temporary
	root      string // of the project
	startedAt time.Time

	mu     sync.Mutex
	record *os.File
	events []hostEvent
	procs  []*exec.Cmd
	closed bool
}

// fatal is the panic of a case that can't run.
type fatal struct{ text string }

func fail(format string, args ...any) { panic(fatal{fmt.Sprintf(format, args...)}) }

func newBench(folder string) *bench {
	folder, err := filepath.Abs(folder)
	if err != nil {
		fail("%v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fail("%v", err)
	}
	return &bench{dir: dir, root: filepath.Join(folder, "..", ".."), record: record, startedAt: time.Now()}
}

// note writes a line to the record, with the seconds since the start of the case.
func (b *bench) note(format string, args ...any) { b.noteAt(time.Now(), format, args...) }

func (b *bench) noteAt(at time.Time, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		fmt.Fprintf(b.record, "%8.3f %s\n", at.Sub(b.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// close ends all processes that the case has started and removes its temporary folder.
func (b *bench) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	for _, p := range b.procs {
		p.Process.Kill() // also where it is stopped
		p.Wait()
	}
	os.RemoveAll(b.dir)
	b.record.Close()
}

// start starts a process that ends with this one.
func (b *bench) start(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("%s: %v", cmd.Path, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.procs = append(b.procs, cmd)
}

// hostProcess is a host as the case sees it.
type hostProcess struct {
	name, addr string
	bench      *bench
	cmd        *exec.Cmd
	stdin      io.WriteCloser // kept open: the host ends with it
}

// startHost starts a host process.
func (b *bench) startHost(name string, work time.Duration) *hostProcess {
	h := &hostProcess{name: name, bench: b, cmd: exec.Command(os.Args[0], "host", "-name", name, "-work", work.String())}
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		fail("host %s: %v", name, err)
	}
	if h.stdin, err = h.cmd.StdinPipe(); err != nil {
		fail("host %s: %v", name, err)
	}
	h.cmd.Stderr = os.Stderr
	b.start(h.cmd)
	reader := bufio.NewReader(out)
	addr, err := reader.ReadString('\n')
	if err != nil {
		fail("host %s: %v", name, err)
	}
	h.addr = addr[:len(addr)-1]
	go func() {
		for {
			line, err := reader.ReadBytes('\n')
			var e hostEvent
			if err != nil || json.Unmarshal(line, &e) != nil {
				return
			}
			b.noteAt(e.At, "host %s: %s %s (%d bytes of body, told X-Expires-In-Ms %d)", e.Host, e.Trace, e.What, e.Bytes, e.ToldMs)
			b.mu.Lock()
			b.events = append(b.events, e)
			b.mu.Unlock()
		}
	}()
	return h
}

// signal sends a signal to the host, and notes what it is for.
func (h *hostProcess) signal(s syscall.Signal, meaning string) {
	h.bench.note("host %s %s (signal %v)", h.name, meaning, s)
	h.cmd.Process.Signal(s)
}

// eventsOf returns the hosts' events of a kind about a request, in the order in which they were told.
func (b *bench) eventsOf(trace, what string) (found []hostEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.events {
		if e.Trace == trace && e.What == what {
			found = append(found, e)
		}
	}
	return found
}

// listEntry is an entry of discovery's list.
type listEntry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// discovery is a stand-in for discovery. It answers with the whole list, and a watch with what has changed since the
// version that it names, at once or as it changes, or with nothing once its wait is over.
type discovery struct {
	addr string

	mu        sync.Mutex
	rev       int
	list      []listEntry
	changedAt map[string]int // by uid: the version that changed it last
	changed   chan bool      // closed at the next change
}

func startDiscovery(list []listEntry) *discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("discovery: %v", err)
	}
	d := &discovery{addr: ln.Addr().String(), rev: 41, list: list, changedAt: map[string]int{}, changed: make(chan bool)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serve)
	go http.Serve(ln, mux)
	return d
}

// serve answers a call.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	wait, err := strconv.Atoi(r.URL.Query().Get("wait"))
	since, _ := strconv.Atoi(r.URL.Query().Get("index"))
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		json.NewEncoder(w).Encode(map[string]any{"rev": d.rev, "all": true, "targets": d.list})
		return
	}
	if d.rev <= since {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(milliseconds(wait)):
		case <-r.Context().Done():
		}
		d.mu.Lock()
	}
	changes := []listEntry{}
	for _, entry := range d.list {
		if d.changedAt[entry.UID] > since {
			changes = append(changes, entry)
		}
	}
	json.NewEncoder(w).Encode(map[string]any{"rev": d.rev, "all": false, "targets": changes})
}

// drain has the list say that a host drains.
func (d *discovery) drain(b *bench, h *hostProcess) {
	b.note("discovery says that host %s is terminating", h.name)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for i := range d.list {
		if d.list[i].Endpoint == h.addr {
			d.list[i].State, d.changedAt[d.list[i].UID] = "terminating", d.rev
		}
	}
	close(d.changed)
	d.changed = make(chan bool)
}

// freeAddr returns an address that is free now. network is tcp or udp.
func freeAddr(network string) string {
	if network == "udp" {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			fail("%v", err)
		}
		defer conn.Close()
		return conn.LocalAddr().String()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

var runKey = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// runCommand returns the command with which the deploy file starts a gateway.
func (b *bench) runCommand() string {
	deploy, err := os.ReadFile(filepath.Join(b.root, "deploy", "balancer.toml"))
	if err != nil {
		fail("%v", err)
	}
	run := runKey.FindSubmatch(deploy)
	if run == nil {
		fail("the deploy file has no run")
	}
	return string(run[1])
}

// gateway is a gateway process: its address for clients and that of its admin server.
type gateway struct{ name, addr, control string }

// startGateways starts the gateways of a deployment with the command of the deploy file, and returns them once all are
// ready. zones has the zone of each; tell says whether they may send each other messages.
func (b *bench) startGateways(settings map[string]any, zones []string, d *discovery, tell bool) (gateways []gateway) {
	run := b.runCommand()
	var peers []string
	for range zones {
		peers = append(peers, freeAddr("udp"))
	}
	for i, zone := range zones {
		name, addr, control := fmt.Sprintf("n%d", i), freeAddr("tcp"), freeAddr("tcp")
		gateways = append(gateways, gateway{name, addr, control})
		settings["balancers"], settings["me"], settings["myZone"] = len(zones), i, zone
		config := map[string]any{"name": name, "listen": addr, "control": control, "discovery": d.addr, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
			"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 1024}, "settings": settings}
		if tell {
			config["peer_listen"], config["peers"] = peers[i], peers
		}
		text, err := json.Marshal(config)
		if err != nil {
			fail("%v", err)
		}
		path, tmp := filepath.Join(b.dir, name+".json"), filepath.Join(b.dir, name)
		if err := os.Mkdir(tmp, 0o700); err != nil {
			fail("%v", err)
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			fail("%v", err)
		}
		cmd := exec.Command("/bin/sh", "-c", run)
		cmd.Dir = b.root
		cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_NAME="+name, "BALANCER_LISTEN="+addr, "BALANCER_DISCOVERY="+d.addr, "TMPDIR="+tmp)
		out, err := cmd.StderrPipe()
		if err != nil {
			fail("%v", err)
		}
		b.start(cmd)
		go func() {
			for lines := bufio.NewScanner(out); lines.Scan(); {
				b.note("gateway %s logs: %s", name, lines.Text())
			}
		}()
	}
	for _, g := range gateways {
		awaitReady(g.addr)
	}
	return gateways
}

// noteFigures notes two figures of the admin server: the attempts that were written whole to hosts, and the requests
// that have not ended.
func (b *bench) noteFigures(g gateway) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.control + "/-/metrics")
	if err != nil {
		b.note("gateway %s: no figures: %v", g.name, err)
		return
	}
	defer response.Body.Close()
	var figures struct{ Forwards, Outstanding int }
	err = json.NewDecoder(response.Body).Decode(&figures)
	b.note("gateway %s: attempts written whole to hosts so far %d, requests outstanding %d (%v)", g.name, figures.Forwards, figures.Outstanding, err)
}

// awaitReady waits until a gateway is ready.
func awaitReady(addr string) {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + addr + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == 200 {
			return
		}
	}
	fail("gateway at %s not ready within 10 s", addr)
}
