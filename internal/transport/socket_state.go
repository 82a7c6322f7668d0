package transport

import (
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketState looks at what has come on a connection and takes nothing of it, neither bytes nor the error by which it broke. So it can be told for
// certain whether there was anything at a moment: what a reader has taken already, and not yet spoken of, no look would find.
type socketState struct{ raw syscall.RawConn }

func socketStateOf(nc net.Conn) socketState {
	raw, _ := nc.(*net.TCPConn).SyscallConn() // fails only for a connection that was never open
	return socketState{raw}
}

// ReadableCheck gives a look at whether something has come on a connection, be it the other side's end. After it the connection is read as it would
// have been without it: an answer that ends with its connection is whole where that was closed, and broken off where that was reset.
func ReadableCheck(nc net.Conn) func() bool { return socketStateOf(nc).readable }

// waitReadable waits until there is something to read; io.EOF if it is the other side's end, and the connection's error if it broke.
func (s socketState) waitReadable() error {
	var closeErr error
	err := s.raw.Read(func(fd uintptr) (there bool) {
		there, closeErr = peek(fd)
		return there
	})
	if err == nil {
		err = closeErr
	}
	return err
}

// readable tells whether there is something to read now, be it the other side's end.
func (s socketState) readable() (readable bool) {
	s.raw.Control(func(fd uintptr) { readable = pollEvents(fd, unix.POLLIN|unix.POLLRDHUP) != 0 })
	return readable
}

// peerClosed tells whether the other side has ended the connection, whatever has come on it before that and is not read yet.
func (s socketState) peerClosed() (closed bool) {
	s.raw.Control(func(fd uintptr) { closed = hungUp(fd) })
	return closed
}

// waitPeerClosed waits for the other side's end, behind whatever has come; the error is this side's: its time is up, or it has closed.
func (s socketState) waitPeerClosed() error { return s.raw.Read(hungUp) }

// hungUp asks for the state of the connection, which goes before what is unread. Half an end is one: a client that has closed says no more.
func hungUp(fd uintptr) bool { return pollEvents(fd, unix.POLLRDHUP) != 0 }

// pollEvents gives those of the wanted events that have come about, and hang-ups and errors, which poll reports unasked. It leaves the
// connection's pending error in place, which a receive takes with it even if it only peeks: the next one then finds a proper end.
func pollEvents(fd uintptr, wanted int16) int16 {
	for {
		fds := [...]unix.PollFd{{Fd: int32(fd), Events: wanted}}
		n, err := unix.Poll(fds[:], 0)
		switch {
		case err == unix.EINTR:
			continue
		case err != nil || n == 0:
			return 0
		}
		return fds[0].Revents
	}
}

// peek tells whether there is something to read, and how the connection ended where that is all there is. Its error is taken here, and
// given back, so it is for those that read nothing more then.
func peek(fd uintptr) (readable bool, closeErr error) {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return false, nil
		case err != nil:
			return true, os.NewSyscallError("recvfrom", err)
		case n == 0:
			return true, io.EOF
		}
		return true, nil
	}
}
