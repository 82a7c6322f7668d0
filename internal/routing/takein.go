package routing

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"spanmux/internal/protocol"
	"spanmux/internal/transport"
)

// client takes in what comes on a client's connection, one transaction after the other.
func (d *Desk) client(c *transport.Client) {
	var head protocol.Head
	for c.Await() == nil {
		said, err := protocol.ReadTransaction(c.R, &head, func() error { return c.Write(net.Buffers{protocol.GoOn}) })
		switch {
		case err != nil:
			d.answerWrong(c, err)
			return
		case !c.Whole():
			return
		case said.Own != "":
			if said.Close = said.Close || d.sendsAway(); d.own(c, said) != nil || said.Close || c.Over {
				return
			}
			continue
		}
		t := &tx{said: said, client: c, taken: time.Now(), settled: make(chan struct{})}
		if !d.admit(t) {
			return
		}
		// While hops are out the connection is watched, as its end is all that a client that leaves says. The
		// answer is written by whoever has it.
		if c.Watch() != nil {
			d.left(t)
			return
		}
		<-t.settled // what came early is the next transaction
	}
}

// answerWrong answers what can't be understood; the connection can't be read on.
func (d *Desk) answerWrong(c *transport.Client, err error) {
	wrong := protocol.WrongOf(err)
	if wrong == nil {
		if !errors.Is(err, io.EOF) {
			d.Book.ClientBroke.Add(1)
		}
		return
	}
	d.Book.wrong(wrong.What, slog.Int("status", wrong.Status))
	c.End(protocol.Plain(wrong.Status, wrong.What+"\n", 0, true))
}

// own answers a call to the gateway itself.
func (d *Desk) own(c *transport.Client, said *protocol.Transaction) error {
	status, text := 404, "not here\n"
	switch said.Own {
	case protocol.ReadyTarget:
		if status, text = 503, "not ready\n"; d.Ready() {
			status, text = 200, "ready\n"
		}
	case "/counters":
		status, text = 200, d.Counters()
	}
	return c.Write(protocol.Plain(status, text, 0, said.Close))
}
