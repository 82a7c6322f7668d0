// Package invariant checks conditions that hold unless the program has a bug. Builds with the tag debug panic when one is violated; other
// builds log and count it.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// Violations counts the failed checks of this process.
var Violations atomic.Int64

// Check panics (with the build tag debug) or counts and logs a violation if ok is false. The description says what should have held.
func Check(ok bool, description string) {
	if ok {
		return
	}
	if panicOnViolation {
		panic("invariant violated: " + description)
	}
	if Violations.Add(1) <= 100 { // enough log lines to find the cause, too few to fill a disk
		slog.Error("invariant violated", "what", description)
	}
}
