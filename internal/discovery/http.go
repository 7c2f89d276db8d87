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

// listPath is the path of the endpoint list.
const listPath = "/v1/servers"

// maxListSize is the maximum size in bytes of one list. A poll truncates a larger list, which is then malformed. A
// watch fails with errListTooLarge.
const maxListSize = 8 << 20

// maxResponseHeadSize is the maximum size in bytes of the head of a response.
const maxResponseHeadSize = 16 << 10

// errRefused marks a request to which discovery responded with a status other than 200. The decision module has one
// event for all such statuses, ListRefused.
var errRefused = errors.New("discovery responded with a status other than 200")

// newHTTPClient returns a client without connection reuse, since net/http may resend a request on its own if a reused
// connection fails. Its timeouts are constant: a shorter Options.CallTimeout applies through the request's context, and
// a longer one does not extend the dial or the wait for the response header beyond them.
func newHTTPClient() *http.Client {
	dialer := &socket.Dialer{Dialer: net.Dialer{Timeout: defaultCallTimeout}}
	return &http.Client{Transport: &http.Transport{
		DialContext:           dialer.DialContext,
		DisableKeepAlives:     true,
		DisableCompression:    true,
		ResponseHeaderTimeout: maxPropagationDelay,

		MaxResponseHeaderBytes: maxResponseHeadSize,
	}}
}

// get requests the endpoint list from discovery and returns the body of the response. For a status other than 200, it
// returns an error that wraps errRefused.
func (c *Client) get(ctx context.Context, addr, query string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+listPath+query, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err // a *url.Error with the method and the URL
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: %s", errRefused, response.Status)
	}
	return response.Body, nil
}

// failureEvent returns the decision module's event for a failed request.
func failureEvent(err error) balancer.EndpointList {
	if errors.Is(err, errRefused) {
		return balancer.EndpointList{Kind: balancer.ListRefused}
	}
	return balancer.EndpointList{Kind: balancer.ListFailed}
}
