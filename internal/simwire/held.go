package simwire

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"spanmux/logic"
)

const (
	heldBytes = 5   // a host's id and a count
	mostBytes = 256 // what the wire takes in one message
)

// heldText is what a gateway tells the others, as the wire has it; hosts beyond the message's end are left
// out.
func heldText(held []logic.Held) string {
	if len(held) == 0 {
		return "-"
	}
	msg := make([]byte, 0, mostBytes)
	for _, k := range held[:min(len(held), mostBytes/heldBytes)] {
		msg = append(binary.LittleEndian.AppendUint32(msg, uint32(k.Host)), byte(min(k.Hops, 255)))
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
		held = append(held, logic.Held{Host: logic.HostID(binary.LittleEndian.Uint32(msg)), Hops: int(msg[4])})
	}
	return held, nil
}
