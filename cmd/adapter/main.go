// Command adapter lets the decisions of spanmux be played on the simulator's wire.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"spanmux/internal/simwire"
)

func main() {
	// A heap this small is collected far too often by default; one deployment counts each microsecond.
	debug.SetGCPercent(800)
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
