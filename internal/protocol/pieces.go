package protocol

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

// unlimited reserves memory where the length of the body is the only bound.
func unlimited(int) bool { return true }

// Pieces is a body, or the beginning of one, in memory. It is written as it is: to join the pieces would need as much
// memory again.
type Pieces [][]byte

// Len returns the number of bytes.
func (p Pieces) Len() (bytes int) {
	for _, piece := range p {
		bytes += len(piece)
	}
	return bytes
}

// Bytes returns a copy of all bytes.
func (p Pieces) Bytes() []byte { return bytes.Join(p, nil) }

// readAtMost reads the body into memory, and reports whether it is complete. Of a body longer than maxBytes it reads at
// most one byte more than that. The memory grows as bytes arrive, as a sender may claim a large length and send little.
// reserve is called before each growth with the number of bytes; when it returns false no more is read.
func (b *Body) readAtMost(maxBytes int, reserve func(bytes int) bool) (pieces Pieces, complete bool, err error) {
	length := 0
	for !b.ended && err == nil && length <= maxBytes {
		last := len(pieces) - 1
		if last < 0 || len(pieces[last]) == cap(pieces[last]) {
			size := b.nextPieceBytes(length, maxBytes)
			if !reserve(size) {
				return pieces, false, nil
			}
			pieces = append(pieces, make([]byte, 0, size))
			last++
		}
		piece := pieces[last]
		var n int
		n, err = b.Read(piece[len(piece):cap(piece)])
		pieces[last] = piece[:len(piece)+n]
		length += n
	}
	if b.ended && errors.Is(err, io.EOF) {
		err = nil
	}
	return pieces, b.ended && length <= maxBytes, err
}

// nextPieceBytes returns the size of the piece that follows length bytes of the body: as much again, within
// maxPieceBytes and what the body can still need.
func (b *Body) nextPieceBytes(length, maxBytes int) int {
	needed := maxBytes + 1 - length
	if b.framing == framedByLength {
		needed = min(needed, b.remaining)
	}
	return min(needed, max(minPieceBytes, length), maxPieceBytes)
}

// EncodeChunk encodes a piece of a body in the chunked coding, followed by the end of the body if last is set.
func EncodeChunk(piece []byte, last bool) [][]byte {
	return Pieces{piece}.encodeChunk(last)
}

// encodeChunk encodes all pieces as one chunk, followed by the end of the body if last is set.
func (p Pieces) encodeChunk(last bool) [][]byte {
	var parts [][]byte
	if length := p.Len(); length > 0 {
		sizeLine := append(strconv.AppendInt(make([]byte, 0, 10), int64(length), 16), "\r\n"...)
		parts = append(append(append(parts, sizeLine), p...), crlf)
	}
	if last {
		parts = append(parts, lastChunk)
	}
	return parts
}
