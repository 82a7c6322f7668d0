package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name; each file adds its own. A case returns how often the rule was broken.
var cases = map[string]func(r *rig) int{}

func main() {
	name := flag.String("case", "", "the case")
	root := flag.String("root", ".", "root of the project")
	recordPath := flag.String("record", "record.txt", "the record that is written")
	flag.Parse()
	os.Exit(play(*name, *root, *recordPath))
}

// play plays a case and returns the exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func play(name, root, recordPath string) (status int) {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	var r *rig
	defer func() {
		failure := recover()
		if r != nil {
			r.close()
		}
		if reason, ok := failure.(errCannotRun); ok {
			fmt.Fprintln(os.Stderr, "cannot run:", reason.reason)
			status = 2
		} else if failure != nil {
			panic(failure)
		}
	}()
	r = newRig(root, recordPath)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() { // the case takes too long, or is stopped: no process stays behind
		select {
		case <-stopped:
		case <-time.After(110 * time.Second):
		}
		r.close()
		os.Exit(2)
	}()
	broken := play(r)
	r.mu.Lock()
	processes := r.processes
	r.mu.Unlock()
	for _, g := range processes {
		if g.crashed() {
			cannotRun("%s ended unasked", g.name)
		}
	}
	r.add("judge: the rule was broken %d times", broken)
	fmt.Printf("%s: the rule was broken %d times\n", name, broken)
	if broken > 0 {
		return 1
	}
	return 0
}
