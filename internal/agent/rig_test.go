package agent

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/config"
	"ashshunt/internal/discovery"
	"ashshunt/internal/testutil"
)

// start runs an agent until the test ends; with decide in place of the module, if that is given.
func start(t *testing.T, c *config.Config, decide decisionModule) (*Agent, *testutil.Log) {
	t.Helper()
	return startWith(t, c, func(a *Agent) {
		if decide != nil {
			a.loop.module = decide
		}
	})
}

// startWith runs an agent that was prepared first.
func startWith(t *testing.T, c *config.Config, prepare func(*Agent)) (*Agent, *testutil.Log) {
	t.Helper()
	logged := &testutil.Log{}
	a, err := New(c, testutil.NewLogger(logged))
	if err != nil {
		t.Fatal(err)
	}
	prepare(a)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error("Run:", err)
		}
	})
	testutil.Receive(t, a.loop.ready)
	return a, logged
}

// script is a module that does what the test says.
type scriptedModule func(now time.Duration, e balancer.Event) []balancer.Action

func (s scriptedModule) Step(now time.Duration, events []balancer.Event) (all []balancer.Action) {
	for _, e := range events {
		all = append(all, s(now, e)...)
	}
	return all
}

// ask sends a request to an agent and returns the answer and its body.
func ask(t *testing.T, a *Agent, method, path, body string, head ...string) (*http.Response, string) {
	t.Helper()
	return testutil.Do(t, a.Addr(), method, path, body, head...)
}

// dialRaw opens a connection to an agent and writes text to it.
func dialRaw(t *testing.T, a *Agent, text string) net.Conn {
	t.Helper()
	return testutil.Dial(t, a.Addr(), text)
}

func get(id string) string { return testutil.Get(id) }

func post(id, more string) string { return testutil.Post(id, more) }

// changeDiscovery has an agent use discovery with changed options.
func changeDiscovery(a *Agent, c *config.Config, change func(*discovery.Options)) {
	options := a.loop.discoveryOptions(c)
	change(&options)
	a.loop.discovery = discovery.New(options)
}
