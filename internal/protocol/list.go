package protocol

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"spanmux/logic"
)

// List is what discovery tells.
type List struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

// Entry is a host of the list.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// Terminating is the state of a host that drains.
const Terminating = "terminating"

var states = map[string]logic.HostState{
	"in_service": logic.HostReady, Terminating: logic.HostDraining, "terminated": logic.HostGone,
}

// ParseList reads a list. One entry that makes no sense spoils it: it can't be told what else is wrong.
func ParseList(text []byte) (*List, error) {
	l := &List{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	for _, e := range l.Targets {
		if _, known := states[e.State]; !known || e.UID == "" {
			return nil, fmt.Errorf("list: entry %q in state %q", e.UID, e.State)
		}
	}
	return l, nil
}

// Host is the entry as the module takes it; since is the time of a start on the module's clock.
func (e *Entry) Host(id logic.HostID, since func(bootMS int64) time.Duration) logic.Host {
	return logic.Host{ID: id, Zone: e.Zone, Kind: e.Model, Cell: e.Cell, State: states[e.State],
		CapacityHint: e.Size, StartedAt: since(e.BootMS)}
}

// What the calls without a transaction ask for.
const (
	ListTarget  = "/v1/endpoints"
	LoadTarget  = "/status/load"
	ReadyTarget = "/ready"
)

// WatchTarget is the call for what changes after rev.
func WatchTarget(rev int64, wait time.Duration) string {
	return fmt.Sprintf("%s?index=%d&wait=%d", ListTarget, rev, wait.Milliseconds())
}

// Torn tells whether a message ended before it was whole.
func Torn(err error) bool { return errors.Is(err, errTorn) }

// ReadList reads discovery's answer.
func ReadList(r *bufio.Reader) (body []byte, status int, keep bool, err error) {
	var h Head
	if err := h.ReadAnswer(r); err != nil {
		return nil, 0, false, err
	}
	h.Skip(r)
	body, err = h.ReadBody(r, listMost)
	return body, h.Status, !h.Close, err
}
