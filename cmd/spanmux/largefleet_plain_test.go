//go:build !race

package main

import "time"

const (
	// maxLargeFleetMemoryKB bounds the peak memory of a process among so many gateways and hosts: half of its 64 MB, as another process may
	// follow it, and the program's own text.
	maxLargeFleetMemoryKB = 48 << 10
	// largeFleetPickTimeout bounds the time to answer pick requests that all other gateways send at the same moment.
	largeFleetPickTimeout = 2 * time.Second
)
