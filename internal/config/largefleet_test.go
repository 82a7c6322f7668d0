package config_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"spanmux/internal/config"
	"spanmux/logic"
)

// largeFleetSize is the number of gateways, and of hosts, that every part of the program has to support.
const largeFleetSize = 1024

// largeFleetSettings are the settings of one of so many gateways, with a zone for each host.
func largeFleetSettings(gatewayIndex int) []byte {
	zones := make([]string, largeFleetSize)
	for i := range zones {
		zones[i] = fmt.Sprintf("zone-%04d", i)
	}
	text, err := json.Marshal(map[string]any{"balancers": largeFleetSize, "me": gatewayIndex, "dcs": zones, "myZone": zones[0], "discovery": "subscribe",
		"limits":   map[string]any{"mostHops": 3, "mayTell": true},
		"profiles": []map[string]any{{"name": "read", "effect": "idempotent", "serviceGoal": 400000, "hardLimit": 2000000, "revenue": 1}}})
	if err != nil {
		panic(err)
	}
	return text
}

// The settings of the first and of the last of so many gateways are accepted.
func TestCheckLargeFleet(t *testing.T) {
	for _, gatewayIndex := range []int{0, largeFleetSize - 1} {
		if err := config.CheckSettings(largeFleetSettings(gatewayIndex), largeFleetSize); err != nil {
			t.Error(err)
		}
		core, err := config.Parse(largeFleetSettings(gatewayIndex), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if core.GatewayCount != largeFleetSize || core.GatewayIndex != gatewayIndex {
			t.Errorf("gateway %d of %d", core.GatewayIndex, core.GatewayCount)
		}
		if _, err := core.ParseUpdate(largeFleetSettings(gatewayIndex), largeFleetSize); err != nil {
			t.Error(err)
		}
	}
}

// Entries for so many hosts, each with another in-flight count, are decoded as they were encoded, and so is the zone's number in a remote
// pick request. Counts used to be encoded up to 255 only: a host with one hop in flight from each of a thousand gateways looked as if it had
// a quarter of that, and all zones from the 256th on looked like one.
func TestMessagesLargeFleet(t *testing.T) {
	core, err := config.Parse(largeFleetSettings(0), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range []logic.PeerEntryKind{logic.EntryInFlight, logic.EntryAggregate, logic.EntryHopEnded, logic.EntryPickRequest, logic.EntryPickResponse} {
		var sent, received []logic.PeerEntry
		for i := range largeFleetSize {
			entry := logic.PeerEntry{Kind: kind, Host: logic.HostID(1 + i<<22), InFlight: i}
			if kind == logic.EntryHopEnded {
				entry.Outcome, entry.Latency = logic.HopOutcome(i%int(logic.HopNotRun+1)), time.Duration(i)*time.Millisecond
			}
			sent = append(sent, entry)
		}
		messages := 0
		for msg := range core.EncodePeerMessages(sent) {
			if messages++; len(msg) > config.MaxPeerMessageBytes {
				t.Errorf("kind %d: message of %d bytes", kind, len(msg))
			}
			entries, err := core.DecodePeerMessage(msg)
			if err != nil {
				t.Errorf("kind %d: %v", kind, err)
			}
			received = append(received, entries...)
		}
		if !slices.Equal(received, sent) {
			i := 0
			for i < len(received) && received[i] == sent[i] {
				i++
			}
			t.Errorf("kind %d: first difference at entry %d: decoded as %+v", kind, i, received[i])
		}
		if messages != 41 {
			t.Errorf("kind %d: %d messages", kind, messages)
		}
	}
}

// An in-flight count that doesn't fit is encoded as the largest one that does.
func TestMessagesManyHops(t *testing.T) {
	core, err := config.Parse(largeFleetSettings(0), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for msg := range core.EncodePeerMessages([]logic.PeerEntry{{Kind: logic.EntryHopEnded, Host: 7, InFlight: 5000, Outcome: logic.HopNotRun}}) {
		entries, err := core.DecodePeerMessage(msg)
		if err != nil || len(entries) != 1 || entries[0].InFlight != 1023 || entries[0].Outcome != logic.HopNotRun || entries[0].Kind != logic.EntryHopEnded {
			t.Errorf("decoded as %+v, %v", entries, err)
		}
	}
}

// Counts up to 255 are encoded as they were before larger ones could be, so that gateways of both builds understand each other. Messages with
// unknown kinds are still rejected.
func TestMessagesOfEarlierBuild(t *testing.T) {
	core, err := config.Parse(largeFleetSettings(0), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for msg := range core.EncodePeerMessages([]logic.PeerEntry{{Kind: logic.EntryHopEnded, Host: 0x04030201, InFlight: 255, Outcome: logic.HopNotRun, Latency: time.Second}}) {
		if text := fmt.Sprintf("%x", msg); text[:12] != "01020304ff27" || text[16:] != "1027" {
			t.Errorf("encoded as %s", text)
		}
	}
	for kind := logic.EntryPickResponse + 1; kind < 8; kind++ {
		for _, highHopBits := range []byte{0, 0x88} {
			if entries, err := core.DecodePeerMessage([]byte{1, 0, 0, 0, 1, byte(kind)<<4 | highHopBits, 0, 0, 0, 0}); err == nil {
				t.Errorf("kind %d is decoded as %+v", kind, entries)
			}
		}
	}
}
