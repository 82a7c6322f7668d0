package logging

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"
)

// A destination that takes nothing holds up no writer. What it can't take is counted, and said once it takes lines again; what was taken
// before is written in order.
func ExampleWriter() {
	reader, stuck := io.Pipe()
	w := NewWriter(stuck)
	for i := range 2 * maxPendingLines {
		fmt.Fprintf(w, "line %d\n", i)
	}
	fmt.Println("dropped about half:", DroppedLines.Load() >= maxPendingLines-1)
	go func() {
		time.Sleep(20 * time.Millisecond)
		w.Close(time.Second)
		stuck.Close()
	}()
	text, _ := io.ReadAll(reader)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	fmt.Println(lines[0])
	fmt.Println("one says how many were dropped:", strings.Count(string(text), "log lines dropped") == 1)
	fmt.Println("all others are there:", len(lines)-1 == 2*maxPendingLines-int(DroppedLines.Load()))
	// Output:
	// dropped about half: true
	// line 0
	// one says how many were dropped: true
	// all others are there: true
}

// Close writes what is pending, and does not wait for longer than it may.
func ExampleWriter_Close() {
	var output bytes.Buffer
	w := NewWriter(&output)
	io.WriteString(w, "the last line\n")
	w.Close(time.Second)
	fmt.Print(output.String())

	_, stuck := io.Pipe()
	w = NewWriter(stuck)
	io.WriteString(w, "never read\n")
	began := time.Now()
	w.Close(20 * time.Millisecond)
	fmt.Println("closed in time:", time.Since(began) < 500*time.Millisecond)
	// Output:
	// the last line
	// closed in time: true
}

// Lines of many bytes are bounded by their size.
func ExampleWriter_Write_long() {
	_, stuck := io.Pipe()
	w, before := NewWriter(stuck), DroppedLines.Load()
	for range 4 {
		w.Write(make([]byte, maxPendingBytes/2))
	}
	fmt.Println("dropped:", DroppedLines.Load()-before)
	// Output: dropped: 2
}
