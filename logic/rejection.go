package logic

import (
	"fmt"
	"time"
)

// rejectionReason says why a transaction was rejected on arrival.
type rejectionReason int

const (
	rejectedWithoutHost     rejectionReason = iota // no host that it may run on is usable
	rejectedByExpectedTime                         // its expected time is over the admission threshold
	rejectedForCongestion                          // its zone is congested
	rejectedByAdmissionRate                        // more arrive than were admitted lately
	rejectedByCoordinator                          // the zone coordinator picked no host
)

// rejection describes the rejection of a transaction, for the log.
type rejection struct {
	reason       rejectionReason
	profile      string
	host         HostID
	inFlight     float64       // at the host
	expectedTime time.Duration // of the transaction at the host
	threshold    time.Duration // for expectedTime
}

// String describes the rejection in a few words.
func (r rejection) String() string {
	switch r.reason {
	case rejectedByExpectedTime:
		return fmt.Sprintf("profile %s, host %d with %.1f hops in flight: expected time %v over threshold %v",
			r.profile, r.host, r.inFlight, r.expectedTime.Round(100*time.Microsecond), r.threshold.Round(100*time.Microsecond))
	case rejectedForCongestion:
		return fmt.Sprintf("profile %s: zone of host %d congested", r.profile, r.host)
	case rejectedByAdmissionRate:
		return fmt.Sprintf("profile %s: over the admission rate", r.profile)
	case rejectedByCoordinator:
		return fmt.Sprintf("profile %s: coordinator picked no host", r.profile)
	}
	return fmt.Sprintf("profile %s: no usable host", r.profile)
}
