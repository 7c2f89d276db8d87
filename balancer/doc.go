// Package balancer decides, for one agent, where each request goes, when it is retried, and when it is rejected.
// It performs no I/O: the agent owns the clock, the timers and the connections, reports what happened as events,
// and carries out the actions that it gets back, in order.
//
// A Balancer belongs to one goroutine. All times are durations on the agent's monotonic clock, which must not run
// backwards and has to start far above zero: a time of 0 stands for long ago. Memory is bounded by the open
// requests and attempts, the pending timers, and the endpoints that are listed or still have attempts in flight.
//
// Constants are counts, shares or multiples: every scale comes from the settings or from observations, mostly the
// latency objective of a class and its mean latency. A variable with the suffix Ns holds nanoseconds as a float64.
//
// events.go, actions.go and settings.go are the interface, validation.go checks the settings, timers.go knows what
// the pending timers are for, and traffic.go counts the agent's recent traffic.
//
// # Requests
//
// Balancer (balancer.go) applies events. A request (request.go) passes the admission queue, has attempts
// (attempt.go), and ends with exactly one final answer. Only send starts attempts, and only answerUnserved answers
// without a response: with a rejection if no attempt may have run, so that any client may retry, and with a
// failure otherwise. What is learned from outcomes (outcome.go) is kept by class (class.go) and by endpoint
// (endpoint.go).
//
// # Admission
//
// Requests wait in the admission queue (queue.go) while the adaptive concurrency limit (concurrency.go) binds. The
// limit is of the AIMD kind (additive increase, multiplicative decrease): it falls when the mean latency is over
// about a third of the objective, or over a multiple of its baseline without queueing, and grows otherwise while
// it binds. All agents have equal parts of it. Where an agent's part of the least limit is well under one attempt
// it has no limit, since requests would queue behind any slow one. Where that part is under one attempt a throttle
// (throttle.go) bounds the work on responses that come late.
//
// The queue sends the request first that adds most to the operator's goal (priority.go), of equals the newest.
// Clients' retries do not wait. Near the limit of open requests the lowest priorities are shed.
//
// # Picking
//
// The picker (picker.go) draws an idle endpoint at random, by weight: its listed size, over the cube of its
// latency ratio, less where crossing zones has a price. If no endpoint is idle, it takes the least loaded one.
//
// An agent keeps to a deterministic subset of the endpoints (subset.go): the first few in a random order of its
// own (by weighted rank), in which connected endpoints come earlier. Unobserved endpoints are kept in that order
// (unobserved.go) and are not looked at one by one, so that the cost of a pick does not grow with the fleet.
//
// With cache affinity the draw comes from a hash of the request's key (rendezvous hashing), so that all agents
// send a key to the same endpoint.
//
// # Retries and hedging
//
// A token bucket (retry.go) bounds retries, so that they cannot multiply the load of a fleet at fault: a retry
// costs tokens, twice as many after a time-out, and each served request brings one back. Backoff is exponential
// with full jitter. A request whose attempt takes longer than nearly all others is hedged (hedge.go): it is
// retried while the first attempt stays in flight.
//
// # Idempotency and order
//
// The rules for attempts (idempotency.go) bind retries and hedged requests alike. A request that may have run is
// repeated only where the repeat has no further effect: anywhere if it is idempotent, within the scope and window
// of deduplication if it has an idempotency key, and nowhere otherwise. Ordered requests of one key run one at a
// time (keyqueue.go), with a quiet period after an attempt whose end is unknown.
//
// # Outlier ejection
//
// An endpoint is ejected (outlier.go, ejection.go) after consecutive failures, or after one time-out if it has
// served nothing since that attempt was sent, for a time that doubles with each ejection. One that fails fast is
// always idle, and without ejection it would attract all traffic. The number of failures depends on how common
// they are in the fleet, and only part of the fleet is ejected for errors, since the rest must bear the load. An
// endpoint that leaves one class without response is ejected for that class alone. After an ejection it gets one
// attempt at a time until it has recovered.
//
// # Slow start
//
// The fleet of agents as a whole sends little to an endpoint that has just started (slowstart.go). Each agent
// sends to it at random times, at a rate that follows from the warm-up fraction, the agent's own traffic to warm
// endpoints, and the overload that an endpoint bears.
//
// # Endpoint list
//
// Entries of the list are taken in by endpointset.go; fleet.go sums them up once a step. Where the list must be
// subscribed to, subscription.go decides when to subscribe again.
package balancer
