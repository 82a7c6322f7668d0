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

// bench is a kit of stand-ins: each prints what it is told to, whatever it is called with.
type bench struct{ dir string }

func newBench() *bench {
	dir, err := os.MkdirTemp("", "regress")
	if err != nil {
		panic(err)
	}
	b := &bench{dir}
	b.file("site.toml", "name = \"site\"\n")
	for _, p := range panels {
		b.prints(p.name, "")
	}
	return b
}

func (b *bench) file(name, text string) string {
	path := filepath.Join(b.dir, name)
	os.MkdirAll(filepath.Dir(path), 0o755)
	if err := os.WriteFile(path, []byte(text), 0o755); err != nil {
		panic(err)
	}
	return path
}

// prints has the bench of a panel print a text, and run what comes after it.
func (b *bench) prints(name, text string, then ...string) {
	for _, p := range panels {
		if p.name == name {
			b.file(p.bin, "#!/bin/sh\necho \"$@\" >>"+filepath.Join(b.dir, "calls")+"\ncat <<'END'\n"+text+"\nEND\n"+strings.Join(then, "\n"))
		}
	}
}

// run plays panels and prints what a person sees, and how it ends.
func (b *bench) run(change func(c *cli), panels ...string) {
	c := cli{Bench: b.dir, Site: filepath.Join(b.dir, "site.toml"), Record: filepath.Join(b.dir, "record.toml"), Why: "A test", Quick: true,
		Panels: panels, patience: 10 * time.Second}
	if change != nil {
		change(&c)
	}
	var out strings.Builder
	err := c.run(context.Background(), &out)
	for line := range strings.Lines(out.String()) {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| panel") && !strings.HasPrefix(line, "| ---") ||
			line != "" && !strings.HasPrefix(line, "|") && !strings.HasPrefix(line, "playing") {
			fmt.Println(line)
		}
	}
	if err != nil {
		fmt.Println("->", strings.ReplaceAll(err.Error(), b.dir, "DIR"))
	}
}

const (
	good = `built in 1.5 s; policy 648 lines in 1 file
upgrade                    G 0.830  floor 0.489  top 0.845  memory 20 of 64 MB  descriptors 188 of 384  score 0.96
score of the real nodes 0.961 (the weighted mean of the days)
snapshot 1bd662d7`
	fallen = `upgrade                    G 0.700  floor 0.489  top 0.845  score 0.60
score of the real nodes 0.930 (the weighted mean of the days)`
	rule = `RULE BROKEN (the day counts as zero): lost, 7 times, first at 8.158 s
upgrade                    G 0.700  floor 0.489  top 0.845  score 0.00  BROKEN: lost
score of the real nodes 0.970 (the weighted mean of the days)`
	gated = `calm+mass                  G 0.879  floor 0.454  top 0.904  served 0.935 (gate 0.530)  memory 18 of 72 MB  score 0.95
score of the real nodes 0.875 (seven tenths the weighted mean of the days, three tenths the worst third)
GATE %s`
	sims = `[1f2e] quick estimate on the standard days of one (set 42091066): 0.781, -0.000 against snapshot 5c1c1962; rough-1 0.87 (-0.00)
day        size      G  score
rules: all kept
quick estimate on the standard days of two (set 1): %s, +0.000 against snapshot 5c1c1962
rules %s`
)

// A record is made by its first run, moves up with --record, and down only with a reason, which it keeps.
func Example_record() {
	b := newBench()
	defer os.RemoveAll(b.dir)
	record := func(c *cli) { c.Raise = true }
	b.prints("service", good)
	b.run(nil, "service")
	b.run(record, "service")
	b.prints("service", strings.Replace(good, "0.961", "0.968", 1))
	b.run(nil, "service")
	b.run(record, "service")
	b.prints("service", strings.Replace(good, "0.961", "0.938", 1))
	b.run(record, "service") // by 0.03: noise, and the record stays
	b.prints("service", fallen)
	b.run(record, "service")
	b.run(func(c *cli) { c.Lower = "the bench asks for more since today" }, "service")
	b.run(nil, "service")
	text, _ := os.ReadFile(filepath.Join(b.dir, "record.toml"))
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

// A broken rule or gate fails the run whatever the figure, and is never recorded, reason or not.
func Example_broken() {
	b := newBench()
	defer os.RemoveAll(b.dir)
	b.prints("ops", rule)
	b.prints("mass", fmt.Sprintf(gated, "failed: lost on herd+mass"))
	b.run(func(c *cli) { c.Raise, c.Lower = true, "why not" }, "ops", "mass")
	b.prints("mass", fmt.Sprintf(gated, "passed"))
	b.prints("ops", good, "exit 3")
	b.run(nil, "ops", "mass")
	b.prints("sim", fmt.Sprintf(sims, "0.700", "BROKEN: failback on big-2"))
	b.run(func(c *cli) { c.SimSite = []string{c.Site, c.Site} }, "sim")
	b.prints("more", fmt.Sprintf(sims, "0.700", "kept"))
	b.run(func(c *cli) { c.MoreSite = []string{c.Site, c.Site} }, "more")
	b.run(nil, "more")
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

// What is missing, or says nothing, ends the run with a plain word; it is never taken for a pass.
func Example_missing() {
	b := newBench()
	defer os.RemoveAll(b.dir)
	b.run(nil, "service")
	b.prints("service", "score of the real nodes nothing")
	b.run(nil, "service")
	b.prints("service", strings.Repeat("score of the real nodes 0.9\n", 2))
	b.run(nil, "service")
	b.prints("service", good, "exec sleep 60")
	b.run(func(c *cli) { c.patience = 300 * time.Millisecond }, "service")
	b.run(nil, "nothing")
	b.run(nil, "sim")
	b.run(func(c *cli) { c.Site += "x" }, "ops")
	b.run(func(c *cli) { c.Bench += "/more/ops" }, "ops")
	b.run(func(c *cli) { c.Bench += "/nowhere" }, "ops")
	b.prints("ops", good)
	b.file("record.toml", "[held.ops-quick]\nfigure = \"high\"\n")
	b.run(nil, "ops")
	b.file("record.toml", "[held.ops-quick]\nfigur = 0.9\n")
	b.run(nil, "ops")
	b.file("record.toml", "[held.ops-quick]\nfigure = 96.1\n")
	b.run(nil, "ops")
	// Output:
	// -> service-quick: no figure in what the bench printed (the bench ended with: <nil>)
	//
	// -> service-quick: no figure in what the bench printed (the bench ended with: <nil>)
	// score of the real nodes nothing
	// -> service-quick: more than one figure for a site (the bench ended with: <nil>)
	// score of the real nodes 0.9
	// score of the real nodes 0.9
	// -> service-quick: not played to its end: context deadline exceeded
	// -> no panel "nothing"; there are [service ops later mass brink sim more]
	// -> panel sim: no --sim-site
	// -> no site file at DIR/site.tomlx
	// -> panel ops: no bench at DIR/more/ops/more/ops/bin/lbreal
	// -> no folder with benches at DIR/nowhere
	// -> DIR/record.toml:2: toml: cannot decode TOML string into struct field main.held.Figure of type float64
	// -> DIR/record.toml: a key that is unknown
	// 1| [held.ops-quick]
	// 2| figur = 0.9
	//  | ~~~~~ unknown field
	// -> DIR/record.toml: held.ops-quick: no figure from -1 to 1
}

// How each bench is called: by name, with its site, in the order asked for.
func Example_calls() {
	b := newBench()
	defer os.RemoveAll(b.dir)
	for _, name := range []string{"service", "ops", "later", "mass"} {
		b.prints(name, good)
	}
	b.prints("sim", fmt.Sprintf(sims, "0.7", ": all kept"))
	b.run(func(c *cli) { c.SimSite = []string{c.Site}; c.Quick = false })
	calls, _ := os.ReadFile(filepath.Join(b.dir, "calls"))
	fmt.Print(strings.ReplaceAll(string(calls), b.dir, "DIR"))
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

// The command line, as it is read: what has to be there, what goes together, and what is unknown.
func Example_line() {
	for _, line := range []string{
		"--bench K --site S --why W",
		"--bench K --site S --why W --quick --record --sim-site A --sim-site B sim ops",
		"--bench K --site S --why W --lower because --record-file other.toml",
		"--bench K --why W",
		"--bench K --site S --why W --fast",
	} {
		var c cli
		_, err := c.parser().Parse(strings.Fields(line))
		fmt.Println(c.Quick, c.Raise, c.Lower, c.Record, c.SimSite, c.Panels, err)
	}
	// Output:
	// false false  docs/record.toml [] [] <nil>
	// true true  docs/record.toml [A B] [sim ops] <nil>
	// false false because other.toml [] [] <nil>
	// false false  docs/record.toml [] [] missing flags: --site=STRING
	// false false   [] [] unknown flag --fast
}

// Days at close range are played seed by seed; gate and rules count, whatever the record has, and no figure is recorded.
func Example_brink() {
	b := newBench()
	defer os.RemoveAll(b.dir)
	seeds := func(c *cli) { c.Seed, c.Raise = []int64{4101, 4102}, true }
	b.prints("brink", fmt.Sprintf(gated, "passed"))
	b.run(seeds, "brink")
	b.prints("brink", fmt.Sprintf(gated, "failed, join+brink: drain"))
	b.run(seeds, "brink")
	b.prints("brink", good)
	b.run(func(c *cli) { c.Seed = []int64{7} }, "brink")
	b.run(nil, "brink")
	calls, _ := os.ReadFile(filepath.Join(b.dir, "calls"))
	fmt.Print(strings.ReplaceAll(string(calls[:bytes.IndexByte(calls, '\n')+1]), b.dir, "DIR"))
	text, _ := os.ReadFile(filepath.Join(b.dir, "record.toml"))
	fmt.Println("recorded:", strings.Contains(string(text), "brink"))
	// Output:
	// | brink-4101 | 0.875 | none | passed | kept | calm+mass 0.95 |
	// | brink-4102 | 0.875 | none | passed | kept | calm+mass 0.95 |
	// | brink-4101 | 0.875 | none | failed | BROKEN: GATE failed, join+brink: drain | calm+mass 0.95 |
	// | brink-4102 | 0.875 | none | failed | BROKEN: GATE failed, join+brink: drain | calm+mass 0.95 |
	// -> regression
	// | brink-7 | 0.961 | none | - | BROKEN: no word of the gate | upgrade 0.96 |
	// -> regression
	// -> panel brink: no --seed
	// score DIR/site.toml --panel brink --seed 4101 --why A test
	// recorded: false
}
