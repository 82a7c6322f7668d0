package routing

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"spanmux/internal/invariant"
	"spanmux/internal/protocol"
	"spanmux/internal/transport"
	"spanmux/logic"
)

var errHanded = errors.New("handed over")

// note says how a streamed answer goes on that is handed over to the process that replaces this one; what has been read and not written
// goes with it. Without a note what is handed over is a message that is not whole.
type note struct {
	Trace   string // its transaction's id, for the log
	Host    logic.HostID
	Body    protocol.BodyState
	Framing protocol.StreamFraming
	Closing bool
	Last    bool // nothing follows what was read
	Asks    bool // for what has been learnt; nothing is handed over
}

// flow is a streamed answer under way from its host to its client.
type flow struct {
	trace   string
	began   time.Time // in this process
	client  *transport.Client
	host    net.Conn
	there   func() bool // the host has given something, or ended
	from    logic.HostID
	rest    *protocol.Body
	unsent  net.Buffers // goes first
	ahead   []byte      // then this
	held    int         // room taken for that
	wide    bool        // the machine takes in much of what the host gives
	wrote   time.Time   // when the client last took something
	framing protocol.StreamFraming
	closing bool  // the client's connection closes behind it
	whole   bool  // nothing else is to come on that before it
	last    bool  // all of it has been read
	broke   error // nothing more comes, though it is not whole
}

// pass passes on the rest of a streamed answer, piece by piece, after what is to be sent before it. Where this process ends and another
// takes clients, that other goes on with it: a client may read for longer than an ending process has.
func (d *Dispatcher) pass(f *flow) (handed bool, err error) {
	piece := pieces.Get().(*[pieceBytes]byte)
	defer pieces.Put(piece)
	defer d.letGo(f)
	may := f.whole && d.shared // what still comes of the client's message is not handed over
	d.passing(f, true)
	defer d.passing(f, false)
	f.there, f.wrote = transport.ReadableCheck(f.host), time.Now()
	for {
		if may && f.broke == nil && d.closing.Load() {
			may = false
			text, err := json.Marshal(note{Trace: f.trace, Host: f.from, Body: f.rest.State(), Framing: f.framing, Closing: f.closing, Last: f.last})
			unsent := append(bytes.Join(f.unsent, nil), f.ahead...)
			if err == nil && transport.HandOverClient(d.heir, text, unsent, f.client, f.host) {
				d.Counters.HandedOver.Add(1)
				return true, nil
			}
		}
		hurries := !f.last && f.broke == nil && d.hurries(f)
		// A nudge ends a piece too: this process ends, or hosts drain.
		if err = f.write(hurries); err != nil && !(errors.Is(err, transport.ErrWriteTimeout) && time.Since(f.wrote) < clientSilent) {
			return false, err
		}
		if hurries {
			f.broke = d.readAhead(f)
		}
		if len(f.unsent) > 0 {
			continue
		}
		switch {
		case len(f.ahead) > 0:
			n := min(len(f.ahead), pieceBytes)
			f.unsent, f.ahead = net.Buffers{f.ahead[:n]}, f.ahead[n:]
		case f.last || f.broke != nil: // the client has all that the host gave
			return false, f.broke
		default:
			f.unsent, f.broke = f.read(piece[:])
		}
	}
}

// read reads what comes next, as it is to be written; nothing where it is nudged meanwhile.
func (f *flow) read(piece []byte) (net.Buffers, error) {
	until := time.Now().Add(hostSilent)
	f.host.SetReadDeadline(until)
	n, err := f.rest.Read(piece)
	if f.last = errors.Is(err, io.EOF); f.last || errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(until) {
		err = nil
	}
	if n > 0 || f.last {
		return f.framing.EncodePiece(piece[:n], f.last), err
	}
	return nil, err
}

// hurries tells whether a host is let get rid of an answer faster than its client takes it. One that drains goes once it has written all, and
// what its own socket still holds then goes with it, megabytes at times. So as it drains this machine's socket takes in what that holds, which
// outlives the host, and the end is read ahead besides. Where the length is said that is near only towards the end.
func (d *Dispatcher) hurries(f *flow) bool {
	left, said := f.rest.Remaining()
	if !d.goes(f.from) {
		return said && left <= tailMost
	}
	if !f.wide {
		f.wide = true
		f.host.(*net.TCPConn).SetReadBuffer(goesBuffer) // fails for one that is closed, which shows when it is read
	}
	return !said || left <= goesMost
}

// write writes what is unsent, or part of it.
func (f *flow) write(soon bool) (err error) {
	had := size(f.unsent)
	if f.unsent, err = f.client.WriteStream(f.unsent, soon); err == nil {
		f.unsent = nil
	}
	if had == 0 || size(f.unsent) < had {
		f.wrote = time.Now()
	}
	return err
}

func size(parts net.Buffers) (n int) {
	for _, part := range parts {
		n += len(part)
	}
	return n
}

// readAhead takes in what a host gives. It waits for nothing. The room for it is its own: that for bodies is taken by clients that are slow
// to send, just when others are slow to read. Half of it is for answers whose end is known to be near.
func (d *Dispatcher) readAhead(f *flow) error {
	piece := pieces.Get().(*[pieceBytes]byte) // what is not sent yet may lie in the other one
	defer pieces.Put(piece)
	if len(f.ahead) == 0 {
		d.letGo(f)
	}
	for !f.last && (f.rest.Buffered() || f.there()) && d.takeAhead(f) {
		parts, err := f.read(piece[:])
		for _, part := range parts {
			f.ahead = append(f.ahead, part...)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// takeAhead takes room for a further piece.
func (d *Dispatcher) takeAhead(f *flow) bool {
	_, said := f.rest.Remaining()
	least := int64(0)
	if !said {
		least = d.aheadMost / 2
	}
	if d.ahead.Add(-pieceBytes) >= least {
		f.held += pieceBytes
		return true
	}
	d.ahead.Add(pieceBytes)
	return false
}

// letGo gives the room back.
func (d *Dispatcher) letGo(f *flow) {
	d.ahead.Add(int64(f.held))
	f.held = 0
}

// goes tells whether a host drains, or is gone from the list.
func (d *Dispatcher) goes(host logic.HostID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.list.takes(host)
}

// brokenOff says what is known of an answer that ended too soon.
func (d *Dispatcher) brokenOff(f *flow, err error, adopted bool) {
	if !d.Counters.lines.allows() {
		return
	}
	left, said := f.rest.Remaining()
	slog.Warn("answer broken off", "error", err, "trace", f.trace, "after", time.Since(f.began), "adopted", adopted, "left", left,
		"of all", said, "ahead", len(f.ahead), "drains", d.goes(f.from))
}

// passing notes whether a streamed answer is under way.
func (d *Dispatcher) passing(f *flow, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		d.streams[f] = true
	} else {
		delete(d.streams, f)
	}
}

// nudge has streams that wait for a client to read, or for a host to go on, look at whether they are to be handed over, or their hosts
// drain. One that waited for its host ended with its process once.
func (d *Dispatcher) nudge() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for f := range d.streams { // in any order: all are
		f.client.InterruptWrite()
		f.host.SetReadDeadline(time.Now())
	}
}

// ListenForHandover listens at a path for answers that the process before this one can't finish, and is where this one hands over its own.
//
// The process before is asked first for what it has learnt: one that begins by guesses rolls back what hosts could do.
func (d *Dispatcher) ListenForHandover(path string) error {
	text, err := json.Marshal(note{Asks: true})
	invariant.Check(err == nil, "a note can be written")
	if said := transport.QueryProcess(path, text); json.Unmarshal(said, &d.learnt.what) == nil {
		d.learnt.at = time.Now()
	}
	s, err := transport.ListenHandover(path)
	if err != nil {
		return err
	}
	d.heir = path
	go s.Serve(d.adopt)
	return nil
}

// turned ends with a message that is not whole as this process ends, and of which no host has anything: the next process hears it out, or
// its client is told at once to come again.
func (d *Dispatcher) turned(c *transport.Client) {
	if !d.handOver(c) {
		d.Counters.RejectedBeforeAdmission.Add(1)
		c.WriteFinal(protocol.TextResponse(503, "ends\n", 0, true))
	}
}

// handOver hands a client over with what has come of its message.
func (d *Dispatcher) handOver(c *transport.Client) (handed bool) {
	heard, all := c.Retained()
	if handed = all && d.shared && transport.HandOverClient(d.heir, nil, heard, c); handed {
		d.Counters.HandedOver.Add(1)
	}
	return handed
}

// adopt goes on with what was handed over: a message that is not whole, or an answer, and then its client.
func (d *Dispatcher) adopt(text, read []byte, conns []net.Conn) (answer []byte) {
	if len(text) == 0 && len(conns) == 1 {
		d.Counters.Adopted.Add(1)
		d.listener.AdoptPartial(conns[0], read, d.client)
		return nil
	}
	var n note
	var rest *protocol.Body
	err := json.Unmarshal(text, &n)
	if err == nil && n.Asks && len(conns) == 0 {
		return d.learned()
	}
	if err == nil && len(conns) == 2 {
		rest = n.Body.Resume(conns[1])
	}
	if rest == nil || n.Framing < protocol.FramingLength || n.Framing > protocol.FramingClose {
		slog.Warn("handed over, and not understood", "connections", len(conns), "error", err)
		for _, nc := range conns {
			nc.Close()
		}
		return nil
	}
	client, host := conns[0], conns[1]
	d.Counters.Adopted.Add(1)
	d.Counters.OpenTransactions.Add(1)
	d.listener.Adopt(client, func(c *transport.Client) {
		f := &flow{trace: n.Trace, began: time.Now(), client: c, host: host, from: n.Host, rest: rest, ahead: read,
			framing: n.Framing, closing: n.Closing, whole: true, last: n.Last}
		handed, err := d.pass(f)
		host.Close()
		d.Counters.OpenTransactions.Add(-1)
		switch {
		case handed:
			return
		case err != nil:
			d.brokenOff(f, err, true)
			if d.Counters.ResponsesCutOff.Add(1); n.Framing == protocol.FramingClose {
				c.Reset()
			}
		case !n.Closing:
			c.MarkIdle()
			d.client(c)
		}
	})
	return nil
}

// learned is what this process has learnt, for the next.
func (d *Dispatcher) learned() []byte {
	d.mu.Lock()
	what := d.opened.ExportLearned(d.now())
	d.mu.Unlock()
	text, err := json.Marshal(what)
	invariant.Check(err == nil, "what was learnt can be written")
	return text
}

// learn has the module take in what the process before had learnt, of the hosts that are known by now. Under the lock, within the module's turn.
func (d *Dispatcher) learn(now time.Duration) {
	if !d.learnt.at.IsZero() {
		d.opened.ImportLearned(now, d.learnt.what, time.Since(d.learnt.at))
	}
}
