package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/config"
	"ashshunt/internal/discovery"
	"ashshunt/internal/testutil"
)

// newWatchConfig returns the configuration of an agent that keeps a watch open by itself, with the shortest possible
// backoff, and has the endpoints s0 and s1 in its cached list.
func newWatchConfig(t *testing.T, discoveryAddr string) *config.Config {
	t.Helper()
	c := testutil.Config(t, discoveryAddr, testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING"),
		testutil.EntryJSON("s1", "127.0.0.1:2", "SERVING"))
	c.Settings.Subscribe = false
	c.Settings.ConnectTimeout = time.Millisecond // the unit of the backoff
	return c
}

// newTCPListener returns a listener whose Accept fails after testutil.Timeout.
func newTCPListener(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	if err := listener.SetDeadline(time.Now().Add(testutil.Timeout)); err != nil {
		t.Fatal(err)
	}
	return listener
}

// acceptTCP accepts one connection.
func acceptTCP(t *testing.T, listener *net.TCPListener) *net.TCPConn {
	t.Helper()
	conn, err := listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// readRequest reads one request.
func readRequest(t *testing.T, conn net.Conn) *http.Request {
	t.Helper()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		t.Fatal(err)
	}
	return request
}

// waitForWatch waits for a watch and checks its query.
func waitForWatch(t *testing.T, service *testutil.Discovery, want string) {
	t.Helper()
	if query := testutil.Receive(t, service.Watches); query != want {
		t.Errorf("got a watch with query %q, want %q", query, want)
	}
}

// If the settings state that changes are pushed, as in the simulator, the module does not subscribe. A real discovery
// service pushes changes only on a watch, so that the agent must keep a watch open by itself. It must resume the watch
// after it ends or sends malformed data, and follow a change of the address.
func TestWatchWithoutSubscribe(t *testing.T) {
	service := testutil.NewDiscovery(t)
	lists := make(chan balancer.EndpointList, 10)
	a, _ := startScripted(t, newWatchConfig(t, service.Addr),
		func(_ time.Duration, event balancer.Event) []balancer.Action {
			if list, ok := event.(balancer.EndpointList); ok {
				lists <- list
			}
			return nil
		})
	if list := testutil.Receive(t, lists); list.Kind != balancer.ListCached {
		t.Errorf("got event %+v, want the cached list", list)
	}
	waitForWatch(t, service, "follow=1&since=1")
	service.Lines <- `{"version":2,"full":false,"servers":[` + testutil.EntryJSON("s0", "127.0.0.1:1", "DELETED") + `]}`
	list := testutil.Receive(t, lists)
	if list.Kind != balancer.ListDelta || list.Endpoints[0].State != balancer.Removed {
		t.Errorf("got event %+v, want a delta that removes s0", list)
	}
	for range 3 {
		service.EndWatch <- struct{}{}
		waitForWatch(t, service, "follow=1&since=2")
	}
	service.Lines <- "}" // a malformed line
	waitForWatch(t, service, "follow=1&since=2")
	moved := testutil.NewDiscovery(t)
	a.Reload(&config.Config{Discovery: moved.Addr})
	waitForWatch(t, moved, "follow=1")
	select {
	case list := <-lists:
		t.Errorf("got event %+v, want none for the failures of a watch that the module has not subscribed", list)
	default:
	}
}

// After a reset of its connection, before the response or after a line, a watch must resume from the current version.
func TestWatchResumesAfterReset(t *testing.T) {
	listener := newTCPListener(t)
	a, _ := startScripted(t, newWatchConfig(t, listener.Addr().String()),
		func(time.Duration, balancer.Event) []balancer.Action { return nil })
	line := `{"version":2,"full":false,"servers":[` + testutil.EntryJSON("s0", "127.0.0.1:1", "DRAINING") + `]}`
	chunk := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)
	for i, since := range []string{"1", "1", "2"} {
		conn := acceptTCP(t, listener)
		if got := readRequest(t, conn).URL.Query().Get("since"); got != since {
			t.Errorf("watch %d: got since=%q, want %q", i, got, since)
		}
		if i > 0 {
			testutil.Write(t, conn, chunk)
			testutil.WaitFor(t, "the line", func() bool { return !isServing(a, "s0") })
		}
		if err := reset(conn); err != nil {
			t.Fatal(err)
		}
	}
}

// The agent must retry a new address of discovery until it answers. The watch of the old address stays open meanwhile
// and must not be mistaken for one of the new address.
func TestAddressChangeWhileDiscoveryIsDown(t *testing.T) {
	old, listener := testutil.NewDiscovery(t), newTCPListener(t)
	c := newWatchConfig(t, old.Addr)
	a, logged := startAgentWith(t, c, func(a *Agent) {
		// The watch of the old address must not time out during the test.
		changeDiscovery(a, c, func(o *discovery.Options) { o.IdleTimeout = testutil.Timeout })
	})
	testutil.WaitFor(t, "the old watch", func() bool { return logged.Contains("watch established") })
	a.Reload(&config.Config{Discovery: listener.Addr().String()})
	for range 3 {
		if err := acceptTCP(t, listener).Close(); err != nil {
			t.Fatal(err)
		}
	}
	conn := acceptTCP(t, listener) // this call is answered
	defer func() { _ = conn.Close() }()
	readRequest(t, conn)
	list := `{"version":1,"full":true,"servers":[` + testutil.EntryJSON("s7", "127.0.0.1:7", "SERVING") + `]}`
	testutil.Respond(conn, 200, "", list)
	testutil.WaitFor(t, "the list of the new address", func() bool { return isServing(a, "s7") })
}

// callFailures are handlers for the ways in which a call of discovery fails.
var callFailures = map[string]http.HandlerFunc{
	"refused": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	"hung":    func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	"no data": func(w http.ResponseWriter, r *http.Request) {
		flush(w)
		<-r.Context().Done()
	},
	"aborted": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	"ended":   func(w http.ResponseWriter, _ *http.Request) { flush(w) },
	"aborted within a list": func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"version":2,"full":true,"serv`) // fails if the agent has ended the call
		flush(w)
		panic(http.ErrAbortHandler)
	},
	"malformed": func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "}\n") // fails if the agent has ended the call
	},
}

// flush sends the buffered data. An error means that the agent has ended the call.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// startFailingDiscovery starts a discovery service that fails the given number of calls and then answers with a list of
// the endpoint s7. It returns the address of the service.
func startFailingDiscovery(t *testing.T, calls int32, fail http.HandlerFunc) string {
	t.Helper()
	var called atomic.Int32
	listener := newTCPListener(t)
	if err := listener.SetDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if called.Add(1) <= calls {
			fail(w, r)
			return
		}
		_, _ = fmt.Fprintf(w, `{"version":9,"full":true,"servers":[%s]}`+"\n",
			testutil.EntryJSON("s7", "127.0.0.1:7", "SERVING")) // fails if the agent has ended the call
		flush(w)
		<-r.Context().Done()
	})}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// A list must arrive within the maximum delay for changes whatever the previous calls did: after three failures of each
// kind, the next call must follow within the allowed backoff, and its list must be applied. The backoff is that of the
// real decision module. The duration of hung calls is limited separately and shortened here.
func TestListArrivesAfterFailedCalls(t *testing.T) {
	for name, fail := range callFailures {
		for _, subscribe := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/subscribe %v", name, subscribe), func(t *testing.T) {
				t.Parallel()
				c := testutil.Config(t, startFailingDiscovery(t, 3, fail),
					testutil.EntryJSON("s0", "127.0.0.1:1", "SERVING"))
				c.Settings.Subscribe, c.Settings.Agents = subscribe, 350
				c.Settings.PollWithin = time.Minute // so long that it does not determine the backoff
				a, _ := startAgentWith(t, c, func(a *Agent) {
					changeDiscovery(a, c, func(o *discovery.Options) {
						o.IdleTimeout, o.CallTimeout = 50*time.Millisecond, 50*time.Millisecond
					})
				})
				testutil.WaitFor(t, "the list", func() bool { return isServing(a, "s7") })
			})
		}
	}
}
