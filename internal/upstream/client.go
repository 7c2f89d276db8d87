// Package upstream is the servers' side of the agent: connections to endpoints, attempts and their results.
package upstream

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"ashshunt/balancer"
	"ashshunt/internal/endpoint"
)

// Client carries out attempts and health checks. Each ends with exactly one result.
type Client struct {
	pool    *pool
	table   *endpoint.Table
	reports balancer.LoadReportSource
	probing time.Duration // how long a probe waits
	stall   time.Duration // an answer that has begun and brings nothing for so long is spoilt
	log     *slog.Logger
}

// Options are what a Client is made of.
type Options struct {
	Table          *endpoint.Table // consulted right before the first byte of each attempt
	LoadReports    balancer.LoadReportSource
	ConnectTimeout time.Duration
	IdleClose      time.Duration // endpoints close connections that are idle for so long; 0: never
	MaxConnections int           // 0: no limit
	Log            *slog.Logger
	DialControl    func(network, address string, c syscall.RawConn) error // as in net.Dialer; may be nil
}

const (
	// idleForNever is how long connections stay idle to endpoints that never close one themselves.
	idleForNever = time.Minute
	// minStall is the least that a response which has begun may pause.
	minStall = 100 * time.Millisecond
)

// New returns a client without connections.
func New(o Options) *Client {
	maxIdle := o.IdleClose * 3 / 4
	if maxIdle == 0 {
		maxIdle = idleForNever
	}
	pool := newPool(maxIdle, o.ConnectTimeout, o.MaxConnections)
	pool.dialer.Control = o.DialControl
	return &Client{pool: pool, table: o.Table, reports: o.LoadReports, probing: 2 * o.ConnectTimeout,
		stall: max(2*o.ConnectTimeout, minStall), log: o.Log}
}

// CloseIdle closes the idle connections to an endpoint.
func (b *Client) CloseIdle(endpointID string) { b.pool.closeIdle(endpointID) }

// Retire ends the use of all connections to an endpoint that drains, is gone or was started again: those in use
// close when they are done.
func (b *Client) Retire(endpointID string) { b.pool.retire(endpointID) }

// OpenConnections is the number of connections that are open or being dialled.
func (b *Client) OpenConnections() int { return b.pool.count() }

// Request is a client's request as it goes on to endpoints.
type Request struct {
	ID             string // X-Call-Id
	IdempotencyKey string
	Method, Host   string
	Target         *url.URL // path and query as the client sent them
	Body           []byte
	Done           context.Context // once it ends, nothing more may go out for the request
	ClientGone     func() bool     // reports whether the client has left, which the owner may not know yet
}

// Attempt sends one attempt and returns its result, and the body where it was served.
func (b *Client) Attempt(ctx context.Context, q *Request, backend string, cut time.Time) (balancer.Result, Response) {
	dial, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(q.Done, stop)() // what is written runs on, a dial does not
	c, res, err := b.connect(dial, backend, cut)
	if c == nil {
		return res, Response{EndedAt: time.Now(), Err: err}
	}
	// The dial took time: the request may have ended meanwhile. From here to the first byte nothing waits.
	if q.Done.Err() != nil || q.ClientGone() || ctx.Err() != nil || !time.Now().Before(cut) {
		b.pool.release(c)
		return balancer.NotSent, Response{EndedAt: time.Now()}
	}
	req := &http.Request{Method: q.Method, URL: q.Target, Host: q.Host, Header: http.Header{
		"X-Call-Id":   {q.ID},
		"X-Budget-Ms": {strconv.FormatInt(max(1, time.Until(cut).Milliseconds()), 10)},
		"User-Agent":  {""}, // none
	}}
	if q.IdempotencyKey != "" {
		req.Header["Idempotency-Key"] = []string{q.IdempotencyKey}
	}
	return b.exchange(ctx, c, req, q.Body, cut)
}

// connect gives a connection to a backend, or the result if there is none to be had. By then the backend may have
// begun to drain, or been started again: nothing goes out to a process that is no more, whose end of a connection
// would pass for that of a request which may have run.
func (b *Client) connect(ctx context.Context, backend string, cut time.Time) (*conn, balancer.Result, error) {
	for {
		to, ok := b.table.Serving(backend)
		if !ok { // since it was chosen: there is no connection for this, and another may serve it
			return nil, balancer.ConnectFailed, nil
		}
		c := b.pool.take(backend)
		if c == nil {
			var err error
			c, err = b.pool.dial(ctx, to, cut)
			switch {
			case err == nil:
			case ctx.Err() != nil:
				return nil, balancer.NotSent, err
			default:
				if isTimeout(err) {
					b.pool.closeIdle(backend) // the machine says nothing: those that it has are no better
				}
				return nil, balancer.ConnectFailed, err
			}
		}
		if now, ok := b.table.Serving(backend); ok && c.to.SameProcess(now) {
			return c, 0, nil
		}
		b.pool.close(c)
	}
}

// HealthCheck examines an endpoint outside any request.
func (b *Client) HealthCheck(ctx context.Context, backend string) (balancer.Result, Response) {
	cut := time.Now().Add(b.probing)
	c, res, err := b.connect(ctx, backend, cut)
	if c == nil {
		return res, Response{EndedAt: time.Now(), Err: err}
	}
	path := "/healthz"
	if b.reports != balancer.LoadReportsNone {
		path = "/load"
	}
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Host: c.RemoteAddr().String(),
		Header: http.Header{"User-Agent": {""}}}
	res, r := b.exchange(ctx, c, req, nil, cut)
	if path == "/load" && r.Err == nil && r.Header.Get(loadHeader) == "" {
		r.Header.Set(loadHeader, string(r.Body))
	}
	return res, r
}
