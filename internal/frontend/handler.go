package frontend

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/clock"
	"ashshunt/internal/config"
	"ashshunt/internal/socket"
)

const (
	// lingerMost is how much of the rest of a request is read that was turned away.
	lingerBytes = 256 << 10
	// lookEvery is how often a client is looked after that net/http may not see leave.
	disconnectCheckInterval = 100 * time.Millisecond
	// maxBudget is the longest that a client may be willing to wait.
	maxTimeout = time.Hour
	// maxBody bounds a request's body, in bytes.
	maxBodyBytes = 64 << 10
)

// front answers the application.
type handler struct {
	loop     EventLoop
	clock    clock.Clock
	classes  map[string]int
	tenants  []string
	settings balancer.Settings
	shuttingDown atomic.Bool
	timeouts *Timeouts
	nearLimit  func() bool // whether clients' connections run short
	created  time.Time
}

func newHandler(c *config.Config, clock clock.Clock, loop EventLoop, timeouts *Timeouts) *handler {
	f := &handler{loop: loop, clock: clock, classes: map[string]int{}, tenants: c.Names.Tenants, settings: c.Settings,
		timeouts: timeouts, created: time.Now()}
	for i, name := range c.Names.Classes {
		f.classes[name] = i
	}
	return f
}

func (f *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if r.URL.Path == "/healthz" {
		// Whoever asks for this asks once; seen in hundreds, each keeping its connection for good.
		w.Header().Set("Connection", "close")
		f.serveHealth(w)
		return
	}
	if status, why := checkFraming(r); status != 0 {
		f.reject(w, r, status, why)
		return
	}
	event, status, why := f.parse(r)
	if status != 0 {
		f.reject(w, r, status, why)
		return
	}
	q := NewRequest()
	q.IdempotencyKey, q.Method, q.Host = r.Header.Get("Idempotency-Key"), r.Method, r.Host
	var err error
	if q.Target, err = requestTarget(r); err != nil {
		f.reject(w, r, http.StatusBadRequest, err.Error())
		return
	}
	client := connectionOf(r)
	if r.ContentLength != 0 {
		if q.Body, err = readBody(client, r, f.timeouts.ReadBody); err != nil {
			f.reject(w, r, http.StatusBadRequest, "bad body")
			return
		}
		arrived = time.Now() // a request's time counts from its last byte
	}
	q.ClientGone = func() bool { left, flooded := socket.PeerClosed(client.Conn); return left || flooded }
	if left, flooded := socket.PeerClosed(client.Conn); left {
		panic(http.ErrAbortHandler) // while it waited to be read
	} else if flooded {
		f.reject(w, r, http.StatusBadRequest, "too much behind a request")
		return
	}
	q.Event, q.Arrived = event, f.clock.At(arrived)
	q.Deadline = q.Arrived + event.Timeout
	f.loop.Submit(q)
	f.awaitResponse(w, r, client, q)
}

// await answers a request that the loop has been handed. net/http looks for a client that leaves until it has
// read a byte behind the request; beyond that, its connection is looked at now and then.
func (f *handler) awaitResponse(w http.ResponseWriter, r *http.Request, client *connection, req *Request) {
	look := time.NewTicker(disconnectCheckInterval)
	defer look.Stop()
	left, flooded := false, false
	for !left && !flooded {
		select {
		case a := <-req.response:
			if f.shuttingDown.Load() || f.nearLimit() { // it stops soon: the client's next goes to a new process
				w.Header().Set("Connection", "close")
			}
			writeResponse(w, a)
			return
		case <-f.loop.Done():
			w.WriteHeader(http.StatusBadGateway)
			return
		case <-r.Context().Done():
			left = true
		case <-look.C:
			left, flooded = socket.PeerClosed(client.Conn)
		}
	}
	f.loop.Abandon(req)
	if flooded && !left {
		f.reject(w, r, http.StatusBadRequest, "too much behind a request")
		return
	}
	panic(http.ErrAbortHandler) // no answer: to return would send an empty one, as if served
}

func (f *handler) serveHealth(w http.ResponseWriter) {
	select {
	case <-f.loop.Ready():
		if !f.shuttingDown.Load() && (f.loop.HasServingEndpoint() || time.Since(f.created) >= f.timeouts.EndpointList) {
			io.WriteString(w, "ok\n")
			return
		}
	default:
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// framing checks what tells where a request ends, before a byte of its body is read. net/http drops the
// length of a request that is also chunked, and the encoding of one in HTTP/1.0, and goes on: whoever reads
// it the other way finds a second request in the body. So neither is taken.
func checkFraming(r *http.Request) (status int, why string) {
	switch {
	case r.ProtoMajor != 1 || r.ProtoMinor != 1:
		return http.StatusHTTPVersionNotSupported, "HTTP/1.1 wanted"
	case len(r.TransferEncoding) > 0 || r.ContentLength < 0:
		return http.StatusLengthRequired, "Content-Length wanted, and no Transfer-Encoding"
	case r.ContentLength > maxBodyBytes:
		return http.StatusRequestEntityTooLarge, "too large a body"
	}
	return 0, ""
}

// turnAway answers what is no request and closes its connection: what follows on it can't be trusted. Some of its body
// is read all the same, since a close on unread bytes resets the connection and takes the answer along.
func (f *handler) reject(w http.ResponseWriter, r *http.Request, status int, why string) {
	c := http.NewResponseController(w)
	c.SetReadDeadline(time.Now().Add(f.timeouts.Linger))
	w.Header().Set("Connection", "close")
	http.Error(w, why, status)
	c.Flush()
	io.CopyN(io.Discard, r.Body, lingerBytes)
}

// once are the headers that a request carries once at the most: which of two counts is anyone's guess.
var singleHeaders = []string{"X-Call-Id", "X-Budget-Ms", "Idempotency-Key", "X-Caller", "X-Route-Hash"}

// maxKey bounds an Idempotency-Key.
const maxIdempotencyKey = 255

// parse reads a request's head. A status other than 0 says what is wrong with it.
func (f *handler) parse(r *http.Request) (e balancer.Request, status int, why string) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := f.classes[name]
	if !ok {
		return e, http.StatusNotFound, "unknown class"
	}
	effect := f.settings.Classes[class].Idempotency
	if want := methodFor(effect); r.Method != want {
		return e, http.StatusMethodNotAllowed, want + " wanted"
	}
	for _, name := range singleHeaders {
		if len(r.Header[name]) > 1 {
			return e, http.StatusBadRequest, name + " twice"
		}
	}
	if effect == balancer.Idempotent && r.ContentLength != 0 {
		return e, http.StatusBadRequest, "a body with GET"
	}
	e = balancer.Request{ID: r.Header.Get("X-Call-Id"), Class: class, Key: r.Header.Get("X-Route-Hash"),
		ClientRetry: r.Header.Get("X-Again") == "1"}
	if !validID(e.ID) {
		return e, http.StatusBadRequest, "X-Call-Id: 16 hex digits wanted"
	}
	budget, err := strconv.ParseUint(r.Header.Get("X-Budget-Ms"), 10, 32)
	if e.Timeout = time.Duration(budget) * time.Millisecond; err != nil || e.Timeout <= 0 || e.Timeout > maxTimeout {
		return e, http.StatusBadRequest, "X-Budget-Ms: whole milliseconds wanted"
	}
	e.Timeout = min(e.Timeout, f.settings.Classes[class].Deadline) // no client of the class waits longer
	// Backends know a repeat by its key alone: without one, a second attempt might run again.
	if key := r.Header.Get("Idempotency-Key"); (effect == balancer.IdempotentWithKey) != (key != "") || len(key) > maxIdempotencyKey {
		return e, http.StatusBadRequest, "Idempotency-Key: wanted for a keyed class alone"
	}
	if text := r.Header.Get("X-Call-Cost"); text != "" {
		if us, err := strconv.ParseFloat(text, 64); err == nil && us > 0 && us < 1e12 {
			e.Work = time.Duration(us * 1e3)
		}
	}
	if i := slices.Index(f.tenants, r.Header.Get("X-Caller")); i > 0 {
		e.Tenant = i
	}
	return e, 0, ""
}

// method is what requests of a kind come by.
func methodFor(e balancer.Idempotency) string {
	if e == balancer.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

func validID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return true
}

// readBody reads a body whose length is known to fit. One that takes too long costs the connection. No read deadline
// bounds it, which might pass just as the body is whole and be held for the client's leave.
func readBody(client *connection, r *http.Request, timeout time.Duration) ([]byte, error) {
	late := time.AfterFunc(timeout, func() { client.Close() })
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	if !late.Stop() {
		return nil, os.ErrDeadlineExceeded
	}
	return body, err
}

func writeResponse(w http.ResponseWriter, a Response) {
	h := w.Header()
	h["Content-Type"] = []string{"application/octet-stream"}
	h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	if a.RetryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64)}
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body) // an error here means that the client has gone
}

// targetOf is the path and query as the client sent them, unchanged.
func requestTarget(r *http.Request) (*url.URL, error) {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL, nil
	}
	path, query, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(path, "//") {
		return nil, fmt.Errorf("path %q", path)
	}
	return &url.URL{Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(r.RequestURI, "?")}, nil
}
