package upstream

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"ashshunt/balancer"
	"ashshunt/internal/telemetry"
)

// exchangeLabel identifies an attempt or a health check in the log.
type exchangeLabel struct {
	requestID  string // empty for a health check
	attempt    int    // number of the attempt within its request
	endpointID string
}

// attrs returns the attributes of the label.
func (l exchangeLabel) attrs() []any {
	return []any{telemetry.Request(l.requestID), telemetry.Attempt(l.attempt), telemetry.Endpoint(l.endpointID)}
}

// logUnsent logs an attempt or a health check of which no byte was sent.
func (c *Client) logUnsent(label exchangeLabel, result balancer.Result, err error) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	c.log.Debug(telemetry.MsgAttemptFinished, append(label.attrs(), telemetry.Result(result), telemetry.Err(err))...)
}

// logExchange logs an attempt or a health check that was sent on a connection.
func (c *Client) logExchange(label exchangeLabel, conn connectionSnapshot, result balancer.Result,
	outcome exchangeOutcome) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	attrs := append(label.attrs(),
		telemetry.Result(result),
		telemetry.Connection(conn.number),
		telemetry.Exchanges(conn.exchange),
		telemetry.Idle(conn.idleDuration),
		"status", outcome.response.Status,
		"took", outcome.response.EndedAt.Sub(conn.startedAt),
		"reusable", outcome.reusable)
	if !outcome.firstByteAt.IsZero() {
		attrs = append(attrs, "first_byte", outcome.firstByteAt.Sub(conn.startedAt))
	}
	if outcome.following != followedByNothing {
		attrs = append(attrs, "followed_by", outcome.following.String())
	}
	if outcome.response.Err != nil {
		attrs = append(attrs, telemetry.Err(outcome.response.Err))
	}
	c.log.Debug(telemetry.MsgAttemptFinished, attrs...)
}

// logUnexpectedResponse logs malformed responses, and responses with an unexpected status: any but 200, 500, and 503 or
// 504 with the X-Rejected header.
func (c *Client) logUnexpectedResponse(endpointID string, result balancer.Result, response Response) {
	if errors.Is(response.Err, errMalformedResponse) {
		c.log.Warn(telemetry.MsgMalformedResponse, telemetry.Endpoint(endpointID), telemetry.Err(response.Err))
		return
	}
	if response.Err == nil && result == balancer.ServerError && response.Status != http.StatusInternalServerError {
		c.log.Warn(telemetry.MsgUnexpectedStatus, telemetry.Endpoint(endpointID), "status", response.Status)
	}
}
