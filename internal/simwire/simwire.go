// Package simwire implements the line protocol of the simulator: it reads events, calls the decision cores of the gateway instances that the
// simulator has opened, and writes the actions that these take. The protocol's names are used in this package only.
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
		instances: map[string]*config.ConfiguredCore{}, internedNames: map[string]string{}}
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

// server reads the events of all gateway instances and keeps their state.
type server struct {
	in            *bufio.Reader
	out           *bufio.Writer
	instances     map[string]*config.ConfiguredCore
	now           time.Duration
	inBatch       bool
	lineNumber    int
	longLine      []byte            // holds a line longer than the reader's buffer; reused
	hostBuffer    []logic.Host      // the hosts of the last list; reused
	internedNames map[string]string // zones and machine types, which every host list repeats
}

// readLine returns the next line without its end, valid until the next call.
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
			return nil, errors.New("unexpected end of input in a batch")
		}
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// lineParser reads the fields of a line, which are separated by single spaces, and keeps the first error.
type lineParser struct {
	rest []byte
	err  error
}

// nextField returns the next field and fails if there is none.
func (p *lineParser) nextField() []byte {
	if p.rest == nil {
		p.fail("too few fields")
		return nil
	}
	field, rest, more := bytes.Cut(p.rest, []byte(" "))
	if !more {
		rest = nil
	}
	p.rest = rest
	return field
}

// fail keeps the error unless there is one already.
func (p *lineParser) fail(format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf(format, args...)
	}
}

// nextInt reads a whole number, 0 if the field is absent.
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
			p.fail("%q is not an integer", text)
			return 0
		}
		n = n*10 + int64(c-'0')
	}
	if negative {
		return -n
	}
	return n
}

// nextFloat reads a number, 0 if the field is absent.
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

// nextDuration reads a whole number of microseconds.
func (p *lineParser) nextDuration() time.Duration {
	return time.Duration(p.nextInt()) * time.Microsecond
}

// decodePeerMessage decodes a peer message in hexadecimal digits.
func decodePeerMessage(instance *config.ConfiguredCore, text []byte) ([]logic.PeerEntry, error) {
	if isAbsent(text) {
		return nil, nil
	}
	msg, err := hex.AppendDecode(nil, text)
	if err != nil {
		return nil, err
	}
	return instance.DecodePeerMessage(msg)
}

// isAbsent reports whether a field has no value: it is empty or "-".
func isAbsent(text []byte) bool { return len(text) == 0 || len(text) == 1 && text[0] == '-' }

// outcomesByName has the protocol's names of hop outcomes.
var outcomesByName = map[string]logic.HopOutcome{
	"pass": logic.HopCommitted, "fault": logic.HopError, "no_room": logic.HopHostFull, "too_slow": logic.HopTimedOut,
	"no_route": logic.HopNoConnection, "cut": logic.HopConnectionBroken, "undone": logic.HopCalledOff, "stale_send": logic.HopNotRun,
}

// nextOutcome reads the outcome of a hop.
func (p *lineParser) nextOutcome() logic.HopOutcome {
	text := p.nextField()
	outcome, ok := outcomesByName[string(text)]
	if !ok {
		p.fail("unknown outcome %q", text)
	}
	return outcome
}

// nextLoadReport reads a load report such as "rif:3,q:1". Unknown names are skipped.
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

// handleEvent handles one line, which is an event or the beginning or end of a batch.
func (s *server) handleEvent(line []byte) error {
	p := &lineParser{rest: line}
	event := p.nextField()
	switch string(event) {
	case "round":
		if s.inBatch {
			return errors.New("batch within a batch")
		}
		s.now, s.inBatch = p.nextDuration(), true
		return p.err
	case "end":
		if !s.inBatch {
			return errors.New("end of a batch that has not begun")
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
		return fmt.Errorf("%s for instance %q, which is not open", event, instanceName)
	}
	return s.handleInstanceEvent(string(event), p, instance, string(instanceName))
}

// handleInstanceEvent handles an event for an open instance.
func (s *server) handleInstanceEvent(event string, p *lineParser, instance *config.ConfiguredCore, instanceName string) error {
	switch event {
	case "ingress":
		id := logic.TxID(p.nextInt())
		p.nextInt() // flags, which no decision needs
		tenantName := p.nextField()
		objectKey := p.nextField()
		budget := p.nextDuration()
		p.nextInt() // estimated cost, which no decision needs
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
		p.nextInt() // the host, which the hop implies
		outcome, latency := p.nextOutcome(), p.nextDuration()
		answered, load := p.nextInt() == 1, p.nextLoadReport()
		if p.err == nil {
			instance.HopEnded(s.now, id, hop, logic.HopResult{Outcome: outcome, Latency: latency, Load: load}, answered)
		}
	case "echo":
		host, outcome := logic.HostID(p.nextInt()), p.nextField()
		p.nextInt() // latency of the probe
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
			p.fail("unknown gateway %d", from)
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

// listKindsByNumber has the protocol's numbers of kinds of host lists.
var listKindsByNumber = map[int64]logic.ListKind{2: logic.ListChanges, 1: logic.ListComplete, 0: logic.ListCached, 4: logic.ListFailed}

// handleHostList reads a host list, with one host on each of the following lines.
func (s *server) handleHostList(p *lineParser, instance *config.ConfiguredCore) error {
	kindNumber := p.nextInt()
	kind, ok := listKindsByNumber[kindNumber]
	p.nextInt() // version, which is not needed: lists come in order
	hostCount := p.nextInt()
	if p.err == nil && !ok {
		p.fail("unknown list kind %d", kindNumber)
	}
	if p.err == nil && instance == nil {
		p.fail("instance is not open")
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
			return fmt.Errorf("peers_known: %q is not a host entry", line)
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

// intern returns the text as a string that is allocated once.
func (s *server) intern(text []byte) string {
	if known, ok := s.internedNames[string(text)]; ok {
		return known
	}
	name := string(text)
	s.internedNames[name] = name
	return name
}

// checkHostState returns an error for a number that is no host state.
func checkHostState(state int64) error {
	if state < 0 || state > 2 {
		return fmt.Errorf("unknown state %d", state)
	}
	return nil
}
