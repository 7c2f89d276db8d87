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
	// maxTimeout is the longest that a client may be willing to wait.
	maxTimeout = time.Hour
	// maxIdempotencyKey bounds an Idempotency-Key.
	maxIdempotencyKey = 255
	// maxWorkMicros bounds a client's guess at the work; what is beyond it is no guess.
	maxWorkMicros = 1e12
	// requestIDLength is the number of hexadecimal digits of an X-Call-Id.
	requestIDLength = 16
)

// singleHeaders are the headers that a request carries once at most: which of two counts would be anyone's guess.
var singleHeaders = []string{
	protocol.HeaderRequestID, protocol.HeaderTimeout, protocol.HeaderIdempotencyKey, protocol.HeaderTenant, protocol.HeaderKey,
}

// RequestError says what is wrong with a request.
type RequestError struct {
	Status int    // of the answer
	Reason string // the body of the answer
	Err    error  // the cause, if there is another one
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

// checkFraming checks what tells where a request ends, before a byte of its body is read. net/http drops the length
// of a request that is also chunked, and the encoding of one in HTTP/1.0, and goes on: whoever reads it the other way
// finds a second request in the body. So neither is accepted.
func checkFraming(r *http.Request) error {
	switch {
	case r.ProtoMajor != 1 || r.ProtoMinor != 1:
		return &RequestError{Status: http.StatusHTTPVersionNotSupported, Reason: "HTTP/1.1 wanted"}
	case len(r.TransferEncoding) > 0 || r.ContentLength < 0:
		return &RequestError{Status: http.StatusLengthRequired, Reason: "Content-Length wanted, and no Transfer-Encoding"}
	case r.ContentLength > protocol.MaxBodySize:
		return &RequestError{Status: http.StatusRequestEntityTooLarge, Reason: "too large a body"}
	}
	return nil
}

// parseHead reads and checks a request's head.
func (h *handler) parseHead(r *http.Request) (*Request, error) {
	class, err := h.parseClass(r)
	if err != nil {
		return nil, err
	}
	for _, name := range singleHeaders {
		if len(r.Header[name]) > 1 {
			return nil, badRequest(name + " twice")
		}
	}
	idempotency := h.settings.Classes[class].Idempotency
	if idempotency == balancer.Idempotent && r.ContentLength != 0 {
		return nil, badRequest("a body with GET")
	}
	id := r.Header.Get(protocol.HeaderRequestID)
	if !validRequestID(id) {
		return nil, badRequest(protocol.HeaderRequestID + ": 16 hex digits wanted")
	}
	timeout, err := parseTimeout(r)
	if err != nil {
		return nil, err
	}
	key, err := parseIdempotencyKey(r, idempotency)
	if err != nil {
		return nil, err
	}
	target, err := requestTarget(r)
	if err != nil {
		return nil, err
	}
	request := NewRequest()
	request.Event = balancer.Request{
		ID:          id,
		Class:       class,
		Tenant:      h.parseTenant(r),
		Key:         r.Header.Get(protocol.HeaderKey),
		Timeout:     min(timeout, h.settings.Classes[class].Deadline), // no client of the class waits longer
		ClientRetry: r.Header.Get(protocol.HeaderClientRetry) == protocol.Yes,
		Work:        parseWork(r),
	}
	request.IdempotencyKey = key
	request.Method, request.Host, request.Target = r.Method, r.Host, target
	return request, nil
}

// parseClass returns the class that the path names, if the method is that of the class.
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

// methodFor is the method of requests of a kind.
func methodFor(idempotency balancer.Idempotency) string {
	if idempotency == balancer.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

func validRequestID(id string) bool {
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
		return 0, &RequestError{Status: http.StatusBadRequest, Reason: protocol.HeaderTimeout + ": whole milliseconds wanted", Err: err}
	}
	return timeout, nil
}

// parseIdempotencyKey returns the key of a request whose class wants one. Endpoints know a retry by its key alone:
// without one, a second attempt might run again.
func parseIdempotencyKey(r *http.Request, idempotency balancer.Idempotency) (string, error) {
	key := r.Header.Get(protocol.HeaderIdempotencyKey)
	wanted := idempotency == balancer.IdempotentWithKey
	if wanted != (key != "") || len(key) > maxIdempotencyKey {
		return "", badRequest(protocol.HeaderIdempotencyKey + ": wanted for a keyed class alone")
	}
	return key, nil
}

// parseTenant returns the index of the tenant; one that is unknown counts as the first.
func (h *handler) parseTenant(r *http.Request) int {
	return max(0, slices.Index(h.tenants, r.Header.Get(protocol.HeaderTenant)))
}

// parseWork returns the client's guess at the work; 0: there is none that can be used.
func parseWork(r *http.Request) time.Duration {
	micros, err := strconv.ParseFloat(r.Header.Get(protocol.HeaderWork), 64)
	if err == nil && micros > 0 && micros < maxWorkMicros {
		return time.Duration(micros * float64(time.Microsecond))
	}
	return 0
}

// requestTarget is the path and query as the client sent them, unchanged.
func requestTarget(r *http.Request) (*url.URL, error) {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL, nil
	}
	path, query, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(path, "//") {
		return nil, badRequest(fmt.Sprintf("path %q", path))
	}
	return &url.URL{Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(r.RequestURI, "?")}, nil
}

// readBody reads a body whose length is known to fit. No read deadline bounds it: that might pass just as the body is
// complete, and be taken for a disconnect. Its connection refuses a request that takes too long.
func readBody(r *http.Request) ([]byte, error) {
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}
