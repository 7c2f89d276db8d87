package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// responseBufferSize is the size in bytes of the buffer through which a response is read.
const responseBufferSize = 4096

// pastDeadline is a deadline in the past: it interrupts reads and writes that wait.
var pastDeadline = time.Unix(1, 0)

// exchangeOutcome is how one request on one connection ended.
type exchangeOutcome struct {
	response       Response
	requestWritten bool // the request's last byte went out
	reusable       bool // the connection may carry another request
}

// encodeRequest returns the bytes of a request.
func encodeRequest(request *http.Request) ([]byte, error) {
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		return nil, err
	}
	return encoded.Bytes(), nil
}

// roundTrip writes a request in one go and reads its response. The end of ctx interrupts it.
func roundTrip(ctx context.Context, conn net.Conn, request []byte, deadline time.Time,
	stallTimeout time.Duration) exchangeOutcome {
	// A deadline can't be set on a connection that has been closed, where the write and the read fail as well.
	_ = conn.SetDeadline(deadline)
	stopInterrupt := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(pastDeadline) })
	defer stopInterrupt()
	if n, err := conn.Write(request); n < len(request) {
		return exchangeOutcome{response: Response{Err: err, EndedAt: time.Now()}}
	}
	buffer := getBuffer()
	reader := &responseReader{conn: conn, ctx: ctx, buffer: buffer, deadline: deadline, stallTimeout: stallTimeout}
	buffer.Reset(reader)
	response, keepAlive := reader.readResponse()
	response.EndedAt = time.Now()
	hasUnreadBytes := buffer.Buffered() > 0 // they would be read as the response to the next request
	putBuffer(buffer)
	return exchangeOutcome{
		response:       response,
		requestWritten: true,
		reusable:       keepAlive && !hasUnreadBytes && stopInterrupt(),
	}
}

// bufferPool are the read bufferPool of exchanges; an idle connection has none.
var bufferPool sync.Pool

func getBuffer() *bufio.Reader {
	if buffer, ok := bufferPool.Get().(*bufio.Reader); ok {
		return buffer
	}
	return bufio.NewReaderSize(nil, responseBufferSize)
}

func putBuffer(buffer *bufio.Reader) {
	buffer.Reset(nil) // keeps no connection alive
	bufferPool.Put(buffer)
}
