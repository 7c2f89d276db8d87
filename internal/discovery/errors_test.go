package discovery

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/testutil"
)

func TestWatchErrors(t *testing.T) {
	endless := "{" + strings.Repeat(" ", maxListSize)
	for name, tt := range map[string]struct {
		since       int64
		idleTimeout time.Duration
		text        string
		want        error
	}{
		"idle":      {since: 1, idleTimeout: 100 * time.Millisecond, want: errWatchTimeout},
		"malformed": {since: 1, idleTimeout: testutil.Timeout, text: "{}", want: endpoint.ErrMalformedList},
		"too large": {since: 1, idleTimeout: testutil.Timeout, text: endless, want: errListTooLarge},
		"delta first": {
			since: unknownVersion, idleTimeout: testutil.Timeout, text: deltaListJSON(2), want: errDeltaBeforeComplete,
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := testutil.NewDiscovery(t)
			options, _ := newOptions(t, testutil.Config(t, server.Addr))
			options.CachedList.Version = tt.since
			options.IdleTimeout, options.CallTimeout = tt.idleTimeout, testutil.Timeout
			client := New(options)
			server.Lines <- tt.text
			err := client.runWatch(context.Background(), client.source.addWatch(func() {}))
			if !errors.Is(err, tt.want) {
				t.Errorf("got error %v, want %v", err, tt.want)
			}
		})
	}
}

// A refused request must have the event ListRefused and not ListFailed: only a refusal proves that discovery was not
// reachable until then.
func TestRefusedCalls(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	server := httptest.NewServer(http.HandlerFunc(refuse))
	t.Cleanup(server.Close)
	options, events := newOptions(t, testutil.Config(t, server.Listener.Addr().String()))
	client := New(options)
	client.Poll(context.Background())
	expectEvent(t, events, balancer.ListRefused, 0)
	client.Subscribe(context.Background())
	expectEvent(t, events, balancer.ListRefused, 0)
}
