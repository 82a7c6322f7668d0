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
func (d *Desk) admit(t *tx) bool {
	profile, known := d.opened.Profiles[t.said.Profile]
	t.tally = d.tally(t.said.Profile)
	wrong := ""
	switch {
	case !known:
		wrong = "unknown profile"
	case d.opened.Effects[profile] != t.said.Effect:
		// Taken by its method it might run twice; a profile's repeats are only known by their mark.
		wrong = "method or mark not of this profile"
	case t.client.Over:
		d.Book.TurnedAway.Add(1)
		t.tally.rolledBack.Add(1)
		t.client.End(protocol.Plain(503, "no room\n", 0, true))
		return false
	}
	if wrong != "" {
		d.Book.wrong(wrong, slog.String("profile", t.said.Profile))
		if t.tally != nil {
			t.tally.aborted.Add(1)
		}
		t.client.End(protocol.Plain(400, wrong+"\n", 0, true))
		return false
	}
	if !d.take(t, d.arrival(t.said, profile, max(t.said.Budget-timeAside, time.Millisecond))) {
		d.Book.wrong("id of a transaction that is open", slog.String("trace", t.said.Trace))
		t.tally.aborted.Add(1)
		t.client.End(protocol.Plain(409, "its id is that of another\n", 0, true))
		return false
	}
	return true
}

// arrival is a transaction as the module takes it.
func (d *Desk) arrival(said *protocol.Transaction, profile int, budget time.Duration) logic.Arrival {
	a := logic.Arrival{Profile: profile, Tenant: -1, Budget: budget}
	if d.opened.WarmKeys && len(said.Object) > 0 {
		a.Key = crc32.ChecksumIEEE(said.Object) | 1
	}
	if tenant, ok := d.opened.Tenants[said.Tenant]; ok {
		a.Tenant = tenant
	}
	return a
}
