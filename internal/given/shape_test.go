package given_test

import (
	"fmt"
	"strings"

	"spanmux/internal/given"
)

const (
	pool = `{"balancers":4,"me":1,"limits":{"secondCopies":true,"mayTell":true,"probes":true,"streamsPerConn":1},` +
		`"report":{"via":"probe","fields":["rif","q"]},"blend":{"whole":0.6},"prices":{"connection":0.0}}`
	own = `{"balancers":300,"me":1,"limits":{"secondCopies":false,"mayTell":false,"probes":true,"streamsPerConn":100},` +
		`"report":{"via":"answers","fields":["busy","rif"]},"prices":{"connection":0.05},` +
		`"blend":{"availability":0.2,"fullAtNines":2.0}}`
	quiet = `{"balancers":36,"me":1,"limits":{"secondCopies":true,"mayTell":false,"probes":false,"streamsPerConn":1,"responseRoom":7},` +
		`"prices":{"connection":0.0,"handshake":0.02},"obligations":{"closeOnDrainWithin":500000,"budgetError":2000000,` +
		`"startError":0,"onlyDrainingBinds":true}}`
)

// Settings of either shape pass, with what older ones leave out and with a pool that may not tell and prices new connections; a mix is refused by the key that does not fit.
func ExampleCheck() {
	check := func(settings string, peers int, change ...string) {
		text := strings.NewReplacer(change...).Replace(settings)
		fmt.Printf("%s (%d peers): %v\n", strings.Join(change, " to "), peers, given.Check([]byte(text), peers))
	}
	check(pool, 4)
	check(own, 0)
	check(quiet, 0)
	check(`{"balancers":1}`, 0)
	check(pool, 4, `"connection":0.0`, `"connection":0.05`)
	check(pool, 4, `"whole":0.6`, `"availability":0.2,"fullAtNines":2`)
	check(pool, 4, `"streamsPerConn":1`, `"streamsPerConn":100`)
	check(own, 0, `"mayTell":false`, `"mayTell":true`)
	check(own, 300)
	check(own, 0, `answers`, `probe`)
	check(own, 0, `,"fullAtNines":2.0`, ``)
	check(own, 0, `"busy"`, `"load"`)
	check(own, 0, `"me":1`, `"me":300`)
	check(pool, 4, `"balancers":4`, `"balancers":0`)
	// Output:
	// (4 peers): <nil>
	//  (0 peers): <nil>
	//  (0 peers): <nil>
	//  (0 peers): <nil>
	// "connection":0.0 to "connection":0.05 (4 peers): settings: prices.connection: a pool of gateways keeps its connections: limits.secondCopies says pool
	// "whole":0.6 to "availability":0.2,"fullAtNines":2 (4 peers): settings: blend.availability: not for a pool of gateways: limits.secondCopies says pool
	// "streamsPerConn":1 to "streamsPerConn":100 (4 peers): settings: limits.streamsPerConn: a pool's connections carry one transaction: limits.secondCopies says pool
	// "mayTell":false to "mayTell":true (0 peers): settings: limits.mayTell: gateways of client processes have no way to tell each other
	//  (300 peers): settings: peers: gateways of client processes have no way to tell each other
	// answers to probe (0 peers): settings: report.via: gateways of client processes learn of load in answers
	// ,"fullAtNines":2.0 to  (0 peers): settings: blend.fullAtNines: needed where blend.availability is given
	// "busy" to "load" (0 peers): settings: report.fields: a figure that is not known
	// "me":1 to "me":300 (0 peers): settings: me: not a number among the gateways
	// "balancers":4 to "balancers":0 (4 peers): settings: balancers: there is at least this one
}

// What is not an object is refused as well.
func ExampleCheck_torn() {
	fmt.Println(given.Check([]byte(pool[:9]), 4))
	// Output: settings: unexpected end of JSON input
}
