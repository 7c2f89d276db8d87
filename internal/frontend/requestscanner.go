package frontend

import (
	"bytes"
	"net"
	"slices"
	"sync"

	"ashshunt/internal/socket"
)

// requestStarts are the methods with which a request may start, each with the space behind it.
var requestStarts = [][]byte{
	[]byte("GET "), []byte("HEAD "), []byte("POST "), []byte("PUT "), []byte("PATCH "), []byte("DELETE "),
	[]byte("CONNECT "), []byte("OPTIONS "), []byte("TRACE "),
}

// maxUnscannedBytes bounds the bytes behind a head that wait for the length of its body. A read that completes a head
// returns fewer, and net/http parses the head before it reads on.
const maxUnscannedBytes = 2 * readBufferSize

// maxRequestStart is the length of the longest of requestStarts.
const maxRequestStart = len("CONNECT ")

// emptyLines are the bytes of empty lines. Some clients send one behind the body of a POST request, and net/http skips
// up to maxEmptyLines bytes there. More of them start no request.
const (
	emptyLines    = "\r\n"
	maxEmptyLines = 4
)

// mayStartRequest reports whether bytes may be the first ones of a request, empty lines excepted. There may be none.
func mayStartRequest(first []byte) bool {
	return slices.ContainsFunc(requestStarts, func(start []byte) bool {
		return bytes.HasPrefix(start, first) || bytes.HasPrefix(first, start)
	})
}

// requestScanner finds the ends of requests in the bytes that are read from a connection, as net/http does, and knows
// which bytes follow a request. net/http reads ahead and does not tell how far.
//
// The owner reads all bytes through readFrom, and calls startBody for each request once net/http has read its head. It
// is safe for concurrent use, since net/http reads ahead on another goroutine while a request is served.
type requestScanner struct {
	// mu is also held from a read of the connection until its bytes are added. For whoever holds it, each byte that has
	// arrived is thus either added or unread.
	mu sync.Mutex

	added int64 // number of bytes that were added
	end   int64 // position of the end of the current request among them, or of what will be added
	// state is the part of a request to which the next byte belongs.
	state scanState
	// start holds the first bytes behind the current request, that is, those of the next head until its startBody.
	start       [maxRequestStart]byte
	startLength int
	// lineLength and lineStart are the length and the first byte of the current line of the head, without its LF.
	lineLength int
	lineStart  byte
	// headLength and headLines are the number of bytes, those of empty lines before it included, and of complete lines
	// of the current head that were added.
	headLength, headLines int
	// emptyLength is the number of bytes of empty lines before the current head.
	emptyLength int
	// unscanned holds the bytes behind a head whose body has an unknown length, maxUnscannedBytes at most.
	unscanned []byte
	// peeked is the buffer for bytes of the connection that were not read.
	peeked [maxEmptyLines + maxRequestStart]byte
	// bodyRemaining is the number of bytes of the body that were not added; 0 unless state is scanBody.
	bodyRemaining int64
}

// scanState is the part of a request to which the next byte belongs.
type scanState uint8

const (
	scanHead       scanState = iota // the request line or the header
	scanUnknown                     // the head is complete, and the length of the body is unknown
	scanBody                        // the body
	scanImpossible                  // the scanner and net/http disagree about where a request ends
)

// readFrom reads bytes of the connection into p and adds them.
func (s *requestScanner) readFrom(conn net.Conn, p []byte) (int, error) {
	return socket.ReadLocked(conn, p, s)
}

// Lock implements socket.Receiver.
func (s *requestScanner) Lock() { s.mu.Lock() }

// Unlock implements socket.Receiver.
func (s *requestScanner) Unlock() { s.mu.Unlock() }

// Receive implements socket.Receiver.
func (s *requestScanner) Receive(p []byte) {
	s.added += int64(len(p))
	s.addLocked(p)
}

// addLocked adds bytes that were read from the connection. The caller holds the mutex.
func (s *requestScanner) addLocked(p []byte) {
	for len(p) > 0 {
		switch s.state {
		case scanHead:
			p = s.addHead(p)
		case scanBody:
			p = s.addBody(p)
		case scanUnknown:
			s.addUnscanned(p)
			return
		case scanImpossible:
			return
		}
	}
}

// addUnscanned adds bytes behind a head whose body has an unknown length.
func (s *requestScanner) addUnscanned(p []byte) {
	if len(s.unscanned)+len(p) > maxUnscannedBytes {
		s.losePlace()
		return
	}
	s.unscanned = append(s.unscanned, p...)
}

// losePlace records that the scanner and net/http disagree about where a request ends.
func (s *requestScanner) losePlace() { s.state, s.bodyRemaining, s.unscanned = scanImpossible, 0, nil }

// skipEmptyLines counts the bytes of empty lines before a head, and returns the bytes behind them.
func (s *requestScanner) skipEmptyLines(p []byte) []byte {
	if s.startLength > 0 {
		return p
	}
	rest := bytes.TrimLeft(p, emptyLines)
	s.emptyLength += len(p) - len(rest)
	s.headLength += len(p) - len(rest)
	return rest
}

// addHead adds bytes up to the end of the head, which is an empty line, and returns the bytes behind it.
func (s *requestScanner) addHead(p []byte) []byte {
	p = s.skipEmptyLines(p)
	s.startLength += copy(s.start[s.startLength:], p)
	for len(p) > 0 {
		line, rest, isComplete := bytes.Cut(p, []byte{'\n'})
		if s.lineLength == 0 && len(line) > 0 {
			s.lineStart = line[0]
		}
		s.lineLength += len(line)
		if !isComplete {
			s.headLength += len(line)
			return nil
		}
		s.headLength += len(line) + 1
		s.headLines++
		isEmpty := s.lineLength == 0 || s.lineLength == 1 && s.lineStart == '\r'
		s.lineLength = 0
		p = rest
		if isEmpty {
			s.state = scanUnknown
			break
		}
	}
	return p
}

// addBody adds bytes up to the end of the body and returns the bytes behind it.
func (s *requestScanner) addBody(p []byte) []byte {
	n := min(int64(len(p)), s.bodyRemaining)
	s.bodyRemaining -= n
	if s.bodyRemaining == 0 {
		s.state = scanHead
	}
	return p[n:]
}

// startBody sets the length of the body behind the head that net/http has just read.
func (s *requestScanner) startBody(length int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != scanUnknown || length < 0 {
		s.losePlace()
		return
	}
	s.end = s.added - int64(len(s.unscanned)) + length
	s.state, s.bodyRemaining, s.startLength = scanBody, length, 0
	s.headLength, s.headLines, s.emptyLength = 0, 0, 0
	behindHead := s.addBody(s.unscanned)
	s.unscanned = s.unscanned[:0]
	s.addLocked(behindHead) // the bytes move to the front of unscanned, if they are needed there
}

// headState describes the head of the request to which the next byte belongs.
type headState struct {
	isComplete bool // all of the head was added, or the scanner has lost its place
	isParsed   bool // net/http has parsed the head, or the scanner has lost its place
	isRequest  bool // the first bytes may be those of a request
	length     int  // number of bytes that were added, those of empty lines before the head included
	lines      int  // number of complete lines that were added, the request line included
}

// head returns the state of the head that is being read.
func (s *requestScanner) head() headState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return headState{
		isComplete: s.state != scanHead,
		isParsed:   s.state == scanBody || s.state == scanImpossible,
		isRequest:  s.emptyLength <= maxEmptyLines && mayStartRequest(s.start[:s.startLength]),
		length:     s.headLength,
		lines:      s.headLines,
	}
}

// hasNextRequest reports whether bytes behind the current request were added that start another one.
func (s *requestScanner) hasNextRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != scanImpossible && s.startLength > 0
}

// isWithinRequest reports whether a request has started of which not all bytes were added. It also reports true if the
// scanner can't tell.
func (s *requestScanner) isWithinRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != scanHead || s.headLength > 0
}

// isWithinBody reports whether bytes of the current request's body were not added, or the scanner can't tell.
func (s *requestScanner) isWithinBody() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == scanBody || s.state == scanImpossible
}

// bytesBehindHead returns the number of bytes that were added behind a head whose body has an unknown length.
func (s *requestScanner) bytesBehindHead() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unscanned)
}

// bodyBytesRemaining returns the number of bytes of the current request's body that were not added.
func (s *requestScanner) bodyBytesRemaining() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.bodyRemaining)
}

// requestEnd returns the position behind the current request in the client's stream. It reports false if the scanner
// can't tell.
func (s *requestScanner) requestEnd() (end int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end, s.state != scanImpossible
}

// arrivedBytes returns how many bytes of the client's stream have arrived. countUnread returns the number of those that
// were not read.
func (s *requestScanner) arrivedBytes(countUnread func() int) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.added + int64(countUnread())
}

// hasFollowing reports whether bytes behind the current request were added.
func (s *requestScanner) hasFollowing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != scanBody && s.headLength > 0
}

// isFollowedByOther reports whether the bytes behind the current request can't be the first ones of a further request.
// It reports false as long as the request is incomplete, and if the scanner can't tell. The bytes of the connection
// that were not read are examined only if they matter.
func (s *requestScanner) isFollowedByOther(connection peeker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == scanBody || s.state == scanImpossible {
		return false
	}
	first := s.start[:s.startLength]
	if s.startLength == maxRequestStart || !mayStartRequest(first) {
		return !mayStartRequest(first)
	}
	unread := s.peeked[:connection.peek(s.peeked[:])]
	if s.startLength == 0 {
		unread = bytes.TrimLeft(unread, emptyLines)
	}
	var start [maxRequestStart]byte
	n := copy(start[:], first)
	n += copy(start[n:], unread)
	return !mayStartRequest(start[:n])
}

// peeker is a connection whose next bytes can be examined.
type peeker interface {
	// peek copies the next bytes that were not read to a buffer, and returns their number.
	peek(buffer []byte) int
}
