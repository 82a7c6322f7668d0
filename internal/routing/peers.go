package routing

import (
	"log/slog"
	"net/netip"
	"time"

	"spanmux/internal/config"
	"spanmux/internal/invariant"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// peerNetwork holds the socket and addresses for peer messages.
type peerNetwork struct {
	socket        *transport.DatagramSocket
	addrs         []netip.AddrPort // by index
	otherAddrs    []netip.AddrPort // without this gateway's
	broadcastAddr netip.AddrPort   // reaches all other gateways at once, if valid
	indexByAddr   map[netip.AddrPort]int
}

// SendPeerMessage sends entries to one gateway or, with -1, to all others.
func (d *Dispatcher) SendPeerMessage(gatewayIndex int, entries []logic.PeerEntry) {
	if d.peers.socket == nil {
		return
	}
	addrs := []netip.AddrPort{d.peers.broadcastAddr}
	if gatewayIndex >= 0 {
		addrs = d.peers.addrs[gatewayIndex:][:1]
	} else if !d.peers.broadcastAddr.IsValid() {
		addrs = d.peers.otherAddrs
	}
	d.Counters.PickRequests.Add(countEntries(entries, logic.EntryPickRequest))
	socket := d.peers.socket
	for msg := range d.core.EncodePeerMessages(entries) {
		invariant.Check(len(msg) <= config.MaxPeerMessageBytes, "peer message within its size limit")
		for _, addr := range addrs {
			d.Counters.PeerMessages.Add(1)
			d.afterUnlock(func() { d.sendDatagram(socket, addr, msg) })
		}
	}
}

// countEntries returns how many entries are of a kind.
func countEntries(entries []logic.PeerEntry, kind logic.PeerEntryKind) (n int64) {
	for _, entry := range entries {
		if entry.Kind == kind {
			n++
		}
	}
	return n
}

// sendDatagram sends one peer message; a failure is counted and logged.
func (d *Dispatcher) sendDatagram(socket *transport.DatagramSocket, addr netip.AddrPort, msg []byte) {
	if err := socket.Send(addr, msg); err != nil {
		d.Counters.PeerMessagesUnsent.Add(1)
		if d.Counters.warningLimiter.allow() {
			slog.Warn("peer message not sent", "to", addr, "error", err)
		}
	}
}

// datagramReceived handles a datagram from a peer gateway.
func (d *Dispatcher) datagramReceived(addr netip.AddrPort, msg []byte) {
	d.mu.Lock()
	gatewayIndex, known := d.peers.indexByAddr[addr]
	var entries []logic.PeerEntry
	var err error
	if known && len(msg) <= config.MaxPeerMessageBytes {
		entries, err = d.core.DecodePeerMessage(msg)
	}
	d.mu.Unlock()
	if !known || err != nil || len(msg) > config.MaxPeerMessageBytes {
		d.Counters.PeerMessagesInvalid.Add(1)
		if d.Counters.warningLimiter.allow() {
			slog.Warn("invalid peer message dropped", "from", addr, "known", known, "bytes", len(msg), "error", err)
		}
		return
	}
	d.Counters.PeerMessagesReceived.Add(1)
	d.Counters.PickResponses.Add(countEntries(entries, logic.EntryPickResponse))
	d.callCoreForAll(func(now time.Duration) { d.core.PeerMessageReceived(now, gatewayIndex, entries) })
}
