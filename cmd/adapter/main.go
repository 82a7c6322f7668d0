// Command adapter runs the decision core of spanmux in the simulator: it reads events on standard input and writes actions to standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"spanmux/internal/simwire"
)

func main() {
	// The default would collect a heap this small far too often, and in one deployment each microsecond counts.
	debug.SetGCPercent(800)
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
