package upstream

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"

	"ashshunt/balancer"
	"ashshunt/internal/testutil"
)

// localErrnos are errors of the socket and connect system calls whose cause may be this machine, so that they prove
// nothing about the endpoint.
var localErrnos = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN,
	syscall.ETIMEDOUT, syscall.EAGAIN, syscall.EACCES, syscall.EPERM, syscall.ECONNABORTED}

// failDials makes the next count dials of a client fail with cause.
func failDials(client *Client, count int32, cause error) {
	var dials atomic.Int32
	client.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		if dials.Add(1) <= count {
			return cause
		}
		return nil
	}
}

// A dial that fails temporarily, with an error whose cause may be this machine, is retried within the connect timeout,
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
			if result, _ := client.HealthCheck(t.Context(), "s0", balancer.ReuseTerms{}); result != balancer.Served {
				t.Errorf("health check: got result %d, want Served", result)
			}
		})
	}
}
