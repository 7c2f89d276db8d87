package telemetry

import "log/slog"

// The messages of the agent's log lines. docs/OPERATIONS.md says what each means and what to do about it.
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
	MsgMalformedResponse        = "malformed response"
	MsgUnexpectedStatus         = "unexpected response status"
	MsgModulePanicked           = "internal error: the decision module panicked"
	MsgUnknownAction            = "internal error: unknown action"
	MsgAttemptForUnknownRequest = "internal error: attempt for a request that is not open"
	MsgUnsafeRejection          = "internal error: rejection of a request that may have run"
	MsgNoFinalAnswer            = "internal error: no final answer by the deadline"
)

// The keys of attributes that several log lines have. The same thing has the same key in every line.
const (
	KeyRequest   = "id"
	KeyEndpoint  = "endpoint"
	KeyDiscovery = "discovery"
	KeyError     = "err"
	KeyDropped   = "dropped_before" // the number of lines that the rate limit dropped right before this one
)

// Request is the attribute for the ID of a client's request.
func Request(id string) slog.Attr { return slog.String(KeyRequest, id) }

// Endpoint is the attribute for the ID of an endpoint.
func Endpoint(id string) slog.Attr { return slog.String(KeyEndpoint, id) }

// Discovery is the attribute for the address of discovery.
func Discovery(addr string) slog.Attr { return slog.String(KeyDiscovery, addr) }

// Err is the attribute for the error that a line reports.
func Err(err error) slog.Attr { return slog.Any(KeyError, err) }
