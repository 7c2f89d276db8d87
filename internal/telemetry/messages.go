package telemetry

import "log/slog"

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
	MsgMalformedResponse        = "malformed response"
	MsgUnexpectedStatus         = "unexpected response status"
	MsgModulePanicked           = "internal error: the decision module panicked"
	MsgUnknownAction            = "internal error: unknown action"
	MsgAttemptForUnknownRequest = "internal error: attempt for a request that is not open"
	MsgUnsafeRejection          = "internal error: rejection of a request that may have run"
	MsgNoFinalAnswer            = "internal error: no final answer by the deadline"
)

// The keys of attributes that several messages share. The same thing has the same key in every message.
const (
	KeyRequest   = "id"
	KeyEndpoint  = "endpoint"
	KeyDiscovery = "discovery"
	KeyErr       = "err"
	KeyDropped   = "dropped_before" // the number of lines dropped by the rate limit since the previous line
)

// Request returns the attribute for the ID of a client's request.
func Request(id string) slog.Attr { return slog.String(KeyRequest, id) }

// Endpoint returns the attribute for the ID of an endpoint.
func Endpoint(id string) slog.Attr { return slog.String(KeyEndpoint, id) }

// Discovery returns the attribute for the address of discovery.
func Discovery(addr string) slog.Attr { return slog.String(KeyDiscovery, addr) }

// Err returns the attribute for an error.
func Err(err error) slog.Attr { return slog.Any(KeyErr, err) }
