// Command regress plays the operators' benches, panel by panel, and holds their figures against the record that this repository keeps.
// It fails where a rule broke, a gate failed, a bench could not be played to its end, or a figure fell.
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

// cli is what the command is told.
type cli struct {
	BenchFolder   string   `name:"bench" required:"" help:"Folder of the operators' kit."`
	SiteFile      string   `name:"site" required:"" help:"Site file that is played on sockets."`
	SimSiteFiles  []string `name:"sim-site" help:"Site file that the simulator of the move plays; may be given more than once. Needed for the panel sim."`
	MoreSiteFiles []string `name:"more-site" help:"Site file that the simulator plays; may be given more than once. Needed for the panel more."`
	Seeds         []int64  `name:"seed" help:"Seed of the days at close range; may be given more than once. Needed for the panel brink."`
	Quick         bool     `help:"Play the short form of each panel."`
	Description   string   `name:"why" required:"" help:"What is played, in one sentence; the bench notes it in its journal."`
	RecordFile    string   `name:"record-file" default:"docs/record.toml" help:"File with the figures to hold against."`
	UpdateRecord  bool     `name:"record" help:"Move figures of the record up to what is reached."`
	LowerReason   string   `name:"lower" placeholder:"REASON" help:"Move figures down too, with the reason, which the record keeps."`
	TableFile     string   `name:"table" placeholder:"FILE" help:"Write the table to this file as well."`
	Panels        []string `arg:"" optional:"" help:"Panels to play, of ${panels}; all that can be played where none is named."`
	panelTimeout  time.Duration
}

const (
	defaultPanelTimeout = 2 * time.Hour // for one panel: the longest, in full at full size, is let take 25 minutes a day and 40 for the long one
	maxFigureDrop       = 0.03          // of a figure, beyond which it counts: the operators' bound for what is noise
)

// errRegression is a run that came to its end and found something wrong.
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

// parser reads the command line into c.
func (c *cli) parser() *kong.Kong {
	return kong.Must(c, kong.Name("regress"), kong.Description("Plays the operators' benches and holds their figures against the record."),
		kong.Vars{"panels": strings.Join(panelNames(), ", ")})
}

// run plays the panels and writes the table. It gives errFailed where something is wrong with the project, and another error where it
// could not be found out.
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
			fmt.Fprintf(out, "playing %s ...\n", key)
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
					r.Violations = append(r.Violations, "no word of the gate")
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

// runPanel runs one panel's bench and reads what it printed.
func (c *cli) runPanel(ctx context.Context, p panel, seed int64) ([]reading, error) {
	ctx, cancel := context.WithTimeout(ctx, c.panelTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, p.programPath(c.BenchFolder), p.arguments(c, seed)...)
	var output strings.Builder
	cmd.Stdout, cmd.Stderr = &output, &output
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a bench has processes of its own, which end with it
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = time.Second
	err := cmd.Run()
	readings, parseErr := parseOutput(output.String())
	switch {
	case ctx.Err() != nil:
		return nil, fmt.Errorf("not played to its end: %w", context.Cause(ctx))
	case parseErr != nil:
		return nil, fmt.Errorf("%w (the bench ended with: %v)\n%s", parseErr, err, lastLines(output.String()))
	}
	if err != nil { // a bench may end so where a rule broke; where it says nothing of that, something else is wrong
		for i := range readings {
			readings[i].Violations = append(readings[i].Violations, "the bench ended with "+err.Error())
		}
	}
	return readings, nil
}

// lastLines is the end of what a bench printed.
func lastLines(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-8):], "\n")
}
