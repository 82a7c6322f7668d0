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

// Transaction is a client's request. It does not refer to the reader's buffer. A request to the gateway itself has
// its path in GatewayPath, and neither trace ID nor profile; else GatewayPath is empty.
type Transaction struct {
	GatewayPath   string
	TraceID       string        // X-Trace-Id
	Profile       string        // request class: X-Qos, or else the first segment of the path
	Effect        logic.Effect  // follows from the method and the presence of an idempotency key
	Tenant        string        // X-Customer
	Object        []byte        // X-Object: key for host affinity
	Budget        time.Duration // X-Expires-In-Ms
	Body          Pieces        // the whole body, or its beginning if RemainingBody is set
	RemainingBody *Body         // the part of the body that has not been read, nil if there is none
	HeadOnly      bool          // HEAD: the response has no body
	HTTP10        bool          // the client uses HTTP/1.0 and does not understand the chunked coding
	Close         bool          // the client closes the connection after the response
	declaresBody  bool          // the head has a Content-Length, which may be 0, or the chunked coding
	bodyLength    int           // Content-Length, -1 if there is none
	forwardedHead []byte        // start line and fields for the host, without the final empty line
}

// RequestMemory is where the memory for a request is reserved before it is allocated. Both methods return false if there
// is none.
type RequestMemory interface {
	Reserve(bytes int) bool      // for its head, and for a body of up to MaxBufferedBodyBytes
	ReserveLarge(bytes int) bool // for a longer body, which can also be passed on as it comes
}

// ReadTransaction reads a request from a client. It calls sendContinue if the client waits for "100 Continue". A body is
// read to its end if it is no longer than MaxBufferedBodyBytes, or maxLargeBufferedBodyBytes where ReserveLarge allows,
// and if there is memory for it; else the rest of it is left to be read in RemainingBody. With an error after its head
// was understood the request is returned as well.
func ReadTransaction(r *bufio.Reader, h *Head, sendContinue func() error, memory RequestMemory) (*Transaction, error) {
	if err := h.ReadRequest(r); err != nil {
		return nil, err
	}
	if !memory.Reserve(h.size) {
		return nil, ErrNoMemory
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
			return t, err
		}
	}
	return t, t.readBody(h, h.Body(r, MaxBodyBytes), memory)
}

// readBody reads the body of a request, or the beginning of it.
func (t *Transaction) readBody(h *Head, body *Body, memory RequestMemory) (err error) {
	maxBytes, reserve := MaxBufferedBodyBytes, memory.Reserve
	if h.framing == framedByLength {
		if t.bodyLength = h.contentLength; h.contentLength > MaxBufferedBodyBytes {
			if h.contentLength > maxLargeBufferedBodyBytes || !memory.ReserveLarge(h.contentLength) {
				t.RemainingBody = body
				return nil
			}
			maxBytes, reserve = h.contentLength, unlimited // reserved as a whole
		}
	}
	complete := false
	if t.Body, complete, err = body.readAtMost(maxBytes, reserve); err != nil || complete {
		return err
	}
	if h.framing == framedByChunks && t.Body.Len() > MaxBufferedBodyBytes && memory.ReserveLarge(maxLargeBufferedBodyBytes) {
		var more Pieces
		if more, complete, err = body.readAtMost(maxLargeBufferedBodyBytes-t.Body.Len(), unlimited); err == nil {
			t.Body = append(t.Body, more...)
		}
	}
	if err == nil && !complete {
		t.RemainingBody = body
	}
	return err
}

// ReadAdminRequest reads a request to the admin API. Its body, of at most maxBodyBytes, is discarded.
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

// parseHead copies from the head what the transaction needs of it, and validates that.
func (t *Transaction) parseHead(h *Head) error {
	path, _, _ := bytes.Cut(h.Target, []byte("?"))
	trace, hasTrace := h.get(traceIDField)
	profile, hasProfile := h.get(profileField)
	if !hasTrace && !hasProfile {
		if string(h.Method) != "GET" && !t.HeadOnly {
			return &HTTPError{400, "no " + fieldNames[traceIDField]}
		}
		t.GatewayPath = string(path)
		return nil
	}
	firstSegment, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/")), []byte("/"))
	if !hasProfile {
		profile = firstSegment
	}
	budgetText, _ := h.get(expiresInField)
	budgetMillis, err := strconv.ParseUint(string(budgetText), 10, 32)
	idempotencyKey, hasIdempotencyKey := h.get(idempotencyKeyField)
	switch {
	case len(trace) == 0:
		return &HTTPError{400, "no " + fieldNames[traceIDField]}
	case h.hasDuplicate(traceIDField, profileField, expiresInField, idempotencyKeyField): // the host might use the other value
		return &HTTPError{400, "a field given twice"}
	case !bytes.Equal(profile, firstSegment): // the host might go by the path
		return &HTTPError{400, "path not of this profile"}
	case err != nil || budgetMillis == 0 || budgetMillis > maxBudgetMillis:
		return &HTTPError{400, "missing or silly " + fieldNames[expiresInField]}
	case hasIdempotencyKey && len(idempotencyKey) == 0:
		return &HTTPError{400, "empty " + fieldNames[idempotencyKeyField]}
	case (string(h.Method) == "GET" || t.HeadOnly) && (h.framing == framedByChunks || h.contentLength > 0): // a host might take the body for another request
		return &HTTPError{400, "body where there is none"}
	case string(h.Method) == "GET" || t.HeadOnly:
		t.Effect = logic.Idempotent
	case hasIdempotencyKey:
		t.Effect = logic.Deduplicated
	default:
		t.Effect = logic.NonIdempotent
	}
	t.declaresBody = h.hasLength || h.framing == framedByChunks
	t.TraceID, t.Profile, t.Budget = string(trace), string(profile), time.Duration(budgetMillis)*time.Millisecond
	tenant, _ := h.get(tenantField)
	object, _ := h.get(objectField)
	t.Tenant, t.Object = string(tenant), bytes.Clone(object)
	t.forwardedHead = make([]byte, 0, h.size+16)
	t.forwardedHead = append(append(append(append(t.forwardedHead, h.Method...), ' '), h.Target...), " HTTP/1.1\r\n"...)
	t.forwardedHead = h.appendForwardedFields(t.forwardedHead)
	return nil
}

// Response is a host's response.
type Response struct {
	Status        int
	NeverRan      bool // the host says that it has not begun the transaction
	Declined      bool // the host rejects the transaction as invalid, as any other host would
	Load          logic.LoadReport
	LoadErr       error  // non-nil if the response has a malformed load report
	Body          Pieces // the whole body, or its beginning if the response is streamed
	forwardedHead []byte // status line and fields for the client, without the final empty line; nil if not to be forwarded
	bodyLength    int    // Content-Length, or the length of a body that has been read whole; else -1
}

// errTooLongToBuffer is returned for a response that can neither be buffered nor streamed.
var errTooLongToBuffer = &HTTPError{502, "too long to be held"}

// ReadResponse reads a host's response. headOnly is set if the request was a HEAD. keepAlive reports whether the
// connection can be used again.
//
// stream, if not nil, is called for a response that may be forwarded and is not buffered whole, with what has been
// read of its body and a reader of the rest; its head is valid. Such a response is longer than
// MaxBufferedBodyBytes, or has no Content-Length and is not complete by the read deadline that limitReadTime sets on
// the connection. Treating that deadline as an error would cut off a response that its host is still sending.
//
// reserve is called before memory is allocated for the body, with the number of bytes. When it returns false, a response
// that may be streamed is, however short it is.
func ReadResponse(r *bufio.Reader, h *Head, headOnly bool, limitReadTime func(), reserve func(bytes int) bool, stream func(response *Response, body *Body) error) (response *Response, keepAlive bool, err error) {
	if err := h.ReadResponse(r); err != nil {
		if err == io.EOF {
			err = errTruncated
		}
		return nil, false, err
	}
	response = &Response{Status: h.Status, Load: logic.NoLoadReport, bodyLength: -1}
	neverRan, _ := h.get(neverRanField)
	response.NeverRan = (response.Status == 503 || response.Status == 504) && string(neverRan) == "1"
	if report, ok := h.get(loadReportField); ok {
		response.Load, response.LoadErr = ParseLoadReport(report)
	}
	// A host's verdict on the request is forwarded to the client. 408 and 429 are about the host's own condition, and
	// 429 would promise the client that nothing has run.
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
	if !forwardable { // only the head of such a response is of use
		err := body.discard(MaxBufferedBodyBytes)
		return response, !h.Close && err == nil, err
	}
	if h.framing != framedByLength || h.contentLength <= MaxBufferedBodyBytes {
		mayStream := h.framing != framedByLength && stream != nil
		if mayStream {
			limitReadTime()
		}
		response.Body, complete, err = body.readAtMost(MaxBufferedBodyBytes, reserve)
		if err != nil && !(mayStream && errors.Is(err, os.ErrDeadlineExceeded)) {
			return response, false, err
		}
	}
	if !complete {
		if stream == nil {
			return response, false, errTooLongToBuffer
		}
		err = stream(response, body)
	} else if response.bodyLength < 0 {
		response.bodyLength = response.Body.Len()
	}
	return response, !h.Close && err == nil, err
}

// ParseLoadReport parses a load report: comma-separated pairs name=value. A figure may have the name that hosts use
// in HTTP or the one that the settings use; figures of other names are ignored.
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
