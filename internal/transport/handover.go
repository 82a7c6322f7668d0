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

// HandoverListener is a Unix socket on which a process accepts connections that the process which it replaces hands
// over to it.
type HandoverListener struct{ ln *net.UnixListener }

// ListenHandover listens at a path. It replaces a socket that a previous process has there.
func ListenHandover(path string) (*HandoverListener, error) {
	tempPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(tempPath)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempPath, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the path may be that of the next process
	if err := os.Rename(tempPath, path); err != nil {
		ln.Close()
		os.Remove(tempPath)
		return nil, err
	}
	return &HandoverListener{ln}, nil
}

// Close closes the socket and ends Serve.
func (l *HandoverListener) Close() { l.ln.Close() }

// Serve calls handle for each handover until Close: with a record that describes it, data that belongs to it, and the
// connections. Each call is in a goroutine of its own and may block. Its result, if not nil, is the reply to
// QueryProcess.
func (l *HandoverListener) Serve(handle func(record, data []byte, conns []net.Conn) []byte) {
	for {
		conn, err := l.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("accept of a handover failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		go func() {
			defer conn.Close()
			record, data, conns, err := receiveHandover(conn)
			if err != nil {
				slog.Warn("invalid handover", "connections", len(conns), "error", err)
				for _, client := range conns {
					client.Close()
				}
				return
			}
			if reply := handle(record, data, conns); reply != nil {
				conn.SetDeadline(time.Now().Add(handoverWriteTimeout))
				parts := net.Buffers{encodeLengths(len(reply)), reply}
				parts.WriteTo(conn) // an error is ignored: the other process goes on without the reply
			}
		}()
	}
}

// receiveHandover reads a handover: the lengths of two parts, sent together with the connections' descriptors, and the
// parts. This process owns the connections once it has received all of it, even if the previous process does not wait
// for the acknowledgement, a byte 1: that process no longer uses them by then.
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
	maxLengths := [...]uint32{maxHandoverBytes, maxHandoverDataBytes}
	for i, part := range []*[]byte{&record, &data} {
		length := binary.BigEndian.Uint32(header[4*i:])
		if err == nil && length > maxLengths[i] {
			err = fmt.Errorf("handover part of %d bytes is too long", length)
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

// encodeLengths returns the header of a message with parts of the given lengths: each as four bytes, big-endian.
func encodeLengths(lengths ...int) (header []byte) {
	for _, length := range lengths {
		header = binary.BigEndian.AppendUint32(header, uint32(length))
	}
	return header
}

// QueryProcess sends a query to the process that listens at the path and returns its reply, or nil if there is no such
// process or no reply in time.
func QueryProcess(path string, query []byte) []byte {
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(queryProcessTimeout))
	if _, err := conn.Write(append(encodeLengths(len(query), 0), query...)); err != nil {
		return nil
	}
	header := make([]byte, 5) // the acknowledgement and the length of the reply
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

// HandOverClient sends a client's connection, and others that belong to it, to the process that listens at the path. It
// returns false if no other process listens there, or not all could be sent. Once all is sent the connections belong to
// the other process, even if it does not acknowledge them in time: two processes must not write to one client.
func HandOverClient(path string, record []byte, data net.Buffers, c *Client, others ...net.Conn) bool {
	dataLength := 0
	for _, piece := range data {
		dataLength += len(piece)
	}
	if len(record) > maxHandoverBytes || dataLength > maxHandoverDataBytes {
		return false
	}
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return false
	}
	defer conn.Close()
	if peerPID(conn) == os.Getpid() { // no other process has replaced this one as the listener
		return false
	}
	conn.SetDeadline(time.Now().Add(handoverWriteTimeout))
	header := encodeLengths(len(record), dataLength)
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
	parts := append(net.Buffers{record}, data...)
	if _, err := parts.WriteTo(conn); err != nil {
		return false
	}
	conn.Read(make([]byte, 1))
	return true
}

// withDescriptors calls a function with the descriptors of connections, and keeps these from being closed meanwhile. The
// descriptor of a connection that is evicted just then could otherwise already be that of another connection.
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

// peerPID returns the ID of the process at the other end of a Unix socket, or 0 if it is not known.
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

// HostConn returns the connection of an exchange whose response is being read.
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
