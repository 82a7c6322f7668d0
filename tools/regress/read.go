package main

import (
	"errors"
	"regexp"
	"strconv"
	"strings"
)

// reading is what a bench said of one site.
type reading struct {
	Site   string // where it names one
	Figure float64
	Days   []string // each day's own line
	Broken []string // rules, crashes and gates, as they are worded
	Gate   string   // "passed", "failed" or nothing where there is none
}

// site is the ending of the record's key.
func (r reading) site() string {
	if r.Site == "" {
		return ""
	}
	return "-" + r.Site
}

var (
	errNoFigure = errors.New("no figure in what the bench printed")
	errTwice    = errors.New("more than one figure for a site")
	// what the two benches print: one figure in all, or one for each site
	realFigure = regexp.MustCompile(`^score of the real nodes (\S+)`)
	simFigure  = regexp.MustCompile(`^(?:\[\w+\] )?(?:score|quick estimate) on the standard days of (\S+)[^:]*: ([^ ,;]+)`)
	realDay    = regexp.MustCompile(`^(\S+) +G .* score (\S+)`)
	gate       = regexp.MustCompile(`^GATE (\w+)`)
	broken     = regexp.MustCompile(`^(?i:rules? broken|rules: broken)|\bBROKEN\b`)
	late       = regexp.MustCompile(`score void`)
)

// read finds the figures in what a bench printed, one for each site. What it says of a site comes behind that site's figure with the
// simulator, before it with the real gateways.
func read(printed string) ([]reading, error) {
	var reads []reading
	var before reading
	at := func() *reading {
		if len(reads) > 0 {
			return &reads[len(reads)-1]
		}
		return &before
	}
	for line := range strings.Lines(printed) {
		line = strings.TrimSpace(line)
		if m := simFigure.FindStringSubmatch(line); m != nil {
			n, err := strconv.ParseFloat(m[2], 64)
			if err != nil {
				return nil, errNoFigure
			}
			for _, r := range reads {
				if r.Site == m[1] {
					return nil, errTwice
				}
			}
			reads = append(reads, reading{Site: m[1], Figure: n})
			continue
		}
		if m := realFigure.FindStringSubmatch(line); m != nil {
			n, err := strconv.ParseFloat(m[1], 64)
			if err != nil {
				return nil, errNoFigure
			}
			if len(reads) > 0 {
				return nil, errTwice
			}
			before.Figure = n
			reads = append(reads, before)
			continue
		}
		if m := realDay.FindStringSubmatch(line); m != nil && !late.MatchString(line) {
			at().Days = append(at().Days, m[1]+" "+m[2])
		}
		if m := gate.FindStringSubmatch(line); m != nil {
			if at().Gate = m[1]; m[1] != "passed" {
				at().Broken = append(at().Broken, line)
			}
			continue
		}
		if broken.MatchString(line) {
			at().Broken = append(at().Broken, line)
		}
	}
	if len(reads) == 0 {
		return nil, errNoFigure
	}
	return reads, nil
}
