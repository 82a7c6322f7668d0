package main

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	minLongBodyBytes        = 64 << 10
	maxLongBodyBytes        = 32 << 20
	minClientBytesPerSecond = 64_000           // clients promise that for a body
	longWriteTimeout        = 10 * time.Second // for a client to write its body: the gateway answers or reads on long before
	soakHostBufferBytes     = 64 << 10         // receive buffer that a host asks for; the system doubles it
	maxHostSocketBytes      = 256 << 10        // that a host's machine may hold beyond what the host has read
)

// longBody is a long request body, and how its client sends it.
type longBody struct {
	bytes          int
	chunked        bool
	bytesPerSecond int // 0 for as fast as it is taken
}

// drawLongBody draws a body. Its size is as likely to be between 64 and 128 KiB as between 16 and 32 MiB; slow ones are short enough for the run.
func drawLongBody(random *rand.Rand) longBody {
	body := longBody{chunked: random.IntN(2) == 0, bytes: int(minLongBodyBytes * math.Pow(maxLongBodyBytes/minLongBodyBytes, random.Float64()))}
	if random.IntN(3) == 0 {
		body.bytesPerSecond = minClientBytesPerSecond * (1 + random.IntN(30))
		body.bytes = min(body.bytes, 3*body.bytesPerSecond)
	}
	return body
}

// write writes the body to a connection.
func (b longBody) write(conn net.Conn) error {
	const pieceBytes = 32 << 10
	piece := bytes.Repeat([]byte("x"), pieceBytes)
	for sent := 0; sent < b.bytes; sent += pieceBytes {
		text := piece[:min(pieceBytes, b.bytes-sent)]
		if b.chunked {
			text = slices.Concat([]byte(strconv.FormatInt(int64(len(text)), 16)+"\r\n"), text, []byte("\r\n"))
		}
		if _, err := conn.Write(text); err != nil {
			return err
		}
		if b.bytesPerSecond > 0 {
			time.Sleep(time.Duration(pieceBytes) * time.Second / time.Duration(b.bytesPerSecond))
		}
	}
	if b.chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}

// newLongRequest returns a request with a long body, and the text of its head.
func (c *soakClient) newLongRequest(gateway int, body longBody) (requestRecord, string) {
	profile := c.scenario.profiles[1+c.longRandom.IntN(len(c.scenario.profiles)-1)] // the first one has no body
	c.requests++
	request := requestRecord{traceID: fmt.Sprintf("%d-%d-%d", c.scenario.seed, c.number, c.requests), profile: profile.Name, gateway: gateway, bodyBytes: body.bytes,
		budget: between(c.longRandom, profile.HardLimit/2, profile.HardLimit).Truncate(time.Millisecond)}
	framing := fmt.Sprint("Content-Length: ", body.bytes)
	if body.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	if profile.Effect == "deduplicated" {
		framing += "\r\nIdempotency-Key: " + request.traceID
	}
	return request, fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n%s\r\n\r\n",
		profile.Name, request.traceID, profile.Name, request.budget.Milliseconds(), framing)
}

// sendLong sends a request with a long body to a gateway. It reads the response as it writes, since a gateway may give that before it has all;
// some clients leave meanwhile.
func (c *soakClient) sendLong(gateway int) {
	conn := c.connTo(gateway)
	if conn == nil {
		return
	}
	body := drawLongBody(c.longRandom)
	request, head := c.newLongRequest(gateway, body)
	request.process, request.connectedAt, request.fresh, request.sentAt = conn.process, conn.connectedAt, !conn.used, c.record.now()
	written := make(chan time.Duration, 1) // when the last byte was written, 0 if it was not
	conn.SetDeadline(time.Now().Add(longWriteTimeout))
	go func() {
		_, err := io.WriteString(conn, head)
		if err == nil {
			err = body.write(conn)
		}
		lastByteAt := c.record.now()
		if err != nil {
			lastByteAt = 0
		}
		conn.SetReadDeadline(time.Now().Add(request.budget + answerSlack + giveUpSlack))
		written <- lastByteAt
	}()
	if c.longRandom.IntN(8) == 0 {
		time.Sleep(between(c.longRandom, 0, request.budget))
		request.leftAt = c.record.now()
	} else {
		c.readResponseInTime(conn, &request)
	}
	conn.SetWriteDeadline(time.Now()) // a body that is not written by now is not finished
	request.sentAt = <-written
	if request.partlySent = request.sentAt == 0; request.partlySent {
		request.sentAt = c.record.now()
	}
	c.drop(gateway)
	c.record.addRequest(request)
}

// drawLongWaits draws what the hosts do to long bodies, and a shorter window for repeats. It has a generator of its own, so that the rest of a
// seed's run is what it was.
func (s *scenario) drawLongWaits() {
	random := rand.New(rand.NewPCG(s.seed, 68))
	for i := range s.profiles {
		s.profiles[i].DedupWindow = between(random, s.profiles[i].HardLimit/3, s.profiles[i].HardLimit)
	}
	for host := 2; host < len(s.hosts); host++ {
		for at := between(random, 0, soakDuration/2); at < soakDuration; at += between(random, time.Second, 4*time.Second) {
			if random.IntN(2) == 0 {
				continue
			}
			mode := hostStopsReading
			if random.IntN(3) == 0 {
				mode = hostReadsSlowly
			}
			s.hosts[host] = append(s.hosts[host], hostPhase{at, mode}, hostPhase{at + between(random, 300*time.Millisecond, 2*time.Second), hostServes})
		}
		slices.SortStableFunc(s.hosts[host], func(a, b hostPhase) int { return int(a.at - b.at) })
	}
}

// readBody reads the body of a request as the host's mode has it.
func (h *soakHost) readBody(request *http.Request, attempt *attemptRecord) error {
	switch attempt.mode {
	case hostStopsReading:
		part := rand.Int64N(1 << uint(rand.IntN(24)))
		n, err := io.CopyN(io.Discard, request.Body, part)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(time.Duration(100+rand.IntN(4000)) * time.Millisecond)
		h.record.mu.Lock()
		attempt.readsOnAt, attempt.unreadBytes = h.record.now(), max(0, request.ContentLength-n)
		h.record.mu.Unlock()
	case hostReadsSlowly:
		for pieceBytes := int64(2_000 + rand.IntN(50_000)); ; {
			if _, err := io.CopyN(io.Discard, request.Body, pieceBytes); err != nil {
				if err == io.EOF {
					return nil
				}
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	_, err := io.Copy(io.Discard, request.Body)
	return err
}

// sentOnAfter reports whether a gateway still sent part of an attempt after a time: its host read nothing until then, and has had more since
// than its machine can have held.
func (a *attemptRecord) sentOnAfter(at time.Duration) bool {
	return a.wholeAt > 0 && a.unreadBytes > maxHostSocketBytes && a.readsOnAt > at
}

// checkSentOn checks that a long request which its host stops to read is not sent on after its answer, after its client has left, or to a
// host that may no longer drop the repeat.
func (j *soakJudge) checkSentOn(last requestRecord, attempts []*attemptRecord) {
	firstWholeAt := time.Duration(math.MaxInt64)
	for _, attempt := range attempts {
		if attempt.wholeAt > 0 && attempt.mode != hostDeclines {
			firstWholeAt = min(firstWholeAt, attempt.wholeAt)
		}
	}
	profile := j.profiles[last.profile]
	for _, attempt := range attempts {
		switch {
		case last.leftAt > 0 && attempt.sentOnAfter(last.leftAt+leaveSlack+socketSlack):
			j.violate("sent on after its client left", "%+v, attempts %s", last, describeAttempts(attempts))
		case last.status > 0 && attempt.sentOnAfter(last.endedAt+socketSlack):
			j.violate("sent on after its answer", "%+v, attempts %s", last, describeAttempts(attempts))
		case profile.Effect == "deduplicated" && firstWholeAt < attempt.wholeAt && attempt.sentOnAfter(firstWholeAt+profile.DedupWindow+socketSlack+heldUpSlack):
			j.violate("repeat sent on outside its window", "%+v, attempts %s", last, describeAttempts(attempts))
		}
	}
}
