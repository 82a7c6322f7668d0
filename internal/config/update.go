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
	removedProfileTTL     = 1500 * time.Millisecond // for which a removed profile is still served: clients learn of a change late
	maxKnownProfiles      = 256                     // since the start, counted by name and effect: far more than any deployment uses
	maxDurationSetting    = time.Hour               // a longer one is a mistake in the unit
	maxHopsPerTransaction = 1000                    // more is a mistake
	maxAvailabilityNines  = 20                      // 10 to the power of -20: no share of requests is that small
)

// SettingsUpdate holds new settings that were checked as a whole and are not in force yet.
type SettingsUpdate struct{ settings reloadableSettings }

// CheckNoMissingKeys returns an error if the next configuration lacks a key that the current one has, except for the optional top-level keys.
// A missing key was more likely lost than removed on purpose.
func CheckNoMissingKeys(current, next []byte, optional ...string) error {
	var currentValue, nextValue any
	if err := json.Unmarshal(next, &nextValue); err != nil {
		return err
	}
	if err := json.Unmarshal(current, &currentValue); err != nil {
		return err
	}
	if object, ok := currentValue.(map[string]any); ok {
		for _, key := range optional {
			delete(object, key)
		}
	}
	return checkKeys("", currentValue, nextValue)
}

// checkKeys compares two JSON values at a path, as CheckNoMissingKeys does.
func checkKeys(path string, current, next any) error {
	switch current := current.(type) {
	case map[string]any:
		object, ok := next.(map[string]any)
		if !ok {
			return fmt.Errorf("%s: not an object", path)
		}
		for _, key := range slices.Sorted(maps.Keys(current)) {
			value, present := object[key]
			if !present {
				return fmt.Errorf("%s.%s: missing", path, key)
			}
			if err := checkKeys(path+"."+key, current[key], value); err != nil {
				return err
			}
		}
	case []any:
		list, ok := next.([]any)
		if !ok {
			return fmt.Errorf("%s: not a list", path)
		}
		for i, element := range list {
			if keys := commonKeys(current); keys != nil {
				if err := checkKeys(fmt.Sprintf("%s[%d]", path, i), keys, element); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// commonKeys returns the keys that all objects of a list have, each with the value nil, or nil if the list is empty or not all are objects.
func commonKeys(list []any) any {
	var keys map[string]any
	for _, element := range list {
		object, ok := element.(map[string]any)
		if !ok {
			return nil
		}
		if keys == nil {
			keys = map[string]any{}
			for key := range object {
				keys[key] = nil
			}
		}
		for key := range keys {
			if _, present := object[key]; !present {
				delete(keys, key)
			}
		}
	}
	if keys == nil {
		return nil
	}
	return keys
}

// CheckAddress returns an error that names the key if addr is not a host and port to connect to.
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

// ParseUpdate parses and checks new settings for a running gateway. It changes nothing; ApplyUpdate does.
func (c *ConfiguredCore) ParseUpdate(text []byte, peerCount int) (*SettingsUpdate, error) {
	if err := CheckSettings(text, peerCount); err != nil {
		return nil, err
	}
	var next settings
	if err := json.Unmarshal(text, &next); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	topology := c.topology
	for _, rule := range []struct {
		invalid bool
		key     string
	}{
		{next.GatewayCount != topology.GatewayCount, "balancers"}, {next.GatewayIndex != topology.GatewayIndex, "me"}, {next.MyZone != topology.Zone, "myZone"},
		{!slices.Equal(next.Zones, topology.Zones), "dcs"}, {next.gatewayPerClient() != c.gatewayPerClient, "limits.secondCopies"},
	} {
		if rule.invalid {
			return nil, fmt.Errorf("settings: %s: cannot change without a restart", rule.key)
		}
	}
	if len(next.Profiles) == 0 {
		return nil, fmt.Errorf("settings: profiles: empty")
	}
	if maxHops := next.Limits.MaxHops; maxHops <= 0 || maxHops > maxHopsPerTransaction {
		return nil, fmt.Errorf("settings: limits.mostHops: %d is out of range", maxHops)
	}
	maxMicroseconds, seen := maxDurationSetting.Microseconds(), map[string]bool{}
	for _, profile := range next.Profiles {
		for _, rule := range []struct {
			invalid bool
			key     string
		}{
			{profile.Name == "" || seen[profile.Name], "name"}, {profile.HardLimit <= 0 || profile.HardLimit > maxMicroseconds, "hardLimit"},
			{profile.ServiceGoal <= 0 || profile.ServiceGoal > maxMicroseconds, "serviceGoal"}, {profile.Revenue < 0, "revenue"},
			{profile.DedupWindow < 0, "window"},
		} {
			if rule.invalid {
				return nil, fmt.Errorf("settings: profile %q: invalid %s", profile.Name, rule.key)
			}
		}
		seen[profile.Name] = true
	}
	reloadable, err := next.reloadable(c.listPollInterval)
	if err != nil {
		return nil, err
	}
	if len(c.knownProfiles)+len(reloadable.profiles) > maxKnownProfiles {
		return nil, fmt.Errorf("settings: profiles: too many, with %d known since the start: needs a restart", len(c.knownProfiles))
	}
	return &SettingsUpdate{reloadable}, nil
}

// ApplyUpdate puts new settings into force.
func (c *ConfiguredCore) ApplyUpdate(now time.Duration, update *SettingsUpdate) {
	next := &update.settings
	c.activate(now, next)
	c.Core.Reconfigure(now, c.knownProfiles, next.tenants, next.coldHosts, next.drain, next.hops, next.sources, next.costs)
}

// activate assigns indexes to the profiles and tenants of new settings. A profile keeps its index for as long as the process runs, and an
// index never comes to stand for another name or effect: open transactions and learned values refer to it.
func (c *ConfiguredCore) activate(now time.Duration, next *reloadableSettings) {
	profiles := slices.Clone(c.knownProfiles) // open transactions keep using the previous slice
	servedUntil := slices.Clone(c.servedUntil)
	for i := range profiles {
		if servedUntil[i] == 0 {
			servedUntil[i] = now + removedProfileTTL
		}
		profiles[i].Removed = true
	}
	c.ProfileIndexes, c.TenantIndexes, c.profileIndexByHash, c.MaxHardLimit = map[string]int{}, map[string]int{}, map[uint16]int{}, next.maxHardLimit
	c.HostListPushed, c.DrainGrace = next.hostListPushed, next.drainGrace
	for i, profile := range profiles { // profiles in force override these below
		c.profileIndexByHash[hashProfileName(profile.Name)] = i
	}
	for _, profile := range next.profiles {
		i := slices.IndexFunc(profiles, func(known logic.Profile) bool { return known.Name == profile.Name && known.Effect == profile.Effect })
		if i < 0 {
			i = len(profiles)
			profiles, servedUntil = append(profiles, profile), append(servedUntil, 0)
		}
		profiles[i], servedUntil[i] = profile, 0
		c.ProfileIndexes[profile.Name], c.profileIndexByHash[hashProfileName(profile.Name)] = i, i
	}
	for i, tenant := range next.tenants {
		c.TenantIndexes[tenant.Name] = i
	}
	c.knownProfiles, c.servedUntil = profiles, servedUntil
}

// FindProfile returns the index of the profile with a name and effect, -1 if there is none; known reports whether there is a profile of that
// name at all. Profiles removed less than removedProfileTTL ago still count.
func (c *ConfiguredCore) FindProfile(now time.Duration, name string, effect logic.Effect) (index int, known bool) {
	for i := range c.knownProfiles {
		if (c.servedUntil[i] == 0 || now < c.servedUntil[i]) && c.knownProfiles[i].Name == name {
			if known = true; c.knownProfiles[i].Effect == effect {
				return i, true
			}
		}
	}
	return -1, known
}
