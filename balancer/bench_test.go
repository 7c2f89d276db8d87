package balancer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ashshunt/balancer"
)

// BenchmarkStep plays a request, its outcome, and sometimes an error and a retry. The heap metric shows whether the
// state grows with the requests played.
func BenchmarkStep(b *testing.B) {
	lb, err := balancer.New(settings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	lb.Step(now, []balancer.Event{balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: endpoints(14)}})
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
	for attempts := 0; len(events) > 0; {
		actions := lb.Step(*now, events)
		events = nil
		for _, action := range actions {
			switch action := action.(type) {
			case balancer.Send:
				*now += 2 * ms
				outcome := balancer.Outcome{Request: id, Attempt: attempts, Endpoint: action.Endpoint, Latency: 2 * ms,
					Done: true}
				if attempts == 0 && i%50 == 0 {
					outcome.Result, outcome.Done = balancer.ServerError, false
				}
				attempts++
				events = append(events, outcome)
			case balancer.SetTimer:
				*now += action.After
				events = append(events, balancer.TimerFired{Token: action.Token})
			}
		}
	}
}

// The state does not grow with the requests played. It is counted, since the size of the heap varies.
func TestStateIsBounded(t *testing.T) {
	s := settings()
	s.Classes[idempotent].Ordered, s.KeyQuietPeriod = true, time.Nanosecond
	lb, err := balancer.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	lb.Step(now, []balancer.Event{balancer.EndpointList{Kind: balancer.ListComplete, Endpoints: endpoints(14)}})
	for i := range 20000 {
		playOne(lb, &now, i)
		if n := lb.StateSize(); n > 4 {
			t.Fatalf("after %d requests, all ended, %d things are kept", i+1, n)
		}
	}
}

// largeFleet returns a balancer that has played some requests with a number of endpoints.
func largeFleet(tb testing.TB, endpointCount int) (lb *balancer.Balancer, now time.Duration) {
	tb.Helper()
	lb, err := balancer.New(settings(), 1)
	if err != nil {
		tb.Fatal(err)
	}
	list := balancer.EndpointList{Kind: balancer.ListComplete}
	for i := range endpointCount {
		list.Endpoints = append(list.Endpoints, balancer.Endpoint{ID: fmt.Sprint("e", i)})
	}
	now = time.Hour
	lb.Step(now, []balancer.Event{list})
	for i := range 300 {
		playOne(lb, &now, i)
	}
	return lb, now
}

// With sixteen times the endpoints, a step and a pick look at little more of them. They are counted, since times vary
// with the machine; BenchmarkManyEndpoints measures those.
func TestCostWithManyEndpoints(t *testing.T) {
	const mostGrowth = 2
	few, _ := largeFleet(t, 200)
	many, _ := largeFleet(t, 3200)
	if n, m := few.EndpointsVisited(), many.EndpointsVisited(); m > mostGrowth*n {
		t.Errorf("with 3,200 endpoints a step and a pick look at %d, with 200 at %d", m, n)
	}
}

// BenchmarkManyEndpoints plays requests with few and with many endpoints. The ratio metric is the time with many over
// that with few.
func BenchmarkManyEndpoints(b *testing.B) {
	few, fewNow := largeFleet(b, 200)
	many, manyNow := largeFleet(b, 3200)
	var fewTime, manyTime time.Duration
	for i := 1000; b.Loop(); i++ {
		begin := time.Now()
		playOne(few, &fewNow, i)
		middle := time.Now()
		playOne(many, &manyNow, i)
		fewTime += middle.Sub(begin)
		manyTime += time.Since(middle)
	}
	b.ReportMetric(float64(manyTime)/float64(fewTime), "ratio")
}
