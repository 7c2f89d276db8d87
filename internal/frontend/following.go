package frontend

import (
	"errors"

	"ashshunt/internal/socket"
)

// This file judges what a client has sent behind a request that is complete. If these bytes start no other request, the
// length of the request's body is too small, and what was read of it is only a part. Such a request must be neither
// forwarded nor served. More bytes may arrive at any time, so that each step which depends on them asks anew.

const (
	// unassuredUnreadBytes is the number of unread bytes that the system holds on any connection, with a close behind
	// them.
	unassuredUnreadBytes = 16 << 10
	// maxUnreadBytes is the number of bytes that may wait behind an open request.
	maxUnreadBytes = 64 << 10
	// receiveBufferBytes leaves room for what the client sends until the next look.
	receiveBufferBytes = 2 * maxUnreadBytes
)

// The reasons why a complete request must not be forwarded or served, or not any more.
var (
	// errDisconnected: the client has closed its connection.
	errDisconnected = errors.New("client disconnected")
	// errTooMuchUnread: the client has sent so many bytes after its request that a disconnect would not be detected.
	errTooMuchUnread = badRequest("too much behind a request")
	// errFollowedByOtherBytes: the bytes behind the request are no request, so that it may be cut.
	errFollowedByOtherBytes = badRequest("bytes behind the request start no other request")
)

// validateOpenRequest returns an error if the current request, which is complete, must not be forwarded or no longer
// needs a response. It is safe for concurrent use.
func (c *connection) validateOpenRequest() error {
	peer := c.examinePeer()
	switch {
	case peer.Closed:
		return errDisconnected
	case c.mayHideClose(peer.Unread):
		return errTooMuchUnread
	}
	return c.validateUnread(peer.Unread)
}

// mayHideClose reports whether so many bytes wait in the socket that a close behind them might not reach this machine.
// From unassuredUnreadBytes on it makes the system hold more.
func (c *connection) mayHideClose(unread int) bool {
	if unread <= unassuredUnreadBytes {
		return false
	}
	return unread > maxUnreadBytes || socket.EnsureReceiveBuffer(c.Conn, receiveBufferBytes) != nil
}

// validateFollowing returns an error if the bytes that have arrived behind the current request start no other request.
// It is safe for concurrent use.
func (c *connection) validateFollowing() error { return c.validateUnread(c.examineUnread()) }

// validateUnread implements validateFollowing. unread is the number of bytes that wait in the socket.
func (c *connection) validateUnread(unread int) error {
	if unread == 0 && !c.scanner.hasFollowing() { // saves a system call
		return nil
	}
	if c.scanner.isFollowedByOther(c) {
		return errFollowedByOtherBytes
	}
	return nil
}

// isFollowed reports whether bytes have arrived behind the current request.
func (c *connection) isFollowed() bool { return c.scanner.hasFollowing() || socket.HasUnread(c.Conn) }

// peek implements peeker.
func (c *connection) peek(buffer []byte) int { return socket.PeekBytes(c.Conn, buffer) }
