package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// powerLawPoints returns points of value = 3 * size^exponent, multiplied by a factor at some sizes.
func powerLawPoints(exponent float64, factors map[int]float64, sizes ...int) (points []point) {
	for _, n := range sizes {
		factor := factors[n]
		if factor == 0 {
			factor = 1
		}
		points = append(points, point{n, 3 * math.Pow(float64(n), exponent) * factor, 1})
	}
	return points
}

// The fit finds a power law again, and reports a point that deviates by more than a quarter, or a bend, with its size. Fewer than two points
// above zero can't be fitted.
func Example_fitted() {
	show := func(points []point) {
		f, err := fitPowerLaw(points)
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%.2f, slope %.4g, %s\n", f.Exponent, f.TailSlope, f.verdict())
	}
	show(powerLawPoints(1, nil, 10, 100, 1000))
	show(powerLawPoints(2, nil, 10, 100, 1000))
	show(powerLawPoints(1, map[int]float64{100: 1.2}, 10, 100, 1000))
	show(powerLawPoints(1, map[int]float64{100: 2}, 10, 100, 1000))
	show(append(powerLawPoints(0, nil, 10, 100), powerLawPoints(2, nil, 1000, 10_000, 100_000)...))
	show(powerLawPoints(1, nil, 10))
	show([]point{{10, 0, 1}, {100, 0, 1}})
	// Output:
	// 1.00, slope 3, line (0% off at the most)
	// 2.00, slope 3139, line (0% off at the most)
	// 1.00, slope 2.973, line (13% off at the most)
	// 1.00, slope 2.865, NO LINE: 59% off at 100, exponent 1.00 at the large end
	// 2.80, slope 3.139e+05, NO LINE: 1485% off at 1000, exponent 2.00 at the large end
	// 1 points above zero: no growth can be fitted
	// 0 points above zero: no growth can be fitted
}

// Within the measured sizes a forecast interpolates between the neighbouring points; beyond them it follows the growth at the large end.
func Example_forecast() {
	s := &series{Points: append(powerLawPoints(0, nil, 10, 100), powerLawPoints(2, nil, 1000, 10_000, 100_000)...)}
	s.Fit, _ = fitPowerLaw(s.Points)
	for _, size := range []int{10, 50, 300, 1000, 20_000, 1_000_000} {
		fmt.Printf("%d: %.3g, measured %t\n", size, s.forecast(size), s.covers(size))
	}
	// Output:
	// 10: 3, measured true
	// 50: 3, measured true
	// 300: 2.19e+03, measured true
	// 1000: 3e+06, measured true
	// 20000: 1.2e+09, measured true
	// 1000000: 3e+12, measured false
}

// fakeMeasures returns measures with known values.
func fakeMeasures() []measure {
	return []measure{{"twice", "hosts", "", "", []int{1, 10, 100}, func(_ *meter, n int) (map[string]float64, int, error) {
		return map[string]float64{"s": 2e-6 * float64(n), "heap": 100 * float64(n)}, 3, nil
	}}, {"nought", "hosts", "", "", []int{1, 10, 100}, func(*meter, int) (map[string]float64, int, error) {
		return map[string]float64{"s": 0}, 3, nil
	}}}
}

// runSlopes runs the command and returns its output and error.
func runSlopes(t *testing.T, s *slopesCommand) (string, error) {
	t.Helper()
	var out strings.Builder
	err := s.Run(context.Background(), &out)
	return out.String(), err
}

// Progress is printed, and the results are saved as JSON that can be read back, as CSV and as a chart.
func TestSavesResults(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "results")
	out, err := runSlopes(t, &slopesCommand{Timeout: time.Minute, OutputFolder: folder, Procs: 1, measures: fakeMeasures})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"1/2", "2/2", "| `twice/s` | hosts | 1.00 | 1.00 | 2 µs | 200 µs at 100 |", "kept:"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in:\n%s", want, out)
		}
	}
	r, path, err := loadLatest(folder)
	if err != nil || len(r.Series) != 2 || r.findSeries("twice/heap") == nil || r.findSeries("twice/heap").Points[2].Value != 10_000 {
		t.Fatalf("%v, %+v", err, r)
	}
	for end, want := range map[string]string{".csv": "twice/s,hosts,10,2e-05,3,2e-05\n", ".svg": "<svg"} {
		text, err := os.ReadFile(strings.TrimSuffix(path, ".json") + end)
		if err != nil || !strings.Contains(string(text), want) {
			t.Errorf("%s: %v, no %q", end, err, want)
		}
	}
}

// The command ends at its timeout and lists what was not measured; an operation that never returns doesn't keep it from ending.
func TestEndsAtTimeout(t *testing.T) {
	waitForTimeout := func(m *meter, _ int) (map[string]float64, int, error) {
		<-m.ctx.Done()
		return nil, 0, m.ctx.Err()
	}
	blocked := make(chan struct{})
	defer close(blocked)
	for name, run := range map[string]func(*meter, int) (map[string]float64, int, error){"waits": waitForTimeout,
		"hangs": func(*meter, int) (map[string]float64, int, error) { <-blocked; return nil, 0, nil }} {
		start := time.Now()
		out, err := runSlopes(t, &slopesCommand{Timeout: 50 * time.Millisecond, Procs: 1, overrunTimeout: 50 * time.Millisecond, measures: func() []measure {
			return append(fakeMeasures(), measure{name, "hosts", "", "", []int{1, 10}, run})
		}})
		if time.Since(start) > 5*time.Second {
			t.Errorf("%s: %v", name, time.Since(start))
		}
		switch {
		case name == "waits" && (!errors.Is(err, errFailed) || !strings.Contains(out, "not measured: waits at 1, waits at 10")):
			t.Errorf("%s: %v\n%s", name, err, out)
		case name == "hangs" && (err == nil || !strings.Contains(err.Error(), "did not end within")):
			t.Errorf("%s: %v\n%s", name, err, out)
		}
	}
}

// Invalid command lines are rejected with the reason, and nothing is measured.
func Example_rejectedCommandLines() {
	for _, line := range []string{"slopes --within 0s", "slopes --procs 0", "slopes --most=-1", "slopes --only nothing", "slopes --within soon", "measure",
		"check --results nowhere", "check --page nowhere.md --results ../../lab/results"} {
		var c cli
		var out strings.Builder
		err := c.run(context.Background(), strings.Fields(line), &out)
		fmt.Printf("%s: %v%s\n", line, err, strings.TrimSpace(out.String()))
	}
	// Output:
	// slopes --within 0s: --within 0s, --procs 2, --most 0: --within has to be positive, --procs at least 1 and --most not negative
	// slopes --procs 0: --within 2m0s, --procs 0, --most 0: --within has to be positive, --procs at least 1 and --most not negative
	// slopes --most=-1: --within 2m0s, --procs 2, --most -1: --within has to be positive, --procs at least 1 and --most not negative
	// slopes --only nothing: no measure has a name that begins with nothing
	// slopes --within soon: --within: expected duration but got "soon": time: invalid duration "soon"
	// measure: unexpected argument measure
	// check --results nowhere: no results in nowhere: run slopes first
	// check --page nowhere.md --results ../../lab/results: open nowhere.md: no such file or directory
}

// Each measure works at its smallest size, including the one of the gateway with its sockets.
func TestMeasures(t *testing.T) {
	for _, m := range measures() {
		values, _, err := m.run(&meter{ctx: context.Background(), countsOnly: true}, m.sizes[0])
		if err != nil || len(values) == 0 {
			t.Errorf("%s: %v, %v", m.name, values, err)
		}
		for unit, v := range values {
			if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
				t.Errorf("%s/%s: %v", m.name, unit, v)
			}
		}
	}
}
