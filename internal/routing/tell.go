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

// tells are the ways to the other gateways.
type tells struct {
	socket *transport.DatagramSocket
	peers  []netip.AddrPort // by number
	others []netip.AddrPort // without the own one
	all    netip.AddrPort   // reaches all others at once, where there is one
	number map[netip.AddrPort]int
}

// SendPeerMessage sends datagrams to one gateway or, with -1, to all others.
func (d *Dispatcher) SendPeerMessage(gateway int, held []logic.PeerEntry) {
	if d.tells.socket == nil {
		return
	}
	to := []netip.AddrPort{d.tells.all}
	if gateway >= 0 {
		to = d.tells.peers[gateway:][:1]
	} else if !d.tells.all.IsValid() {
		to = d.tells.others
	}
	d.Counters.PickRequests.Add(kinds(held, logic.EntryPickRequest))
	socket := d.tells.socket
	for msg := range d.opened.EncodePeerMessages(held) {
		invariant.Check(len(msg) <= config.MaxPeerMessageBytes, "a datagram within its bound")
		for _, at := range to {
			d.Counters.PeerMessages.Add(1)
			d.then(func() { d.sendTell(socket, at, msg) })
		}
	}
}

// kinds is how many of what is told are of a kind.
func kinds(held []logic.PeerEntry, kind logic.PeerEntryKind) (n int64) {
	for _, k := range held {
		if k.Kind == kind {
			n++
		}
	}
	return n
}

func (d *Dispatcher) sendTell(socket *transport.DatagramSocket, at netip.AddrPort, msg []byte) {
	if err := socket.Send(at, msg); err != nil {
		d.Counters.PeerMessagesUnsent.Add(1)
		if d.Counters.lines.allows() {
			slog.Warn("not told", "to", at, "error", err)
		}
	}
}

// told takes what another gateway tells.
func (d *Dispatcher) told(addr netip.AddrPort, msg []byte) {
	d.mu.Lock()
	from, known := d.tells.number[addr]
	var held []logic.PeerEntry
	var err error
	if known && len(msg) <= config.MaxPeerMessageBytes {
		held, err = d.opened.DecodePeerMessage(msg)
	}
	d.mu.Unlock()
	if !known || err != nil || len(msg) > config.MaxPeerMessageBytes {
		d.Counters.PeerMessagesInvalid.Add(1)
		if d.Counters.lines.allows() {
			slog.Warn("datagram dropped", "from", addr, "known", known, "bytes", len(msg), "error", err)
		}
		return
	}
	d.Counters.PeerMessagesReceived.Add(1)
	d.Counters.PickResponses.Add(kinds(held, logic.EntryPickResponse))
	d.decide(func(now time.Duration) { d.opened.PeerMessageReceived(now, from, held) })
}
