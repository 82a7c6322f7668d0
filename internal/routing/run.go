package routing

import (
	"cmp"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"spanmux/internal/given"
	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// Listen opens the gateway to clients, with room for so many sockets, those that are used beside clients and hosts among
// them, and within so many bytes of memory.
func (d *Desk) Listen(addr string, sockets, beside int, memory int64) (err error) {
	d.large.Store(cmp.Or(memory, usualMemory) / largePart)
	sockets = cmp.Or(sockets, usualSockets)
	crowd := max(1, sockets/crowdPart)
	most := sockets - crowd - spareSockets - beside
	room := transport.NewRoom(most)
	d.pool = transport.NewPool(room, cmp.Or(d.opened.ConnectWithin, usualConnect), cmp.Or(d.opened.ConnIdle, usualIdle))
	d.front, err = transport.Listen(addr, room, most-most/hostsPart, crowd)
	return err
}

// Join opens the ways to the other gateways.
func (d *Desk) Join(listen string, peers []string, all string) (err error) {
	t := tells{number: map[netip.AddrPort]int{}}
	for i, peer := range peers {
		at, err := netip.ParseAddrPort(peer)
		if err != nil {
			return fmt.Errorf("peer %d: %w", i, err)
		}
		t.peers, t.number[at] = append(t.peers, at), i
		if i != d.opened.Me {
			t.others = append(t.others, at)
		}
	}
	if len(t.peers) != d.opened.Gateways {
		return fmt.Errorf("%d peers for %d gateways", len(t.peers), d.opened.Gateways)
	}
	if all != "" {
		if t.all, err = netip.ParseAddrPort(all); err != nil {
			return fmt.Errorf("all peers: %w", err)
		}
	}
	if t.socket, err = transport.ListenDatagrams(listen); err != nil {
		return err
	}
	d.tells = t
	return nil
}

// Start starts the decisions. Discovery is asked at its address; known is the list as it was last had.
func (d *Desk) Start(seed uint64, discovery string, known *protocol.List) {
	d.began, d.list.line = time.Now(), &transport.Line{Addr: discovery}
	d.decide(func(now time.Duration) { d.opened.Start(d, now, seed) })
	if known != nil && len(known.Targets) > 0 {
		d.takeList(d.list.line, logic.Cached, known)
	}
	if d.tells.socket != nil {
		go d.tells.socket.Serve(given.MostBytes, d.told)
	}
}

// Serve takes in clients until Close.
func (d *Desk) Serve() { d.front.Serve(d.client) }

// Ready tells whether this process takes clients.
func (d *Desk) Ready() bool { return d.ready.Load() && !d.sendsAway() }

// sendsAway tells whether answers are to say that their connection closes.
func (d *Desk) sendsAway() bool { return d.closing.Load() || d.front.Draining() }

// Drain sends clients away, or takes them again; once the gateway ends it takes none.
func (d *Desk) Drain(away bool) bool {
	if d.closing.Load() {
		return away
	}
	d.front.Drain(away)
	slog.Info("told by operators", "drain", away)
	return true
}

// Close ends the gateway: connections go on coming for a while, then all that is taken is answered.
func (d *Desk) Close() {
	d.closing.Store(true)
	time.Sleep(comeOn)
	d.front.Shut()
	for until := time.Now().Add(cmp.Or(d.opened.Longest, usualLongest)); d.front.Open() > 0; time.Sleep(endPoll) {
		if time.Now().After(until) {
			slog.Warn("ends with clients unanswered", "clients", d.front.Open())
			return
		}
	}
}
