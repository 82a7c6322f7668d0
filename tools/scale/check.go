package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// checkCommand checks the tables of pages against the latest results and the target.
type checkCommand struct {
	Pages   []string `name:"page" default:"docs/CAPACITY.md,docs/fleet-state.md" help:"Pages to check; may be given more than once."`
	Results string   `default:"lab/results" help:"Folder of the saved results."`
}

const (
	maxFigureDeviation   = 0.06 // of a page's figure from the results; pages round to two digits
	maxExponentDeviation = 0.05 // of a page's exponent from the results; pages give two decimal places
)

// Run checks all pages, reports each wrong line and returns errFailed if there is one.
//
// It checks tables with certain columns and ignores all others:
//   - target, value: the sizes and budgets of the target, by name;
//   - series, exponent and optionally "at the largest": growth, as slopes prints it;
//   - figure, run: a figure and the expression that yields it. An expression is a sum of terms, each of factors joined by * and /, from left
//     to right. A factor is a number, a size or budget of the target, key@size (the value of the series at that size) or key~ (its slope at
//     the large end, per unit of size). If there is a column budget, which names one, the column verdict has to be "met", "missed N times"
//     with the figure divided by the budget, or "not measured" where run is "-".
func (c *checkCommand) Run(out io.Writer) error {
	r, path, err := loadLatest(c.Results)
	if err != nil {
		return err
	}
	wrongTotal := 0
	for _, page := range c.Pages {
		text, err := os.ReadFile(page)
		if err != nil {
			return err
		}
		figures, wrong := r.checkPage(string(text), filepath.Base(path))
		for _, line := range wrong {
			fmt.Fprintf(out, "%s:%s\n", page, line)
		}
		fmt.Fprintf(out, "%s: %d figures, %d wrong, held against %s\n", page, figures, len(wrong), path)
		wrongTotal += len(wrong)
	}
	if wrongTotal > 0 {
		return errFailed
	}
	return nil
}

// checkPage checks all tables of a page. It returns the number of figures checked and a message with its line for each that is wrong.
func (r *results) checkPage(page, resultsFile string) (figures int, wrong []string) {
	var columns []string
	report := func(i int, format string, args ...any) {
		wrong = append(wrong, fmt.Sprintf("%d: ", i+1)+fmt.Sprintf(format, args...))
	}
	resultsNamed := false
	for i, line := range strings.Split(page, "\n") {
		for _, name := range resultsFilePattern.FindAllString(line, -1) {
			if resultsNamed = true; name != resultsFile {
				report(i, "%s is named, but the latest results are %s", name, resultsFile)
			}
		}
		if !strings.HasPrefix(line, "|") {
			columns = nil
			continue
		}
		cells := splitCells(line)
		switch {
		case columns == nil:
			columns = cells
			continue
		case strings.HasPrefix(cells[0], "---"):
			continue
		case len(cells) != len(columns):
			report(i, "%d cells in a table with %d columns", len(cells), len(columns))
			continue
		}
		cell := func(name string) string {
			if at := slices.Index(columns, name); at >= 0 {
				return cells[at]
			}
			return ""
		}
		has := func(name string) bool { return slices.Contains(columns, name) }
		err := error(nil)
		switch {
		case has("target") && has("value"):
			err = checkTarget(cell("target"), cell("value"))
		case has("series") && has("exponent"):
			err = r.checkGrowth(cell("series"), cell("exponent"), cell("at the largest"))
		case has("figure") && has("run"):
			err = r.checkFigure(cell("figure"), cell("run"), cell("budget"), cell("verdict"), has("budget"))
		default:
			continue
		}
		if figures++; err != nil {
			report(i, "%v", err)
		}
	}
	if !resultsNamed {
		wrong = append(wrong, " no results file "+resultsFilePrefix+"*.json is named")
	}
	if figures == 0 {
		wrong = append(wrong, " no figures found")
	}
	return figures, wrong
}

var (
	resultsFilePattern = regexp.MustCompile(resultsFilePrefix + `[0-9-]+\.json`)
	quantityPattern    = regexp.MustCompile(`^(?:about )?([0-9][0-9,]*(?:\.[0-9]+)?)\s*([^\s0-9,;]*)`)
	missedPattern      = regexp.MustCompile(`^missed ([0-9][0-9,]*(?:\.[0-9]+)?) times$`)
)

// unitFactors maps the units of time and bytes on the pages to factors. Any other word after a number is a part of the prose.
var unitFactors = map[string]float64{"ns": 1e-9, "µs": 1e-6, "ms": 1e-3, "s": 1, "B": 1, "KB": 1e3, "MB": 1e6, "GB": 1e9, "%": 0.01,
	"B/s": 1, "KB/s": 1e3, "MB/s": 1e6, "GB/s": 1e9}

// splitCells returns the cells of a table's line, without the marks of code.
func splitCells(line string) (cells []string) {
	for _, cell := range strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|") {
		cells = append(cells, strings.Trim(strings.TrimSpace(cell), "`"))
	}
	return cells
}

// parseQuantity parses a figure with its unit.
func parseQuantity(text string) (float64, error) {
	m := quantityPattern.FindStringSubmatch(text)
	if m == nil {
		return 0, fmt.Errorf("%q is not a number", text)
	}
	v, err := strconv.ParseFloat(strings.ReplaceAll(m[1], ",", ""), 64)
	if scale, known := unitFactors[m[2]]; known {
		v *= scale
	}
	return v, err
}

// withinTolerance reports whether a deviates from b by no more than a fraction of b.
func withinTolerance(a, b, tolerance float64) bool {
	return math.Abs(a-b) <= tolerance*math.Abs(b)+1e-12
}

// targetValue returns a size or budget of the target by its name.
func targetValue(name string) (v float64, known bool) {
	if n, known := targetFleet[name]; known {
		return float64(n), true
	}
	v, known = targetBudgets[name]
	return v, known
}

// checkTarget checks a row with a size or budget of the target.
func checkTarget(name, value string) error {
	want, known := targetValue(name)
	v, err := parseQuantity(value)
	switch {
	case err != nil:
		return err
	case !known:
		return fmt.Errorf("%q is not in the target", name)
	case !withinTolerance(v, want, 1e-9):
		return fmt.Errorf("%s is %s here, %g in the target", name, value, want)
	}
	return nil
}

// checkGrowth checks a row with the growth of a series. largest may be empty.
func (r *results) checkGrowth(key, exponent, largest string) error {
	s := r.findSeries(key)
	v, err := strconv.ParseFloat(exponent, 64)
	switch {
	case s == nil:
		return fmt.Errorf("%q is not among the results", key)
	case err != nil:
		return err
	case math.Abs(v-s.Fit.Exponent) > maxExponentDeviation:
		return fmt.Errorf("exponent of %s is %s here, %.2f in the results", key, exponent, s.Fit.Exponent)
	case largest == "":
		return nil
	}
	end := s.Points[len(s.Points)-1]
	if v, err = parseQuantity(largest); err == nil && (!withinTolerance(v, end.Value, maxFigureDeviation) || !strings.HasSuffix(largest, fmt.Sprintf(" at %d", end.Size))) {
		err = fmt.Errorf("%s is %s here, %.3g at %d in the results", key, largest, end.Value, end.Size)
	}
	return err
}

// checkFigure checks a row with a figure, the expression that yields it and, if the table has budgets, the verdict.
func (r *results) checkFigure(figure, expression, budget, verdict string, budgeted bool) error {
	if expression == "-" {
		if budgeted && verdict != "not measured" {
			return fmt.Errorf("without a run the verdict has to be: not measured, but it is %q", verdict)
		}
		return nil
	}
	want, err := r.evaluateExpression(expression)
	if err != nil {
		return err
	}
	v, err := parseQuantity(figure)
	if err != nil {
		return err
	}
	if !withinTolerance(v, want, maxFigureDeviation) {
		return fmt.Errorf("%s here, but %.3g by %s", figure, want, expression)
	}
	if !budgeted || budget == "-" {
		return nil
	}
	limit, known := targetValue(budget)
	if !known {
		return fmt.Errorf("budget %q is not in the target", budget)
	}
	if want <= limit {
		if verdict != "met" {
			return fmt.Errorf("verdict %q, but %.3g is within the budget %s of %g", verdict, want, budget, limit)
		}
		return nil
	}
	m := missedPattern.FindStringSubmatch(verdict)
	if m == nil {
		return fmt.Errorf("verdict %q, but %.3g exceeds the budget %s of %g", verdict, want, budget, limit)
	}
	if times, err := strconv.ParseFloat(strings.ReplaceAll(m[1], ",", ""), 64); err != nil || !withinTolerance(times, want/limit, maxFigureDeviation) {
		return fmt.Errorf("verdict %q, but the figure is %.3g times the budget %s", verdict, want/limit, budget)
	}
	return nil
}

// evaluateExpression returns the value of a figure's expression.
func (r *results) evaluateExpression(text string) (sum float64, err error) {
	for _, term := range strings.Split(text, " + ") {
		product, operator := 1.0, "*"
		for i, word := range strings.Fields(strings.ReplaceAll(term, "`", "")) {
			if i%2 == 1 {
				if operator = word; operator != "*" && operator != "/" {
					return 0, fmt.Errorf("%q is neither * nor /", word)
				}
				continue
			}
			v, err := r.evaluateFactor(word)
			if err != nil {
				return 0, err
			}
			if operator == "/" {
				v = 1 / v
			}
			product *= v
		}
		sum += product
	}
	return sum, nil
}

// evaluateFactor returns the value of a number, of a name of the target, of key@size or of key~.
func (r *results) evaluateFactor(text string) (float64, error) {
	if v, err := strconv.ParseFloat(strings.ReplaceAll(text, ",", ""), 64); err == nil {
		return v, nil
	}
	if v, isTarget := targetValue(text); isTarget {
		return v, nil
	}
	key, sizeText, hasSize := strings.Cut(text, "@")
	if !hasSize {
		key = strings.TrimSuffix(text, "~")
	}
	s := r.findSeries(key)
	switch {
	case s == nil:
		return 0, fmt.Errorf("%q is not among the results", text)
	case !hasSize && key == text:
		return 0, fmt.Errorf("%q has neither a size nor ~", text)
	case !hasSize:
		return s.Fit.TailSlope, nil
	}
	size, isTarget := targetValue(sizeText)
	if !isTarget {
		var err error
		if size, err = strconv.ParseFloat(strings.ReplaceAll(sizeText, ",", ""), 64); err != nil || size < 1 {
			return 0, fmt.Errorf("%q is not a size", sizeText)
		}
	}
	return s.forecast(int(size)), nil
}
