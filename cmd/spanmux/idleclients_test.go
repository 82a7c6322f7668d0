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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// process starts the program as a process of its own, told what is given beside the usual; limits are its sockets.
func process(dir string, n, sockets, gateways int, told map[string]any, files ...*os.File) *exec.Cmd {
	all := map[string]any{"name": fmt.Sprint(n), "listen": "127.0.0.1:1", "seed": fmt.Sprintf("%x", 7+n), "limits": map[string]any{"sockets": sockets, "memory_mb": 64},
		"settings": json.RawMessage(fmt.Sprintf(`{"balancers":%d,"me":%d,"dcs":["a"],"myZone":"a","discovery":"subscribe",`+
			`"obligations":{"askWithin":10000000,"drainGrace":400000},"limits":{"mostHops":2,"connectTimeout":300000,"connIdle":4000000},"profiles":[`+
			`{"name":"read","effect":"idempotent","serviceGoal":1000000,"hardLimit":2000000,"revenue":1}]}`, gateways, n%gateways))}
	for key, value := range told {
		all[key] = value
	}
	text, err := json.Marshal(all)
	path := filepath.Join(dir, fmt.Sprint("told", n))
	if err != nil || os.WriteFile(path, text, 0o600) != nil {
		panic("the file of what the gateway is told")
	}
	p := exec.Command(os.Args[0])
	p.Env = append(os.Environ(), "SPANMUX_TEST_RUN=1", "BALANCER_CONFIG="+path, "TMPDIR="+dir)
	if p.ExtraFiles = files; len(files) > 0 {
		p.Env = append(p.Env, "BALANCER_ACCEPT_FD=3")
	}
	if err := p.Start(); err != nil {
		panic(err)
	}
	return p
}

// sockets is how many a process has open.
func sockets(p *exec.Cmd) (n int) {
	dir := fmt.Sprintf("/proc/%d/fd", p.Process.Pid)
	names, _ := os.ReadDir(dir)
	for _, name := range names {
		if to, _ := os.Readlink(filepath.Join(dir, name.Name())); strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// idlers are clients that fill a gateway for as long as they are let: they come again as soon as they are closed. Every other one says
// nothing, the others keep their connection after one answer: to a transaction first, later to a look whether the gateway is ready.
type idlers struct {
	stop   chan bool
	all    sync.WaitGroup
	holds  atomic.Int64 // connections open
	spoken atomic.Int64 // answers had
}

func fill(addr string, many int) *idlers {
	f := &idlers{stop: make(chan bool)}
	f.all.Add(many)
	for n := range many {
		go func() {
			defer f.all.Done()
			for i := 0; ; i++ {
				select {
				case <-f.stop:
					return
				case <-time.After(500 * time.Millisecond): // or they would have the machine's cores, not the gateway's sockets
				}
				if nc, err := net.Dial("tcp", addr); err == nil {
					f.hold(nc, n, i)
				}
			}
		}()
	}
	return f
}

func (f *idlers) hold(nc net.Conn, n, i int) {
	f.holds.Add(1)
	defer f.holds.Add(-1)
	defer nc.Close()
	closed := make(chan bool)
	go func() {
		defer close(closed)
		if n%2 == 0 {
			path := "read"
			if i > 0 { // as transactions they would be load, not idle
				path = "ready"
			}
			fmt.Fprintf(nc, "GET /%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: idle-%d\r\nX-Qos: read\r\nX-Expires-In-Ms: 1000\r\n\r\n", path, n)
			if answer, err := http.ReadResponse(bufio.NewReader(nc), nil); err == nil {
				f.spoken.Add(1)
				io.Copy(io.Discard, answer.Body)
			}
		}
		nc.Read(make([]byte, 1))
	}()
	select {
	case <-f.stop:
	case <-closed:
	}
}

func (f *idlers) end() {
	close(f.stop)
	f.all.Wait()
}

// within tells whether an operator is answered within a second.
func within(door, what, wanted string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + door + "/-/" + what)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return err == nil && strings.HasPrefix(string(text), wanted)
}

// Idle clients take all that a gateway of 100 sockets gives clients, and go on coming, while discovery is down: some have said nothing, some keep
// their connection between transactions. They must not close the ways that are not theirs: the operators' door answers, discovery is asked as
// soon as it is back, hosts are reached, and who comes with a transaction gets it served. Nor may the gateway go over its sockets.
// Where hosts' part of the sockets was in use for a moment, a hop ended as one whose host is not there, and the breakers of all good hosts opened:
// it waits in line now, and where that is in vain nothing is held against its host.
// So for a process alone, and for one that shares its listener: that takes no client off it before it has a list.
func Example_idleClientsFill() {
	for _, shares := range []bool{false, true} {
		limit := map[bool]int64{false: 100, true: 200}[shares] // of which one that shares takes half at its start
		host := listing(6, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond) // some work, over what a busy machine adds to it
			io.WriteString(w, "answer")
		})
		dir, _ := os.MkdirTemp("", "spanmux")
		defer os.RemoveAll(dir)
		discovery, door, addr := free(), free(), free()
		var files []*os.File
		if shares {
			var folder string
			var socket *os.File
			addr, socket, folder = shared()
			defer os.RemoveAll(folder)
			files = []*os.File{socket}
		}
		p := process(dir, 1, int(limit), 1, map[string]any{"listen": addr, "control": door, "discovery": discovery}, files...)
		up := soon(func() bool { return within(door, "ready", "no") })
		crowd := fill(addr, 3*int(limit)/2)
		most := int64(0)
		watched := make(chan bool)
		go func() {
			defer close(watched)
			for p.ProcessState == nil {
				most = max(most, int64(sockets(p)))
				select {
				case <-crowd.stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
		}()
		filled := soon(func() bool {
			return crowd.holds.Load() > 40 && (shares || int64(sockets(p)) >= 40 && crowd.spoken.Load() > limit/4) // 41 are for clients
		})
		open := 0
		for range 20 {
			if within(door, "ready", "no") && within(door, "metrics", `{"succeeded"`) {
				open++
			}
			time.Sleep(50 * time.Millisecond)
		}
		fmt.Println("shares its listener:", shares, "up:", up, "filled:", filled, "door answers, of 20:", open)
		ln, err := net.Listen("tcp", discovery) // discovery returns
		if err != nil {
			panic(err)
		}
		go pass(ln, host)
		back := time.Now()
		ready := soon(func() bool { return within(door, "ready", "yes") })
		fmt.Println("ready:", ready, "soon:", time.Since(back) < 6*time.Second)
		var served atomic.Int64
		var all sync.WaitGroup
		for n := range 4 {
			all.Add(1)
			go func() {
				defer all.Done()
				for i := range 15 {
					served.Add(asks(addr, fmt.Sprint(n, "-", i)))
				}
			}()
		}
		all.Wait()
		var shown struct{ Ejected int }
		json.Unmarshal([]byte(call("GET", door, "metrics")), &shown)
		fmt.Println("served, of 60:", served.Load(), "door answers:", within(door, "ready", "yes"), "hosts barred:", shown.Ejected)
		crowd.end()
		<-watched
		fmt.Println("over its sockets:", most > limit, "were full:", most > limit/3)
		p.Process.Signal(syscall.SIGTERM)
		fmt.Println("ended:", p.Wait())
		ln.Close()
	}
	// Output:
	// shares its listener: false up: true filled: true door answers, of 20: 20
	// ready: true soon: true
	// served, of 60: 60 door answers: true hosts barred: 0
	// over its sockets: false were full: true
	// ended: <nil>
	// shares its listener: true up: true filled: true door answers, of 20: 20
	// ready: true soon: true
	// served, of 60: 60 door answers: true hosts barred: 0
	// over its sockets: false were full: true
	// ended: <nil>
}

// pass passes connections on to an address.
func pass(ln net.Listener, to string) {
	for {
		from, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer from.Close()
			nc, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go io.Copy(nc, from)
			io.Copy(from, nc)
			nc.Close()
		}()
	}
}

// asks asks once on a new connection; it is 1 where that is served within two seconds.
func asks(addr, trace string) int64 {
	nc, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return 0
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(nc, "GET /read HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: read\r\nX-Expires-In-Ms: 1900\r\n\r\n", trace)
	answer, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil || answer.StatusCode != 200 {
		if err == nil {
			text, _ := io.ReadAll(answer.Body)
			err = fmt.Errorf("%s %s", answer.Status, text)
		}
		fmt.Fprintln(os.Stderr, "not served:", trace, err)
		return 0
	}
	text, err := io.ReadAll(answer.Body)
	if err != nil || string(text) != "answer" {
		return 0
	}
	return 1
}
