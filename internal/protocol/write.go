package protocol

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// The fields that this protocol adds to HTTP.
const (
	traceIDField        = "X-Trace-Id"
	profileField        = "X-Qos"
	tenantField         = "X-Customer"
	objectField         = "X-Object"
	expiresInField      = "X-Expires-In-Ms"
	idempotencyKeyField = "Idempotency-Key"
	neverRanField       = "X-Never-Ran"
	loadReportField     = "Endpoint-Load-Metrics"
)

// Those that concern one connection only, or are written anew.
var unforwardedFields = []string{"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Expect", expiresInField, loadReportField, neverRanField}

// appendForwardedFields copies the fields that go on to the other side.
func (h *Head) appendForwardedFields(dst []byte) []byte {
next:
	for _, f := range h.Fields {
		for _, name := range unforwardedFields {
			if equalFold(f.Name, name) {
				continue next
			}
		}
		for _, other := range h.Fields {
			if equalFold(other.Name, "Connection") && listContains(other.Value, string(f.Name)) {
				continue next
			}
		}
		dst = append(append(append(append(dst, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return dst
}

// EncodeForHost is the transaction as it is written to a host, with the time for which the gateway will wait.
func (t *Transaction) EncodeForHost(timeout time.Duration) net.Buffers {
	lastFields := make([]byte, 0, 80)
	lastFields = append(lastFields, expiresInField+": "...)
	lastFields = strconv.AppendInt(lastFields, max(1, timeout.Milliseconds()), 10)
	switch {
	case t.RemainingBody != nil && t.bodyLength < 0:
		return append(net.Buffers{t.forwardedHead, append(lastFields, "\r\nTransfer-Encoding: chunked\r\n\r\n"...)}, EncodeChunk(t.Body, false)...)
	case t.RemainingBody != nil:
		lastFields = strconv.AppendInt(append(lastFields, "\r\nContent-Length: "...), int64(t.bodyLength), 10)
	case t.lengthGiven:
		lastFields = strconv.AppendInt(append(lastFields, "\r\nContent-Length: "...), int64(len(t.Body)), 10)
	}
	return joinMessage(t.forwardedHead, append(lastFields, "\r\n\r\n"...), t.Body)
}

// EncodePiece is a further piece of the body as it is written to a host.
func (t *Transaction) EncodePiece(piece []byte, last bool) net.Buffers {
	if t.bodyLength < 0 {
		return EncodeChunk(piece, last)
	}
	return net.Buffers{piece}
}

// joinMessage leaves out an empty body: a gathered write need not carry it.
func joinMessage(head, lastFields, body []byte) net.Buffers {
	if len(body) == 0 {
		return net.Buffers{head, lastFields}
	}
	return net.Buffers{head, lastFields, body}
}

// EncodeGet is a call without a body, as for probes and the list.
func EncodeGet(target, host string) net.Buffers {
	return net.Buffers{[]byte("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")}
}

// ContinueResponse tells a client that waits for it to send the body.
var ContinueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// TextResponse is an answer of the gateway's own; after is when to come back, 0 for no word on that.
func TextResponse(status int, text string, retryAfter time.Duration, closeConn bool) net.Buffers {
	head := append(appendStatusLine(nil, status), "Content-Type: text/plain\r\n"...)
	if retryAfter > 0 {
		head = append(head, "Retry-After: "...)
		head = append(strconv.AppendFloat(head, retryAfter.Seconds(), 'f', 3, 64), "\r\n"...)
	}
	return joinMessage(head, endHeadWithLength(len(text), closeConn), []byte(text))
}

// AdminResponse is the one answer to an operator's call, after which the connection closes; allow names the method that it should have had.
func AdminResponse(status int, allow string, body []byte) net.Buffers {
	head := appendStatusLine(nil, status)
	if allow != "" {
		head = append(append(append(head, "Allow: "...), allow...), "\r\n"...)
	}
	if len(body) > 0 && body[0] == '{' {
		head = append(head, "Content-Type: application/json\r\n"...)
	} else {
		head = append(head, "Content-Type: text/plain\r\n"...)
	}
	return joinMessage(head, endHeadWithLength(len(body), true), body)
}

func appendStatusLine(dst []byte, status int) []byte {
	dst = strconv.AppendInt(append(dst, "HTTP/1.1 "...), int64(status), 10)
	return append(append(append(dst, ' '), http.StatusText(status)...), "\r\n"...)
}

// EncodeForClient is a host's answer as it is passed on. It says its length, whether or not its body comes with it.
func (r *Response) EncodeForClient(closeConn bool) net.Buffers {
	if r.bodyLength < 0 { // of one without a body
		return net.Buffers{r.forwardedHead, endHead(nil, closeConn)}
	}
	return joinMessage(r.forwardedHead, endHeadWithLength(r.bodyLength, closeConn), r.Body)
}

// StreamFraming is how a streamed answer's end is told.
type StreamFraming int

const (
	FramingLength  StreamFraming = iota // its length was said
	FramingChunked                      // each piece says its length
	FramingClose                        // the connection closes, as the client knows nothing else
)

// EncodeStreamStart is a streamed answer's head as it is passed on, with what has come of its body.
func (r *Response) EncodeStreamStart(http10, closeConn bool) (net.Buffers, StreamFraming) {
	switch {
	case r.bodyLength >= 0:
		return joinMessage(r.forwardedHead, endHeadWithLength(r.bodyLength, closeConn), r.Body), FramingLength
	case http10:
		return joinMessage(r.forwardedHead, endHead(nil, true), r.Body), FramingClose
	}
	return append(net.Buffers{r.forwardedHead, endHead([]byte("Transfer-Encoding: chunked\r\n"), closeConn)}, EncodeChunk(r.Body, false)...), FramingChunked
}

// EncodePiece is a further piece of a streamed answer.
func (f StreamFraming) EncodePiece(piece []byte, last bool) net.Buffers {
	if f == FramingChunked {
		return EncodeChunk(piece, last)
	}
	return net.Buffers{piece}
}

func endHead(lastFields []byte, closeConn bool) []byte {
	if closeConn {
		lastFields = append(lastFields, "Connection: close\r\n"...)
	}
	return append(lastFields, "\r\n"...)
}

func endHeadWithLength(length int, closeConn bool) []byte {
	lastFields := append(make([]byte, 0, 64), "Content-Length: "...)
	lastFields = strconv.AppendInt(lastFields, int64(length), 10)
	if closeConn {
		lastFields = append(lastFields, "\r\nConnection: close"...)
	}
	return append(lastFields, "\r\n\r\n"...)
}
