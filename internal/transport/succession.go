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
	tempPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(tempPath)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempPath, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the path may be its successor's
	if err := os.Rename(tempPath, path); err != nil {
		ln.Close()
		os.Remove(tempPath)
		return nil, err
	}
	return &HandoverListener{ln}, nil
}

func (s *HandoverListener) Close() { s.ln.Close() }

// Serve takes what is handed over, until Close: a note that says what it is, and bytes that go with it. Each may wait for room. What is
// given back is the answer to a process that asks.
func (s *HandoverListener) Serve(handle func(record, data []byte, conns []net.Conn) []byte) {
	for {
		conn, err := s.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("accept of what is handed over", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		go func() {
			defer conn.Close()
			record, data, conns, err := receiveHandover(conn)
			if err != nil {
				slog.Warn("handed over, and not understood", "connections", len(conns), "error", err)
				for _, client := range conns {
					client.Close()
				}
				return
			}
			if reply := handle(record, data, conns); reply != nil {
				conn.SetDeadline(time.Now().Add(handoverWriteTimeout))
				parts := net.Buffers{encodeLengths(reply), reply}
				parts.WriteTo(conn) // without it the other goes on as if it had not asked
			}
		}()
	}
}

// receiveHandover reads what is handed over: two lengths, with the connections, and so many bytes. All of it is this process's once it has come
// whole, also where the one before does not wait to be told so: it has let go of them then.
func receiveHandover(conn *net.UnixConn) (record, data []byte, conns []net.Conn, err error) {
	conn.SetDeadline(time.Now().Add(handoverReadTimeout))
	header, control := make([]byte, 8), make([]byte, syscall.CmsgSpace(4*4))
	n, controlLen, _, _, err := conn.ReadMsgUnix(header, control)
	if err != nil {
		return nil, nil, nil, err
	}
	messages, err := syscall.ParseSocketControlMessage(control[:controlLen])
	for _, message := range messages {
		fds, _ := syscall.ParseUnixRights(&message)
		for _, fd := range fds {
			file := os.NewFile(uintptr(fd), "handed over")
			handedOver, fileErr := net.FileConn(file)
			file.Close()
			if fileErr != nil {
				err = fileErr
				continue
			}
			conns = append(conns, handedOver)
		}
	}
	if err == nil {
		_, err = io.ReadFull(conn, header[n:])
	}
	for i, part := range []*[]byte{&record, &data} {
		length := binary.BigEndian.Uint32(header[4*i:])
		if err == nil && length > maxHandoverBytes {
			err = fmt.Errorf("%d bytes are handed over", length)
		}
		if err == nil {
			*part = make([]byte, length)
			_, err = io.ReadFull(conn, *part)
		}
	}
	if err == nil {
		conn.Write([]byte{1})
	}
	return record, data, conns, err
}

// encodeLengths is what goes before parts: how long each is.
func encodeLengths(parts ...[]byte) (header []byte) {
	for _, part := range parts {
		header = binary.BigEndian.AppendUint32(header, uint32(len(part)))
	}
	return header
}

// QueryProcess asks the process that listens at the path, and gives back what it says; nil where there is none, or it has nothing to say.
func QueryProcess(path string, query []byte) []byte {
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(queryProcessTimeout))
	if _, err := conn.Write(append(encodeLengths(query, nil), query...)); err != nil {
		return nil
	}
	header := make([]byte, 5) // the word that all has come, and the length
	if _, err := io.ReadFull(conn, header); err != nil {
		return nil
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length > maxHandoverBytes {
		return nil
	}
	reply := make([]byte, length)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return nil
	}
	return reply
}

// HandOverClient passes a client's connection, and others that belong to it, on to the process that listens at the path; it is false where nobody
// else does, or has not all of it. Once all is sent the connections are the other's, whether or not that says so in time: two may not
// write to one client.
func HandOverClient(path string, record, data []byte, c *Client, others ...net.Conn) bool {
	if max(len(record), len(data)) > maxHandoverBytes {
		return false
	}
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return false
	}
	defer conn.Close()
	if peerPID(conn) == os.Getpid() { // nobody has come to replace this process
		return false
	}
	conn.SetDeadline(time.Now().Add(handoverWriteTimeout))
	header := encodeLengths(record, data)
	err = withDescriptors(append([]net.Conn{c.conn}, others...), nil, func(fds []int) error {
		n, _, err := conn.WriteMsgUnix(header, syscall.UnixRights(fds...), nil)
		if err == nil && n < len(header) {
			err = io.ErrShortWrite
		}
		return err
	})
	if err != nil {
		return false
	}
	parts := net.Buffers{record, data}
	if _, err := parts.WriteTo(conn); err != nil {
		return false
	}
	conn.Read(make([]byte, 1))
	return true
}

// withDescriptors calls do with the descriptors of connections, none of which can be closed meanwhile: one that gave way to another just then
// would leave its number to a stranger's.
func withDescriptors(conns []net.Conn, fds []int, call func(fds []int) error) error {
	if len(conns) == 0 {
		return call(fds)
	}
	raw, err := conns[0].(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	err = raw.Control(func(fd uintptr) { callErr = withDescriptors(conns[1:], append(fds, int(fd)), call) })
	return errors.Join(err, callErr)
}

func peerPID(conn *net.UnixConn) (pid int) {
	raw, err := conn.SyscallConn()
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
func (x *Exchange) HostConn() net.Conn { return x.hostConn.conn }

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
