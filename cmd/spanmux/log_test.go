package main

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A process must go on serving, and end in time, where the reader of its log takes nothing any more. A log line that does not fit the pipe
// held up the goroutine that wrote it, and every other one that had a line to write.
func TestLogReaderStuck(t *testing.T) {
	const invalidRequests = 80
	addr := freeAddress()
	command, reader, writer := commandWithPipe(t, addr)
	defer reader.Close()
	if _, err := unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize()); err != nil {
		t.Fatal(err)
	}
	p := startCommand(t, command)
	writer.Close()
	if !p.becomesReady(addr) {
		t.Fatal("not ready")
	}
	client := http.Client{Timeout: time.Second}
	for i := range invalidRequests { // each is logged, some twenty a second
		request, err := http.NewRequest("GET", "http://"+addr+"/unknown-profile", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header = http.Header{"X-Trace-Id": {fmt.Sprint(i)}, "X-Qos": {"unknown-profile"}, "X-Expires-In-Ms": {"900"}}
		response, err := client.Do(request)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		response.Body.Close()
		time.Sleep(50 * time.Millisecond)
	}
	if !answersReady(addr) {
		t.Error("not ready after its log was stuck")
	}
	p.checkEndsAfterTerm(t)
}
