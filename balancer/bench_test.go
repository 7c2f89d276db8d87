package balancer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ashshunt/balancer"
)

// BenchmarkStep plays a request, its outcome, and sometimes an error and a retry. The state must not grow
// with the requests played: see the heap metric.
func BenchmarkStep(b *testing.B) {
	lb, err := balancer.New(settings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	lb.Step(now, []balancer.Event{balancer.EndpointList{Kind: balancer.ListComplete,
		Endpoints: endpoints(14)}})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		playOne(lb, &now, i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-growth-B")
	runtime.KeepAlive(lb)
}

// playOne plays request i to its end.
func playOne(lb *balancer.Balancer, now *time.Duration, i int) {
	id := fmt.Sprint("q", i)
	events := []balancer.Event{balancer.Request{ID: id, Class: idempotent, Timeout: time.Second, Key: id}}
	for n := 0; len(events) > 0; {
		acts := lb.Step(*now, events)
		events = nil
		for _, a := range acts {
			switch a := a.(type) {
			case balancer.Send:
				*now += 2 * ms
				o := balancer.Outcome{Request: id, Attempt: n, Endpoint: a.Endpoint, Latency: 2 * ms,
					Done: true}
				if n == 0 && i%50 == 0 {
					o.Result, o.Done = balancer.ServerError, false
				}
				n++
				events = append(events, o)
			case balancer.SetTimer:
				*now += a.After
				events = append(events, balancer.TimerFired{Token: a.Token})
			}
		}
	}
}

// The state must not grow with the requests played. It is counted, since the size of the heap varies.
func TestStateIsBounded(t *testing.T) {
	s := settings()
	s.Classes[idempotent].Ordered, s.KeyQuietPeriod = true, time.Nanosecond
	lb, err := balancer.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	lb.Step(now, []balancer.Event{balancer.EndpointList{Kind: balancer.ListComplete,
		Endpoints: endpoints(14)}})
	for i := range 20000 {
		playOne(lb, &now, i)
		if n := lb.StateSize(); n > 4 {
			t.Fatalf("after %d requests, all ended, %d things are kept", i+1, n)
		}
	}
}
