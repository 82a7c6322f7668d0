package routing

import (
	"time"

	"spanmux/internal/openids"
	"spanmux/logic"
)

// The claims of trace IDs: a transaction claims its ID as it is admitted (startTransaction) and ends the claim once it is
// over. The claim of one whose response is streamed goes over to the next process with the response. Claims are leases: those
// of a process that is killed expire.

// endID ends the claim of a transaction's trace ID, or corrects how it ended. One that may have run, or may yet, and whose
// client does not know that, may not come again for a while: it would run twice. The caller holds d.mu.
func (d *Dispatcher) endID(t *tx) {
	outcomeKnown := t.finalStatus == 200 || t.finalStatus >= 400 && t.finalStatus < 500
	switch retain := t.mayHaveRun && !outcomeKnown && t.request.Effect != logic.Idempotent; {
	case !t.idEnded && retain:
		d.openIDs.Retain(t.request.TraceID)
	case !t.idEnded:
		d.openIDs.Release(t.request.TraceID)
	case retain:
		d.openIDs.RetainReleased(t.request.TraceID)
	}
	t.idEnded = true
}

// responseLost records that the client does not have the whole of the final response.
func (d *Dispatcher) responseLost(t *tx) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.finalStatus = 0
	if t.idEnded { // before the response was written, so that the client may use it again as soon as it has that
		d.endID(t)
	}
}

// idClaim is the claim of the trace ID of a transaction whose response is streamed, as it is handed over. Its JSON names
// are fixed, as those of handoverRecord are.
type idClaim struct {
	TraceID     []byte // not a string: JSON would change one that is not UTF-8
	HasEffect   bool   // the transaction is not idempotent
	MayStillRun bool   // another hop of it was in flight
}

// claimOf returns the claim of a transaction whose response is streamed.
func (d *Dispatcher) claimOf(t *tx) *idClaim {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &idClaim{TraceID: []byte(t.request.TraceID), HasEffect: t.request.Effect != logic.Idempotent, MayStillRun: t.hopsInFlight > 0}
}

// adoptClaim takes over the claim that the previous process had for a response. It returns nil if there is none to end
// later: an earlier version of the program hands none over, or the ID belongs to another transaction.
func (d *Dispatcher) adoptClaim(claim *idClaim) *idClaim {
	if claim == nil || !d.idRegistry().Adopt(string(claim.TraceID)) {
		return nil
	}
	return claim
}

// endAdoptedClaim ends the claim of an adopted response, which was handed on, cut off, or forwarded whole.
func (d *Dispatcher) endAdoptedClaim(claim *idClaim, handedOver, cutOff bool) {
	switch {
	case claim == nil:
	case handedOver:
		d.idRegistry().HandOver(string(claim.TraceID))
	case claim.HasEffect && (cutOff || claim.MayStillRun):
		d.idRegistry().Retain(string(claim.TraceID))
	default:
		d.idRegistry().Release(string(claim.TraceID))
	}
}

// idRegistry returns the registry of trace IDs, which may be called without d.mu.
func (d *Dispatcher) idRegistry() *openids.Registry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openIDs
}

// renewClaims renews the leases of this process, for as long as it runs.
func (d *Dispatcher) renewClaims() {
	for {
		time.Sleep(openids.RenewInterval)
		d.idRegistry().Renew()
	}
}
