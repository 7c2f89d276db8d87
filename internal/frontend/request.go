package frontend

import (
	"net/url"
	"time"

	"ashshunt/balancer"
)

// Request is a client's request, complete and well-formed.
type Request struct {
	Event          balancer.Request // what the decision module gets of it
	IdempotencyKey string           // empty for a class without keys
	Method         string
	Host           string
	Target         *url.URL // path and query, as the client sent them
	Body           []byte
	ArrivedAt      time.Duration // when its last byte had come, on the agent's clock
	Deadline       time.Duration // when the client's timeout ends, on the agent's clock
	// IsClientGone reports whether the client has closed its connection, or has sent so much behind the request that a
	// close would not be seen. The event loop may not know it yet.
	IsClientGone func() bool

	response chan Response
}

// NewRequest returns an empty request that can be responded to.
func NewRequest() *Request { return &Request{response: make(chan Response, 1)} }

// Respond hands over the only response. It must be called once at most: the channel holds one response, so that the
// first call never blocks.
func (r *Request) Respond(response Response) { r.response <- response }

// Response returns the channel on which the only response arrives. It is for tests of the event loop alone.
func (r *Request) Response() <-chan Response { return r.response }

// Response is the final answer to a client.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration // 0: no Retry-After header
}

// EventLoop is what the frontend needs of the agent's event loop.
type EventLoop interface {
	// Submit hands over a request, which gets one response.
	Submit(*Request)
	// Abandon reports that a request's client has gone: nobody waits for the response.
	Abandon(*Request)
	// Ready is closed once the loop has taken its first step.
	Ready() <-chan struct{}
	// Done is closed when the loop has ended: no response comes any more.
	Done() <-chan struct{}
	// HasServingEndpoint reports whether some endpoint may get requests.
	HasServingEndpoint() bool
}
