package config

import (
	"encoding/json"
	"fmt"
	"slices"
)

// loadReportFields are the figures of a load report that the decisions know.
var loadReportFields = []string{"rif", "q", "busy", "lat_ms", "rate", "fail_rate"}

// gatewayPerClient tells whether settings are of the shape in which each client process has a gateway of its own: gateways are many
// and learn of each other by what hosts say in answers. It is told by limits.secondCopies, which that shape bars; settings
// without the key are of the shape with a pool of gateways.
func (s *settings) gatewayPerClient() bool {
	return s.Limits.SecondCopies != nil && !*s.Limits.SecondCopies
}

// loadReportChannels are the ways in which hosts report their load; settings without the key have none.
var loadReportChannels = []string{"answers", "probe", "none", ""}

// CheckSettings refuses settings that no deployment can mean, or that contradict each other, and names the key. peers are the other
// gateways' addresses as the program is told them: one that may not tell has none. Each setting is taken by itself: pools may price
// connections and count nines, and gateways may tell each other where second copies are barred.
func CheckSettings(text []byte, peers int) error {
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	unknownField := slices.IndexFunc(s.Report.Fields, func(field string) bool { return !slices.Contains(loadReportFields, field) })
	for _, rule := range []struct {
		invalid     bool
		key, reason string
	}{
		{s.GatewayCount < 1, "balancers", "there is at least this one"},
		{s.GatewayIndex < 0 || s.GatewayIndex >= s.GatewayCount, "me", "not a number among the gateways"},
		{unknownField >= 0, "report.fields", "a figure that is not known"},
		{s.Limits.StreamsPerConn < 0, "limits.streamsPerConn", "below zero"},
		{s.Prices.Connection < 0, "prices.connection", "below zero"},
		{s.Blend.Availability < 0, "blend.availability", "below zero"},
		{s.Blend.Availability > 0 && s.Blend.FullAtNines == nil, "blend.fullAtNines", "needed where blend.availability is given"},
		{!s.Limits.PeerMessages && peers > 0, "peers", "limits.mayTell says that gateways have no way to tell each other"},
		{!slices.Contains(loadReportChannels, s.Report.Via), "report.via", "a way that is not known"},
	} {
		if rule.invalid {
			return fmt.Errorf("settings: %s: %s", rule.key, rule.reason)
		}
	}
	return nil
}
