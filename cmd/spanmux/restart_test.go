package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// overloadedDiscovery is a discovery server that lists many hosts, is slow to send a list, and rejects calls beyond a number at a time, as one
// that all gateways call at the same moment. Watches, which wait for changes, don't count.
type overloadedDiscovery struct {
	addr                string
	server              *httptest.Server
	list                []byte
	slots               chan bool
	delay               time.Duration
	listsSent, rejected atomic.Int64
}

// startOverloadedDiscovery lists a number of hosts, sends as many lists at a time as there are slots, and takes the delay for each.
func startOverloadedDiscovery(hosts, slots int, delay time.Duration) *overloadedDiscovery {
	var targets []string
	for i := range hosts {
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%08x","endpoint":"127.0.%d.%d:5000","az":"a","model":"m2","pod_group":%d,"state":"in_service","capacity_hint":1.0,"boot_ms":0}`,
			i, i>>8, i&255, i%7))
	}
	d := &overloadedDiscovery{slots: make(chan bool, slots), delay: delay, list: []byte(`{"rev":1,"all":true,"targets":[` + strings.Join(targets, ",\n ") + `]}`)}
	d.server = httptest.NewServer(d)
	d.addr = strings.TrimPrefix(d.server.URL, "http://")
	return d
}

func (d *overloadedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("index") {
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait") + "ms")
		select {
		case <-time.After(wait):
			fmt.Fprint(w, `{"rev":1,"all":false,"targets":[]}`)
		case <-r.Context().Done():
		}
		return
	}
	select {
	case d.slots <- true:
		defer func() { <-d.slots }()
	default:
		d.rejected.Add(1)
		http.Error(w, "too many callers", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(d.list)))
	for n := range 4 {
		time.Sleep(d.delay / 4)
		w.Write(d.list[n*len(d.list)/4 : (n+1)*len(d.list)/4])
		http.NewResponseController(w).Flush()
	}
	d.listsSent.Add(1)
}

// Nine in ten of thirty processes that are restarted at once are ready within ten seconds, though discovery is slow, rejects most calls and
// lists ten thousand hosts. Calls used to be given up 1.5 s after their start: where discovery took 2 s to send its list no process was ever
// ready, each time with most of the list received.
func Example_restartedAtOnce() {
	restartAtOnce(4*restartedProcesses/30, 400*time.Millisecond)
	restartAtOnce(restartedProcesses/2, 2*time.Second)
	// Output:
	// nine in ten: true calls were rejected: true
	// ended, all: true
	// nine in ten: true calls were rejected: true
	// ended, all: true
}

// restartAtOnce starts all processes at once, with a discovery server of so many slots and that delay for each list, and prints the results.
func restartAtOnce(slots int, listDelay time.Duration) {
	const gateways, hosts = restartedProcesses, 10_000
	discovery := startOverloadedDiscovery(hosts, slots, listDelay)
	defer discovery.server.Close()
	dir, _ := os.MkdirTemp("", "spanmux")
	defer os.RemoveAll(dir)
	ready := func(addr string) bool {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + addr + "/ready")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		io.Copy(io.Discard, response.Body)
		return response.StatusCode == 200
	}
	var addrs [gateways]string
	for i := range addrs {
		addrs[i] = freeAddress()
	}
	var readyAfter [gateways]time.Duration
	var processes [gateways]*exec.Cmd
	var waiters sync.WaitGroup
	began := time.Now()
	for i := range gateways {
		processes[i] = startProcess(dir, i, 200, gateways, map[string]any{"listen": addrs[i], "discovery": discovery.addr})
		waiters.Add(1)
		go func() {
			defer waiters.Done()
			for readyAfter[i] = time.Minute; time.Since(began) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
				if ready(addrs[i]) {
					readyAfter[i] = time.Since(began)
					return
				}
			}
		}()
	}
	waiters.Wait()
	readyInTime, last := 0, time.Duration(0)
	for _, t := range readyAfter {
		if last = max(last, t); t <= 10*time.Second {
			readyInTime++
		}
	}
	fmt.Fprintln(os.Stderr, "ready within 10 s:", readyInTime, "last:", last, "lists:", discovery.listsSent.Load(), "rejected:", discovery.rejected.Load())
	fmt.Println("nine in ten:", 10*readyInTime >= 9*gateways, "calls were rejected:", discovery.rejected.Load() >= gateways/3)
	for _, p := range processes {
		p.Process.Signal(syscall.SIGTERM)
	}
	ended := 0
	for _, p := range processes {
		if p.Wait() == nil {
			ended++
		}
	}
	fmt.Println("ended, all:", ended == gateways)
}
