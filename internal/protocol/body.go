package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Body reads a message's body piece by piece as it comes; io.EOF is its proper end, perhaps with the last piece.
type Body struct {
	reader          *bufio.Reader
	framing         bodyFraming
	remaining       int  // bytes of it, or of the chunk
	maxRemaining    int  // bytes that it may bring yet
	chunkEndPending bool // the end of one is to come yet
	inTrailer       bool // only what follows the last chunk is to come
	ended           bool
}

// Body is the message's body, after Skip, of most bytes at most.
func (h *Head) Body(r *bufio.Reader, maxBytes int) *Body {
	b := &Body{reader: r, framing: h.framing, maxRemaining: maxBytes}
	if h.framing == framedByLength {
		b.remaining, b.ended = h.contentLength, h.contentLength == 0
	}
	return b
}

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

// Buffered tells whether some of it has been read and not looked at.
func (b *Body) Buffered() bool { return b.reader.Buffered() > 0 }

// Remaining is how many bytes are left, where that is said.
func (b *Body) Remaining() (bytes int, known bool) { return b.remaining, b.framing == framedByLength }

// nextChunk goes on to the next chunk, or over the end: trailers are dropped. Where what is read ends within a line for now, it goes on there the next
// time.
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

// BodyState is where the reading of a body stands between two pieces, for another process to go on with it.
type BodyState struct {
	Framing         int
	Remaining       int    `json:"Left"`
	MaxRemaining    int    `json:"Most"`
	ChunkEndPending bool   `json:"Chunk"`
	InTrailer       bool   `json:"Trailer"`
	ReadAhead       []byte `json:"Ahead"` // read and not looked at
}

func (b *Body) State() BodyState {
	readAhead, _ := b.reader.Peek(b.reader.Buffered())
	return BodyState{int(b.framing), b.remaining, b.maxRemaining, b.chunkEndPending, b.inTrailer, bytes.Clone(readAhead)}
}

// Resume goes on with a body; r brings what is not read ahead. It is nil where the state makes no sense.
func (s BodyState) Resume(rest io.Reader) *Body {
	if framing := bodyFraming(s.Framing); framing < framedByLength || framing > framedByClose || s.Remaining < 0 || s.MaxRemaining < 0 || s.MaxRemaining > MaxBodyBytes {
		return nil
	}
	reader := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(s.ReadAhead), rest), max(resumeBufferBytes, len(s.ReadAhead)))
	reader.Peek(len(s.ReadAhead)) // into the buffer, where State finds it again if this process ends as well
	return &Body{reader: reader, framing: bodyFraming(s.Framing),
		remaining: s.Remaining, maxRemaining: s.MaxRemaining, chunkEndPending: s.ChunkEndPending, inTrailer: s.InTrailer, ended: bodyFraming(s.Framing) == framedByLength && s.Remaining == 0}
}

// ReadBody reads a message's body, after Skip, of most bytes at most.
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

// readAtMost reads so many bytes, and tells whether that is all.
func (b *Body) readAtMost(maxBytes int, head *Head) (data []byte, complete bool, err error) {
	if head.framing == framedByLength && head.contentLength <= min(MaxBufferedBodyBytes, maxBytes) {
		data = make([]byte, head.contentLength)
		_, err := io.ReadFull(b, data)
		return data, true, asTruncated(err)
	}
	var buffer bytes.Buffer // grows as it comes: its length is only claimed
	n, err := io.CopyN(&buffer, b, int64(maxBytes)+1)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return buffer.Bytes(), n <= int64(maxBytes) && b.ended, err
}

func asTruncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTruncated
	}
	return err
}

// readLine reads a line, or takes nothing: what is there of it stays to be read.
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

// EncodeChunk is a piece of a body that is written in chunks; last is the end after the last one.
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
