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
	r       *bufio.Reader
	framing framing
	left    int  // bytes of it, or of the chunk
	most    int  // bytes that it may bring yet
	chunk   bool // the end of one is to come yet
	trailer bool // only what follows the last chunk is to come
	ended   bool
}

// Body is the message's body, after Skip, of most bytes at most.
func (h *Head) Body(r *bufio.Reader, most int) *Body {
	b := &Body{r: r, framing: h.framing, most: most}
	if h.framing == byLength {
		b.left, b.ended = h.length, h.length == 0
	}
	return b
}

func (b *Body) Read(p []byte) (int, error) {
	if b.framing == chunked && b.left == 0 && !b.ended {
		if err := b.next(); err != nil {
			return 0, err
		}
	}
	if b.ended {
		return 0, io.EOF
	}
	if b.framing != untilClose {
		p = p[:min(len(p), b.left)]
	}
	n, err := b.r.Read(p)
	if b.most -= n; b.most < 0 {
		return 0, errBodyLong
	}
	if b.framing == untilClose {
		b.ended = errors.Is(err, io.EOF)
		return n, err
	}
	b.left -= n
	if b.framing == byLength && b.left == 0 {
		b.ended, err = true, io.EOF
		return n, err
	}
	return n, torn(err)
}

// Buffered tells whether some of it has been read and not looked at.
func (b *Body) Buffered() bool { return b.r.Buffered() > 0 }

// Remaining is how many bytes are left, where that is said.
func (b *Body) Remaining() (bytes int, said bool) { return b.left, b.framing == byLength }

// next goes on to the next chunk, or over the end: trailers are dropped. Where what is read ends within a line for now, it goes on there the next
// time.
func (b *Body) next() error {
	if b.chunk {
		line, err := readLine(b.r)
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return errChunk
		}
		b.chunk = false
	}
	if !b.trailer {
		line, err := readLine(b.r)
		if err != nil {
			return err
		}
		digits, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.Trim(digits, " \t")), 16, 31)
		if err != nil {
			return errChunk
		}
		if int(n) > b.most {
			return errBodyLong
		}
		if n > 0 {
			b.left, b.chunk = int(n), true
			return nil
		}
		b.trailer = true
	}
	for spent := 0; ; {
		line, err := readLine(b.r)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.ended = true
			return nil
		}
		if spent += len(line); spent > b.r.Size() {
			return errHeadLong
		}
	}
}

// BodyState is where the reading of a body stands between two pieces, for another process to go on with it.
type BodyState struct {
	Framing, Left, Most int
	Chunk, Trailer      bool
	Ahead               []byte // read and not looked at
}

func (b *Body) State() BodyState {
	ahead, _ := b.r.Peek(b.r.Buffered())
	return BodyState{int(b.framing), b.left, b.most, b.chunk, b.trailer, bytes.Clone(ahead)}
}

// Resume goes on with a body; r brings what is not read ahead. It is nil where the state makes no sense.
func (s BodyState) Resume(r io.Reader) *Body {
	if f := framing(s.Framing); f < byLength || f > untilClose || s.Left < 0 || s.Most < 0 || s.Most > MaxBodyBytes {
		return nil
	}
	ahead := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(s.Ahead), r), max(resumeBuffer, len(s.Ahead)))
	ahead.Peek(len(s.Ahead)) // into the buffer, where State finds it again if this process ends as well
	return &Body{r: ahead, framing: framing(s.Framing),
		left: s.Left, most: s.Most, chunk: s.Chunk, trailer: s.Trailer, ended: framing(s.Framing) == byLength && s.Left == 0}
}

// ReadBody reads a message's body, after Skip, of most bytes at most.
func (h *Head) ReadBody(r *bufio.Reader, most int) ([]byte, error) {
	if h.framing == byLength && h.length > most {
		return nil, errBodyLong
	}
	body, whole, err := h.Body(r, most+1).hold(most, h)
	if err == nil && !whole {
		err = errBodyLong
	}
	return body, err
}

// hold reads so many bytes, and tells whether that is all.
func (b *Body) hold(most int, h *Head) (held []byte, whole bool, err error) {
	if h.framing == byLength && h.length <= min(MaxBufferedBodyBytes, most) {
		held = make([]byte, h.length)
		_, err := io.ReadFull(b, held)
		return held, true, torn(err)
	}
	var body bytes.Buffer // grows as it comes: its length is only claimed
	n, err := io.CopyN(&body, b, int64(most)+1)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return body.Bytes(), n <= int64(most) && b.ended, err
}

func torn(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTorn
	}
	return err
}

// readLine reads a line, or takes nothing: what is there of it stays to be read.
func readLine(r *bufio.Reader) ([]byte, error) {
	for seen := 0; ; {
		buf, err := r.Peek(max(r.Buffered(), seen+1))
		if i := bytes.IndexByte(buf[seen:], '\n'); i >= 0 {
			line := buf[:seen+i+1]
			r.Discard(len(line))
			if len(line) < 2 || line[len(line)-2] != '\r' {
				return nil, errChunk
			}
			return line[:len(line)-2], nil
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errChunk
		case err != nil:
			return nil, torn(err)
		}
		seen = len(buf)
	}
}

// EncodeChunk is a piece of a body that is written in chunks; last is the end after the last one.
func EncodeChunk(piece []byte, last bool) [][]byte {
	var parts [][]byte
	if len(piece) > 0 {
		size := append(strconv.AppendInt(make([]byte, 0, 10), int64(len(piece)), 16), "\r\n"...)
		parts = append(parts, size, piece, crlf)
	}
	if last {
		parts = append(parts, lastChunk)
	}
	return parts
}

var crlf, lastChunk = []byte("\r\n"), []byte("0\r\n\r\n")
