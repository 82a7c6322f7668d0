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
	heldBytes           = 10  // a host's id, hops, what is told and an end, a profile, a time
	MaxPeerMessageBytes = 256 // what one message may hold
	tookUnit            = 100 * time.Microsecond
	maxToldHops         = 1<<10 - 1 // at one host: of a thousand gateways each may have one out there
)

// EncodePeerMessages is what a gateway tells another, in as many messages as it needs. Profiles are named by a checksum of their names:
// gateways are told new settings one after the other, and a place may mean another profile at each.
func (o *Instance) EncodePeerMessages(held []logic.PeerEntry) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for part := range slices.Chunk(held, MaxPeerMessageBytes/heldBytes) {
			if !yield(o.message(part)) {
				return
			}
		}
	}
}

// message writes one message. The sixth byte of an entry holds the kind and the end in three bits each; the two bits left over are the
// high ones of the hops, which were always 0 while hops were told up to 255 only.
func (o *Instance) message(held []logic.PeerEntry) []byte {
	msg := make([]byte, 0, MaxPeerMessageBytes)
	for _, k := range held {
		mark := uint16(0)
		if k.Kind != logic.EntryInFlight && k.Profile < len(o.known) {
			mark = markOf(o.known[k.Profile].Name)
		}
		msg = binary.LittleEndian.AppendUint32(msg, uint32(k.Host))
		hops := min(k.InFlight, maxToldHops)
		msg = append(msg, byte(hops), byte(hops>>9)<<7|byte(k.Kind)<<4|byte(hops>>8&1)<<3|byte(k.Outcome))
		msg = binary.LittleEndian.AppendUint16(msg, mark)
		msg = binary.LittleEndian.AppendUint16(msg, uint16(min(k.Latency/tookUnit, 1<<16-1)))
	}
	return msg
}

func markOf(name string) uint16 { return uint16(crc32.ChecksumIEEE([]byte(name))) }

// DecodePeerMessage reads a message. What it says of a profile that is not known here is left out.
func (o *Instance) DecodePeerMessage(msg []byte) ([]logic.PeerEntry, error) {
	if len(msg)%heldBytes != 0 {
		return nil, fmt.Errorf("%d bytes are no whole number of hosts", len(msg))
	}
	held := make([]logic.PeerEntry, 0, len(msg)/heldBytes)
	for ; len(msg) > 0; msg = msg[heldBytes:] {
		k := logic.PeerEntry{Host: logic.HostID(binary.LittleEndian.Uint32(msg)), InFlight: int(msg[5]>>7)<<9 | int(msg[5]>>3&1)<<8 | int(msg[4]),
			Kind: logic.PeerEntryKind(msg[5] >> 4 & 7), Outcome: logic.HopOutcome(msg[5] & 7),
			Latency: time.Duration(binary.LittleEndian.Uint16(msg[8:])) * tookUnit}
		if k.Kind > logic.EntryPickResponse || k.Outcome > logic.HopNotSent {
			return nil, fmt.Errorf("unknown kind %d or end %d", k.Kind, k.Outcome)
		}
		if k.Kind != logic.EntryInFlight {
			known := false
			if k.Profile, known = o.marked[binary.LittleEndian.Uint16(msg[6:])]; !known {
				continue
			}
		}
		held = append(held, k)
	}
	return held, nil
}
