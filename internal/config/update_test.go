package config_test

import (
	"fmt"
	"strings"
	"time"

	"spanmux/internal/config"
	"spanmux/logic"
)

const currentFile = `{"discovery":"127.0.0.1:1","known":{"rev":1},"settings":{"balancers":2,"me":0,"myZone":"a","dcs":["a"],` +
	`"limits":{"mostHops":3,"mayTell":true},"profiles":[` +
	`{"name":"read","effect":"idempotent","serviceGoal":200000,"hardLimit":400000,"revenue":1},` +
	`{"name":"pay","effect":"at_most_once","serviceGoal":200000,"hardLimit":400000,"revenue":1,"note":""}]}}`

// settingsOf returns the settings object of a configuration file.
func settingsOf(file string) []byte {
	_, text, _ := strings.Cut(file, `"settings":`)
	return []byte(strings.TrimSuffix(text, "}"))
}

// An invalid configuration file is rejected as a whole, with an error that names the key at fault.
func ExampleConfiguredCore_ParseUpdate() {
	core, err := config.Parse(settingsOf(currentFile), 0)
	if err != nil {
		panic(err)
	}
	for _, change := range [][2]string{
		{"", ""}, {`"known":{"rev":1},`, ""}, {`"note":""`, `"more":1`}, {`"name":"pay"`, `"name":"buy"`}, {currentFile, ""}, {currentFile, "{}"},
		{currentFile, "[]"}, {"]}}", "]}"}, {`"discovery":"127.0.0.1:1",`, ""}, {`"revenue":1},`, `"revenue":1`}, {`"hardLimit":400000,`, ""},
		{`"mostHops":3,`, ""}, {`,"limits":{"mostHops":3,"mayTell":true}`, ""}, {`"mostHops":3`, `"mostHops":0`}, {`"mostHops":3`, `"mostHops":-1`},
		{`"mostHops":3`, `"mostHops":"3"`}, {`"mostHops":3`, `"mostHops":2.5`}, {`"mostHops":3`, `"mostHops":1000000`},
		{`"hardLimit":400000`, `"hardLimit":0`}, {`"hardLimit":400000`, `"hardLimit":-5`}, {`"hardLimit":400000`, `"hardLimit":NaN`},
		{`"hardLimit":400000`, `"hardLimit":9e15`}, {`"hardLimit":400000`, `"hardLimit":9000000000000000`}, {`"serviceGoal":200000`, `"serviceGoal":null`},
		{`"effect":"idempotent"`, `"effect":"twice"`}, {`"effect":"idempotent"`, `"effect":"deduplicated"`}, {`"name":"pay"`, `"name":"read"`},
		{`"revenue":1`, `"revenue":-1`}, {`"me":0`, `"me":1`}, {`"profiles":[`, `"profiles":[],"was":[`},
	} {
		text := strings.Replace(currentFile, change[0], change[1], 1)
		err := config.CheckNoMissingKeys([]byte(currentFile), []byte(text), "known")
		if err == nil {
			_, err = core.ParseUpdate(settingsOf(text), 2)
		}
		if len(change[0]) == len(currentFile) {
			change[0] = "all"
		}
		fmt.Printf("%s -> %s: %v\n", change[0], change[1], err)
	}
	// Output:
	// -> : <nil>
	// "known":{"rev":1}, -> : <nil>
	// "note":"" -> "more":1: <nil>
	// "name":"pay" -> "name":"buy": <nil>
	// all -> : unexpected end of JSON input
	// all -> {}: .discovery: missing
	// all -> []: : not an object
	// ]}} -> ]}: unexpected end of JSON input
	// "discovery":"127.0.0.1:1", -> : .discovery: missing
	// "revenue":1}, -> "revenue":1: invalid character '{' after object key:value pair
	// "hardLimit":400000, -> : .settings.profiles[0].hardLimit: missing
	// "mostHops":3, -> : .settings.limits.mostHops: missing
	// ,"limits":{"mostHops":3,"mayTell":true} -> : .settings.limits: missing
	// "mostHops":3 -> "mostHops":0: settings: limits.mostHops: 0 is out of range
	// "mostHops":3 -> "mostHops":-1: settings: limits.mostHops: -1 is out of range
	// "mostHops":3 -> "mostHops":"3": settings: json: cannot unmarshal string into Go struct field .limits.mostHops of type int
	// "mostHops":3 -> "mostHops":2.5: settings: json: cannot unmarshal number 2.5 into Go struct field .limits.mostHops of type int
	// "mostHops":3 -> "mostHops":1000000: settings: limits.mostHops: 1000000 is out of range
	// "hardLimit":400000 -> "hardLimit":0: settings: profile "read": invalid hardLimit
	// "hardLimit":400000 -> "hardLimit":-5: settings: profile "read": invalid hardLimit
	// "hardLimit":400000 -> "hardLimit":NaN: invalid character 'N' looking for beginning of value
	// "hardLimit":400000 -> "hardLimit":9e15: settings: json: cannot unmarshal number 9e15 into Go struct field .profiles.hardLimit of type int64
	// "hardLimit":400000 -> "hardLimit":9000000000000000: settings: profile "read": invalid hardLimit
	// "serviceGoal":200000 -> "serviceGoal":null: settings: profile "read": invalid serviceGoal
	// "effect":"idempotent" -> "effect":"twice": settings: profile read: unknown effect "twice"
	// "effect":"idempotent" -> "effect":"deduplicated": settings: profile read: unknown group ""
	// "name":"pay" -> "name":"read": settings: profile "read": invalid name
	// "revenue":1 -> "revenue":-1: settings: profile "read": invalid revenue
	// "me":0 -> "me":1: settings: me: cannot change without a restart
	// "profiles":[ -> "profiles":[],"was":[: settings: profiles: empty
}

// Settings that older files leave out are optional; an invalid value is rejected with an error that names its key.
func ExampleParse() {
	for _, key := range []string{"obligations.closeOnDrainWithin", "obligations.budgetError", "obligations.startError",
		"obligations.onlyDrainingBinds", "limits.responseRoom"} {
		for _, value := range []string{"null", "1", "-1", "9000000000000000", "true", `"2"`} {
			part, name, _ := strings.Cut(key, ".")
			if _, err := config.Parse(fmt.Appendf(nil, `{%q:{%q:%s}}`, part, name, value), 0); err != nil {
				fmt.Println(value, "->", err)
			}
		}
	}
	// Output:
	// -1 -> settings: obligations.closeOnDrainWithin: -1 is out of range
	// 9000000000000000 -> settings: obligations.closeOnDrainWithin: 9000000000000000 is out of range
	// true -> settings: json: cannot unmarshal bool into Go struct field .obligations.closeOnDrainWithin of type int64
	// "2" -> settings: json: cannot unmarshal string into Go struct field .obligations.closeOnDrainWithin of type int64
	// -1 -> settings: obligations.budgetError: -1 is out of range
	// 9000000000000000 -> settings: obligations.budgetError: 9000000000000000 is out of range
	// true -> settings: json: cannot unmarshal bool into Go struct field .obligations.budgetError of type int64
	// "2" -> settings: json: cannot unmarshal string into Go struct field .obligations.budgetError of type int64
	// -1 -> settings: obligations.startError: -1 is out of range
	// 9000000000000000 -> settings: obligations.startError: 9000000000000000 is out of range
	// true -> settings: json: cannot unmarshal bool into Go struct field .obligations.startError of type int64
	// "2" -> settings: json: cannot unmarshal string into Go struct field .obligations.startError of type int64
	// 1 -> settings: json: cannot unmarshal number into Go struct field .obligations.onlyDrainingBinds of type bool
	// -1 -> settings: json: cannot unmarshal number into Go struct field .obligations.onlyDrainingBinds of type bool
	// 9000000000000000 -> settings: json: cannot unmarshal number into Go struct field .obligations.onlyDrainingBinds of type bool
	// "2" -> settings: json: cannot unmarshal string into Go struct field .obligations.onlyDrainingBinds of type bool
	// -1 -> settings: limits.responseRoom: -1 is out of range
	// true -> settings: json: cannot unmarshal bool into Go struct field .limits.responseRoom of type int
	// "2" -> settings: json: cannot unmarshal string into Go struct field .limits.responseRoom of type int
}

// Gateways whose profile indexes differ understand each other: here one of them has had profiles removed and added.
func ExampleConfiguredCore_DecodePeerMessage() {
	sender, _ := config.Parse(settingsOf(currentFile), 0)
	receiver, _ := config.Parse(settingsOf(strings.Replace(currentFile, `"name":"read"`, `"name":"list"`, 1)), 0)
	if update, err := receiver.ParseUpdate(settingsOf(currentFile), 2); err == nil {
		receiver.Core = stubCore{}
		receiver.ApplyUpdate(time.Second, update)
	}
	for _, entry := range []logic.PeerEntry{{Kind: logic.EntryInFlight, Host: 5, InFlight: 3}, {Kind: logic.EntryPickRequest, Profile: 0}, {Kind: logic.EntryHopEnded, Host: 7, Profile: 1}} {
		for msg := range sender.EncodePeerMessages([]logic.PeerEntry{entry}) {
			entries, err := receiver.DecodePeerMessage(msg)
			fmt.Println(entry.Kind, "index", entry.Profile, "->", entries[0].Kind, "index", entries[0].Profile, entries[0].Host, entries[0].InFlight, err)
		}
	}
	for msg := range receiver.EncodePeerMessages([]logic.PeerEntry{{Kind: logic.EntryPickRequest, Profile: 0}, {Kind: logic.EntryInFlight, Host: 5}}) {
		entries, err := sender.DecodePeerMessage(msg)
		fmt.Println("entries left without that of an unknown profile:", len(entries), err)
	}
	find := func(now time.Duration, name string, effect logic.Effect) {
		fmt.Print(name, " ", effect, ": ")
		fmt.Println(receiver.FindProfile(now, name, effect))
	}
	find(2*time.Second, "list", logic.Idempotent)
	find(3*time.Second, "list", logic.Idempotent)
	find(3*time.Second, "read", logic.Idempotent)
	find(3*time.Second, "read", logic.Deduplicated)
	// Output:
	// 0 index 0 -> 0 index 0 5 3 <nil>
	// 3 index 0 -> 3 index 2 0 0 <nil>
	// 2 index 1 -> 2 index 1 7 0 <nil>
	// entries left without that of an unknown profile: 1 <nil>
	// list 0: 0 true
	// list 0: -1 false
	// read 0: 2 true
	// read 1: -1 true
}

// stubCore is a decision core that ignores new settings.
type stubCore struct{ logic.Core }

func (stubCore) Reconfigure(time.Duration, []logic.Profile, []logic.Tenant, logic.ColdHostRule, logic.DrainRule, logic.HopRule, logic.InformationSources, logic.CostModel) {
}
