// Package simwire speaks the simulator's wire: it turns the lines it reads straight into calls on the
// decisions and their answers straight into lines. The wire's names go no further than this package.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"strconv"
	"time"

	"spanmux/internal/config"
	"spanmux/logic"
)

// Serve reads batches from r and writes one reply for each to w, until the input ends.
func Serve(r io.Reader, w io.Writer) error {
	s := &server{in: bufio.NewReaderSize(r, 1<<16), out: bufio.NewWriterSize(w, 1<<16),
		instances: map[string]*config.Instance{}, names: map[string]string{}}
	for {
		line, err := s.line()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = s.event(line)
		}
		if err != nil {
			s.out.Flush()
			return fmt.Errorf("line %d: %w", s.lines, err)
		}
	}
}

type server struct {
	in        *bufio.Reader
	out       *bufio.Writer
	instances map[string]*config.Instance
	now       time.Duration
	inBatch   bool
	lines     int
	long      []byte // a line longer than the reader's buffer
	hosts     []logic.Host
	names     map[string]string // zones and machines: lists name the same few again and again
}

func (s *server) line() ([]byte, error) {
	s.lines++
	line, err := s.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		s.long = append(s.long[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = s.in.ReadSlice('\n')
			s.long = append(s.long, line...)
		}
		line = s.long
	}
	if err != nil {
		if errors.Is(err, io.EOF) && (len(line) > 0 || s.inBatch) {
			return nil, errors.New("the input ends within a batch")
		}
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// fields reads the parts of a line; the first that is wrong is kept as its error.
type fields struct {
	rest []byte
	err  error
}

func (f *fields) text() []byte {
	if f.rest == nil {
		f.fail("too few values")
		return nil
	}
	part, rest, more := bytes.Cut(f.rest, []byte(" "))
	if !more {
		rest = nil
	}
	f.rest = rest
	return part
}

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

func (f *fields) int() int64 {
	t := f.text()
	if absent(t) {
		return 0
	}
	digits, negative := t, t[0] == '-'
	if negative {
		digits = t[1:]
	}
	n := int64(0)
	for _, c := range digits {
		if c < '0' || c > '9' || n > (1<<63-10)/10 {
			f.fail("%q is not a whole number", t)
			return 0
		}
		n = n*10 + int64(c-'0')
	}
	if negative {
		return -n
	}
	return n
}

// number is a figure that need not be whole, 0 where it is absent.
func (f *fields) number() float64 {
	t := f.text()
	if absent(t) {
		return 0
	}
	n, err := strconv.ParseFloat(string(t), 64)
	if err != nil {
		f.fail("%q is not a number", t)
	}
	return n
}

func (f *fields) span() time.Duration { return time.Duration(f.int()) * time.Microsecond }

func readHeld(in *config.Instance, text []byte) ([]logic.PeerEntry, error) {
	if absent(text) {
		return nil, nil
	}
	msg, err := hex.AppendDecode(nil, text)
	if err != nil {
		return nil, err
	}
	return in.DecodePeerMessage(msg)
}

func absent(t []byte) bool { return len(t) == 0 || len(t) == 1 && t[0] == '-' }

var ends = map[string]logic.HopOutcome{
	"pass": logic.HopCommitted, "fault": logic.HopError, "no_room": logic.HopHostFull, "too_slow": logic.HopTimedOut,
	"no_route": logic.HopNoConnection, "cut": logic.HopConnectionBroken, "undone": logic.HopCalledOff, "stale_send": logic.HopNotSent,
}

func (f *fields) end() logic.HopOutcome {
	t := f.text()
	end, ok := ends[string(t)]
	if !ok {
		f.fail("unknown outcome %q", t)
	}
	return end
}

func (f *fields) load() logic.LoadReport {
	l := logic.NoLoadReport
	t := f.text()
	if absent(t) {
		return l
	}
	for len(t) > 0 {
		var pair []byte
		pair, t, _ = bytes.Cut(t, []byte(","))
		name, value, _ := bytes.Cut(pair, []byte(":"))
		var to *float64
		switch string(name) {
		case "rif":
			to = &l.InFlight
		case "q":
			to = &l.Queued
		case "busy":
			to = &l.Utilization
		case "rate":
			to = &l.RequestsPerSecond
		case "lat_ms":
			to = &l.LatencyMs
		default:
			continue
		}
		n, err := strconv.ParseFloat(string(value), 64)
		if err != nil {
			f.fail("%q is not a load report", pair)
		}
		*to = n
	}
	return l
}

// event carries out one line.
func (s *server) event(line []byte) error {
	f := &fields{rest: line}
	name := f.text()
	switch string(name) {
	case "round":
		if s.inBatch {
			return errors.New("a batch begins within a batch")
		}
		s.now, s.inBatch = f.span(), true
		return f.err
	case "end":
		if !s.inBatch {
			return errors.New("a batch ends that has not begun")
		}
		s.inBatch = false
		s.out.WriteString("done\n")
		return s.out.Flush()
	case "":
		return nil
	}
	if !s.inBatch {
		return fmt.Errorf("event %q outside a batch", name)
	}
	who := f.text()
	in := s.instances[string(who)]
	switch string(name) {
	case "open_instance":
		seed := f.int()
		if f.err != nil {
			return f.err
		}
		started, err := config.Parse(f.rest, 0)
		if err != nil {
			return err
		}
		started.Start(&sender{w: s.out, who: string(who), in: started}, s.now, uint64(seed), 0)
		s.instances[string(who)] = started
		return nil
	case "peers_known":
		return s.list(f, in)
	}
	if in == nil {
		return fmt.Errorf("%s for %q, which has not started", name, who)
	}
	return s.call(string(name), f, in, string(who))
}

func (s *server) call(name string, f *fields, in *config.Instance, who string) error {
	switch name {
	case "ingress":
		id := logic.TxID(f.int())
		f.int() // what the bits say: no decision needs it so far
		tenant := f.text()
		key := f.text()
		budget := f.span()
		f.int() // nor the guess of its cost
		profile, known := in.ProfileIndexes[string(f.rest)]
		if !known && f.err == nil {
			f.fail("unknown profile %q", f.rest)
		}
		a := logic.Arrival{ProfileIndex: profile, TenantIndex: -1, Budget: budget}
		if in.KeyAffinity && !absent(key) {
			a.AffinityKey = crc32.ChecksumIEEE(key) | 1
		}
		if t, ok := in.TenantIndexes[string(tenant)]; ok {
			a.TenantIndex = t
		}
		if f.err == nil {
			in.TransactionReceived(s.now, id, a)
		}
	case "response":
		id, n := logic.TxID(f.int()), int(f.int())
		f.int() // the host, which the hop names already
		end, took := f.end(), f.span()
		over, load := f.int() == 1, f.load()
		if f.err == nil {
			in.HopEnded(s.now, id, n, logic.HopResult{Outcome: end, Latency: took, Load: load}, over)
		}
	case "echo":
		host, end := logic.HostID(f.int()), f.text()
		f.int() // how long it took
		load := f.load()
		if string(end) != "pass" {
			load = logic.NoLoadReport
		}
		if f.err == nil {
			in.ProbeEnded(s.now, host, load)
		}
	case "timeout_fired":
		if f.int(); f.err == nil {
			in.TimerFired(s.now)
		}
	case "whisper":
		from := int(f.int())
		if from < 0 || from >= in.GatewayCount {
			f.fail("no gateway %d", from)
		}
		held, err := readHeld(in, f.text())
		if err != nil {
			f.fail("message: %w", err)
		}
		if f.err == nil {
			in.PeerMessageReceived(s.now, from, held)
		}
	case "abandoned":
		if id := logic.TxID(f.int()); f.err == nil {
			in.ClientLeft(s.now, id)
		}
	case "first":
		if id, n := logic.TxID(f.int()), int(f.int()); f.err == nil {
			in.ResponseStarted(s.now, id, n)
		}
	case "retire":
		delete(s.instances, who)
	default:
		return fmt.Errorf("unknown event %q", name)
	}
	if f.err != nil {
		return fmt.Errorf("%s: %w", name, f.err)
	}
	return nil
}

var kinds = map[int64]logic.ListKind{2: logic.ListChanges, 1: logic.ListComplete, 0: logic.ListCached, 4: logic.ListFailed}

// list reads a list with its entries, which stand on lines of their own.
func (s *server) list(f *fields, in *config.Instance) error {
	how := f.int()
	kind, ok := kinds[how]
	f.int() // its version: lists come in order
	n := f.int()
	if f.err == nil && !ok {
		f.fail("unknown kind of list %d", how)
	}
	if f.err == nil && in == nil {
		f.fail("for an instance that has not started")
	}
	if f.err != nil {
		return fmt.Errorf("peers_known: %w", f.err)
	}
	hosts := s.hosts[:0]
	for range n {
		line, err := s.line()
		if err != nil {
			return fmt.Errorf("peers_known: %w", err)
		}
		e := &fields{rest: line}
		if mark := e.text(); string(mark) != "m" {
			return fmt.Errorf("peers_known: %q where an entry belongs", line)
		}
		id, zone, machine, cell := e.int(), s.name(e.text()), s.name(e.text()), int(e.int())
		state := e.int()
		size := e.number()
		hosts = append(hosts, logic.Host{ID: logic.HostID(id), Zone: zone, Kind: machine, Cell: cell,
			State: logic.HostState(state), CapacityHint: size, StartedAt: e.span()})
		if e.err != nil || state < 0 || state > 2 {
			return fmt.Errorf("peers_known: entry %q: %w", line, errors.Join(e.err, errBadState(state)))
		}
	}
	s.hosts = hosts
	in.HostListReceived(s.now, kind, hosts)
	return nil
}

func (s *server) name(text []byte) string {
	if known, ok := s.names[string(text)]; ok {
		return known
	}
	name := string(text)
	s.names[name] = name
	return name
}

func errBadState(state int64) error {
	if state < 0 || state > 2 {
		return fmt.Errorf("unknown state %d", state)
	}
	return nil
}
