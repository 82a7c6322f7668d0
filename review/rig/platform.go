package main

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// platform is a stand-in for the platform where it holds the clients' listening socket of one gateway, which each of the
// gateway's processes inherits as descriptor 7 (DAYS.md, "Replacing the process").
type platform struct {
	addr string

	bench    *bench
	run      string
	listener *os.File
	null     *os.File
	config   map[string]any
	tmp      string
}

// newPlatform opens the listening socket. The processes share it, their settings and $TMPDIR.
func (b *bench) newPlatform(settings map[string]any, zone string, d *discovery) *platform {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	p := &platform{addr: ln.Addr().String(), bench: b, run: b.runCommand(), tmp: filepath.Join(b.dir, "tmp")}
	if p.listener, err = ln.(*net.TCPListener).File(); err != nil {
		fail("%v", err)
	}
	if p.null, err = os.Open(os.DevNull); err != nil {
		fail("%v", err)
	}
	if err := os.Mkdir(p.tmp, 0o700); err != nil {
		fail("%v", err)
	}
	settings["balancers"], settings["me"], settings["myZone"] = 1, 0, zone
	p.config = map[string]any{"name": "n0", "listen": p.addr, "discovery": d.addr, "seed": "5be2a07c8c1f30d2",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings}
	return p
}

// start starts a process with an address of its own for its admin server, and waits until it says that it is ready.
func (p *platform) start(name string) *exec.Cmd {
	control := freeAddr("tcp")
	p.config["control"] = control
	text, err := json.Marshal(p.config)
	if err != nil {
		fail("%v", err)
	}
	path := filepath.Join(p.bench.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		fail("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", p.run)
	cmd.Dir = p.bench.root
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_ACCEPT_FD=7", "TMPDIR="+p.tmp)
	cmd.ExtraFiles = []*os.File{p.null, p.null, p.null, p.null, p.listener} // descriptors 3 to 7
	out, err := cmd.StderrPipe()
	if err != nil {
		fail("%v", err)
	}
	p.bench.note("the platform starts the %s process", name)
	p.bench.start(cmd)
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			p.bench.note("%s process logs: %s", name, lines.Text())
		}
	}()
	for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + control + "/-/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == 200 {
			p.bench.note("the %s process says that it is ready", name)
			return cmd
		}
	}
	fail("%s process not ready within 6 s", name)
	return nil
}

// end sends SIGTERM to a process, and SIGKILL after a while.
func (p *platform) end(cmd *exec.Cmd, killAfter time.Duration) {
	p.bench.note("SIGTERM to the old process")
	cmd.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case <-ended:
		p.bench.note("the old process has ended: %v", cmd.ProcessState)
	case <-time.After(killAfter):
		p.bench.note("SIGKILL to the old process")
		cmd.Process.Kill()
		<-ended
	}
}
