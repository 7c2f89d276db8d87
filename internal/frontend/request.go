package frontend

import (
	"net/url"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/membudget"
)

// Request is a complete, valid request of a client.
type Request struct {
	Event          balancer.Request // the event for the decision module
	IdempotencyKey string           // empty if the class uses no keys
	Method         string
	Host           string
	Target         *url.URL // path and query exactly as the client sent them
	Body           []byte
	ArrivedAt      time.Duration // time of the last byte, on the agent's clock
	Deadline       time.Duration // end of the client's timeout, on the agent's clock
	// Validate returns an error if the request must not be forwarded any more: its client has closed the connection,
	// has sent so many bytes after the request that a close would not be detected, or has sent bytes which show that
	// the request may be cut. It may return one before the event loop is told by EventLoop.Abandon.
	Validate func() error

	// Memory is the reservation of the request. Its holders are the frontend, until the response is written, and the
	// event loop, until the request has no attempt in flight any more.
	Memory *membudget.Reservation

	response chan Response
}

// NewRequest returns an empty request that can receive a response.
func NewRequest() *Request { return &Request{response: make(chan Response, 1)} }

// Respond passes the response to the client's handler. It must be called at most once; it never blocks, since the
// channel buffers one response.
func (r *Request) Respond(response Response) { r.response <- response }

// Response returns the channel on which the response arrives. It is used only in tests of the event loop.
func (r *Request) Response() <-chan Response { return r.response }

// Response is the final answer to a client.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration // 0: no Retry-After header

	writeUntil time.Time // time by which the client must have read it
}

// EventLoop is the part of the agent's event loop that the frontend uses.
type EventLoop interface {
	// Submit passes a request to the loop, which responds to it once, unless it is abandoned or the loop stops.
	Submit(*Request)
	// Abandon reports that the client has disconnected and no longer waits for the response.
	Abandon(*Request)
	// Ready returns a channel that is closed after the loop's first step.
	Ready() <-chan struct{}
	// Done returns a channel that is closed when the loop has stopped. No response arrives after that.
	Done() <-chan struct{}
	// HasServingEndpoint reports whether at least one endpoint may receive requests.
	HasServingEndpoint() bool
}
