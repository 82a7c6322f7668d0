// Package protocol parses and encodes the HTTP/1.1 messages that the gateway exchanges with clients, hosts,
// discovery and operators. A message consists of a head (start line and header fields) and a body. Heads are
// parsed in place, in the reader's buffer.
package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"strconv"
	"strings"
)

const (
	MaxBufferedBodyBytes      = 64 << 10  // longest body that is always buffered whole, of requests and responses
	maxLargeBufferedBodyBytes = 2 << 20   // longest request body that is buffered whole if the buffer budget allows, so that a slow client does not occupy a host
	MaxBodyBytes              = 32 << 20  // longest body that the protocol allows
	minPieceBytes             = 2 << 10   // first piece of a body that is buffered
	maxPieceBytes             = 16 << 10  // longest piece of a body that is buffered
	freeSizeLineBytes         = 14        // of the size line of each chunk that are no overhead, as in net/http
	maxChunkOverheadBytes     = 16 << 10  // of the size lines of a body beyond that and twice its data: chunk extensions, which have no use here
	maxTrailerBytes           = 16 << 10  // longest trailer fields, which are dropped
	resumeBufferBytes         = 4 << 10   // least read buffer of a resumed body (see BodyState.Resume); larger reads bypass it
	maxHostListObjects        = 1 << 15   // hosts of a list, and the list itself: half as many again as maxHostListBytes has of the usual ones
	minHostEntryBytes         = 30        // of a host that says what it must
	maxHostListBytes          = 4 << 20   // longest host list: some ten thousand hosts
	maxEmptyLines             = 16        // before a message: a sender that sends nothing else would never get an answer
	maxConnectionOptions      = 32        // names in Connection fields, each of which is looked for among all fields
	maxInterimResponses       = 16        // heads read for one response, the final one included: hosts that work for long send interim responses (1xx)
	maxBudgetMillis           = 3_600_000 // longest time budget of a request: a client that sends more has its units wrong
)

// HTTPError says what is wrong with a message, with the status of the response to its sender. Text is the body
// of that response.
type HTTPError struct {
	Status int
	Text   string
}

func (e *HTTPError) Error() string { return e.Text }

// AsHTTPError returns the response to a message that could not be read because of err. It returns nil if there
// is nothing to respond to: the sender has closed the connection or has sent nothing.
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

// Errors that a caller may act upon.
var (
	// ErrHeadTooLong is returned for a head that does not fit the reader's buffer. Nothing of it has been consumed.
	ErrHeadTooLong = &HTTPError{431, "head too long"}
	// ErrNoMemory is returned for a request for which there is no memory left. No host has any of it.
	ErrNoMemory = &HTTPError{503, "no memory"}
)

var (
	errTruncated      = &HTTPError{400, "ends within the message"}
	errTrailerTooLong = &HTTPError{431, "head too long"}
	errBodyTooLong    = &HTTPError{413, "body too long"}
	errStartLine      = &HTTPError{400, "malformed first line"}
	errHTTPVersion    = &HTTPError{400, "not HTTP/1"}
	errMalformedField = &HTTPError{400, "malformed field"}
	errContentLength  = &HTTPError{400, "wrong length"}
	errTransferCoding = &HTTPError{400, "unknown transfer coding"}
	errTooManyInterim = &HTTPError{502, "too many interim answers"}
	errMalformedChunk = &HTTPError{400, "malformed chunk"}
	errTooManyOptions = &HTTPError{431, "too many connection options"}
)

// Head is the parsed head of a request or response. Its slices point into the reader's buffer and are valid until
// the next read from it. Method and Target are set by ReadRequest, Status by ReadResponse. The fields are not stored
// one by one: an index of the shortest ones would have twelve times their bytes.
type Head struct {
	Method, Target []byte
	Status         int
	known          [fieldKinds]knownField
	fieldLines     []byte // valid field lines, each with its CRLF
	size           int    // bytes of the head in the reader's buffer, 0 after Discard
	framing        bodyFraming
	contentLength  int  // if framing is framedByLength
	hasLength      bool // there is a Content-Length
	HTTP10         bool // the sender uses HTTP/1.0 and does not understand the chunked coding
	Close          bool // the sender closes the connection after this message
	ExpectContinue bool // the sender waits for "100 Continue" before it sends the body
}

// bodyFraming is how the end of a body that is read is found. Its values are handed over to the next process in
// BodyState.
type bodyFraming int

const (
	framedByLength bodyFraming = iota // after Content-Length bytes, which may be none
	framedByChunks                    // Transfer-Encoding: chunked
	framedByClose                     // where the sender closes the connection
)

// parseConnectionOptions sets what follows from the Connection fields.
func (h *Head) parseConnectionOptions() error {
	options := 0
	for value := range h.valuesOf(connectionField) {
		for option := range listElements(value) {
			if options++; options > maxConnectionOptions {
				return errTooManyOptions
			}
			h.Close = h.Close || equalFold(option, "close")
		}
	}
	return nil
}

// equalFold reports whether a and b are equal under ASCII case folding.
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

// toLower returns the lower case of an ASCII letter, and any other byte unchanged.
func toLower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c | 0x20
	}
	return c
}

// ReadRequest reads the head of a request. It returns io.EOF if the connection was closed between messages.
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

// ReadResponse reads the head of a response. Interim responses (1xx) before it are skipped, up to
// maxInterimResponses heads in all.
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

// readFields waits until the buffer holds a whole head, parses its fields and returns its start line. The head
// stays in the buffer, see Discard.
func (h *Head) readFields(r *bufio.Reader) ([]byte, error) {
	*h = Head{}
	for emptyLines := 0; ; emptyLines++ { // skip empty lines before the message
		if emptyLines > maxEmptyLines {
			return nil, errStartLine
		}
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
				err = ErrHeadTooLong
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
	startLine, fieldLines, _ := bytes.Cut(buf[:headEnd+2], crlf)
	return startLine, h.parseFields(fieldLines)
}

// setFraming sets the fields of the head that follow from the HTTP version and from the header fields about the
// body and the connection. defaultFraming is that of a message without Content-Length and Transfer-Encoding.
func (h *Head) setFraming(version []byte, defaultFraming bodyFraming) error {
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return errHTTPVersion
	}
	h.framing, h.HTTP10 = defaultFraming, string(version) == "HTTP/1.0"
	h.Close = h.HTTP10
	for value := range h.valuesOf(contentLengthField) {
		n, err := strconv.ParseUint(string(value), 10, 62)
		if err != nil || value[0] == '+' || h.hasLength && int(n) != h.contentLength {
			return errContentLength
		}
		h.framing, h.contentLength, h.hasLength = framedByLength, int(n), true
	}
	coding, isChunked := h.get(transferEncodingField)
	if isChunked && (!equalFold(coding, "chunked") || h.hasDuplicate(transferEncodingField)) {
		return errTransferCoding
	}
	if err := h.parseConnectionOptions(); err != nil {
		return err
	}
	expectation, _ := h.get(expectField)
	h.ExpectContinue = equalFold(expectation, "100-continue")
	if isChunked && h.hasLength { // both may be an attempt at request smuggling
		return errContentLength
	}
	if isChunked {
		h.framing = framedByChunks
	}
	return nil
}

// isTokenByte tells of each byte whether it may be part of a token.
var isTokenByte = func() (allowed [256]bool) {
	for c := '!'; c <= '~'; c++ {
		allowed[c] = !strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c)
	}
	return allowed
}()

// isToken reports whether b is a token of the HTTP grammar, as methods and field names are.
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// isRequestTarget reports whether b contains neither spaces nor control characters.
func isRequestTarget(b []byte) bool {
	return !bytes.ContainsFunc(b, func(c rune) bool { return c <= ' ' || c == 0x7f })
}

// isFieldValue reports whether b contains no control character but tabs.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// Discard removes the head from the reader's buffer, so that the body comes next. The head's slices are no longer
// valid then.
func (h *Head) Discard(r *bufio.Reader) {
	h.Method, h.Target, h.fieldLines = nil, nil, nil
	r.Discard(h.size)
	h.size = 0
}
