package telemetry

import (
	"fmt"
	"log/slog"
	"time"
)

// The messages of the agent's log. docs/OPERATIONS.md documents their meaning and the operator's response.
const (
	MsgServing                  = "serving"
	MsgListenFailed             = "listen failed"
	MsgShuttingDown             = "shutting down"
	MsgStopped                  = "stopped"
	MsgConfigurationUnreadable  = "configuration can't be read"
	MsgConfigurationInvalid     = "invalid configuration, keeping the old one"
	MsgConfigurationReloaded    = "configuration reloaded"
	MsgDiscoveryAddressChanged  = "discovery address changed"
	MsgWatchEstablished         = "watch established"
	MsgWatchEnded               = "watch ended"
	MsgPollFailed               = "poll failed"
	MsgAcceptFailed             = "accept failed"
	MsgClientConnectionClosed   = "client connection closed"
	MsgClientConnectionTotals   = "client connections ended"
	MsgIncompleteRejected       = "incomplete request rejected"
	MsgClientLeft               = "client left before its response"
	MsgRequestUnanswered        = "connection closed without a response"
	MsgRequestRefused           = "request refused"
	MsgRequestCut               = "request may be cut"
	MsgMemoryShort              = "memory budget exhausted"
	MsgMemoryUsage              = "memory budget usage"
	MsgMalformedResponse        = "malformed response"
	MsgUnexpectedStatus         = "unexpected response status"
	MsgUnrequestedBytes         = "connection closed after unrequested bytes"
	MsgConnectionClosed         = "connection closed"
	MsgAttemptFinished          = "attempt finished"
	MsgRequestAnswered          = "request answered without a response"
	MsgModulePanicked           = "internal error: the decision module panicked"
	MsgUnknownAction            = "internal error: unknown action"
	MsgAttemptForUnknownRequest = "internal error: attempt for a request that is not open"
	MsgUnsafeRejection          = "internal error: rejection of a request that may have run"
	MsgNoFinalAnswer            = "internal error: no final answer by the deadline"
)

// The keys of attributes that several messages share. The same thing has the same key in every message.
const (
	KeyRequest    = "id"
	KeyAttempt    = "attempt"
	KeyEndpoint   = "endpoint"
	KeyAttempts   = "attempts"
	KeyConnection = "conn"
	KeyExchanges  = "exchanges"
	KeyIdle       = "idle"
	KeyResult     = "result"
	KeyDiscovery  = "discovery"
	KeyErr        = "err"
	KeyDropped    = "dropped_before" // the number of lines dropped by the rate limit since the previous line
)

// Request returns the attribute for the ID of a client's request.
func Request(id string) slog.Attr { return slog.String(KeyRequest, id) }

// Endpoint returns the attribute for the ID of an endpoint.
func Endpoint(id string) slog.Attr { return slog.String(KeyEndpoint, id) }

// Attempt returns the attribute for the number of an attempt within its request.
func Attempt(number int) slog.Attr { return slog.Int(KeyAttempt, number) }

// Attempts returns the attribute for the number of attempts of a request.
func Attempts(count int) slog.Attr { return slog.Int(KeyAttempts, count) }

// Connection returns the attribute for the number of a connection to an endpoint.
func Connection(number int64) slog.Attr { return slog.Int64(KeyConnection, number) }

// Exchanges returns the attribute for the number of requests that were sent on a connection.
func Exchanges(count int) slog.Attr { return slog.Int(KeyExchanges, count) }

// Idle returns the attribute for the time for which a connection was idle before its last use or its close.
func Idle(duration time.Duration) slog.Attr { return slog.Duration(KeyIdle, duration) }

// Result returns the attribute for the result of an attempt.
func Result(result fmt.Stringer) slog.Attr { return slog.String(KeyResult, result.String()) }

// Discovery returns the attribute for the address of discovery.
func Discovery(addr string) slog.Attr { return slog.String(KeyDiscovery, addr) }

// Dropped returns the attribute for the number of lines that a rate limit has dropped since the previous line.
func Dropped(lines int) slog.Attr { return slog.Int(KeyDropped, lines) }

// Err returns the attribute for an error.
func Err(err error) slog.Attr { return slog.Any(KeyErr, err) }
