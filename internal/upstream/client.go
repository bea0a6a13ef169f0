// Package upstream is the HTTP/1.1 client to the replicas. It sends the attempts of requests, passes on responses and
// event streams, polls replicas for their load, and releases the state (the reservation) that they hold for a request.
//
// All calls use one net/http Transport. The rest of the program relies on the following properties:
//
//   - An attempt whose last byte was not written never ran. Any other attempt may have run. The outcome of a failed
//     attempt (routing.ConnectFailed or routing.ConnectionReset) distinguishes the two cases. See exchange.
//   - The Transport never resends a call by itself. See requestBody.
//   - The end of an abandoned attempt is reported no earlier than closeDelay (10 ms) after its connection was closed.
//     Another attempt may be sent as soon as the end is reported, and must not overlap with this one. See
//     attempt.abandon.
//   - A connection stays idle for reuseDelay (20 ms) between two calls, and bytes that a replica sends after the end of
//     a response are never read as the response to the next call. See conn.
//
// Client owns the connections and the counters. Each attempt, load poll and release runs in its own goroutine. All
// methods of Client are safe for concurrent use, and the methods of dispatch.Upstream do not block.
package upstream

import (
	"cmp"
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
	defaultReleaseCalls    = 64
	maxResponseHeaderBytes = 16 << 10
	transportBufferBytes   = 2 << 10 // of each connection and direction
)

var _ dispatch.Upstream = (*Client)(nil)

// Client sends calls to all replicas over one Transport. It implements dispatch.Upstream.
type Client struct {
	transport       *http.Transport
	settings        *config.Settings
	malformed       atomic.Int64
	localFailures   atomic.Int64
	pendingReleases atomic.Int64
	// releaseCalls holds one element for each call of a release in flight.
	releaseCalls   chan struct{}
	releaseTargets releaseTargets
	releaseDone    sync.Map // call ID to a chan struct{} that is closed when the call's newest release has ended
}

// Limits are what a Client may hold.
type Limits struct {
	// ConnsPerReplica is the number of connections to each replica. A call that has to wait for a connection is delayed
	// and nothing reports the reason, so it should be well above what normal load needs.
	ConnsPerReplica   int
	IdleConns         int // number of idle connections in total
	ReleaseCalls      int // calls of releases in flight, or 0 for a default
	SocketBufferBytes int // size of each socket buffer, or 0 for buffers that the kernel lets grow
}

// New returns a Client within the given limits.
func New(settings *config.Settings, limits Limits, machine hostos.System) *Client {
	c := &Client{settings: settings, releaseCalls: make(chan struct{}, cmp.Or(limits.ReleaseCalls, defaultReleaseCalls))}
	dialer := &dialer{
		timeout: dialTimeout(settings), machine: machine, localFailures: &c.localFailures, bufferBytes: limits.SocketBufferBytes,
	}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			raw, err := dialer.dial(ctx, network, addr)
			if err != nil {
				return nil, err // the error already names the operation
			}
			return newConn(raw), nil
		},
		DisableCompression:     true, // events are passed on unchanged
		MaxIdleConns:           limits.IdleConns,
		MaxIdleConnsPerHost:    limits.ConnsPerReplica,
		MaxConnsPerHost:        limits.ConnsPerReplica,
		ReadBufferSize:         transportBufferBytes,
		WriteBufferSize:        transportBufferBytes,
		IdleConnTimeout:        idleConnTimeout(settings),
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return c
}

// dialTimeout returns the limit for establishing one connection. A replica holds a request's state only for a limited
// time, which continues to run while connections cannot be established. The limit is therefore half the configured
// connect timeout, and at most half of the time for which the state is held: a second and a third decode replica can
// then be tried before the state must be released.
func dialTimeout(settings *config.Settings) time.Duration {
	timeout := config.FromMS(settings.Limits.ConnectTimeoutMs) / 2
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	if reservationTTL := config.FromMS(settings.ModelFamily.ReservationTTLMs); reservationTTL > 0 {
		timeout = min(timeout, reservationTTL/2)
	}
	return timeout
}

// idleConnTimeout returns how long a connection may be idle before this side closes it. After a longer time,
// ConnIdleMs, a replica's machine resets an idle connection when a request is written to it. Such a request may have
// run, so the timeout is only 70% of that time.
func idleConnTimeout(settings *config.Settings) time.Duration {
	idle := config.FromMS(settings.Limits.ConnIdleMs)
	if idle <= 0 {
		idle = defaultConnIdleTimeout
	}
	return idle * 7 / 10
}

// Malformed returns how many responses, events and load reports were malformed or had an unexpected status.
func (c *Client) Malformed() int64 { return c.malformed.Load() }

// LocalFailures returns how often a connection could not be made because of this machine or its routes, rather than
// because of a replica.
func (c *Client) LocalFailures() int64 { return c.localFailures.Load() }

// Close closes idle connections. Calls in flight continue.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
