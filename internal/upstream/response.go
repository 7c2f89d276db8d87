package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/loadreport"
	"ashshunt/internal/protocol"
)

// Response is the response to a request. If there is none, Status is 0, and Err is set unless the request was
// deliberately not sent.
type Response struct {
	Status  int
	Header  textproto.MIMEHeader
	Body    []byte
	EndedAt time.Time // time of the last byte, of the error, or of the decision not to send the request
	Err     error
}

// IsTooEarly reports whether bytes came within the late window of the connection and were dropped.
func (r Response) IsTooEarly() bool { return errors.Is(r.Err, errEarlyBytes) }

// isServed reports whether the endpoint served the request.
func (r Response) isServed() bool { return r.Err == nil && r.Status == http.StatusOK }

// isRejected reports whether the endpoint rejected the request without running it.
func (r Response) isRejected() bool {
	unavailable := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusGatewayTimeout
	return unavailable && r.Header.Get(protocol.HeaderRejected) == protocol.FlagTrue
}

// LoadReport returns the load report in the response header. It is invalid if there is none or if it can't be parsed.
func (r Response) LoadReport() balancer.LoadReport {
	return loadreport.Parse(r.Header.Get(protocol.HeaderLoadReport))
}

// copyLoadReportToHeader copies a load report from the body of a response to its header, where LoadReport reads it. A
// report that is already in the header is kept.
func (r Response) copyLoadReportToHeader() {
	if r.Err == nil && r.Header.Get(protocol.HeaderLoadReport) == "" {
		r.Header.Set(protocol.HeaderLoadReport, string(r.Body))
	}
}

const (
	// protocolPrefix is the start of each response. It is followed by the minor version, a single byte that is not
	// validated.
	protocolPrefix = "HTTP/1."
	// statusCodeDigits is the number of digits of a status code.
	statusCodeDigits = 3
	// maxQuotedLength is the maximum number of characters of a response that are quoted in an error.
	maxQuotedLength = 40
)

// responseHead is the status line and the header of a response.
type responseHead struct {
	status    int
	header    textproto.MIMEHeader
	keepAlive bool // the version and the header allow another request on the connection
}

// readHead reads the status line and the header.
func readHead(in *bufio.Reader) (responseHead, error) {
	if err := validateProtocol(in); err != nil {
		return responseHead{}, err
	}
	var head responseHead
	err := readLines(in, head.read)
	return head, err
}

// read reads the status line and the header.
func (h *responseHead) read(in *textproto.Reader) error {
	line, err := in.ReadLine()
	if err != nil {
		return err
	}
	version, status, err := parseStatusLine(line)
	if err != nil {
		return err
	}
	header, err := in.ReadMIMEHeader()
	if err != nil {
		return err
	}
	closes := version != "HTTP/1.1" || strings.EqualFold(header.Get("Connection"), "close")
	*h = responseHead{status: status, header: header, keepAlive: !closes}
	return nil
}

// validateProtocol returns an error unless the response starts with protocolPrefix. It peeks byte by byte, so that it
// fails on the first wrong byte and does not wait for more: the peer may send less than the prefix and then stop.
func validateProtocol(in *bufio.Reader) error {
	for i := range len(protocolPrefix) {
		start, err := in.Peek(i + 1)
		if err != nil {
			return err
		}
		if start[i] != protocolPrefix[i] {
			return fmt.Errorf("response starts with %q, want %q", start, protocolPrefix)
		}
	}
	return nil
}

// parseStatusLine returns the protocol version and the status code of a status line.
func parseStatusLine(line string) (version string, status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	validVersion := len(version) == len(protocolPrefix)+1
	if err != nil || len(code) != statusCodeDigits || status < http.StatusContinue || !validVersion {
		return "", 0, fmt.Errorf("invalid status line %.*q", maxQuotedLength, line)
	}
	return version, status, nil
}

// isInformational reports whether the response is a 1xx response that is followed by the final response on the same
// connection. This excludes 101 Switching Protocols, after which the connection no longer carries HTTP.
func (h responseHead) isInformational() bool {
	return h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols
}
