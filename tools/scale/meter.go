package main

import (
	"context"
	"math"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

const (
	minBatchCPUTime      = 2 * time.Millisecond   // CPU time of one reading; far above the cost of reading the clock
	maxBatchOperations   = 4096                   // operations in one reading
	minReadings          = 3                      // the lowest reading counts
	maxReadings          = 15                     // more readings hardly lower the minimum
	maxCountedOperations = 6                      // operations whose allocations are counted; slow operations are counted once
	readingsDuration     = 350 * time.Millisecond // time for the readings of one size, without those that find the batch size
)

// operationCost is the measured cost of one operation.
type operationCost struct {
	seconds     float64 // CPU time of the thread that runs it, the lowest of all readings; the collector's other threads are not included
	allocations float64 // number of allocations: the mean, or the lowest if the meter only counts
	bytes       float64 // bytes allocated, likewise
	readings    int
}

// meter measures operations until its context is done.
type meter struct {
	ctx        context.Context
	countsOnly bool // only count allocations, which are repeatable, and measure no times
}

// threadCPUTime returns the CPU time that the calling thread has used.
func threadCPUTime() time.Duration {
	var clock unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &clock) != nil {
		return 0
	}
	return time.Duration(clock.Nano())
}

// measure repeats an operation and returns its cost. before, if not nil, runs before each operation and is not included.
func (m *meter) measure(before, op func()) (c operationCost, err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	measureTime := func(n int) (spent time.Duration) {
		for range n {
			if before != nil {
				before()
			}
			start := threadCPUTime()
			op()
			spent += threadCPUTime() - start
		}
		return spent
	}
	if before == nil { // reads the clock once for the whole batch
		measureTime = func(n int) time.Duration {
			start := threadCPUTime()
			for range n {
				op()
			}
			return threadCPUTime() - start
		}
	}
	if m.countsOnly {
		measureTime(1) // first-use allocations are not counted
		c.seconds, c.readings = 1, 1
		c.countAllocations(before, op, true)
		return c, m.ctx.Err()
	}
	n := 1
	for n < maxBatchOperations && measureTime(n) < minBatchCPUTime { // these readings run with cold caches and are not counted
		n *= 2
	}
	c.seconds = math.Inf(1)
	deadline := time.Now().Add(readingsDuration)
	runtime.GC()
	for c.readings < minReadings || c.readings < maxReadings && time.Now().Before(deadline) {
		if err := m.ctx.Err(); err != nil {
			return c, err
		}
		c.seconds = min(c.seconds, measureTime(n).Seconds()/float64(n))
		c.readings++
	}
	c.countAllocations(before, op, false)
	return c, nil
}

// countAllocations runs the operation several times, or once if it is slow, and records the mean of its allocations. With useLeast it records
// the lowest count instead, as other goroutines may allocate during one of the runs.
func (c *operationCost) countAllocations(before, op func(), useLeast bool) {
	operations := maxCountedOperations
	if c.seconds > readingsDuration.Seconds()/10 && !useLeast {
		operations = 1
	}
	leastAllocations, leastBytes := math.Inf(1), math.Inf(1)
	for range operations {
		if before != nil {
			before()
		}
		allocations, bytes := allocationsOf(op)
		c.allocations += allocations / float64(operations)
		c.bytes += bytes / float64(operations)
		leastAllocations, leastBytes = min(leastAllocations, allocations), min(leastBytes, bytes)
	}
	if useLeast {
		c.allocations, c.bytes = leastAllocations, leastBytes
	}
}

// allocationsOf runs the operation and returns the number of allocations and of bytes allocated.
func allocationsOf(op func()) (allocations, bytes float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	op()
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs - before.Mallocs), float64(after.TotalAlloc - before.TotalAlloc)
}

// retainedHeapBytes returns how much the live heap grows by what build returns.
func retainedHeapBytes(build func() any) float64 {
	liveBytes := func() uint64 {
		runtime.GC()
		runtime.GC() // the second collection sweeps what the first has freed
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := liveBytes()
	built := build()
	after := liveBytes()
	runtime.KeepAlive(built)
	return max(0, float64(after)-float64(before))
}
