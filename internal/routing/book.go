package routing

import (
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
	TurnedAway, Wrong, Unwritten, ClientBroke count
	Hops                                      count
	Ends                                      [logic.Moot + 1]count
	Probes, Probed                            count
	Lists, ListsLost                          count
	Tells, Told, ToldWrong                    count
	Untold                                    count
	Microseconds                              count // from taken to answered, of all together
	lines                                     bound // of what comes from outside
	says                                      bound // of the module
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
		{"tx_abandoned", &b.Abandoned}, {"tx_left", &b.Left}, {"tx_declined", &b.Declined},
		{"tx_turned_away", &b.TurnedAway},
		{"tx_answers_unwritten", &b.Unwritten}, {"tx_microseconds", &b.Microseconds}, {"hops", &b.Hops},
		{"hops_committed", &b.Ends[logic.Committed]}, {"hops_error", &b.Ends[logic.Error]},
		{"hops_full", &b.Ends[logic.Full]}, {"hops_timed_out", &b.Ends[logic.TimedOut]},
		{"hops_no_connection", &b.Ends[logic.NoConnection]}, {"hops_broken", &b.Ends[logic.Broken]},
		{"hops_called_off", &b.Ends[logic.CalledOff]}, {"hops_declined", &b.Ends[logic.Moot]},
		{"probes", &b.Probes}, {"probes_answered", &b.Probed},
		{"lists", &b.Lists}, {"lists_lost", &b.ListsLost}, {"tells", &b.Tells}, {"tells_unsent", &b.Untold},
		{"told", &b.Told}, {"told_wrong", &b.ToldWrong}, {"wrong_input", &b.Wrong},
		{"clients_accepted", &d.front.Accepted}, {"clients_crowded", &d.front.Crowded},
		{"clients_gave_way", &d.front.GaveWay},
		{"clients_broke", &b.ClientBroke}, {"hosts_connections", &d.pool.Opened},
		{"hosts_connections_gave_way", &d.pool.GaveWay}, {"must_broken", &must.Broken},
	} {
		fmt.Fprintf(&s, "spanmux_%s %d\n", c.name, c.n.Load())
	}
	return s.String()
}
