//go:build !race

package main

// herd is how many processes are started at once.
const herd = 30
