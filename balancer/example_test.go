package balancer_test

import (
	"fmt"
	"time"

	"ashshunt/balancer"
)

// This example shows a request with a failed first attempt, a retry and a response. The caller takes the part
// of the agent, which owns the clock, the timers and the connections.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Agents:      1,
		MaxAttempts: 3,
		Classes: []balancer.Class{
			{Objective: 200 * time.Millisecond, Deadline: time.Second, Priority: 1,
				Idempotency: balancer.Idempotent},
		},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	var endpoint string
	var timer int64
	step := func(events ...balancer.Event) {
		for _, action := range b.Step(now, events) {
			switch a := action.(type) {
			case balancer.Send: // start the attempt, and pass its Outcome when it ends
				fmt.Println("send", a.Request)
				endpoint = a.Endpoint
			case balancer.SetTimer: // pass TimerFired when the timer fires
				fmt.Println("set a timer")
				timer = a.Token
			case balancer.Reject:
				fmt.Println("reject", a.Request)
			case balancer.Fail:
				fmt.Println("fail", a.Request)
			}
		}
	}
	step(balancer.EndpointList{Kind: balancer.ListComplete,
		Endpoints: []balancer.Endpoint{{ID: "10.0.0.1:80"}, {ID: "10.0.0.2:80"}}})
	step(balancer.Request{ID: "r1", Class: 0, Timeout: time.Second})

	first := endpoint
	now += 3 * time.Millisecond
	step(balancer.Outcome{Request: "r1", Attempt: 0, Endpoint: endpoint, Result: balancer.ServerError,
		Latency: 3 * time.Millisecond})

	now += 7 * time.Millisecond
	step(balancer.TimerFired{Token: timer})
	fmt.Println("on another endpoint:", endpoint != first)

	now += 20 * time.Millisecond
	step(balancer.Outcome{Request: "r1", Attempt: 1, Endpoint: endpoint, Latency: 20 * time.Millisecond,
		Done: true})
	// Output:
	// send r1
	// set a timer
	// send r1
	// on another endpoint: true
}
