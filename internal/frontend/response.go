package frontend

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// writeResponse writes the final response to a request. Header keys are set in their canonical form, which saves the
// conversion. Retry-After is in seconds and may have a fraction, where RFC 9110 has whole seconds alone.
func writeResponse(w http.ResponseWriter, response Response) {
	header := w.Header()
	header["Content-Type"] = []string{"application/octet-stream"}
	header["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	if response.RetryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', -1, 64)}
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // an error here means that the client has gone
}

// rejectMalformed answers a malformed request and closes its connection, since what follows on it can't be trusted.
// Some of the body is read all the same: a close over unread bytes resets the connection, and the answer may be lost
// with it. Errors are ignored, since the connection ends in any case.
func (h *handler) rejectMalformed(w http.ResponseWriter, r *http.Request, requestErr *RequestError) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(h.timeouts.MalformedLinger))
	w.Header().Set("Connection", "close")
	http.Error(w, requestErr.Reason, requestErr.Status)
	_ = controller.Flush()
	_, _ = io.CopyN(io.Discard, r.Body, maxLingerBytes)
}
