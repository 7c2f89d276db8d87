package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"

	"ashshunt/internal/protocol"
)

// framingKind is the method by which the end of a response body is determined.
type framingKind uint8

const (
	framedByLength framingKind = iota // Content-Length
	framedByChunks                    // Transfer-Encoding: chunked
	framedByClose                     // the body ends when the connection is closed
)

// Parameters for parsing a Content-Length. A number of 31 bits fits into an int on all platforms.
const (
	contentLengthBase = 10
	contentLengthBits = 31
)

// framing determines the end of a response body.
type framing struct {
	kind   framingKind
	length int // length of the body in bytes; used only with framedByLength
}

// parseFraming returns the framing of the body. It returns an error in these cases:
//
//   - The status is below 200. Of the 1xx responses, only 101 is not skipped before (see isInformational).
//   - There is more than one Content-Length or Transfer-Encoding header in total, which leaves the end of the body
//     ambiguous.
//   - The Transfer-Encoding is not chunked.
//   - The Content-Length is invalid or above protocol.MaxBodySize. Such a body is not read.
func (h responseHead) parseFraming() (framing, error) {
	lengths, encodings := h.header["Content-Length"], h.header["Transfer-Encoding"]
	switch {
	case h.status < http.StatusOK:
		return framing{}, fmt.Errorf("response has status %d, want a final status of 200 or above", h.status)
	case len(lengths)+len(encodings) == 0:
		return framing{kind: framedByClose}, nil
	case len(lengths)+len(encodings) != 1:
		return framing{}, fmt.Errorf("response has %d Content-Length and %d Transfer-Encoding headers, want only one",
			len(lengths), len(encodings))
	case len(encodings) == 1:
		if !strings.EqualFold(encodings[0], "chunked") {
			return framing{}, fmt.Errorf("response has Transfer-Encoding %.*q, want chunked",
				maxQuotedLength, encodings[0])
		}
		return framing{kind: framedByChunks}, nil
	}
	length, err := strconv.ParseUint(lengths[0], contentLengthBase, contentLengthBits)
	if err != nil || length > protocol.MaxBodySize {
		return framing{}, fmt.Errorf("response has Content-Length %.*q, want 0 to %d",
			maxQuotedLength, lengths[0], protocol.MaxBodySize)
	}
	return framing{kind: framedByLength, length: int(length)}, nil
}

// reserveFunc reserves memory for a body of up to the given size.
type reserveFunc func(size int) error

// readBody reads the body to its end. It reserves the memory of a long body before it allocates it.
func (f framing) readBody(in *bufio.Reader, reserve reserveFunc) ([]byte, error) {
	switch f.kind {
	case framedByChunks:
		return readChunkedBody(in, reserve)
	case framedByClose:
		return readAtMost(in, protocol.MaxBodySize, reserve)
	case framedByLength:
		if err := reserve(f.length); err != nil {
			return nil, err
		}
		body := make([]byte, f.length)
		_, err := io.ReadFull(in, body)
		return body, err
	}
	return nil, fmt.Errorf("unknown framing kind %d", f.kind) // unreachable: all kinds are handled above
}

func readChunkedBody(in *bufio.Reader, reserve reserveFunc) ([]byte, error) {
	body, err := readAtMost(httputil.NewChunkedReader(in), protocol.MaxBodySize, reserve)
	if err != nil {
		return nil, err
	}
	// The last chunk is followed by a trailer section, which is usually empty. The chunked reader leaves it unread.
	return body, readLines(in, func(lines *textproto.Reader) error {
		_, err := lines.ReadMIMEHeader()
		return err
	})
}

// readAtMost reads in to its end and returns an error if that is more than limit bytes. It also returns an error if the
// connection is reset: unlike a close, a reset does not mark the end of a body.
func readAtMost(in io.Reader, limit int, reserve reserveFunc) ([]byte, error) {
	start, err := io.ReadAll(io.LimitReader(in, unreservedBodySize))
	if err != nil || len(start) < unreservedBodySize {
		return start, err
	}
	if err := reserve(limit); err != nil {
		return nil, err
	}
	body := make([]byte, limit+1) // not grown step by step, which would take more than what is reserved
	for length := copy(body, start); length <= limit; {
		n, err := in.Read(body[length:])
		length += n
		switch {
		case errors.Is(err, io.EOF):
			return bytes.Clone(body[:length]), nil
		case err != nil:
			return nil, err
		}
	}
	return nil, fmt.Errorf("response body exceeds %d bytes", limit)
}
