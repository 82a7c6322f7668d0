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

type count = atomic.Int64

// Counters counts what the gateway takes in, sends and answers.
type Counters struct {
	Admitted, Committed, RolledBack, Abandoned                                   count
	ClientLeft, Declined                                                         count
	ClientLeftBeforeAdmission                                                    count // whole messages whose clients had closed before they were taken
	RejectedBeforeAdmission, InvalidInputs, ResponsesUnwritten, ClientReadErrors count
	Hops, HopsWritten                                                            count // begun, and written whole
	HopsWithdrawn                                                                count // not written, as nobody waited any more or the host took nothing new
	HopsNoSocket                                                                 count // not written, as no socket came free for it
	ResponsesStreamed, ResponsesCutOff                                           count // answers begun to be passed on in pieces; of these, those broken off
	OpenTransactions                                                             count // taken and not ended
	HandedOver, Adopted                                                          count // streamed answers that went over to the next process, and came from the one before
	SettingsApplied, SettingsRejected                                            count // files taken and turned down
	HopOutcomes                                                                  [logic.HopNotSent + 1]count
	Probes, ProbesAnswered                                                       count
	ListCalls, ListCallsFailed                                                   count
	ListCallsRetried, ListsStale                                                 count // had again at once, as the watch was cut off; older than what is in hand, and not taken
	PeerMessages, PeerMessagesReceived, PeerMessagesInvalid                      count
	PeerMessagesUnsent                                                           count
	PickRequests, PickResponses                                                  count // for a host drawn by another gateway; answers that came, late ones too
	ResponseMicroseconds                                                         count // from taken to answered, of all together
	lines                                                                        bound // of what comes from outside
	says                                                                         bound // of the module
}

// tally counts the answers to the transactions of one profile, each as its last byte is written.
type tally struct{ committed, rolledBack, aborted count }

// of is where an answer counts: one that can't be written is aborted, as is all that is neither committed nor rolled back.
func (y *tally) of(status int, written bool) *count {
	switch {
	case written && status == 200:
		return &y.committed
	case written && (status == 503 || status == 429):
		return &y.rolledBack
	}
	return &y.aborted
}

// named sees to it that each profile has a tally; one that is dropped keeps its own. Under the lock, once others may call.
func (d *Dispatcher) named() {
	for name := range d.opened.ProfileIndexes { // in any order: each gets its own
		if d.tallies[name] == nil {
			d.tallies[name] = &tally{}
		}
	}
}

// MetricsJSON is what the operators' door shows, under the names that they have for it.
func (d *Dispatcher) MetricsJSON() []byte {
	shown := struct {
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
	for name, y := range d.tallies { // in any order: it is written in that of the names
		shown.Succeeded[name] = y.committed.Load()
		shown.Declined[name], shown.Aborted[name] = y.rolledBack.Load(), y.aborted.Load()
	}
	shown.Discovered, shown.Ejected = len(d.list.addr), d.opened.AvoidedHosts()
	d.mu.Unlock()
	text, err := json.Marshal(shown)
	invariant.Check(err == nil, "figures can be written")
	return text
}

// wrong counts bad input; what it was is logged within a bound.
func (b *Counters) wrong(what string, more ...any) {
	b.InvalidInputs.Add(1)
	if b.lines.allows() {
		slog.Warn("wrong input", append([]any{"what", what}, more...)...)
	}
}

// bound lets so many lines a second through.
type bound struct{ second, lines atomic.Int64 }

func (b *bound) allows() bool {
	if now := time.Now().Unix(); b.second.Swap(now) != now {
		b.lines.Store(0)
	}
	return b.lines.Add(1) <= linesMost
}

// CountersText is all that is counted, a line each.
func (d *Dispatcher) CountersText() string {
	b := &d.Counters
	var s strings.Builder
	for _, c := range []struct {
		name string
		n    *count
	}{
		{"tx_taken", &b.Admitted}, {"tx_committed", &b.Committed}, {"tx_rolled_back", &b.RolledBack},
		{"tx_abandoned", &b.Abandoned}, {"tx_left", &b.ClientLeft}, {"tx_left_before", &b.ClientLeftBeforeAdmission}, {"tx_declined", &b.Declined},
		{"tx_turned_away", &b.RejectedBeforeAdmission},
		{"tx_answers_unwritten", &b.ResponsesUnwritten}, {"tx_microseconds", &b.ResponseMicroseconds}, {"hops", &b.Hops},
		{"hops_written", &b.HopsWritten}, {"hops_withdrawn", &b.HopsWithdrawn}, {"hops_no_room", &b.HopsNoSocket},
		{"answers_streamed", &b.ResponsesStreamed}, {"answers_cut_off", &b.ResponsesCutOff},
		{"answers_handed_over", &b.HandedOver}, {"answers_adopted", &b.Adopted}, {"tx_open", &b.OpenTransactions},
		{"files_taken", &b.SettingsApplied}, {"files_turned_down", &b.SettingsRejected},
		{"hops_committed", &b.HopOutcomes[logic.HopCommitted]}, {"hops_error", &b.HopOutcomes[logic.HopError]},
		{"hops_full", &b.HopOutcomes[logic.HopHostFull]}, {"hops_timed_out", &b.HopOutcomes[logic.HopTimedOut]},
		{"hops_no_connection", &b.HopOutcomes[logic.HopNoConnection]}, {"hops_broken", &b.HopOutcomes[logic.HopConnectionBroken]},
		{"hops_called_off", &b.HopOutcomes[logic.HopCalledOff]}, {"hops_declined", &b.HopOutcomes[logic.HopNotSent]},
		{"probes", &b.Probes}, {"probes_answered", &b.ProbesAnswered},
		{"lists", &b.ListCalls}, {"lists_lost", &b.ListCallsFailed}, {"lists_again", &b.ListCallsRetried},
		{"lists_older", &b.ListsStale}, {"tells", &b.PeerMessages}, {"tells_unsent", &b.PeerMessagesUnsent},
		{"asks", &b.PickRequests}, {"asks_answered", &b.PickResponses}, {"told", &b.PeerMessagesReceived}, {"told_wrong", &b.PeerMessagesInvalid}, {"wrong_input", &b.InvalidInputs},
		{"clients_accepted", &d.listener.Accepted}, {"clients_crowded", &d.listener.AcceptedOverLimit},
		{"clients_gave_way", &d.listener.Evicted},
		{"clients_broke", &b.ClientReadErrors}, {"hosts_connections", &d.pool.Opened},
		{"hosts_connections_gave_way", &d.pool.Evicted}, {"must_broken", &invariant.Violations},
	} {
		fmt.Fprintf(&s, "spanmux_%s %d\n", c.name, c.n.Load())
	}
	return s.String()
}
