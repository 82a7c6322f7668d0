package main

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"spanmux/internal/config"
	"spanmux/internal/routing"
)

const examplePage = `Run: slopes-1.json

| target | value |
| --- | --- |
| hosts | 170,000 |
| core | 17 ms a second |

| series | by | exponent | at the largest |
| --- | --- | --- | --- |
| ` + "`twice/s`" + ` | hosts | 1.00 | 200 µs at 100 |

| line | figure | run | budget | verdict |
| --- | --- | --- | --- | --- |
| a list | 340 ms a second | ` + "`twice/s@hosts`" + ` | core | missed 20 times |
| two and a half changes, and a hundred hosts | 5.2 ms | 2.5 * twice/s@1,000 + 100 * twice/s~ | core | met |
| unknown | - | - | core | not measured |
| no budget | 17 MB | twice/heap@170000 | - | - |

| other | table |
| --- | --- |
| not | looked at |
`

// A page is accepted if it agrees with the results and the target. Each figure, verdict or name that differs is reported with its line.
func Example_checkPage() {
	r := &results{}
	for _, unit := range []string{"s", "heap"} {
		s := &series{Key: "twice/" + unit}
		for _, size := range []int{1, 10, 100} {
			s.Points = append(s.Points, point{size, map[string]float64{"s": 2e-6, "heap": 100}[unit] * float64(size), 3})
		}
		s.Fit, _ = fitPowerLaw(s.Points)
		r.Series = append(r.Series, s)
	}
	fmt.Println(r.checkPage(examplePage, "slopes-1.json"))
	for _, change := range [][2]string{{"slopes-1", "slopes-0"}, {"170,000 |", "17,000 |"}, {"17 ms", "18 ms"}, {"| core | 17", "| cores | 17"},
		{"| 1.00 |", "| 1.10 |"}, {"200 µs", "20 µs"}, {"at 100 |", "at 10 |"}, {"twice/s`", "thrice/s`"}, {"340 ms", "34 ms"}, {"340 ms", "340 s"}, {"340 ms a", "much a"},
		{"missed 20 times", "met"}, {"missed 20 times", "missed 2 times"}, {"missed 20 times", "not measured"}, {"| core | met", "| core | missed 2 times"},
		{"| core | met", "| size | met"}, {"not measured", "met"}, {"@1,000", "@many"}, {"s~", "s"}, {"| - | - |\n\n", "| - |\n\n"}, {examplePage, "nothing"}} {
		_, wrong := r.checkPage(strings.Replace(examplePage, change[0], change[1], 1), "slopes-1.json")
		if len(change[0]) > 100 {
			change[0] = "all"
		}
		fmt.Printf("%q to %q: %s\n", change[0], change[1], strings.Join(wrong, ";"))
	}
	// Output:
	// 7 []
	// "slopes-1" to "slopes-0": 1: slopes-0.json is named, but the latest results are slopes-1.json
	// "170,000 |" to "17,000 |": 5: hosts is 17,000 here, 170000 in the target
	// "17 ms" to "18 ms": 6: core is 18 ms a second here, 0.017 in the target
	// "| core | 17" to "| cores | 17": 6: "cores" is not in the target
	// "| 1.00 |" to "| 1.10 |": 10: exponent of twice/s is 1.10 here, 1.00 in the results
	// "200 µs" to "20 µs": 10: twice/s is 20 µs at 100 here, 0.0002 at 100 in the results
	// "at 100 |" to "at 10 |": 10: twice/s is 200 µs at 10 here, 0.0002 at 100 in the results
	// "twice/s`" to "thrice/s`": 10: "thrice/s" is not among the results
	// "340 ms" to "34 ms": 14: 34 ms a second here, but 0.34 by twice/s@hosts
	// "340 ms" to "340 s": 14: 340 s a second here, but 0.34 by twice/s@hosts
	// "340 ms a" to "much a": 14: "much a second" is not a number
	// "missed 20 times" to "met": 14: verdict "met", but 0.34 exceeds the budget core of 0.017
	// "missed 20 times" to "missed 2 times": 14: verdict "missed 2 times", but the figure is 20 times the budget core
	// "missed 20 times" to "not measured": 14: verdict "not measured", but 0.34 exceeds the budget core of 0.017
	// "| core | met" to "| core | missed 2 times": 15: verdict "missed 2 times", but 0.0052 is within the budget core of 0.017
	// "| core | met" to "| size | met": 15: budget "size" is not in the target
	// "not measured" to "met": 16: without a run the verdict has to be: not measured, but it is "met"
	// "@1,000" to "@many": 15: "many" is not a size
	// "s~" to "s": 15: "twice/s" has neither a size nor ~
	// "| - | - |\n\n" to "| - |\n\n": 17: 4 cells in a table with 5 columns
	// "all" to "nothing":  no results file slopes-*.json is named; no figures found
}

// The pages of this repository agree with the latest saved results and the target. Nothing is measured.
func TestPagesMatchResults(t *testing.T) {
	var out strings.Builder
	if err := (&checkCommand{Pages: []string{"../../docs/CAPACITY.md", "../../docs/fleet-state.md"}, Results: "../../lab/results"}).Run(&out); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
}

// Two limits of the gateway that docs/CAPACITY.md names: it rejects a host list over 4 MB, so that a gateway without an earlier list never gets
// ready, and settings with more than 128 profiles can't be reloaded. If one of the limits goes, the page has to change.
func TestDocumentedLimits(t *testing.T) {
	for n, want := range map[int]bool{128: true, 129: false} {
		instance, err := config.Parse(settingsJSON(targetFleet["gateways"], n, 0), 0)
		if err == nil {
			_, err = instance.ParseUpdate(settingsJSON(targetFleet["gateways"], n, 0), 0)
		}
		if (err == nil) != want {
			t.Errorf("%d profiles: %v", n, err)
		}
	}
	defaultLogger := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer slog.SetDefault(defaultLogger)
	for n, want := range map[int]bool{27_000: true, 30_000: false} {
		text, secondRequest, first := hostListJSON(n, true), make(chan struct{}, 99), true
		discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if first { // requests come one at a time
				first = false
				w.Write(text)
				return
			}
			secondRequest <- struct{}{}
			<-r.Context().Done()
		}))
		dispatcher, err := routing.NewDispatcher(settingsJSON(targetFleet["gateways"], defaultProfileCount, 0))
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		dispatcher.ConfigureListener(listener, false, 400, 0, 64<<20)
		dispatcher.Start(7, discovery.Listener.Addr().String(), nil)
		go dispatcher.Serve()
		select {
		case <-secondRequest:
		case <-time.After(30 * time.Second):
			t.Fatalf("%d hosts: no second request for the host list", n)
		}
		if dispatcher.Ready() != want {
			t.Errorf("%d hosts, %d bytes: ready %t", n, len(text), dispatcher.Ready())
		}
		listener.Close() // the gateway and its discovery server run until the process ends, as the gateway's request waits there
	}
}
