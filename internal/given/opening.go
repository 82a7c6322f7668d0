// Package given reads what both programs are given in the same form: the settings at the start, and what other
// gateways tell.
package given

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
	} `json:"limits"`
	Discovery   string `json:"discovery"`
	Obligations struct {
		AskWithin    int64   `json:"askWithin"`
		ColdFrom     float64 `json:"coldFrom"`
		FallMultiple float64 `json:"fallMultiple"`
		TipAfter     int64   `json:"tipAfter"`
		WarmUp       int64   `json:"warmUp"`
	} `json:"obligations"`
	Blend struct {
		Tail         float64 `json:"tail"`
		Availability float64 `json:"availability"`
		FullAtNines  float64 `json:"fullAtNines"`
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
	Specifics struct {
		WarmKeys bool `json:"warmKeys"`
	} `json:"specifics"`
}

var effects = map[string]logic.Effect{
	"idempotent": logic.Idempotent, "deduplicated": logic.Journalled, "at_most_once": logic.NonIdempotent,
}

var reaches = map[string]logic.Reach{"all": logic.AllHosts, "zone": logic.SameZone, "cell": logic.SameCell}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Opened is a gateway's decisions with what a protocol must know to call them. Profiles and Tenants hold the
// places by which the module knows them.
type Opened struct {
	logic.Gateway
	Gateways, Me      int // how many there are, and which this one is
	WarmKeys          bool
	Profiles, Tenants map[string]int
	Effects           []logic.Effect // by profile
	names             []string       // ditto
	marked            map[uint16]int // profiles as gateways name them to each other
	Longest           time.Duration  // the longest hard limit
	ConnIdle          time.Duration  // after which hosts close an idle connection
	ConnectWithin     time.Duration  // a connection not up by then is given up
	start             func(out logic.Doer, now time.Duration, seed uint64, beside time.Duration) logic.Gateway
}

// Start starts the decisions; until beside the process that these replace may still be at work.
func (o *Opened) Start(out logic.Doer, now time.Duration, seed uint64, beside time.Duration) {
	o.Gateway = o.start(out, now, seed, beside)
}

// Read reads the settings in text. Where these say that changes of the list come by themselves, ask is how long a
// gateway may go without asking all the same: on sockets somebody must ask, or no change would ever come.
func Read(text []byte, ask time.Duration) (*Opened, error) {
	var o opening
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	in := &Opened{Gateways: o.Balancers, Me: o.Me, WarmKeys: o.Specifics.WarmKeys, Profiles: map[string]int{}, marked: map[uint16]int{},
		Tenants: map[string]int{}, ConnIdle: micros(o.Limits.ConnIdle), ConnectWithin: micros(o.Limits.ConnectTimeout)}
	profiles := make([]logic.Profile, len(o.Profiles))
	for i, p := range o.Profiles {
		effect, ok := effects[p.Effect]
		if !ok {
			return nil, fmt.Errorf("settings: profile %s: unknown effect %q", p.Name, p.Effect)
		}
		reach, ok := reaches[p.Group]
		if !ok && effect == logic.Journalled {
			return nil, fmt.Errorf("settings: profile %s: unknown group %q", p.Name, p.Group)
		}
		in.Profiles[p.Name] = i
		in.names, in.marked[markOf(p.Name)] = append(in.names, p.Name), i
		in.Effects, in.Longest = append(in.Effects, effect), max(in.Longest, micros(p.HardLimit))
		profiles[i] = logic.Profile{Name: p.Name, Effect: effect, Reach: reach, Window: micros(p.Window),
			Goal: micros(p.ServiceGoal), Revenue: p.Revenue, LateRevenue: p.LateRevenue}
	}
	tenants := make([]logic.Tenant, len(o.Parties))
	for i, t := range o.Parties {
		in.Tenants[t.Name] = i
		tenants[i] = logic.Tenant{Name: t.Name, Quota: t.Quota}
	}
	back, askWithin := time.Duration(0), ask
	if o.Limits.RetryAfter {
		back = micros(o.Limits.MaxRetryAfter)
	}
	nines := 0.0
	if o.Blend.Availability > 0 {
		nines = o.Blend.FullAtNines
	}
	if o.Discovery == "subscribe" {
		askWithin = micros(o.Obligations.AskWithin)
	}
	in.start = func(out logic.Doer, now time.Duration, seed uint64, beside time.Duration) logic.Gateway {
		return logic.New(out, now, seed,
			logic.Place{Gateways: o.Balancers, Me: o.Me, Zone: o.MyZone, Zones: o.Zones}, profiles, tenants,
			logic.ColdRule{From: o.Obligations.ColdFrom, WarmUp: micros(o.Obligations.WarmUp),
				Multiple: o.Obligations.FallMultiple, TipAfter: micros(o.Obligations.TipAfter),
				Beside: beside},
			logic.HopRule{Most: o.Limits.MostHops, CallOff: o.Limits.Cancelling,
				BackMost: back},
			logic.Sources{Probes: o.Report.Via == "probe" && o.Limits.Probes, Tells: o.Limits.MayTell,
				Held: o.Report.Via == "answers" && slices.Contains(o.Report.Fields, "rif") &&
					slices.Contains(o.Report.Fields, "busy"),
				MayProbe:  o.Report.Via == "answers" && o.Limits.Probes,
				AskWithin: askWithin},
			logic.Price{Crossing: o.Prices.CrossZone, ByWork: o.RevenueBy == "work",
				Connections: o.Prices.Connection > 0, Misses: o.Blend.Tail > 0, Nines: nines})
	}
	return in, nil
}
