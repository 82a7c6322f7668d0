package main

import (
	"context"
	"math"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

const (
	minBatchCPUTime      = 2 * time.Millisecond   // of processor time for one reading: far over the clock's own cost
	maxBatchOperations   = 4096                   // operations in one reading
	minReadings          = 3                      // readings of which the least counts
	maxReadings          = 15                     // ditto: more hardly lower it
	maxCountedOperations = 6                      // operations whose allocations are counted; one where it takes long
	readingsDuration     = 350 * time.Millisecond // for the readings of one point, the first ones aside
)

// operationCost is what one operation takes.
type operationCost struct {
	seconds     float64 // processor time of the thread that does it, the least of all readings; the collector's other threads are not in it
	allocations float64 // allocations, the mean
	bytes       float64 // bytes allocated, the mean
	readings    int
}

// meter takes readings until its context is over.
type meter struct {
	ctx        context.Context
	countsOnly bool // allocations only, which are the same each time: times are left out
}

// threadCPUTime is the processor time that this thread has used.
func threadCPUTime() time.Duration {
	var clock unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &clock) != nil {
		return 0
	}
	return time.Duration(clock.Nano())
}

// measure repeats an operation. before, where there is one, comes before each and is not counted.
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
	if before == nil { // one reading for all
		measureTime = func(n int) time.Duration {
			start := threadCPUTime()
			for range n {
				op()
			}
			return threadCPUTime() - start
		}
	}
	if m.countsOnly {
		measureTime(1) // what the first leaves behind for the next does not count
		c.seconds, c.readings = 1, 1
		c.countAllocations(before, op, true)
		return c, m.ctx.Err()
	}
	n := 1
	for n < maxBatchOperations && measureTime(n) < minBatchCPUTime { // the first finds nothing in any cache, and does not count
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

// countAllocations takes the allocations of some operations, of one where it takes long: the mean; the least where only these are asked for, as
// whatever else the process does may come into one of them.
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

// allocationsOf are the allocations of one operation, and their bytes.
func allocationsOf(op func()) (allocations, bytes float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	op()
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs - before.Mallocs), float64(after.TotalAlloc - before.TotalAlloc)
}

// retainedHeapBytes is the bytes that stay in use for what is built.
func retainedHeapBytes(build func() any) float64 {
	liveBytes := func() uint64 {
		runtime.GC()
		runtime.GC() // what the first has freed the second has swept
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
