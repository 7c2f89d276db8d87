package upstream

import (
	"bufio"
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

// framingKind is how the end of a response's body is marked.
type framingKind uint8

const (
	framedByLength framingKind = iota // Content-Length
	framedByChunks                    // Transfer-Encoding: chunked
	framedByClose                     // the body ends with its connection
)

// contentLengthBase and contentLengthBits are the form of a Content-Length; the bits make it fit into any int.
const (
	contentLengthBase = 10
	contentLengthBits = 31
)

// framing is where the body of a response ends.
type framing struct {
	kind   framingKind
	length int // in bytes, if it is framed by its length
}

// parseFraming parses the framing of the body. Two lengths, or a length and an encoding, leave the end of the body
// ambiguous. A body over the limit is not waited for.
func (h responseHead) parseFraming() (framing, error) {
	lengths, encodings := h.header["Content-Length"], h.header["Transfer-Encoding"]
	switch {
	case h.status < http.StatusOK:
		return framing{}, fmt.Errorf("status %d", h.status)
	case len(lengths)+len(encodings) == 0:
		return framing{kind: framedByClose}, nil
	case len(lengths)+len(encodings) != 1:
		return framing{}, errors.New("framed twice")
	case len(encodings) == 1:
		if !strings.EqualFold(encodings[0], "chunked") {
			return framing{}, fmt.Errorf("encoding %.*q", maxQuotedLength, encodings[0])
		}
		return framing{kind: framedByChunks}, nil
	}
	length, err := strconv.ParseUint(lengths[0], contentLengthBase, contentLengthBits)
	if err != nil || length > protocol.MaxBodySize {
		return framing{}, fmt.Errorf("length %.*q", maxQuotedLength, lengths[0])
	}
	return framing{kind: framedByLength, length: int(length)}, nil
}

// readBody reads the body to its end.
func (f framing) readBody(in *bufio.Reader) ([]byte, error) {
	switch f.kind {
	case framedByChunks:
		return readChunkedBody(in)
	case framedByClose:
		return readAtMost(in, protocol.MaxBodySize)
	case framedByLength:
		body := make([]byte, f.length)
		_, err := io.ReadFull(in, body)
		return body, err
	}
	return nil, fmt.Errorf("framing %d", f.kind) // there is no other kind
}

func readChunkedBody(in *bufio.Reader) ([]byte, error) {
	body, err := readAtMost(httputil.NewChunkedReader(in), protocol.MaxBodySize)
	if err != nil {
		return nil, err
	}
	// The chunks end with a trailer, which is usually empty.
	_, err = textproto.NewReader(in).ReadMIMEHeader()
	return body, err
}

// readAtMost reads in to its end, which must come within limit bytes. A reset is an error, not an end.
func readAtMost(in io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(in, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.New("body too long")
	}
	return body, nil
}
