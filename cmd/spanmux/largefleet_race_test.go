//go:build race

package main

import "time"

const (
	// largeMemory and largeAnswer are wider where races are looked for: that takes several times the memory and some 25 times the time.
	largeMemory = 320 << 10
	largeAnswer = 20 * time.Second
)
