// Command rig has the stand-ins of the review's cases: hosts, discovery and clients. It starts gateways with the
// commands of the deploy file and plays a case against them, on loopback addresses.
//
//	rig N FOLDER   plays case N and writes FOLDER/record.txt; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run
//	rig host       is one stand-in host, started by the former
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// longestCase is how long a case may run.
const longestCase = 110 * time.Second

// cases has the cases by number. Each returns what broke the rule, nothing if it held.
var cases = map[string]func(b *bench, trouble bool) (breaks []string){}

func main() {
	runtime.LockOSThread() // processes started from here end with it
	if len(os.Args) >= 2 && os.Args[1] == "host" {
		runHost(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig N FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status.
func play(name, folder string) (status int) {
	var b *bench
	defer func() {
		if r := recover(); r != nil {
			cause, expected := r.(fatal)
			if b != nil {
				b.note("the case could not run: %v", r)
				b.close()
			}
			if !expected {
				panic(r)
			}
			fmt.Println("could not run:", cause.text)
			status = 2
		}
	}()
	b = newBench(folder)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestCase):
		}
		b.note("the case was ended early")
		b.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	b.note("case %s, with the disruption: %t", name, trouble)
	breaks := cases[name](b, trouble)
	for _, text := range breaks {
		b.note("BROKEN: %s", text)
		fmt.Println("broken:", text)
	}
	b.note("%d breaks", len(breaks))
	b.close()
	fmt.Printf("case %s, with the disruption: %t, breaks: %d\n", name, trouble, len(breaks))
	if len(breaks) > 0 {
		return 1
	}
	return 0
}
