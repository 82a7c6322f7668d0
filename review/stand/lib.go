// Command stand plays the cases of the second review: it starts gateways with the commands of the deploy file, between
// stand-ins for clients, hosts, discovery and the platform, and judges what these can see.
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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record is the record of a run: what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// now returns the time since the start.
func (r *record) now() time.Duration { return time.Since(r.start) }

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// errCannotRun ends a case that could not be played.
type errCannotRun struct{ reason string }

// cannotRun ends the case.
func cannotRun(format string, args ...any) { panic(errCannotRun{fmt.Sprintf(format, args...)}) }

// must ends the case if there is an error.
func must(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

// rig is what all cases share.
type rig struct {
	*record
	root    string // of the project
	dir     string // temporary folder
	runLine string // command of the deploy file
	trouble bool   // TROUBLE is not 0

	mu        sync.Mutex
	processes []*gateway
}

// newRig reads the deploy file and creates the temporary folder.
func newRig(root, recordPath string) *rig {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	must(err)
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		cannotRun("no run in the deploy file")
	}
	if _, err := os.Stat(filepath.Join(root, "bin", "spanmux")); err != nil {
		cannotRun("the program is not built: %v", err)
	}
	file, err := os.Create(recordPath)
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	return &rig{record: &record{file: file, start: time.Now()}, root: root, dir: dir, runLine: string(match[1]), trouble: os.Getenv("TROUBLE") != "0"}
}

// close ends all processes that still run, and removes the folder.
func (r *rig) close() {
	r.mu.Lock()
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	os.RemoveAll(r.dir)
}

// freeAddresses counts the addresses that freeAddress has returned.
var freeAddresses atomic.Uint32

// freeAddress returns a loopback address that nobody listens at, with an IP of its own.
func freeAddress() string {
	n, pid := freeAddresses.Add(1), os.Getpid()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 10+pid>>8%200, pid%250+1, n%250+1))
	must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// gateway is one process of a gateway.
type gateway struct {
	*rig
	name, addr, control string
	config              map[string]any
	path                string
	command             *exec.Cmd
	ended               chan error
	expectEnd           atomic.Bool
	hasEnded            atomic.Bool
}

// writeConfig writes the configuration file of a gateway, whole or not at all.
func (g *gateway) writeConfig() {
	text, err := json.MarshalIndent(g.config, "", " ")
	must(err)
	must(os.WriteFile(g.path+".new", text, 0o600))
	must(os.Rename(g.path+".new", g.path))
}

// start starts a gateway by the command of the deploy file. listener, if not nil, is the clients' socket that the platform
// holds; it is inherited as descriptor 7.
func (r *rig) start(name, tmp string, config map[string]any, listener *os.File) *gateway {
	g := &gateway{rig: r, name: name, config: config, path: filepath.Join(r.dir, name+".json"), ended: make(chan error, 1)}
	g.addr, _ = config["listen"].(string)
	g.control, _ = config["control"].(string)
	g.writeConfig()
	g.command = exec.Command("/bin/sh", "-c", r.runLine)
	g.command.Dir = r.root
	must(os.MkdirAll(tmp, 0o700))
	g.command.Env = append(os.Environ(), "BALANCER_CONFIG="+g.path, "TMPDIR="+tmp)
	if listener != nil {
		null, err := os.Open(os.DevNull)
		must(err)
		defer null.Close()
		g.command.ExtraFiles = []*os.File{null, null, null, null, listener}
		g.command.Env = append(g.command.Env, "BALANCER_ACCEPT_FD=7")
	}
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	g.command.Stdout, g.command.Stderr = log, log
	must(g.command.Start())
	log.Close()
	r.add("platform: %s started", name)
	go func() {
		err := g.command.Wait()
		g.hasEnded.Store(true)
		r.add("platform: %s ended, asked %t: %v", name, g.expectEnd.Load(), err)
		g.ended <- err
	}()
	r.mu.Lock()
	r.processes = append(r.processes, g)
	r.mu.Unlock()
	return g
}

// signal sends a signal to the process of a gateway.
func (g *gateway) signal(sig syscall.Signal) {
	g.add("platform: %s gets %v", g.name, sig)
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		g.expectEnd.Store(true)
	}
	g.command.Process.Signal(sig)
}

// kill ends the process if it runs.
func (g *gateway) kill() {
	if !g.hasEnded.Load() {
		g.expectEnd.Store(true)
		g.command.Process.Signal(syscall.SIGKILL)
		select {
		case <-g.ended:
		case <-time.After(2 * time.Second):
		}
	}
}

// crashed reports whether the process has ended unasked.
func (g *gateway) crashed() bool { return g.hasEnded.Load() && !g.expectEnd.Load() }

// awaitReady waits until the gateway answers that it is ready.
func (g *gateway) awaitReady(timeout time.Duration) bool {
	url := "http://" + g.addr + "/ready"
	if g.control != "" {
		url = "http://" + g.control + "/-/ready"
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end) && !g.hasEnded.Load(); time.Sleep(5 * time.Millisecond) {
		if response, err := client.Get(url); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				g.add("platform: %s is ready", g.name)
				return true
			}
		}
	}
	return false
}

// entry is a host in the list of discovery.
type entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// list is an answer of discovery.
type list struct {
	Rev     int     `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

// registry is what discovery knows; it may be served at several addresses.
type registry struct {
	*record
	mu      sync.Mutex
	rev     int
	entries map[string]entry
	changed map[string]int // by uid: version of the last change
	order   []string
	news    chan struct{} // closed at the next change
}

// newRegistry returns a registry of hosts.
func newRegistry(r *record, entries []entry) *registry {
	g := &registry{record: r, rev: 1, entries: map[string]entry{}, changed: map[string]int{}, news: make(chan struct{})}
	for _, e := range entries {
		g.entries[e.UID], g.changed[e.UID] = e, 1
		g.order = append(g.order, e.UID)
	}
	return g
}

// set changes the entry of a host.
func (g *registry) set(e entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rev++
	if _, known := g.entries[e.UID]; !known {
		g.order = append(g.order, e.UID)
	}
	g.entries[e.UID], g.changed[e.UID] = e, g.rev
	g.add("discovery: version %d: %s is %s", g.rev, e.UID, e.State)
	close(g.news)
	g.news = make(chan struct{})
}

// setState changes the state of a host.
func (g *registry) setState(uid, state string) {
	g.mu.Lock()
	e := g.entries[uid]
	g.mu.Unlock()
	e.State = state
	g.set(e)
}

// whole returns the whole list; hosts that drain are left out if omitDraining is set.
func (g *registry) whole(omitDraining bool) list {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := list{Rev: g.rev, All: true, Targets: []entry{}}
	for _, uid := range g.order {
		if e := g.entries[uid]; e.State == "in_service" || e.State == "terminating" && !omitDraining {
			l.Targets = append(l.Targets, e)
		}
	}
	return l
}

// since returns what has changed since a version, and a channel that is closed at the next change.
func (g *registry) since(rev int) (list, chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := list{Rev: g.rev, Targets: []entry{}}
	for _, uid := range g.order {
		if g.changed[uid] > rev {
			l.Targets = append(l.Targets, g.entries[uid])
		}
	}
	return l, g.news
}

// discovery serves a registry at one address.
type discovery struct {
	*registry
	name         string
	server       *http.Server
	listener     net.Listener
	addr         string
	delay        atomic.Int64                // for which a call waits its turn, in ns
	wholeAnswers atomic.Bool                 // watches are answered with the whole list
	omitDraining atomic.Bool                 // whole lists leave out hosts that drain
	onAnswer     func(caller string, l list) // called when an answer is written
}

// startDiscovery serves a registry.
func (r *rig) startDiscovery(name string, registry *registry) *discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &discovery{registry: registry, name: name, listener: ln, addr: ln.Addr().String()}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(ln)
	return d
}

// serve answers one call.
func (d *discovery) serve(w http.ResponseWriter, request *http.Request) {
	query, answer := request.URL.Query(), list{}
	time.Sleep(time.Duration(d.delay.Load()))
	if query.Has("index") {
		rev, _ := strconv.Atoi(query.Get("index"))
		wait, _ := strconv.Atoi(query.Get("wait"))
		timeout := time.After(time.Duration(wait) * time.Millisecond)
		for {
			changes, news := d.since(rev)
			answer = changes
			if changes.Rev > rev {
				break
			}
			select {
			case <-news:
				continue
			case <-timeout:
			case <-request.Context().Done():
				return
			}
			break
		}
		if answer.Rev > rev && d.wholeAnswers.Load() {
			answer = d.whole(d.omitDraining.Load())
		}
	} else {
		answer = d.whole(d.omitDraining.Load())
	}
	text, err := json.Marshal(answer)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err == nil {
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		if len(answer.Targets) > 0 {
			d.add("discovery %s: answer to %s: %s", d.name, request.RemoteAddr, text)
		}
		if d.onAnswer != nil {
			d.onAnswer(request.RemoteAddr, answer)
		}
	}
}

// run is an attempt that a host got.
type run struct {
	host    string
	trace   string
	key     string
	at      time.Duration // when it came
	expires int
	ran     bool
}

// host is a stand-in host.
type host struct {
	*record
	uid     string
	addr    string
	server  *http.Server
	mu      sync.Mutex
	runs    []run
	work    time.Duration
	handler func(h *host, w http.ResponseWriter, request *http.Request, attempt *run) bool // true if it has dealt with the request
}

// startHost starts a host.
func (r *rig) startHost(uid string, work time.Duration) *host {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	h := &host{record: r.record, uid: uid, addr: ln.Addr().String(), work: work}
	h.server = &http.Server{Handler: http.HandlerFunc(h.serve), IdleTimeout: 15 * time.Second}
	go h.server.Serve(ln)
	return h
}

// serve runs one request.
func (h *host) serve(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" || request.URL.Path == "/status/load" {
		io.WriteString(w, "inflight=0, queue=0")
		return
	}
	attempt := run{host: h.uid, trace: request.Header.Get("X-Trace-Id"), key: request.Header.Get("Idempotency-Key"), at: h.now(), ran: true}
	attempt.expires, _ = strconv.Atoi(request.Header.Get("X-Expires-In-Ms"))
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	defer func() {
		h.mu.Lock()
		h.runs = append(h.runs, attempt)
		h.mu.Unlock()
	}()
	h.add("host %s: %s %s %s", h.uid, request.Method, request.URL.Path, attempt.trace)
	if h.handler != nil && h.handler(h, w, request, &attempt) {
		return
	}
	time.Sleep(h.work)
	body := answerBody(attempt.trace)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(w, body)
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// all returns what the host has run.
func (h *host) all() []run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]run(nil), h.runs...)
}

// answerBody is what a host answers to a request.
func answerBody(trace string) string { return strings.Repeat(trace+" ", 8) }

// call is a request of a client and its answer.
type call struct {
	trace, profile string
	sentAt         time.Duration
	endedAt        time.Duration
	status         int // 0 if there was no whole answer
	wrong          bool
}

// traces numbers the requests.
var traces atomic.Uint64

// newTrace returns an id that was not used before.
func newTrace() string { return fmt.Sprintf("%08x%08x", os.Getpid(), traces.Add(1)) }

// ask sends a request on a connection of its own and reads the answer.
func (r *rig) ask(addr, method, profile string, keyed bool, budget time.Duration) call {
	c := call{trace: newTrace(), profile: profile, sentAt: r.now()}
	fields := ""
	if keyed {
		fields = "Idempotency-Key: " + c.trace + "k\r\n"
	}
	if method == "POST" {
		fields += "Content-Length: 2\r\n\r\n{}"
	} else {
		fields += "\r\n"
	}
	r.add("client: %s /%s %s", method, profile, c.trace)
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err == nil {
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(budget + 2*time.Second))
		_, err = fmt.Fprintf(conn, "%s /%s HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n%s",
			method, profile, c.trace, profile, budget.Milliseconds(), fields)
	}
	var response *http.Response
	var body []byte
	if err == nil {
		response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	}
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	c.endedAt = r.now()
	if err == nil {
		c.status = response.StatusCode
		c.wrong = c.status == 200 && string(body) != answerBody(c.trace)
	}
	r.add("client: %s ends with %d, %v", c.trace, c.status, err)
	return c
}

// sendAtOnce sends a request on a connection of its own and returns the answer.
func (r *rig) sendAtOnce(addr, request string) (status int, text string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, ""
	}
	defer conn.Close()
	io.WriteString(conn, request)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// every calls f in a goroutine of its own at an interval until stop is closed, and waits for all of them then.
func every(interval time.Duration, stop chan struct{}, f func()) *sync.WaitGroup {
	var open sync.WaitGroup
	open.Add(1)
	go func() {
		defer open.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				open.Add(1)
				go func() {
					defer open.Done()
					f()
				}()
			case <-stop:
				return
			}
		}
	}()
	return &open
}

// object is a JSON object.
type object = map[string]any

// settings returns the settings of a small deployment; the callers change what their case needs.
func settings(gateways, me int) object {
	return object{"balancers": gateways, "me": me, "myZone": "solo", "dcs": []string{"solo"}, "discovery": "subscribe", "family": "proxy",
		"blend": object{"whole": 0.6, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.2}, "clients": object{"marksRetry": false},
		"kinds": []string{"big-box"}, "parties": []string{}, "tick": 5000, "tier": 0, "weights": "none", "revenueBy": "request",
		"stages": []string{"order-web"}, "specifics": object{"warmKeys": false}, "overageRevenue": 0.05,
		"limits": object{"cancelling": true, "connIdle": 15000000, "connectTimeout": 200000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000,
			"maxRetryAfter": 2000000, "mayTell": gateways > 1, "mostHeld": 20000, "mostHops": 6, "probes": true, "retryAfter": false,
			"secondCopies": true, "streamsPerConn": 1},
		"obligations": object{"askWithin": 10000000, "coldFrom": 0.32, "drainGrace": 2000000, "fallMultiple": 4.0, "graceToAnswer": 20000,
			"tipAfter": 1000000, "warmUp": 8900000},
		"prices": object{"connection": 0.0, "crossZone": 0.22, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.08, "moves": 0.0, "origin": 0.0,
			"peer": 0.0097, "probe": 0.0085, "waste": 0.12},
		"report": object{"fields": []string{"rif", "q"}, "via": "probe"},
		"profiles": []object{
			{"name": "order-look", "effect": "idempotent", "group": "all", "hardLimit": 2000000, "lateRevenue": 0.0, "revenue": 1.0, "serviceGoal": 800000,
				"streamed": false, "window": 0},
			{"name": "order-update", "effect": "deduplicated", "group": "cell", "hardLimit": 2000000, "lateRevenue": 0.0, "revenue": 8.0,
				"serviceGoal": 1000000, "streamed": false, "window": 1200000},
			{"name": "order-confirm", "effect": "at_most_once", "group": "all", "hardLimit": 2500000, "lateRevenue": 0.0, "revenue": 24.0,
				"serviceGoal": 1000000, "streamed": false, "window": 5000000}}}
}

// config returns the configuration of a gateway.
func config(name, discovery string, settings object, known any) object {
	c := object{"name": name, "listen": freeAddress(), "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": object{"cores": 1.0, "memory_mb": 128, "sockets": 512}, "settings": settings}
	if known != nil {
		c["known"] = known
	}
	return c
}
