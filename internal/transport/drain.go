package transport

import "time"

// How far messages that are not whole are turned away as the process ends.
const (
	untaken = 1 + iota // those of which a host has nothing
	all
)

// Drain sends clients away, or takes them again. The listener stays open, as some come for a while yet, and each answer is
// to say that its connection closes; on those on which nothing is owed nothing will be said, so they close by themselves, one
// after the other: all clients at once would come to the other gateways in one moment. One that is told so stays told.
func (f *Front) Drain(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away == away {
		return
	}
	if f.away = away; away {
		f.fade(awayFrom, awayTo)
	}
}

// Draining tells whether clients are sent away.
func (f *Front) Draining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.away
}

// fade closes what is idle between these times from now.
func (f *Front) fade(from, to time.Duration) {
	n, now := time.Duration(0), time.Now()
	f.by = now.Add(to)
	for c := range f.open { // in any order: each gets a moment
		if c.doing == idle && !c.shut {
			c.nc.SetReadDeadline(now.Add(from + (to-from)*n/time.Duration(f.idle)))
			n++
		}
	}
}

// HandOver leaves what is not accepted yet to the process that shares the listening socket, and goes on with the rest until it is
// answered. Clients go on using what stays open, so that is kept for as long as what comes on it can still be answered.
func (f *Front) HandOver() {
	f.ln.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = true
	f.fade(handFrom, handTo)
	f.turn(untaken)
}

// Keep has what comes of messages that are not whole be kept, up to so many bytes in all, for another process to hear them out.
func (f *Front) Keep(bytes int64) { f.keep.Store(bytes) }

// TurnAway ends the reading of all messages that are not whole yet. What came whole later could not be answered before the process is
// ended, and would be lost.
func (f *Front) TurnAway() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn(all)
}

// turn has the goroutines that read look at how far messages are turned away now.
func (f *Front) turn(far int32) {
	f.turning.Store(far)
	for c := range f.open { // in any order: all are
		if c.doing == torn || c.doing == silent || far == all && c.feeds {
			c.nc.SetReadDeadline(time.Now())
		}
	}
}

// Shut takes no new connections and closes those on which nothing is owed, at once or once it is answered.
func (f *Front) Shut() {
	f.ln.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closing = true
	for c := range f.open {
		if (c.doing == silent || c.doing == idle) && !c.early && !c.see.any() {
			c.shutNow()
		}
	}
}
