package upstream

import (
	"errors"

	"ashshunt/balancer"
)

var (
	// ErrNotServing is why an attempt has no connection if its endpoint began to drain or left the list after the
	// attempt was decided on.
	ErrNotServing = errors.New("endpoint is not serving")
	// ErrPoolExhausted is why an attempt has no connection if all that the pool may hold are in use.
	ErrPoolExhausted = errors.New("connection pool exhausted")
	// ErrMalformedResponse marks a response that can't be used. Its request may have run.
	ErrMalformedResponse = errors.New("malformed response")
)

// connectError is why an attempt has no connection. No byte of its request went out.
type connectError struct {
	endpointID string
	result     balancer.Result // of the attempt
	cause      error
}

func (e *connectError) Error() string {
	return "connect to endpoint " + e.endpointID + ": " + e.cause.Error()
}

func (e *connectError) Unwrap() error { return e.cause }
