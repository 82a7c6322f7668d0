// Package protocol reads and writes HTTP/1.1 messages: what clients, hosts and discovery send, and what goes to
// them. Heads are parsed where they lie in the reader's buffer.
package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"strconv"
)

const (
	MaxBufferedBodyBytes = 64 << 10  // bytes of a body that is held whole, whoever sends it
	heldMost             = 2 << 20   // bytes of a client's that is, if there is room: a slow client must not bind a host
	MaxBodyBytes         = 32 << 20  // bytes of any body, by the protocol
	resumeBuffer         = 4 << 10   // bytes, for a body that another process began: the pieces are read past it
	listMost             = 4 << 20   // bytes of a list: some ten thousand hosts
	interimMost          = 16        // heads of an answer, the last one included: hosts that work long send one now and then
	longestBudget        = 3_600_000 // milliseconds: a client that says more has its units wrong
)

// HTTPError is what is wrong with a message, with the status that its sender gets for it.
type HTTPError struct {
	Status int
	Text   string
}

func (w *HTTPError) Error() string { return w.Text }

// AsHTTPError is what is wrong with a message that could not be read, nil where its sender has gone or said nothing.
func AsHTTPError(err error) *HTTPError {
	var wrong *HTTPError
	switch {
	case errors.As(err, &wrong):
		return wrong
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &HTTPError{408, "message not whole in time"}
	}
	return nil
}

var (
	errTorn     = &HTTPError{400, "ends within the message"}
	errHeadLong = &HTTPError{431, "head too long"}
	errBodyLong = &HTTPError{413, "body too long"}
	errLine     = &HTTPError{400, "malformed first line"}
	errVersion  = &HTTPError{400, "not HTTP/1"}
	errField    = &HTTPError{400, "malformed field"}
	errLength   = &HTTPError{400, "wrong length"}
	errCoding   = &HTTPError{400, "unknown transfer coding"}
	errInterim  = &HTTPError{502, "too many interim answers"}
	errChunk    = &HTTPError{400, "malformed chunk"}
)

// Field is one field of a head.
type Field struct{ Name, Value []byte }

// Head is a message's head. Its slices lie in the reader's buffer and hold until that is read from again.
type Head struct {
	Method, Target []byte
	Status         int
	Fields         []Field
	size           int
	framing        framing
	length         int
	HTTP10         bool // HTTP/1.0: it knows no chunks
	Close          bool // the sender closes the connection after this message
	ExpectContinue bool // the sender waits to be told to go on with the body
}

type framing int

const (
	byLength framing = iota
	chunked
	untilClose
)

// Get is the value of the first field of that name.
func (h *Head) Get(name string) ([]byte, bool) {
	for _, f := range h.Fields {
		if equalFold(f.Name, name) {
			return f.Value, true
		}
	}
	return nil, false
}

// twice tells whether one of these fields comes more than once.
func (h *Head) twice(names ...string) bool {
	for _, name := range names {
		n := 0
		for _, f := range h.Fields {
			if equalFold(f.Name, name) {
				n++
			}
		}
		if n > 1 {
			return true
		}
	}
	return false
}

func equalFold(a []byte, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i, c := range a {
		if lower(c) != lower(b[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c | 0x20
	}
	return c
}

// ReadRequest reads the head of what a client sends; io.EOF is a connection that ended between messages.
func (h *Head) ReadRequest(r *bufio.Reader) error {
	line, err := h.read(r)
	if err != nil {
		return err
	}
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !isToken(method) || len(target) == 0 || !isVisible(target) {
		return errLine
	}
	h.Method, h.Target = method, target
	return h.frame(version, byLength)
}

// ReadResponse reads the head of an answer; interim ones are passed over, but not without end.
func (h *Head) ReadResponse(r *bufio.Reader) error {
	for range interimMost {
		line, err := h.read(r)
		if err != nil {
			return err
		}
		version, rest, _ := bytes.Cut(line, []byte(" "))
		code, _, _ := bytes.Cut(rest, []byte(" "))
		if h.Status, err = strconv.Atoi(string(code)); err != nil || len(code) != 3 || h.Status < 100 {
			return errLine
		}
		if err := h.frame(version, untilClose); err != nil {
			return err
		}
		if h.Status == 204 || h.Status == 304 {
			h.framing, h.length = byLength, 0
		}
		if h.Status >= 200 {
			h.Close = h.Close || h.framing == untilClose
			return nil
		}
		h.Discard(r)
	}
	return errInterim
}

// read finds the head's end, splits its fields and gives its first line.
func (h *Head) read(r *bufio.Reader) ([]byte, error) {
	*h = Head{Fields: h.Fields[:0]}
	for { // empty lines before a message are passed over
		b, err := r.Peek(2)
		if err != nil {
			if len(b) > 0 && errors.Is(err, io.EOF) {
				err = errTorn
			}
			return nil, err
		}
		if b[0] != '\r' || b[1] != '\n' {
			break
		}
		r.Discard(2)
	}
	end := -1
	var buf []byte
	for seen := 0; end < 0; {
		var err error
		if buf, err = r.Peek(max(r.Buffered(), seen+1)); err != nil {
			switch {
			case errors.Is(err, bufio.ErrBufferFull):
				err = errHeadLong
			case errors.Is(err, io.EOF):
				err = errTorn
			}
			return nil, err
		}
		from := max(0, seen-3)
		if i := bytes.Index(buf[from:], []byte("\r\n\r\n")); i >= 0 {
			end = from + i
		}
		seen = len(buf)
	}
	h.size = end + 4
	first, rest, _ := bytes.Cut(buf[:end+2], []byte("\r\n"))
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		value = bytes.Trim(value, " \t")
		if !ok || !isToken(name) || !isText(value) {
			return nil, errField
		}
		h.Fields = append(h.Fields, Field{name, value})
	}
	return first, nil
}

// frame finds how long the body is.
func (h *Head) frame(version []byte, without framing) error {
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return errVersion
	}
	h.framing, h.HTTP10 = without, string(version) == "HTTP/1.0"
	h.Close = h.HTTP10
	lengths, coded := 0, false
	for _, f := range h.Fields {
		switch {
		case equalFold(f.Name, "Content-Length"):
			n, err := strconv.ParseUint(string(f.Value), 10, 62)
			if err != nil || f.Value[0] == '+' || lengths > 0 && int(n) != h.length {
				return errLength
			}
			h.framing, h.length = byLength, int(n)
			lengths++
		case equalFold(f.Name, "Transfer-Encoding"):
			if !equalFold(f.Value, "chunked") || coded {
				return errCoding
			}
			coded = true
		case equalFold(f.Name, "Connection"):
			h.Close = h.Close || names(f.Value, "close")
		case equalFold(f.Name, "Expect"):
			h.ExpectContinue = equalFold(f.Value, "100-continue")
		}
	}
	if coded && lengths > 0 { // two lengths are how messages are smuggled past a gateway
		return errLength
	}
	if coded {
		h.framing = chunked
	}
	return nil
}

// names tells whether a list of names, set apart by commas, holds one.
func names(list []byte, name string) bool {
	for len(list) > 0 {
		var one []byte
		one, list, _ = bytes.Cut(list, []byte(","))
		if equalFold(bytes.Trim(one, " \t"), name) {
			return true
		}
	}
	return false
}

func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

func isVisible(b []byte) bool {
	return !bytes.ContainsFunc(b, func(c rune) bool { return c <= ' ' || c == 0x7f })
}

func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// Discard goes on to the body; the head's slices hold no longer.
func (h *Head) Discard(r *bufio.Reader) {
	h.Method, h.Target, h.Fields = nil, nil, h.Fields[:0]
	r.Discard(h.size)
	h.size = 0
}
