package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"ashshunt/internal/socket"
)

// errFollowedByOtherBytes means that bytes other than a copy of the response came right behind it. It may be a part of
// a longer response, or the response to another request.
var errFollowedByOtherBytes = errors.New("other bytes right behind the response")

// following is what came right behind a response on its connection. Only one request at a time is sent on a connection,
// so that bytes behind its response belong to no request, or to this response.
type following uint8

const (
	followedByNothing following = iota
	followedByCopy              // the same response, whole, and nothing else
	followedByOther             // any other bytes
)

// followingNames are the names of what follows a response, as they appear in logs.
var followingNames = [...]string{
	followedByNothing: "nothing",
	followedByCopy:    "a copy",
	followedByOther:   "other bytes",
}

// String implements fmt.Stringer.
func (f following) String() string { return followingNames[f] }

// readAndValidateResponse reads the response and what follows it. The response has only an error if it proves nothing.
// keepAlive is that of readResponse.
func (r *responseReader) readAndValidateResponse() (response Response, keepAlive bool, f following) {
	response, keepAlive = r.readResponse()
	response.EndedAt = time.Now()
	if response.Err != nil {
		return response, false, followedByNothing
	}
	f = r.readFollowing(response)
	if err := validateFollowing(response, f); err != nil {
		return Response{Err: err, EndedAt: time.Now()}, false, f
	}
	return response, keepAlive, f
}

// readFollowing returns what has come right behind a response that was just read. It waits only for the rest of a
// further response that has started, for the stall timeout at most.
func (r *responseReader) readFollowing(response Response) following {
	switch r.unreadState() {
	case socket.Readable:
	case socket.Unknown:
		return followedByOther
	case socket.Empty, socket.Closed:
		return followedByNothing
	}
	if end := time.Now().Add(r.limits.stallTimeout); end.Before(r.limits.deadline) {
		r.limits.deadline = end
	}
	r.setReadDeadline(r.limits.deadline)
	further, _ := r.readResponse()
	isCopy := further.Err == nil && further.Status == response.Status && bytes.Equal(further.Body, response.Body)
	if state := r.unreadState(); isCopy && (state == socket.Empty || state == socket.Closed) {
		return followedByCopy
	}
	return followedByOther
}

// unreadState returns the state of the receive side, bytes in the buffer included.
func (r *responseReader) unreadState() socket.ReceiveState {
	if r.buffer.Buffered() > 0 {
		return socket.Readable
	}
	return socket.Peek(r.conn)
}

// validateFollowing returns an error if a response proves nothing because of what follows it. The lengths of two equal
// responses were right, so that a client may be served either. A rejection is also a proof that its request never ran,
// for which no second response may be in doubt.
func validateFollowing(response Response, f following) error {
	if f == followedByNothing || f == followedByCopy && response.isServed() {
		return nil
	}
	return fmt.Errorf("%w: status %d: %w", errMalformedResponse, response.Status, errFollowedByOtherBytes)
}
