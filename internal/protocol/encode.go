package protocol

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// EncodeForHost returns the request as it is written to a host, with the time for which the gateway waits for the
// response. If RemainingBody is set it is the beginning of the request, and EncodePiece encodes the rest.
func (t *Transaction) EncodeForHost(timeout time.Duration) net.Buffers {
	lastFields := make([]byte, 0, 80)
	lastFields = append(lastFields, fieldNames[expiresInField]+": "...)
	lastFields = strconv.AppendInt(lastFields, max(1, timeout.Milliseconds()), 10)
	switch {
	case t.RemainingBody != nil && t.bodyLength < 0:
		return append(net.Buffers{t.forwardedHead, append(lastFields, "\r\nTransfer-Encoding: chunked\r\n\r\n"...)}, t.Body.encodeChunk(false)...)
	case t.RemainingBody != nil:
		lastFields = strconv.AppendInt(append(lastFields, "\r\nContent-Length: "...), int64(t.bodyLength), 10)
	case t.declaresBody:
		lastFields = strconv.AppendInt(append(lastFields, "\r\nContent-Length: "...), int64(t.Body.Len()), 10)
	}
	return joinMessage(t.forwardedHead, append(lastFields, "\r\n\r\n"...), t.Body...)
}

// EncodePiece encodes a further piece of the body for a host. last marks the end of the body.
func (t *Transaction) EncodePiece(piece []byte, last bool) net.Buffers {
	if t.bodyLength < 0 {
		return EncodeChunk(piece, last)
	}
	return net.Buffers{piece}
}

// DropMessage drops what EncodeForHost needs, once the request is sent to no further host.
func (t *Transaction) DropMessage() { t.forwardedHead, t.Body = nil, nil }

// joinMessage returns the parts of a message for one gathered write.
func joinMessage(head, lastFields []byte, body ...[]byte) net.Buffers {
	return append(net.Buffers{head, lastFields}, body...)
}

// EncodeGet returns a GET request without a body, as for probes and the host list.
func EncodeGet(target, host string) net.Buffers {
	return net.Buffers{[]byte("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")}
}

// ContinueResponse requests the body from a client that sent "Expect: 100-continue".
var ContinueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// TextResponse returns a response of the gateway itself to a client. retryAfter is the value of its Retry-After, which
// is left out if that is 0. closeConn announces that the connection closes after the response, as in all functions
// below.
func TextResponse(status int, text string, retryAfter time.Duration, closeConn bool) net.Buffers {
	head := append(appendStatusLine(nil, status), "Content-Type: text/plain\r\n"...)
	if retryAfter > 0 {
		head = append(head, "Retry-After: "...)
		head = append(strconv.AppendFloat(head, retryAfter.Seconds(), 'f', 3, 64), "\r\n"...)
	}
	return joinMessage(head, endHeadWithLength(len(text), closeConn), []byte(text))
}

// AdminResponse returns a response of the admin API, after which the connection closes. allow is the value of its Allow
// field, which is left out if that is empty. A body that begins with a brace is sent as JSON.
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

// appendStatusLine appends the status line of a response.
func appendStatusLine(dst []byte, status int) []byte {
	dst = strconv.AppendInt(append(dst, "HTTP/1.1 "...), int64(status), 10)
	return append(append(append(dst, ' '), http.StatusText(status)...), "\r\n"...)
}

// EncodeForClient returns a host's response as it is forwarded to the client. It has a Content-Length if the length is
// known, even without the body, as in the response to a HEAD.
func (r *Response) EncodeForClient(closeConn bool) net.Buffers {
	if r.bodyLength < 0 { // the response to a HEAD may lack the length
		return net.Buffers{r.forwardedHead, endHead(nil, closeConn)}
	}
	return joinMessage(r.forwardedHead, endHeadWithLength(r.bodyLength, closeConn), r.Body...)
}

// StreamFraming is how the end of a streamed response is marked to the client. Its values are handed over to the next
// process.
type StreamFraming int

const (
	FramingLength  StreamFraming = iota // by Content-Length
	FramingChunked                      // by the chunked coding
	FramingClose                        // by closing the connection, as the client uses HTTP/1.0
)

// EncodeStreamStart returns the head of a streamed response as it is forwarded, with what has been read of its body,
// and the framing of what follows. http10 is set if the client uses HTTP/1.0.
func (r *Response) EncodeStreamStart(http10, closeConn bool) (net.Buffers, StreamFraming) {
	switch {
	case r.bodyLength >= 0:
		return joinMessage(r.forwardedHead, endHeadWithLength(r.bodyLength, closeConn), r.Body...), FramingLength
	case http10:
		return joinMessage(r.forwardedHead, endHead(nil, true), r.Body...), FramingClose
	}
	return append(net.Buffers{r.forwardedHead, endHead([]byte("Transfer-Encoding: chunked\r\n"), closeConn)}, r.Body.encodeChunk(false)...), FramingChunked
}

// EncodePiece encodes a further piece of a streamed response. last marks its end.
func (f StreamFraming) EncodePiece(piece []byte, last bool) net.Buffers {
	if f == FramingChunked {
		return EncodeChunk(piece, last)
	}
	return net.Buffers{piece}
}

// endHead appends the end of a head to its last fields.
func endHead(lastFields []byte, closeConn bool) []byte {
	if closeConn {
		lastFields = append(lastFields, "Connection: close\r\n"...)
	}
	return append(lastFields, "\r\n"...)
}

// endHeadWithLength returns the end of a head, with a Content-Length.
func endHeadWithLength(length int, closeConn bool) []byte {
	lastFields := append(make([]byte, 0, 64), "Content-Length: "...)
	lastFields = strconv.AppendInt(lastFields, int64(length), 10)
	if closeConn {
		lastFields = append(lastFields, "\r\nConnection: close"...)
	}
	return append(lastFields, "\r\n\r\n"...)
}
