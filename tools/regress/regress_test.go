package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// fakeBenches is a folder of fake benches. Each prints a fixed text, whatever its arguments.
type fakeBenches struct{ folder string }

// newFakeBenches creates the fake benches of all panels and a site file in a temporary folder.
func newFakeBenches() *fakeBenches {
	folder, err := os.MkdirTemp("", "regress")
	if err != nil {
		panic(err)
	}
	benches := &fakeBenches{folder}
	benches.writeFile("site.toml", "name = \"site\"\n")
	for _, p := range panels {
		benches.setOutput(p.name, "")
	}
	return benches
}

// writeFile writes an executable file in the kit's folder and returns its path.
func (benches *fakeBenches) writeFile(name, text string) string {
	path := filepath.Join(benches.folder, name)
	os.MkdirAll(filepath.Dir(path), 0o755)
	if err := os.WriteFile(path, []byte(text), 0o755); err != nil {
		panic(err)
	}
	return path
}

// setOutput sets the text that a panel's bench prints and the shell commands that it runs afterwards.
func (benches *fakeBenches) setOutput(name, text string, commands ...string) {
	for _, p := range panels {
		if p.name == name {
			benches.writeFile(p.program, "#!/bin/sh\necho \"$@\" >>"+filepath.Join(benches.folder, "calls")+"\ncat <<'END'\n"+text+"\nEND\n"+strings.Join(commands, "\n"))
		}
	}
}

// run runs panels and prints the lines that the user sees and the error.
func (benches *fakeBenches) run(change func(c *cli), panels ...string) {
	c := cli{BenchFolder: benches.folder, SiteFile: filepath.Join(benches.folder, "site.toml"), RecordFile: filepath.Join(benches.folder, "record.toml"), Description: "A test", Quick: true,
		Panels: panels, panelTimeout: 10 * time.Second}
	if change != nil {
		change(&c)
	}
	var out strings.Builder
	err := c.run(context.Background(), &out)
	for line := range strings.Lines(out.String()) {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| panel") && !strings.HasPrefix(line, "| ---") ||
			line != "" && !strings.HasPrefix(line, "|") && !strings.HasPrefix(line, "running") {
			fmt.Println(line)
		}
	}
	if err != nil {
		fmt.Println("->", strings.ReplaceAll(err.Error(), benches.folder, "DIR"))
	}
}

// Outputs of benches. Those with %s take the end of a line, such as the gate's result.
const (
	passingOutput = `built in 1.5 s; policy 648 lines in 1 file
upgrade                    G 0.830  floor 0.489  top 0.845  memory 20 of 64 MB  descriptors 188 of 384  score 0.96
score of the real nodes 0.961 (the weighted mean of the days)
snapshot 1bd662d7`
	droppedOutput = `upgrade                    G 0.700  floor 0.489  top 0.845  score 0.60
score of the real nodes 0.930 (the weighted mean of the days)`
	brokenRuleOutput = `RULE BROKEN (the day counts as zero): lost, 7 times, first at 8.158 s
upgrade                    G 0.700  floor 0.489  top 0.845  score 0.00  BROKEN: lost
score of the real nodes 0.970 (the weighted mean of the days)`
	gateOutput = `calm+mass                  G 0.879  floor 0.454  top 0.904  served 0.935 (gate 0.530)  memory 18 of 72 MB  score 0.95
score of the real nodes 0.875 (seven tenths the weighted mean of the days, three tenths the worst third)
GATE %s`
	simulatorOutput = `[1f2e] quick estimate on the standard days of one (set 42091066): 0.781, -0.000 against snapshot 5c1c1962; rough-1 0.87 (-0.00)
day        size      G  score
rules: all kept
quick estimate on the standard days of two (set 1): %s, +0.000 against snapshot 5c1c1962
rules %s`
)

// The first run with --record creates the record, later ones raise it. It is lowered only with a reason, which it keeps.
func Example_updateRecord() {
	benches := newFakeBenches()
	defer os.RemoveAll(benches.folder)
	record := func(c *cli) { c.UpdateRecord = true }
	benches.setOutput("service", passingOutput)
	benches.run(nil, "service")
	benches.run(record, "service")
	benches.setOutput("service", strings.Replace(passingOutput, "0.961", "0.968", 1))
	benches.run(nil, "service")
	benches.run(record, "service")
	benches.setOutput("service", strings.Replace(passingOutput, "0.961", "0.938", 1))
	benches.run(record, "service") // a drop of 0.03 is noise, and the record stays
	benches.setOutput("service", droppedOutput)
	benches.run(record, "service")
	benches.run(func(c *cli) { c.LowerReason = "the bench asks for more since today" }, "service")
	benches.run(nil, "service")
	text, _ := os.ReadFile(filepath.Join(benches.folder, "record.toml"))
	fmt.Println(strings.Count(string(text), "the bench asks for more since today"), strings.Contains(string(text), "from = 0.968"))
	// Output:
	// | service-quick | 0.961 | none | - | first | upgrade 0.96 |
	// | service-quick | 0.961 | none | - | first | upgrade 0.96 |
	// service-quick: 0.961, new
	// | service-quick | 0.968 | 0.961 | - | held | upgrade 0.96 |
	// | service-quick | 0.968 | 0.961 | - | held | upgrade 0.96 |
	// service-quick: 0.961 to 0.968
	// | service-quick | 0.938 | 0.968 | - | held | upgrade 0.96 |
	// | service-quick | 0.930 | 0.968 | - | FELL by 0.038 | upgrade 0.60 |
	// -> regression
	// | service-quick | 0.930 | 0.968 | - | FELL by 0.038 | upgrade 0.60 |
	// service-quick: 0.968 down to 0.930
	// | service-quick | 0.930 | 0.930 | - | held | upgrade 0.60 |
	// 1 true
}

// A broken rule or gate fails the run whatever the figure, and the figure is never recorded, with or without a reason.
func Example_brokenRules() {
	benches := newFakeBenches()
	defer os.RemoveAll(benches.folder)
	benches.setOutput("ops", brokenRuleOutput)
	benches.setOutput("mass", fmt.Sprintf(gateOutput, "failed: lost on herd+mass"))
	benches.run(func(c *cli) { c.UpdateRecord, c.LowerReason = true, "why not" }, "ops", "mass")
	benches.setOutput("mass", fmt.Sprintf(gateOutput, "passed"))
	benches.setOutput("ops", passingOutput, "exit 3")
	benches.run(nil, "ops", "mass")
	benches.setOutput("sim", fmt.Sprintf(simulatorOutput, "0.700", "BROKEN: failback on big-2"))
	benches.run(func(c *cli) { c.SimSiteFiles = []string{c.SiteFile, c.SiteFile} }, "sim")
	benches.setOutput("more", fmt.Sprintf(simulatorOutput, "0.700", "kept"))
	benches.run(func(c *cli) { c.MoreSiteFiles = []string{c.SiteFile, c.SiteFile} }, "more")
	benches.run(nil, "more")
	// Output:
	// | ops-quick | 0.970 | none | - | BROKEN: RULE BROKEN (the day counts as zero): lost, 7 times, first at 8.158 s; upgrade                    G 0.700  floor 0.489  top 0.845  score 0.00  BROKEN: lost | upgrade 0.00 |
	// | mass-quick | 0.875 | none | failed | BROKEN: GATE failed: lost on herd+mass | calm+mass 0.95 |
	// ops-quick: not recorded, a rule or gate is broken
	// mass-quick: not recorded, a rule or gate is broken
	// -> regression
	// | ops-quick | 0.961 | none | - | BROKEN: the bench ended with exit status 3 | upgrade 0.96 |
	// | mass-quick | 0.875 | none | passed | first | calm+mass 0.95 |
	// -> regression
	// | sim-quick-one | 0.781 | none | - | first |  |
	// | sim-quick-two | 0.700 | none | - | BROKEN: rules BROKEN: failback on big-2 |  |
	// -> regression
	// | more-quick-one | 0.781 | none | - | first |  |
	// | more-quick-two | 0.700 | none | - | first |  |
	// -> panel more: no --more-site
}

// A missing file, or a bench without a figure, ends the run with an error and is never taken for a pass.
func Example_missingInput() {
	benches := newFakeBenches()
	defer os.RemoveAll(benches.folder)
	benches.run(nil, "service")
	benches.setOutput("service", "score of the real nodes nothing")
	benches.run(nil, "service")
	benches.setOutput("service", strings.Repeat("score of the real nodes 0.9\n", 2))
	benches.run(nil, "service")
	benches.setOutput("service", passingOutput, "exec sleep 60")
	benches.run(func(c *cli) { c.panelTimeout = 300 * time.Millisecond }, "service")
	benches.run(nil, "nothing")
	benches.run(nil, "sim")
	benches.run(func(c *cli) { c.SiteFile += "x" }, "ops")
	benches.run(func(c *cli) { c.BenchFolder += "/more/ops" }, "ops")
	benches.run(func(c *cli) { c.BenchFolder += "/nowhere" }, "ops")
	benches.setOutput("ops", passingOutput)
	benches.writeFile("record.toml", "[held.ops-quick]\nfigure = \"high\"\n")
	benches.run(nil, "ops")
	benches.writeFile("record.toml", "[held.ops-quick]\nfigur = 0.9\n")
	benches.run(nil, "ops")
	benches.writeFile("record.toml", "[held.ops-quick]\nfigure = 96.1\n")
	benches.run(nil, "ops")
	// Output:
	// -> service-quick: no figure in what the bench printed (the bench ended with: <nil>)
	//
	// -> service-quick: no figure in what the bench printed (the bench ended with: <nil>)
	// score of the real nodes nothing
	// -> service-quick: more than one figure for a site (the bench ended with: <nil>)
	// score of the real nodes 0.9
	// score of the real nodes 0.9
	// -> service-quick: the bench did not run to its end: context deadline exceeded
	// -> no panel "nothing"; there are [service ops later mass brink sim more]
	// -> panel sim: no --sim-site
	// -> no site file at DIR/site.tomlx
	// -> panel ops: no bench at DIR/more/ops/more/ops/bin/lbreal
	// -> no folder with benches at DIR/nowhere
	// -> DIR/record.toml:2: toml: cannot decode TOML string into struct field main.recordedFigure.Figure of type float64
	// -> DIR/record.toml: unknown key
	// 1| [held.ops-quick]
	// 2| figur = 0.9
	//  | ~~~~~ unknown field
	// -> DIR/record.toml: held.ops-quick: not a figure from -1 to 1
}

// Arguments of each bench, in the order in which the benches run.
func Example_benchArguments() {
	benches := newFakeBenches()
	defer os.RemoveAll(benches.folder)
	for _, name := range []string{"service", "ops", "later", "mass"} {
		benches.setOutput(name, passingOutput)
	}
	benches.setOutput("sim", fmt.Sprintf(simulatorOutput, "0.7", ": all kept"))
	benches.run(func(c *cli) { c.SimSiteFiles = []string{c.SiteFile}; c.Quick = false })
	calls, _ := os.ReadFile(filepath.Join(benches.folder, "calls"))
	fmt.Print(strings.ReplaceAll(string(calls), benches.folder, "DIR"))
	// Output:
	// | service | 0.961 | none | - | first | upgrade 0.96 |
	// | ops | 0.961 | none | - | first | upgrade 0.96 |
	// | later | 0.961 | none | - | first | upgrade 0.96 |
	// | mass | 0.961 | none | - | first | upgrade 0.96 |
	// | sim-one | 0.781 | none | - | first |  |
	// | sim-two | 0.700 | none | - | first |  |
	// score DIR/site.toml --why A test
	// score DIR/site.toml --why A test
	// score DIR/site.toml --panel later --why A test
	// score DIR/site.toml --why A test
	// score DIR/site.toml --why A test
}

// Command lines: required flags, flags in combination and unknown flags.
func Example_commandLine() {
	for _, line := range []string{
		"--bench K --site S --why W",
		"--bench K --site S --why W --quick --record --sim-site A --sim-site B sim ops",
		"--bench K --site S --why W --lower because --record-file other.toml",
		"--bench K --why W",
		"--bench K --site S --why W --fast",
	} {
		var c cli
		_, err := c.parser().Parse(strings.Fields(line))
		fmt.Println(c.Quick, c.UpdateRecord, c.LowerReason, c.RecordFile, c.SimSiteFiles, c.Panels, err)
	}
	// Output:
	// false false  docs/record.toml [] [] <nil>
	// true true  docs/record.toml [A B] [sim ops] <nil>
	// false false because other.toml [] [] <nil>
	// false false  docs/record.toml [] [] missing flags: --site=STRING
	// false false   [] [] unknown flag --fast
}

// A seeded panel runs once for each seed. Its gate and rules count whatever the record says, and its figure is not recorded.
func Example_seededPanel() {
	benches := newFakeBenches()
	defer os.RemoveAll(benches.folder)
	seeds := func(c *cli) { c.Seeds, c.UpdateRecord = []int64{4101, 4102}, true }
	benches.setOutput("brink", fmt.Sprintf(gateOutput, "passed"))
	benches.run(seeds, "brink")
	benches.setOutput("brink", fmt.Sprintf(gateOutput, "failed, join+brink: drain"))
	benches.run(seeds, "brink")
	benches.setOutput("brink", passingOutput)
	benches.run(func(c *cli) { c.Seeds = []int64{7} }, "brink")
	benches.run(nil, "brink")
	calls, _ := os.ReadFile(filepath.Join(benches.folder, "calls"))
	fmt.Print(strings.ReplaceAll(string(calls[:bytes.IndexByte(calls, '\n')+1]), benches.folder, "DIR"))
	text, _ := os.ReadFile(filepath.Join(benches.folder, "record.toml"))
	fmt.Println("recorded:", strings.Contains(string(text), "brink"))
	// Output:
	// | brink-4101 | 0.875 | none | passed | kept | calm+mass 0.95 |
	// | brink-4102 | 0.875 | none | passed | kept | calm+mass 0.95 |
	// | brink-4101 | 0.875 | none | failed | BROKEN: GATE failed, join+brink: drain | calm+mass 0.95 |
	// | brink-4102 | 0.875 | none | failed | BROKEN: GATE failed, join+brink: drain | calm+mass 0.95 |
	// -> regression
	// | brink-7 | 0.961 | none | - | BROKEN: the bench reported no gate | upgrade 0.96 |
	// -> regression
	// -> panel brink: no --seed
	// score DIR/site.toml --panel brink --seed 4101 --why A test
	// recorded: false
}
