package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ashshunt/internal/membudget"
	"ashshunt/internal/protocol"
)

// Request is a client's request in the form in which it is forwarded to endpoints.
type Request struct {
	ID             string
	IdempotencyKey string // empty if the client sent none
	Method, Host   string
	Target         *url.URL // path and query as sent by the client
	Body           []byte
	Lifetime       context.Context // cancelled when the request has finished; no attempt may start after that
	// Validate returns an error if no attempt may start any more, because of what the client has done since it sent the
	// request. It may return one before Lifetime is cancelled.
	Validate func() error
	// Memory reserves the memory of long responses; nil: it is not limited.
	Memory *membudget.Reservation
}

// validate returns an error if no attempt of the request may start any more.
func (r *Request) validate() error {
	if err := r.Lifetime.Err(); err != nil {
		return fmt.Errorf("the request has finished: %w", err)
	}
	return r.Validate()
}

// newForwardedRequest returns the HTTP request of an attempt. Its timeout header is the time until the deadline in
// milliseconds, at least 1.
func newForwardedRequest(request *Request, deadline time.Time) *http.Request {
	timeoutMs := max(1, time.Until(deadline).Milliseconds())
	httpRequest := newHTTPRequest(request.Method, request.Target, request.Host)
	httpRequest.Header[protocol.HeaderRequestID] = []string{request.ID}
	httpRequest.Header[protocol.HeaderTimeout] = []string{strconv.FormatInt(timeoutMs, 10)}
	if request.IdempotencyKey != "" {
		httpRequest.Header[protocol.HeaderIdempotencyKey] = []string{request.IdempotencyKey}
	}
	if len(request.Body) > 0 {
		httpRequest.Body = io.NopCloser(bytes.NewReader(request.Body))
		httpRequest.ContentLength = int64(len(request.Body))
	}
	return httpRequest
}

// newHealthCheckRequest returns the HTTP request of a health check.
func newHealthCheckRequest(path, host string) *http.Request {
	return newHTTPRequest(http.MethodGet, &url.URL{Path: path}, host)
}

func newHTTPRequest(method string, target *url.URL, host string) *http.Request {
	return &http.Request{Method: method, URL: target, Host: host, Header: http.Header{
		"User-Agent": {""}, // an empty value omits the header; without an entry, net/http adds its own
	}}
}
