package upstream

import (
	"bytes"
	"context"
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
	// IsClientGone reports whether the client will get no response, because it closed its connection or sent too many
	// bytes after its request. It may become true before Lifetime is cancelled.
	IsClientGone func() bool
	// Memory reserves the memory of long responses; nil: it is not limited.
	Memory *membudget.Reservation
}

// isFinished reports whether no attempt of the request may start any more.
func (r *Request) isFinished() bool { return r.Lifetime.Err() != nil || r.IsClientGone() }

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
