package routing

import (
	"hash/crc32"
	"log/slog"
	"time"

	"spanmux/internal/protocol"
	"spanmux/logic"
)

// admit hands a transaction to the module unless it makes no sense or there is no room; it is false where the
// connection ends.
func (d *Dispatcher) admit(t *tx) bool {
	d.mu.Lock()
	t.tally = d.tallies[t.said.Profile]
	place, known := d.opened.FindProfile(d.now(), t.said.Profile, t.said.Effect)
	d.mu.Unlock()
	wrong := ""
	switch {
	case !known:
		wrong = "unknown profile"
	case place < 0:
		// Taken by its method it might run twice; a profile's repeats are only known by their mark.
		wrong = "method or mark not of this profile"
	case t.client.OverLimit:
		d.Counters.RejectedBeforeAdmission.Add(1)
		t.tally.rolledBack.Add(1)
		over := protocol.TextResponse(503, "no room\n", 0, true)
		if t.said.RemainingBody == nil {
			t.client.WriteFinal(over)
		} else if t.client.Write(over) == nil { // it may be whole, and only not read: then it is owed this answer
			t.client.CloseWrite()
			t.client.DiscardInput()
		}
		return false
	}
	if wrong != "" {
		d.Counters.wrong(wrong, slog.String("profile", t.said.Profile))
		if t.tally != nil {
			t.tally.aborted.Add(1)
		}
		t.client.WriteFinal(protocol.TextResponse(400, wrong+"\n", 0, true))
		return false
	}
	if !d.take(t, place, max(t.said.Budget-timeAside, time.Millisecond)) {
		d.Counters.wrong("id of a transaction that is open", slog.String("trace", t.said.TraceID))
		t.tally.aborted.Add(1)
		t.client.WriteFinal(protocol.TextResponse(409, "its id is that of another\n", 0, true))
		return false
	}
	return true
}

// arrival is a transaction as the module takes it; under the lock, as tenants may change.
func (d *Dispatcher) arrival(said *protocol.Transaction, profile int, budget time.Duration) logic.Arrival {
	a := logic.Arrival{ProfileIndex: profile, TenantIndex: -1, Budget: budget, BodyPending: said.RemainingBody != nil}
	if d.opened.KeyAffinity && len(said.Object) > 0 {
		a.AffinityKey = crc32.ChecksumIEEE(said.Object) | 1
	}
	if tenant, ok := d.opened.TenantIndexes[said.Tenant]; ok {
		a.TenantIndex = tenant
	}
	return a
}
