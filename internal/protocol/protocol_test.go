package protocol

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// printParsed parses a request and prints the transaction, as parsed and as written to a host, or the error.
func printParsed(text string) {
	r := bufio.NewReaderSize(strings.NewReader(text), 256)
	var h Head
	t, err := ReadTransaction(r, &h, func() error { fmt.Println("told to go on"); return nil },
		memoryForRequests{maxLarge: 300_000})
	var httpErr *HTTPError
	switch {
	case errors.As(err, &httpErr):
		fmt.Println(httpErr.Status, httpErr)
	case err != nil:
		fmt.Println(err)
	case t.GatewayPath != "":
		fmt.Println("own", t.GatewayPath)
	default:
		fmt.Println(t.Profile, t.Effect, t.Budget, cmp.Or(string(t.Body.Bytes()), "-"))
		fmt.Println(wireText(t.EncodeForHost(70 * time.Millisecond)))
	}
}

// memoryForRequests has memory for all but bodies that are too large.
type memoryForRequests struct{ maxLarge int }

func (m memoryForRequests) Reserve(int) bool { return true }

func (m memoryForRequests) ReserveLarge(bytes int) bool { return bytes < m.maxLarge }

// wireText returns the bytes that are sent, with | for each CRLF.
func wireText(b net.Buffers) string {
	var all []byte
	for _, part := range b {
		all = append(all, part...)
	}
	return strings.ReplaceAll(string(all), "\r\n", "|")
}

// commonFields are the fields that every transaction needs.
const commonFields = "X-Trace-Id: 9b\r\nX-Expires-In-Ms: 480\r\n"

// A transaction is forwarded with its request line, its body and the fields that concern the host, without those that
// concern the client's connection.
func ExampleReadTransaction() {
	printParsed("POST /pay/1?x=2 HTTP/1.1\r\nHost: svc\r\nX-Qos: pay\r\n" + commonFields +
		"Connection: close, X-Hop\r\nX-Hop: 1\r\nContent-Length: 3\r\n\r\nabc")
	printParsed("\r\nPOST /order HTTP/1.1\r\nIdempotency-Key: k\r\n" + commonFields +
		"Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: r\r\n\r\n")
	printParsed("GET /read/7 HTTP/1.0\r\n" + commonFields + "\r\n")
	printParsed("GET /ready HTTP/1.1\r\n\r\n")
	// Output:
	// pay 2 480ms abc
	// POST /pay/1?x=2 HTTP/1.1|Host: svc|X-Qos: pay|X-Trace-Id: 9b|X-Expires-In-Ms: 70|Content-Length: 3||abc
	// told to go on
	// order 1 480ms abc
	// POST /order HTTP/1.1|Idempotency-Key: k|X-Trace-Id: 9b|X-Expires-In-Ms: 70|Content-Length: 3||abc
	// read 0 480ms -
	// GET /read/7 HTTP/1.1|X-Trace-Id: 9b|X-Expires-In-Ms: 70||
	// own /ready
}

// Malformed requests are rejected, each with the status for its kind of error.
func ExampleReadTransaction_malformed() {
	post := "POST /pay HTTP/1.1\r\n" + commonFields
	for _, text := range []string{
		"", "POST /pay HT", "POST /pay\r\n\r\n", "PO ST /pay HTTP/1.1\r\n\r\n", "POST /pay HTTP/2\r\n\r\n",
		"POST /pay HTTP/1.1\r\nX-Qos : pay\r\n\r\n", "POST /pay HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
		"POST /pay HTTP/1.1\r\nA: \x00\r\n\r\n", "GET /" + strings.Repeat("a", 300),
		post + "Content-Length: 4\r\n\r\nabc", post + "Content-Length: -1\r\n\r\n", post + "Content-Length: \r\n\r\n",
		post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", post + "Content-Length: 33554433\r\n\r\n",
		post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", post + "Transfer-Encoding: gzip\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\nx\r\n", post + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\n2000001\r\n", post + "Transfer-Encoding: chunked\r\n\r\n2\r\na",
		"POST /pay HTTP/1.1\r\nX-Qos: pay\r\n\r\n", "POST /pay HTTP/1.1\r\n\r\n",
		"GET /read HTTP/1.1\r\nX-Trace-Id: 9b\r\n\r\n", "GET /read HTTP/1.1\r\nX-Trace-Id: 9b\r\nX-Expires-In-Ms: 0\r\n\r\n",
		"GET /read HTTP/1.1\r\nX-Trace-Id: 9b\r\nX-Expires-In-Ms: 99999999\r\n\r\n",
		"HEAD /read HTTP/1.1\r\n" + commonFields + "\r\n", post + "Idempotency-Key: \r\n\r\n",
	} {
		printParsed(text)
	}
	// Output:
	// EOF
	// 400 ends within the message
	// 400 malformed first line
	// 400 not HTTP/1
	// 400 not HTTP/1
	// 400 malformed field
	// 400 malformed field
	// 400 malformed field
	// 431 head too long
	// 400 ends within the message
	// 400 wrong length
	// 400 wrong length
	// 400 wrong length
	// 413 body too long
	// 400 wrong length
	// 400 unknown transfer coding
	// 400 malformed chunk
	// 400 malformed chunk
	// 413 body too long
	// 400 ends within the message
	// 400 no X-Trace-Id
	// 400 no X-Trace-Id
	// 400 missing or silly X-Expires-In-Ms
	// 400 missing or silly X-Expires-In-Ms
	// 400 missing or silly X-Expires-In-Ms
	// read 0 480ms -
	// HEAD /read HTTP/1.1|X-Trace-Id: 9b|X-Expires-In-Ms: 70||
	// 400 empty Idempotency-Key
}

// Only a 503 or 504 with X-Never-Ran: 1 proves that a transaction has never run.
func ExampleReadResponse() {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT inflight=7, queue=2, util=0.61, other=1\r\nA: b\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi",
		"HTTP/1.1 503 no\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 500 no\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\nEndpoint-Load-Metrics: TEXT inflight=many\r\n\r\n",
		"HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Le", "",
		strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 404 no\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\nhi", "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + strings.Repeat("x", 99_999),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10003\r\n" + strings.Repeat("x", 65_539) + "\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10003\r\n" + strings.Repeat("x", 65_539) + "\r\n",
		"HTTP/1.1 500 no\r\nContent-Length: 99999\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhi",
	} {
		var h Head
		response, keepAlive, err := ReadResponse(bufio.NewReader(strings.NewReader(text)), &h, false, func() {}, unlimited, func(response *Response, rest *Body) error {
			start, framing := response.EncodeStreamStart(false, false)
			n, err := io.Copy(io.Discard, rest)
			fmt.Println("streamed:", len(wireText(start)) < 100, framing, response.Body.Len(), n, err)
			return err
		})
		if err != nil {
			fmt.Println("wrong:", err)
			continue
		}
		fmt.Println(response.Status, response.NeverRan, response.Load, response.LoadErr, keepAlive, wireText(response.EncodeForClient(!keepAlive)))
	}
	// Output:
	// 200 false {7 2 0.61 -1 -1} <nil> true HTTP/1.1 200 OK|A: b|Content-Length: 2||hi
	// 200 false {-1 -1 -1 -1 -1} <nil> true HTTP/1.1 200 OK|Content-Length: 2||hi
	// 200 false {-1 -1 -1 -1 -1} <nil> false HTTP/1.1 200 OK|Content-Length: 2|Connection: close||hi
	// wrong: ends within the message
	// 503 true {-1 -1 -1 -1 -1} <nil> true Content-Length: 0||
	// 503 false {-1 -1 -1 -1 -1} <nil> true Content-Length: 0||
	// 500 false {-1 -1 -1 -1 -1} malformed load report true Content-Length: 0||
	// wrong: malformed first line
	// wrong: ends within the message
	// wrong: ends within the message
	// wrong: too many interim answers
	// 404 false {-1 -1 -1 -1 -1} <nil> true HTTP/1.1 404 Not Found|Content-Length: 2||hi
	// streamed: true 0 0 2 ends within the message
	// wrong: ends within the message
	// streamed: true 0 0 99999 <nil>
	// 200 false {-1 -1 -1 -1 -1} <nil> true HTTP/1.1 200 OK|Content-Length: 99999||
	// streamed: false 1 65537 2 <nil>
	// 200 false {-1 -1 -1 -1 -1} <nil> true HTTP/1.1 200 OK||
	// streamed: false 1 65537 2 ends within the message
	// wrong: ends within the message
	// wrong: too long to be held
	// wrong: body too long
}

// A list with an invalid entry is rejected as a whole.
func ExampleParseHostList() {
	for _, text := range []string{
		`{"rev":3,"all":true,"targets":[{"uid":"s","endpoint":"h:1","az":"a","model":"m","pod_group":3,"state":"terminating","capacity_hint":1.5,"boot_ms":9}],"new":{}}`,
		`{"rev":3,"targets":[{"uid":"s","state":"asleep"}]}`, `{"rev":3,"targets":[{"state":"in_service"}]}`, `{"rev":`,
	} {
		l, err := ParseHostList([]byte(text))
		if err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Printf("%d %t %+v\n", l.Revision, l.Full, l.Hosts[0].Host(5, func(ms int64) time.Duration { return time.Duration(ms) }))
	}
	// Output:
	// 3 true {ID:5 SupersededBy:0 Zone:a Kind:m Cell:3 State:2 ZoneUncertain:false CellUncertain:false CapacityHint:1.5 StartedAt:9ns}
	// list: entry "s" in state "asleep"
	// list: entry "" in state "in_service"
	// list: unexpected end of JSON input
}

// Retry-After is sent only if a time is given.
func ExampleTextResponse() {
	fmt.Println(wireText(TextResponse(503, "no", 120*time.Millisecond, false)))
	fmt.Println(wireText(TextResponse(504, "no", 0, true)))
	// Output:
	// HTTP/1.1 503 Service Unavailable|Content-Type: text/plain|Retry-After: 0.120|Content-Length: 2||no
	// HTTP/1.1 504 Gateway Timeout|Content-Type: text/plain|Content-Length: 2|Connection: close||no
}

// Guards against the loss of read-ahead bytes of a body that is handed over twice, where the second process ends before
// it has read any of them.
func ExampleBodyState_resumedTwice() {
	r := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n3\r\nghi\r\n0\r\n\r\n"))
	var h Head
	fmt.Println(h.ReadResponse(r))
	h.Discard(r)
	body, piece := h.Body(r, 100), make([]byte, 4)
	n, err := body.Read(piece)
	fmt.Println(string(piece[:n]), err)
	first := body.State()
	second := first.Resume(strings.NewReader("")).State()
	rest, err := io.ReadAll(second.Resume(strings.NewReader("")))
	fmt.Println(string(second.ReadAhead) == string(first.ReadAhead), string(rest), err)
	// Output:
	// <nil>
	// abcd <nil>
	// true efghi <nil>
}
