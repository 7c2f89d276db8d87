package upstream

import (
	"errors"

	"ashshunt/balancer"
)

var (
	// errNotServing means that an endpoint started to drain, or was removed from the list, after it was picked for an
	// attempt or a health check.
	errNotServing = errors.New("endpoint is not serving")
	// errTooLate means that too little time is left to start an attempt.
	errTooLate = errors.New("too late to start")
	// errMayBeReplaced means that another process may have come up at the address of an endpoint.
	errMayBeReplaced = errors.New("the endpoint's process may have been replaced")
	// errPoolExhausted means that the pool has reached its connection limit and all connections are in use.
	errPoolExhausted = errors.New("connection pool exhausted")
	// errUnrequestedBytes means that bytes arrived on a connection before its request could have reached the endpoint.
	errUnrequestedBytes = errors.New("unrequested bytes before the request")
	// errEarlyBytes means that bytes arrived so soon after the last response on their connection that they may still
	// belong to that.
	errEarlyBytes = errors.New("bytes too soon after the last response on the connection")
	// errMalformedResponse marks a response that violates the protocol. Its request may have run.
	errMalformedResponse = errors.New("malformed response")
)

// connectError says why there was no connection for an attempt or a health check. No byte of the request was sent.
type connectError struct {
	endpointID string
	result     balancer.Result // result of the attempt or health check
	cause      error
}

func (e *connectError) Error() string {
	return "connect to endpoint " + e.endpointID + ": " + e.cause.Error()
}

func (e *connectError) Unwrap() error { return e.cause }
