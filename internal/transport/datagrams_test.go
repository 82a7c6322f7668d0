package transport

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A thousand gateways may send while this process gets no CPU time or its lock is held; their datagrams must wait in the
// socket. With the system's default receive buffer all but the first 166 were dropped, and each remote pick request
// among them delayed its transaction by 100 ms.
func TestDatagramsFromManySenders(t *testing.T) {
	const senders, perSender, size = 1024, pendingDatagramsPerSender, 256
	d, err := ListenDatagrams("127.0.0.1:0", senders)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	to := d.conn.LocalAddr().(*net.UDPAddr)
	for range senders {
		from, err := net.DialUDP("udp", nil, to)
		if err != nil {
			t.Fatal(err)
		}
		defer from.Close()
		for range perSender {
			if _, err := from.Write(make([]byte, size)); err != nil {
				t.Fatal(err)
			}
		}
	}

	arrived, bySender := 0, map[netip.AddrPort]int{}
	served := make(chan bool)
	go func() {
		defer close(served)
		d.Serve(size, func(from netip.AddrPort, msg []byte) {
			if len(msg) != size {
				t.Errorf("%d bytes from %v", len(msg), from)
			}
			bySender[from]++
			if arrived++; arrived == senders*perSender {
				d.Close()
			}
		})
	}()
	select {
	case <-served:
	case <-time.After(2 * time.Second):
		d.Close()
		<-served
	}
	wantedCount := min(senders*perSender, maxReadBufferBytes(t)/receiveBufferBytesPerDatagram)
	if arrived < wantedCount || len(bySender) < wantedCount/perSender {
		t.Errorf("%d datagrams of %d senders arrived, of %d of %d", arrived, len(bySender), senders*perSender, senders)
	}
}

// maxReadBufferBytes returns the largest receive buffer that the system lets a process set.
func maxReadBufferBytes(t *testing.T) int {
	text, err := os.ReadFile("/proc/sys/net/core/rmem_max")
	if err != nil {
		t.Fatal(err)
	}
	maxBytes, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return maxBytes
}
