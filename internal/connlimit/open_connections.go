package connlimit

import (
	"log/slog"
	"net"
	"time"
)

// OpenConnection describes a client's connection that is still open. It is logged when a drain lasts too long.
type OpenConnection struct {
	Remote         string        // the client's address
	Requests       int           // number of requests whose header was read
	LastRequestID  string        // id of the last request that was accepted or rejected; empty if there was none
	RequestOpen    bool          // whether that request is being answered
	Age            time.Duration // time since the connection was accepted
	LastRequestAge time.Duration // time since the last request was accepted or rejected; 0 if there was none
	LastByteAge    time.Duration // time since the last byte was received
	// CloseDeferredReason is why a drain or shutdown was last not allowed to close the connection. It is "allowed" if
	// the connection was closed, or if no drain or shutdown has checked whether it may be closed.
	CloseDeferredReason string
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

// OpenConnections returns the open connections in no particular order. It leaves out lingering ones, whose last answer
// may still be in transit.
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

// describe returns the description of a connection. Limiter.mu must be held.
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
