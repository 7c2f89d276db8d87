// Package protocol defines the header names, paths and limits of the HTTP messages between clients, the agent and
// endpoints. Code outside this package uses the constants. Tests may repeat the values, so that they fail if a constant
// is changed.
package protocol

// Header names, in the canonical form of net/http.
const (
	HeaderRequestID      = "X-Call-Id"       // unique ID of the request: 16 hexadecimal digits
	HeaderTimeout        = "X-Budget-Ms"     // time that the sender waits for the response, in whole milliseconds
	HeaderIdempotencyKey = "Idempotency-Key" // deduplication key of an idempotent request
	HeaderTenant         = "X-Caller"        // tenant's name, as in the settings
	HeaderAffinityKey    = "X-Route-Hash"    // key for cache affinity and ordering
	HeaderClientRetry    = "X-Again"         // FlagTrue on a retry by the client, if clients mark retries
	HeaderWorkEstimate   = "X-Call-Cost"     // client's estimate of the request's work, in microseconds
	HeaderRejected       = "X-Rejected"      // FlagTrue on a response whose request was rejected without running
	HeaderLoadReport     = "X-Load-Report"   // load report of the endpoint
)

// FlagTrue is the value of a flag header that is set.
const FlagTrue = "1"

// Paths of health checks, which are not requests of any class.
const (
	HealthPath     = "/healthz" // served by the agent and by endpoints
	LoadReportPath = "/load"    // served by endpoints only; replaces HealthPath if load reports are enabled
)

// MaxBodySize is the maximum size in bytes of the body of a request or a response.
const MaxBodySize = 64 << 10
