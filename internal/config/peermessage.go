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
	peerEntryBytes      = 10  // a host's id, hops, what is told and an end, a profile, a time
	MaxPeerMessageBytes = 256 // what one message may hold
	latencyUnit         = 100 * time.Microsecond
	maxEntryInFlight    = 1<<10 - 1 // at one host: of a thousand gateways each may have one out there
)

// EncodePeerMessages is what a gateway tells another, in as many messages as it needs. Profiles are named by a checksum of their names:
// gateways are told new settings one after the other, and a place may mean another profile at each.
func (in *Instance) EncodePeerMessages(entries []logic.PeerEntry) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for batch := range slices.Chunk(entries, MaxPeerMessageBytes/peerEntryBytes) {
			if !yield(in.encodePeerMessage(batch)) {
				return
			}
		}
	}
}

// encodePeerMessage writes one message. The sixth byte of an entry holds the kind and the end in three bits each; the two bits left over are the
// high ones of the hops, which were always 0 while hops were told up to 255 only.
func (in *Instance) encodePeerMessage(entries []logic.PeerEntry) []byte {
	msg := make([]byte, 0, MaxPeerMessageBytes)
	for _, entry := range entries {
		profileHash := uint16(0)
		if entry.Kind != logic.EntryInFlight && entry.Profile < len(in.knownProfiles) {
			profileHash = hashProfileName(in.knownProfiles[entry.Profile].Name)
		}
		msg = binary.LittleEndian.AppendUint32(msg, uint32(entry.Host))
		inFlight := min(entry.InFlight, maxEntryInFlight)
		msg = append(msg, byte(inFlight), byte(inFlight>>9)<<7|byte(entry.Kind)<<4|byte(inFlight>>8&1)<<3|byte(entry.Outcome))
		msg = binary.LittleEndian.AppendUint16(msg, profileHash)
		msg = binary.LittleEndian.AppendUint16(msg, uint16(min(entry.Latency/latencyUnit, 1<<16-1)))
	}
	return msg
}

func hashProfileName(name string) uint16 { return uint16(crc32.ChecksumIEEE([]byte(name))) }

// DecodePeerMessage reads a message. What it says of a profile that is not known here is left out.
func (in *Instance) DecodePeerMessage(msg []byte) ([]logic.PeerEntry, error) {
	if len(msg)%peerEntryBytes != 0 {
		return nil, fmt.Errorf("%d bytes are no whole number of hosts", len(msg))
	}
	entries := make([]logic.PeerEntry, 0, len(msg)/peerEntryBytes)
	for ; len(msg) > 0; msg = msg[peerEntryBytes:] {
		entry := logic.PeerEntry{Host: logic.HostID(binary.LittleEndian.Uint32(msg)), InFlight: int(msg[5]>>7)<<9 | int(msg[5]>>3&1)<<8 | int(msg[4]),
			Kind: logic.PeerEntryKind(msg[5] >> 4 & 7), Outcome: logic.HopOutcome(msg[5] & 7),
			Latency: time.Duration(binary.LittleEndian.Uint16(msg[8:])) * latencyUnit}
		if entry.Kind > logic.EntryPickResponse || entry.Outcome > logic.HopNotSent {
			return nil, fmt.Errorf("unknown kind %d or end %d", entry.Kind, entry.Outcome)
		}
		if entry.Kind != logic.EntryInFlight {
			known := false
			if entry.Profile, known = in.profileIndexByHash[binary.LittleEndian.Uint16(msg[6:])]; !known {
				continue
			}
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
