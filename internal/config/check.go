package config

import (
	"encoding/json"
	"fmt"
	"slices"
)

// loadReportFields are the fields of a load report that the settings may name (report.fields).
var loadReportFields = []string{"rif", "q", "busy", "lat_ms", "rate", "fail_rate"}

// gatewayPerClient reports whether each client process has a gateway of its own, as opposed to a pool of gateways that all clients share.
// There are then many gateways, which learn of each other's load only from the load reports in hosts' responses. Such deployments set
// limits.secondCopies to false; settings without the key describe a pool.
func (s *settings) gatewayPerClient() bool {
	return s.Limits.SecondCopies != nil && !*s.Limits.SecondCopies
}

// loadReportChannels are the values of report.via: how hosts report their load. Without the key they don't report it.
var loadReportChannels = []string{"answers", "probe", "none", ""}

// CheckSettings rejects settings that are invalid or contradict each other, with an error that names the key. peerCount is the number of peer
// addresses in the configuration file, which has to be 0 where limits.mayTell is false. Apart from that each setting is checked by itself:
// a pool of gateways may price connections or set an availability target, and gateways may exchange peer messages where
// limits.secondCopies is false.
func CheckSettings(text []byte, peerCount int) error {
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	unknownField := slices.IndexFunc(s.Report.Fields, func(field string) bool { return !slices.Contains(loadReportFields, field) })
	for _, rule := range []struct {
		invalid     bool
		key, reason string
	}{
		{s.GatewayCount < 1, "balancers", "must be at least 1"},
		{s.GatewayIndex < 0 || s.GatewayIndex >= s.GatewayCount, "me", "not an index below balancers"},
		{unknownField >= 0, "report.fields", "unknown field"},
		{s.Limits.StreamsPerConn < 0, "limits.streamsPerConn", "negative"},
		{s.Prices.Connection < 0, "prices.connection", "negative"},
		{s.Blend.Availability < 0, "blend.availability", "negative"},
		{s.Blend.Availability > 0 && s.Blend.FullAtNines == nil, "blend.fullAtNines", "required with blend.availability"},
		{!s.Limits.PeerMessages && peerCount > 0, "peers", "not allowed without limits.mayTell"},
		{!slices.Contains(loadReportChannels, s.Report.Via), "report.via", "unknown value"},
	} {
		if rule.invalid {
			return fmt.Errorf("settings: %s: %s", rule.key, rule.reason)
		}
	}
	return nil
}
