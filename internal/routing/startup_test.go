package routing

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"spanmux/internal/protocol"
	"spanmux/logic"
)

// earlyInput is one input that a process may get before its decision core exists, and the channel that is closed once it is handled.
type earlyInput struct {
	name    string
	handled chan struct{}
}

// startEarly has handle called in a goroutine of its own.
func startEarly(name string, handle func()) earlyInput {
	input := earlyInput{name, make(chan struct{})}
	go func() {
		defer close(input.handled)
		handle()
	}()
	return input
}

// Input of every source that is open before Start waits for the decision core, and is then handled. A call of the core that did not exist
// yet ended the process.
func TestInputBeforeStart(t *testing.T) {
	g := &testGateway{discoveryResponses: make(chan string, 9)}
	host := g.startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serveHost("one", w, r) }))
	d, err := NewDispatcher([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.ConfigureListener(ln, true, 400, 0, 2<<20)
	peer := netip.MustParseAddrPort("127.0.0.1:8")
	d.peers.indexByAddr = map[netip.AddrPort]int{peer: 1}
	client, adopted := tcpPair(t)

	inputs := []earlyInput{
		startEarly("message of a peer", func() { d.datagramReceived(peer, make([]byte, 10)) }),
		startEarly("query of the next process", func() {
			query, _ := json.Marshal(handoverRecord{RequestsLearnedState: true})
			var state logic.LearnedState
			if err := json.Unmarshal(d.adopt(query, nil, nil), &state); err != nil {
				t.Error("no learned state:", err)
			}
		}),
		startEarly("metrics", func() { d.MetricsJSON() }),
		startEarly("request of the previous process", func() {
			d.adopt(nil, []byte(requestText("read", "go", "")), []net.Conn{adopted})
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				t.Error("no response:", err)
				return
			}
			if text, _ := io.ReadAll(response.Body); response.StatusCode != 200 || len(text) == 0 {
				t.Error("response:", response.Status, string(text))
			}
		}),
	}
	time.Sleep(50 * time.Millisecond) // an input that does not wait is handled in far less
	for _, input := range inputs {
		select {
		case <-input.handled:
			t.Error("handled before the start:", input.name)
		default:
		}
	}
	d.Start(7, "127.0.0.1:1", &protocol.HostList{Revision: 1, Full: true, Hosts: []protocol.HostEntry{{UID: "one", Endpoint: host, Zone: "a", State: "in_service"}}})
	for _, input := range inputs {
		select {
		case <-input.handled:
		case <-time.After(2 * time.Second):
			t.Error("not handled after the start:", input.name)
		}
	}
	if n := d.Counters.PeerMessagesReceived.Load(); n != 1 {
		t.Error("messages of peers received:", n)
	}
}

// tcpPair returns the two ends of a TCP connection on loopback.
func tcpPair(t *testing.T) (client, server net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	return client, server
}
