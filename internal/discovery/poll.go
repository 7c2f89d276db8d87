package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
	"ashshunt/internal/socket"
	"ashshunt/internal/telemetry"
)

// maxListSize is the most bytes that one list may have.
const maxListSize = 8 << 20

// errRefused marks a call that discovery answered with another status than 200.
var errRefused = errors.New("discovery refused the call")

// newHTTPClient returns a client that uses each connection once, so that it never sends a call again by itself.
func newHTTPClient() *http.Client {
	dialer := &socket.Dialer{Dialer: net.Dialer{Timeout: callTimeout}}
	return &http.Client{Transport: &http.Transport{
		DialContext:           dialer.DialContext,
		DisableKeepAlives:     true,
		DisableCompression:    true,
		ResponseHeaderTimeout: callTimeout,
	}}
}

// Poll asks for the complete list once and passes it, or the failure, to Options.OnList. It doesn't wait for that: a
// goroutine does, which ends within callTimeout.
func (c *Client) Poll(ctx context.Context) {
	go func() {
		if err := c.poll(ctx); err != nil && ctx.Err() == nil {
			c.log.Warn(telemetry.MsgPollFailed, telemetry.Err(err))
			c.onList(failureEvent(err))
		}
	}()
}

func (c *Client) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	addr := c.currentAddr()
	body, err := c.get(ctx, addr, "")
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(body, maxListSize))
	if err != nil {
		return fmt.Errorf("reading the list: %w", err)
	}
	list, err := endpoint.ParseList(raw)
	if err != nil {
		return err
	}
	list.Complete = true
	c.applyPolled(addr, list)
	return nil
}

// get calls discovery and returns the body of its response. Its error is errRefused for a status other than 200.
func (c *Client) get(ctx context.Context, addr, query string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/servers"+query, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: %s", errRefused, response.Status)
	}
	return response.Body, nil
}

// failureEvent is what the decision module hears of a call that failed.
func failureEvent(err error) balancer.EndpointList {
	if errors.Is(err, errRefused) {
		return balancer.EndpointList{Kind: balancer.ListRefused}
	}
	return balancer.EndpointList{Kind: balancer.ListFailed}
}
