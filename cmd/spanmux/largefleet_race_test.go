//go:build race

package main

import "time"

const (
	// maxLargeFleetMemoryKB and largeAnswer are wider where races are looked for: that takes several times the memory and some 25 times the time.
	maxLargeFleetMemoryKB = 320 << 10
	largeFleetPickTimeout = 20 * time.Second
)
