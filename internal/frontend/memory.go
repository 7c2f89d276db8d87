package frontend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ashshunt/internal/config"
	"ashshunt/internal/membudget"
)

// What a client's connection and its request cost, in bytes, apart from what they send.
const (
	// connectionBytes is the cost of a connection without a request: the socket, a goroutine, and its place in the
	// table.
	connectionBytes = 5 << 10
	// handlerBytes is the additional cost of a connection that net/http serves: its buffers, the goroutines' stacks,
	// and the parsed request.
	handlerBytes = 16 << 10
	// requestBytes is the cost of a request in the request table with an attempt in flight.
	requestBytes = 12 << 10
	// unreservedHeadBytes and unreservedBodyBytes are the parts of heads and bodies that these costs include.
	unreservedHeadBytes = 1 << 10
	unreservedBodyBytes = 4 << 10
	// headCost is the memory of a parsed head as a multiple of its length.
	headCost = 3
)

// memoryWaitShare is the share of its timeout for which a request waits for memory, within the bounds of Timeouts.
const memoryWaitShare = 0.6

// errMemoryShort rejects a request for which there is no memory left.
var errMemoryShort = &RequestError{Status: http.StatusServiceUnavailable, Reason: "out of memory for requests"}

// maxConnections returns the maximum number of client connections; 0: no limit.
func maxConnections(c *config.Config, budget *membudget.Budget) int {
	allowed := int(budget.Limit(membudget.Connections) / connectionBytes)
	if limit := c.MaxClientConnections(); limit > 0 {
		return min(limit, allowed)
	}
	return allowed
}

// MaxRequests returns the number of requests that the memory allows in the request table.
func MaxRequests(budget *membudget.Budget) int {
	return int(budget.Limit(membudget.Requests) / requestBytes)
}

// requestMemory returns the reservation for the request that is being read.
func (c *connection) requestMemory() *membudget.Reservation {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state.requestMemory == nil {
		c.state.requestMemory = c.table.budget.NewReservation()
	}
	return c.state.requestMemory
}

// takeRequestMemory returns the reservation for the request that is being read. The caller becomes its holder.
func (c *connection) takeRequestMemory() *membudget.Reservation {
	memory := c.requestMemory()
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.state.requestMemory = nil
	return memory
}

// reserveHead reserves memory for a head of which length bytes have come. If there is none left, it evicts the client
// that has stalled for longest within a long head.
func (c *connection) reserveHead(length int) bool {
	needed := int64(headCost * (length - unreservedHeadBytes))
	if needed <= 0 {
		return true
	}
	memory := c.requestMemory()
	missing := needed - memory.Amount(membudget.Heads)
	if missing <= 0 || memory.TryGrow(membudget.Heads, missing) {
		return true
	}
	for c.table.evictStalled(holdsHead, c.table.timeouts.MinReclaimStalled, closeStalledForMemory) {
		if memory.TryGrow(membudget.Heads, missing) {
			return true
		}
	}
	c.table.budget.RecordRefused(membudget.Heads)
	return false
}

// The functions below report whether a connection holds a slot, or memory of a kind. Their callers hold the table's
// mutex.

func holdsSlot(*connection) bool { return true }

func holdsHead(c *connection) bool { return c.state.requestMemory.Amount(membudget.Heads) > 0 }

func holdsBody(c *connection) bool { return c.state.request.bodyMemory > 0 }

func holdsHandler(c *connection) bool { return c.state.handlerMemory != nil }

// waitForMemory reserves memory for a request that is complete or whose rest stays unread until then. Meanwhile stalled
// clients that hold such memory are evicted.
func (c *connection) waitForMemory(memory *membudget.Reservation, kind membudget.Kind, bytes int64) error {
	if memory.TryGrow(kind, bytes) {
		return nil
	}
	c.setWaiting(true)
	defer c.setWaiting(false)
	c.table.startReclaiming()
	ctx, cancel := context.WithTimeout(context.Background(), c.memoryWait())
	defer cancel()
	return memory.Grow(ctx, kind, bytes)
}

// memoryWait returns how long the current request still waits for memory before it is rejected. The waits for several
// kinds of memory have one limit, since the client waits for their sum.
func (c *connection) memoryWait() time.Duration {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	timeouts := c.table.timeouts
	wait := time.Duration(memoryWaitShare * float64(c.state.request.timeout))
	return max(timeouts.MemoryWait, min(wait, timeouts.MaxMemoryWait)) - c.state.request.waitedFor
}

// reserveBody reserves memory for a body of the given length, unless enough of it is reserved.
func (c *connection) reserveBody(memory *membudget.Reservation, length int64) error {
	missing := length - memory.Amount(membudget.Bodies)
	if length <= unreservedBodyBytes || missing <= 0 {
		return nil
	}
	if err := c.waitForMemory(memory, membudget.Bodies, missing); err != nil {
		return err
	}
	c.recordBodyMemory(length)
	return nil
}

// reserveHandler reserves the memory that net/http needs for the connection.
func (c *connection) reserveHandler() error {
	memory := c.table.budget.NewReservation()
	if err := c.waitForMemory(memory, membudget.Handlers, handlerBytes); err != nil {
		return err
	}
	if !c.setHandlerMemory(memory) {
		memory.Release()
		return errRejectedIncomplete
	}
	return nil
}

// releaseMemory releases the memory of net/http and of a request that is being read.
func (c *connection) releaseMemory() {
	handler, request := c.takeMemory()
	handler.Release()
	request.Release()
}

// asRequestError returns the error of a request for which there is no memory left.
func asRequestError(err error) error {
	if _, ok := errors.AsType[*membudget.ShortageError](err); ok {
		return errMemoryShort
	}
	return err
}
