//go:build race

package main

// raceDetectorEnabled tells whether this is the race detector's build.
const raceDetectorEnabled = true
