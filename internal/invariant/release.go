//go:build !debug

package invariant

const asserting = false
