package frontend

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/protocol"
)

const (
	// maxTimeout bounds the timeout that a client may set.
	maxTimeout = time.Hour
	// maxIdempotencyKeyBytes bounds an Idempotency-Key.
	maxIdempotencyKeyBytes = 255
	// maxWorkMicros bounds a client's estimate of the work, in microseconds; one beyond it is ignored.
	maxWorkMicros = 1e12
	// requestIDLength is the number of hexadecimal digits of an X-Call-Id.
	requestIDLength = 16
)

// singleValueHeaders are the headers that a request may carry only once, since nothing says which of two values counts.
var singleValueHeaders = []string{
	protocol.HeaderRequestID,
	protocol.HeaderTimeout,
	protocol.HeaderIdempotencyKey,
	protocol.HeaderTenant,
	protocol.HeaderAffinityKey,
}

// RequestError says what is wrong with a request, and how its client is answered.
type RequestError struct {
	Status int    // of the answer
	Reason string // the body of the answer
	Err    error  // the cause; nil if Reason says all
}

// Error implements error.
func (e *RequestError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Reason, e.Err)
	}
	return e.Reason
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

func badRequest(reason string) error {
	return &RequestError{Status: http.StatusBadRequest, Reason: reason}
}

// validateFraming checks what determines the end of a request, before any of its body is read. net/http drops the length
// of a request that is also chunked, and the encoding of one in HTTP/1.0, and goes on: a server that reads it the other
// way finds a second request in the body. So neither is accepted.
func validateFraming(r *http.Request) error {
	switch {
	case r.ProtoMajor != 1 || r.ProtoMinor != 1:
		return &RequestError{Status: http.StatusHTTPVersionNotSupported, Reason: "HTTP/1.1 wanted"}
	case len(r.TransferEncoding) > 0 || r.ContentLength < 0:
		return &RequestError{
			Status: http.StatusLengthRequired,
			Reason: "Content-Length wanted, and no Transfer-Encoding",
		}
	case r.ContentLength > protocol.MaxBodySize:
		return &RequestError{Status: http.StatusRequestEntityTooLarge, Reason: "too large a body"}
	}
	return nil
}

// parseHead checks a request's head and returns the request, still without its body.
func (h *handler) parseHead(r *http.Request) (*Request, error) {
	class, err := h.parseClass(r)
	if err != nil {
		return nil, err
	}
	idempotency := h.settings.Classes[class].Idempotency
	if err := validateHead(r, idempotency); err != nil {
		return nil, err
	}
	event, err := h.parseEvent(r, class)
	if err != nil {
		return nil, err
	}
	key, err := parseIdempotencyKey(r, idempotency)
	if err != nil {
		return nil, err
	}
	target, err := parseTarget(r)
	if err != nil {
		return nil, err
	}
	request := NewRequest()
	request.Event = event
	request.IdempotencyKey = key
	request.Method, request.Host, request.Target = r.Method, r.Host, target
	return request, nil
}

// validateHead checks a head as a whole, apart from the values of its headers.
func validateHead(r *http.Request, idempotency balancer.Idempotency) error {
	for _, name := range singleValueHeaders {
		if len(r.Header[name]) > 1 {
			return badRequest(name + " twice")
		}
	}
	if idempotency == balancer.Idempotent && r.ContentLength != 0 {
		return badRequest("a body with GET")
	}
	return nil
}

// parseEvent returns what the decision module gets of a request.
func (h *handler) parseEvent(r *http.Request, class int) (balancer.Request, error) {
	id, err := parseRequestID(r)
	if err != nil {
		return balancer.Request{}, err
	}
	timeout, err := parseTimeout(r)
	if err != nil {
		return balancer.Request{}, err
	}
	return balancer.Request{
		ID:          id,
		Class:       class,
		Tenant:      h.parseTenant(r),
		Key:         r.Header.Get(protocol.HeaderAffinityKey),
		Timeout:     min(timeout, h.settings.Classes[class].Deadline), // no client of the class waits longer
		ClientRetry: r.Header.Get(protocol.HeaderClientRetry) == protocol.FlagTrue,
		Work:        parseWork(r),
	}, nil
}

// parseClass returns the index of the class that the path names, if the method is that of the class.
func (h *handler) parseClass(r *http.Request) (int, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := h.classes[name]
	if !ok {
		return 0, &RequestError{Status: http.StatusNotFound, Reason: "unknown class"}
	}
	if want := methodFor(h.settings.Classes[class].Idempotency); r.Method != want {
		return 0, &RequestError{Status: http.StatusMethodNotAllowed, Reason: want + " wanted"}
	}
	return class, nil
}

// methodFor is the method of a class's requests.
func methodFor(idempotency balancer.Idempotency) string {
	if idempotency == balancer.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

func parseRequestID(r *http.Request) (string, error) {
	id := r.Header.Get(protocol.HeaderRequestID)
	if !isRequestID(id) {
		return "", badRequest(protocol.HeaderRequestID + ": 16 hex digits wanted")
	}
	return id, nil
}

func isRequestID(id string) bool {
	if len(id) != requestIDLength {
		return false
	}
	for _, c := range []byte(id) {
		if !isHexDigit(c) {
			return false
		}
	}
	return true
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

func parseTimeout(r *http.Request) (time.Duration, error) {
	milliseconds, err := strconv.ParseUint(r.Header.Get(protocol.HeaderTimeout), 10, 32)
	timeout := time.Duration(milliseconds) * time.Millisecond
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, &RequestError{
			Status: http.StatusBadRequest,
			Reason: protocol.HeaderTimeout + ": whole milliseconds wanted",
			Err:    err,
		}
	}
	return timeout, nil
}

// parseIdempotencyKey returns the key of a request whose class requires one; no other class may have one. Endpoints
// recognize a retry by its key alone: without one, a second attempt might run again.
func parseIdempotencyKey(r *http.Request, idempotency balancer.Idempotency) (string, error) {
	key := r.Header.Get(protocol.HeaderIdempotencyKey)
	wanted := idempotency == balancer.IdempotentWithKey
	if wanted != (key != "") || len(key) > maxIdempotencyKeyBytes {
		return "", badRequest(protocol.HeaderIdempotencyKey + ": wanted for a keyed class alone")
	}
	return key, nil
}

// parseTenant returns the index of the tenant; an unknown tenant counts as the first.
func (h *handler) parseTenant(r *http.Request) int {
	return max(0, slices.Index(h.tenants, r.Header.Get(protocol.HeaderTenant)))
}

// parseWork returns the client's estimate of the work; 0 if there is none that can be used.
func parseWork(r *http.Request) time.Duration {
	micros, err := strconv.ParseFloat(r.Header.Get(protocol.HeaderWorkEstimate), 64)
	if err == nil && micros > 0 && micros < maxWorkMicros {
		return time.Duration(micros * float64(time.Microsecond))
	}
	return 0
}

// parseTarget is the path and query as the client sent them, unchanged.
func parseTarget(r *http.Request) (*url.URL, error) {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL, nil
	}
	path, query, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(path, "//") {
		return nil, badRequest(fmt.Sprintf("path %q", path))
	}
	return &url.URL{Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(r.RequestURI, "?")}, nil
}

// readBody reads a body whose length has been checked. No read deadline bounds it, since one that passes just as the
// body is complete would look like a disconnect. The connection rejects a request that takes too long.
func readBody(r *http.Request) ([]byte, error) {
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}
