package routing

import (
	"hash/crc32"
	"log/slog"
	"time"

	"spanmux/internal/protocol"
	"spanmux/logic"
)

// admit hands a transaction to the decision core, unless it is invalid or there are too many
// connections. It returns false if the connection ends.
func (d *Dispatcher) admit(t *tx) bool {
	d.lockCore()
	t.counters = d.profileCounters[t.request.Profile]
	profileIndex, known := d.core.FindProfile(d.now(), t.request.Profile, t.request.Effect)
	d.mu.Unlock()
	switch {
	case !known:
		d.rejectInvalid(t, 400, "unknown profile", slog.String("profile", t.request.Profile))
		return false
	case profileIndex < 0:
		// Admitted by its method alone it might run twice: repeats are known only by the idempotency key that
		// the profile requires.
		d.rejectInvalid(t, 400, "method or mark not of this profile", slog.String("profile", t.request.Profile))
		return false
	case t.client.OverLimit, t.request.RemainingBody != nil && !d.holdHostConn(streamedBodyReserveDivisor):
		d.rejectWithoutRoom(t)
		return false
	}
	if !d.startTransaction(t, profileIndex, t.answerWithin()) {
		if t.request.RemainingBody != nil {
			d.releaseHostConn()
		}
		d.rejectInvalid(t, 409, "its id is that of another", slog.String("trace", t.request.TraceID))
		return false
	}
	return true
}

// answerWithin returns the time for the final answer, from the last byte of the request on.
func (t *tx) answerWithin() time.Duration {
	return max(t.request.Budget-responseTimeReserve, time.Millisecond)
}

// newArrival describes a transaction for the decision core. The caller holds d.mu, as tenants may
// change.
func (d *Dispatcher) newArrival(request *protocol.Transaction, profileIndex int, budget time.Duration) logic.Arrival {
	a := logic.Arrival{ProfileIndex: profileIndex, TenantIndex: -1, Budget: budget, BodyPending: request.RemainingBody != nil}
	if d.core.KeyAffinity && len(request.Object) > 0 {
		a.AffinityKey = crc32.ChecksumIEEE(request.Object) | 1
	}
	if tenant, ok := d.core.TenantIndexes[request.Tenant]; ok {
		a.TenantIndex = tenant
	}
	return a
}
