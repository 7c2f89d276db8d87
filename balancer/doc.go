// Package balancer decides, for one agent beside one client, where each request goes, when it is
// retried, and when it is rejected. It performs no I/O: the embedding agent owns the clock, the timers
// and the connections, passes on what happened as events, and carries out the actions it gets back, in
// order.
//
// A Balancer belongs to one goroutine. All times are durations on the agent's own monotonic clock,
// whose zero does not matter; they must not run backwards. Its memory is bounded by the requests and
// attempts that are open, the timers that are pending, and the endpoints that are listed or still have
// attempts in flight.
//
// The constants are dimensionless: every scale comes from the settings or from what is observed,
// mostly the objective of a class and its mean latency.
//
// # Requests (balancer.go, request.go, classes.go)
//
// Each request passes the admission queue, gets attempts, and ends with one final answer. Only send
// starts attempts and only finish gives answers; both check the rules once more. An answer is a
// rejection if no attempt may have run, so that any client may try again, and a failure otherwise.
// What is learnt of a class (its latency, the usual time-out of its clients, the share served on time)
// is shared by all its requests.
//
// # Admission (admission.go)
//
// Requests wait while an adaptive concurrency limit binds. The limit falls when the mean latency nears
// the objective, or is several times what it was without queues, and grows while it binds; each agent
// takes its part by head count. Where that part is well under one attempt, a limit of one would queue
// requests behind any slow one: there is no limit then, and a throttle on requests that are not served
// on time acts instead. The queue sends the request that adds most to the operator's goal first, of
// equals the newest, which has the most time left. Clients' retries do not wait. Near the limit of
// open requests the lowest priorities are given up, since newcomers would else be rejected whatever
// their priority.
//
// # Picking (picker.go, candidates.go, untouched.go)
//
// An idle endpoint is picked at random, by weight: its listed size, over the cube of its slowness,
// less where crossing zones has a price. If there is none, the least loaded one is. An agent keeps to
// a subset, the first few in a random order of its own, since connections from every agent to every
// endpoint would exhaust the connection tables; the order gives new endpoints a place like any other.
// Endpoints of which nothing was learnt are kept in that order and are not looked at one by one, so that the
// cost of a pick does not grow with the fleet. Connected endpoints are preferred. With cache affinity the draw
// comes from the request's key, the same at every agent, so that a key meets the endpoint that has cached it;
// the subset does not matter then, unless endpoints without a connection respond on time less often than
// connected ones.
//
// # Retries and hedging (retry.go)
//
// A token bucket bounds retries, so that they cannot multiply the load of a fleet at fault: a retry
// costs tokens, twice as many after a time-out, and each served request brings one back. The waits
// grow exponentially with full jitter. A request whose attempt had no response for longer than nearly
// all take is hedged: it is retried while the first attempt stays in flight. Under a concurrency limit
// there is no hedging, since a second attempt would take the capacity of another request.
//
// # Idempotency and order (idempotency.go)
//
// A request that may have run is repeated only where a repeat has no further effect: anywhere if it is
// idempotent, within the scope and window of deduplication if it has an idempotency key, else nowhere.
// Ordered requests of one key run one at a time, with a quiet period after an attempt whose end is
// unknown.
//
// # Outliers (outlier.go)
//
// An endpoint is ejected after consecutive failures, for a time that doubles with each ejection; it
// would else draw all traffic, as one that fails fast is always idle. How many failures it takes
// depends on how common they are in the fleet, and only part of the fleet is ejected for errors: what
// is left must bear the load. Broken connections say nothing while older attempts stay open. An
// endpoint that leaves one class without response is ejected for that class alone. One that has not
// responded for long counts as unresponsive: its attempts leave the concurrency limit, and it gets
// nothing new. After an ejection it is tried with one attempt at a time.
//
// # Slow start (slowstart.go)
//
// An endpoint that has just started is sent little until it is warm, by the fleet as a whole: each
// agent sends to it at random times, at the rate that the warm-up fraction, the agent's own traffic to
// warm endpoints, and the overload that an endpoint bears allow. Permits that are not used lapse.
package balancer
