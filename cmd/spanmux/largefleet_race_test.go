//go:build race

package main

import "time"

const (
	// Both bounds are wider than without the race detector, which takes several times the memory and some 25 times the time.
	maxLargeFleetMemoryKB = 320 << 10
	largeFleetPickTimeout = 20 * time.Second
)
