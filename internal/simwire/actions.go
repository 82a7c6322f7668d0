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

// actionWriter writes the actions of one gateway instance, one a line. It implements logic.Executor.
type actionWriter struct {
	instance     *config.ConfiguredCore
	out          *bufio.Writer
	instanceName string
}

// beginAction writes the name of an action and of the instance; its arguments and endLine follow.
func (a *actionWriter) beginAction(action string) {
	a.out.WriteString(action)
	a.out.WriteByte(' ')
	a.out.WriteString(a.instanceName)
}

// writeInt writes an argument of the action.
func (a *actionWriter) writeInt(n int64) {
	a.out.WriteByte(' ')
	a.out.Write(strconv.AppendInt(a.out.AvailableBuffer(), n, 10))
}

// writeText writes an argument of the action, without quoting.
func (a *actionWriter) writeText(text string) {
	a.out.WriteByte(' ')
	a.out.WriteString(text)
}

// endLine ends the action.
func (a *actionWriter) endLine() { a.out.WriteByte('\n') }

func (a *actionWriter) SendHop(id logic.TxID, host logic.HostID, limits logic.HopLimits) {
	a.beginAction("dispatch")
	a.writeInt(int64(id))
	a.writeInt(int64(host))
	a.writeInt(limits.Timeout.Microseconds())
	a.endLine()
}

func (a *actionWriter) CallOff(id logic.TxID, hop int) {
	a.beginAction("recall")
	a.writeInt(int64(id))
	a.writeInt(int64(hop))
	a.endLine()
}

func (a *actionWriter) RollBack(id logic.TxID, retryAfter time.Duration) {
	a.beginAction("refuse")
	a.writeInt(int64(id))
	a.writeInt(retryAfter.Microseconds())
	a.endLine()
}

func (a *actionWriter) Abandon(id logic.TxID) {
	a.beginAction("drop_request")
	a.writeInt(int64(id))
	a.endLine()
}

func (a *actionWriter) Probe(host logic.HostID) {
	a.beginAction("poll")
	a.writeInt(int64(host))
	a.endLine()
}

func (a *actionWriter) CloseIdleConnections(host logic.HostID) {
	a.beginAction("release")
	a.writeInt(int64(host))
	a.endLine()
}

// SendPeerMessage sends entries in as many messages as they need.
func (a *actionWriter) SendPeerMessage(to int, entries []logic.PeerEntry) {
	for message := range a.instance.EncodePeerMessages(entries) {
		a.beginAction("announce")
		a.writeInt(int64(to))
		a.writeText(hex.EncodeToString(message))
		a.endLine()
	}
}

func (a *actionWriter) RequestHostList() {
	a.beginAction("track")
	a.writeInt(1)
	a.endLine()
}

// timerHandle is the handle of the only timer that the decision core keeps.
const timerHandle = 1

// SetTimer rounds the delay up to whole microseconds: the decision core sets no other timer while it waits for this one, and
// would wait for ever after one that fired early.
func (a *actionWriter) SetTimer(delay time.Duration) {
	a.beginAction("set_alarm")
	a.writeInt(timerHandle)
	a.writeInt((delay + time.Microsecond - 1).Microseconds())
	a.endLine()
}

func (a *actionWriter) Log(line string) {
	a.beginAction("print")
	a.writeText(strings.ReplaceAll(line, "\n", " "))
	a.endLine()
}
