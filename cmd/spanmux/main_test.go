package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// On SIGHUP the gateway reads its file again and calls discovery at its new address. It keeps running whatever the file holds by then.
// SIGTERM ends it.
func Example_run() {
	calls := make(chan string, 9)
	discovery := func(name string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls <- name + ": " + r.URL.Path
			<-r.Context().Done()
		}))
		return strings.TrimPrefix(server.URL, "http://")
	}
	listener, _ := net.Listen("tcp", "127.0.0.1:0")
	listener.Close()
	dir, _ := os.MkdirTemp("", "spanmux")
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "config.json")
	writeConfig := func(text string) { os.WriteFile(path, []byte(text), 0o600) }
	configText := func(discovery string) string {
		text, _ := json.Marshal(map[string]any{"listen": listener.Addr().String(), "discovery": discovery, "seed": "7",
			"settings": json.RawMessage(`{"balancers":1,"dcs":["a"],"myZone":"a","discovery":"subscribe",` +
				`"obligations":{"askWithin":1000},"limits":{"mostHops":2},"profiles":[` +
				`{"name":"read","effect":"idempotent","serviceGoal":2000000,"hardLimit":2000000,"revenue":1}]}`)})
		return string(text)
	}
	printNextCall := func() {
		select {
		case call := <-calls:
			fmt.Println(call)
		case <-time.After(5 * time.Second):
			fmt.Println("no call")
		}
	}
	writeConfig(configText(discovery("first")))
	ended := make(chan error)
	go func() { ended <- run(path, io.Discard) }()
	printNextCall()
	moved := configText(discovery("second"))
	for _, text := range []string{moved[:len(moved)-9], "{}", moved} {
		writeConfig(text)
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(20 * time.Millisecond) // so that each file gets a signal of its own
	}
	printNextCall()
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	fmt.Println("ended, error:", <-ended)
	// Output:
	// first: /v1/endpoints
	// second: /v1/endpoints
	// ended, error: <nil>
}

// A gateway with peers does not start where the settings allow no peer messages; the error names the key.
func Example_run_peersNotAllowed() {
	dir, _ := os.MkdirTemp("", "spanmux")
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "config.json")
	os.WriteFile(path, []byte(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"7","peers":["127.0.0.1:8"],`+
		`"settings":{"balancers":30,"limits":{"secondCopies":false}}}`), 0o600)
	fmt.Println(run(path, io.Discard))
	// Output: settings: peers: not allowed without limits.mayTell
}
