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
	memoryLimitFraction = 0.75 // of the limit that the heap may grow to: stacks, sockets' buffers and files count too
	gcPercent           = 400  // percent before a collection: the heap is small, the memory limit bounds it
)

// configFile is what a gateway finds in its file of what it is told.
type configFile struct {
	Name        string `json:"name"`
	Listen      string `json:"listen"`
	AdminListen string `json:"control"`
	Discovery   string `json:"discovery"`
	Seed        string `json:"seed"`
	Limits      struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen      string          `json:"peer_listen"`
	Peers           []string        `json:"peers"`
	AllPeersAddress string          `json:"peers_all"`
	KnownHostList   json.RawMessage `json:"known"`
	Settings        json.RawMessage `json:"settings"`
}

func main() {
	path := flag.String("config", os.Getenv("BALANCER_CONFIG"), "file with what the gateway is told, as JSON")
	flag.Parse()
	if err := run(*path, os.Stdout); err != nil {
		slog.Error("spanmux ends", "error", err)
		os.Exit(1)
	}
}

// readConfig reads what the gateway is told.
func readConfig(path string) (cfg configFile, text []byte, err error) {
	text, err = os.ReadFile(path)
	if err != nil {
		return cfg, nil, err
	}
	if err = json.Unmarshal(text, &cfg); err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	cfg.AdminListen = cmp.Or(cfg.AdminListen, os.Getenv("BALANCER_CONTROL"))
	return cfg, text, err
}

// listenForClients opens the address for clients, or takes the socket that the platform holds for all processes of the gateway.
func listenForClients(addr, descriptor string) (net.Listener, error) {
	if descriptor != "" {
		return transport.InheritedListener(descriptor)
	}
	return net.Listen("tcp", addr)
}

// run is the gateway from start to end; it prints its counters when asked to and at the end.
func run(path string, out io.Writer) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	cfg, current, err := readConfig(path)
	if err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)).With("gateway", cfg.Name))
	seed, err := strconv.ParseUint(cfg.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if cfg.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Limits.Cores)))
	}
	if fraction := memoryLimitFraction; cfg.Limits.MemoryMB > 0 {
		if os.Getenv("BALANCER_ACCEPT_FD") != "" { // what this process may use it shares with the next
			fraction /= 2
		}
		debug.SetMemoryLimit(int64(fraction * float64(cfg.Limits.MemoryMB<<20)))
	}
	debug.SetGCPercent(gcPercent)

	if err := config.CheckSettings(cfg.Settings, len(cfg.Peers)); err != nil {
		return err
	}
	dispatcher, err := routing.NewDispatcher(cfg.Settings)
	if err != nil {
		return err
	}
	inheritedSocket := os.Getenv("BALANCER_ACCEPT_FD")
	listener, err := listenForClients(cfg.Listen, inheritedSocket)
	if err != nil {
		return err
	}
	serveAdmin, adminConnections := func() {}, 0
	if cfg.AdminListen != "" {
		admin, err := control.Listen(cfg.AdminListen, dispatcher)
		if err != nil { // nobody could drain it or read its figures: better seen now than when they try to
			return fmt.Errorf("door for operators: %w", err)
		}
		defer admin.Close()
		serveAdmin = func() { go admin.Serve() }
		adminConnections = control.MaxConnections
	}
	dispatcher.ConfigureListener(listener, inheritedSocket != "", cfg.Limits.Sockets, adminConnections, cfg.Limits.MemoryMB<<20)
	if cfg.PeerListen != "" {
		if err := dispatcher.JoinPeers(cfg.PeerListen, cfg.Peers, cfg.AllPeersAddress); err != nil {
			slog.Error("goes on without telling other gateways", "error", err) // each keeps all rules alone
		}
	}
	var knownHosts *protocol.HostList
	if len(cfg.KnownHostList) > 0 {
		if knownHosts, err = protocol.ParseHostList(cfg.KnownHostList); err != nil {
			slog.Warn("known list left out", "error", err)
		}
	}
	if inheritedSocket != "" {
		handoverSocket := filepath.Join(os.TempDir(), fmt.Sprintf("spanmux-%08x", crc32.ChecksumIEEE([]byte(cfg.Name+cfg.Listen))))
		if err := dispatcher.ListenForHandover(handoverSocket); err != nil {
			slog.Warn("answers under way can't be handed over", "error", err)
		}
	}
	dispatcher.Start(seed, cfg.Discovery, knownHosts)
	go dispatcher.Serve()
	serveAdmin()
	slog.Info("gateway listens", "at", cfg.Listen, "sockets", cfg.Limits.Sockets)

	for received := <-signals; received == syscall.SIGUSR1 || received == syscall.SIGHUP; received = <-signals {
		if received == syscall.SIGHUP {
			current = reload(path, current, dispatcher)
		} else {
			fmt.Fprint(out, dispatcher.CountersText())
		}
	}
	slog.Info("gateway ends: no new clients soon")
	dispatcher.Close()
	fmt.Fprint(out, dispatcher.CountersText())
	return nil
}

// reload reads the file again and takes all that may change under way, or nothing: the file that is in force from then on is
// given back. One that is missing, torn, incomplete or makes no sense leaves what is in force: this gateway serves, and half a word
// is no reason to stop, nor to go on by half.
func reload(path string, current []byte, dispatcher *routing.Dispatcher) []byte {
	cfg, text, err := readConfig(path)
	if err == nil {
		err = config.CheckComplete(current, text, "known")
	}
	if err == nil {
		err = config.CheckAddress("discovery", cfg.Discovery)
	}
	var update *config.SettingsUpdate
	if err == nil {
		update, err = dispatcher.CheckSettings(cfg.Settings, len(cfg.Peers))
	}
	if err != nil {
		dispatcher.Counters.SettingsRejected.Add(1)
		slog.Warn("file turned down, all stays as it was", "error", err)
		return current
	}
	dispatcher.ApplySettings(update, cfg.Discovery)
	dispatcher.Counters.SettingsApplied.Add(1)
	slog.Info("file taken", "discovery", cfg.Discovery)
	return text
}
