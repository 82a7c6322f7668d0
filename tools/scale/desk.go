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
	changesPlayed = 6               // told one after the other, of which the quickest counts
	changeWithin  = 5 * time.Second // for one: far over any
)

// desk is the gateway's own program up to its sockets: a known list at the start, then a stand-in for discovery on loopback that tells
// one change of one host after the other. It gives the time until the known list is in hand, and the least time from a change's answer to
// the next call, by the clock on the wall: within it the list is read, taken in and told to the module.
func desk(ctx context.Context, n int) (values map[string]float64, err error) {
	was := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer slog.SetDefault(was)
	known := list(n)
	d, err := routing.NewDispatcher(settings(target["gateways"], usualProfiles, 0))
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.ConfigureListener(ln, false, 400, 0, 64<<20)
	calls := make(chan time.Time)
	answers := make(chan []byte)
	told := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case calls <- time.Now():
		case <-r.Context().Done():
			return
		}
		select {
		case text := <-answers:
			w.Write(text)
		case <-r.Context().Done():
		}
	})}
	at, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		ln.Close()
		return nil, err
	}
	go told.Serve(at) // it ends with the process, as the gateway does: its calls wait there, and one refused would come again at once
	defer ln.Close()
	values = map[string]float64{}
	values["heap"] = liveHeap(func() any {
		from := time.Now()
		d.Start(7, at.Addr().String(), known)
		values["first"] = time.Since(from).Seconds()
		return d
	})
	next := func() (time.Time, error) {
		select {
		case at := <-calls:
			return at, nil
		case <-time.After(changeWithin):
			return time.Time{}, fmt.Errorf("no call for the list within %v", changeWithin)
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		}
	}
	if _, err := next(); err != nil {
		return nil, err
	}
	var took []time.Duration
	for i := range changesPlayed {
		state := protocol.StateTerminating
		if i%2 == 1 {
			state = "in_service"
		}
		e := known.Hosts[n/2]
		text := fmt.Sprintf(`{"rev":%d,"all":false,"targets":[{"uid":%q,"endpoint":%q,"az":%q,"model":%q,"pod_group":%d,"state":%q,"capacity_hint":1}]}`,
			5+i, e.UID, e.Endpoint, e.Zone, e.Model, e.Cell, state)
		from := time.Now()
		answers <- []byte(text)
		called, err := next()
		if err != nil {
			return nil, err
		}
		took = append(took, called.Sub(from))
	}
	values["change"] = slices.Min(took).Seconds()
	return values, nil
}

// callBytes is the size of a call for the list and of the head of its answer, as the gateway and a usual server write them.
func callBytes() int {
	n := 0
	for _, part := range protocol.EncodeGet(protocol.WatchTarget(1_000_000, 20*time.Second), "10.0.0.1:8080") {
		n += len(part)
	}
	return n + len(strings.Join([]string{"HTTP/1.1 200 OK", "Content-Type: application/json", "Date: Wed, 02 Dec 2026 03:00:00 GMT", "Content-Length: 100", "", ""}, "\r\n"))
}
