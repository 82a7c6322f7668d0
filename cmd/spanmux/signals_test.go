package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// endTimeout is when a platform may kill a process after SIGTERM: the hard limit of processCommand's settings and 0.7 s.
const endTimeout = 2700 * time.Millisecond

// runningProcess is a started process and how it ends.
type runningProcess struct {
	*exec.Cmd
	ended chan error // gets the result of Wait
}

// startCommand starts a process.
func startCommand(t *testing.T, p *exec.Cmd) *runningProcess {
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	running := &runningProcess{p, make(chan error, 1)}
	go func() { running.ended <- p.Wait() }()
	t.Cleanup(func() { p.Process.Kill() })
	return running
}

// becomesReady reports whether the process answers at addr that it is ready. It does not if it ends before.
func (p *runningProcess) becomesReady(addr string) bool {
	eventually(func() bool { return len(p.ended) > 0 || answersReady(addr) })
	return len(p.ended) == 0 && answersReady(addr)
}

// checkEndsAfterTerm sends SIGTERM, and fails the test unless the process ends in order and in time.
func (p *runningProcess) checkEndsAfterTerm(t *testing.T) {
	t.Helper()
	p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		if err != nil {
			t.Error("process ended:", err)
		}
	case <-time.After(endTimeout):
		t.Error("process not ended in time after SIGTERM")
	}
}

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
	command := processCommand(t.TempDir(), 1, 200, 1, map[string]any{"listen": addr, "discovery": "127.0.0.1:9",
		"known": json.RawMessage(hostListText(10))})
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	command.Stdout, command.Stderr = writer, writer
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
