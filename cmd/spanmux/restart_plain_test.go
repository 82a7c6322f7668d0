//go:build !race

package main

// restartedProcesses is the number of processes started at once.
const restartedProcesses = 30
