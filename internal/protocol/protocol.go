// Package protocol has the names and limits of the HTTP messages between the application, the agent and endpoints.
package protocol

// Headers, in the canonical form in which net/http keeps them.
const (
	HeaderRequestID      = "X-Call-Id"       // 16 hexadecimal digits, different for each request
	HeaderTimeout        = "X-Budget-Ms"     // how long the sender waits, in whole milliseconds
	HeaderIdempotencyKey = "Idempotency-Key" // of requests that are deduplicated by a key
	HeaderTenant         = "X-Caller"        // the tenant's name in the settings
	HeaderKey            = "X-Route-Hash"    // what the request is about
	HeaderClientRetry    = "X-Again"         // Yes on a client's retry, where clients mark them
	HeaderWork           = "X-Call-Cost"     // a client's guess at the work, in microseconds
	HeaderRejected       = "X-Rejected"      // Yes on a response that says that the request never ran
	HeaderLoadReport     = "X-Load-Report"   // an endpoint's load report
)

// Yes is the value of headers that mark something.
const Yes = "1"

// Paths of requests that belong to no class.
const (
	HealthPath     = "/healthz"
	LoadReportPath = "/load"
)

// MaxBodySize is the most bytes that the body of a request or a response may have.
const MaxBodySize = 64 << 10
