package frontend

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// writeResponse writes the final response to a request. It sets header keys in their canonical form, which saves the
// conversion by Header.Set. Retry-After is in seconds and may have a fraction, whereas RFC 9110 allows only whole
// seconds.
func writeResponse(w http.ResponseWriter, response Response) {
	header := w.Header()
	header["Content-Type"] = []string{"application/octet-stream"}
	header["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	if response.RetryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', -1, 64)}
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // an error here means that the client has disconnected
}

// rejectMalformed responds to a malformed request and closes its connection, since the bytes that follow the request
// can't be trusted. After the response it reads and discards part of the body: closing a socket with unread bytes
// resets the connection, and the response may be lost. Errors are ignored, since the connection is closed regardless.
func (h *handler) rejectMalformed(w http.ResponseWriter, r *http.Request, requestErr *RequestError) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(h.timeouts.MalformedLinger))
	body := requestErr.Reason + "\n"
	header := w.Header()
	header.Set("Connection", "close")
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(body))) // without it, the flush sends a part of the response only
	w.WriteHeader(requestErr.Status)
	_, _ = io.WriteString(w, body)
	_ = controller.Flush()
	_, _ = io.CopyN(io.Discard, r.Body, maxLingerBytes)
}
