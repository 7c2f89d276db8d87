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
	"ashshunt/internal/membudget"
	"ashshunt/internal/protocol"
)

const (
	// maxTimeout bounds the timeout that a client may request.
	maxTimeout = time.Hour
	// maxIdempotencyKeyBytes bounds the length of an Idempotency-Key.
	maxIdempotencyKeyBytes = 255
	// maxWorkMicros bounds a client's estimate of the work, in microseconds. Larger estimates are ignored.
	maxWorkMicros = 1e12
	// requestIDLength is the number of hexadecimal digits of an X-Call-Id.
	requestIDLength = 16
)

// singleValueHeaders are the headers that a request may contain only once, since neither of two values would take
// precedence.
var singleValueHeaders = []string{
	protocol.HeaderRequestID,
	protocol.HeaderTimeout,
	protocol.HeaderIdempotencyKey,
	protocol.HeaderTenant,
	protocol.HeaderAffinityKey,
}

// RequestError reports an invalid request. It determines the response to the client.
type RequestError struct {
	Status int    // HTTP status of the response
	Reason string // body of the response
	Err    error  // underlying error; nil if there is none
}

// Error implements error.
func (e *RequestError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Reason, e.Err)
	}
	return e.Reason
}

// Unwrap returns the underlying error.
func (e *RequestError) Unwrap() error { return e.Err }

func badRequest(reason string) error {
	return &RequestError{Status: http.StatusBadRequest, Reason: reason}
}

// validateFraming validates the message framing before any of the body is read. It requires HTTP/1.1 and allows no
// Transfer-Encoding, so that only Content-Length determines the length of the body. This prevents request smuggling:
// net/http ignores the Content-Length of a chunked request, and the Transfer-Encoding of an HTTP/1.0 request, whereas a
// server that does the opposite would find a second request in the body.
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

// parseHead parses and validates the head of a request. It returns the request without its body.
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

// validateHead validates the structure of a head; the values of its headers are validated when they are parsed.
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

// parseEvent returns the event by which the decision module receives the request.
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

// parseClass returns the index of the class that the path names. It returns an error if the class requires another
// method.
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

// methodFor returns the method that requests of a class must have.
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

// knownRequestID returns the ID of a request for the log; empty if it is invalid.
func knownRequestID(r *http.Request) string {
	id, err := parseRequestID(r)
	if err != nil {
		return ""
	}
	return id
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

// parseIdempotencyKey returns the idempotency key. Requests of a class with keys must have one, and all others must
// not. Endpoints recognize a retry only by its key: without a key, a second attempt might run the request again.
func parseIdempotencyKey(r *http.Request, idempotency balancer.Idempotency) (string, error) {
	key := r.Header.Get(protocol.HeaderIdempotencyKey)
	wanted := idempotency == balancer.IdempotentWithKey
	if wanted != (key != "") || len(key) > maxIdempotencyKeyBytes {
		return "", badRequest(protocol.HeaderIdempotencyKey + ": wanted for a keyed class alone")
	}
	return key, nil
}

// parseTenant returns the index of the tenant. An unknown tenant is treated as the first one.
func (h *handler) parseTenant(r *http.Request) int {
	return max(0, slices.Index(h.tenants, r.Header.Get(protocol.HeaderTenant)))
}

// parseWork returns the client's estimate of the work; 0 if it is absent or invalid.
func parseWork(r *http.Request) time.Duration {
	micros, err := strconv.ParseFloat(r.Header.Get(protocol.HeaderWorkEstimate), 64)
	if err == nil && micros > 0 && micros < maxWorkMicros {
		return time.Duration(micros * float64(time.Microsecond))
	}
	return 0
}

// parseTarget returns the path and query exactly as the client sent them. A target in another form, such as an absolute
// URI, is returned as net/http has parsed it. A path that starts with "//" is an error, since net/url would write it
// with a scheme.
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

// readBody reads a body whose length has been validated. It sets no read deadline, since net/http would treat a
// deadline that expires just as the body completes as a disconnect. The connection rejects a request that takes too
// long.
func readBody(r *http.Request, conn *connection, memory *membudget.Reservation) ([]byte, error) {
	if err := conn.reserveBody(memory, r.ContentLength); err != nil {
		return nil, err
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, badBody(err)
	}
	return body, nil
}

func badBody(err error) error {
	return &RequestError{Status: http.StatusBadRequest, Reason: "bad body", Err: err}
}
