package agent

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"ashshunt/internal/testutil"
)

// keyedIDs records which keyed requests an endpoint has received.
type keyedIDs struct {
	mu  sync.Mutex
	ids map[string]bool // protected by mu
}

func (k *keyedIDs) add(request *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if request.Header.Get("Idempotency-Key") != "" {
		k.ids[request.Header.Get("X-Call-Id")] = true
	}
}

func (k *keyedIDs) has(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ids[id]
}

func (k *keyedIDs) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.ids)
}

// A keyed request that may have run in a cell must not be repeated at an address whose idle connections have been
// reset: the process there has ended, and another one, of another cell, may have come up before any list says so.
func TestNoRepeatAfterResetOfIdleConnections(t *testing.T) {
	t.Parallel()
	failed := &keyedIDs{ids: map[string]bool{}}
	failing := testutil.NewServer(t, func(conn net.Conn, request *http.Request, _ []byte) bool {
		failed.add(request)
		testutil.Respond(conn, http.StatusInternalServerError, "", "")
		return true
	})
	ended := testutil.NewServer(t, testutil.Echo)
	a := startAgent(t, newConfig(t, failing, ended))
	number := 0
	request := func() string {
		number++
		id := testutil.NthID(number)
		testutil.Do(t, a.Addr(), "POST", "/hold", "", "X-Call-Id", id, "X-Budget-Ms", "4000", "Idempotency-Key", "k"+id)
		return id
	}
	for range 40 { // until the agent has an idle connection to the endpoint
		if request(); len(ended.Received) > 0 {
			break
		}
	}
	if len(ended.Received) == 0 {
		t.Fatal("got no request at the endpoint that is to end, want some")
	}
	ended.Reset(t)
	repeats := &keyedIDs{ids: map[string]bool{}}
	testutil.NewServerAt(t, ended.Addr(), func(conn net.Conn, request *http.Request, body []byte) bool {
		repeats.add(request)
		return testutil.Echo(conn, request, body)
	})
	for range 30 {
		if id := request(); failed.has(id) && repeats.has(id) {
			t.Fatalf("request %s was repeated at the process that has taken over the address", id)
		}
	}
	t.Logf("%d requests at the endpoint that fails, %d at the new process", failed.count(), repeats.count())
}
