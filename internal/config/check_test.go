package config_test

import (
	"fmt"
	"strings"

	"spanmux/internal/config"
)

const (
	poolSettings = `{"balancers":4,"me":1,"limits":{"secondCopies":true,"mayTell":true,"probes":true,"streamsPerConn":1},` +
		`"report":{"via":"probe","fields":["rif","q"]},"blend":{"whole":0.6},"prices":{"connection":0.0}}`
	perClientSettings = `{"balancers":300,"me":1,"limits":{"secondCopies":false,"mayTell":false,"probes":true,"streamsPerConn":100},` +
		`"report":{"via":"answers","fields":["busy","rif"]},"prices":{"connection":0.05},` +
		`"blend":{"availability":0.2,"fullAtNines":2.0}}`
	withoutPeersSettings = `{"balancers":36,"me":1,"limits":{"secondCopies":true,"mayTell":false,"probes":false,"streamsPerConn":1,"responseRoom":7},` +
		`"prices":{"connection":0.0,"handshake":0.02},"obligations":{"closeOnDrainWithin":500000,"budgetError":2000000,` +
		`"startError":0,"onlyDrainingBinds":true}}`
)

// Each setting is checked by itself: a pool of gateways may price connections, set an availability target, multiplex connections and have a
// retry budget, and gateways may exchange peer messages, or probe hosts, where limits.secondCopies is false. An earlier check derived the
// kind of deployment from limits.secondCopies and rejected all of these, so that no gateway would have started at three deployments.
func ExampleCheckSettings() {
	check := func(settings string, peers int, change ...string) {
		text := strings.NewReplacer(change...).Replace(settings)
		fmt.Printf("%s (%d peers): %v\n", strings.Join(change, " to "), peers, config.CheckSettings([]byte(text), peers))
	}
	check(poolSettings, 4)
	check(perClientSettings, 0)
	check(withoutPeersSettings, 0)
	check(`{"balancers":1}`, 0)
	check(poolSettings, 4, `"connection":0.0`, `"connection":0.05`)
	check(poolSettings, 4, `"whole":0.6`, `"availability":0.2,"fullAtNines":2`)
	check(poolSettings, 4, `"streamsPerConn":1`, `"streamsPerConn":100`)
	check(poolSettings, 4, `"secondCopies":true`, `"secondCopies":false`)
	check(perClientSettings, 300, `"mayTell":false`, `"mayTell":true`)
	check(perClientSettings, 0, `answers`, `probe`)
	check(perClientSettings, 300)
	check(withoutPeersSettings, 3)
	check(perClientSettings, 0, `answers`, `rumour`)
	check(perClientSettings, 0, `,"fullAtNines":2.0`, ``)
	check(perClientSettings, 0, `"busy"`, `"load"`)
	check(perClientSettings, 0, `"me":1`, `"me":300`)
	check(poolSettings, 4, `"balancers":4`, `"balancers":0`)
	check(poolSettings, 4, `"streamsPerConn":1`, `"streamsPerConn":-1`)
	check(poolSettings, 4, `"connection":0.0`, `"connection":-0.1`)
	// Output:
	// (4 peers): <nil>
	//  (0 peers): <nil>
	//  (0 peers): <nil>
	//  (0 peers): <nil>
	// "connection":0.0 to "connection":0.05 (4 peers): <nil>
	// "whole":0.6 to "availability":0.2,"fullAtNines":2 (4 peers): <nil>
	// "streamsPerConn":1 to "streamsPerConn":100 (4 peers): <nil>
	// "secondCopies":true to "secondCopies":false (4 peers): <nil>
	// "mayTell":false to "mayTell":true (300 peers): <nil>
	// answers to probe (0 peers): <nil>
	//  (300 peers): settings: peers: not allowed without limits.mayTell
	//  (3 peers): settings: peers: not allowed without limits.mayTell
	// answers to rumour (0 peers): settings: report.via: unknown value
	// ,"fullAtNines":2.0 to  (0 peers): settings: blend.fullAtNines: required with blend.availability
	// "busy" to "load" (0 peers): settings: report.fields: unknown field
	// "me":1 to "me":300 (0 peers): settings: me: not an index below balancers
	// "balancers":4 to "balancers":0 (4 peers): settings: balancers: must be at least 1
	// "streamsPerConn":1 to "streamsPerConn":-1 (4 peers): settings: limits.streamsPerConn: negative
	// "connection":0.0 to "connection":-0.1 (4 peers): settings: prices.connection: negative
}

// Truncated settings are rejected.
func ExampleCheckSettings_truncated() {
	fmt.Println(config.CheckSettings([]byte(poolSettings[:9]), 4))
	// Output: settings: unexpected end of JSON input
}

// The three settings of a retry budget are required together, and fullAtNines is positive: the error names the key at fault.
func ExampleParse_retryBudget() {
	for _, rule := range []string{
		`"spareAttempts":10,"resendRatio":0.05,"ratioSpan":5000000`, `"spareAttempts":0,"resendRatio":0,"ratioSpan":1`, ``,
		`"spareAttempts":-1,"resendRatio":0.05,"ratioSpan":5000000`, `"spareAttempts":10,"resendRatio":-0.05,"ratioSpan":5000000`,
		`"spareAttempts":10,"resendRatio":0.05,"ratioSpan":0`, `"spareAttempts":10,"resendRatio":0.05`, `"ratioSpan":5000000`,
		`"spareAttempts":1e9,"resendRatio":0.05,"ratioSpan":5000000`, `"spareAttempts":10,"resendRatio":"5%","ratioSpan":5000000`,
	} {
		_, err := config.Parse([]byte(`{"balancers":1,"obligations":{`+rule+`}}`), 0)
		fmt.Printf("%s: %v\n", rule, err)
	}
	for _, blend := range []string{`"availability":0.3,"fullAtNines":0`, `"fullAtNines":-1`, `"availability":0.3,"fullAtNines":21`} {
		_, err := config.Parse([]byte(`{"balancers":1,"blend":{`+blend+`}}`), 0)
		fmt.Printf("%s: %v\n", blend, err)
	}
	// Output:
	// "spareAttempts":10,"resendRatio":0.05,"ratioSpan":5000000: <nil>
	// "spareAttempts":0,"resendRatio":0,"ratioSpan":1: <nil>
	// : <nil>
	// "spareAttempts":-1,"resendRatio":0.05,"ratioSpan":5000000: settings: obligations.spareAttempts: missing or out of range
	// "spareAttempts":10,"resendRatio":-0.05,"ratioSpan":5000000: settings: obligations.resendRatio: missing or out of range
	// "spareAttempts":10,"resendRatio":0.05,"ratioSpan":0: settings: obligations.ratioSpan: missing or out of range
	// "spareAttempts":10,"resendRatio":0.05: settings: obligations.ratioSpan: missing or out of range
	// "ratioSpan":5000000: settings: obligations.spareAttempts: missing or out of range
	// "spareAttempts":1e9,"resendRatio":0.05,"ratioSpan":5000000: settings: obligations.spareAttempts: missing or out of range
	// "spareAttempts":10,"resendRatio":"5%","ratioSpan":5000000: settings: json: cannot unmarshal string into Go struct field .obligations.resendRatio of type float64
	// "availability":0.3,"fullAtNines":0: settings: blend.fullAtNines: 0 is out of range
	// "fullAtNines":-1: settings: blend.fullAtNines: -1 is out of range
	// "availability":0.3,"fullAtNines":21: settings: blend.fullAtNines: 21 is out of range
}
