// Package protocol has the names and limits of the HTTP messages between the application, the agent and endpoints. It
// maps the names on the wire to the terms of the code; no other package spells them out.
package protocol

// Headers, in the canonical form of net/http.
const (
	HeaderRequestID      = "X-Call-Id"       // 16 hexadecimal digits, different for each request
	HeaderTimeout        = "X-Budget-Ms"     // how long the sender waits, in whole milliseconds
	HeaderIdempotencyKey = "Idempotency-Key" // of requests that are deduplicated by a key
	HeaderTenant         = "X-Caller"        // the tenant's name in the settings
	HeaderAffinityKey    = "X-Route-Hash"    // the key for cache affinity and order
	HeaderClientRetry    = "X-Again"         // Yes on a client's retry, where clients mark them
	HeaderWorkEstimate   = "X-Call-Cost"     // the client's estimate of the work, in microseconds
	HeaderRejected       = "X-Rejected"      // Yes on the response to a request that has not run
	HeaderLoadReport     = "X-Load-Report"   // an endpoint's load report
)

// FlagTrue is the value of headers that are flags.
const FlagTrue = "1"

// Paths of health checks, which belong to no class of requests.
const (
	HealthPath     = "/healthz"
	LoadReportPath = "/load"
)

// MaxBodySize is the largest size in bytes of the body of a request or a response.
const MaxBodySize = 64 << 10
