//go:build !race

package main

import "time"

const (
	// maxLargeFleetMemoryKB is the most memory that a process before so many gateways and hosts may have had in use, in kB, of the 64 MB that it is
	// given: half of that, as another process may follow it, beside the program's own text.
	maxLargeFleetMemoryKB = 48 << 10
	// largeFleetPickTimeout is the time for all other gateways that ask at the same moment to be answered.
	largeFleetPickTimeout = 2 * time.Second
)
