package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"spanmux/logic"
)

const (
	lateFor     = 1500 * time.Millisecond // for which what was in force is served: clients hear of a change late
	placesMost  = 256                     // profiles that one process may have known, each by effect: far over any use
	longestMost = time.Hour               // of a hard limit or service goal: a longer one has its units wrong
	hopsMost    = 1000                    // of one transaction, ditto
	ninesMost   = 20                      // tenfold steps: no share is that small
)

// SettingsUpdate is settings that were checked whole and are not in force yet.
type SettingsUpdate struct{ rules rules }

// CheckComplete tells whether a text holds every key of the one in force, those left out by name aside. What is missing was more likely
// lost on the way than meant.
func CheckComplete(inForce, text []byte, but ...string) error {
	var was, is any
	if err := json.Unmarshal(text, &is); err != nil {
		return err
	}
	if err := json.Unmarshal(inForce, &was); err != nil {
		return err
	}
	if m, ok := was.(map[string]any); ok {
		for _, key := range but {
			delete(m, key)
		}
	}
	return complete("", was, is)
}

func complete(at string, was, is any) error {
	switch was := was.(type) {
	case map[string]any:
		m, ok := is.(map[string]any)
		if !ok {
			return fmt.Errorf("%s: no object", at)
		}
		for _, key := range slices.Sorted(maps.Keys(was)) {
			below, there := m[key]
			if !there {
				return fmt.Errorf("%s.%s: missing", at, key)
			}
			if err := complete(at+"."+key, was[key], below); err != nil {
				return err
			}
		}
	case []any:
		list, ok := is.([]any)
		if !ok {
			return fmt.Errorf("%s: no list", at)
		}
		for i, one := range list {
			if usual := common(was); usual != nil {
				if err := complete(fmt.Sprintf("%s[%d]", at, i), usual, one); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// common is the keys that all objects of a list have, nil where it holds none.
func common(list []any) any {
	var keys map[string]any
	for _, one := range list {
		m, ok := one.(map[string]any)
		if !ok {
			return nil
		}
		if keys == nil {
			keys = map[string]any{}
			for key := range m { // in any order: it is a set
				keys[key] = nil
			}
		}
		for key := range keys { // ditto
			if _, there := m[key]; !there {
				delete(keys, key)
			}
		}
	}
	if keys == nil {
		return nil
	}
	return keys
}

// CheckAddress checks an address to call.
func CheckAddress(key, addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err == nil && port == "" {
		err = fmt.Errorf("no port in %q", addr)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// ParseUpdate reads settings that are to follow those in force, and checks them whole; it changes nothing.
func (o *Instance) ParseUpdate(text []byte, peers int) (*SettingsUpdate, error) {
	if err := CheckSettings(text, peers); err != nil {
		return nil, err
	}
	var to opening
	if err := json.Unmarshal(text, &to); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	place := o.place
	for _, rule := range []struct {
		broken bool
		key    string
	}{
		{to.Balancers != place.GatewayCount, "balancers"}, {to.Me != place.GatewayIndex, "me"}, {to.MyZone != place.Zone, "myZone"},
		{!slices.Equal(to.Zones, place.Zones), "dcs"}, {to.ofItsOwn() != o.own, "limits.secondCopies"},
	} {
		if rule.broken {
			return nil, fmt.Errorf("settings: %s: changes only with a restart", rule.key)
		}
	}
	if len(to.Profiles) == 0 {
		return nil, fmt.Errorf("settings: profiles: none")
	}
	if n := to.Limits.MostHops; n <= 0 || n > hopsMost {
		return nil, fmt.Errorf("settings: limits.mostHops: %d", n)
	}
	most, names := longestMost.Microseconds(), map[string]bool{}
	for _, p := range to.Profiles {
		for _, rule := range []struct {
			broken bool
			key    string
		}{
			{p.Name == "" || names[p.Name], "name"}, {p.HardLimit <= 0 || p.HardLimit > most, "hardLimit"},
			{p.ServiceGoal <= 0 || p.ServiceGoal > most, "serviceGoal"}, {p.Revenue < 0, "revenue"},
			{p.Window < 0, "window"},
		} {
			if rule.broken {
				return nil, fmt.Errorf("settings: profile %q: %s", p.Name, rule.key)
			}
		}
		names[p.Name] = true
	}
	r, err := to.rules(o.ask)
	if err != nil {
		return nil, err
	}
	if len(o.known)+len(r.profiles) > placesMost {
		return nil, fmt.Errorf("settings: profiles: %d known since the start: restart", len(o.known))
	}
	return &SettingsUpdate{r}, nil
}

// ApplyUpdate takes settings into force.
func (o *Instance) ApplyUpdate(now time.Duration, to *SettingsUpdate) {
	r := &to.rules
	o.inForce(now, r)
	o.Core.Reconfigure(now, o.known, r.tenants, r.cold, r.drains, r.hops, r.from, r.price)
}

// inForce gives places to profiles. One never comes to mean another name or effect: open transactions, and what was learnt, go by
// it.
func (o *Instance) inForce(now time.Duration, r *rules) {
	known := slices.Clone(o.known) // what is open goes by the one before
	late := slices.Clone(o.late)
	for i := range known {
		if late[i] == 0 {
			late[i] = now + lateFor
		}
		known[i].Removed = true
	}
	o.ProfileIndexes, o.TenantIndexes, o.marked, o.MaxHardLimit = map[string]int{}, map[string]int{}, map[uint16]int{}, r.longest
	o.HostListPushed, o.DrainGrace = r.pushed, r.grace
	for i, p := range known { // those in force win
		o.marked[markOf(p.Name)] = i
	}
	for _, p := range r.profiles {
		i := slices.IndexFunc(known, func(k logic.Profile) bool { return k.Name == p.Name && k.Effect == p.Effect })
		if i < 0 {
			i = len(known)
			known, late = append(known, p), append(late, 0)
		}
		known[i], late[i] = p, 0
		o.ProfileIndexes[p.Name], o.marked[markOf(p.Name)] = i, i
	}
	for i, t := range r.tenants {
		o.TenantIndexes[t.Name] = i
	}
	o.known, o.late = known, late
}

// FindProfile is a profile's for what comes with an effect, -1 where the profile has another; known tells whether there is one of
// that name. What was in force a moment ago is.
func (o *Instance) FindProfile(now time.Duration, name string, effect logic.Effect) (place int, known bool) {
	for i := range o.known {
		if (o.late[i] == 0 || now < o.late[i]) && o.known[i].Name == name {
			if known = true; o.known[i].Effect == effect {
				return i, true
			}
		}
	}
	return -1, known
}
