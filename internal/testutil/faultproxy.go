package testutil

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// ConnectionEnd is what a FaultProxy does to its client's connection after the data of a Segment.
type ConnectionEnd uint8

// The ends of a connection.
const (
	EndNone      ConnectionEnd = iota // stays open
	EndHalfClose                      // no more bytes follow, but the client may still write
	EndReset                          // TCP reset
	EndBlackHole                      // stays open, but the client gets no more bytes
)

// Segment is a part of what a FaultProxy sends to its client.
type Segment struct {
	Delay    time.Duration // time since the previous segment of the same response; additional latency of the first one
	MaxDelay time.Duration // the segment is dropped if it can't be sent by this delay; 0: it is always sent
	Data     []byte
	End      ConnectionEnd
}

// ProxyFaults decides what a FaultProxy sends instead of what it receives from the server. Its functions are called
// from several goroutines. Each may be nil.
type ProxyFaults struct {
	// OnConnect returns the segments to send on a new connection, before any response.
	OnConnect func() []Segment
	// OnResponse returns the segments to send for a complete response of the server. Without it, bytes are forwarded as
	// they arrive.
	OnResponse func(response []byte) []Segment
	// OnData returns the segments to send for bytes of the server, as they arrive. Later bytes wait until all segments
	// are sent, since TCP keeps the order of bytes. It is not used with OnResponse.
	OnData func(data []byte) []Segment
	// OnRequestData returns the parts in which bytes from the client are written to the server.
	OnRequestData func(data []byte) [][]byte
}

// FaultProxy is a proxy between HTTP/1.1 clients and a server. It adds latency and injects faults.
type FaultProxy struct {
	net.Listener
	target  string        // address of the server
	latency time.Duration // in each direction
	faults  ProxyFaults
}

// NewFaultProxy starts a proxy that accepts connections until the test ends. target is the address of the server.
func NewFaultProxy(t *testing.T, target string, latency time.Duration, faults ProxyFaults) *FaultProxy {
	t.Helper()
	p := &FaultProxy{Listener: Listen(t), target: target, latency: latency, faults: faults}
	go p.acceptAll()
	return p
}

// acceptAll forwards connections until the listener is closed.
func (p *FaultProxy) acceptAll() {
	for {
		client, err := p.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

// Addr returns the address that the proxy listens on.
func (p *FaultProxy) Addr() string { return p.Listener.Addr().String() }

// forward forwards a connection until both directions have ended.
func (p *FaultProxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	toClient, toServer := newDelayLine(client), newDelayLine(server)
	now := time.Now()
	if p.faults.OnConnect != nil {
		toClient.addAll(now.Add(p.latency), p.faults.OnConnect())
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.forwardRequests(client, toServer) })
	directions.Go(func() { p.forwardResponses(server, toClient) })
	directions.Wait()
	toClient.close()
	toServer.close()
}

// forwardRequests forwards bytes to the server until the client ends its connection.
func (p *FaultProxy) forwardRequests(client net.Conn, toServer *delayLine) {
	buffer := make([]byte, proxyBufferSize)
	for {
		n, err := client.Read(buffer)
		if n > 0 {
			for _, part := range p.requestParts(buffer[:n]) {
				toServer.add(time.Now().Add(p.latency), Segment{Data: bytes.Clone(part)})
			}
		}
		if err != nil {
			toServer.add(time.Now().Add(p.latency), Segment{End: EndHalfClose})
			return
		}
	}
}

// proxyBufferSize is the size in bytes of a single read of a proxy.
const proxyBufferSize = 64 << 10

// requestParts returns the parts in which bytes from the client are forwarded.
func (p *FaultProxy) requestParts(data []byte) [][]byte {
	if p.faults.OnRequestData == nil {
		return [][]byte{data}
	}
	return p.faults.OnRequestData(data)
}

// forwardResponses forwards responses to the client until the server ends its connection.
func (p *FaultProxy) forwardResponses(server net.Conn, toClient *delayLine) {
	in := bufio.NewReaderSize(server, proxyBufferSize)
	for {
		data, err := p.readUnit(in)
		if len(data) > 0 {
			toClient.addAll(time.Now().Add(p.latency), p.responseSegments(data))
		}
		if p.faults.OnResponse == nil && p.faults.OnData != nil {
			toClient.waitUntilSent()
		}
		if err != nil {
			toClient.waitUntilSent()
			toClient.add(time.Now(), Segment{End: endOf(err)})
			return
		}
	}
}

// endOf returns the end of the client's connection that corresponds to the end of the server's.
func endOf(err error) ConnectionEnd {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return EndHalfClose
	}
	return EndReset
}

func (p *FaultProxy) responseSegments(data []byte) []Segment {
	switch {
	case p.faults.OnResponse != nil:
		return p.faults.OnResponse(data)
	case p.faults.OnData != nil:
		return p.faults.OnData(data)
	}
	return []Segment{{Data: data}}
}

// readUnit reads one complete response, or, without OnResponse, the bytes that are available. data may be incomplete if
// err is not nil.
func (p *FaultProxy) readUnit(in *bufio.Reader) (data []byte, err error) {
	if p.faults.OnResponse == nil {
		buffer := make([]byte, proxyBufferSize)
		n, err := in.Read(buffer)
		return buffer[:n], err
	}
	var raw bytes.Buffer
	response, err := http.ReadResponse(bufio.NewReaderSize(io.TeeReader(oneByteReader{in}, &raw), 1), nil)
	if err != nil {
		return raw.Bytes(), err
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.Close {
		err = io.EOF
	}
	return raw.Bytes(), err
}

// oneByteReader reads single bytes, so that a buffered reader of it does not read ahead.
type oneByteReader struct{ *bufio.Reader }

func (r oneByteReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(1, len(p))]) }

// delayLine writes segments to a connection at their times.
type delayLine struct {
	conn net.Conn
	wake chan struct{} // receives a value when segments are added

	mu       sync.Mutex
	pending  []timedSegment // by at
	unsent   int            // number of segments that are neither sent nor dropped, those after pending ones included
	isClosed bool
}

// timedSegment is a segment with its time.
type timedSegment struct {
	Segment
	at     time.Time
	dropAt time.Time // the segment is dropped if it is not sent by then; zero: never
	next   []Segment // the segments after this one; their delays start when this one is sent
}

func newDelayLine(conn net.Conn) *delayLine {
	l := &delayLine{conn: conn, wake: make(chan struct{}, 1)}
	go l.run()
	return l
}

// addAll adds segments of one response. The delay of each starts when the one before it is sent.
func (l *delayLine) addAll(at time.Time, segments []Segment) {
	if len(segments) > 0 {
		l.countUnsent(len(segments))
		l.insert(newTimedSegment(at, segments))
	}
}

func (l *delayLine) countUnsent(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsent += change
}

// waitUntilSent blocks until all segments are sent or dropped.
func (l *delayLine) waitUntilSent() {
	for {
		l.mu.Lock()
		unsent := l.unsent
		l.mu.Unlock()
		if unsent == 0 {
			return
		}
		time.Sleep(pollInterval)
	}
}

func newTimedSegment(at time.Time, segments []Segment) timedSegment {
	s := timedSegment{Segment: segments[0], at: at.Add(segments[0].Delay), next: segments[1:]}
	if s.MaxDelay > 0 {
		s.dropAt = at.Add(s.MaxDelay)
	}
	return s
}

func (l *delayLine) add(at time.Time, segment Segment) { l.addAll(at, []Segment{segment}) }

// insert adds a segment behind those that are due at the same time or earlier.
func (l *delayLine) insert(s timedSegment) {
	l.mu.Lock()
	position, _ := slices.BinarySearchFunc(l.pending, s, func(other, s timedSegment) int {
		if other.at.After(s.at) {
			return 1
		}
		return -1
	})
	l.pending = slices.Insert(l.pending, position, s)
	l.mu.Unlock()
	l.notify()
}

func (l *delayLine) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// close makes run close the connection when all segments are sent.
func (l *delayLine) close() {
	l.mu.Lock()
	l.isClosed = true
	l.mu.Unlock()
	l.notify()
}

// run sends the segments at their times until the line is closed, and then closes the connection.
func (l *delayLine) run() {
	defer func() { _ = l.conn.Close() }()
	for {
		segment, wait, ok := l.nextDue()
		if !ok {
			return
		}
		if segment != nil {
			l.send(segment)
			continue
		}
		select {
		case <-l.wake:
		case <-time.After(wait):
		}
	}
}

// maxProxyWait is the maximum time that a delay line sleeps while it is empty.
const maxProxyWait = time.Minute

// nextDue removes and returns a segment that is due. Otherwise it returns the time until the next one. ok is false if
// the line is closed and empty.
func (l *delayLine) nextDue() (segment *timedSegment, wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return nil, maxProxyWait, !l.isClosed
	}
	if wait = time.Until(l.pending[0].at); wait > 0 {
		return nil, wait, true
	}
	first := l.pending[0]
	l.pending = l.pending[1:]
	return &first, 0, true
}

// send writes a segment and ends the connection as the segment says. Writes fail if the peer has disconnected.
func (l *delayLine) send(s *timedSegment) {
	if s.dropAt.IsZero() || time.Now().Before(s.dropAt) {
		_, _ = l.conn.Write(s.Data)
		l.end(s.End)
	}
	if len(s.next) > 0 {
		l.insert(newTimedSegment(time.Now(), s.next))
	}
	l.countUnsent(-1)
}

func (l *delayLine) end(end ConnectionEnd) {
	tcp, isTCP := l.conn.(*net.TCPConn)
	if !isTCP { // a black hole
		return
	}
	switch end {
	case EndNone:
	case EndHalfClose:
		_ = tcp.CloseWrite()
	case EndReset:
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	case EndBlackHole:
		l.conn = discardConn{tcp}
	}
}

// discardConn is a connection whose writes have no effect.
type discardConn struct{ *net.TCPConn }

func (discardConn) Write(p []byte) (int, error) { return len(p), nil }
