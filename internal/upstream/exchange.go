package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"ashshunt/internal/membudget"
)

// responseBufferSize is the size in bytes of the read buffer of an exchange.
const responseBufferSize = 4096

// pastDeadline is a connection deadline in the past. Setting it interrupts blocked reads and writes.
var pastDeadline = time.Unix(1, 0)

// exchangeOutcome is the outcome of an exchange, that is, of one request and its response on a connection.
type exchangeOutcome struct {
	response       Response
	requestWritten bool      // the request was written completely
	reusable       bool      // the connection may be used for another request
	following      following // what came right behind the response
	firstByteAt    time.Time // time of the first byte of the response; zero: there is none
}

// encodedRequests holds unused buffers for encoded requests. A long request would otherwise leave a copy of its body to
// the garbage collector for each attempt.
var encodedRequests sync.Pool

// encodeRequest returns a buffer of encodedRequests with the bytes of a request as exchange writes them.
func encodeRequest(request *http.Request) (*bytes.Buffer, error) {
	encoded, ok := encodedRequests.Get().(*bytes.Buffer)
	if !ok {
		encoded = new(bytes.Buffer)
	}
	encoded.Reset()
	if err := request.Write(encoded); err != nil {
		encodedRequests.Put(encoded)
		return nil, err
	}
	return encoded, nil
}

// isNoResponse reports whether the exchange ended with bytes that are no response to its request.
func (o exchangeOutcome) isNoResponse() bool {
	return errors.Is(o.response.Err, errUnrequestedBytes) || errors.Is(o.response.Err, errEarlyBytes)
}

// exchangeLimits are the limits of an exchange.
type exchangeLimits struct {
	memory       *membudget.Reservation // reserves the memory of a long response
	deadline     time.Time              // deadline of the whole exchange
	stallTimeout time.Duration          // maximum time of a single read after the response has started
	notBefore    time.Time              // bytes that arrive earlier are no response
}

// exchange writes a request with a single call to Write, puts its buffer back into encodedRequests, and reads the
// response. Cancelling ctx interrupts the write and the read.
func exchange(ctx context.Context, conn net.Conn, request *bytes.Buffer, limits exchangeLimits) exchangeOutcome {
	// SetDeadline fails on a closed connection, where the write and the read fail as well.
	_ = conn.SetDeadline(limits.deadline)
	stopInterrupt := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(pastDeadline) })
	defer stopInterrupt()
	length := request.Len()
	n, err := conn.Write(request.Bytes())
	encodedRequests.Put(request)
	if n < length {
		return exchangeOutcome{response: Response{Err: err, EndedAt: time.Now()}}
	}
	buffer := getBuffer()
	reader := &responseReader{conn: conn, ctx: ctx, buffer: buffer, limits: limits}
	buffer.Reset(reader)
	response, keepAlive, following := reader.readAndValidateResponse()
	reader.releaseUnused(response)
	putBuffer(buffer)
	// A request that was not served may be sent again. Its connection is closed before that: if the response was not
	// its own, the request still runs.
	keepAlive = keepAlive && response.isServed() && following == followedByNothing
	return exchangeOutcome{
		response:       response,
		requestWritten: true,
		firstByteAt:    reader.firstByteAt,
		following:      following,
		// stopInterrupt returns false if ctx was cancelled. pastDeadline may then be set on the connection at any time.
		reusable: keepAlive && stopInterrupt(),
	}
}

// bufferPool holds the read buffers of exchanges. Idle connections have no buffer.
var bufferPool sync.Pool

func getBuffer() *bufio.Reader {
	if buffer, ok := bufferPool.Get().(*bufio.Reader); ok {
		return buffer
	}
	return bufio.NewReaderSize(nil, responseBufferSize)
}

func putBuffer(buffer *bufio.Reader) {
	buffer.Reset(nil) // drops the reference to the connection, so that it can be garbage-collected
	bufferPool.Put(buffer)
}
