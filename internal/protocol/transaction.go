package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"strconv"
	"time"

	"spanmux/logic"
)

// Transaction is what a client asks for, in memory of its own. Own is the path of a call to the gateway itself.
type Transaction struct {
	GatewayPath   string
	TraceID       string
	Profile       string
	Effect        logic.Effect // as its method and mark have it
	Tenant        string
	Object        []byte
	Budget        time.Duration
	Body          []byte // all of it, or what came first
	RemainingBody *Body  // what is to come yet, nil where all is in hand
	HeadOnly      bool   // its answer has no body (HEAD)
	HTTP10        bool   // its client knows no chunks
	Close         bool
	bodied        bool   // its length was given, be it 0
	length        int    // of all, -1 where that is not said
	head          []byte // first line and fields as they go on
}

// ReadTransaction reads one from a client; goOn is called where the client waits for that. A body over the usual size is held whole
// where room says that there is room for so many bytes; else what is missing is its Rest.
func ReadTransaction(r *bufio.Reader, h *Head, goOn func() error, room func(bytes int) bool) (*Transaction, error) {
	if err := h.ReadRequest(r); err != nil {
		return nil, err
	}
	t := &Transaction{Close: h.Close, HTTP10: h.HTTP10, HeadOnly: string(h.Method) == "HEAD", length: -1}
	err := t.takeHead(h)
	expect := h.ExpectContinue
	h.Discard(r)
	if err == nil && h.framing == byLength && h.length > MaxBodyBytes {
		err = errBodyLong
	}
	if err != nil {
		return nil, err
	}
	if expect {
		if err := goOn(); err != nil {
			return nil, err
		}
	}
	rest := h.Body(r, MaxBodyBytes)
	if h.framing == byLength {
		if t.length = h.length; h.length > MaxBufferedBodyBytes && (h.length > heldMost || !room(h.length)) {
			t.RemainingBody = rest
			return t, nil
		}
		t.Body, _, err = rest.hold(h.length, h)
		if len(t.Body) < h.length && err == nil {
			err = errTorn
		}
		return t, err
	}
	whole := false
	if t.Body, whole, err = rest.hold(MaxBufferedBodyBytes, h); err != nil || whole {
		return t, err
	}
	if room(heldMost) {
		var more []byte
		if more, whole, err = rest.hold(heldMost-len(t.Body), h); err == nil {
			t.Body = append(t.Body, more...)
		}
	}
	if err == nil && !whole {
		t.RemainingBody = rest
	}
	return t, err
}

// ReadAdminRequest reads a call to the gateway itself that may have a body of most bytes, which says nothing.
func ReadAdminRequest(r *bufio.Reader, most int, goOn func() error) (method, path string, err error) {
	var h Head
	if err := h.ReadRequest(r); err != nil {
		return "", "", err
	}
	target, _, _ := bytes.Cut(h.Target, []byte("?"))
	method, path = string(h.Method), string(target)
	expect := h.ExpectContinue
	h.Discard(r)
	if expect {
		if err := goOn(); err != nil {
			return "", "", err
		}
	}
	_, err = h.ReadBody(r, most)
	return method, path, err
}

// takeHead copies what the transaction needs of its head.
func (t *Transaction) takeHead(h *Head) error {
	path, _, _ := bytes.Cut(h.Target, []byte("?"))
	trace, traced := h.Get(traceField)
	profile, named := h.Get(qosField)
	if !traced && !named {
		if string(h.Method) != "GET" && !t.HeadOnly {
			return &HTTPError{400, "no " + traceField}
		}
		t.GatewayPath = string(path)
		return nil
	}
	first, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/")), []byte("/"))
	if !named {
		profile = first
	}
	within, _ := h.Get(timeField)
	ms, err := strconv.ParseUint(string(within), 10, 32)
	mark, marked := h.Get(keyField)
	switch {
	case len(trace) == 0:
		return &HTTPError{400, "no " + traceField}
	case h.twice(traceField, qosField, timeField, keyField): // a host might go by the other one
		return &HTTPError{400, "a field given twice"}
	case !bytes.Equal(profile, first): // ditto
		return &HTTPError{400, "path not of this profile"}
	case err != nil || ms == 0 || ms > longestBudget:
		return &HTTPError{400, "missing or silly " + timeField}
	case marked && len(mark) == 0:
		return &HTTPError{400, "empty " + keyField}
	case (string(h.Method) == "GET" || t.HeadOnly) && (h.framing == chunked || h.length > 0): // a host might take it for a further message
		return &HTTPError{400, "body where there is none"}
	case string(h.Method) == "GET" || t.HeadOnly:
		t.Effect = logic.Idempotent
	case marked:
		t.Effect = logic.Journalled
	default:
		t.Effect = logic.NonIdempotent
	}
	_, sized := h.Get("Content-Length")
	t.bodied = sized || h.framing == chunked
	t.TraceID, t.Profile, t.Budget = string(trace), string(profile), time.Duration(ms)*time.Millisecond
	tenant, _ := h.Get(tenantField)
	object, _ := h.Get(objectField)
	t.Tenant, t.Object = string(tenant), bytes.Clone(object)
	t.head = make([]byte, 0, h.size+16)
	t.head = append(append(append(append(t.head, h.Method...), ' '), h.Target...), " HTTP/1.1\r\n"...)
	t.head = h.appendFields(t.head)
	return nil
}

// Response is what a host answers.
type Response struct {
	Status   int
	NeverRan bool // the host says that it has not begun
	Declined bool // the host can't use the transaction, and no other could
	Load     logic.LoadReport
	LoadErr  error // what is wrong with a report that came
	Body     []byte
	head     []byte
	length   int // of the body where that is said, else -1
}

var errNowhere = &HTTPError{502, "too long to be held"}

// ReadResponse reads one, to a transaction whose answer has no body if bare; keep tells whether the connection can carry more. One over the
// usual size that may go to the client is handed to stream with what has come of it, if there is such; its head is sound. So is one that
// does not say its size and is not whole by the time that soon sets to r: given up then, it would be cut off while its host gives it.
func ReadResponse(r *bufio.Reader, h *Head, bare bool, soon func(), stream func(a *Response, rest *Body) error) (a *Response, keep bool, err error) {
	if err := h.ReadResponse(r); err != nil {
		if err == io.EOF {
			err = errTorn
		}
		return nil, false, err
	}
	a = &Response{Status: h.Status, Load: logic.NoLoadReport, length: -1}
	never, _ := h.Get(neverField)
	a.NeverRan = (a.Status == 503 || a.Status == 504) && string(never) == "1"
	if report, ok := h.Get(loadField); ok {
		a.Load, a.LoadErr = ParseLoadReport(report)
	}
	// What a host finds wrong with a transaction is for the client to know. 408 and 429 tell of the host's own trouble,
	// and 429 would promise the client that nothing has run.
	a.Declined = a.Status >= 400 && a.Status < 500 && a.Status != 408 && a.Status != 429
	passes := a.Status == 200 || a.Declined
	if passes {
		a.head = h.appendFields(appendStatus(make([]byte, 0, h.size+40), a.Status))
	}
	h.Discard(r)
	if h.framing == byLength {
		a.length = h.length
	}
	if bare {
		return a, !h.Close && h.framing != untilClose, nil
	}
	if h.framing == byLength && h.length > MaxBodyBytes {
		return a, false, errBodyLong
	}
	rest, whole := h.Body(r, MaxBodyBytes), false
	if h.framing != byLength || h.length <= MaxBufferedBodyBytes {
		goesOn := h.framing != byLength && passes && stream != nil
		if goesOn {
			soon()
		}
		a.Body, whole, err = rest.hold(MaxBufferedBodyBytes, h)
		if err != nil && !(goesOn && errors.Is(err, os.ErrDeadlineExceeded)) {
			return a, false, err
		}
	}
	if !whole {
		if !passes || stream == nil {
			return a, false, errNowhere
		}
		err = stream(a, rest)
	} else if a.length < 0 {
		a.length = len(a.Body)
	}
	return a, !h.Close && err == nil, err
}

// ParseLoadReport reads a load report: figures set apart by commas, by the names of the sockets or of the settings. Others
// are passed over.
func ParseLoadReport(text []byte) (logic.LoadReport, error) {
	l := logic.NoLoadReport
	text = bytes.TrimSpace(bytes.TrimPrefix(bytes.TrimSpace(text), []byte("TEXT ")))
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte(","))
		name, value, ok := bytes.Cut(bytes.TrimSpace(pair), []byte("="))
		n, err := strconv.ParseFloat(string(value), 64)
		if !ok || err != nil || !(n >= 0 && n < 1e9) {
			return logic.NoLoadReport, &HTTPError{400, "malformed load report"}
		}
		switch string(bytes.TrimPrefix(name, []byte("named_metrics."))) {
		case "inflight", "rif":
			l.InFlight = n
		case "queue", "q":
			l.Queued = n
		case "util", "busy":
			l.Utilization = n
		case "qps", "rate":
			l.RequestsPerSecond = n
		case "latency_ms", "lat_ms":
			l.LatencyMs = n
		}
	}
	return l, nil
}
