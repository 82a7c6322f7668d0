// Command regress runs the operators' benches, panel by panel, and compares their figures with the record in this repository. It exits with 1
// if a rule broke, a gate failed, a bench ended with an error or a figure dropped by more than the allowed margin, and with 2 if a bench could
// not be run to its end.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// cli holds the command line.
type cli struct {
	BenchFolder   string   `name:"bench" required:"" help:"Folder with the operators' benches."`
	SiteFile      string   `name:"site" required:"" help:"Site file for the benches that run on sockets."`
	SimSiteFiles  []string `name:"sim-site" help:"Site file for the simulator of the panel sim, which needs it; may be given more than once."`
	MoreSiteFiles []string `name:"more-site" help:"Site file for the simulator of the panel more, which needs it; may be given more than once."`
	Seeds         []int64  `name:"seed" help:"Seed of the panel brink, which needs it; may be given more than once."`
	Quick         bool     `help:"Run the short form of each panel."`
	Description   string   `name:"why" required:"" help:"What is tested, in one sentence; the bench writes it to its journal."`
	RecordFile    string   `name:"record-file" default:"docs/record.toml" help:"File with the recorded figures."`
	UpdateRecord  bool     `name:"record" help:"Raise recorded figures to those reached."`
	LowerReason   string   `name:"lower" placeholder:"REASON" help:"Lower recorded figures too, with this reason, which the record keeps."`
	TableFile     string   `name:"table" placeholder:"FILE" help:"Also write the table to this file."`
	Panels        []string `arg:"" optional:"" help:"Panels to run, of ${panels}; by default all for which sites and seeds are given."`
	panelTimeout  time.Duration
}

const (
	defaultPanelTimeout = 2 * time.Hour // for one panel; the longest bench allows 25 minutes for each simulated day and 40 for the long one
	maxFigureDrop       = 0.03          // absolute; the operators take smaller drops for noise
)

// errRegression reports that the run completed and found something wrong in the project.
var errRegression = errors.New("regression")

func main() {
	var c cli
	if _, err := c.parser().Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "regress:", err)
		os.Exit(2)
	}
	c.panelTimeout = defaultPanelTimeout
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := c.run(ctx, os.Stdout)
	switch {
	case errors.Is(err, errRegression):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "regress:", err)
		os.Exit(2)
	}
}

// parser returns a parser that stores the command line in c.
func (c *cli) parser() *kong.Kong {
	return kong.Must(c, kong.Name("regress"), kong.Description("Runs the operators' benches and compares their figures with the record."),
		kong.Vars{"panels": strings.Join(panelNames(), ", ")})
}

// run runs the panels and writes the table. It returns errRegression if something is wrong with the project, and another error if that could
// not be determined.
func (c *cli) run(ctx context.Context, out io.Writer) error {
	panels, err := c.choosePanels()
	if err != nil {
		return err
	}
	record, err := loadRecord(c.RecordFile)
	if err != nil {
		return err
	}
	var rows []row
	for _, p := range panels {
		for _, seed := range p.seeds(c) {
			key := p.recordKey(c.Quick)
			if p.seeded {
				key = fmt.Sprintf("%s-%d", p.name, seed)
			}
			fmt.Fprintf(out, "running %s ...\n", key)
			readings, err := c.runPanel(ctx, p, seed)
			if err != nil {
				return fmt.Errorf("%s: %w", key, err)
			}
			for _, r := range readings {
				if !p.seeded {
					rows = append(rows, record.compare(key+r.keySuffix(), r))
					continue
				}
				if r.Gate == "" {
					r.Violations = append(r.Violations, "the bench reported no gate")
				}
				rows = append(rows, row{key: key, reading: r, displayOnly: true})
			}
		}
	}
	table := formatTable(rows)
	fmt.Fprint(out, "\n", table)
	if c.TableFile != "" {
		if err := os.WriteFile(c.TableFile, []byte(table), 0o644); err != nil {
			return err
		}
	}
	if c.UpdateRecord || c.LowerReason != "" {
		changes := record.update(rows, c.LowerReason, time.Now())
		for _, line := range changes {
			fmt.Fprintln(out, line)
		}
		if err := record.save(c.RecordFile); err != nil {
			return err
		}
	}
	for _, r := range rows {
		if r.fails(c.LowerReason != "") {
			return errRegression
		}
	}
	return nil
}

// runPanel runs one panel's bench and parses its output.
func (c *cli) runPanel(ctx context.Context, p panel, seed int64) ([]reading, error) {
	ctx, cancel := context.WithTimeout(ctx, c.panelTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, p.programPath(c.BenchFolder), p.arguments(c, seed)...)
	var output strings.Builder
	cmd.Stdout, cmd.Stderr = &output, &output
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // so that the bench's child processes are killed with it
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = time.Second
	err := cmd.Run()
	readings, parseErr := parseOutput(output.String())
	switch {
	case ctx.Err() != nil:
		return nil, fmt.Errorf("the bench did not run to its end: %w", context.Cause(ctx))
	case parseErr != nil:
		return nil, fmt.Errorf("%w (the bench ended with: %v)\n%s", parseErr, err, lastLines(output.String()))
	}
	if err != nil { // the exit status of a broken rule; without a report of one, something else is wrong
		for i := range readings {
			readings[i].Violations = append(readings[i].Violations, "the bench ended with "+err.Error())
		}
	}
	return readings, nil
}

// lastLines returns the end of a bench's output.
func lastLines(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-8):], "\n")
}
