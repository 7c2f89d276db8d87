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
	endless := strings.Repeat(" ", maxListSize+1)
	for name, tt := range map[string]struct {
		since   int64
		silence time.Duration
		text    string
		want    error
	}{
		"silent":    {since: 1, silence: 100 * time.Millisecond, want: errSilentWatch},
		"malformed": {since: 1, silence: testutil.Timeout, text: "{}", want: endpoint.ErrMalformedList},
		"too long":  {since: 1, silence: testutil.Timeout, text: endless, want: errListTooLong},
		"changes first": {
			since: unknownVersion, silence: testutil.Timeout, text: changes(2), want: errChangesBeforeAll,
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := testutil.NewDiscovery(t)
			options, _ := newOptions(t, testutil.Config(t, server.Addr))
			options.CachedList.Version = tt.since
			options.WatchSilence, options.CallTimeout = tt.silence, testutil.Timeout
			client := New(options)
			server.Lines <- tt.text
			err := client.runWatch(context.Background(), client.source.addWatch(func() {}))
			if !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
		})
	}
}

// A refusal, unlike another failure, proves that discovery could not be reached until then.
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
