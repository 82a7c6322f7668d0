//go:build race

package main

// restartedProcesses is the number of processes started at once. With the race detector a process takes ten times as long to read a list, so
// that thirty of them would measure the machine's cores.
const restartedProcesses = 8

// raceDetectorEnabled tells that processes need more memory than their limit.
const raceDetectorEnabled = true
