// Command scale measures how the cost of the gateway's code grows with the size of a fleet, and checks the capacity pages in docs against
// the saved measurements.
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

// cli holds the command line.
type cli struct {
	Slopes slopesCommand `cmd:"" help:"Measure each cost at several sizes, fit its growth and save the results."`
	Check  checkCommand  `cmd:"" help:"Check the figures of the pages against the latest saved results and the target; exits with 1 if any differs."`
}

const defaultOverrunTimeout = 5 * time.Second // for the operation in progress at the timeout; the longest takes about a second

// errFailed reports that a run completed and found something wrong, which exits with 1; any other error exits with 2.
var errFailed = errors.New("problems found")

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

// run parses the command line and runs the command that it names.
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
