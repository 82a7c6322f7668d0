package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
)

// Body is an io.Reader of a message's body that decodes its framing. It returns io.EOF at the proper end of the
// body, maybe together with the last bytes, and an HTTPError if the body ends before that, is malformed or is too
// long.
type Body struct {
	reader          *bufio.Reader
	framing         bodyFraming
	remaining       int  // bytes left of the body (framedByLength) or of the current chunk
	maxRemaining    int  // bytes that the body may still have
	chunkOverhead   int  // bytes of size lines in excess of what short chunks need
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

// ReadAvailable is Read that goes on, after what it may have to wait for, with what the read buffer holds: chunks may be
// as short as a byte.
func (b *Body) ReadAvailable(p []byte) (n int, err error) {
	n, err = b.Read(p)
	for err == nil && n < len(p) && b.dataBuffered() {
		var more int
		more, err = b.Read(p[n:])
		n += more
	}
	return n, err
}

// dataBuffered reports whether the read buffer holds some of the body's data, so that Read does not wait. It may report
// false at the end of the body.
func (b *Body) dataBuffered() bool {
	buffered, _ := b.reader.Peek(b.reader.Buffered())
	if b.framing != framedByChunks || b.remaining > 0 {
		return len(buffered) > 0 && !b.ended
	}
	if b.chunkEndPending {
		buffered = bytes.TrimPrefix(buffered, crlf)
	}
	sizeLineEnd := bytes.IndexByte(buffered, '\n')
	return sizeLineEnd > 0 && sizeLineEnd+1 < len(buffered) && buffered[0] != '0'
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
		if err := b.readChunkEnd(); err != nil {
			return err
		}
		b.chunkEndPending = false
	}
	if !b.inTrailer {
		line, err := readLine(b.reader)
		if err != nil {
			return err
		}
		size, ok := parseChunkSize(line)
		if !ok {
			return errMalformedChunk
		}
		if size > b.maxRemaining {
			return errBodyTooLong
		}
		b.chunkOverhead = max(0, b.chunkOverhead+len(line)-freeSizeLineBytes-2*size)
		if b.chunkOverhead > maxChunkOverheadBytes {
			return errMalformedChunk
		}
		if size > 0 {
			b.remaining, b.chunkEndPending = size, true
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
		if trailerBytes += len(line); trailerBytes > maxTrailerBytes {
			return errTrailerTooLong
		}
	}
}

// readChunkEnd reads the line end after the data of a chunk. If a read fails nothing is consumed.
func (b *Body) readChunkEnd() error {
	lineEnd, err := b.reader.Peek(len(crlf))
	switch {
	case len(lineEnd) > 0 && lineEnd[0] != '\r', len(lineEnd) > 1 && lineEnd[1] != '\n':
		return errMalformedChunk
	case err != nil:
		return asTruncated(err)
	}
	b.reader.Discard(len(crlf))
	return nil
}

// parseChunkSize parses the size line of a chunk, whose extensions are dropped.
func parseChunkSize(line []byte) (size int, ok bool) {
	text, _, _ := bytes.Cut(line, []byte(";"))
	text = trimSpace(text)
	for _, c := range text {
		digit := 0
		switch {
		case '0' <= c && c <= '9':
			digit = int(c - '0')
		case 'a' <= c|0x20 && c|0x20 <= 'f':
			digit = int(c|0x20-'a') + 10
		default:
			return 0, false
		}
		if size = size<<4 | digit; size > math.MaxInt32 {
			return 0, false
		}
	}
	return size, len(text) > 0
}

// ReadBody reads the whole body of a message. It fails if the body is longer than maxBytes. It is called after
// Discard.
func (h *Head) ReadBody(r *bufio.Reader, maxBytes int) ([]byte, error) {
	if h.framing == framedByLength && h.contentLength > maxBytes {
		return nil, errBodyTooLong
	}
	pieces, complete, err := h.Body(r, maxBytes+1).readAtMost(maxBytes, unlimited)
	if err == nil && !complete {
		err = errBodyTooLong
	}
	return pieces.Bytes(), err
}

// discard reads the body to its end. It fails if the body is longer than maxBytes.
func (b *Body) discard(maxBytes int) error {
	if b.framing == framedByLength && b.remaining > maxBytes {
		return errTooLongToBuffer
	}
	n, err := io.CopyN(io.Discard, b, int64(maxBytes)+1)
	switch {
	case n > int64(maxBytes):
		return errTooLongToBuffer
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
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

var crlf, lastChunk = []byte("\r\n"), []byte("0\r\n\r\n")
