package transport

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
)

// DatagramSocket is the UDP socket for messages between gateways.
type DatagramSocket struct{ conn *net.UDPConn }

// ListenDatagrams opens the socket at an address. Its receive buffer is sized for the given number of senders that send
// at the same time, as far as the system allows (net.core.rmem_max); a smaller buffer is logged.
func ListenDatagrams(addr string, senders int) (*DatagramSocket, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, err
	}
	d := &DatagramSocket{conn}
	wantedBytes := max(minPendingDatagrams, pendingDatagramsPerSender*senders) * receiveBufferBytesPerDatagram
	if err := conn.SetReadBuffer(wantedBytes); err != nil {
		slog.Warn("could not set the receive buffer for datagrams", "error", err)
	}
	if gotBytes := d.readBufferBytes(); gotBytes < wantedBytes {
		slog.Warn("receive buffer of datagrams smaller than wanted", "bytes", gotBytes, "wanted", wantedBytes)
	}
	return d, nil
}

// readBufferBytes returns the size of the receive buffer in the unit in which it is set, half of what the kernel
// reports, or 0 if the kernel does not report it.
func (d *DatagramSocket) readBufferBytes() int {
	raw, err := d.conn.SyscallConn()
	if err != nil {
		return 0
	}
	doubled := 0
	raw.Control(func(fd uintptr) {
		if n, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF); err == nil {
			doubled = n
		}
	})
	return doubled / 2
}

// Send sends one datagram.
func (d *DatagramSocket) Send(to netip.AddrPort, msg []byte) error {
	_, err := d.conn.WriteToUDPAddrPort(msg, to)
	return err
}

// Serve calls handle for each datagram until the socket is closed. Datagrams longer than maxBytes are cut to one byte
// more than that, so that handle can recognise them. msg is valid until handle returns.
func (d *DatagramSocket) Serve(maxBytes int, handle func(from netip.AddrPort, msg []byte)) {
	buf := make([]byte, maxBytes+1)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
		}
	}
}

// Close closes the socket and ends Serve.
func (d *DatagramSocket) Close() { d.conn.Close() }
