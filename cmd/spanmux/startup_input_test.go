package main

import (
	"encoding/json"
	"net"
	"testing"
	"time"
)

// sendPeerMessages sends a valid message from one peer to another every 50 µs, until stop is closed. The receiver need not listen yet.
func sendPeerMessages(from *net.UDPConn, to string, stop chan bool) {
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		panic(err)
	}
	message := make([]byte, 10) // one entry: no hops in flight at a host
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Microsecond):
			from.WriteToUDP(message, addr)
		}
	}
}

// A restarted process must survive messages that its peers send while it starts: the peers know its address from before, and do not know of
// the restart. It used to call the decision core before that was created, and ended with a nil dereference.
func TestPeerMessagesDuringStartup(t *testing.T) {
	const starts = 3
	own, peer := freeAddress(), freeAddress()
	peerAddr, err := net.ResolveUDPAddr("udp", peer)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", peerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	stop := make(chan bool)
	defer close(stop)
	go sendPeerMessages(socket, own, stop)
	for start := range starts {
		addr := freeAddress()
		settings := `{"balancers":2,"me":0,"dcs":["a"],"myZone":"a","discovery":"subscribe","obligations":{"askWithin":10000000},` +
			`"limits":{"mostHops":2,"mayTell":true},"profiles":[{"name":"read","effect":"idempotent","serviceGoal":1000000,"hardLimit":2000000,"revenue":1}]}`
		p := startCommand(t, processCommand(t.TempDir(), start, 200, 2, map[string]any{"listen": addr, "discovery": "127.0.0.1:9", "peer_listen": own,
			"peers": []string{own, peer}, "settings": json.RawMessage(settings), "known": json.RawMessage(hostListText(10_000))}))
		if !p.becomesReady(addr) {
			t.Errorf("start %d: not ready", start)
		}
		select {
		case err := <-p.ended:
			t.Fatalf("start %d: the process ended: %v", start, err)
		default:
		}
		p.Process.Kill()
		<-p.ended
	}
}
