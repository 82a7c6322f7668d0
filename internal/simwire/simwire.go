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
		instances: map[string]*config.Instance{}, internedNames: map[string]string{}}
	for {
		line, err := s.readLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = s.handleEvent(line)
		}
		if err != nil {
			s.out.Flush()
			return fmt.Errorf("line %d: %w", s.lineNumber, err)
		}
	}
}

type server struct {
	in            *bufio.Reader
	out           *bufio.Writer
	instances     map[string]*config.Instance
	now           time.Duration
	inBatch       bool
	lineNumber    int
	longLine      []byte // a line longer than the reader's buffer
	hostBuffer    []logic.Host
	internedNames map[string]string // zones and machines: lists name the same few again and again
}

func (s *server) readLine() ([]byte, error) {
	s.lineNumber++
	line, err := s.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		s.longLine = append(s.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = s.in.ReadSlice('\n')
			s.longLine = append(s.longLine, line...)
		}
		line = s.longLine
	}
	if err != nil {
		if errors.Is(err, io.EOF) && (len(line) > 0 || s.inBatch) {
			return nil, errors.New("the input ends within a batch")
		}
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// lineParser reads the parts of a line; the first that is wrong is kept as its error.
type lineParser struct {
	rest []byte
	err  error
}

func (p *lineParser) nextField() []byte {
	if p.rest == nil {
		p.fail("too few values")
		return nil
	}
	field, rest, more := bytes.Cut(p.rest, []byte(" "))
	if !more {
		rest = nil
	}
	p.rest = rest
	return field
}

func (p *lineParser) fail(format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf(format, args...)
	}
}

func (p *lineParser) nextInt() int64 {
	text := p.nextField()
	if isAbsent(text) {
		return 0
	}
	digits, negative := text, text[0] == '-'
	if negative {
		digits = text[1:]
	}
	n := int64(0)
	for _, c := range digits {
		if c < '0' || c > '9' || n > (1<<63-10)/10 {
			p.fail("%q is not a whole number", text)
			return 0
		}
		n = n*10 + int64(c-'0')
	}
	if negative {
		return -n
	}
	return n
}

// nextFloat is a figure that need not be whole, 0 where it is absent.
func (p *lineParser) nextFloat() float64 {
	text := p.nextField()
	if isAbsent(text) {
		return 0
	}
	n, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		p.fail("%q is not a number", text)
	}
	return n
}

func (p *lineParser) nextDuration() time.Duration {
	return time.Duration(p.nextInt()) * time.Microsecond
}

func decodePeerMessage(instance *config.Instance, text []byte) ([]logic.PeerEntry, error) {
	if isAbsent(text) {
		return nil, nil
	}
	msg, err := hex.AppendDecode(nil, text)
	if err != nil {
		return nil, err
	}
	return instance.DecodePeerMessage(msg)
}

func isAbsent(text []byte) bool { return len(text) == 0 || len(text) == 1 && text[0] == '-' }

var outcomesByName = map[string]logic.HopOutcome{
	"pass": logic.HopCommitted, "fault": logic.HopError, "no_room": logic.HopHostFull, "too_slow": logic.HopTimedOut,
	"no_route": logic.HopNoConnection, "cut": logic.HopConnectionBroken, "undone": logic.HopCalledOff, "stale_send": logic.HopNotSent,
}

func (p *lineParser) nextOutcome() logic.HopOutcome {
	text := p.nextField()
	outcome, ok := outcomesByName[string(text)]
	if !ok {
		p.fail("unknown outcome %q", text)
	}
	return outcome
}

func (p *lineParser) nextLoadReport() logic.LoadReport {
	report := logic.NoLoadReport
	text := p.nextField()
	if isAbsent(text) {
		return report
	}
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte(","))
		name, value, _ := bytes.Cut(pair, []byte(":"))
		var target *float64
		switch string(name) {
		case "rif":
			target = &report.InFlight
		case "q":
			target = &report.Queued
		case "busy":
			target = &report.Utilization
		case "rate":
			target = &report.RequestsPerSecond
		case "lat_ms":
			target = &report.LatencyMs
		default:
			continue
		}
		n, err := strconv.ParseFloat(string(value), 64)
		if err != nil {
			p.fail("%q is not a load report", pair)
		}
		*target = n
	}
	return report
}

// handleEvent carries out one line.
func (s *server) handleEvent(line []byte) error {
	p := &lineParser{rest: line}
	event := p.nextField()
	switch string(event) {
	case "round":
		if s.inBatch {
			return errors.New("a batch begins within a batch")
		}
		s.now, s.inBatch = p.nextDuration(), true
		return p.err
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
		return fmt.Errorf("event %q outside a batch", event)
	}
	instanceName := p.nextField()
	instance := s.instances[string(instanceName)]
	switch string(event) {
	case "open_instance":
		seed := p.nextInt()
		if p.err != nil {
			return p.err
		}
		started, err := config.Parse(p.rest, 0)
		if err != nil {
			return err
		}
		started.Start(&actionWriter{out: s.out, instanceName: string(instanceName), instance: started}, s.now, uint64(seed), 0)
		s.instances[string(instanceName)] = started
		return nil
	case "peers_known":
		return s.handleHostList(p, instance)
	}
	if instance == nil {
		return fmt.Errorf("%s for %q, which has not started", event, instanceName)
	}
	return s.handleInstanceEvent(string(event), p, instance, string(instanceName))
}

func (s *server) handleInstanceEvent(event string, p *lineParser, instance *config.Instance, instanceName string) error {
	switch event {
	case "ingress":
		id := logic.TxID(p.nextInt())
		p.nextInt() // what the bits say: no decision needs it so far
		tenantName := p.nextField()
		objectKey := p.nextField()
		budget := p.nextDuration()
		p.nextInt() // nor the guess of its cost
		profile, known := instance.ProfileIndexes[string(p.rest)]
		if !known && p.err == nil {
			p.fail("unknown profile %q", p.rest)
		}
		arrival := logic.Arrival{ProfileIndex: profile, TenantIndex: -1, Budget: budget}
		if instance.KeyAffinity && !isAbsent(objectKey) {
			arrival.AffinityKey = crc32.ChecksumIEEE(objectKey) | 1
		}
		if tenant, ok := instance.TenantIndexes[string(tenantName)]; ok {
			arrival.TenantIndex = tenant
		}
		if p.err == nil {
			instance.TransactionReceived(s.now, id, arrival)
		}
	case "response":
		id, hop := logic.TxID(p.nextInt()), int(p.nextInt())
		p.nextInt() // the host, which the hop names already
		outcome, latency := p.nextOutcome(), p.nextDuration()
		answered, load := p.nextInt() == 1, p.nextLoadReport()
		if p.err == nil {
			instance.HopEnded(s.now, id, hop, logic.HopResult{Outcome: outcome, Latency: latency, Load: load}, answered)
		}
	case "echo":
		host, outcome := logic.HostID(p.nextInt()), p.nextField()
		p.nextInt() // how long it took
		load := p.nextLoadReport()
		if string(outcome) != "pass" {
			load = logic.NoLoadReport
		}
		if p.err == nil {
			instance.ProbeEnded(s.now, host, load)
		}
	case "timeout_fired":
		if p.nextInt(); p.err == nil {
			instance.TimerFired(s.now)
		}
	case "whisper":
		from := int(p.nextInt())
		if from < 0 || from >= instance.GatewayCount {
			p.fail("no gateway %d", from)
		}
		entries, err := decodePeerMessage(instance, p.nextField())
		if err != nil {
			p.fail("message: %w", err)
		}
		if p.err == nil {
			instance.PeerMessageReceived(s.now, from, entries)
		}
	case "abandoned":
		if id := logic.TxID(p.nextInt()); p.err == nil {
			instance.ClientLeft(s.now, id)
		}
	case "first":
		if id, hop := logic.TxID(p.nextInt()), int(p.nextInt()); p.err == nil {
			instance.ResponseStarted(s.now, id, hop)
		}
	case "retire":
		delete(s.instances, instanceName)
	default:
		return fmt.Errorf("unknown event %q", event)
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w", event, p.err)
	}
	return nil
}

var listKindsByNumber = map[int64]logic.ListKind{2: logic.ListChanges, 1: logic.ListComplete, 0: logic.ListCached, 4: logic.ListFailed}

// handleHostList reads a list with its entries, which stand on lines of their own.
func (s *server) handleHostList(p *lineParser, instance *config.Instance) error {
	kindNumber := p.nextInt()
	kind, ok := listKindsByNumber[kindNumber]
	p.nextInt() // its version: lists come in order
	hostCount := p.nextInt()
	if p.err == nil && !ok {
		p.fail("unknown kind of list %d", kindNumber)
	}
	if p.err == nil && instance == nil {
		p.fail("for an instance that has not started")
	}
	if p.err != nil {
		return fmt.Errorf("peers_known: %w", p.err)
	}
	hosts := s.hostBuffer[:0]
	for range hostCount {
		line, err := s.readLine()
		if err != nil {
			return fmt.Errorf("peers_known: %w", err)
		}
		entry := &lineParser{rest: line}
		if prefix := entry.nextField(); string(prefix) != "m" {
			return fmt.Errorf("peers_known: %q where an entry belongs", line)
		}
		id, zone, machine, cell := entry.nextInt(), s.intern(entry.nextField()), s.intern(entry.nextField()), int(entry.nextInt())
		state := entry.nextInt()
		capacityHint := entry.nextFloat()
		hosts = append(hosts, logic.Host{ID: logic.HostID(id), Zone: zone, Kind: machine, Cell: cell,
			State: logic.HostState(state), CapacityHint: capacityHint, StartedAt: entry.nextDuration()})
		if entry.err != nil || state < 0 || state > 2 {
			return fmt.Errorf("peers_known: entry %q: %w", line, errors.Join(entry.err, checkHostState(state)))
		}
	}
	s.hostBuffer = hosts
	instance.HostListReceived(s.now, kind, hosts)
	return nil
}

func (s *server) intern(text []byte) string {
	if known, ok := s.internedNames[string(text)]; ok {
		return known
	}
	name := string(text)
	s.internedNames[name] = name
	return name
}

func checkHostState(state int64) error {
	if state < 0 || state > 2 {
		return fmt.Errorf("unknown state %d", state)
	}
	return nil
}
