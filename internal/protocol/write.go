package protocol

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// The fields that this protocol adds to HTTP.
const (
	traceField  = "X-Trace-Id"
	qosField    = "X-Qos"
	tenantField = "X-Customer"
	objectField = "X-Object"
	timeField   = "X-Expires-In-Ms"
	keyField    = "Idempotency-Key"
	neverField  = "X-Never-Ran"
	loadField   = "Endpoint-Load-Metrics"
)

// Those that concern one connection only, or are written anew.
var notPassedOn = []string{"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Expect", timeField, loadField, neverField}

// appendFields copies the fields that go on to the other side.
func (h *Head) appendFields(to []byte) []byte {
next:
	for _, f := range h.Fields {
		for _, name := range notPassedOn {
			if equalFold(f.Name, name) {
				continue next
			}
		}
		for _, other := range h.Fields {
			if equalFold(other.Name, "Connection") && names(other.Value, string(f.Name)) {
				continue next
			}
		}
		to = append(append(append(append(to, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return to
}

// EncodeForHost is the transaction as it is written to a host, with the time for which the gateway will wait.
func (t *Transaction) EncodeForHost(wait time.Duration) net.Buffers {
	tail := make([]byte, 0, 80)
	tail = append(tail, timeField+": "...)
	tail = strconv.AppendInt(tail, max(1, wait.Milliseconds()), 10)
	switch {
	case t.RemainingBody != nil && t.length < 0:
		return append(net.Buffers{t.head, append(tail, "\r\nTransfer-Encoding: chunked\r\n\r\n"...)}, EncodeChunk(t.Body, false)...)
	case t.RemainingBody != nil:
		tail = strconv.AppendInt(append(tail, "\r\nContent-Length: "...), int64(t.length), 10)
	case t.bodied:
		tail = strconv.AppendInt(append(tail, "\r\nContent-Length: "...), int64(len(t.Body)), 10)
	}
	return gather(t.head, append(tail, "\r\n\r\n"...), t.Body)
}

// EncodePiece is a further piece of the body as it is written to a host.
func (t *Transaction) EncodePiece(piece []byte, last bool) net.Buffers {
	if t.length < 0 {
		return EncodeChunk(piece, last)
	}
	return net.Buffers{piece}
}

// gather leaves out an empty body: a gathered write need not carry it.
func gather(head, tail, body []byte) net.Buffers {
	if len(body) == 0 {
		return net.Buffers{head, tail}
	}
	return net.Buffers{head, tail, body}
}

// EncodeGet is a call without a body, as for probes and the list.
func EncodeGet(target, host string) net.Buffers {
	return net.Buffers{[]byte("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")}
}

// ContinueResponse tells a client that waits for it to send the body.
var ContinueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// TextResponse is an answer of the gateway's own; after is when to come back, 0 for no word on that.
func TextResponse(status int, text string, after time.Duration, closing bool) net.Buffers {
	head := append(appendStatus(nil, status), "Content-Type: text/plain\r\n"...)
	if after > 0 {
		head = append(head, "Retry-After: "...)
		head = append(strconv.AppendFloat(head, after.Seconds(), 'f', 3, 64), "\r\n"...)
	}
	return gather(head, ending(len(text), closing), []byte(text))
}

// AdminResponse is the one answer to an operator's call, after which the connection closes; allow names the method that it should have had.
func AdminResponse(status int, allow string, text []byte) net.Buffers {
	head := appendStatus(nil, status)
	if allow != "" {
		head = append(append(append(head, "Allow: "...), allow...), "\r\n"...)
	}
	if len(text) > 0 && text[0] == '{' {
		head = append(head, "Content-Type: application/json\r\n"...)
	} else {
		head = append(head, "Content-Type: text/plain\r\n"...)
	}
	return gather(head, ending(len(text), true), text)
}

func appendStatus(to []byte, status int) []byte {
	to = strconv.AppendInt(append(to, "HTTP/1.1 "...), int64(status), 10)
	return append(append(append(to, ' '), http.StatusText(status)...), "\r\n"...)
}

// EncodeForClient is a host's answer as it is passed on. It says its length, whether or not its body comes with it.
func (a *Response) EncodeForClient(closing bool) net.Buffers {
	if a.length < 0 { // of one without a body
		return net.Buffers{a.head, closed(nil, closing)}
	}
	return gather(a.head, ending(a.length, closing), a.Body)
}

// StreamFraming is how a streamed answer's end is told.
type StreamFraming int

const (
	FramingLength  StreamFraming = iota // its length was said
	FramingChunked                      // each piece says its length
	FramingClose                        // the connection closes, as the client knows nothing else
)

// EncodeStreamStart is a streamed answer's head as it is passed on, with what has come of its body.
func (a *Response) EncodeStreamStart(old, closing bool) (net.Buffers, StreamFraming) {
	switch {
	case a.length >= 0:
		return gather(a.head, ending(a.length, closing), a.Body), FramingLength
	case old:
		return gather(a.head, closed(nil, true), a.Body), FramingClose
	}
	return append(net.Buffers{a.head, closed([]byte("Transfer-Encoding: chunked\r\n"), closing)}, EncodeChunk(a.Body, false)...), FramingChunked
}

// EncodePiece is a further piece of a streamed answer.
func (f StreamFraming) EncodePiece(piece []byte, last bool) net.Buffers {
	if f == FramingChunked {
		return EncodeChunk(piece, last)
	}
	return net.Buffers{piece}
}

func closed(tail []byte, closing bool) []byte {
	if closing {
		tail = append(tail, "Connection: close\r\n"...)
	}
	return append(tail, "\r\n"...)
}

func ending(length int, closing bool) []byte {
	tail := append(make([]byte, 0, 64), "Content-Length: "...)
	tail = strconv.AppendInt(tail, int64(length), 10)
	if closing {
		tail = append(tail, "\r\nConnection: close"...)
	}
	return append(tail, "\r\n\r\n"...)
}
