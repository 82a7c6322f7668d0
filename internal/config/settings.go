// Package config parses and checks the settings of a gateway, and encodes and decodes the messages that gateways send each other. The
// gateway program and the simulator's adapter share both formats.
package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"spanmux/logic"
)

// settings is the JSON object with a gateway's settings; other keys are ignored.
type settings struct {
	GatewayCount int      `json:"balancers"`
	GatewayIndex int      `json:"me"`
	MyZone       string   `json:"myZone"`
	Zones        []string `json:"dcs"`
	Profiles     []struct {
		Name        string  `json:"name"`
		Effect      string  `json:"effect"`
		DedupScope  string  `json:"group"`
		DedupWindow int64   `json:"window"`
		HardLimit   int64   `json:"hardLimit"`
		ServiceGoal int64   `json:"serviceGoal"`
		Revenue     float64 `json:"revenue"`
		LateRevenue float64 `json:"lateRevenue"`
	} `json:"profiles"`
	Tenants []struct {
		Name           string  `json:"name"`
		QuotaPerSecond float64 `json:"quotaRps"`
	} `json:"parties"`
	Limits struct {
		Cancelling           bool  `json:"cancelling"`
		PeerMessages         bool  `json:"mayTell"`
		SecondCopies         *bool `json:"secondCopies"`
		StreamsPerConn       int   `json:"streamsPerConn"`
		MaxHops              int   `json:"mostHops"`
		Probes               bool  `json:"probes"`
		RetryAfter           bool  `json:"retryAfter"`
		MaxRetryAfter        int64 `json:"maxRetryAfter"`
		IdleConnTimeout      int64 `json:"connIdle"`
		ConnectTimeout       int64 `json:"connectTimeout"`
		MaxBufferedResponses *int  `json:"responseRoom"`
	} `json:"limits"`
	Discovery   string `json:"discovery"`
	Obligations struct {
		MaxListPollInterval     int64   `json:"askWithin"`
		InitialCapacityFraction float64 `json:"coldFrom"`
		OverloadMultiple        float64 `json:"fallMultiple"`
		OverloadDuration        int64   `json:"tipAfter"`
		DrainGrace              int64   `json:"drainGrace"`
		WarmUp                  int64   `json:"warmUp"`
		CloseOnDrainTimeout     int64   `json:"closeOnDrainWithin"`
		BudgetTolerance         int64   `json:"budgetError"`
		StartTimeTolerance      int64   `json:"startError"`
		OnlyDrainingBinds       bool    `json:"onlyDrainingBinds"`

		BaseRetries           *float64 `json:"spareAttempts"`
		RetriesPerTransaction *float64 `json:"resendRatio"`
		RetryWindow           *int64   `json:"ratioSpan"`
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
	RevenueBy     string `json:"revenueBy"`
	CapacityHints string `json:"weights"`
	Specifics     struct {
		KeyAffinity bool `json:"warmKeys"`
	} `json:"specifics"`
}

// effectsByName has the values of a profile's effect.
var effectsByName = map[string]logic.Effect{
	"idempotent": logic.Idempotent, "deduplicated": logic.Deduplicated, "at_most_once": logic.NonIdempotent,
}

// capacityHintsByName has the values of weights: what the capacity hints in the host list mean. Without the key the hints are ignored.
var capacityHintsByName = map[string]logic.CapacityHintKind{
	"nominal": logic.NominalCapacity, "rough": logic.NominalCapacity, "live": logic.LiveCapacity,
}

// dedupScopesByName has the values of a profile's group: which hosts share the record of deduplicated requests.
var dedupScopesByName = map[string]logic.DedupScope{"all": logic.DedupAllHosts, "zone": logic.DedupSameZone, "cell": logic.DedupSameCell}

// microseconds converts a duration setting, which is in microseconds.
func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// ConfiguredCore is the decision core of one gateway, with the settings that the code around the core needs to call it.
type ConfiguredCore struct {
	logic.Core
	GatewayCount, GatewayIndex    int            // how many gateways there are, and the index of this one
	KeyAffinity                   bool           // hosts keep recently used objects warm, so the core gets the object's hash
	ProfileIndexes, TenantIndexes map[string]int // by name, of those in force: the indexes by which the core knows them
	MaxHardLimit                  time.Duration  // the longest hard limit of any profile in force
	IdleConnTimeout               time.Duration  // after which hosts close an idle connection
	ConnectTimeout                time.Duration  // for establishing a connection to a host
	HostListPushed                bool           // discovery pushes list changes; each counts as known from then on, whether or not it was received
	DrainGrace                    time.Duration  // after a host drains or leaves, in which hops that reach it are not a fault
	listPollInterval              time.Duration  // the argument of Parse
	topology                      logic.Topology
	gatewayPerClient              bool            // see settings.gatewayPerClient
	knownProfiles                 []logic.Profile // by index: all that were in force since the start
	servedUntil                   []time.Duration // by index: until when a removed profile is still served, 0 for one in force
	profileIndexByHash            map[uint16]int  // by the hash that identifies a profile in peer messages
	newCore                       func(executor logic.Executor, now time.Duration, seed uint64, predecessorActiveUntil time.Duration) logic.Core
}

// Start creates the decision core. Until predecessorActiveUntil the process that this one replaces may still be sending hops.
func (c *ConfiguredCore) Start(executor logic.Executor, now time.Duration, seed uint64, predecessorActiveUntil time.Duration) {
	c.Core = c.newCore(executor, now, seed, predecessorActiveUntil)
}

// reloadableSettings are the settings that may change while the gateway runs.
type reloadableSettings struct {
	profiles       []logic.Profile
	maxHardLimit   time.Duration
	drainGrace     time.Duration
	hostListPushed bool
	tenants        []logic.Tenant
	coldHosts      logic.ColdHostRule
	drain          logic.DrainRule
	hops           logic.HopRule
	sources        logic.InformationSources
	costs          logic.CostModel
}

// retryBudget parses the three settings of the retry budget. They are set together or not at all: if one is missing it was more likely
// lost than left out on purpose.
func (s *settings) retryBudget() (logic.RetryBudget, error) {
	obligations := s.Obligations
	if obligations.BaseRetries == nil && obligations.RetriesPerTransaction == nil && obligations.RetryWindow == nil {
		return logic.RetryBudget{}, nil
	}
	for _, setting := range []struct {
		key     string
		invalid bool
	}{
		{"spareAttempts", obligations.BaseRetries == nil || *obligations.BaseRetries < 0 || *obligations.BaseRetries > maxHopsPerTransaction},
		{"resendRatio", obligations.RetriesPerTransaction == nil || *obligations.RetriesPerTransaction < 0 ||
			*obligations.RetriesPerTransaction > maxHopsPerTransaction},
		{"ratioSpan", obligations.RetryWindow == nil || *obligations.RetryWindow <= 0 || *obligations.RetryWindow > maxDurationSetting.Microseconds()},
	} {
		if setting.invalid {
			return logic.RetryBudget{}, fmt.Errorf("settings: obligations.%s: missing or out of range", setting.key)
		}
	}
	return logic.RetryBudget{BaseRetries: *obligations.BaseRetries, RetriesPerTransaction: *obligations.RetriesPerTransaction,
		Window: microseconds(*obligations.RetryWindow)}, nil
}

// reloadable checks and converts the settings that may change while the gateway runs; see Parse for listPollInterval.
func (s *settings) reloadable(listPollInterval time.Duration) (result reloadableSettings, err error) {
	for _, profile := range s.Profiles {
		effect, ok := effectsByName[profile.Effect]
		if !ok {
			return result, fmt.Errorf("settings: profile %s: unknown effect %q", profile.Name, profile.Effect)
		}
		scope, ok := dedupScopesByName[profile.DedupScope]
		if !ok && effect == logic.Deduplicated {
			return result, fmt.Errorf("settings: profile %s: unknown group %q", profile.Name, profile.DedupScope)
		}
		result.maxHardLimit = max(result.maxHardLimit, microseconds(profile.HardLimit))
		result.profiles = append(result.profiles, logic.Profile{Name: profile.Name, Effect: effect, DedupScope: scope,
			DedupWindow: microseconds(profile.DedupWindow),
			ServiceGoal: microseconds(profile.ServiceGoal), Revenue: profile.Revenue, LateRevenueFraction: profile.LateRevenue})
	}
	for _, tenant := range s.Tenants {
		result.tenants = append(result.tenants, logic.Tenant{Name: tenant.Name, QuotaPerSecond: tenant.QuotaPerSecond})
	}
	if s.Limits.RetryAfter {
		result.hops.MaxRetryAfter = microseconds(s.Limits.MaxRetryAfter)
	}
	result.hops.MaxHops, result.hops.CallOffAllowed = s.Limits.MaxHops, s.Limits.Cancelling
	if nines := s.Blend.FullAtNines; nines != nil && (*nines <= 0 || *nines > maxAvailabilityNines) {
		return result, fmt.Errorf("settings: blend.fullAtNines: %g is out of range", *nines)
	} else if nines != nil && s.Blend.Availability > 0 {
		result.costs.AvailabilityNines = *nines
	}
	if result.hops.RetryBudget, err = s.retryBudget(); err != nil {
		return result, err
	}
	result.costs.CrossZoneHop, result.costs.RevenueByWork = s.Prices.CrossZone, s.RevenueBy == "work"
	result.costs.OpenConnections, result.costs.MissedGoals = s.Prices.Connection > 0, s.Blend.Tail > 0
	result.coldHosts = logic.ColdHostRule{InitialCapacityFraction: s.Obligations.InitialCapacityFraction,
		WarmUpDuration:   microseconds(s.Obligations.WarmUp),
		OverloadMultiple: s.Obligations.OverloadMultiple, OverloadDuration: microseconds(s.Obligations.OverloadDuration)}
	closeOnDrainTimeout := time.Duration(0)
	for _, setting := range []struct {
		key    string
		value  int64
		target *time.Duration
	}{
		{"closeOnDrainWithin", s.Obligations.CloseOnDrainTimeout, &closeOnDrainTimeout},
		{"budgetError", s.Obligations.BudgetTolerance, &result.hops.BudgetTolerance},
		{"startError", s.Obligations.StartTimeTolerance, &result.coldHosts.StartTimeTolerance},
	} {
		if setting.value < 0 || setting.value > maxDurationSetting.Microseconds() {
			return result, fmt.Errorf("settings: obligations.%s: %d is out of range", setting.key, setting.value)
		}
		*setting.target = microseconds(setting.value)
	}
	// With real connections, where listPollInterval is set, the address of a host that has left the list is not known any more, so that
	// nothing could be sent to it.
	result.drain = logic.DrainRule{CloseIdleConnections: closeOnDrainTimeout > 0,
		AllowGoneHosts: s.Obligations.OnlyDrainingBinds && listPollInterval == 0}
	if maxResponses := s.Limits.MaxBufferedResponses; maxResponses != nil {
		if result.hops.MaxBufferedResponses = *maxResponses; result.hops.MaxBufferedResponses < 1 {
			return result, fmt.Errorf("settings: limits.responseRoom: %d is out of range", result.hops.MaxBufferedResponses)
		}
	}
	result.sources = logic.InformationSources{ProbesReportLoad: s.Report.Via == "probe" && s.Limits.Probes &&
		slices.Contains(s.Report.Fields, "rif"), PeersShareInFlight: s.Limits.PeerMessages,
		ResponsesReportInFlight: s.Report.Via == "answers" && slices.Contains(s.Report.Fields, "rif") &&
			slices.Contains(s.Report.Fields, "busy"),
		ExtraProbesAllowed:  s.Report.Via == "answers" && s.Limits.Probes,
		CapacityHints:       capacityHintsByName[s.CapacityHints],
		ResponsesReportLoad: s.Report.Via == "answers",
		MaxListPollInterval: listPollInterval}
	result.drainGrace, result.hostListPushed = microseconds(s.Obligations.DrainGrace), s.Discovery != "subscribe"
	if !result.hostListPushed {
		result.sources.MaxListPollInterval = microseconds(s.Obligations.MaxListPollInterval)
	}
	return result, nil
}

// Parse parses the settings in text. Where these say that changes of the host list are pushed, listPollInterval is the longest interval
// between requests for the list all the same: over HTTP some call has to be open, or no change would ever arrive. It is 0 where changes
// do come by themselves, as in the simulator.
func Parse(text []byte, listPollInterval time.Duration) (*ConfiguredCore, error) {
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	reloadable, err := s.reloadable(listPollInterval)
	if err != nil {
		return nil, err
	}
	core := &ConfiguredCore{GatewayCount: s.GatewayCount, GatewayIndex: s.GatewayIndex, KeyAffinity: s.Specifics.KeyAffinity,
		listPollInterval: listPollInterval, gatewayPerClient: s.gatewayPerClient(),
		IdleConnTimeout: microseconds(s.Limits.IdleConnTimeout), ConnectTimeout: microseconds(s.Limits.ConnectTimeout),
		topology: logic.Topology{GatewayCount: s.GatewayCount, GatewayIndex: s.GatewayIndex, Zone: s.MyZone, Zones: s.Zones}}
	core.activate(0, &reloadable)
	core.newCore = func(executor logic.Executor, now time.Duration, seed uint64, predecessorActiveUntil time.Duration) logic.Core {
		coldHosts := reloadable.coldHosts
		coldHosts.PredecessorActiveUntil = predecessorActiveUntil
		return logic.New(executor, now, seed, core.topology, core.knownProfiles, reloadable.tenants, coldHosts,
			reloadable.drain, reloadable.hops, reloadable.sources, reloadable.costs)
	}
	return core, nil
}
