//go:build race

package main

// restartedProcesses is how many processes are started at once. One that looks for races takes ten times as long to read a list, and the cores are what thirty of them
// would measure.
const restartedProcesses = 8
