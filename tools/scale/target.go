package main

// targetFleet is the fleet size that the project is designed for. docs/CAPACITY.md lists the same sizes, and check compares the two.
var targetFleet = map[string]int{
	"gateways":    4400,
	"hosts":       170_000,
	"services":    3000,
	"rate":        2_000_000, // peak transactions per second
	"routes":      56_000,
	"tenants":     430_000,
	"regions":     5,
	"zones":       18,
	"changes":     91_000, // configuration changes a day
	"failures":    180,    // machine failures a day
	"restarts":    23_000, // host restarts or replacements a day
	"control":     35,     // machines of the control plane
	"controldead": 5,      // of these, those that are down in the worst minute
}

// targetBudgets are the limits of what a gateway spends on control work, of the time until a change is in force, and of the latency added
// to a transaction.
var targetBudgets = map[string]float64{
	"core":    0.017,  // CPU seconds per second
	"memory":  256e6,  // bytes
	"network": 6000,   // bytes per second
	"inforce": 4,      // seconds
	"added":   0.0025, // seconds, at the 99th percentile of transactions
}
