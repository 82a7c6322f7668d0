package logic

import (
	"slices"
	"time"
)

// Where a transaction may be sent again: its effect must not happen twice.

// mayRunOn reports whether the transaction may be sent to a host: not to one where its effect could happen twice, nor
// to one that it was sent to before.
func (t *tx) mayRunOn(h *host, now time.Duration) bool {
	if slices.ContainsFunc(t.hops, func(used hop) bool { return used.host == h }) {
		return false
	}
	switch {
	case t.possiblyRunHop() == nil || t.profileConfig.Effect == Idempotent:
		return true
	case t.profileConfig.Effect == NonIdempotent || t.repeatWindowLeft(now) <= 0:
		return false
	}
	for i := range t.hops {
		if t.hops[i].mayHaveRun() && !t.hops[i].location().sharesRepeats(h.location(), t.profileConfig.DedupScope) {
			return false
		}
	}
	return true
}

// repeatWindowLeft returns for how long hosts still drop a repeat of a transaction that may have run, 0 if it can't have
// run or may run again.
func (t *tx) repeatWindowLeft(now time.Duration) time.Duration {
	ranOn := t.possiblyRunHop()
	if ranOn == nil || t.profileConfig.Effect != Deduplicated {
		return 0
	}
	return max(0, ranOn.sentAt+t.profileConfig.DedupWindow-serviceGoalMargin-now)
}

// possiblyRunHop returns the first hop that may have been executed, or still may, nil if there is none.
func (t *tx) possiblyRunHop() *hop {
	for i := range t.hops {
		if t.hops[i].mayHaveRun() {
			return &t.hops[i]
		}
	}
	return nil
}

// mayHaveRun reports whether the hop may have been executed, or still may.
func (h *hop) mayHaveRun() bool { return !h.ended || !h.outcome.NeverRan() }
