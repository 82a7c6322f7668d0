//go:build debug

package invariant

// panicOnViolation is true in builds with the tag debug.
const panicOnViolation = true
