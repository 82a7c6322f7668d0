//go:build !race

package main

// restartedProcesses is how many processes are started at once.
const restartedProcesses = 30
