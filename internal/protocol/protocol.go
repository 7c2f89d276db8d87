// Package protocol defines the header names, paths and limits of the HTTP messages between clients, the agent and
// endpoints. Other packages refer to them only by the constants of this package.
package protocol

// Header names, in the canonical form of net/http.
const (
	HeaderRequestID      = "X-Call-Id"       // unique ID of the request: 16 hexadecimal digits
	HeaderTimeout        = "X-Budget-Ms"     // time that the sender waits for the response, in whole milliseconds
	HeaderIdempotencyKey = "Idempotency-Key" // deduplication key of an idempotent request
	HeaderTenant         = "X-Caller"        // name of the tenant in the settings
	HeaderAffinityKey    = "X-Route-Hash"    // key for cache affinity and ordering
	HeaderClientRetry    = "X-Again"         // FlagTrue on a retry by the client, if clients mark retries
	HeaderWorkEstimate   = "X-Call-Cost"     // client's estimate of the request's work, in microseconds
	HeaderRejected       = "X-Rejected"      // FlagTrue on a response whose request was rejected without running
	HeaderLoadReport     = "X-Load-Report"   // load report of the endpoint
)

// FlagTrue is the value of a flag header that is set.
const FlagTrue = "1"

// Paths of health checks. They belong to no request class.
const (
	HealthPath     = "/healthz"
	LoadReportPath = "/load"
)

// MaxBodySize is the maximum size in bytes of the body of a request or a response.
const MaxBodySize = 64 << 10
