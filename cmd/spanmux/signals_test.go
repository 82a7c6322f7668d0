package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// SIGTERM must end a process that is busy with a series of reloads. It was lost where four other signals were waiting to be handled, and the
// process was killed with its transactions open. A reload takes long where the file holds a long host list.
func TestTermDuringReloads(t *testing.T) {
	addr := freeAddress()
	p := startCommand(t, processCommand(t.TempDir(), 1, 200, 1, map[string]any{"listen": addr, "discovery": "127.0.0.1:9",
		"known": json.RawMessage(hostListText(10_000))}))
	if !p.becomesReady(addr) {
		t.Fatal("not ready")
	}
	for range 12 {
		p.Process.Signal(syscall.SIGHUP)
		p.Process.Signal(syscall.SIGUSR1)
		time.Sleep(5 * time.Millisecond)
	}
	p.checkEndsAfterTerm(t)
}

// A process must go on where nothing reads its log any more. The runtime ends a program that writes to standard output or standard error
// once that is a broken pipe, unless SIGPIPE is ignored.
func TestLogReaderGone(t *testing.T) {
	addr := freeAddress()
	command, reader, writer := commandWithPipe(t, addr)
	p := startCommand(t, command)
	writer.Close()
	reader.Close()
	if !p.becomesReady(addr) {
		t.Fatal("not ready")
	}
	for range 3 {
		p.Process.Signal(syscall.SIGHUP) // logged
		p.Process.Signal(syscall.SIGUSR1)
		time.Sleep(50 * time.Millisecond)
	}
	if !answersReady(addr) {
		t.Error("not ready after its log was closed")
	}
	p.checkEndsAfterTerm(t)
}

// A SIGHUP that comes before the program handles signals must not end it: the platform may have a new configuration for a process that has just
// been started. The file is read after that, so nothing is missed. The test starts the program by the deploy file's command, and sends the
// signal as soon as the shell has become the program.
func TestReloadSignalDuringStartup(t *testing.T) {
	const starts = 20
	deployFile, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, command, _ := strings.Cut(string(deployFile), "\nrun = \"")
	command, _, _ = strings.Cut(command, "\"\n")
	if !strings.HasSuffix(command, "exec bin/spanmux") {
		t.Fatalf("command of the deploy file: %q", command)
	}
	command = strings.TrimSuffix(command, "bin/spanmux") + os.Args[0]
	for start := range starts {
		t.Run(fmt.Sprint(start), func(t *testing.T) {
			t.Parallel()
			checkReloadSignalDuringStartup(t, command)
		})
	}
}

// checkReloadSignalDuringStartup starts the program by a shell command and sends SIGHUP in its first moment.
func checkReloadSignalDuringStartup(t *testing.T, command string) {
	addr := freeAddress()
	shell := processCommand(t.TempDir(), 1, 200, 1, map[string]any{"listen": addr, "discovery": "127.0.0.1:9",
		"known": json.RawMessage(hostListText(10))})
	shell.Path, shell.Args = "/bin/sh", []string{"sh", "-c", command}
	p := startCommand(t, shell)
	isShell := func() bool {
		name, err := os.ReadFile(fmt.Sprintf("/proc/%d/comm", p.Process.Pid))
		return err == nil && string(name) == "sh\n"
	}
	for isShell() {
	}
	p.Process.Signal(syscall.SIGHUP)
	if !p.becomesReady(addr) {
		t.Error("not ready")
	}
	p.checkEndsAfterTerm(t)
}
