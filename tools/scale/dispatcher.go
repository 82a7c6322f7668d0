package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"spanmux/internal/protocol"
	"spanmux/internal/routing"
)

const (
	hostChangeCount   = 6               // sent one after the other; the quickest counts
	hostChangeTimeout = 5 * time.Second // for one change; far longer than any takes
)

// measureDispatcher runs the gateway up to its sockets. It starts with a known host list; then a fake discovery server on loopback sends
// changes of one host, one after the other. It returns, as wall-clock times, how long the start with the known list takes and the shortest
// time from the response with a change to the next request, in which the change is parsed and passed to the decision core. The third value is
// the memory of the gateway with the list.
func measureDispatcher(ctx context.Context, hostCount int) (values map[string]float64, err error) {
	defaultLogger := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer slog.SetDefault(defaultLogger)
	knownList := makeHostList(hostCount)
	dispatcher, err := routing.NewDispatcher(settingsJSON(targetFleet["gateways"], defaultProfileCount, 0))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	dispatcher.ConfigureListener(listener, false, 400, 0, 64<<20)
	requests := make(chan time.Time)
	responses := make(chan []byte)
	discovery := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case requests <- time.Now():
		case <-r.Context().Done():
			return
		}
		select {
		case text := <-responses:
			w.Write(text)
		case <-r.Context().Done():
		}
	})}
	discoveryListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		listener.Close()
		return nil, err
	}
	go discovery.Serve(discoveryListener) // runs until the process ends, as the gateway does: its requests wait here, and a refused one would be retried at once
	defer listener.Close()
	values = map[string]float64{}
	values["heap"] = retainedHeapBytes(func() any {
		start := time.Now()
		dispatcher.Start(7, discoveryListener.Addr().String(), knownList)
		values["first"] = time.Since(start).Seconds()
		return dispatcher
	})
	nextRequest := func() (time.Time, error) {
		select {
		case receivedAt := <-requests:
			return receivedAt, nil
		case <-time.After(hostChangeTimeout):
			return time.Time{}, fmt.Errorf("no request for the host list within %v", hostChangeTimeout)
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		}
	}
	if _, err := nextRequest(); err != nil {
		return nil, err
	}
	var durations []time.Duration
	for i := range hostChangeCount {
		state := protocol.StateTerminating
		if i%2 == 1 {
			state = "in_service"
		}
		host := knownList.Hosts[hostCount/2]
		text := fmt.Sprintf(`{"rev":%d,"all":false,"targets":[{"uid":%q,"endpoint":%q,"az":%q,"model":%q,"pod_group":%d,"state":%q,"capacity_hint":1}]}`,
			5+i, host.UID, host.Endpoint, host.Zone, host.Model, host.Cell, state)
		start := time.Now()
		responses <- []byte(text)
		requested, err := nextRequest()
		if err != nil {
			return nil, err
		}
		durations = append(durations, requested.Sub(start))
	}
	values["change"] = slices.Min(durations).Seconds()
	return values, nil
}

// hostListRequestBytes returns the size of a request for the host list plus that of the response header, as the gateway and a common HTTP
// server write them.
func hostListRequestBytes() int {
	n := 0
	for _, part := range protocol.EncodeGet(protocol.WatchTarget(1_000_000, 20*time.Second), "10.0.0.1:8080") {
		n += len(part)
	}
	return n + len(strings.Join([]string{"HTTP/1.1 200 OK", "Content-Type: application/json", "Date: Wed, 02 Dec 2026 03:00:00 GMT", "Content-Length: 100", "", ""}, "\r\n"))
}
