package transport

import (
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketState inspects a connection without consuming anything of it: neither bytes nor the pending error of a
// broken connection. Its result is therefore exact for the moment of the call, whereas bytes that a reader has
// taken from the socket and not yet returned could not be seen by any check.
type socketState struct{ raw syscall.RawConn }

// socketStateOf returns the state of a TCP connection.
func socketStateOf(conn net.Conn) socketState {
	raw, _ := conn.(*net.TCPConn).SyscallConn() // fails only for a connection that was never open
	return socketState{raw}
}

// ReadableCheck returns a function that reports whether the connection has something to read: data, the
// peer's close, or an error. The check does not change what a later read finds: a response that ends with its
// connection is still complete if the peer closed it, and cut off if the peer reset it.
func ReadableCheck(conn net.Conn) func() bool { return socketStateOf(conn).readable }

// waitReadable waits until there is something to read. It returns io.EOF if that is the peer's close, the
// connection's error if it broke, and os.ErrDeadlineExceeded at the read deadline.
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

// readable reports whether there is something to read now: data, the peer's close, or an error.
func (s socketState) readable() (readable bool) {
	s.raw.Control(func(fd uintptr) { readable = pollEvents(fd, unix.POLLIN|unix.POLLRDHUP) != 0 })
	return readable
}

// peerClosed reports whether the peer has closed the connection or its sending side, even if unread bytes
// come before that.
func (s socketState) peerClosed() (closed bool) {
	s.raw.Control(func(fd uintptr) { closed = peerHungUp(fd) })
	return closed
}

// waitPeerClosedOrUnread waits as waitPeerClosed does, or until more than maxUnread bytes have arrived that no one has read.
func (s socketState) waitPeerClosedOrUnread(maxUnread int) error {
	return s.raw.Read(func(fd uintptr) bool {
		unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		return peerHungUp(fd) || err == nil && unread > maxUnread
	})
}

// readNow reads what has arrived, whatever the read deadline. It returns 0 if there is nothing.
func (s socketState) readNow(b []byte) (n int) {
	s.raw.Control(func(fd uintptr) {
		for {
			var err error
			if n, err = syscall.Read(int(fd), b); err != syscall.EINTR {
				return
			}
		}
	})
	return max(n, 0)
}

// waitPeerClosed waits until the peer closes, whatever bytes come before that. Its error is one of this side:
// os.ErrDeadlineExceeded at the read deadline, net.ErrClosed if the connection is closed here.
func (s socketState) waitPeerClosed() error { return s.raw.Read(peerHungUp) }

// peerHungUp reports whether the peer has closed, which poll shows even if unread bytes come before it. A close of the
// sending side alone counts: a client that has done that sends no more.
func peerHungUp(fd uintptr) bool { return pollEvents(fd, unix.POLLRDHUP) != 0 }

// unacknowledged returns how many bytes of what was written the peer's machine has not acknowledged, 0 if that is not
// known.
func (s socketState) unacknowledged() int {
	bytes, _ := s.queued(unix.SIOCOUTQ)
	return bytes
}

// unsent returns how many bytes of what was written have not left this machine, 0 if that is not known.
func (s socketState) unsent() int {
	bytes, _ := s.queued(unix.SIOCOUTQNSD)
	return bytes
}

// unread returns how many bytes have arrived that no one has read.
func (s socketState) unread() (bytes int, known bool) { return s.queued(unix.SIOCINQ) }

// queued returns the length of one of the socket's queues.
func (s socketState) queued(request uint) (bytes int, known bool) {
	s.raw.Control(func(fd uintptr) {
		var err error
		bytes, err = unix.IoctlGetInt(int(fd), request)
		known = err == nil
	})
	return bytes, known
}

// pollEvents returns which of the wanted poll events hold, and POLLHUP and POLLERR, which poll
// always reports. Unlike a receive, poll leaves the connection's pending error in place. A receive takes it even
// with MSG_PEEK, so that the next one finds an orderly end of file where there was a reset.
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

// peek reports whether there is something to read, and how the connection ended if nothing else is left. It
// consumes the pending error (see pollEvents) and returns it, so it is only for callers that read no further
// then.
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
