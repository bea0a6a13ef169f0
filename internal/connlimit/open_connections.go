package connlimit

import (
	"log/slog"
	"net"
	"time"
)

// OpenConnection describes a client's connection that is still there while its dispatcher sends clients away.
type OpenConnection struct {
	Remote         string
	Requests       int           // begun on it
	Request        string        // the id of the last one that was taken; none: none was
	RequestOpen    bool          // that one is being answered
	Age            time.Duration // since the connection came,
	LastRequestAge time.Duration // since the last request was taken; 0: none was,
	LastByteAge    time.Duration // since its last byte came
	KeptReason     string        // why the last attempt to close it did not; "allowed": it did, or there was none
}

// LogValue implements slog.LogValuer.
func (h OpenConnection) LogValue() slog.Value {
	return slog.GroupValue(slog.String("remote", h.Remote), slog.Int("requests", h.Requests), slog.String("id", h.Request),
		slog.Bool("open", h.RequestOpen), slog.Duration("age", h.Age), slog.Duration("taken", h.LastRequestAge),
		slog.Duration("last_byte", h.LastByteAge), slog.String("kept", h.KeptReason))
}

// OpenConnections lists the connections that there are, without those that only wait for their last answer to arrive.
func (g *Limiter) OpenConnections() []OpenConnection {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	out := make([]OpenConnection, 0, len(g.conns))
	for c, k := range g.conns {
		out = append(out, k.describe(c, now))
	}
	return out
}

// describe is what is known of a connection; the guard's lock is held.
func (k *conn) describe(c net.Conn, now time.Time) OpenConnection {
	h := OpenConnection{
		Remote:      c.RemoteAddr().String(),
		Requests:    k.begun,
		Request:     k.request,
		RequestOpen: k.open,
		Age:         now.Sub(k.came),
		LastByteAge: now.Sub(lastByte(c, k.came)),
		KeptReason:  k.kept.String(),
	}
	if !k.taken.IsZero() {
		h.LastRequestAge = now.Sub(k.taken)
	}
	return h
}
