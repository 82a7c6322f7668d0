package simwire

import (
	"bufio"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"spanmux/internal/config"
	"spanmux/logic"
)

// sender writes what one instance wants done.
type sender struct {
	in  *config.Instance
	w   *bufio.Writer
	who string
}

func (s *sender) begin(name string) {
	s.w.WriteString(name)
	s.w.WriteByte(' ')
	s.w.WriteString(s.who)
}

func (s *sender) int(n int64) {
	s.w.WriteByte(' ')
	s.w.Write(strconv.AppendInt(s.w.AvailableBuffer(), n, 10))
}

func (s *sender) text(t string) {
	s.w.WriteByte(' ')
	s.w.WriteString(t)
}

func (s *sender) end() { s.w.WriteByte('\n') }

func (s *sender) SendHop(id logic.TxID, host logic.HostID, wait time.Duration) {
	s.begin("dispatch")
	s.int(int64(id))
	s.int(int64(host))
	s.int(wait.Microseconds())
	s.end()
}

func (s *sender) CallOff(id logic.TxID, hop int) {
	s.begin("recall")
	s.int(int64(id))
	s.int(int64(hop))
	s.end()
}

func (s *sender) RollBack(id logic.TxID, after time.Duration) {
	s.begin("refuse")
	s.int(int64(id))
	s.int(after.Microseconds())
	s.end()
}

func (s *sender) Abandon(id logic.TxID) {
	s.begin("drop_request")
	s.int(int64(id))
	s.end()
}

func (s *sender) Probe(host logic.HostID) {
	s.begin("poll")
	s.int(int64(host))
	s.end()
}

func (s *sender) CloseIdleConnections(host logic.HostID) {
	s.begin("release")
	s.int(int64(host))
	s.end()
}

// SendPeerMessage takes as many messages as it needs.
func (s *sender) SendPeerMessage(to int, held []logic.PeerEntry) {
	for msg := range s.in.EncodePeerMessages(held) {
		s.begin("announce")
		s.int(int64(to))
		s.text(hex.EncodeToString(msg))
		s.end()
	}
}

func (s *sender) RequestHostList() {
	s.begin("track")
	s.int(1)
	s.end()
}

// The module keeps one timer, so one handle does.
const timerHandle = 1

// SetTimer rounds up: the module waits for a timer that it has set, and one that falls due before its time would
// be its last.
func (s *sender) SetTimer(in time.Duration) {
	s.begin("set_alarm")
	s.int(timerHandle)
	s.int((in + time.Microsecond - 1).Microseconds())
	s.end()
}

func (s *sender) Log(line string) {
	s.begin("print")
	s.text(strings.ReplaceAll(line, "\n", " "))
	s.end()
}
