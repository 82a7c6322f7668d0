// Package given reads what both programs are given in the same form: the settings at the start, and what other
// gateways tell.
package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"spanmux/logic"
)

// opening is the settings object with which a gateway starts; what it holds beyond this is disregarded.
type opening struct {
	Balancers int      `json:"balancers"`
	Me        int      `json:"me"`
	MyZone    string   `json:"myZone"`
	Zones     []string `json:"dcs"`
	Profiles  []struct {
		Name        string  `json:"name"`
		Effect      string  `json:"effect"`
		Group       string  `json:"group"`
		Window      int64   `json:"window"`
		HardLimit   int64   `json:"hardLimit"`
		ServiceGoal int64   `json:"serviceGoal"`
		Revenue     float64 `json:"revenue"`
		LateRevenue float64 `json:"lateRevenue"`
	} `json:"profiles"`
	Parties []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quotaRps"`
	} `json:"parties"`
	Limits struct {
		Cancelling     bool  `json:"cancelling"`
		MayTell        bool  `json:"mayTell"`
		SecondCopies   *bool `json:"secondCopies"`
		Streams        int   `json:"streamsPerConn"`
		MostHops       int   `json:"mostHops"`
		Probes         bool  `json:"probes"`
		RetryAfter     bool  `json:"retryAfter"`
		MaxRetryAfter  int64 `json:"maxRetryAfter"`
		ConnIdle       int64 `json:"connIdle"`
		ConnectTimeout int64 `json:"connectTimeout"`
		ResponseRoom   *int  `json:"responseRoom"`
	} `json:"limits"`
	Discovery   string `json:"discovery"`
	Obligations struct {
		AskWithin    int64   `json:"askWithin"`
		ColdFrom     float64 `json:"coldFrom"`
		FallMultiple float64 `json:"fallMultiple"`
		TipAfter     int64   `json:"tipAfter"`
		DrainGrace   int64   `json:"drainGrace"`
		WarmUp       int64   `json:"warmUp"`
		CloseWithin  int64   `json:"closeOnDrainWithin"`
		BudgetError  int64   `json:"budgetError"`
		StartError   int64   `json:"startError"`
		OnlyDrains   bool    `json:"onlyDrainingBinds"`

		SpareAttempts *float64 `json:"spareAttempts"`
		ResendRatio   *float64 `json:"resendRatio"`
		RatioSpan     *int64   `json:"ratioSpan"`
	} `json:"obligations"`
	Blend struct {
		Tail         float64  `json:"tail"`
		Availability float64  `json:"availability"`
		FullAtNines  *float64 `json:"fullAtNines"`
	} `json:"blend"`
	Prices struct {
		CrossZone  float64 `json:"crossZone"`
		Connection float64 `json:"connection"`
	} `json:"prices"`
	Report struct {
		Via    string   `json:"via"`
		Fields []string `json:"fields"`
	} `json:"report"`
	RevenueBy string `json:"revenueBy"`
	Weights   string `json:"weights"`
	Specifics struct {
		WarmKeys bool `json:"warmKeys"`
	} `json:"specifics"`
}

var effects = map[string]logic.Effect{
	"idempotent": logic.Idempotent, "deduplicated": logic.Journalled, "at_most_once": logic.NonIdempotent,
}

// sizes is what a list's figure for a host stands for; where the settings say nothing of it, nothing is read from it.
var sizes = map[string]logic.CapacityHintKind{"nominal": logic.NominalCapacity, "rough": logic.NominalCapacity, "live": logic.LiveCapacity}

var reaches = map[string]logic.DedupScope{"all": logic.DedupAllHosts, "zone": logic.DedupSameZone, "cell": logic.DedupSameCell}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Instance is a gateway's decisions with what a protocol must know to call them. Profiles and Tenants hold the
// places by which the module knows them; retune.go says how these change.
type Instance struct {
	logic.Core
	GatewayCount, GatewayIndex    int // how many there are, and which this one is
	KeyAffinity                   bool
	ProfileIndexes, TenantIndexes map[string]int
	MaxHardLimit                  time.Duration // the longest hard limit
	IdleConnTimeout               time.Duration // after which hosts close an idle connection
	ConnectTimeout                time.Duration // a connection not up by then is given up
	HostListPushed                bool          // changes of the list come by themselves, and count as told whether or not they are heard
	DrainGrace                    time.Duration // for what is sent to a host that drains or is gone
	ask                           time.Duration
	place                         logic.Topology
	own                           bool // of the shape with a gateway for each client process
	known                         []logic.Profile
	late                          []time.Duration // by place, of those not in force: until when what comes for them is served
	marked                        map[uint16]int  // profiles as gateways name them to each other
	start                         func(out logic.Executor, now time.Duration, seed uint64, beside time.Duration) logic.Core
}

// Start starts the decisions; until beside the process that these replace may still be at work.
func (o *Instance) Start(out logic.Executor, now time.Duration, seed uint64, beside time.Duration) {
	o.Core = o.start(out, now, seed, beside)
}

// rules is what settings say that may change while a gateway is at work.
type rules struct {
	profiles []logic.Profile
	longest  time.Duration
	grace    time.Duration
	pushed   bool
	tenants  []logic.Tenant
	cold     logic.ColdHostRule
	drains   logic.DrainRule
	hops     logic.HopRule
	from     logic.InformationSources
	price    logic.CostModel
}

// retryBudget reads the three settings of the budget, which go together: one alone was more likely lost on the way than meant.
func (o *opening) retryBudget() (logic.RetryBudget, error) {
	rule := o.Obligations
	if rule.SpareAttempts == nil && rule.ResendRatio == nil && rule.RatioSpan == nil {
		return logic.RetryBudget{}, nil
	}
	for _, part := range []struct {
		key    string
		broken bool
	}{
		{"spareAttempts", rule.SpareAttempts == nil || *rule.SpareAttempts < 0 || *rule.SpareAttempts > hopsMost},
		{"resendRatio", rule.ResendRatio == nil || *rule.ResendRatio < 0 || *rule.ResendRatio > hopsMost},
		{"ratioSpan", rule.RatioSpan == nil || *rule.RatioSpan <= 0 || *rule.RatioSpan > longestMost.Microseconds()},
	} {
		if part.broken {
			return logic.RetryBudget{}, fmt.Errorf("settings: obligations.%s: missing or makes no sense", part.key)
		}
	}
	return logic.RetryBudget{BaseRetries: *rule.SpareAttempts, RetriesPerTransaction: *rule.ResendRatio, Window: micros(*rule.RatioSpan)}, nil
}

func (o *opening) rules(ask time.Duration) (r rules, err error) {
	for _, p := range o.Profiles {
		effect, ok := effects[p.Effect]
		if !ok {
			return r, fmt.Errorf("settings: profile %s: unknown effect %q", p.Name, p.Effect)
		}
		reach, ok := reaches[p.Group]
		if !ok && effect == logic.Journalled {
			return r, fmt.Errorf("settings: profile %s: unknown group %q", p.Name, p.Group)
		}
		r.longest = max(r.longest, micros(p.HardLimit))
		r.profiles = append(r.profiles, logic.Profile{Name: p.Name, Effect: effect, DedupScope: reach, DedupWindow: micros(p.Window),
			ServiceGoal: micros(p.ServiceGoal), Revenue: p.Revenue, LateRevenueFraction: p.LateRevenue})
	}
	for _, t := range o.Parties {
		r.tenants = append(r.tenants, logic.Tenant{Name: t.Name, QuotaPerSecond: t.Quota})
	}
	if o.Limits.RetryAfter {
		r.hops.MaxRetryAfter = micros(o.Limits.MaxRetryAfter)
	}
	r.hops.MaxHops, r.hops.CallOff = o.Limits.MostHops, o.Limits.Cancelling
	if nines := o.Blend.FullAtNines; nines != nil && (*nines <= 0 || *nines > ninesMost) {
		return r, fmt.Errorf("settings: blend.fullAtNines: %g", *nines)
	} else if nines != nil && o.Blend.Availability > 0 {
		r.price.AvailabilityNines = *nines
	}
	if r.hops.RetryBudget, err = o.retryBudget(); err != nil {
		return r, err
	}
	r.price.CrossZoneHop, r.price.RevenueByWork = o.Prices.CrossZone, o.RevenueBy == "work"
	r.price.OpenConnections, r.price.MissedGoals = o.Prices.Connection > 0, o.Blend.Tail > 0
	r.cold = logic.ColdHostRule{InitialCapacityFraction: o.Obligations.ColdFrom, WarmUpDuration: micros(o.Obligations.WarmUp),
		OverloadMultiple: o.Obligations.FallMultiple, OverloadDuration: micros(o.Obligations.TipAfter)}
	closeWithin := time.Duration(0)
	for _, optional := range []struct {
		key   string
		given int64
		to    *time.Duration
	}{
		{"closeOnDrainWithin", o.Obligations.CloseWithin, &closeWithin},
		{"budgetError", o.Obligations.BudgetError, &r.hops.BudgetTolerance},
		{"startError", o.Obligations.StartError, &r.cold.StartTimeTolerance},
	} {
		if optional.given < 0 || optional.given > longestMost.Microseconds() {
			return r, fmt.Errorf("settings: obligations.%s: %d", optional.key, optional.given)
		}
		*optional.to = micros(optional.given)
	}
	// On sockets, where ask is given, a host's address goes with the list, and nothing could be sent to one that is merely gone.
	r.drains = logic.DrainRule{CloseIdleConnections: closeWithin > 0, AllowGoneHosts: o.Obligations.OnlyDrains && ask == 0}
	if room := o.Limits.ResponseRoom; room != nil {
		if r.hops.MaxBufferedResponses = *room; r.hops.MaxBufferedResponses < 1 {
			return r, fmt.Errorf("settings: limits.responseRoom: %d", r.hops.MaxBufferedResponses)
		}
	}
	r.from = logic.InformationSources{ProbesReportLoad: o.Report.Via == "probe" && o.Limits.Probes &&
		slices.Contains(o.Report.Fields, "rif"), PeersShareInFlight: o.Limits.MayTell,
		ResponsesReportInFlight: o.Report.Via == "answers" && slices.Contains(o.Report.Fields, "rif") &&
			slices.Contains(o.Report.Fields, "busy"),
		ExtraProbesAllowed:  o.Report.Via == "answers" && o.Limits.Probes,
		CapacityHints:       sizes[o.Weights],
		ResponsesReportLoad: o.Report.Via == "answers",
		MaxListPollInterval: ask}
	r.grace, r.pushed = micros(o.Obligations.DrainGrace), o.Discovery != "subscribe"
	if !r.pushed {
		r.from.MaxListPollInterval = micros(o.Obligations.AskWithin)
	}
	return r, nil
}

// Parse reads the settings in text. Where these say that changes of the list come by themselves, ask is how long a
// gateway may go without asking all the same: on sockets somebody must ask, or no change would ever come.
func Parse(text []byte, ask time.Duration) (*Instance, error) {
	var o opening
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r, err := o.rules(ask)
	if err != nil {
		return nil, err
	}
	in := &Instance{GatewayCount: o.Balancers, GatewayIndex: o.Me, KeyAffinity: o.Specifics.WarmKeys, ask: ask, own: o.ofItsOwn(),
		IdleConnTimeout: micros(o.Limits.ConnIdle), ConnectTimeout: micros(o.Limits.ConnectTimeout),
		place: logic.Topology{GatewayCount: o.Balancers, GatewayIndex: o.Me, Zone: o.MyZone, Zones: o.Zones}}
	in.inForce(0, &r)
	in.start = func(out logic.Executor, now time.Duration, seed uint64, beside time.Duration) logic.Core {
		cold := r.cold
		cold.PredecessorActiveUntil = beside
		return logic.New(out, now, seed, in.place, in.known, r.tenants, cold, r.drains, r.hops, r.from, r.price)
	}
	return in, nil
}
