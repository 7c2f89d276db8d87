package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ashshunt/internal/protocol"
)

// Request is a client's request as it is forwarded to endpoints.
type Request struct {
	ID             string
	IdempotencyKey string // empty: none
	Method, Host   string
	Target         *url.URL // path and query as the client sent them
	Body           []byte
	Lifetime       context.Context // once it ends, nothing more may go out for the request
	// ClientGone reports whether the client gets no answer any more, which the request's owner may not know yet: it has
	// closed its connection, or floods it.
	ClientGone func() bool
}

// isFinished reports whether nothing more may go out for the request.
func (r *Request) isFinished() bool { return r.Lifetime.Err() != nil || r.ClientGone() }

// newForwardedRequest returns the HTTP request of an attempt, whose timeout is what remains until the deadline.
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
		"User-Agent": {""}, // sends none; without it net/http adds its own
	}}
}
