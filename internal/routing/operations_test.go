package routing

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"spanmux/logic"
)

// Draining loses no request: new ones are answered with Connection: close, idle connections close
// soon, and the gateway is not ready until clients are accepted again. A connection whose response
// announced meanwhile that it closes is closed.
func ExampleDispatcher_SetDraining() {
	gateway := newTestGateway("one")
	ready := func() {
		c := gateway.dial()
		defer c.Close()
		io.WriteString(c, "GET /ready HTTP/1.1\r\n\r\n")
		gateway.logResponse(c, "ready")
	}
	idle, busy, later := gateway.dial(), gateway.dial(), gateway.dial()
	for _, c := range []*clientConn{idle, later} {
		io.WriteString(c, requestText("read", "go", ""))
		gateway.logResponse(c, "before")
	}
	io.WriteString(busy, requestText("read", "slow", ""))
	gateway.waitForLine("one: GET /read?slow")
	drainedAt := time.Now()
	gateway.logf("drain %t, again %t, takes clients %t", gateway.SetDraining(true), gateway.SetDraining(true), gateway.Ready())
	ready()
	gateway.roundTrip("read", "new")
	io.WriteString(later, requestText("read", "later", ""))
	gateway.logResponse(later, "on an open one")
	gateway.logResponse(idle, "idle")
	gateway.logf("within 2 s: %t", time.Since(drainedAt) < 2*time.Second)
	gateway.logResponse(busy, "busy")
	gateway.logf("resume %t, again %t, takes clients %t", gateway.SetDraining(false), gateway.SetDraining(false), gateway.Ready())
	ready()
	gateway.Close()
	gateway.logf("at the end: drain %t, resume %t, takes clients %t", gateway.SetDraining(true), gateway.SetDraining(false), gateway.Ready())
	gateway.printLog()
	// Output:
	// one: GET /read?go ""
	// before: 200 "answer to go"
	// one: GET /read?go ""
	// before: 200 "answer to go"
	// one: GET /read?slow ""
	// drain true, again true, takes clients false
	// ready: 503 "not ready", the last
	// one: GET /read?new ""
	// read new: 200 "answer to new", the last
	// one: GET /read?later ""
	// on an open one: 200 "answer to later", the last
	// idle: closed
	// within 2 s: true
	// busy: 200 "late answer", the last
	// resume true, again true, takes clients true
	// ready: 200 "ready"
	// at the end: drain true, resume false, takes clients false
}

// Each response to a transaction of a known profile counts once, by what its client received; hops
// count once they are written completely, and nothing stays open. A host with an open breaker is
// ejected.
func ExampleDispatcher_MetricsJSON() {
	gateway := newTestGateway("one", "down")
	for _, action := range []string{"go", "go", "error", "decline", "full"} {
		gateway.roundTrip("pay", action)
	}
	gateway.roundTrip("nothing", "go")
	c := gateway.dial()
	io.WriteString(c, strings.Replace(requestText("read", "go", ""), "GET", "POST", 1))
	gateway.logResponse(c, "wrong method")
	c = gateway.dial()
	io.WriteString(c, requestText("read", "wait", ""))
	gateway.waitForLine("one: GET /read?wait")
	// Clients have their responses, and hosts their requests, before the gateway counts them as written.
	gateway.waitFor("all written counted", func() bool {
		return gateway.Counters.OpenTransactions.Load() == 1 && gateway.Counters.HopsWritten.Load() == 6
	})
	fmt.Println(string(gateway.MetricsJSON()))
	c.Close()
	gateway.waitForLine("one: given up")
	gateway.callCore(func(time.Duration) { gateway.discovery.addrByID[7] = "127.0.0.1:1" })
	fmt.Println(string(gateway.MetricsJSON()))
	// Output:
	// {"succeeded":{"order":0,"pay":2,"read":0},"declined":{"order":0,"pay":1,"read":0},"aborted":{"order":0,"pay":2,"read":1},"forwards":6,"outstanding":1,"discovered":2,"ejected":0,"sighup_applied":0,"sighup_rejected":0}
	// {"succeeded":{"order":0,"pay":2,"read":0},"declined":{"order":0,"pay":1,"read":0},"aborted":{"order":0,"pay":2,"read":1},"forwards":6,"outstanding":0,"discovered":3,"ejected":0,"sighup_applied":0,"sighup_rejected":0}
}

// A process requests the learned state from its predecessor and starts with it. If the predecessor
// sends nothing or something invalid, the process starts without it within 2 s.
func ExampleDispatcher_ListenForHandover_learns() {
	dir, err := os.MkdirTemp("", "learns")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "heir")
	startAndReport := func(label string) {
		gateway := newTestGateway("one")
		fmt.Println(label, gateway.ListenForHandover(path))
		gateway.callCore(func(now time.Duration) {
			gateway.core.HostListReceived(now, logic.ListComplete, []logic.Host{{ID: 1, Kind: "box", Zone: "a", State: logic.HostReady}})
			gateway.importPredecessorState(now)
			fmt.Println("profiles learnt:", len(gateway.core.ExportLearned(now).Profiles))
		})
	}
	startAndReport("nobody before:")
	predecessor := newTestGateway("one")
	predecessor.roundTrip("read", "go")
	predecessor.callCore(func(now time.Duration) { fmt.Print("learns: ", len(predecessor.core.ExportLearned(now).Profiles), " ") })
	fmt.Println(predecessor.ListenForHandover(path))
	startAndReport("one before:")
	for label, reply := range map[string]string{"says nothing": "", "nonsense": "\x01\x00\x00\x00\x05abcde", "too much": "\x01\xff\xff\xff\xff", "silent": "-"} {
		os.Remove(path)
		ln, err := net.Listen("unix", path)
		if err != nil {
			panic(err)
		}
		go func() {
			nc, err := ln.Accept()
			if err == nil && reply != "-" {
				io.WriteString(nc, reply)
				nc.Close()
			}
		}()
		gateway, began := newTestGateway("one"), time.Now()
		err = gateway.ListenForHandover(path)
		if err != nil || !gateway.predecessor.receivedAt.IsZero() || time.Since(began) > 2*time.Second {
			fmt.Println(label, err, gateway.predecessor.receivedAt, time.Since(began))
		}
		ln.Close()
	}
	// Output:
	// nobody before: <nil>
	// profiles learnt: 0
	// learns: 1 <nil>
	// one before: <nil>
	// profiles learnt: 1
}

// Requests for a host and their responses are counted, so that it shows if the gateway that picks
// hosts is unresponsive.
func ExampleDispatcher_SendPeerMessage_pickRequests() {
	gateway := newTestGateway("one")
	gateway.callCore(func(time.Duration) {
		gateway.SendPeerMessage(1, []logic.PeerEntry{{Kind: logic.EntryPickRequest, InFlight: 1}, {Kind: logic.EntryPickRequest}, {Kind: logic.EntryInFlight}})
	})
	var peerAddr netip.AddrPort
	for addr, index := range gateway.peers.indexByAddr { // the order doesn't matter: one belongs to the other gateway
		if index == 1 {
			peerAddr = addr
		}
	}
	for msg := range gateway.core.EncodePeerMessages([]logic.PeerEntry{{Kind: logic.EntryPickResponse}, {Kind: logic.EntryInFlight, Host: 1}}) {
		gateway.datagramReceived(peerAddr, msg)
	}
	fmt.Println("asks:", gateway.Counters.PickRequests.Load(), "answered:", gateway.Counters.PickResponses.Load(), "told:", gateway.Counters.PeerMessagesReceived.Load())
	// Output: asks: 2 answered: 1 told: 1
}
