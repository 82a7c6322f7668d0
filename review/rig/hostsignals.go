package main

import (
	"os"
	"os/signal"
	"syscall"
)

// takeSignals switches the spell of errors on and off.
func (h *host) takeSignals() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	for s := range signals {
		h.mu.Lock()
		h.errs = s == syscall.SIGUSR1
		h.mu.Unlock()
	}
}
