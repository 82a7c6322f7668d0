package simwire

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"spanmux/logic"
)

const (
	heldBytes = 7   // a host's id, a count, how hops ended, a pace
	mostBytes = 256 // what the wire takes in one message
	paceUnits = 32  // to a usual pace, so that a byte reaches to eight times that
	openBit   = 1 << 7
	mostGood  = 15
	mostBad   = 7
)

// heldText is what a gateway tells of hosts, as the wire has it.
func heldText(held []logic.Held) string {
	msg := make([]byte, 0, mostBytes)
	for _, k := range held {
		marks := min(k.Good, mostGood) | min(k.Bad, mostBad)<<4
		if k.Open {
			marks |= openBit
		}
		msg = binary.LittleEndian.AppendUint32(msg, uint32(k.Host))
		msg = append(msg, byte(min(k.Hops, 255)), byte(marks), byte(min(k.Pace*paceUnits, 255)))
	}
	return hex.EncodeToString(msg)
}

func readHeld(text []byte) ([]logic.Held, error) {
	if absent(text) {
		return nil, nil
	}
	msg, err := hex.AppendDecode(nil, text)
	if err != nil {
		return nil, err
	}
	if len(msg)%heldBytes != 0 {
		return nil, fmt.Errorf("%d bytes are no whole number of hosts", len(msg))
	}
	held := make([]logic.Held, 0, len(msg)/heldBytes)
	for ; len(msg) > 0; msg = msg[heldBytes:] {
		marks := int(msg[5])
		held = append(held, logic.Held{Host: logic.HostID(binary.LittleEndian.Uint32(msg)), Hops: int(msg[4]),
			Good: marks & mostGood, Bad: marks >> 4 & mostBad, Open: marks&openBit != 0,
			Pace: float64(msg[6]) / paceUnits})
	}
	return held, nil
}
