// Package must holds what has to be true. Builds with the tag debug stop where it is not; others count it.
package invariant

import (
	"log/slog"
	"sync/atomic"
)

// Violations counts what did not hold.
var Violations atomic.Int64

// Check takes note if something that must hold does not.
func Check(ok bool, description string) {
	if ok {
		return
	}
	if panicOnViolation {
		panic("must hold: " + description)
	}
	if Violations.Add(1) <= 100 { // enough to find the cause, too few to fill a disk
		slog.Error("must hold", "what", description)
	}
}
