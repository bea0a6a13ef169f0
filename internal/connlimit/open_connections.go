package connlimit

import (
	"log/slog"
	"net"
	"time"
)

// OpenConnection describes a client's connection that is still open, for the log of a drain that lasts too long.
type OpenConnection struct {
	Remote              string        // the client's address
	Requests            int           // begun on it
	LastRequestID       string        // the id of the last request that was accepted or rejected; empty: none was
	RequestOpen         bool          // that one is being answered
	Age                 time.Duration // since the connection was accepted
	LastRequestAge      time.Duration // since the last request was accepted; 0: none was
	LastByteAge         time.Duration // since its last byte came
	CloseDeferredReason string        // why the last attempt to close it did not; "allowed": it did, or there was none
}

// LogValue implements slog.LogValuer.
func (o OpenConnection) LogValue() slog.Value {
	return slog.GroupValue(
		slog.String("remote", o.Remote),
		slog.Int("requests", o.Requests),
		slog.String("id", o.LastRequestID),
		slog.Bool("open", o.RequestOpen),
		slog.Duration("age", o.Age),
		slog.Duration("last_request", o.LastRequestAge),
		slog.Duration("last_byte", o.LastByteAge),
		slog.String("close_deferred", o.CloseDeferredReason),
	)
}

// OpenConnections lists the open connections, without those that only wait for their last answer to arrive, in no
// order.
func (l *Limiter) OpenConnections() []OpenConnection {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	out := make([]OpenConnection, 0, len(l.conns))
	for netConn, c := range l.conns {
		out = append(out, c.describe(netConn, now))
	}
	return out
}

// describe returns what is known of a connection. Limiter.mu is held.
func (c *trackedConn) describe(netConn net.Conn, now time.Time) OpenConnection {
	o := OpenConnection{
		Remote:              netConn.RemoteAddr().String(),
		Requests:            c.requestsBegun,
		LastRequestID:       c.lastRequestID,
		RequestOpen:         c.state == connHandling,
		Age:                 now.Sub(c.acceptedAt),
		LastByteAge:         now.Sub(lastByteAt(netConn, c.acceptedAt)),
		CloseDeferredReason: c.closeDeferred.String(),
	}
	if !c.lastRequestAt.IsZero() {
		o.LastRequestAge = now.Sub(c.lastRequestAt)
	}
	return o
}
