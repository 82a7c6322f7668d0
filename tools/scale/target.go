package main

// targetFleet is the fleet that the operators aim at. The page's table says the same; check compares them.
var targetFleet = map[string]int{
	"gateways":    4400,
	"hosts":       170_000,
	"services":    3000,
	"rate":        2_000_000, // transactions a second at the peak
	"routes":      56_000,
	"tenants":     430_000,
	"regions":     5,
	"zones":       18,
	"changes":     91_000, // of configuration a day
	"failures":    180,    // of machines a day
	"restarts":    23_000, // of hosts, or their replacements, a day
	"control":     35,     // machines
	"controldead": 5,      // of these, in the worst minute
}

// targetBudgets are what a gateway may spend for control, the time in which a change is in force and what may be added to a transaction;
// seconds, bytes.
var targetBudgets = map[string]float64{
	"core":    0.017,  // seconds of a core a second
	"memory":  256e6,  // bytes
	"network": 6000,   // bytes a second
	"inforce": 4,      // seconds
	"added":   0.0025, // seconds, to 99 in 100 transactions
}
