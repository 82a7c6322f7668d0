// Command spanmux is one gateway: it takes in transactions from clients and passes them to hosts.
package main

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"spanmux/internal/config"
	"spanmux/internal/control"
	"spanmux/internal/protocol"
	"spanmux/internal/routing"
	"spanmux/internal/transport"
)

const (
	memoryPart = 0.75 // of the limit that the heap may grow to: stacks, sockets' buffers and files count too
	heapGrowth = 400  // percent before a collection: the heap is small, the memory limit bounds it
)

// told is what a gateway finds in its file of what it is told.
type told struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Control   string `json:"control"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

func main() {
	path := flag.String("config", os.Getenv("BALANCER_CONFIG"), "file with what the gateway is told, as JSON")
	flag.Parse()
	if err := run(*path, os.Stdout); err != nil {
		slog.Error("spanmux ends", "error", err)
		os.Exit(1)
	}
}

// read reads what the gateway is told.
func read(path string) (t told, text []byte, err error) {
	text, err = os.ReadFile(path)
	if err != nil {
		return t, nil, err
	}
	if err = json.Unmarshal(text, &t); err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	t.Control = cmp.Or(t.Control, os.Getenv("BALANCER_CONTROL"))
	return t, text, err
}

// listen opens the address for clients, or takes the socket that the platform holds for all processes of the gateway.
func listen(addr, descriptor string) (net.Listener, error) {
	if descriptor != "" {
		return transport.InheritedListener(descriptor)
	}
	return net.Listen("tcp", addr)
}

// run is the gateway from start to end; it prints its counters when asked to and at the end.
func run(path string, out io.Writer) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	t, inForce, err := read(path)
	if err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)).With("gateway", t.Name))
	seed, err := strconv.ParseUint(t.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if t.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(t.Limits.Cores)))
	}
	if part := memoryPart; t.Limits.MemoryMB > 0 {
		if os.Getenv("BALANCER_ACCEPT_FD") != "" { // what this process may use it shares with the next
			part /= 2
		}
		debug.SetMemoryLimit(int64(part * float64(t.Limits.MemoryMB<<20)))
	}
	debug.SetGCPercent(heapGrowth)

	if err := config.CheckSettings(t.Settings, len(t.Peers)); err != nil {
		return err
	}
	desk, err := routing.NewDispatcher(t.Settings)
	if err != nil {
		return err
	}
	shared := os.Getenv("BALANCER_ACCEPT_FD")
	ln, err := listen(t.Listen, shared)
	if err != nil {
		return err
	}
	open, beside := func() {}, 0
	if t.Control != "" {
		door, err := control.Listen(t.Control, desk)
		if err != nil { // nobody could drain it or read its figures: better seen now than when they try to
			return fmt.Errorf("door for operators: %w", err)
		}
		defer door.Close()
		open = func() { go door.Serve() }
		beside = control.MaxConnections
	}
	desk.ConfigureListener(ln, shared != "", t.Limits.Sockets, beside, t.Limits.MemoryMB<<20)
	if t.PeerListen != "" {
		if err := desk.JoinPeers(t.PeerListen, t.Peers, t.PeersAll); err != nil {
			slog.Error("goes on without telling other gateways", "error", err) // each keeps all rules alone
		}
	}
	var known *protocol.HostList
	if len(t.Known) > 0 {
		if known, err = protocol.ParseHostList(t.Known); err != nil {
			slog.Warn("known list left out", "error", err)
		}
	}
	if shared != "" {
		heir := filepath.Join(os.TempDir(), fmt.Sprintf("spanmux-%08x", crc32.ChecksumIEEE([]byte(t.Name+t.Listen))))
		if err := desk.ListenForHandover(heir); err != nil {
			slog.Warn("answers under way can't be handed over", "error", err)
		}
	}
	desk.Start(seed, t.Discovery, known)
	go desk.Serve()
	open()
	slog.Info("gateway listens", "at", t.Listen, "sockets", t.Limits.Sockets)

	for s := <-signals; s == syscall.SIGUSR1 || s == syscall.SIGHUP; s = <-signals {
		if s == syscall.SIGHUP {
			inForce = reload(path, inForce, desk)
		} else {
			fmt.Fprint(out, desk.CountersText())
		}
	}
	slog.Info("gateway ends: no new clients soon")
	desk.Close()
	fmt.Fprint(out, desk.CountersText())
	return nil
}

// reload reads the file again and takes all that may change under way, or nothing: the file that is in force from then on is
// given back. One that is missing, torn, incomplete or makes no sense leaves what is in force: this gateway serves, and half a word
// is no reason to stop, nor to go on by half.
func reload(path string, inForce []byte, desk *routing.Dispatcher) []byte {
	t, text, err := read(path)
	if err == nil {
		err = config.CheckComplete(inForce, text, "known")
	}
	if err == nil {
		err = config.CheckAddress("discovery", t.Discovery)
	}
	var to *config.SettingsUpdate
	if err == nil {
		to, err = desk.CheckSettings(t.Settings, len(t.Peers))
	}
	if err != nil {
		desk.Counters.SettingsRejected.Add(1)
		slog.Warn("file turned down, all stays as it was", "error", err)
		return inForce
	}
	desk.ApplySettings(to, t.Discovery)
	desk.Counters.SettingsApplied.Add(1)
	slog.Info("file taken", "discovery", t.Discovery)
	return text
}
