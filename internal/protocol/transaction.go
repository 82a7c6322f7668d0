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
	lengthGiven   bool   // its length was given, be it 0
	bodyLength    int    // of all, -1 where that is not said
	forwardedHead []byte // first line and fields as they go on
}

// ReadTransaction reads one from a client; goOn is called where the client waits for that. A body over the usual size is held whole
// where room says that there is room for so many bytes; else what is missing is its Rest.
func ReadTransaction(r *bufio.Reader, h *Head, sendContinue func() error, reserveBuffer func(bytes int) bool) (*Transaction, error) {
	if err := h.ReadRequest(r); err != nil {
		return nil, err
	}
	t := &Transaction{Close: h.Close, HTTP10: h.HTTP10, HeadOnly: string(h.Method) == "HEAD", bodyLength: -1}
	err := t.parseHead(h)
	expectContinue := h.ExpectContinue
	h.Discard(r)
	if err == nil && h.framing == framedByLength && h.contentLength > MaxBodyBytes {
		err = errBodyTooLong
	}
	if err != nil {
		return nil, err
	}
	if expectContinue {
		if err := sendContinue(); err != nil {
			return nil, err
		}
	}
	body := h.Body(r, MaxBodyBytes)
	if h.framing == framedByLength {
		if t.bodyLength = h.contentLength; h.contentLength > MaxBufferedBodyBytes && (h.contentLength > maxLargeBufferedBodyBytes || !reserveBuffer(h.contentLength)) {
			t.RemainingBody = body
			return t, nil
		}
		t.Body, _, err = body.readAtMost(h.contentLength, h)
		if len(t.Body) < h.contentLength && err == nil {
			err = errTruncated
		}
		return t, err
	}
	complete := false
	if t.Body, complete, err = body.readAtMost(MaxBufferedBodyBytes, h); err != nil || complete {
		return t, err
	}
	if reserveBuffer(maxLargeBufferedBodyBytes) {
		var more []byte
		if more, complete, err = body.readAtMost(maxLargeBufferedBodyBytes-len(t.Body), h); err == nil {
			t.Body = append(t.Body, more...)
		}
	}
	if err == nil && !complete {
		t.RemainingBody = body
	}
	return t, err
}

// ReadAdminRequest reads a call to the gateway itself that may have a body of most bytes, which says nothing.
func ReadAdminRequest(r *bufio.Reader, maxBodyBytes int, sendContinue func() error) (method, path string, err error) {
	var h Head
	if err := h.ReadRequest(r); err != nil {
		return "", "", err
	}
	target, _, _ := bytes.Cut(h.Target, []byte("?"))
	method, path = string(h.Method), string(target)
	expectContinue := h.ExpectContinue
	h.Discard(r)
	if expectContinue {
		if err := sendContinue(); err != nil {
			return "", "", err
		}
	}
	_, err = h.ReadBody(r, maxBodyBytes)
	return method, path, err
}

// parseHead copies what the transaction needs of its head.
func (t *Transaction) parseHead(h *Head) error {
	path, _, _ := bytes.Cut(h.Target, []byte("?"))
	trace, hasTrace := h.Get(traceIDField)
	profile, hasProfile := h.Get(profileField)
	if !hasTrace && !hasProfile {
		if string(h.Method) != "GET" && !t.HeadOnly {
			return &HTTPError{400, "no " + traceIDField}
		}
		t.GatewayPath = string(path)
		return nil
	}
	firstSegment, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/")), []byte("/"))
	if !hasProfile {
		profile = firstSegment
	}
	budgetText, _ := h.Get(expiresInField)
	budgetMillis, err := strconv.ParseUint(string(budgetText), 10, 32)
	idempotencyKey, hasIdempotencyKey := h.Get(idempotencyKeyField)
	switch {
	case len(trace) == 0:
		return &HTTPError{400, "no " + traceIDField}
	case h.hasDuplicate(traceIDField, profileField, expiresInField, idempotencyKeyField): // a host might go by the other one
		return &HTTPError{400, "a field given twice"}
	case !bytes.Equal(profile, firstSegment): // ditto
		return &HTTPError{400, "path not of this profile"}
	case err != nil || budgetMillis == 0 || budgetMillis > maxBudgetMillis:
		return &HTTPError{400, "missing or silly " + expiresInField}
	case hasIdempotencyKey && len(idempotencyKey) == 0:
		return &HTTPError{400, "empty " + idempotencyKeyField}
	case (string(h.Method) == "GET" || t.HeadOnly) && (h.framing == framedByChunks || h.contentLength > 0): // a host might take it for a further message
		return &HTTPError{400, "body where there is none"}
	case string(h.Method) == "GET" || t.HeadOnly:
		t.Effect = logic.Idempotent
	case hasIdempotencyKey:
		t.Effect = logic.Journalled
	default:
		t.Effect = logic.NonIdempotent
	}
	_, hasContentLength := h.Get("Content-Length")
	t.lengthGiven = hasContentLength || h.framing == framedByChunks
	t.TraceID, t.Profile, t.Budget = string(trace), string(profile), time.Duration(budgetMillis)*time.Millisecond
	tenant, _ := h.Get(tenantField)
	object, _ := h.Get(objectField)
	t.Tenant, t.Object = string(tenant), bytes.Clone(object)
	t.forwardedHead = make([]byte, 0, h.size+16)
	t.forwardedHead = append(append(append(append(t.forwardedHead, h.Method...), ' '), h.Target...), " HTTP/1.1\r\n"...)
	t.forwardedHead = h.appendForwardedFields(t.forwardedHead)
	return nil
}

// Response is what a host answers.
type Response struct {
	Status        int
	NeverRan      bool // the host says that it has not begun
	Declined      bool // the host can't use the transaction, and no other could
	Load          logic.LoadReport
	LoadErr       error // what is wrong with a report that came
	Body          []byte
	forwardedHead []byte
	bodyLength    int // of the body where that is said, else -1
}

var errTooLongToBuffer = &HTTPError{502, "too long to be held"}

// ReadResponse reads one, to a transaction whose answer has no body if bare; keep tells whether the connection can carry more. One over the
// usual size that may go to the client is handed to stream with what has come of it, if there is such; its head is sound. So is one that
// does not say its size and is not whole by the time that soon sets to r: given up then, it would be cut off while its host gives it.
func ReadResponse(r *bufio.Reader, h *Head, headOnly bool, limitReadTime func(), stream func(response *Response, body *Body) error) (response *Response, keepAlive bool, err error) {
	if err := h.ReadResponse(r); err != nil {
		if err == io.EOF {
			err = errTruncated
		}
		return nil, false, err
	}
	response = &Response{Status: h.Status, Load: logic.NoLoadReport, bodyLength: -1}
	neverRan, _ := h.Get(neverRanField)
	response.NeverRan = (response.Status == 503 || response.Status == 504) && string(neverRan) == "1"
	if report, ok := h.Get(loadReportField); ok {
		response.Load, response.LoadErr = ParseLoadReport(report)
	}
	// What a host finds wrong with a transaction is for the client to know. 408 and 429 tell of the host's own trouble,
	// and 429 would promise the client that nothing has run.
	response.Declined = response.Status >= 400 && response.Status < 500 && response.Status != 408 && response.Status != 429
	forwardable := response.Status == 200 || response.Declined
	if forwardable {
		response.forwardedHead = h.appendForwardedFields(appendStatusLine(make([]byte, 0, h.size+40), response.Status))
	}
	h.Discard(r)
	if h.framing == framedByLength {
		response.bodyLength = h.contentLength
	}
	if headOnly {
		return response, !h.Close && h.framing != framedByClose, nil
	}
	if h.framing == framedByLength && h.contentLength > MaxBodyBytes {
		return response, false, errBodyTooLong
	}
	body, complete := h.Body(r, MaxBodyBytes), false
	if h.framing != framedByLength || h.contentLength <= MaxBufferedBodyBytes {
		mayStream := h.framing != framedByLength && forwardable && stream != nil
		if mayStream {
			limitReadTime()
		}
		response.Body, complete, err = body.readAtMost(MaxBufferedBodyBytes, h)
		if err != nil && !(mayStream && errors.Is(err, os.ErrDeadlineExceeded)) {
			return response, false, err
		}
	}
	if !complete {
		if !forwardable || stream == nil {
			return response, false, errTooLongToBuffer
		}
		err = stream(response, body)
	} else if response.bodyLength < 0 {
		response.bodyLength = len(response.Body)
	}
	return response, !h.Close && err == nil, err
}

// ParseLoadReport reads a load report: figures set apart by commas, by the names of the sockets or of the settings. Others
// are passed over.
func ParseLoadReport(report []byte) (logic.LoadReport, error) {
	load := logic.NoLoadReport
	report = bytes.TrimSpace(bytes.TrimPrefix(bytes.TrimSpace(report), []byte("TEXT ")))
	for len(report) > 0 {
		var pair []byte
		pair, report, _ = bytes.Cut(report, []byte(","))
		name, value, ok := bytes.Cut(bytes.TrimSpace(pair), []byte("="))
		number, err := strconv.ParseFloat(string(value), 64)
		if !ok || err != nil || !(number >= 0 && number < 1e9) {
			return logic.NoLoadReport, &HTTPError{400, "malformed load report"}
		}
		switch string(bytes.TrimPrefix(name, []byte("named_metrics."))) {
		case "inflight", "rif":
			load.InFlight = number
		case "queue", "q":
			load.Queued = number
		case "util", "busy":
			load.Utilization = number
		case "qps", "rate":
			load.RequestsPerSecond = number
		case "latency_ms", "lat_ms":
			load.LatencyMs = number
		}
	}
	return load, nil
}
