package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/discovery"
	"ashshunt/internal/frontend"
	"ashshunt/internal/membudget"
	"ashshunt/internal/testutil"
)

// Valid request IDs.
const (
	id      = testutil.RequestID
	otherID = "00000000000000a2"
	thirdID = "00000000000000a3"
)

// newConfig returns the configuration of an agent whose cached list contains servers as endpoints s0, s1 and so on. Its
// discovery service sends no changes.
func newConfig(t *testing.T, servers ...*testutil.Server) *config.Config {
	t.Helper()
	var entries []string
	for i, server := range servers {
		entries = append(entries, testutil.EntryJSON(fmt.Sprintf("s%d", i), server.Addr(), "SERVING"))
	}
	return testutil.Config(t, testutil.NewDiscovery(t).Addr, entries...)
}

// startAgent runs an agent until the test ends.
func startAgent(t *testing.T, c *config.Config) *Agent {
	t.Helper()
	a, _ := startAgentWith(t, c, func(*Agent) {})
	return a
}

// startScripted runs an agent with a scripted decision module until the test ends.
func startScripted(t *testing.T, c *config.Config, module scriptedModule) (*Agent, *testutil.Log) {
	t.Helper()
	return startAgentWith(t, c, func(a *Agent) { a.loop.module = module })
}

// startAgentWith runs an agent until the test ends. prepare may change the agent before it runs.
func startAgentWith(t *testing.T, c *config.Config, prepare func(*Agent)) (*Agent, *testutil.Log) {
	t.Helper()
	a := startStoppable(t, c, prepare)
	t.Cleanup(func() {
		a.stop()
		if err := <-a.runResult; err != nil {
			t.Error("Run:", err)
		}
	})
	return a.Agent, a.logged
}

// stoppableAgent is an agent that runs until stop is called.
type stoppableAgent struct {
	*Agent
	logged    *testutil.Log
	stop      context.CancelFunc
	runResult chan error // receives the result of Run
}

func startStoppable(t *testing.T, c *config.Config, prepare func(*Agent)) stoppableAgent {
	t.Helper()
	logged := &testutil.Log{}
	a, err := New(c, testutil.NewLogger(logged))
	if err != nil {
		t.Fatal(err)
	}
	prepare(a)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	runResult := make(chan error, 1)
	go func() { runResult <- a.Run(ctx) }()
	testutil.Receive(t, a.loop.ready)
	return stoppableAgent{Agent: a, logged: logged, stop: cancel, runResult: runResult}
}

// newTestLoop returns an event loop that is not running.
func newTestLoop(t *testing.T) *eventLoop {
	t.Helper()
	l, err := newEventLoop(testutil.Config(t, "127.0.0.1:1"), clock.New(), newBudget(),
		testutil.NewLogger(&testutil.Log{}))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// submit submits a request that arrives now to an event loop that is not running.
func submit(l *eventLoop, id string, timeout time.Duration) *frontend.Request {
	now := l.clock.Now()
	request := frontend.NewRequest()
	request.Event = balancer.Request{ID: id}
	request.ArrivedAt, request.Deadline = now, now+timeout
	requestSubmitted{request}.handle(context.Background(), l)
	return request
}

// scriptedModule is a decision module that calls a function of the test for each event.
type scriptedModule func(now time.Duration, event balancer.Event) []balancer.Action

func (s scriptedModule) Step(now time.Duration, events []balancer.Event) (actions []balancer.Action) {
	for _, event := range events {
		actions = append(actions, s(now, event)...)
	}
	return actions
}

// requestStatus sends a request without a body to an agent and returns the status of the response.
func requestStatus(t *testing.T, a *Agent, method, path, id, timeoutMs string) int {
	t.Helper()
	response, _ := testutil.Do(t, a.Addr(), method, path, "", "X-Call-Id", id, "X-Budget-Ms", timeoutMs)
	return response.StatusCode
}

// isServing reports whether an endpoint is in an agent's table and may get requests.
func isServing(a *Agent, endpointID string) bool {
	_, ok := a.loop.endpoints.LookupServing(endpointID)
	return ok
}

// changeDiscovery replaces an agent's discovery client by one with changed options.
func changeDiscovery(a *Agent, c *config.Config, change func(*discovery.Options)) {
	options := a.loop.discoveryOptions(c)
	change(&options)
	a.loop.discovery = discovery.New(options)
}

// newBudget returns a memory budget that does not limit a test.
func newBudget() *membudget.Budget {
	return membudget.New(256<<20, testutil.NewLogger(&testutil.Log{}))
}
