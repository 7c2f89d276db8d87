package upstream

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"

	"ashshunt/balancer"
	"ashshunt/internal/testutil"
)

// localErrnos are errors of socket and connect that say nothing sure of the endpoint.
var localErrnos = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN,
	syscall.ETIMEDOUT, syscall.EAGAIN, syscall.EACCES, syscall.EPERM, syscall.ECONNABORTED}

// failDials has the next dials of a client fail by a cause.
func failDials(client *Client, count int32, cause error) {
	var dials atomic.Int32
	client.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		if dials.Add(1) <= count {
			return cause
		}
		return nil
	}
}

// A connection that fails for a moment, by a cause that may be this machine's own, comes up within the connect timeout
// for attempts and for health checks.
func TestLocalConnectFailures(t *testing.T) {
	for _, cause := range localErrnos {
		t.Run(fmt.Sprint(cause), func(t *testing.T) {
			t.Parallel()
			client := newTestClient(t, testutil.NewServer(t, testutil.Echo).Addr())
			failDials(client, 5, cause)
			client.mustServe(t)
			client.CloseIdle("s0")
			failDials(client, 5, cause)
			if result, _ := client.HealthCheck(t.Context(), "s0"); result != balancer.Served {
				t.Errorf("health check: result %d, want Served", result)
			}
		})
	}
}
