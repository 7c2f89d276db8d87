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

// Response is what came back for a request: a complete response, an error, or neither if nothing was sent by choice.
type Response struct {
	Status  int
	Header  textproto.MIMEHeader
	Body    []byte
	EndedAt time.Time // when its last byte or the error came, or it was decided to send nothing
	Err     error
}

// isRejected reports whether the endpoint says that it has not run the request.
func (r Response) isRejected() bool {
	unavailable := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusGatewayTimeout
	return unavailable && r.Header.Get(protocol.HeaderRejected) == protocol.FlagTrue
}

// LoadReport returns the load report that the response carries, or an invalid one.
func (r Response) LoadReport() balancer.LoadReport {
	return loadreport.Parse(r.Header.Get(protocol.HeaderLoadReport))
}

// copyLoadReportToHeader has a response whose body is a load report carry it in its header, as other responses do.
func (r Response) copyLoadReportToHeader() {
	if r.Err == nil && r.Header.Get(protocol.HeaderLoadReport) == "" {
		r.Header.Set(protocol.HeaderLoadReport, string(r.Body))
	}
}

const (
	// protocolPrefix is how each response begins. The minor version follows: one byte, which may be any.
	protocolPrefix = "HTTP/1."
	// statusCodeDigits is the length of a status code.
	statusCodeDigits = 3
	// maxQuotedLength is the number of characters of a response that an error quotes at most.
	maxQuotedLength = 40
)

// responseHead is the status line and the header of a response.
type responseHead struct {
	status    int
	header    textproto.MIMEHeader
	keepAlive bool // another response may follow on the connection
}

// readHead reads the status line and the header.
func readHead(in *bufio.Reader) (responseHead, error) {
	if err := validateProtocol(in); err != nil {
		return responseHead{}, err
	}
	reader := textproto.NewReader(in)
	line, err := reader.ReadLine()
	if err != nil {
		return responseHead{}, err
	}
	version, status, err := parseStatusLine(line)
	if err != nil {
		return responseHead{}, err
	}
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return responseHead{}, err
	}
	closes := version != "HTTP/1.1" || strings.EqualFold(header.Get("Connection"), "close")
	return responseHead{status: status, header: header, keepAlive: !closes}, nil
}

// validateProtocol examines the first bytes one by one: bytes that are not HTTP may stop anywhere, and a response that
// starts wrong is not waited for.
func validateProtocol(in *bufio.Reader) error {
	for i := range len(protocolPrefix) {
		start, err := in.Peek(i + 1)
		if err != nil {
			return err
		}
		if start[i] != protocolPrefix[i] {
			return errors.New("not HTTP/1")
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
		return "", 0, fmt.Errorf("status line %.*q", maxQuotedLength, line)
	}
	return version, status, nil
}

// isInformational reports whether the final response follows on the same connection.
func (h responseHead) isInformational() bool {
	return h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols
}
