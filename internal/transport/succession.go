package transport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"
)

// HandoverListener is where a process takes connections over from the one that it replaces.
type HandoverListener struct{ ln *net.UnixListener }

// ListenHandover listens at a path; what a process before left there gives way.
func ListenHandover(path string) (*HandoverListener, error) {
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(own)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the path may be its successor's
	if err := os.Rename(own, path); err != nil {
		ln.Close()
		os.Remove(own)
		return nil, err
	}
	return &HandoverListener{ln}, nil
}

func (s *HandoverListener) Close() { s.ln.Close() }

// Serve takes what is handed over, until Close: a note that says what it is, and bytes that go with it. Each may wait for room. What is
// given back is the answer to a process that asks.
func (s *HandoverListener) Serve(take func(note, bytes []byte, conns []net.Conn) []byte) {
	for {
		from, err := s.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("accept of what is handed over", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		go func() {
			defer from.Close()
			note, bytes, conns, err := taken(from)
			if err != nil {
				slog.Warn("handed over, and not understood", "connections", len(conns), "error", err)
				for _, nc := range conns {
					nc.Close()
				}
				return
			}
			if answer := take(note, bytes, conns); answer != nil {
				from.SetDeadline(time.Now().Add(handoverWriteTimeout))
				parts := net.Buffers{lengths(answer), answer}
				parts.WriteTo(from) // without it the other goes on as if it had not asked
			}
		}()
	}
}

// taken reads what is handed over: two lengths, with the connections, and so many bytes. All of it is this process's once it has come
// whole, also where the one before does not wait to be told so: it has let go of them then.
func taken(from *net.UnixConn) (note, bytes []byte, conns []net.Conn, err error) {
	from.SetDeadline(time.Now().Add(handoverReadTimeout))
	head, rights := make([]byte, 8), make([]byte, syscall.CmsgSpace(4*4))
	n, k, _, _, err := from.ReadMsgUnix(head, rights)
	if err != nil {
		return nil, nil, nil, err
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
		_, err = io.ReadFull(from, head[n:])
	}
	for i, part := range []*[]byte{&note, &bytes} {
		long := binary.BigEndian.Uint32(head[4*i:])
		if err == nil && long > maxHandoverBytes {
			err = fmt.Errorf("%d bytes are handed over", long)
		}
		if err == nil {
			*part = make([]byte, long)
			_, err = io.ReadFull(from, *part)
		}
	}
	if err == nil {
		from.Write([]byte{1})
	}
	return note, bytes, conns, err
}

// lengths is what goes before parts: how long each is.
func lengths(parts ...[]byte) (head []byte) {
	for _, part := range parts {
		head = binary.BigEndian.AppendUint32(head, uint32(len(part)))
	}
	return head
}

// QueryProcess asks the process that listens at the path, and gives back what it says; nil where there is none, or it has nothing to say.
func QueryProcess(path string, note []byte) []byte {
	to, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil
	}
	defer to.Close()
	to.SetDeadline(time.Now().Add(learntStateTimeout))
	if _, err := to.Write(append(lengths(note, nil), note...)); err != nil {
		return nil
	}
	head := make([]byte, 5) // the word that all has come, and the length
	if _, err := io.ReadFull(to, head); err != nil {
		return nil
	}
	long := binary.BigEndian.Uint32(head[1:])
	if long > maxHandoverBytes {
		return nil
	}
	answer := make([]byte, long)
	if _, err := io.ReadFull(to, answer); err != nil {
		return nil
	}
	return answer
}

// HandOverClient passes a client's connection, and others that belong to it, on to the process that listens at the path; it is false where nobody
// else does, or has not all of it. Once all is sent the connections are the other's, whether or not that says so in time: two may not
// write to one client.
func HandOverClient(path string, note, bytes []byte, c *Client, more ...net.Conn) bool {
	if max(len(note), len(bytes)) > maxHandoverBytes {
		return false
	}
	to, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return false
	}
	defer to.Close()
	if peer(to) == os.Getpid() { // nobody has come to replace this process
		return false
	}
	to.SetDeadline(time.Now().Add(handoverWriteTimeout))
	head := lengths(note, bytes)
	err = holding(append([]net.Conn{c.conn}, more...), nil, func(fds []int) error {
		n, _, err := to.WriteMsgUnix(head, syscall.UnixRights(fds...), nil)
		if err == nil && n < len(head) {
			err = io.ErrShortWrite
		}
		return err
	})
	if err != nil {
		return false
	}
	all := net.Buffers{note, bytes}
	if _, err := all.WriteTo(to); err != nil {
		return false
	}
	to.Read(make([]byte, 1))
	return true
}

// holding calls do with the descriptors of connections, none of which can be closed meanwhile: one that gave way to another just then
// would leave its number to a stranger's.
func holding(conns []net.Conn, fds []int, do func(fds []int) error) error {
	if len(conns) == 0 {
		return do(fds)
	}
	raw, err := conns[0].(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var done error
	err = raw.Control(func(fd uintptr) { done = holding(conns[1:], append(fds, int(fd)), do) })
	return errors.Join(err, done)
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

// HostConn is the connection of an exchange whose answer goes on.
func (x *Exchange) HostConn() net.Conn { return x.c.conn }

// Adopt registers a client's connection that the previous process handed over within a response, and calls
// handle for it in a new goroutine. It blocks while there is no slot.
func (l *Listener) Adopt(conn net.Conn, handle func(*Client)) {
	c := l.admit(conn)
	l.mu.Lock()
	c.state = stateActive
	c.sentRequest = true
	l.mu.Unlock()
	c.serve(handle)
}

// AdoptPartial registers a client's connection of which the previous process has read part of a request, the
// bytes received, and calls handle for it in a new goroutine; AwaitRequest returns that request first. It
// blocks while there is no slot.
func (l *Listener) AdoptPartial(conn net.Conn, received []byte, handle func(*Client)) {
	c := l.admit(conn)
	c.inherited, c.retained = received, received[:0]
	c.serve(handle)
}
