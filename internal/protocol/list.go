package protocol

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"spanmux/logic"
)

// HostList is what discovery tells.
type HostList struct {
	Revision int64       `json:"rev"`
	Full     bool        `json:"all"`
	Hosts    []HostEntry `json:"targets"`
}

// HostEntry is a host of the list.
type HostEntry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// StateTerminating is the state of a host that drains.
const StateTerminating = "terminating"

var hostStates = map[string]logic.HostState{
	"in_service": logic.HostReady, StateTerminating: logic.HostDraining, "terminated": logic.HostGone,
}

// ParseHostList reads a list. One entry that makes no sense spoils it: it can't be told what else is wrong.
func ParseHostList(data []byte) (*HostList, error) {
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

// Host is the entry as the module takes it; since is the time of a start on the module's clock.
func (e *HostEntry) Host(id logic.HostID, startTime func(bootMS int64) time.Duration) logic.Host {
	return logic.Host{ID: id, Zone: e.Zone, Kind: e.Model, Cell: e.Cell, State: hostStates[e.State],
		CapacityHint: e.Size, StartedAt: startTime(e.BootMS)}
}

// What the calls without a transaction ask for.
const (
	HostListPath = "/v1/endpoints"
	LoadPath     = "/status/load"
	ReadyPath    = "/ready"
)

// WatchTarget is the call for what changes after rev.
func WatchTarget(revision int64, wait time.Duration) string {
	return fmt.Sprintf("%s?index=%d&wait=%d", HostListPath, revision, wait.Milliseconds())
}

// IsTruncated tells whether a message ended before it was whole.
func IsTruncated(err error) bool { return errors.Is(err, errTruncated) }

// ReadHostList reads discovery's answer.
func ReadHostList(r *bufio.Reader) (body []byte, status int, keepAlive bool, err error) {
	var h Head
	if err := h.ReadResponse(r); err != nil {
		return nil, 0, false, err
	}
	h.Discard(r)
	body, err = h.ReadBody(r, maxHostListBytes)
	return body, h.Status, !h.Close, err
}
