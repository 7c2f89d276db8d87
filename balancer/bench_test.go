package balancer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ashshunt/balancer"
)

// BenchmarkStep measures a request with its outcome, and now and then an error and a retry. The heap-growth-B
// metric shows whether the state grows with the number of requests.
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
		playRequest(lb, &now, i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-growth-B")
	runtime.KeepAlive(lb)
}

// playRequest submits request i and passes the outcomes and timers until it is finished.
func playRequest(lb *balancer.Balancer, now *time.Duration, i int) {
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

// The state does not grow with the number of requests. The test counts the state, because the size of the
// heap varies.
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
		playRequest(lb, &now, i)
		if n := lb.StateSize(); n > 4 {
			t.Fatalf("after %d finished requests: got state size %d, want at most 4", i+1, n)
		}
	}
}

// newBalancerWithEndpoints returns a balancer with a number of endpoints that has handled 300 requests.
func newBalancerWithEndpoints(tb testing.TB, endpointCount int) (lb *balancer.Balancer, now time.Duration) {
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
		playRequest(lb, &now, i)
	}
	return lb, now
}

// With sixteen times as many endpoints, a step and a pick visit at most twice as many. The test counts the
// visited endpoints, because times depend on the machine. BenchmarkManyEndpoints measures times.
func TestCostWithManyEndpoints(t *testing.T) {
	const maxGrowth = 2
	few, _ := newBalancerWithEndpoints(t, 200)
	many, _ := newBalancerWithEndpoints(t, 3200)
	if n, m := few.EndpointsVisited(), many.EndpointsVisited(); m > maxGrowth*n {
		t.Errorf("a step and a pick visit %d of 3,200 endpoints and %d of 200, want at most twice as many", m, n)
	}
}

// BenchmarkManyEndpoints measures requests with 200 and with 3,200 endpoints. The ratio metric is the time
// with 3,200 endpoints divided by the time with 200.
func BenchmarkManyEndpoints(b *testing.B) {
	few, fewNow := newBalancerWithEndpoints(b, 200)
	many, manyNow := newBalancerWithEndpoints(b, 3200)
	var fewTime, manyTime time.Duration
	for i := 1000; b.Loop(); i++ {
		start := time.Now()
		playRequest(few, &fewNow, i)
		middle := time.Now()
		playRequest(many, &manyNow, i)
		fewTime += middle.Sub(start)
		manyTime += time.Since(middle)
	}
	b.ReportMetric(float64(manyTime)/float64(fewTime), "ratio")
}
