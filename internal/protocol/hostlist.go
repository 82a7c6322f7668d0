package protocol

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"spanmux/logic"
)

// HostList is a response of discovery: all hosts if Full is set, else those that have changed since the revision that
// the call named.
type HostList struct {
	Revision int64       `json:"rev"`
	Full     bool        `json:"all"`
	Hosts    []HostEntry `json:"targets"`
}

// HostEntry describes one host of a HostList. Model is the host's hardware kind, Cell the group of hosts within which a
// profile may deduplicate a repeated request, and BootMS the host's start as a Unix time in milliseconds, 0 if unknown.
type HostEntry struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	Zone         string  `json:"az"`
	Model        string  `json:"model"`
	Cell         int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMS       int64   `json:"boot_ms"`
}

// StateTerminating is the State of a host that is draining.
const StateTerminating = "terminating"

// hostStates maps each State of a HostEntry to that of package logic.
var hostStates = map[string]logic.HostState{
	"in_service": logic.HostReady, StateTerminating: logic.HostDraining, "terminated": logic.HostGone,
}

// ParseHostList parses the JSON of a host list. An invalid entry fails the whole list, as there is no way to tell
// whether the other entries are right.
func ParseHostList(data []byte) (*HostList, error) {
	// Decoded, an entry that says nothing takes fifty times its bytes.
	if objects := bytes.Count(data, []byte("{")); objects > maxHostListObjects || (objects-1)*minHostEntryBytes > len(data) {
		return nil, fmt.Errorf("list: %d entries in %d bytes", objects-1, len(data))
	}
	list := &HostList{}
	if err := json.Unmarshal(data, list); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	for _, e := range list.Hosts {
		if _, known := hostStates[e.State]; !known || e.UID == "" {
			return nil, fmt.Errorf("list: entry %q in state %q", e.UID, e.State)
		}
	}
	return list, nil
}

// Host converts the entry for package logic. startTime converts the time at which the host was started to that
// package's clock.
func (e *HostEntry) Host(id logic.HostID, startTime func(bootMS int64) time.Duration) logic.Host {
	return logic.Host{ID: id, Zone: e.Zone, Kind: e.Model, Cell: e.Cell, State: hostStates[e.State],
		CapacityHint: e.CapacityHint, StartedAt: startTime(e.BootMS)}
}

// Paths of requests that are not transactions.
const (
	HostListPath = "/v1/endpoints" // discovery's host list
	LoadPath     = "/status/load"  // a host's load report
	ReadyPath    = "/ready"        // readiness of this gateway
)

// WatchTarget returns the request target of a long poll for changes of the host list after a revision: discovery
// responds when there is one, or after the time to wait.
func WatchTarget(revision int64, wait time.Duration) string {
	return fmt.Sprintf("%s?index=%d&wait=%d", HostListPath, revision, wait.Milliseconds())
}

// IsTruncated reports whether err is that of a message that ended before it was complete.
func IsTruncated(err error) bool { return errors.Is(err, errTruncated) }

// ReadHostList reads a response of discovery. keepAlive reports whether the connection can be used again.
func ReadHostList(r *bufio.Reader) (body []byte, status int, keepAlive bool, err error) {
	var h Head
	if err := h.ReadResponse(r); err != nil {
		return nil, 0, false, err
	}
	h.Discard(r)
	body, err = h.ReadBody(r, maxHostListBytes)
	return body, h.Status, !h.Close, err
}
