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
func (d *Dispatcher) client(c *transport.Client) {
	var head protocol.Head
	for {
		err := c.AwaitRequest()
		if errors.Is(err, transport.ErrShuttingDown) { // nothing has come, so nothing is owed where it can't be handed over
			d.handOver(c)
		}
		if err != nil || !d.next(c, &head) {
			return
		}
	}
}

// next takes in one message; it is false where the connection ends.
func (d *Dispatcher) next(c *transport.Client, head *protocol.Head) bool {
	held := 0
	defer func() { d.large.Add(int64(held)) }()
	said, err := protocol.ReadTransaction(c.Reader, head, func() error { return c.Write(net.Buffers{protocol.ContinueResponse}) },
		func(bytes int) bool {
			if !d.roomFor(bytes) {
				return false
			}
			held += bytes
			return true
		})
	switch {
	case errors.Is(err, transport.ErrShuttingDown):
		d.turned(c)
		return false
	case err != nil:
		d.answerWrong(c, err)
		return false
	case !c.MarkActive():
		return false
	case c.PeerClosed(): // while it waited behind another, or to be accepted
		d.Counters.ClientLeftBeforeAdmission.Add(1)
		return false
	case said.GatewayPath != "":
		said.Close = said.Close || d.sendsAway() || said.RemainingBody != nil
		return d.own(c, said) == nil && !said.Close && !c.OverLimit
	}
	t := &tx{said: said, client: c, taken: time.Now(), settled: make(chan struct{}),
		early: c.Reader.Buffered() > 0}
	if said.RemainingBody != nil {
		t.up = make(chan *transport.BodyWriter, upMost)
	}
	if !d.admit(t) || said.RemainingBody != nil && !d.feed(t) {
		return false
	}
	// While hops are out the connection is watched, as its end is all that a client that leaves says. The
	// answer is written by whoever has it.
	if c.WatchForClose(t.over) != nil {
		if !d.left(t) {
			d.stopStream(t)
			<-t.settled
		}
		return false
	}
	return true
}

// answerWrong answers what can't be understood; the connection can't be read on.
func (d *Dispatcher) answerWrong(c *transport.Client, err error) {
	wrong := protocol.AsHTTPError(err)
	if wrong == nil {
		if !errors.Is(err, io.EOF) {
			d.Counters.ClientReadErrors.Add(1)
		}
		return
	}
	d.Counters.wrong(wrong.Text, slog.Int("status", wrong.Status))
	c.WriteFinal(protocol.TextResponse(wrong.Status, wrong.Text+"\n", 0, true))
}

// own answers a call to the gateway itself.
func (d *Dispatcher) own(c *transport.Client, said *protocol.Transaction) error {
	status, text := 404, "not here\n"
	switch said.GatewayPath {
	case protocol.ReadyPath:
		if status, text = 503, "not ready\n"; d.Ready() {
			status, text = 200, "ready\n"
		}
	case "/counters":
		status, text = 200, d.CountersText()
	}
	return c.Write(bare(said, protocol.TextResponse(status, text, 0, said.Close)))
}

// bare leaves out the body of an answer to one that asked for the head alone.
func bare(said *protocol.Transaction, b net.Buffers) net.Buffers {
	if said.HeadOnly {
		return b[:min(len(b), 2)]
	}
	return b
}
