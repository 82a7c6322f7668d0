package routing

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"spanmux/internal/invariant"
	"spanmux/internal/logging"
	"spanmux/logic"
)

// counter is a count that may be read at any time.
type counter = atomic.Int64

// Counters counts what the gateway receives, sends and answers.
type Counters struct {
	// Transactions, by how they ended.
	Admitted, Committed, RolledBack, Abandoned counter
	ClientLeft, Declined                       counter
	// ClientLeftBeforeAdmission counts complete requests whose clients had closed before admission.
	ClientLeftBeforeAdmission counter
	// RejectedForMemory counts those rejected before admission for which there was no memory.
	RejectedForMemory counter
	// RejectedForUnread and AbandonedForUnread count those whose clients sent too much behind them.
	RejectedForUnread, AbandonedForUnread                                        counter
	RejectedBeforeAdmission, InvalidInputs, ResponsesUnwritten, ClientReadErrors counter

	// Hops that were begun, and those written completely.
	Hops, HopsWritten counter
	// HopsWithdrawn counts hops not written as the transaction was over or the host accepted no new hops.
	HopsWithdrawn counter
	// HopsNotAccepted counts hops of which the host did not accept the whole request in time.
	HopsNotAccepted counter
	// HopsNoSocket counts hops not written as no socket came free for them.
	HopsNoSocket counter

	// Responses that began to be streamed, and those of them that were broken off.
	ResponsesStreamed, ResponsesCutOff counter
	// StreamsRefused counts responses that were abandoned as too many others were being streamed.
	StreamsRefused counter
	// OpenTransactions is the number of transactions admitted and not ended.
	OpenTransactions counter
	// Clients handed over to the next process and adopted from the previous one, within a streamed response or a request.
	HandedOver, Adopted counter
	// Configuration files applied and rejected.
	SettingsApplied, SettingsRejected counter
	HopOutcomes                       [logic.HopNotRun + 1]counter
	Probes, ProbesAnswered            counter

	// Calls for the host list.
	ListCalls, ListCallsFailed counter
	// Calls repeated immediately after an interrupted watch; lists not applied because they were
	// older than the current one.
	ListCallsRetried, ListsStale counter
	// HostsSuperseded counts listed hosts at whose address another one has started.
	HostsSuperseded counter

	// Datagrams to and from other gateways.
	PeerMessages, PeerMessagesReceived, PeerMessagesInvalid counter
	PeerMessagesUnsent                                      counter
	// Requests that another gateway pick a host; responses received, late ones too.
	PickRequests, PickResponses counter

	// ResponseMicroseconds is the total time from admission to response.
	ResponseMicroseconds counter

	warningLimiter logLimiter // for warnings about input and peers
	coreLogLimiter logLimiter // for messages of the decision core
}

// profileCounters counts the responses to the transactions of one profile, each once its last byte is
// written.
type profileCounters struct{ committed, rolledBack, aborted counter }

// forResponse returns the counter for a response. One that can't be written counts as aborted, as does
// every status that means neither committed nor rolled back.
func (p *profileCounters) forResponse(status int, written bool) *counter {
	switch {
	case written && status == 200:
		return &p.committed
	case written && (status == 503 || status == 429):
		return &p.rolledBack
	}
	return &p.aborted
}

// addProfileCounters makes sure that each profile has counters; those of a removed profile are kept.
// The caller holds d.mu once other goroutines use d.
func (d *Dispatcher) addProfileCounters() {
	for name := range d.core.ProfileIndexes { // the order doesn't matter
		if d.profileCounters[name] == nil {
			d.profileCounters[name] = &profileCounters{}
		}
	}
}

// MetricsJSON returns the figures that the admin server shows.
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
	d.lockCore()
	for name, counters := range d.profileCounters { // encoding/json sorts the keys
		metrics.Succeeded[name] = counters.committed.Load()
		metrics.Declined[name], metrics.Aborted[name] = counters.rolledBack.Load(), counters.aborted.Load()
	}
	metrics.Discovered, metrics.Ejected = len(d.discovery.addrByID), d.core.AvoidedHosts()
	d.mu.Unlock()
	text, err := json.Marshal(metrics)
	invariant.Check(err == nil, "metrics can be encoded")
	return text
}

// recordInvalidInput counts invalid input and logs the reason, within the rate limit.
func (c *Counters) recordInvalidInput(reason string, attrs ...any) {
	c.InvalidInputs.Add(1)
	if c.warningLimiter.allow() {
		slog.Warn("invalid input", append([]any{"reason", reason}, attrs...)...)
	}
}

// logLimiter limits log lines to maxLogLinesPerSecond.
type logLimiter struct{ second, lines atomic.Int64 }

// allow reports whether one more line may be logged in the current second.
func (l *logLimiter) allow() bool {
	if now := time.Now().Unix(); l.second.Swap(now) != now {
		l.lines.Store(0)
	}
	return l.lines.Add(1) <= maxLogLinesPerSecond
}

// CountersText returns all counters, one a line.
func (d *Dispatcher) CountersText() string {
	counters := &d.Counters
	var text strings.Builder
	for _, c := range []struct {
		name string
		n    *counter
	}{
		{"tx_taken", &counters.Admitted}, {"tx_committed", &counters.Committed}, {"tx_rolled_back", &counters.RolledBack},
		{"tx_abandoned", &counters.Abandoned}, {"tx_left", &counters.ClientLeft}, {"tx_left_before", &counters.ClientLeftBeforeAdmission}, {"tx_declined", &counters.Declined},
		{"tx_turned_away", &counters.RejectedBeforeAdmission}, {"tx_no_memory", &counters.RejectedForMemory},
		{"tx_unread_turned_away", &counters.RejectedForUnread}, {"tx_unread_abandoned", &counters.AbandonedForUnread},
		{"tx_answers_unwritten", &counters.ResponsesUnwritten}, {"tx_microseconds", &counters.ResponseMicroseconds}, {"hops", &counters.Hops},
		{"hops_written", &counters.HopsWritten}, {"hops_withdrawn", &counters.HopsWithdrawn}, {"hops_no_room", &counters.HopsNoSocket},
		{"hops_not_accepted", &counters.HopsNotAccepted},
		{"answers_streamed", &counters.ResponsesStreamed}, {"answers_cut_off", &counters.ResponsesCutOff}, {"answers_refused", &counters.StreamsRefused},
		{"answers_handed_over", &counters.HandedOver}, {"answers_adopted", &counters.Adopted}, {"tx_open", &counters.OpenTransactions},
		{"files_taken", &counters.SettingsApplied}, {"files_turned_down", &counters.SettingsRejected},
		{"hops_committed", &counters.HopOutcomes[logic.HopCommitted]}, {"hops_error", &counters.HopOutcomes[logic.HopError]},
		{"hops_full", &counters.HopOutcomes[logic.HopHostFull]}, {"hops_timed_out", &counters.HopOutcomes[logic.HopTimedOut]},
		{"hops_no_connection", &counters.HopOutcomes[logic.HopNoConnection]}, {"hops_broken", &counters.HopOutcomes[logic.HopConnectionBroken]},
		{"hops_called_off", &counters.HopOutcomes[logic.HopCalledOff]}, {"hops_declined", &counters.HopOutcomes[logic.HopNotRun]},
		{"probes", &counters.Probes}, {"probes_answered", &counters.ProbesAnswered},
		{"lists", &counters.ListCalls}, {"lists_lost", &counters.ListCallsFailed}, {"lists_again", &counters.ListCallsRetried},
		{"lists_older", &counters.ListsStale}, {"hosts_superseded", &counters.HostsSuperseded}, {"tells", &counters.PeerMessages}, {"tells_unsent", &counters.PeerMessagesUnsent},
		{"asks", &counters.PickRequests}, {"asks_answered", &counters.PickResponses}, {"told", &counters.PeerMessagesReceived}, {"told_wrong", &counters.PeerMessagesInvalid}, {"wrong_input", &counters.InvalidInputs},
		{"clients_accepted", &d.listener.Accepted}, {"clients_crowded", &d.listener.AcceptedOverLimit},
		{"clients_gave_way", &d.listener.Evicted},
		{"clients_broke", &counters.ClientReadErrors}, {"hosts_connections", &d.pool.Opened},
		{"hosts_connections_gave_way", &d.pool.Evicted}, {"hosts_unsolicited", &d.pool.Unsolicited}, {"must_broken", &invariant.Violations}, {"log_lines_dropped", &logging.DroppedLines},
	} {
		fmt.Fprintf(&text, "spanmux_%s %d\n", c.name, c.n.Load())
	}
	return text.String()
}
