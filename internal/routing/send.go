package routing

import (
	"bufio"
	"net"
	"time"

	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

// hop is one sending of a transaction.
type hop struct {
	t        *tx
	number   int
	sent     time.Time
	exchange *transport.Exchange
	answer   *protocol.Answer
}

// Hop sends the transaction. A host whose address is not known can't be reached.
func (d *Desk) Hop(id logic.TxID, host logic.HostID, wait time.Duration) {
	t := d.txs[id]
	h := &hop{t: t, number: len(t.hops), sent: time.Now()}
	t.hops = append(t.hops, h)
	t.out++
	until := h.sent.Add(wait)
	h.exchange = &transport.Exchange{
		Message: func() net.Buffers { return t.said.ForHost(time.Until(until)) },
		Until:   until,
		Read: func(r *bufio.Reader) (keep bool, err error) {
			var head protocol.Head
			h.answer, keep, err = protocol.ReadAnswer(r, &head, d.roomFor)
			return keep, err
		},
		Written: func() { d.Book.Written.Add(1) },
		Done:    func(how transport.How) { d.ended(h, how) },
	}
	d.Book.Hops.Add(1)
	d.start(host, h.exchange)
}

// start begins an exchange with a host once the lock is left.
func (d *Desk) start(host logic.HostID, x *transport.Exchange) {
	to := d.list.target(host)
	d.then(func() {
		if to.Addr == "" {
			x.Done(transport.NeverUp)
			return
		}
		d.pool.Start(to, x)
	})
}

// roomFor takes room for an answer over the usual size, which is held whole like others: many at once, read slowly by their
// clients, would take all memory.
func (d *Desk) roomFor(bytes int) bool {
	if d.large.Add(-int64(bytes)) >= 0 {
		return true
	}
	d.large.Add(int64(bytes))
	return false
}

func (d *Desk) CallOff(id logic.TxID, number int) {
	h := d.txs[id].hops[number]
	d.then(h.exchange.GiveUp)
}

func (d *Desk) Release(host logic.HostID) {
	to := d.list.target(host)
	d.then(func() { d.pool.Close(to) })
}

func (d *Desk) Probe(host logic.HostID) {
	d.Book.Probes.Add(1)
	load, reported := logic.NoLoad, false
	addr := d.list.addr[host]
	d.start(host, &transport.Exchange{
		Message: func() net.Buffers { return protocol.Call(protocol.LoadTarget, addr) },
		Until:   time.Now().Add(probeWithin),
		Read: func(r *bufio.Reader) (keep bool, err error) {
			var head protocol.Head
			answer, keep, err := protocol.ReadAnswer(r, &head, func(int) bool { return false })
			if err == nil && answer.Status == 200 {
				var wrong error
				if load, wrong = protocol.Load(answer.Body); wrong != nil {
					d.Book.wrong(wrong.Error())
				}
				reported = wrong == nil
			}
			return keep, err
		},
		Done: func(how transport.How) {
			if how == transport.Answered && reported {
				d.Book.Probed.Add(1)
				d.decide(func(now time.Duration) { d.opened.Probed(now, host, load) })
			}
		},
	})
}
