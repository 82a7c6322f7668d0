package transport

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"
)

// Succession is where a process takes connections over from the one that it replaces.
type Succession struct{ ln *net.UnixListener }

// Succeed listens at a path; what a process before left there gives way.
func Succeed(path string) (*Succession, error) {
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(own)
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: own, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the path may be its successor's
	if err := os.Rename(own, path); err != nil {
		ln.Close()
		os.Remove(own)
		return nil, err
	}
	return &Succession{ln}, nil
}

func (s *Succession) Close() { s.ln.Close() }

// Serve takes what is handed over, until Close; note says what it is.
func (s *Succession) Serve(take func(note []byte, client, host net.Conn)) {
	for {
		from, err := s.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("accept of what is handed over", "error", err)
			time.Sleep(acceptAgain)
			continue
		}
		note, conns, err := taken(from)
		from.Close()
		if err != nil || len(conns) != 2 {
			slog.Warn("handed over, and not understood", "connections", len(conns), "error", err)
			for _, nc := range conns {
				nc.Close()
			}
			continue
		}
		go take(note, conns[0], conns[1]) // it may wait for room
	}
}

func taken(from *net.UnixConn) (note []byte, conns []net.Conn, err error) {
	from.SetDeadline(time.Now().Add(handWithin))
	note, rights := make([]byte, noteMost), make([]byte, syscall.CmsgSpace(4*4))
	n, k, _, _, err := from.ReadMsgUnix(note, rights)
	if err != nil {
		return nil, nil, err
	}
	messages, err := syscall.ParseSocketControlMessage(rights[:k])
	for _, m := range messages {
		fds, _ := syscall.ParseUnixRights(&m)
		for _, fd := range fds {
			file := os.NewFile(uintptr(fd), "handed over")
			nc, wrong := net.FileConn(file)
			file.Close()
			if wrong != nil {
				err = wrong
				continue
			}
			conns = append(conns, nc)
		}
	}
	if err == nil {
		_, err = from.Write([]byte{1})
	}
	return note[:n], conns, err
}

// Hand passes a client's and a host's connection on to the process that listens at the path; it is false where nobody else does. Once the
// message is sent the connections are the other's, whether or not that says so in time: two may not write to one client.
func Hand(path string, note []byte, c *Client, host net.Conn) bool {
	if len(note) > noteMost {
		return false
	}
	to, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return false
	}
	defer to.Close()
	if peer(to) == os.Getpid() { // nobody has come to replace this process
		return false
	}
	to.SetDeadline(time.Now().Add(handWithin))
	fds := make([]int, 2)
	for i, nc := range []net.Conn{c.nc, host} {
		raw, err := nc.(*net.TCPConn).SyscallConn()
		if err != nil || raw.Control(func(fd uintptr) { fds[i] = int(fd) }) != nil {
			return false
		}
	}
	if _, _, err = to.WriteMsgUnix(note, syscall.UnixRights(fds...), nil); err != nil {
		return false
	}
	to.Read(make([]byte, 1))
	return true
}

func peer(nc *net.UnixConn) (pid int) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if cred, err := syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED); err == nil {
			pid = int(cred.Pid)
		}
	})
	return pid
}

// Host is the connection of an exchange whose answer goes on.
func (x *Exchange) Host() net.Conn { return x.nc }

// Adopt takes in a client's connection that another process had; handle begins within an answer on it.
func (f *Front) Adopt(nc net.Conn, handle func(*Client)) {
	c := f.client(nc)
	f.mu.Lock()
	c.doing = owed
	c.spoke = true
	f.mu.Unlock()
	go func() {
		defer c.leave()
		handle(c)
	}()
}
