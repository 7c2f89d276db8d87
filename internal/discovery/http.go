package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"ashshunt/balancer"
	"ashshunt/internal/socket"
)

// listPath is the path of discovery's endpoint list.
const listPath = "/v1/servers"

// maxListSize is the size in bytes that one list may have. A poll reads no further, so that a longer list is malformed
// there; a watch ends with errListTooLong.
const maxListSize = 8 << 20

// errRefused marks a call that discovery answered with a status other than 200, whichever it is: the decision module
// has one event for all of them, ListRefused.
var errRefused = errors.New("discovery refused the call")

// newHTTPClient returns a client that uses each connection once, so that it never sends a call again by itself. Its
// timeouts do not follow Options.CallTimeout: a shorter one ends the call by its context, a longer one has no effect.
func newHTTPClient() *http.Client {
	dialer := &socket.Dialer{Dialer: net.Dialer{Timeout: defaultCallTimeout}}
	return &http.Client{Transport: &http.Transport{
		DialContext:           dialer.DialContext,
		DisableKeepAlives:     true,
		DisableCompression:    true,
		ResponseHeaderTimeout: defaultCallTimeout,
	}}
}

// get calls discovery and returns the body of its response. Its error is errRefused for a status other than 200.
func (c *Client) get(ctx context.Context, addr, query string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+listPath+query, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err // names the call and its address
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: %s", errRefused, response.Status)
	}
	return response.Body, nil
}

// failureEvent is the decision module's event of a call that failed.
func failureEvent(err error) balancer.EndpointList {
	if errors.Is(err, errRefused) {
		return balancer.EndpointList{Kind: balancer.ListRefused}
	}
	return balancer.EndpointList{Kind: balancer.ListFailed}
}
