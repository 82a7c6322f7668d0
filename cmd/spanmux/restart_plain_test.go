//go:build !race

package main

// restartedProcesses is the number of processes started at once.
const restartedProcesses = 30

// raceDetectorEnabled is set in builds with the race detector, in which processes need more memory than their limit.
const raceDetectorEnabled = false
