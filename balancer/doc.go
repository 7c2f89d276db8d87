// Package balancer implements the load balancing policy of one agent. It decides where each request is sent,
// when it is retried, and when it is rejected.
//
// The package performs no I/O. The agent owns the clock, the timers and the connections. It passes events to
// [Balancer.Step] and carries out the returned actions in order.
//
// A Balancer is not safe for concurrent use. All times are durations on the agent's monotonic clock. The
// clock must not run backwards, and it must start far above zero, because a time of 0 stands for "long ago".
// Memory is bounded by the open requests and attempts, the pending timers, and the endpoints that are listed
// or have attempts in flight.
//
// Constants are counts, shares or multiples. Every scale but that of the late window comes from the settings
// or from observations, mostly from the latency objective of a class and its mean latency. The suffix Ns
// marks nanoseconds in a float64.
//
// events.go, actions.go and settings.go define the interface. validation.go validates the settings, timers.go
// records the purpose of each pending timer, and traffic.go counts the agent's recent traffic.
//
// # Requests
//
// Balancer (balancer.go) handles the events. A request (request.go) passes the admission queue, has attempts
// (attempt.go), and gets exactly one final answer. Only send starts attempts. Only rejectOrFail answers a
// request without a response: it rejects the request if no attempt may have run, so that any client may
// retry, and fails it otherwise. The outcomes of attempts (outcome.go) update the statistics of the class
// (class.go) and of the endpoint (endpoint.go).
//
// # Admission
//
// Requests wait in the admission queue (queue.go) while the attempts in flight are at the adaptive
// concurrency limit (concurrency.go). The limit is of the AIMD kind (additive increase, multiplicative
// decrease). It decreases if the mean latency is above about a third of the objective, or above a multiple of
// its baseline, which estimates the latency without queueing. Otherwise it increases, but only while the
// attempts in flight are near the limit.
//
// All agents have equal shares of the limit. An agent whose share of the minimum limit is well under one
// attempt has no limit, because its requests would queue behind any slow one. If that share is under one
// attempt, a throttle (throttle.go) bounds the work that is spent on late responses.
//
// The queue first sends the request that adds most to the operator's goal per unit of work (priority.go).
// Among requests of equal priority it sends the newest first. A client's retry does not wait. Near the limit
// of open requests, the queue sheds the requests of the lowest priority.
//
// # Picking
//
// The picker (picker.go) draws an idle endpoint at random. The weight of an endpoint is its listed weight,
// divided by the cube of its latency ratio, which is its mean latency over the expected latency. Endpoints in
// other zones have less weight if crossing zones has a price. If no endpoint is idle, the picker selects the
// least loaded one.
//
// Each agent uses a deterministic subset of the endpoints (subset.go): those of the lowest weighted rank. The
// rank of an endpoint is a random number, which differs between agents. The weighted rank is the rank divided
// by the weight; it is lower for connected endpoints.
//
// Unobserved endpoints, of which only the list entry is known, are kept sorted by weighted rank
// (unobserved.go). A pick does not visit them one by one, so that its cost does not grow with the fleet.
//
// With cache affinity the draw comes from a hash of the request's key (rendezvous hashing), so that all
// agents send a key to the same endpoint.
//
// # Retries and hedging
//
// A token bucket (retry.go) bounds retries, so that they cannot multiply the load of a failing fleet. A retry
// costs tokens, and twice as many after a time-out. Each served request returns one token. Backoff is
// exponential with full jitter. A request is hedged (hedge.go) if its attempt takes longer than nearly all
// others: it is retried while the first attempt stays in flight.
//
// # Reuse of connections
//
// A response does not name its request. Bytes that come within the late window of the last response on their
// connection are no response to the next request (connectionreuse.go). A connection rests until the next
// response will hardly be so early.
//
// # Idempotency and order
//
// The rules for attempts (idempotency.go) apply to retries and to hedged requests alike. A request that may
// have run is repeated only where the repeat has no further effect. That is anywhere if the request is
// idempotent, within the scope and window of deduplication if it has an idempotency key, and nowhere
// otherwise. Ordered requests with the same key run one at a time (keyqueue.go). A quiet period follows an
// attempt that may still be running.
//
// # Outlier ejection
//
// An endpoint is ejected (outlier.go, ejection.go) after consecutive failures. A single time-out ejects it if
// it has served nothing since that attempt was sent. Each further ejection lasts twice as long. Ejection is
// necessary because an endpoint that fails fast is always idle and would get all traffic.
//
// The required number of failures depends on the failure rate of the fleet. Only part of the fleet is ejected
// for errors, because the other endpoints must carry the load. An endpoint that does not respond to one class
// of requests is ejected for that class alone. After an ejection an endpoint gets one attempt at a time until
// it has recovered.
//
// # Slow start
//
// Slow start (slowstart.go) bounds the load that all agents together send to an endpoint that has just
// started. Each agent sends to it at random times. The rate depends on the warm-up fraction, on the agent's
// own traffic to warm endpoints, and on the overload that an endpoint tolerates.
//
// # Endpoint list
//
// endpointset.go applies the entries of the endpoint list. fleet.go summarizes the endpoints in each step. If
// the list must be subscribed to, subscription.go decides when to subscribe again.
package balancer
