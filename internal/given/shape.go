package given

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

// Check refuses settings that no deployment can mean, or that mix the two shapes, and names the key. peers are the other
// gateways' addresses as the program is told them: one that may not tell has none.
func Check(text []byte, peers int) error {
	var o opening
	if err := json.Unmarshal(text, &o); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	unknown := slices.IndexFunc(o.Report.Fields, func(f string) bool { return !slices.Contains(fields, f) })
	own := o.ofItsOwn()
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
		{o.Blend.Availability > 0 && o.Blend.FullAtNines <= 0, "blend.fullAtNines", "needed where blend.availability is given"},
		{own && o.Limits.MayTell, "limits.mayTell", "gateways of client processes have no way to tell each other"},
		{own && peers > 0, "peers", "gateways of client processes have no way to tell each other"},
		{own && o.Report.Via == "probe", "report.via", "gateways of client processes learn of load in answers"},
		{!own && o.Prices.Connection > 0, "prices.connection", "a pool of gateways keeps its connections: limits.secondCopies says pool"},
		{!own && o.Blend.Availability > 0, "blend.availability", "not for a pool of gateways: limits.secondCopies says pool"},
		{!own && o.Limits.Streams > 1, "limits.streamsPerConn", "a pool's connections carry one transaction: limits.secondCopies says pool"},
	} {
		if rule.broken {
			return fmt.Errorf("settings: %s: %s", rule.key, rule.why)
		}
	}
	return nil
}
