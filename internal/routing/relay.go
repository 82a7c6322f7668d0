package routing

import (
	"log/slog"
	"net"
	"time"

	"spanmux/internal/must"
	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

var endOf = map[transport.How]logic.End{
	transport.NeverUp: logic.NoConnection, transport.NotWritten: logic.NoConnection, transport.Broken: logic.Broken,
	transport.TimedOut: logic.TimedOut, transport.GivenUp: logic.CalledOff,
}

// end is how a hop ended, for the module.
func (h *hop) end(how transport.How) logic.End {
	switch {
	case how != transport.Answered:
		return endOf[how]
	case h.answer.Status == 200:
		return logic.Committed
	case h.answer.Declined:
		return logic.Moot
	case h.answer.NeverRan:
		return logic.Full
	}
	return logic.Error
}

// ended tells the module how a hop ended; the first that commits is the transaction's final answer. One that its host
// declines would be declined by all: that is final too, and says nothing against the host. Counted as errors, what bad
// clients send would open the breakers of good hosts.
func (d *Desk) ended(h *hop, how transport.How) {
	end, load, took := h.end(how), logic.NoLoad, time.Since(h.sent)
	if h.answer != nil {
		load = h.answer.Load
		if h.answer.LoadErr != nil {
			d.Book.wrong(h.answer.LoadErr.Error())
		}
	}
	large := 0
	if h.answer != nil {
		large = h.answer.Large
	}
	d.decide(func(now time.Duration) {
		t := h.t
		t.out--
		d.Book.Ends[end].Add(1)
		switch {
		case t.answered || end != logic.Committed && end != logic.Moot:
			d.large.Add(int64(large))
		case end == logic.Committed:
			d.answer(t, &d.Book.Committed, large, 200, h.answer.ForClient)
		default:
			d.answer(t, &d.Book.Declined, large, h.answer.Status, h.answer.ForClient)
			d.then(func() {
				d.Book.wrong("declined by its host", slog.Int("status", h.answer.Status), slog.String("trace", t.said.Trace))
			})
		}
		d.opened.HopEnded(now, t.id, h.number, logic.Result{End: end, Took: took, Load: load}, t.answered)
		d.forget(t)
	})
}

func (d *Desk) RollBack(id logic.TxID, after time.Duration) {
	d.answer(d.txs[id], &d.Book.RolledBack, 0, 503, func(closing bool) net.Buffers {
		return protocol.Plain(503, "rolled back\n", after, closing)
	})
}

func (d *Desk) Abandon(id logic.TxID) {
	d.answer(d.txs[id], &d.Book.Abandoned, 0, 504, func(closing bool) net.Buffers {
		return protocol.Plain(504, "abandoned\n", 0, closing)
	})
}

// answer is a transaction's one final answer. It is written outside the lock, by whoever has it; a large one, by a goroutine of
// its own: its client may read slowly, and the host's connection is in use again by then.
func (d *Desk) answer(t *tx, count *count, large, status int, form func(closing bool) net.Buffers) {
	must.Hold(t != nil && !t.answered, "one final answer")
	if t == nil || t.answered {
		return
	}
	d.settled(t)
	count.Add(1)
	write := func() {
		closing := t.said.Close || d.sendsAway()
		err := t.client.WriteBy(form(closing), t.taken.Add(t.said.Budget))
		if err != nil {
			d.Book.Unwritten.Add(1)
			closing = true
		}
		t.tally.of(status, err == nil).Add(1)
		d.Book.Open.Add(-1)
		d.Book.Microseconds.Add(time.Since(t.taken).Microseconds())
		if closing {
			t.client.Close()
		} else {
			t.client.Settled()
		}
		close(t.settled)
		d.large.Add(int64(large))
	}
	d.then(func() {
		if large > 0 {
			go write()
		} else {
			write()
		}
	})
}
