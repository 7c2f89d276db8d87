package agent

import (
	"testing"

	"ashshunt/internal/testutil"
)

// Guards against settings under which backends never close a connection: each request opened a new one.
func TestIdleForNever(t *testing.T) {
	t.Parallel()
	p := testutil.NewServer(t, testutil.Echo)
	c := testutil.Config(t, testutil.NewDiscovery(t).Addr, testutil.EntryJSON("s0", p.Addr(), "SERVING"))
	c.Settings.IdleClose = 0
	a, _ := start(t, c, nil)
	var from []string
	for i := range 2 {
		if resp, _ := ask(t, a, "GET", "/look", "", "X-Call-Id", id[:15]+string(rune('0'+i)), "X-Budget-Ms", "7000"); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
		from = append(from, testutil.Receive(t, p.Received).RemoteAddr)
	}
	if from[0] != from[1] {
		t.Error("two connections for two requests, one after the other")
	}
}
