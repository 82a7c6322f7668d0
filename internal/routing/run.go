package routing

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"spanmux/internal/config"
	"spanmux/internal/membudget"
	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// ConfigureListener sets the listener for clients and divides sockets and memory. maxSockets includes
// otherSockets, which are used for neither clients nor hosts. Processes that share the listener share
// both.
func (d *Dispatcher) ConfigureListener(ln net.Listener, sharedListener bool, maxSockets, otherSockets int, memoryBytes int64) {
	memoryBytes, maxSockets = cmp.Or(memoryBytes, defaultMemoryBytes), cmp.Or(maxSockets, defaultMaxSockets)
	if d.sharedListener = sharedListener; sharedListener {
		memoryBytes /= 2
	}
	overLimit := max(1, maxSockets/overLimitSocketDivisor)
	limitFor := func(fraction float64) int {
		return int(fraction*float64(maxSockets)) - overLimit - reservedSockets - otherSockets
	}
	limit, overlapLimit := limitFor(1), limitFor(overlapSocketFraction)
	if sharedListener { // half of the memory is to hold the process itself as well
		withinMemory := int(memoryBeyondProcess(memoryBytes) / connectionBytes)
		limit, overlapLimit = min(withinMemory, limitFor(singleProcessSocketFraction)), min(withinMemory, overlapLimit)
	}
	d.requestMemory = membudget.New(messageMemory(memoryBytes, limit))
	d.responseMemory = membudget.New(messageMemory(memoryBytes, limit))
	d.connLimit = transport.NewConnLimit(limit)
	d.pool = transport.NewPool(d.connLimit, cmp.Or(d.core.ConnectTimeout, defaultConnectTimeout), cmp.Or(d.core.IdleConnTimeout, defaultIdleConnTimeout))
	d.listener = transport.NewListener(ln, d.connLimit, limit-limit/hostSocketDivisor, overLimit, d.requestMemory)
	d.singleProcessConnLimit, d.overlapConnLimit = limit, overlapLimit
	if sharedListener { // the previous process may still be shutting down
		d.listener.SetRetainBudget(memoryBeyondProcess(memoryBytes) / retainedMemoryDivisor)
		d.connLimit.SetMax(d.overlapConnLimit)
	}
}

// JoinPeers opens the socket for peer messages. While the previous process still uses the address, it
// is retried in the background.
func (d *Dispatcher) JoinPeers(listen string, peers []string, broadcast string) (err error) {
	network := peerNetwork{indexByAddr: map[netip.AddrPort]int{}}
	for i, peer := range peers {
		addr, err := netip.ParseAddrPort(peer)
		if err != nil {
			return fmt.Errorf("peer %d: %w", i, err)
		}
		network.addrs, network.indexByAddr[addr] = append(network.addrs, addr), i
		if i != d.core.GatewayIndex {
			network.otherAddrs = append(network.otherAddrs, addr)
		}
	}
	if len(network.addrs) != d.core.GatewayCount {
		return fmt.Errorf("%d peer addresses for %d gateways", len(network.addrs), d.core.GatewayCount)
	}
	if broadcast != "" {
		if network.broadcastAddr, err = netip.ParseAddrPort(broadcast); err != nil {
			return err
		}
	}
	if network.socket, err = transport.ListenDatagrams(listen, len(network.otherAddrs)); errors.Is(err, syscall.EADDRINUSE) {
		slog.Warn("address for peer messages is in use, retrying", "address", listen)
		go d.joinWhenAddressFree(listen, network)
		return nil
	}
	if err == nil {
		d.servePeers(network)
	}
	return err
}

// joinWhenAddressFree retries until the previous process has released the address.
func (d *Dispatcher) joinWhenAddressFree(listen string, network peerNetwork) {
	for err := error(syscall.EADDRINUSE); err != nil; network.socket, err = transport.ListenDatagrams(listen, len(network.otherAddrs)) {
		time.Sleep(peerListenRetryDelay)
		if d.closing.Load() {
			return
		}
	}
	d.servePeers(network)
}

// servePeers starts to send and receive peer messages.
func (d *Dispatcher) servePeers(network peerNetwork) {
	d.mu.Lock()
	d.peers = network
	d.mu.Unlock()
	slog.Info("receiving peer messages", "peers", len(network.otherAddrs))
	go network.socket.Serve(config.MaxPeerMessageBytes, d.datagramReceived)
}

// Start starts the decision core and the calls to discovery. knownList is the last known host list, or
// nil. What arrives before it, from peers for instance, waits for it.
func (d *Dispatcher) Start(seed uint64, discoveryAddr string, knownList *protocol.HostList) {
	d.startCore(seed, discoveryAddr)
	if knownList != nil && len(knownList.Hosts) > 0 {
		d.applyList(d.discovery.conn, logic.ListCached, knownList)
	}
	d.callCore(func(time.Duration) {
		if d.core.HostListPushed { // a pushed list has to be known from the first moment
			d.startListWatch()
		}
	})
}

// startCore creates the decision core, and lets waiting calls of it proceed.
func (d *Dispatcher) startCore(seed uint64, discoveryAddr string) {
	d.mu.Lock()
	d.startedAt, d.discovery.conn = time.Now(), &transport.DiscoveryConn{Addr: discoveryAddr}
	d.discovery.random = rand.New(rand.NewPCG(seed, uint64(d.core.GatewayIndex))) // so that gateways with one seed don't call at the same time
	d.discovery.backoffTimer = time.AfterFunc(time.Hour, func() { d.callCore(func(time.Duration) { d.startListWatch() }) })
	d.discovery.backoffTimer.Stop()
	d.callLocked(func(now time.Duration) {
		predecessorActiveUntil := time.Duration(0)
		if d.sharedListener {
			predecessorActiveUntil = now + predecessorActiveDuration
		}
		d.core.Start(d, now, seed, predecessorActiveUntil)
		close(d.started)
	})
	go d.renewClaims()
}

// Serve accepts clients until Close. With a shared listener it accepts none before there is a host
// list.
func (d *Dispatcher) Serve() {
	if d.sharedListener {
		<-d.listReceived
		time.AfterFunc(predecessorOverlapDuration, func() {
			if !d.closing.Load() {
				d.connLimit.SetMax(d.singleProcessConnLimit)
			}
		})
	}
	d.serving.Store(true)
	d.listener.Serve(d.serveClient)
}

// CheckSettings checks settings that are to replace the current ones; it changes nothing.
func (d *Dispatcher) CheckSettings(settings []byte, peerCount int) (*config.SettingsUpdate, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.ParseUpdate(settings, peerCount)
}

// ApplySettings applies checked settings and the address of discovery.
func (d *Dispatcher) ApplySettings(update *config.SettingsUpdate, discoveryAddr string) {
	d.callCore(func(now time.Duration) {
		d.core.ApplyUpdate(now, update)
		d.addProfileCounters()
		d.changeDiscoveryAddr(discoveryAddr)
	})
}

// Ready reports whether this process accepts clients.
func (d *Dispatcher) Ready() bool {
	return d.hasHostList.Load() && d.serving.Load() && !d.closesClientConns()
}

// closesClientConns reports whether responses announce that the connection closes.
func (d *Dispatcher) closesClientConns() bool { return d.closing.Load() || d.listener.Draining() }

// SetDraining starts or ends draining: while it drains, the gateway is not ready, and responses
// announce that the connection closes. It returns false if draining can't end because the gateway
// shuts down.
func (d *Dispatcher) SetDraining(draining bool) bool {
	if d.closing.Load() {
		return draining
	}
	d.listener.SetDraining(draining)
	slog.Info("draining changed by operator", "draining", draining)
	return true
}

// Close shuts the gateway down: connections are accepted for a while, or by another process, then all
// open transactions are answered.
func (d *Dispatcher) Close() {
	began := time.Now()
	d.closing.Store(true)
	if d.sharedListener {
		d.mu.Lock()
		if d.peers.socket != nil { // the next process waits for its address
			d.peers.socket.Close()
			d.peers.socket = nil
		}
		d.mu.Unlock()
		d.listener.HandOver()
		d.pool.CloseAllIdle()
	} else {
		time.Sleep(shutdownAcceptDuration)
		d.listener.Shutdown()
	}
	d.mu.Lock()
	maxHardLimit := min(cmp.Or(d.core.MaxHardLimit, maxShutdownHardLimit), maxShutdownHardLimit)
	d.mu.Unlock()
	deadline := began.Add(shutdownAcceptDuration + maxHardLimit)
	for rejected := false; !d.listener.Finished(); time.Sleep(shutdownPollInterval) {
		switch now := time.Now(); {
		case now.After(deadline):
			slog.Warn("shutdown timed out with open client connections", "clients", d.listener.OpenClients())
			return
		case rejected:
			d.abandonOpen()
		case now.After(deadline.Add(-shutdownResponseReserve)):
			rejected = true
			d.listener.RejectIncomplete()
		}
		if d.sharedListener {
			d.interruptStreams()
		}
	}
}

// abandonOpen answers open transactions with abandoned as the process is about to end: they may have
// run, and without a response their outcome would be lost.
func (d *Dispatcher) abandonOpen() {
	d.callCoreForAll(func(now time.Duration) {
		for _, id := range slices.Sorted(maps.Keys(d.txs)) {
			if t := d.txs[id]; !t.answered {
				d.Abandon(id)
				d.core.ClientLeft(now, id)
			}
		}
	})
}
