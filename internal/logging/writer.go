// Package logging writes the program's output without holding up the code that produces it.
package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	maxPendingLines = 1024
	maxPendingBytes = 256 << 10
)

// DroppedLines counts the lines that were dropped because their destination did not take them in time.
var DroppedLines atomic.Int64

// Writer passes lines on to a destination that may block or fail, such as a pipe or a file. Its own methods do not block, but for Close. Lines
// that the destination does not take in time are dropped and counted, and a line says how many once it takes lines again. All methods may be
// called from any goroutine.
type Writer struct {
	destination  io.Writer
	lines        chan []byte
	pendingBytes atomic.Int64
	dropped      atomic.Int64 // since the last line that said how many
	closed       chan struct{}
	finished     chan struct{}
}

// NewWriter returns a Writer to a destination.
func NewWriter(destination io.Writer) *Writer {
	w := &Writer{destination: destination, lines: make(chan []byte, maxPendingLines), closed: make(chan struct{}), finished: make(chan struct{})}
	go w.forward()
	return w
}

// Write takes one or more whole lines. It always succeeds.
func (w *Writer) Write(text []byte) (int, error) {
	size := int64(len(text))
	if w.pendingBytes.Add(size) > maxPendingBytes {
		w.drop(size)
		return len(text), nil
	}
	select {
	case w.lines <- bytes.Clone(text):
	default:
		w.drop(size)
	}
	return len(text), nil
}

// drop counts what is not written.
func (w *Writer) drop(size int64) {
	w.pendingBytes.Add(-size)
	w.dropped.Add(1)
	DroppedLines.Add(1)
}

// forward writes lines until Close, and then those that are pending. An error of the destination is ignored: there is nowhere to report it.
func (w *Writer) forward() {
	defer close(w.finished)
	for {
		select {
		case text := <-w.lines:
			w.forwardLine(text)
			continue
		default:
		}
		select {
		case text := <-w.lines:
			w.forwardLine(text)
		case <-w.closed:
			if len(w.lines) == 0 {
				return
			}
		}
	}
}

// forwardLine writes what Write took. Once nothing is pending, a line says how much was dropped.
func (w *Writer) forwardLine(text []byte) {
	w.destination.Write(text)
	w.pendingBytes.Add(-int64(len(text)))
	if len(w.lines) > 0 {
		return
	}
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.destination, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
	}
}

// Close writes what is pending, for up to timeout. Nothing may be written after it.
func (w *Writer) Close(timeout time.Duration) {
	close(w.closed)
	select {
	case <-w.finished:
	case <-time.After(timeout):
	}
}
