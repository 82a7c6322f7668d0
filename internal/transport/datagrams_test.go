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

// A thousand gateways may send while this process has no core or its lock is held: what they send waits in the socket. With the
// system's usual receive buffer all but the first 166 datagrams were dropped, and each ask for a host among them cost its request 100 ms.
func TestDatagramsFromManySenders(t *testing.T) {
	const senders, each, size = 1024, pendingDatagramsPerSender, 256
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
		for range each {
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
			if arrived++; arrived == senders*each {
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
	wanted := min(senders*each, largestReadBuffer(t)/receiveBufferBytesPerDatagram)
	if arrived < wanted || len(bySender) < wanted/each {
		t.Errorf("%d datagrams of %d senders arrived, of %d of %d", arrived, len(bySender), senders*each, senders)
	}
}

// largestReadBuffer is the largest receive buffer that this system lets a process set.
func largestReadBuffer(t *testing.T) int {
	text, err := os.ReadFile("/proc/sys/net/core/rmem_max")
	if err != nil {
		t.Fatal(err)
	}
	most, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return most
}
