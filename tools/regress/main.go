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
	Bench    string   `required:"" help:"Folder of the operators' kit."`
	Site     string   `required:"" help:"Site file that is played on sockets."`
	SimSite  []string `help:"Site file that the simulator of the move plays; may be given more than once. Needed for the panel sim."`
	MoreSite []string `help:"Site file that the simulator plays; may be given more than once. Needed for the panel more."`
	Seed     []int64  `help:"Seed of the days at close range; may be given more than once. Needed for the panel brink."`
	Quick    bool     `help:"Play the short form of each panel."`
	Why      string   `required:"" help:"What is played, in one sentence; the bench notes it in its journal."`
	Record   string   `name:"record-file" default:"docs/record.toml" help:"File with the figures to hold against."`
	Raise    bool     `name:"record" help:"Move figures of the record up to what is reached."`
	Lower    string   `placeholder:"REASON" help:"Move figures down too, with the reason, which the record keeps."`
	Table    string   `placeholder:"FILE" help:"Write the table to this file as well."`
	Panels   []string `arg:"" optional:"" help:"Panels to play, of ${panels}; all that can be played where none is named."`
	patience time.Duration
}

const (
	patience = 2 * time.Hour // for one panel: the longest, in full at full size, is let take 25 minutes a day and 40 for the long one
	fall     = 0.03          // of a figure, beyond which it counts: the operators' bound for what is noise
)

// errFailed is a run that came to its end and found something wrong.
var errFailed = errors.New("regression")

func main() {
	var c cli
	if _, err := c.parser().Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "regress:", err)
		os.Exit(2)
	}
	c.patience = patience
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := c.run(ctx, os.Stdout)
	switch {
	case errors.Is(err, errFailed):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "regress:", err)
		os.Exit(2)
	}
}

// parser reads the command line into c.
func (c *cli) parser() *kong.Kong {
	return kong.Must(c, kong.Name("regress"), kong.Description("Plays the operators' benches and holds their figures against the record."),
		kong.Vars{"panels": strings.Join(names(), ", ")})
}

// run plays the panels and writes the table. It gives errFailed where something is wrong with the project, and another error where it
// could not be found out.
func (c *cli) run(ctx context.Context, out io.Writer) error {
	panels, err := c.chosen()
	if err != nil {
		return err
	}
	record, err := load(c.Record)
	if err != nil {
		return err
	}
	var rows []row
	for _, p := range panels {
		for _, seed := range p.seeds(c) {
			key := p.key(c.Quick)
			if p.seeded {
				key = fmt.Sprintf("%s-%d", p.name, seed)
			}
			fmt.Fprintf(out, "playing %s ...\n", key)
			reads, err := c.play(ctx, p, seed)
			if err != nil {
				return fmt.Errorf("%s: %w", key, err)
			}
			for _, r := range reads {
				if !p.seeded {
					rows = append(rows, record.hold(key+r.site(), r))
					continue
				}
				if r.Gate == "" {
					r.Broken = append(r.Broken, "no word of the gate")
				}
				rows = append(rows, row{key: key, r: r, shown: true})
			}
		}
	}
	table := tabled(rows)
	fmt.Fprint(out, "\n", table)
	if c.Table != "" {
		if err := os.WriteFile(c.Table, []byte(table), 0o644); err != nil {
			return err
		}
	}
	if c.Raise || c.Lower != "" {
		moved := record.move(rows, c.Lower, time.Now())
		for _, line := range moved {
			fmt.Fprintln(out, line)
		}
		if err := record.save(c.Record); err != nil {
			return err
		}
	}
	for _, r := range rows {
		if r.wrong(c.Lower != "") {
			return errFailed
		}
	}
	return nil
}

// play runs one panel's bench and reads what it printed.
func (c *cli) play(ctx context.Context, p panel, seed int64) ([]reading, error) {
	ctx, cancel := context.WithTimeout(ctx, c.patience)
	defer cancel()
	cmd := exec.CommandContext(ctx, p.program(c.Bench), p.words(c, seed)...)
	var printed strings.Builder
	cmd.Stdout, cmd.Stderr = &printed, &printed
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a bench has processes of its own, which end with it
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = time.Second
	err := cmd.Run()
	reads, wrong := read(printed.String())
	switch {
	case ctx.Err() != nil:
		return nil, fmt.Errorf("not played to its end: %w", context.Cause(ctx))
	case wrong != nil:
		return nil, fmt.Errorf("%w (the bench ended with: %v)\n%s", wrong, err, tail(printed.String()))
	}
	if err != nil { // a bench may end so where a rule broke; where it says nothing of that, something else is wrong
		for i := range reads {
			reads[i].Broken = append(reads[i].Broken, "the bench ended with "+err.Error())
		}
	}
	return reads, nil
}

// tail is the end of what a bench printed.
func tail(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-8):], "\n")
}
