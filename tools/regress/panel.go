package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
)

// panel is one set of days that is played in one call.
type panel struct {
	name string
	bin  string              // below the kit's folder
	also []string            // words after the site
	sims func(*cli) []string // the simulator's sites that it plays, each with a figure of its own; nil on sockets
	// seeded ones are played once for each seed; gate and rules count there, and the figure, of another day each time, is only shown.
	seeded bool
}

var panels = []panel{
	{name: "service", bin: "real/bin/lbreal"},
	{name: "ops", bin: "more/ops/bin/lbreal"},
	{name: "later", bin: "more/ops/bin/lbreal", also: []string{"--panel", "later"}},
	{name: "mass", bin: "more/mass/bin/lbreal"},
	{name: "brink", bin: "more/mass/bin/lbreal", also: []string{"--panel", "brink"}, seeded: true},
	{name: "sim", bin: "more/move/bin/lbsim", sims: func(c *cli) []string { return c.SimSite }},
	{name: "more", bin: "bin/lbsim", sims: func(c *cli) []string { return c.MoreSite }},
}

func names() (all []string) {
	for _, p := range panels {
		all = append(all, p.name)
	}
	return all
}

// key names a panel's figure in the record.
func (p panel) key(quick bool) string {
	if quick {
		return p.name + "-quick"
	}
	return p.name
}

func (p panel) program(bench string) string { return filepath.Join(bench, p.bin) }

func (p panel) words(c *cli, seed int64) []string {
	words := append([]string{"score"}, p.sites(c)...)
	words = append(words, p.also...)
	if p.seeded {
		words = append(words, "--seed", strconv.FormatInt(seed, 10))
	} else if c.Quick {
		words = append(words, "--quick")
	}
	return append(words, "--why", c.Why)
}

// seeds is what a panel is played with, one call each.
func (p panel) seeds(c *cli) []int64 {
	if p.seeded {
		return c.Seed
	}
	return []int64{0}
}

// sites is what a panel plays.
func (p panel) sites(c *cli) []string {
	if p.sims != nil {
		return p.sims(c)
	}
	return []string{c.Site}
}

// chosen is what is to be played. All of it is looked for first: a bench that is missing is better known before an hour of others.
func (c *cli) chosen() ([]panel, error) {
	if info, err := os.Stat(c.Bench); err != nil || !info.IsDir() {
		return nil, fmt.Errorf("no folder with benches at %s", c.Bench)
	}
	var all []panel
	for _, name := range c.Panels {
		i := slices.Index(names(), name)
		if i < 0 {
			return nil, fmt.Errorf("no panel %q; there are %v", name, names())
		}
		all = append(all, panels[i])
	}
	if len(c.Panels) == 0 {
		all = slices.DeleteFunc(slices.Clone(panels), func(p panel) bool { return len(p.sites(c)) == 0 || len(p.seeds(c)) == 0 })
	}
	sites := []string{}
	for _, p := range all {
		if info, err := os.Stat(p.program(c.Bench)); err != nil || info.IsDir() {
			return nil, fmt.Errorf("panel %s: no bench at %s", p.name, p.program(c.Bench))
		}
		if len(p.sites(c)) == 0 {
			return nil, fmt.Errorf("panel %s: no --%s-site", p.name, p.name)
		}
		if len(p.seeds(c)) == 0 {
			return nil, fmt.Errorf("panel %s: no --seed", p.name)
		}
		sites = append(sites, p.sites(c)...)
	}
	for _, site := range sites {
		if info, err := os.Stat(site); err != nil || info.IsDir() {
			return nil, fmt.Errorf("no site file at %s", site)
		}
	}
	return all, nil
}
