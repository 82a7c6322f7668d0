package routing

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Long bodies to sound hosts are answered 200 whatever their size, form and pace. Guards against a bound on the wait for a host that
// also ends what only its client sends slowly, or what is sent faster than it is passed on.
func TestLongBodiesToSoundHost(t *testing.T) {
	const budget = 400 * time.Millisecond
	for name, request := range map[string]longRequest{
		"32 MB": {bytes: 32 * megabyte, budget: 2 * time.Second}, "32 MB in chunks": {bytes: 32*megabyte - 1, chunked: true, pieces: 40, budget: 2 * time.Second},
		"2.2 MB":                            {bytes: 2_200_000, budget: budget},
		"100 kB":                            {bytes: 100_000, budget: budget},
		"slowly, for longer than its time":  {bytes: 200_000, budget: budget, pieces: 20, pause: 60 * time.Millisecond},
		"slowly, in chunks":                 {bytes: 200_000, chunked: true, budget: budget, pieces: 20, pause: 60 * time.Millisecond},
		"in bursts":                         {bytes: 8 * megabyte, budget: budget, pieces: 8, pause: 200 * time.Millisecond},
		"a long pause, then its last bytes": {bytes: 300_000, budget: budget, pieces: 2, pause: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gateway := newSlowHostGateway(&slowHost{})
			for i := range 2 {
				if status, took := request.play(gateway, "pay", fmt.Sprint("go", i)); status != 200 {
					t.Errorf("answered %d, %v after its last byte", status, took)
				}
			}
		})
	}
}

// A body that takes longer to be passed on than its time is answered 200 if its host takes it steadily and its last byte can't have been
// sent so early, as the sockets hold less than that.
func TestLongBodyToSteadyHost(t *testing.T) {
	for name, chunked := range map[string]bool{"sized": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := &slowHost{resume: make(chan bool), readBody: func(body io.Reader) (err error) {
				for i := 0; i < 62 && err == nil; i++ { // 10 MB a second
					time.Sleep(50 * time.Millisecond)
					_, err = io.CopyN(io.Discard, body, megabyte/2)
				}
				return err
			}}
			close(host.resume)
			gateway := newSlowHostGateway(host)
			request := longRequest{bytes: 32*megabyte - 1, chunked: chunked, pieces: 64, budget: 2500 * time.Millisecond}
			if status, took := request.play(gateway, "pay", "go"); status != 200 {
				t.Errorf("answered %d, %v after its last byte", status, took)
			}
		})
	}
}

// BenchmarkLongBodies counts the long bodies to a sound host that are not answered 200 in their time, one in four sent in parts and
// sixteen at a time. Those that are rejected on arrival, before any hop, are counted apart.
func BenchmarkLongBodies(b *testing.B) {
	for _, size := range []int{100_000, 2_200_000, 8 * megabyte, 32 * megabyte} {
		for _, chunked := range []bool{false, true} {
			for _, budget := range []time.Duration{250 * time.Millisecond, time.Second} {
				b.Run(fmt.Sprintf("bytes=%d/chunked=%t/budget=%v", size, chunked, budget), func(b *testing.B) {
					gateway := newSlowHostGateway(&slowHost{})
					var lost atomic.Int64
					var wait sync.WaitGroup
					running := make(chan bool, 16)
					for i := range b.N {
						running <- true
						wait.Go(func() {
							request := longRequest{bytes: size, chunked: chunked, budget: budget, pieces: 8}
							if i%4 == 0 {
								request.pause = budget / 4
							}
							if status, _ := request.play(gateway, "pay", fmt.Sprint("go", i)); status != 200 {
								lost.Add(1)
							}
							<-running
						})
					}
					wait.Wait()
					rejected := gateway.Counters.Admitted.Load() - gateway.Counters.Hops.Load()
					b.ReportMetric(float64(rejected), "rejected")
					b.ReportMetric(float64(lost.Load()-rejected), "lost")
				})
			}
		}
	}
}
