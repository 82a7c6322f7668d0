package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Body is an io.Reader of a message's body that decodes its framing. It returns io.EOF at the proper end of the
// body, maybe together with the last bytes, and an HTTPError if the body ends before that, is malformed or is too
// long.
type Body struct {
	reader          *bufio.Reader
	framing         bodyFraming
	remaining       int  // bytes left of the body (framedByLength) or of the current chunk
	maxRemaining    int  // bytes that the body may still have
	chunkEndPending bool // the line end after the current chunk has not been read
	inTrailer       bool // the last chunk has been read, the trailer fields not all
	ended           bool
}

// Body returns a reader of the message's body, which may be at most maxBytes long. It is called after Discard.
func (h *Head) Body(r *bufio.Reader, maxBytes int) *Body {
	b := &Body{reader: r, framing: h.framing, maxRemaining: maxBytes}
	if h.framing == framedByLength {
		b.remaining, b.ended = h.contentLength, h.contentLength == 0
	}
	return b
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.framing == framedByChunks && b.remaining == 0 && !b.ended {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	if b.ended {
		return 0, io.EOF
	}
	if b.framing != framedByClose {
		p = p[:min(len(p), b.remaining)]
	}
	n, err := b.reader.Read(p)
	if b.maxRemaining -= n; b.maxRemaining < 0 {
		return 0, errBodyTooLong
	}
	if b.framing == framedByClose {
		b.ended = errors.Is(err, io.EOF)
		return n, err
	}
	b.remaining -= n
	if b.framing == framedByLength && b.remaining == 0 {
		b.ended, err = true, io.EOF
		return n, err
	}
	return n, asTruncated(err)
}

// Buffered reports whether the read buffer holds bytes that Read has not returned.
func (b *Body) Buffered() bool { return b.reader.Buffered() > 0 }

// Remaining returns the number of bytes that are left of the body; known is false if the message has no
// Content-Length.
func (b *Body) Remaining() (bytes int, known bool) { return b.remaining, b.framing == framedByLength }

// nextChunk reads up to the data of the next chunk, or to the end of the body; trailer fields are dropped. If a
// read fails within a line, for example at its deadline, the next call resumes at the start of that line.
func (b *Body) nextChunk() error {
	if b.chunkEndPending {
		line, err := readLine(b.reader)
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return errMalformedChunk
		}
		b.chunkEndPending = false
	}
	if !b.inTrailer {
		line, err := readLine(b.reader)
		if err != nil {
			return err
		}
		sizeText, _, _ := bytes.Cut(line, []byte(";"))
		size, err := strconv.ParseUint(string(bytes.Trim(sizeText, " \t")), 16, 31)
		if err != nil {
			return errMalformedChunk
		}
		if int(size) > b.maxRemaining {
			return errBodyTooLong
		}
		if size > 0 {
			b.remaining, b.chunkEndPending = int(size), true
			return nil
		}
		b.inTrailer = true
	}
	for trailerBytes := 0; ; {
		line, err := readLine(b.reader)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.ended = true
			return nil
		}
		if trailerBytes += len(line); trailerBytes > b.reader.Size() {
			return errHeadTooLong
		}
	}
}

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

// ReadBody reads the whole body of a message. It fails if the body is longer than maxBytes. It is called after
// Discard.
func (h *Head) ReadBody(r *bufio.Reader, maxBytes int) ([]byte, error) {
	if h.framing == framedByLength && h.contentLength > maxBytes {
		return nil, errBodyTooLong
	}
	body, complete, err := h.Body(r, maxBytes+1).readAtMost(maxBytes, h)
	if err == nil && !complete {
		err = errBodyTooLong
	}
	return body, err
}

// readAtMost reads the body of a message with the given head into memory, and reports whether it is complete. Of a
// body longer than maxBytes it reads one byte more than that.
func (b *Body) readAtMost(maxBytes int, head *Head) (data []byte, complete bool, err error) {
	if head.framing == framedByLength && head.contentLength <= min(MaxBufferedBodyBytes, maxBytes) {
		data = make([]byte, head.contentLength)
		_, err := io.ReadFull(b, data)
		return data, true, asTruncated(err)
	}
	var buffer bytes.Buffer // grows as bytes arrive: a sender may claim a large length and send little
	n, err := io.CopyN(&buffer, b, int64(maxBytes)+1)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return buffer.Bytes(), n <= int64(maxBytes) && b.ended, err
}

// asTruncated replaces the end of a connection within a message by errTruncated.
func asTruncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTruncated
	}
	return err
}

// readLine reads a line and returns it without its CRLF. If the line is not complete when a read fails, nothing is
// consumed. The line is valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	for scanned := 0; ; {
		buf, err := r.Peek(max(r.Buffered(), scanned+1))
		if i := bytes.IndexByte(buf[scanned:], '\n'); i >= 0 {
			line := buf[:scanned+i+1]
			r.Discard(len(line))
			if len(line) < 2 || line[len(line)-2] != '\r' {
				return nil, errMalformedChunk
			}
			return line[:len(line)-2], nil
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errMalformedChunk
		case err != nil:
			return nil, asTruncated(err)
		}
		scanned = len(buf)
	}
}

// EncodeChunk encodes a piece of a body in the chunked coding, followed by the end of the body if last is set.
func EncodeChunk(piece []byte, last bool) [][]byte {
	var parts [][]byte
	if len(piece) > 0 {
		sizeLine := append(strconv.AppendInt(make([]byte, 0, 10), int64(len(piece)), 16), "\r\n"...)
		parts = append(parts, sizeLine, piece, crlf)
	}
	if last {
		parts = append(parts, lastChunk)
	}
	return parts
}

var crlf, lastChunk = []byte("\r\n"), []byte("0\r\n\r\n")
