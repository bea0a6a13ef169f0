// Package upstream is the HTTP/1.1 client to the replicas. It sends the attempts of requests, passes on answers and
// event streams, polls replicas for their load and releases the state that they hold for a request.
//
// All calls go over one net/http Transport. What the rest of the program relies on:
//
//   - An attempt whose last byte was not written never ran; any other may have run. The outcome of a failed attempt
//     (routing.ConnectFailed or routing.ConnectionReset) says which of the two it is. See exchange.
//   - The Transport never resends a call by itself. See requestBody.
//   - The end of an attempt that is given up is reported only closeDelay (10 ms) after its connection was closed, since
//     another attempt may go out right then and must not overlap with this one. See attempt.abandon.
//   - A connection rests settleTime (20 ms) between two calls, and a call never takes bytes that were sent behind an
//     earlier answer for its own answer. See conn.
//
// Client owns the connections and the counters. Each attempt, load poll and release runs in a goroutine of its own;
// all methods of Client are safe for concurrent use and none of those that dispatch.Upstream names blocks.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/dispatch"
	"rampspread/internal/hostos"
)

const (
	defaultDialTimeout     = 125 * time.Millisecond
	defaultConnIdleTimeout = 10 * time.Second
	maxResponseHeaderBytes = 16 << 10
)

var _ dispatch.Upstream = (*Client)(nil)

// Client reaches all replicas over one Transport. It implements dispatch.Upstream.
type Client struct {
	transport       *http.Transport
	settings        *config.Settings
	malformed       atomic.Int64
	localFailures   atomic.Int64
	pendingReleases atomic.Int64
	releaseDone     sync.Map // by call ID: a chan struct{} that is closed when the call's newest release has ended
}

// New returns a Client that holds at most maxConnsPerReplica connections to any one replica, and maxIdleConns idle ones
// in all. A call that has to wait for a connection runs late without anybody seeing why, so maxConnsPerReplica should
// be well above what an ordinary day needs.
func New(settings *config.Settings, maxConnsPerReplica, maxIdleConns int, machine hostos.System) *Client {
	c := &Client{settings: settings}
	dialer := &dialer{timeout: dialTimeout(settings), machine: machine, localFailures: &c.localFailures}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			raw, err := dialer.dial(ctx, network, addr)
			if err != nil {
				return nil, err // the Transport says what it was doing
			}
			return newConn(raw), nil
		},
		DisableCompression:     true, // events pass on unchanged
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxConnsPerReplica,
		MaxConnsPerHost:        maxConnsPerReplica,
		IdleConnTimeout:        idleConnTimeout(settings),
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return c
}

// dialTimeout is the limit for one connection. The time for which a replica holds a request's state runs on while
// connections fail to come up. Half the configured limit, and half of that time, allow for a second and a third
// decode replica before the state must be released.
func dialTimeout(settings *config.Settings) time.Duration {
	timeout := config.FromMS(settings.Limits.ConnectTimeoutMs) / 2
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	if held := config.FromMS(settings.ModelFamily.ReservationTTLMs); held > 0 {
		timeout = min(timeout, held/2)
	}
	return timeout
}

// idleConnTimeout is 70% of the time after which a replica's machine resets what is written to an idle connection. Such
// a request may have run, so this side closes its idle connections well before.
func idleConnTimeout(settings *config.Settings) time.Duration {
	idle := config.FromMS(settings.Limits.ConnIdleMs)
	if idle <= 0 {
		idle = defaultConnIdleTimeout
	}
	return idle * 7 / 10
}

// Malformed returns how many responses, events and load reports could not be understood.
func (c *Client) Malformed() int64 { return c.malformed.Load() }

// LocalFailures returns how often this machine, and no replica, prevented a connection.
func (c *Client) LocalFailures() int64 { return c.localFailures.Load() }

// Close closes idle connections. Calls in flight go on.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
