package main

import (
	"errors"
	"regexp"
	"strconv"
	"strings"
)

// reading is what a bench reported about one site.
type reading struct {
	Site       string // empty if the bench names none
	Figure     float64
	DayScores  []string // name and score of each day
	Violations []string // broken rules, crashes and failed gates, as the bench words them
	Gate       string   // "passed", "failed" or empty if there is none
}

// keySuffix returns the end of the site's key in the record.
func (r reading) keySuffix() string {
	if r.Site == "" {
		return ""
	}
	return "-" + r.Site
}

var (
	errNoFigure        = errors.New("no figure in what the bench printed")
	errDuplicateFigure = errors.New("more than one figure for a site")
	// Output of the two kinds of bench: on sockets one figure in all, with the simulator one for each site.
	realFigurePattern = regexp.MustCompile(`^score of the real nodes (\S+)`)
	simFigurePattern  = regexp.MustCompile(`^(?:\[\w+\] )?(?:score|quick estimate) on the standard days of (\S+)[^:]*: ([^ ,;]+)`)
	realDayPattern    = regexp.MustCompile(`^(\S+) +G .* score (\S+)`)
	gatePattern       = regexp.MustCompile(`^GATE (\w+)`)
	violationPattern  = regexp.MustCompile(`^(?i:rules? broken|rules: broken)|\bBROKEN\b`)
	voidScorePattern  = regexp.MustCompile(`score void`)
)

// parseOutput returns a reading for each site in a bench's output. The simulator prints the other lines of a site after its figure, the benches
// with real gateways before it.
func parseOutput(output string) ([]reading, error) {
	var readings []reading
	var unnamed reading
	current := func() *reading {
		if len(readings) > 0 {
			return &readings[len(readings)-1]
		}
		return &unnamed
	}
	for line := range strings.Lines(output) {
		line = strings.TrimSpace(line)
		if m := simFigurePattern.FindStringSubmatch(line); m != nil {
			figure, err := strconv.ParseFloat(m[2], 64)
			if err != nil {
				return nil, errNoFigure
			}
			for _, r := range readings {
				if r.Site == m[1] {
					return nil, errDuplicateFigure
				}
			}
			readings = append(readings, reading{Site: m[1], Figure: figure})
			continue
		}
		if m := realFigurePattern.FindStringSubmatch(line); m != nil {
			figure, err := strconv.ParseFloat(m[1], 64)
			if err != nil {
				return nil, errNoFigure
			}
			if len(readings) > 0 {
				return nil, errDuplicateFigure
			}
			unnamed.Figure = figure
			readings = append(readings, unnamed)
			continue
		}
		if m := realDayPattern.FindStringSubmatch(line); m != nil && !voidScorePattern.MatchString(line) {
			current().DayScores = append(current().DayScores, m[1]+" "+m[2])
		}
		if m := gatePattern.FindStringSubmatch(line); m != nil {
			if current().Gate = m[1]; m[1] != "passed" {
				current().Violations = append(current().Violations, line)
			}
			continue
		}
		if violationPattern.MatchString(line) {
			current().Violations = append(current().Violations, line)
		}
	}
	if len(readings) == 0 {
		return nil, errNoFigure
	}
	return readings, nil
}
