package protocol

import (
	"bufio"
	"bytes"
	"io"
)

// BodyState is the state of a partly read Body, with which another process can read the rest. It is passed as
// JSON to processes of other versions, so the JSON names are fixed.
type BodyState struct {
	Framing         int    // a bodyFraming
	Remaining       int    `json:"Left"`
	MaxRemaining    int    `json:"Most"`
	ChunkEndPending bool   `json:"Chunk"`
	InTrailer       bool   `json:"Trailer"`
	ReadAhead       []byte `json:"Ahead"` // bytes in the read buffer that Read has not returned
}

// State returns the state of the body between two reads.
func (b *Body) State() BodyState {
	readAhead, _ := b.reader.Peek(b.reader.Buffered())
	return BodyState{int(b.framing), b.remaining, b.maxRemaining, b.chunkEndPending, b.inTrailer, bytes.Clone(readAhead)}
}

// Resume returns a Body that continues from the state; rest supplies the bytes that follow ReadAhead. It returns
// nil if the state is not valid.
func (s BodyState) Resume(rest io.Reader) *Body {
	if framing := bodyFraming(s.Framing); framing < framedByLength || framing > framedByClose || s.Remaining < 0 || s.MaxRemaining < 0 || s.MaxRemaining > MaxBodyBytes {
		return nil
	}
	reader := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(s.ReadAhead), rest), max(resumeBufferBytes, len(s.ReadAhead)))
	reader.Peek(len(s.ReadAhead)) // fills the buffer, where State finds the bytes if this process ends as well
	return &Body{reader: reader, framing: bodyFraming(s.Framing),
		remaining: s.Remaining, maxRemaining: s.MaxRemaining, chunkEndPending: s.ChunkEndPending, inTrailer: s.InTrailer, ended: bodyFraming(s.Framing) == framedByLength && s.Remaining == 0}
}
