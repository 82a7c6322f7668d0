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
	MaxBufferedBodyBytes      = 64 << 10  // bytes of a body that is held whole, whoever sends it
	maxLargeBufferedBodyBytes = 2 << 20   // bytes of a client's that is, if there is room: a slow client must not bind a host
	MaxBodyBytes              = 32 << 20  // bytes of any body, by the protocol
	resumeBufferBytes         = 4 << 10   // bytes, for a body that another process began: the pieces are read past it
	maxHostListBytes          = 4 << 20   // bytes of a list: some ten thousand hosts
	maxInterimResponses       = 16        // heads of an answer, the last one included: hosts that work long send one now and then
	maxBudgetMillis           = 3_600_000 // milliseconds: a client that says more has its units wrong
)

// HTTPError is what is wrong with a message, with the status that its sender gets for it.
type HTTPError struct {
	Status int
	Text   string
}

func (w *HTTPError) Error() string { return w.Text }

// AsHTTPError is what is wrong with a message that could not be read, nil where its sender has gone or said nothing.
func AsHTTPError(err error) *HTTPError {
	var httpErr *HTTPError
	switch {
	case errors.As(err, &httpErr):
		return httpErr
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &HTTPError{408, "message not whole in time"}
	}
	return nil
}

var (
	errTruncated      = &HTTPError{400, "ends within the message"}
	errHeadTooLong    = &HTTPError{431, "head too long"}
	errBodyTooLong    = &HTTPError{413, "body too long"}
	errStartLine      = &HTTPError{400, "malformed first line"}
	errHTTPVersion    = &HTTPError{400, "not HTTP/1"}
	errMalformedField = &HTTPError{400, "malformed field"}
	errContentLength  = &HTTPError{400, "wrong length"}
	errTransferCoding = &HTTPError{400, "unknown transfer coding"}
	errTooManyInterim = &HTTPError{502, "too many interim answers"}
	errMalformedChunk = &HTTPError{400, "malformed chunk"}
)

// Field is one field of a head.
type Field struct{ Name, Value []byte }

// Head is a message's head. Its slices lie in the reader's buffer and hold until that is read from again.
type Head struct {
	Method, Target []byte
	Status         int
	Fields         []Field
	size           int
	framing        bodyFraming
	contentLength  int
	HTTP10         bool // HTTP/1.0: it knows no chunks
	Close          bool // the sender closes the connection after this message
	ExpectContinue bool // the sender waits to be told to go on with the body
}

type bodyFraming int

const (
	framedByLength bodyFraming = iota
	framedByChunks
	framedByClose
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

// hasDuplicate tells whether one of these fields comes more than once.
func (h *Head) hasDuplicate(names ...string) bool {
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
		if toLower(c) != toLower(b[i]) {
			return false
		}
	}
	return true
}

func toLower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c | 0x20
	}
	return c
}

// ReadRequest reads the head of what a client sends; io.EOF is a connection that ended between messages.
func (h *Head) ReadRequest(r *bufio.Reader) error {
	line, err := h.readFields(r)
	if err != nil {
		return err
	}
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !isToken(method) || len(target) == 0 || !isRequestTarget(target) {
		return errStartLine
	}
	h.Method, h.Target = method, target
	return h.setFraming(version, framedByLength)
}

// ReadResponse reads the head of an answer; interim ones are passed over, but not without end.
func (h *Head) ReadResponse(r *bufio.Reader) error {
	for range maxInterimResponses {
		line, err := h.readFields(r)
		if err != nil {
			return err
		}
		version, rest, _ := bytes.Cut(line, []byte(" "))
		code, _, _ := bytes.Cut(rest, []byte(" "))
		if h.Status, err = strconv.Atoi(string(code)); err != nil || len(code) != 3 || h.Status < 100 {
			return errStartLine
		}
		if err := h.setFraming(version, framedByClose); err != nil {
			return err
		}
		if h.Status == 204 || h.Status == 304 {
			h.framing, h.contentLength = framedByLength, 0
		}
		if h.Status >= 200 {
			h.Close = h.Close || h.framing == framedByClose
			return nil
		}
		h.Discard(r)
	}
	return errTooManyInterim
}

// readFields finds the head's end, splits its fields and gives its first line.
func (h *Head) readFields(r *bufio.Reader) ([]byte, error) {
	*h = Head{Fields: h.Fields[:0]}
	for { // empty lines before a message are passed over
		b, err := r.Peek(2)
		if err != nil {
			if len(b) > 0 && errors.Is(err, io.EOF) {
				err = errTruncated
			}
			return nil, err
		}
		if b[0] != '\r' || b[1] != '\n' {
			break
		}
		r.Discard(2)
	}
	headEnd := -1
	var buf []byte
	for scanned := 0; headEnd < 0; {
		var err error
		if buf, err = r.Peek(max(r.Buffered(), scanned+1)); err != nil {
			switch {
			case errors.Is(err, bufio.ErrBufferFull):
				err = errHeadTooLong
			case errors.Is(err, io.EOF):
				err = errTruncated
			}
			return nil, err
		}
		searchFrom := max(0, scanned-3)
		if i := bytes.Index(buf[searchFrom:], []byte("\r\n\r\n")); i >= 0 {
			headEnd = searchFrom + i
		}
		scanned = len(buf)
	}
	h.size = headEnd + 4
	startLine, rest, _ := bytes.Cut(buf[:headEnd+2], []byte("\r\n"))
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		value = bytes.Trim(value, " \t")
		if !ok || !isToken(name) || !isFieldValue(value) {
			return nil, errMalformedField
		}
		h.Fields = append(h.Fields, Field{name, value})
	}
	return startLine, nil
}

// setFraming finds how long the body is.
func (h *Head) setFraming(version []byte, defaultFraming bodyFraming) error {
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return errHTTPVersion
	}
	h.framing, h.HTTP10 = defaultFraming, string(version) == "HTTP/1.0"
	h.Close = h.HTTP10
	lengthFields, isChunked := 0, false
	for _, f := range h.Fields {
		switch {
		case equalFold(f.Name, "Content-Length"):
			n, err := strconv.ParseUint(string(f.Value), 10, 62)
			if err != nil || f.Value[0] == '+' || lengthFields > 0 && int(n) != h.contentLength {
				return errContentLength
			}
			h.framing, h.contentLength = framedByLength, int(n)
			lengthFields++
		case equalFold(f.Name, "Transfer-Encoding"):
			if !equalFold(f.Value, "chunked") || isChunked {
				return errTransferCoding
			}
			isChunked = true
		case equalFold(f.Name, "Connection"):
			h.Close = h.Close || listContains(f.Value, "close")
		case equalFold(f.Name, "Expect"):
			h.ExpectContinue = equalFold(f.Value, "100-continue")
		}
	}
	if isChunked && lengthFields > 0 { // two lengths are how messages are smuggled past a gateway
		return errContentLength
	}
	if isChunked {
		h.framing = framedByChunks
	}
	return nil
}

// listContains tells whether a list of names, set apart by commas, holds one.
func listContains(list []byte, name string) bool {
	for len(list) > 0 {
		var element []byte
		element, list, _ = bytes.Cut(list, []byte(","))
		if equalFold(bytes.Trim(element, " \t"), name) {
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

func isRequestTarget(b []byte) bool {
	return !bytes.ContainsFunc(b, func(c rune) bool { return c <= ' ' || c == 0x7f })
}

func isFieldValue(b []byte) bool {
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
