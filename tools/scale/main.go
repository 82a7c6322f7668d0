// Command scale measures how the cost of the real code grows with the size of a fleet, and holds the pages on capacity against what was
// measured.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"
)

// cli is what the command is told.
type cli struct {
	Slopes slopesCommand `cmd:"" help:"Measure costs by size on several points each, fit their growth and keep the results."`
	Check  checkCommand  `cmd:"" help:"Hold the pages' figures against the last results kept and the target; ends with 1 where one says other than they do."`
}

const defaultOverrunTimeout = 5 * time.Second // for the one operation that is under way at the end of the time: the longest takes about a second

// errFailed is a run that came to its end and found something wrong.
var errFailed = errors.New("not as it should be")

func main() {
	var c cli
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := c.run(ctx, os.Args[1:], os.Stdout)
	switch {
	case errors.Is(err, errFailed):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "scale:", err)
		os.Exit(2)
	}
}

// run reads the command line and does what it says.
func (c *cli) run(ctx context.Context, args []string, out io.Writer) error {
	parser, err := kong.New(c, kong.Name("scale"), kong.Description("Measures how costs grow with the size of a fleet."),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.BindTo(out, (*io.Writer)(nil)), kong.Writers(out, os.Stderr))
	if err != nil {
		return err
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return parsed.Run()
}
