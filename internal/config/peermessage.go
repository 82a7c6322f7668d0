package config

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"iter"
	"slices"
	"time"

	"spanmux/logic"
)

const (
	// peerEntryBytes is the encoded size of one entry: host (4), in-flight count, kind and outcome (2), profile hash (2), latency (2).
	peerEntryBytes = 10
	// MaxPeerMessageBytes is the size limit of one peer message, which is one datagram.
	MaxPeerMessageBytes = 256
	// latencyUnit is the unit in which latencies are encoded.
	latencyUnit = 100 * time.Microsecond
	// maxEntryInFlight is the largest in-flight count that ten bits hold: each of a thousand gateways may have a hop in flight at one host.
	maxEntryInFlight = 1<<10 - 1
)

// EncodePeerMessages encodes entries for another gateway, split into as many messages as they need. A profile is identified by a hash of
// its name and not by its index: gateways get new settings one after the other, and until all have them an index may mean another profile
// at each.
func (c *ConfiguredCore) EncodePeerMessages(entries []logic.PeerEntry) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for batch := range slices.Chunk(entries, MaxPeerMessageBytes/peerEntryBytes) {
			if !yield(c.encodePeerMessage(batch)) {
				return
			}
		}
	}
}

// encodePeerMessage encodes one message. The sixth byte of an entry holds the kind and the outcome in three bits each. Its other two bits are
// the high bits of the in-flight count; builds that encoded counts up to 255 only left them 0.
func (c *ConfiguredCore) encodePeerMessage(entries []logic.PeerEntry) []byte {
	msg := make([]byte, 0, MaxPeerMessageBytes)
	for _, entry := range entries {
		profileHash := uint16(0)
		if entry.Kind != logic.EntryInFlight && entry.Profile < len(c.knownProfiles) {
			profileHash = hashProfileName(c.knownProfiles[entry.Profile].Name)
		}
		msg = binary.LittleEndian.AppendUint32(msg, uint32(entry.Host))
		inFlight := min(entry.InFlight, maxEntryInFlight)
		msg = append(msg, byte(inFlight), byte(inFlight>>9)<<7|byte(entry.Kind)<<4|byte(inFlight>>8&1)<<3|byte(entry.Outcome))
		msg = binary.LittleEndian.AppendUint16(msg, profileHash)
		msg = binary.LittleEndian.AppendUint16(msg, uint16(min(entry.Latency/latencyUnit, 1<<16-1)))
	}
	return msg
}

// hashProfileName returns the hash of a profile's name, which identifies the profile in peer messages.
func hashProfileName(name string) uint16 { return uint16(crc32.ChecksumIEEE([]byte(name))) }

// DecodePeerMessage decodes a message of another gateway. Entries for a profile that this gateway does not know are skipped.
func (c *ConfiguredCore) DecodePeerMessage(msg []byte) ([]logic.PeerEntry, error) {
	if len(msg)%peerEntryBytes != 0 {
		return nil, fmt.Errorf("message of %d bytes is not a whole number of entries", len(msg))
	}
	entries := make([]logic.PeerEntry, 0, len(msg)/peerEntryBytes)
	for ; len(msg) > 0; msg = msg[peerEntryBytes:] {
		entry := logic.PeerEntry{Host: logic.HostID(binary.LittleEndian.Uint32(msg)), InFlight: int(msg[5]>>7)<<9 | int(msg[5]>>3&1)<<8 | int(msg[4]),
			Kind: logic.PeerEntryKind(msg[5] >> 4 & 7), Outcome: logic.HopOutcome(msg[5] & 7),
			Latency: time.Duration(binary.LittleEndian.Uint16(msg[8:])) * latencyUnit}
		if entry.Kind > logic.EntryPickResponse || entry.Outcome > logic.HopNotRun {
			return nil, fmt.Errorf("unknown kind %d or outcome %d", entry.Kind, entry.Outcome)
		}
		if entry.Kind != logic.EntryInFlight {
			known := false
			if entry.Profile, known = c.profileIndexByHash[binary.LittleEndian.Uint16(msg[6:])]; !known {
				continue
			}
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
