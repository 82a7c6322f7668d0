package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"time"
)

// slopesCommand runs the measures at several sizes each, prints the growth of each cost and saves the results.
type slopesCommand struct {
	Timeout      time.Duration `name:"within" default:"2m" help:"Time limit; what was not measured by then is listed, and the exit code is 1."`
	MaxSize      int           `name:"most" default:"0" help:"Skip sizes above this; 0 for no limit."`
	OutputFolder string        `name:"out" default:"lab/results" help:"Folder for the results; empty to save none."`
	OnlyMeasures []string      `name:"only" help:"Run only the measures whose names begin with these; saves nothing."`
	Procs        int           `default:"2" help:"Maximum number of cores to use."`

	measures       func() []measure // replaces the list of measures in tests; nil means all
	overrunTimeout time.Duration    // time after the timeout for the operation in progress; 0 means defaultOverrunTimeout
}

// timingMethod describes how times are measured; it is stored in the results.
const timingMethod = "processor time of the one thread that does the work, the least of at least 3 readings of 2 ms or one operation; the collector's other threads are not in it. desk: wall time, the least of 6 changes; its first list: one reading"

// unitOrder is the order in which the units of a measure are listed.
var unitOrder = []string{"s", "first", "change", "allocs", "alloc", "heap", "text"}

// Run measures, prints the growth of each series and saves the results.
func (c *slopesCommand) Run(ctx context.Context, out io.Writer) error {
	if c.Timeout <= 0 || c.Procs < 1 || c.MaxSize < 0 {
		return fmt.Errorf("--within %v, --procs %d, --most %d: --within has to be positive, --procs at least 1 and --most not negative", c.Timeout, c.Procs, c.MaxSize)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(c.Procs))
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // as in the gateway
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	type outcome struct {
		results *results
		err     error
	}
	done, progress, overrun := make(chan outcome, 1), make(chan string), closeAfterDone(ctx, cmp.Or(c.overrunTimeout, defaultOverrunTimeout))
	go func() {
		r, err := c.measureAll(ctx, progress)
		done <- outcome{r, err}
	}()
	var finished outcome
	for finished.results == nil && finished.err == nil {
		select {
		case line := <-progress:
			fmt.Fprintln(out, line)
		case finished = <-done:
		case <-overrun:
			return fmt.Errorf("one operation did not end within %v after the timeout", cmp.Or(c.overrunTimeout, defaultOverrunTimeout))
		}
	}
	if finished.err != nil {
		return finished.err
	}
	fmt.Fprint(out, "\n", finished.results.growthTable())
	if c.OutputFolder != "" && len(c.OnlyMeasures) == 0 && len(finished.results.Series) > 0 {
		path, err := finished.results.save(c.OutputFolder, time.Now().UTC().Format("20060102-150405"))
		if err != nil {
			return err
		}
		fmt.Fprintln(out, "kept:", path)
	}
	if len(finished.results.Missing) > 0 {
		fmt.Fprintln(out, "not measured:", strings.Join(finished.results.Missing, ", "))
		return errFailed
	}
	return nil
}

// closeAfterDone returns a channel that is closed some time after the context is done.
func closeAfterDone(ctx context.Context, delay time.Duration) <-chan struct{} {
	closed := make(chan struct{})
	context.AfterFunc(ctx, func() { time.AfterFunc(delay, func() { close(closed) }) })
	return closed
}

// measureAll runs the chosen measures. Sizes that it does not reach before the context ends are listed in Missing.
func (c *slopesCommand) measureAll(ctx context.Context, progress chan<- string) (*results, error) {
	r := &results{CreatedAt: time.Now().UTC().Format(time.RFC3339), Go: runtime.Version(), Arch: runtime.GOOS + "/" + runtime.GOARCH, Procs: c.Procs, TimingMethod: timingMethod}
	listMeasures := measures
	if c.measures != nil {
		listMeasures = c.measures
	}
	var chosen []measure
	for _, m := range listMeasures() {
		if len(c.OnlyMeasures) == 0 || slices.ContainsFunc(c.OnlyMeasures, func(name string) bool { return strings.HasPrefix(m.name, name) }) {
			chosen = append(chosen, m)
		}
	}
	if len(chosen) == 0 {
		return nil, fmt.Errorf("no measure has a name that begins with %s", strings.Join(c.OnlyMeasures, " or "))
	}
	start := time.Now()
	for i, m := range chosen {
		select {
		case progress <- fmt.Sprintf("%2d/%d %4.0f s  %s by %s ...", i+1, len(chosen), time.Since(start).Seconds(), m.name, m.sizeName):
		case <-ctx.Done(): // the remaining sizes are listed in Missing
		}
		seriesByKey := map[string]*series{}
		for _, size := range m.sizes {
			if c.MaxSize > 0 && size > c.MaxSize {
				continue
			}
			if ctx.Err() != nil {
				r.Missing = append(r.Missing, fmt.Sprintf("%s at %d", m.name, size))
				continue
			}
			values, reps, err := m.run(&meter{ctx: ctx}, size)
			switch {
			case errors.Is(err, context.DeadlineExceeded):
				r.Missing = append(r.Missing, fmt.Sprintf("%s at %d", m.name, size))
				continue
			case err != nil:
				return nil, fmt.Errorf("%s at %d: %w", m.name, size, err)
			}
			r.MaxSize = max(r.MaxSize, size)
			for unit, v := range values {
				key := m.name + "/" + strings.ReplaceAll(unit, " ", "-")
				if seriesByKey[key] == nil {
					seriesByKey[key] = &series{Key: key, Description: m.description, SizeName: m.sizeName, FixedSizes: m.fixedSizes}
				}
				seriesByKey[key].Points = append(seriesByKey[key].Points, point{size, v, reps})
			}
		}
		for _, key := range slices.SortedFunc(maps.Keys(seriesByKey), compareByUnit) {
			s := seriesByKey[key]
			var err error
			if s.Fit, err = fitPowerLaw(s.Points); err == nil { // a series of zeros has no growth to fit
				r.Series = append(r.Series, s)
			} else if len(s.Points) < 2 {
				r.Missing = append(r.Missing, fmt.Sprintf("growth of %s: %v", key, err))
			}
		}
	}
	return r, nil
}

// compareByUnit orders the keys of series by unitOrder, then by name.
func compareByUnit(a, b string) int {
	unitRank := func(key string) int {
		_, unit, _ := strings.Cut(key, "/")
		if i := slices.Index(unitOrder, unit); i >= 0 {
			return i
		}
		return len(unitOrder)
	}
	if d := unitRank(a) - unitRank(b); d != 0 {
		return d
	}
	return strings.Compare(a, b)
}

// growthTable returns the growth of each series as a Markdown table.
func (r *results) growthTable() string {
	var s strings.Builder
	s.WriteString("| series | by | exponent | at the large end | for each more there | at the largest | verdict |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, row := range r.Series {
		_, unit, _ := strings.Cut(row.Key, "/")
		end := row.Points[len(row.Points)-1]
		fmt.Fprintf(&s, "| `%s` | %s | %.2f | %.2f | %s | %s at %d | %s |\n", row.Key, row.SizeName, row.Fit.Exponent, row.Fit.TailExponent, formatAmount(row.Fit.TailSlope, unit),
			formatAmount(end.Value, unit), end.Size, row.Fit.verdict())
	}
	return s.String()
}

// formatAmount formats a value in the unit of a series, to three significant digits and with a unit prefix.
func formatAmount(v float64, unit string) string {
	type unitScale struct {
		factor float64
		unit   string
	}
	unitScales := []unitScale{{1, ""}}
	switch unit {
	case "s", "first", "change":
		unitScales = []unitScale{{1, "s"}, {1e-3, "ms"}, {1e-6, "µs"}, {1e-9, "ns"}}
	case "alloc", "heap", "text":
		unitScales = []unitScale{{1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}, {1, "B"}}
	case "B/s", "worst-B/s":
		unitScales = []unitScale{{1e9, "GB/s"}, {1e6, "MB/s"}, {1e3, "KB/s"}, {1, "B/s"}}
	}
	for _, scale := range unitScales {
		if v >= scale.factor || scale == unitScales[len(unitScales)-1] {
			format := "%.3g %s"
			if v/scale.factor >= 1000 {
				format = "%.0f %s"
			}
			return strings.TrimSpace(fmt.Sprintf(format, v/scale.factor, scale.unit))
		}
	}
	return ""
}
