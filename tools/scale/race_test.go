//go:build race

package main

// raceDetectorEnabled reports whether the race detector is compiled in.
const raceDetectorEnabled = true
