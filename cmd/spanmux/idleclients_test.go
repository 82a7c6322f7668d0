package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// idleClients keep a gateway full of idle connections until stopped: each connects again when its connection is closed. Every other one sends
// nothing. The others keep their connection after one response: to a transaction at first, later to a readiness check.
type idleClients struct {
	stop     chan bool
	running  sync.WaitGroup
	open     atomic.Int64 // connections
	answered atomic.Int64 // responses received
}

// startIdleClients starts a number of clients of the gateway at an address.
func startIdleClients(addr string, count int) *idleClients {
	clients := &idleClients{stop: make(chan bool)}
	clients.running.Add(count)
	for n := range count {
		go func() {
			defer clients.running.Done()
			for i := 0; ; i++ {
				select {
				case <-clients.stop:
					return
				case <-time.After(500 * time.Millisecond): // so that they use up the gateway's sockets and not the machine's cores
				}
				if conn, err := net.Dial("tcp", addr); err == nil {
					clients.hold(conn, n, i)
				}
			}
		}()
	}
	return clients
}

// hold keeps a connection until it is closed or the clients are stopped. client and connection are the numbers of the client and of its
// connection, from 0.
func (c *idleClients) hold(conn net.Conn, client, connection int) {
	c.open.Add(1)
	defer c.open.Add(-1)
	defer conn.Close()
	closed := make(chan bool)
	go func() {
		defer close(closed)
		if client%2 == 0 {
			path := "read"
			if connection > 0 { // transactions would be load
				path = "ready"
			}
			fmt.Fprintf(conn, "GET /%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: idle-%d\r\nX-Qos: read\r\nX-Expires-In-Ms: 1000\r\n\r\n", path, client)
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				c.answered.Add(1)
				io.Copy(io.Discard, response.Body)
			}
		}
		conn.Read(make([]byte, 1))
	}()
	select {
	case <-c.stop:
	case <-closed:
	}
}

// stopAll stops the clients and waits until all have ended.
func (c *idleClients) stopAll() {
	close(c.stop)
	c.running.Wait()
}

// adminAnswers reports whether the admin API responds within a second, with a body that has the prefix.
func adminAnswers(admin, path, prefix string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + admin + "/-/" + path)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return err == nil && strings.HasPrefix(string(text), prefix)
}

// Idle clients take all client connections of a gateway limited to 100 sockets, and keep coming, while discovery is down: some have sent nothing,
// some keep their connection between transactions. All the same the admin API responds, discovery is called as soon as it is back, hosts are
// reached, new clients get their transactions served, and the gateway stays within its socket limit.
// Guards against hops failing while all sockets for hosts are in use for a moment: such a hop counted as one to a host that is down, and the
// circuit breakers of all good hosts opened. Now it waits for a socket, and if it gets none its host is not blamed.
// Checked for a process alone, and for one that shares its listener and accepts no client before it has a host list.
func Example_idleClientsFill() {
	for _, sharesListener := range []bool{false, true} {
		socketLimit := map[bool]int64{false: 100, true: 200}[sharesListener] // a process that shares its listener uses half at its start
		host := startDiscovery(6, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond) // longer than the delays that a busy machine adds
			io.WriteString(w, "answer")
		})
		dir, _ := os.MkdirTemp("", "spanmux")
		defer os.RemoveAll(dir)
		discovery, admin, addr := freeAddress(), freeAddress(), freeAddress()
		var files []*os.File
		if sharesListener {
			var folder string
			var socket *os.File
			addr, socket, folder = sharedListener()
			defer os.RemoveAll(folder)
			files = []*os.File{socket}
		}
		p := processCommand(dir, 1, int(socketLimit), 1, map[string]any{"listen": addr, "control": admin, "discovery": discovery}, files...)
		log, err := os.CreateTemp(dir, "log")
		if err != nil {
			panic(err)
		}
		defer log.Close()
		p.Stderr = log
		if err := p.Start(); err != nil {
			panic(err)
		}
		up := eventually(func() bool { return adminAnswers(admin, "ready", "no") })
		idle := startIdleClients(addr, 3*int(socketLimit)/2)
		maxOpen := int64(0)
		watchDone := make(chan bool)
		go func() {
			defer close(watchDone)
			for p.ProcessState == nil {
				maxOpen = max(maxOpen, int64(openSockets(p)))
				select {
				case <-idle.stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
		}()
		filled := eventually(func() bool {
			return idle.open.Load() > 40 && (sharesListener || int64(openSockets(p)) >= 40 && idle.answered.Load() > socketLimit/4) // 41 sockets are for clients
		})
		adminOK := 0
		for range 20 {
			if adminAnswers(admin, "ready", "no") && adminAnswers(admin, "metrics", `{"succeeded"`) {
				adminOK++
			}
			time.Sleep(50 * time.Millisecond)
		}
		fmt.Println("shares its listener:", sharesListener, "up:", up, "filled:", filled, "admin responses, of 20:", adminOK)
		listener, err := net.Listen("tcp", discovery) // discovery is back
		if err != nil {
			panic(err)
		}
		go forwardConnections(listener, host)
		discoveryBack := time.Now()
		ready := eventually(func() bool { return adminAnswers(admin, "ready", "yes") })
		fmt.Println("ready:", ready, "soon:", time.Since(discoveryBack) < 6*time.Second)
		var served atomic.Int64
		var senders sync.WaitGroup
		for n := range 4 {
			senders.Add(1)
			go func() {
				defer senders.Done()
				for i := range 15 {
					served.Add(sendRequest(addr, fmt.Sprint(n, "-", i)))
				}
			}()
		}
		senders.Wait()
		if served.Load() < 60 { // the log says why requests were rejected
			text, _ := os.ReadFile(log.Name())
			os.Stderr.Write(text)
		}
		var metrics struct{ Ejected int }
		json.Unmarshal([]byte(adminRequest("GET", admin, "metrics")), &metrics)
		fmt.Println("served, of 60:", served.Load(), "admin responds:", adminAnswers(admin, "ready", "yes"), "hosts ejected:", metrics.Ejected)
		idle.stopAll()
		<-watchDone
		fmt.Println("over its socket limit:", maxOpen > socketLimit, "filled:", maxOpen > socketLimit/3)
		p.Process.Signal(syscall.SIGTERM)
		fmt.Println("ended:", p.Wait())
		listener.Close()
	}
	// Output:
	// shares its listener: false up: true filled: true admin responses, of 20: 20
	// ready: true soon: true
	// served, of 60: 60 admin responds: true hosts ejected: 0
	// over its socket limit: false filled: true
	// ended: <nil>
	// shares its listener: true up: true filled: true admin responses, of 20: 20
	// ready: true soon: true
	// served, of 60: 60 admin responds: true hosts ejected: 0
	// over its socket limit: false filled: true
	// ended: <nil>
}

// forwardConnections forwards the connections of a listener to an address.
func forwardConnections(listener net.Listener, to string) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer client.Close()
			server, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go io.Copy(server, client)
			io.Copy(client, server)
			server.Close()
		}()
	}
}

// sendRequest sends a request on a new connection and returns 1 if it is served within two seconds, 0 if not.
func sendRequest(addr, traceID string) int64 {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "GET /read HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: read\r\nX-Expires-In-Ms: 1900\r\n\r\n", traceID)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != 200 {
		if err == nil {
			text, _ := io.ReadAll(response.Body)
			err = fmt.Errorf("%s %s", response.Status, text)
		}
		fmt.Fprintln(os.Stderr, "not served:", traceID, err)
		return 0
	}
	text, err := io.ReadAll(response.Body)
	if err != nil || string(text) != "answer" {
		return 0
	}
	return 1
}
