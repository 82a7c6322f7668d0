package main

import (
	"os"
	"os/signal"
	"syscall"
)

// processSignals receives the signals that the program reacts to. Each kind has a channel of its own, as a signal that finds its channel full
// is dropped: a series of one kind must not displace another. Each channel holds one signal, so that one more reaction follows the last signal
// of a series.
type processSignals struct {
	terminate     chan os.Signal // SIGTERM and SIGINT
	reload        chan os.Signal // SIGHUP
	printCounters chan os.Signal // SIGUSR1
}

// notifySignals starts to receive signals, until stop is called. SIGPIPE is ignored for good: it would end the program at the first log line
// after the reader of its log has gone.
func notifySignals() *processSignals {
	s := &processSignals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.printCounters, syscall.SIGUSR1)
	return s
}

// stop ends the delivery of signals; the channels are not closed.
func (s *processSignals) stop() {
	signal.Stop(s.terminate)
	signal.Stop(s.reload)
	signal.Stop(s.printCounters)
}
