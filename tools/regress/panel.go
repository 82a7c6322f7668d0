package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
)

// panel is a set of simulated days that one call of a bench runs.
type panel struct {
	name           string
	program        string              // path below the folder of the benches
	extraArguments []string            // arguments after the site
	simulatorSites func(*cli) []string // sites that the simulator runs, each with its own figure; nil for benches on sockets
	// A seeded panel runs once for each seed. Only its gate and rules count; the figure differs by seed and is only displayed.
	seeded bool
}

// panels lists all panels, in the order in which they run by default.
var panels = []panel{
	{name: "service", program: "real/bin/lbreal"},
	{name: "ops", program: "more/ops/bin/lbreal"},
	{name: "later", program: "more/ops/bin/lbreal", extraArguments: []string{"--panel", "later"}},
	{name: "mass", program: "more/mass/bin/lbreal"},
	{name: "brink", program: "more/mass/bin/lbreal", extraArguments: []string{"--panel", "brink"}, seeded: true},
	{name: "sim", program: "more/move/bin/lbsim", simulatorSites: func(c *cli) []string { return c.SimSiteFiles }},
	{name: "more", program: "bin/lbsim", simulatorSites: func(c *cli) []string { return c.MoreSiteFiles }},
}

// panelNames returns the names of all panels.
func panelNames() (all []string) {
	for _, p := range panels {
		all = append(all, p.name)
	}
	return all
}

// recordKey returns the key of the panel's figure in the record.
func (p panel) recordKey(quick bool) string {
	if quick {
		return p.name + "-quick"
	}
	return p.name
}

// programPath returns the path of the panel's bench.
func (p panel) programPath(bench string) string { return filepath.Join(bench, p.program) }

// arguments returns the command line of the bench.
func (p panel) arguments(c *cli, seed int64) []string {
	arguments := append([]string{"score"}, p.siteFiles(c)...)
	arguments = append(arguments, p.extraArguments...)
	if p.seeded {
		arguments = append(arguments, "--seed", strconv.FormatInt(seed, 10))
	} else if c.Quick {
		arguments = append(arguments, "--quick")
	}
	return append(arguments, "--why", c.Description)
}

// seeds returns the seeds of a panel, one call each. A panel that isn't seeded has one call.
func (p panel) seeds(c *cli) []int64 {
	if p.seeded {
		return c.Seeds
	}
	return []int64{0}
}

// siteFiles returns the site files that a panel runs.
func (p panel) siteFiles(c *cli) []string {
	if p.simulatorSites != nil {
		return p.simulatorSites(c)
	}
	return []string{c.SiteFile}
}

// choosePanels returns the panels to run. It checks first that all benches and site files exist, so that a missing one is reported before an
// hour of other panels.
func (c *cli) choosePanels() ([]panel, error) {
	if info, err := os.Stat(c.BenchFolder); err != nil || !info.IsDir() {
		return nil, fmt.Errorf("no folder with benches at %s", c.BenchFolder)
	}
	var chosen []panel
	for _, name := range c.Panels {
		i := slices.Index(panelNames(), name)
		if i < 0 {
			return nil, fmt.Errorf("no panel %q; there are %v", name, panelNames())
		}
		chosen = append(chosen, panels[i])
	}
	if len(c.Panels) == 0 {
		chosen = slices.DeleteFunc(slices.Clone(panels), func(p panel) bool { return len(p.siteFiles(c)) == 0 || len(p.seeds(c)) == 0 })
	}
	siteFiles := []string{}
	for _, p := range chosen {
		if info, err := os.Stat(p.programPath(c.BenchFolder)); err != nil || info.IsDir() {
			return nil, fmt.Errorf("panel %s: no bench at %s", p.name, p.programPath(c.BenchFolder))
		}
		if len(p.siteFiles(c)) == 0 {
			return nil, fmt.Errorf("panel %s: no --%s-site", p.name, p.name)
		}
		if len(p.seeds(c)) == 0 {
			return nil, fmt.Errorf("panel %s: no --seed", p.name)
		}
		siteFiles = append(siteFiles, p.siteFiles(c)...)
	}
	for _, site := range siteFiles {
		if info, err := os.Stat(site); err != nil || info.IsDir() {
			return nil, fmt.Errorf("no site file at %s", site)
		}
	}
	return chosen, nil
}
