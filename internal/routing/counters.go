package routing

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"spanmux/internal/invariant"
	"spanmux/logic"
)

type counter = atomic.Int64

// Counters counts what the gateway takes in, sends and answers.
type Counters struct {
	Admitted, Committed, RolledBack, Abandoned                                   counter
	ClientLeft, Declined                                                         counter
	ClientLeftBeforeAdmission                                                    counter // whole messages whose clients had closed before they were taken
	RejectedBeforeAdmission, InvalidInputs, ResponsesUnwritten, ClientReadErrors counter
	Hops, HopsWritten                                                            counter // begun, and written whole
	HopsWithdrawn                                                                counter // not written, as nobody waited any more or the host took nothing new
	HopsNoSocket                                                                 counter // not written, as no socket came free for it
	ResponsesStreamed, ResponsesCutOff                                           counter // answers begun to be passed on in pieces; of these, those broken off
	OpenTransactions                                                             counter // taken and not ended
	HandedOver, Adopted                                                          counter // streamed answers that went over to the next process, and came from the one before
	SettingsApplied, SettingsRejected                                            counter // files taken and turned down
	HopOutcomes                                                                  [logic.HopNotSent + 1]counter
	Probes, ProbesAnswered                                                       counter
	ListCalls, ListCallsFailed                                                   counter
	ListCallsRetried, ListsStale                                                 counter // had again at once, as the watch was cut off; older than what is in hand, and not taken
	PeerMessages, PeerMessagesReceived, PeerMessagesInvalid                      counter
	PeerMessagesUnsent                                                           counter
	PickRequests, PickResponses                                                  counter    // for a host drawn by another gateway; answers that came, late ones too
	ResponseMicroseconds                                                         counter    // from taken to answered, of all together
	warningLimiter                                                               logLimiter // of what comes from outside
	coreLogLimiter                                                               logLimiter // of the module
}

// profileCounters counts the answers to the transactions of one profile, each as its last byte is written.
type profileCounters struct{ committed, rolledBack, aborted counter }

// forResponse is where an answer counts: one that can't be written is aborted, as is all that is neither committed nor rolled back.
func (p *profileCounters) forResponse(status int, written bool) *counter {
	switch {
	case written && status == 200:
		return &p.committed
	case written && (status == 503 || status == 429):
		return &p.rolledBack
	}
	return &p.aborted
}

// addProfileCounters sees to it that each profile has a tally; one that is dropped keeps its own. Under the lock, once others may call.
func (d *Dispatcher) addProfileCounters() {
	for name := range d.core.ProfileIndexes { // in any order: each gets its own
		if d.profileCounters[name] == nil {
			d.profileCounters[name] = &profileCounters{}
		}
	}
}

// MetricsJSON is what the operators' door shows, under the names that they have for it.
func (d *Dispatcher) MetricsJSON() []byte {
	metrics := struct {
		Succeeded   map[string]int64 `json:"succeeded"`
		Declined    map[string]int64 `json:"declined"`
		Aborted     map[string]int64 `json:"aborted"`
		Forwards    int64            `json:"forwards"`
		Outstanding int64            `json:"outstanding"`
		Discovered  int              `json:"discovered"`
		Ejected     int              `json:"ejected"`
		Applied     int64            `json:"sighup_applied"`
		Rejected    int64            `json:"sighup_rejected"`
	}{Succeeded: map[string]int64{}, Declined: map[string]int64{}, Aborted: map[string]int64{},
		Forwards: d.Counters.HopsWritten.Load(), Outstanding: d.Counters.OpenTransactions.Load(),
		Applied: d.Counters.SettingsApplied.Load(), Rejected: d.Counters.SettingsRejected.Load()}
	d.mu.Lock()
	for name, counters := range d.profileCounters { // in any order: it is written in that of the names
		metrics.Succeeded[name] = counters.committed.Load()
		metrics.Declined[name], metrics.Aborted[name] = counters.rolledBack.Load(), counters.aborted.Load()
	}
	metrics.Discovered, metrics.Ejected = len(d.discovery.addrByID), d.core.AvoidedHosts()
	d.mu.Unlock()
	text, err := json.Marshal(metrics)
	invariant.Check(err == nil, "figures can be written")
	return text
}

// recordInvalidInput counts bad input; what it was is logged within a bound.
func (c *Counters) recordInvalidInput(reason string, attrs ...any) {
	c.InvalidInputs.Add(1)
	if c.warningLimiter.allow() {
		slog.Warn("wrong input", append([]any{"what", reason}, attrs...)...)
	}
}

// logLimiter lets so many lines a second through.
type logLimiter struct{ second, lines atomic.Int64 }

func (l *logLimiter) allow() bool {
	if now := time.Now().Unix(); l.second.Swap(now) != now {
		l.lines.Store(0)
	}
	return l.lines.Add(1) <= maxLogLinesPerSecond
}

// CountersText is all that is counted, a line each.
func (d *Dispatcher) CountersText() string {
	counters := &d.Counters
	var text strings.Builder
	for _, c := range []struct {
		name string
		n    *counter
	}{
		{"tx_taken", &counters.Admitted}, {"tx_committed", &counters.Committed}, {"tx_rolled_back", &counters.RolledBack},
		{"tx_abandoned", &counters.Abandoned}, {"tx_left", &counters.ClientLeft}, {"tx_left_before", &counters.ClientLeftBeforeAdmission}, {"tx_declined", &counters.Declined},
		{"tx_turned_away", &counters.RejectedBeforeAdmission},
		{"tx_answers_unwritten", &counters.ResponsesUnwritten}, {"tx_microseconds", &counters.ResponseMicroseconds}, {"hops", &counters.Hops},
		{"hops_written", &counters.HopsWritten}, {"hops_withdrawn", &counters.HopsWithdrawn}, {"hops_no_room", &counters.HopsNoSocket},
		{"answers_streamed", &counters.ResponsesStreamed}, {"answers_cut_off", &counters.ResponsesCutOff},
		{"answers_handed_over", &counters.HandedOver}, {"answers_adopted", &counters.Adopted}, {"tx_open", &counters.OpenTransactions},
		{"files_taken", &counters.SettingsApplied}, {"files_turned_down", &counters.SettingsRejected},
		{"hops_committed", &counters.HopOutcomes[logic.HopCommitted]}, {"hops_error", &counters.HopOutcomes[logic.HopError]},
		{"hops_full", &counters.HopOutcomes[logic.HopHostFull]}, {"hops_timed_out", &counters.HopOutcomes[logic.HopTimedOut]},
		{"hops_no_connection", &counters.HopOutcomes[logic.HopNoConnection]}, {"hops_broken", &counters.HopOutcomes[logic.HopConnectionBroken]},
		{"hops_called_off", &counters.HopOutcomes[logic.HopCalledOff]}, {"hops_declined", &counters.HopOutcomes[logic.HopNotSent]},
		{"probes", &counters.Probes}, {"probes_answered", &counters.ProbesAnswered},
		{"lists", &counters.ListCalls}, {"lists_lost", &counters.ListCallsFailed}, {"lists_again", &counters.ListCallsRetried},
		{"lists_older", &counters.ListsStale}, {"tells", &counters.PeerMessages}, {"tells_unsent", &counters.PeerMessagesUnsent},
		{"asks", &counters.PickRequests}, {"asks_answered", &counters.PickResponses}, {"told", &counters.PeerMessagesReceived}, {"told_wrong", &counters.PeerMessagesInvalid}, {"wrong_input", &counters.InvalidInputs},
		{"clients_accepted", &d.listener.Accepted}, {"clients_crowded", &d.listener.AcceptedOverLimit},
		{"clients_gave_way", &d.listener.Evicted},
		{"clients_broke", &counters.ClientReadErrors}, {"hosts_connections", &d.pool.Opened},
		{"hosts_connections_gave_way", &d.pool.Evicted}, {"must_broken", &invariant.Violations},
	} {
		fmt.Fprintf(&text, "spanmux_%s %d\n", c.name, c.n.Load())
	}
	return text.String()
}
