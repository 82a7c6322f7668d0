package routing

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"spanmux/internal/must"
	"spanmux/logic"
)

type count = atomic.Int64

// Book counts what the gateway takes in, sends and answers.
type Book struct {
	Taken, Committed, RolledBack, Abandoned   count
	Left, Declined                            count
	LeftBefore                                count // whole messages whose clients had closed before they were taken
	TurnedAway, Wrong, Unwritten, ClientBroke count
	Hops, Written                             count // begun, and written whole
	Withdrawn                                 count // not written, as nobody waited any more or the host took nothing new
	NoRoom                                    count // not written, as no socket came free for it
	Streamed, CutOff                          count // answers begun to be passed on in pieces; of these, those broken off
	Open                                      count // taken and not ended
	Handed, Adopted                           count // streamed answers that went over to the next process, and came from the one before
	Applied, Rejected                         count // files taken and turned down
	Ends                                      [logic.HopNotSent + 1]count
	Probes, Probed                            count
	Lists, ListsLost                          count
	ListsAgain, ListsOlder                    count // had again at once, as the watch was cut off; older than what is in hand, and not taken
	Tells, Told, ToldWrong                    count
	Untold                                    count
	Asks, AsksAnswered                        count // for a host drawn by another gateway; answers that came, late ones too
	Microseconds                              count // from taken to answered, of all together
	lines                                     bound // of what comes from outside
	says                                      bound // of the module
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
func (d *Desk) named() {
	for name := range d.opened.Profiles { // in any order: each gets its own
		if d.tallies[name] == nil {
			d.tallies[name] = &tally{}
		}
	}
}

// Figures is what the operators' door shows, under the names that they have for it.
func (d *Desk) Figures() []byte {
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
		Forwards: d.Book.Written.Load(), Outstanding: d.Book.Open.Load(),
		Applied: d.Book.Applied.Load(), Rejected: d.Book.Rejected.Load()}
	d.mu.Lock()
	for name, y := range d.tallies { // in any order: it is written in that of the names
		shown.Succeeded[name] = y.committed.Load()
		shown.Declined[name], shown.Aborted[name] = y.rolledBack.Load(), y.aborted.Load()
	}
	shown.Discovered, shown.Ejected = len(d.list.addr), d.opened.AvoidedHosts()
	d.mu.Unlock()
	text, err := json.Marshal(shown)
	must.Hold(err == nil, "figures can be written")
	return text
}

// wrong counts bad input; what it was is logged within a bound.
func (b *Book) wrong(what string, more ...any) {
	b.Wrong.Add(1)
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

// Counters is all that is counted, a line each.
func (d *Desk) Counters() string {
	b := &d.Book
	var s strings.Builder
	for _, c := range []struct {
		name string
		n    *count
	}{
		{"tx_taken", &b.Taken}, {"tx_committed", &b.Committed}, {"tx_rolled_back", &b.RolledBack},
		{"tx_abandoned", &b.Abandoned}, {"tx_left", &b.Left}, {"tx_left_before", &b.LeftBefore}, {"tx_declined", &b.Declined},
		{"tx_turned_away", &b.TurnedAway},
		{"tx_answers_unwritten", &b.Unwritten}, {"tx_microseconds", &b.Microseconds}, {"hops", &b.Hops},
		{"hops_written", &b.Written}, {"hops_withdrawn", &b.Withdrawn}, {"hops_no_room", &b.NoRoom},
		{"answers_streamed", &b.Streamed}, {"answers_cut_off", &b.CutOff},
		{"answers_handed_over", &b.Handed}, {"answers_adopted", &b.Adopted}, {"tx_open", &b.Open},
		{"files_taken", &b.Applied}, {"files_turned_down", &b.Rejected},
		{"hops_committed", &b.Ends[logic.HopCommitted]}, {"hops_error", &b.Ends[logic.HopError]},
		{"hops_full", &b.Ends[logic.HopHostFull]}, {"hops_timed_out", &b.Ends[logic.HopTimedOut]},
		{"hops_no_connection", &b.Ends[logic.HopNoConnection]}, {"hops_broken", &b.Ends[logic.HopConnectionBroken]},
		{"hops_called_off", &b.Ends[logic.HopCalledOff]}, {"hops_declined", &b.Ends[logic.HopNotSent]},
		{"probes", &b.Probes}, {"probes_answered", &b.Probed},
		{"lists", &b.Lists}, {"lists_lost", &b.ListsLost}, {"lists_again", &b.ListsAgain},
		{"lists_older", &b.ListsOlder}, {"tells", &b.Tells}, {"tells_unsent", &b.Untold},
		{"asks", &b.Asks}, {"asks_answered", &b.AsksAnswered}, {"told", &b.Told}, {"told_wrong", &b.ToldWrong}, {"wrong_input", &b.Wrong},
		{"clients_accepted", &d.listener.Accepted}, {"clients_crowded", &d.listener.AcceptedOverLimit},
		{"clients_gave_way", &d.listener.Evicted},
		{"clients_broke", &b.ClientBroke}, {"hosts_connections", &d.pool.Opened},
		{"hosts_connections_gave_way", &d.pool.Evicted}, {"must_broken", &must.Broken},
	} {
		fmt.Fprintf(&s, "spanmux_%s %d\n", c.name, c.n.Load())
	}
	return s.String()
}
