// Command spanmux runs one gateway: it accepts transactions from clients over HTTP and forwards them to hosts.
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
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"spanmux/internal/config"
	"spanmux/internal/control"
	"spanmux/internal/logging"
	"spanmux/internal/protocol"
	"spanmux/internal/routing"
	"spanmux/internal/transport"
)

const (
	// memoryLimitFraction is the part of limits.memory_mb that the Go runtime may use: socket buffers and files count towards it too.
	memoryLimitFraction = 0.75
	// minRuntimeMemory is the least that it may use where two processes share the memory, in bytes. With less it would collect without end
	// before their connections and messages have used up what they are given.
	minRuntimeMemory = 15 << 20
	// gcPercent is the heap growth in percent that starts a garbage collection. The heap is small, and the memory limit bounds it.
	gcPercent = 400
	// outputFlushTimeout bounds the wait for the last output, twice: 0.1 s is left until the platform may kill the process.
	outputFlushTimeout = 45 * time.Millisecond
)

// configFile is the content of the configuration file.
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
	Peers           []string        `json:"peers"`     // of all gateways by index, this one included
	AllPeersAddress string          `json:"peers_all"` // reaches all other gateways with one datagram; optional
	KnownHostList   json.RawMessage `json:"known"`     // to start with until discovery answers; optional
	Settings        json.RawMessage `json:"settings"`
}

func main() {
	path := flag.String("config", os.Getenv("BALANCER_CONFIG"), "configuration file (JSON)")
	flag.Parse()
	output, log := logging.NewWriter(os.Stdout), logging.NewWriter(os.Stderr)
	slog.SetDefault(slog.New(slog.NewTextHandler(log, nil)))
	err := run(*path, output)
	if err != nil {
		slog.Error("spanmux failed", "error", err)
	}
	output.Close(outputFlushTimeout)
	log.Close(outputFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}

// readConfig reads the configuration file, and returns its text as well.
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

// listenForClients listens on the address for clients, or uses the inherited listening socket that all processes of this gateway share.
func listenForClients(addr, descriptor string) (net.Listener, error) {
	if descriptor != "" {
		return transport.InheritedListener(descriptor)
	}
	return net.Listen("tcp", addr)
}

// run runs the gateway until SIGTERM or SIGINT. It prints its counters at the end and on SIGUSR1, and reads its file again on SIGHUP.
func run(path string, out io.Writer) error {
	signals := notifySignals()
	defer signals.stop()
	cfg, current, err := readConfig(path)
	if err != nil {
		return err
	}
	slog.SetDefault(slog.With("gateway", cfg.Name))
	slog.Info("gateway starting", "pid", os.Getpid(), "discovery", cfg.Discovery, "peers", len(cfg.Peers))
	seed, err := strconv.ParseUint(cfg.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if cfg.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Limits.Cores)))
	}
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(runtimeMemoryLimit(cfg.Limits.MemoryMB<<20, os.Getenv("BALANCER_ACCEPT_FD") != ""))
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
		if err != nil { // fail now: nobody could drain this gateway or read its metrics
			return fmt.Errorf("admin server: %w", err)
		}
		defer admin.Close()
		serveAdmin = func() { go admin.Serve() }
		adminConnections = control.MaxConnections
	}
	dispatcher.ConfigureListener(listener, inheritedSocket != "", cfg.Limits.Sockets, adminConnections, cfg.Limits.MemoryMB<<20)
	if cfg.PeerListen != "" {
		if err := dispatcher.JoinPeers(cfg.PeerListen, cfg.Peers, cfg.AllPeersAddress); err != nil {
			slog.Error("running without peer messages", "error", err) // every gateway keeps all rules without them
		}
	}
	var knownHosts *protocol.HostList
	if len(cfg.KnownHostList) > 0 {
		if knownHosts, err = protocol.ParseHostList(cfg.KnownHostList); err != nil {
			slog.Warn("ignoring the known host list", "error", err)
		}
	}
	if inheritedSocket != "" {
		handoverSocket := filepath.Join(os.TempDir(), fmt.Sprintf("spanmux-%08x", crc32.ChecksumIEEE([]byte(cfg.Name+cfg.Listen))))
		if err := dispatcher.ListenForHandover(handoverSocket); err != nil {
			slog.Warn("response streams cannot be handed over", "error", err)
		}
	}
	dispatcher.Start(seed, cfg.Discovery, knownHosts)
	go dispatcher.Serve()
	serveAdmin()
	slog.Info("gateway listening", "addr", cfg.Listen, "sockets", cfg.Limits.Sockets)

	ended := make(chan bool)
	defer close(ended)
	go reloadOnSignal(signals.reload, ended, path, current, dispatcher)
	var terminated os.Signal
	for terminated == nil {
		select {
		case terminated = <-signals.terminate:
		case <-signals.printCounters:
			fmt.Fprint(out, dispatcher.CountersText())
		}
	}
	began := time.Now()
	slog.Info("gateway shutting down", "signal", terminated, "open_transactions", dispatcher.Counters.OpenTransactions.Load())
	dispatcher.Close()
	slog.Info("gateway ended", "after", time.Since(began), "open_transactions", dispatcher.Counters.OpenTransactions.Load())
	fmt.Fprint(out, dispatcher.CountersText())
	return nil
}

// runtimeMemoryLimit returns how many of the bytes that the gateway may use are for the Go runtime of this process. With a
// shared listener the memory is shared with the process that will replace this one.
func runtimeMemoryLimit(memoryBytes int64, sharedListener bool) int64 {
	limit := int64(memoryLimitFraction * float64(memoryBytes))
	if sharedListener {
		return min(limit, max(limit/2, minRuntimeMemory))
	}
	return limit
}

// reloadOnSignal reloads the configuration file at each signal until ended is closed; current is the text in force. It runs beside the
// reaction to SIGTERM: a reload may take a good part of the time that is left to a process then.
func reloadOnSignal(signals <-chan os.Signal, ended <-chan bool, path string, current []byte, dispatcher *routing.Dispatcher) {
	for {
		select {
		case <-signals:
			current = reload(path, current, dispatcher)
		case <-ended:
			return
		}
	}
}

// reload reads the configuration file again, applies everything in it that may change at runtime, or nothing, and returns the text of the
// file that is in force afterwards. A file that is missing, truncated, incomplete or invalid changes nothing: the gateway keeps serving with
// the current one.
func reload(path string, current []byte, dispatcher *routing.Dispatcher) []byte {
	cfg, text, err := readConfig(path)
	if err == nil {
		err = config.CheckNoMissingKeys(current, text, "known")
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
		slog.Warn("configuration rejected, keeping the current one", "error", err)
		return current
	}
	dispatcher.ApplySettings(update, cfg.Discovery)
	dispatcher.Counters.SettingsApplied.Add(1)
	slog.Info("configuration applied", "discovery", cfg.Discovery)
	return text
}
