//go:build !debug

package invariant

const panicOnViolation = false
