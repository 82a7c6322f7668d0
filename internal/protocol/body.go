package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ReadBody reads a message's body, after Skip, of most bytes at most.
func (h *Head) ReadBody(r *bufio.Reader, most int) ([]byte, error) {
	switch h.framing {
	case chunked:
		return readChunks(r, most)
	case untilClose:
		body, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
		if err == nil && len(body) > most {
			err = errBodyLong
		}
		h.Close = true
		return body, err
	}
	if h.length == 0 {
		return nil, nil
	}
	if h.length > most {
		return nil, errBodyLong
	}
	if h.length <= BodyMost {
		body := make([]byte, h.length)
		_, err := io.ReadFull(r, body)
		return body, torn(err)
	}
	var body bytes.Buffer // grows as it comes: its length is only claimed
	_, err := io.CopyN(&body, r, int64(h.length))
	return body.Bytes(), torn(err)
}

func torn(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTorn
	}
	return err
}

func readChunks(r *bufio.Reader, most int) (body []byte, err error) {
	for {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		digits, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.Trim(digits, " \t")), 16, 31)
		if err != nil {
			return nil, errChunk
		}
		if n == 0 {
			break
		}
		if len(body)+int(n) > most {
			return nil, errBodyLong
		}
		at := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			return nil, torn(err)
		}
		if line, err := readLine(r); err != nil || len(line) > 0 {
			return nil, errors.Join(errChunk, err)
		}
	}
	for spent := 0; ; { // trailers are dropped
		line, err := readLine(r)
		if err != nil || len(line) == 0 {
			return body, err
		}
		if spent += len(line); spent > r.Size() {
			return nil, errHeadLong
		}
	}
}

func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errChunk
	}
	if err != nil {
		return nil, torn(err)
	}
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return nil, errChunk
	}
	return line[:len(line)-2], nil
}
