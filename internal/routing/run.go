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
	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// ConfigureListener opens the gateway to clients, with room for so many sockets, those that are used beside clients and hosts among
// them, and within so many bytes of memory. Where other processes share the listener they share both.
func (d *Dispatcher) ConfigureListener(ln net.Listener, shared bool, sockets, beside int, memory int64) {
	memory, sockets = cmp.Or(memory, usualMemory), cmp.Or(sockets, usualSockets)
	if d.shared = shared; shared {
		memory /= 2
	}
	d.large.Store(memory / largePart)
	d.aheadMost = memory / aheadPart
	d.ahead.Store(d.aheadMost)
	overLimit := max(1, sockets/crowdPart)
	limitFor := func(part float64) int { return int(part*float64(sockets)) - overLimit - spareSockets - beside }
	limit := limitFor(1)
	if shared {
		limit = limitFor(alonePart)
	}
	d.connLimit = transport.NewConnLimit(limit)
	d.pool = transport.NewPool(d.connLimit, cmp.Or(d.opened.ConnectTimeout, usualConnect), cmp.Or(d.opened.IdleConnTimeout, usualIdle))
	d.listener = transport.NewListener(ln, d.connLimit, limit-limit/hostsPart, overLimit)
	d.alone, d.beside = limit, limitFor(besidePart)
	if shared { // the one before may be ending yet
		d.listener.SetRetainBudget(memory / largePart)
		d.connLimit.SetMax(d.beside)
	}
}

// JoinPeers opens the ways to the other gateways. While the address is in use, as the process before this one ends, it is tried again.
func (d *Dispatcher) JoinPeers(listen string, peers []string, all string) (err error) {
	t := tells{number: map[netip.AddrPort]int{}}
	for i, peer := range peers {
		at, err := netip.ParseAddrPort(peer)
		if err != nil {
			return fmt.Errorf("peer %d: %w", i, err)
		}
		t.peers, t.number[at] = append(t.peers, at), i
		if i != d.opened.GatewayIndex {
			t.others = append(t.others, at)
		}
	}
	if len(t.peers) != d.opened.GatewayCount {
		return fmt.Errorf("%d peers for %d gateways", len(t.peers), d.opened.GatewayCount)
	}
	if all != "" {
		if t.all, err = netip.ParseAddrPort(all); err != nil {
			return err
		}
	}
	if t.socket, err = transport.ListenDatagrams(listen, len(t.others)); errors.Is(err, syscall.EADDRINUSE) {
		slog.Warn("tells other gateways once the address is free", "at", listen)
		go d.joinLater(listen, t)
		return nil
	}
	if err == nil {
		d.joined(t)
	}
	return err
}

func (d *Dispatcher) joinLater(listen string, t tells) {
	for err := error(syscall.EADDRINUSE); err != nil; t.socket, err = transport.ListenDatagrams(listen, len(t.others)) {
		time.Sleep(joinAgain)
		if d.closing.Load() {
			return
		}
	}
	d.joined(t)
}

// joined takes the ways into use.
func (d *Dispatcher) joined(t tells) {
	d.mu.Lock()
	d.tells = t
	d.mu.Unlock()
	go t.socket.Serve(config.MaxPeerMessageBytes, d.told)
}

// Start starts the decisions. Discovery is asked at its address; known is the list as it was last had.
func (d *Dispatcher) Start(seed uint64, discovery string, known *protocol.HostList) {
	d.began, d.list.line = time.Now(), &transport.DiscoveryConn{Addr: discovery}
	d.list.jitter = rand.New(rand.NewPCG(seed, uint64(d.opened.GatewayIndex))) // gateways that share a seed are not to call in step
	d.list.backoff = time.AfterFunc(time.Hour, func() { d.decide(func(time.Duration) { d.ask() }) })
	d.list.backoff.Stop()
	d.decide(func(now time.Duration) {
		beside := time.Duration(0)
		if d.shared {
			beside = now + coldBeside
		}
		d.opened.Start(d, now, seed, beside)
	})
	if known != nil && len(known.Hosts) > 0 {
		d.takeList(d.list.line, logic.ListCached, known)
	}
	d.decide(func(time.Duration) {
		if d.opened.HostListPushed { // what is pushed counts as told from the first moment
			d.ask()
		}
	})
}

// Serve takes in clients until Close. Of a listener that is shared nothing is taken before it can be answered.
func (d *Dispatcher) Serve() {
	if d.shared {
		<-d.listed
		time.AfterFunc(besideFor, func() {
			if !d.closing.Load() {
				d.connLimit.SetMax(d.alone)
			}
		})
	}
	d.serving.Store(true)
	d.listener.Serve(d.client)
}

// CheckSettings checks settings that are to follow those in force; it changes nothing.
func (d *Dispatcher) CheckSettings(settings []byte, peers int) (*config.SettingsUpdate, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened.ParseUpdate(settings, peers)
}

// ApplySettings takes settings into force, and discovery's address with them.
func (d *Dispatcher) ApplySettings(to *config.SettingsUpdate, discovery string) {
	d.decide(func(now time.Duration) {
		d.opened.ApplyUpdate(now, to)
		d.named()
		d.rediscover(discovery)
	})
}

// Ready tells whether this process takes clients.
func (d *Dispatcher) Ready() bool { return d.ready.Load() && d.serving.Load() && !d.sendsAway() }

// sendsAway tells whether answers are to say that their connection closes.
func (d *Dispatcher) sendsAway() bool { return d.closing.Load() || d.listener.Draining() }

// SetDraining sends clients away, or takes them again; once the gateway ends it takes none.
func (d *Dispatcher) SetDraining(away bool) bool {
	if d.closing.Load() {
		return away
	}
	d.listener.SetDraining(away)
	slog.Info("told by operators", "drain", away)
	return true
}

// Close ends the gateway: connections go on coming for a while, or to another process, then all that is taken is answered.
func (d *Dispatcher) Close() {
	began := time.Now()
	d.closing.Store(true)
	if d.shared {
		d.mu.Lock()
		if d.tells.socket != nil { // the other process waits for it
			d.tells.socket.Close()
			d.tells.socket = nil
		}
		d.mu.Unlock()
		d.listener.HandOver()
		d.pool.CloseAllIdle()
	} else {
		time.Sleep(comeOn)
		d.listener.Shutdown()
	}
	d.mu.Lock()
	longest := min(cmp.Or(d.opened.MaxHardLimit, usualLongest), usualLongest)
	d.mu.Unlock()
	until := began.Add(comeOn + longest)
	for turned := false; !d.listener.Finished(); time.Sleep(endPoll) {
		switch now := time.Now(); {
		case now.After(until):
			slog.Warn("ends with clients unanswered", "clients", d.listener.OpenClients())
			return
		case turned:
			d.giveUp()
		case now.After(until.Add(-endAside)):
			turned = true
			d.listener.RejectIncomplete()
		}
		if d.shared {
			d.nudge()
		}
	}
}

// giveUp answers what is open as the process is about to be ended: what may have run yet, and has no answer then, would be lost.
func (d *Dispatcher) giveUp() {
	d.decide(func(now time.Duration) {
		for _, id := range slices.Sorted(maps.Keys(d.txs)) {
			if t := d.txs[id]; !t.answered {
				d.Abandon(id)
				d.opened.ClientLeft(now, id)
			}
		}
	})
}
