package config

import (
	"encoding/json"
	"fmt"
	"slices"
)

// fields are the figures of a load report that the decisions know.
var fields = []string{"rif", "q", "busy", "lat_ms", "rate", "fail_rate"}

// ofItsOwn tells whether settings are of the shape in which each client process has a gateway of its own: gateways are many
// and learn of each other by what hosts say in answers. It is told by limits.secondCopies, which that shape bars; settings
// without the key are of the shape with a pool of gateways.
func (o *opening) ofItsOwn() bool { return o.Limits.SecondCopies != nil && !*o.Limits.SecondCopies }

// vias are the ways in which hosts report their load; settings without the key have none.
var vias = []string{"answers", "probe", "none", ""}

// CheckSettings refuses settings that no deployment can mean, or that contradict each other, and names the key. peers are the other
// gateways' addresses as the program is told them: one that may not tell has none. Each setting is taken by itself: pools may price
// connections and count nines, and gateways may tell each other where second copies are barred.
func CheckSettings(text []byte, peers int) error {
	var o opening
	if err := json.Unmarshal(text, &o); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	unknown := slices.IndexFunc(o.Report.Fields, func(f string) bool { return !slices.Contains(fields, f) })
	for _, rule := range []struct {
		broken   bool
		key, why string
	}{
		{o.Balancers < 1, "balancers", "there is at least this one"},
		{o.Me < 0 || o.Me >= o.Balancers, "me", "not a number among the gateways"},
		{unknown >= 0, "report.fields", "a figure that is not known"},
		{o.Limits.Streams < 0, "limits.streamsPerConn", "below zero"},
		{o.Prices.Connection < 0, "prices.connection", "below zero"},
		{o.Blend.Availability < 0, "blend.availability", "below zero"},
		{o.Blend.Availability > 0 && o.Blend.FullAtNines == nil, "blend.fullAtNines", "needed where blend.availability is given"},
		{!o.Limits.MayTell && peers > 0, "peers", "limits.mayTell says that gateways have no way to tell each other"},
		{!slices.Contains(vias, o.Report.Via), "report.via", "a way that is not known"},
	} {
		if rule.broken {
			return fmt.Errorf("settings: %s: %s", rule.key, rule.why)
		}
	}
	return nil
}
