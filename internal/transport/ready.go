package transport

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// sight looks at what has come on a connection and takes nothing of it. So it can be told for certain whether there was
// anything at a moment: what a reader has taken already, and not yet spoken of, no look would find.
type sight struct{ raw syscall.RawConn }

func sightOf(nc net.Conn) sight {
	raw, _ := nc.(*net.TCPConn).SyscallConn() // fails only for a connection that was never open
	return sight{raw}
}

// There gives a look at whether something has come on a connection, be it the other side's end.
func There(nc net.Conn) func() bool { return sightOf(nc).any }

// wait waits until there is something to read; io.EOF if it is the other side's end.
func (s sight) wait() (err error) {
	var there, end bool
	if err = s.raw.Read(func(fd uintptr) bool { there, end = look(fd); return there }); err == nil && end {
		err = io.EOF
	}
	return err
}

// any tells whether there is something to read now, be it the other side's end.
func (s sight) any() (there bool) {
	s.raw.Control(func(fd uintptr) { there, _ = look(fd) })
	return there
}

// gone tells whether the other side has ended the connection, whatever has come on it before that and is not read yet.
func (s sight) gone() (gone bool) {
	s.raw.Control(func(fd uintptr) { gone = hungUp(fd) })
	return gone
}

// end waits for the other side's end, behind whatever has come; the error is this side's: its time is up, or it has closed.
func (s sight) end() error { return s.raw.Read(hungUp) }

// hungUp asks for the state of the connection, which goes before what is unread. Half an end is one: a client that has closed says no more.
func hungUp(fd uintptr) bool {
	for {
		fds := [...]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds[:], 0)
		if err != unix.EINTR {
			return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	}
}

func look(fd uintptr) (there, end bool) {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			return false, false
		}
		return true, n == 0 && err == nil
	}
}
