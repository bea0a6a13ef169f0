package connlimit

import (
	"cmp"
	"log/slog"
	"net"
	"slices"
	"time"
)

const (
	// stalledAfter is how long a write to a client is blocked until its answer counts as stalled: the client and the
	// kernel's buffers take no more.
	stalledAfter = 250 * time.Millisecond
	// stalledCheckInterval is the time between two checks while requests are open.
	stalledCheckInterval = 100 * time.Millisecond
)

// openRequest counts an accepted request, and makes sure that its answer is watched. It returns false if as many
// requests are open as the process may hold. l.mu must be held.
func (l *Limiter) openRequest() bool {
	if !l.limits.openRequest() {
		return false
	}
	if l.limits.plan.StalledStreams > 0 && l.watchingWrites.CompareAndSwap(false, true) {
		time.AfterFunc(stalledCheckInterval, l.checkStalled)
	}
	return true
}

// checkStalled ends the answers that have been stalled longest if there are more than the process may hold, and
// schedules the next check while requests are open. Each answer that nobody reads keeps a connection to a replica and
// its buffers from others.
func (l *Limiter) checkStalled() {
	l.mu.Lock()
	stalled, handling := l.stalledConns(time.Now())
	l.mu.Unlock()
	for len(stalled) > l.limits.plan.StalledStreams {
		l.abortStalled(stalled[0])
		stalled = stalled[1:]
	}
	if handling {
		time.AfterFunc(stalledCheckInterval, l.checkStalled)
		return
	}
	l.watchingWrites.Store(false)
}

// endStalled ends the answer that has been stalled longest, and returns false if there is none.
func (l *Limiter) endStalled(now time.Time) bool {
	l.mu.Lock()
	stalled, _ := l.stalledConns(now)
	l.mu.Unlock()
	if len(stalled) == 0 {
		return false
	}
	l.abortStalled(stalled[0])
	return true
}

func (l *Limiter) abortStalled(c *clientConn) {
	l.stalled.Add(1)
	slog.Info("stalled_answer_ended", "remote", c.RemoteAddr().String(), "stalled", c.writeBlocked(time.Now()))
	c.abort()
}

// stalledConns returns the connections whose answers are stalled, the longest stalled first, and whether any request is
// being answered. l.mu must be held.
func (l *Limiter) stalledConns(now time.Time) (stalled []*clientConn, handling bool) {
	for netConn, c := range l.conns {
		handling = handling || c.state == connHandling
		if client := asClientConn(netConn); client != nil && client.writeBlocked(now) >= stalledAfter {
			stalled = append(stalled, client)
		}
	}
	slices.SortFunc(stalled, func(a, b *clientConn) int { return cmp.Compare(b.writeBlocked(now), a.writeBlocked(now)) })
	return stalled, handling
}

func asClientConn(netConn net.Conn) *clientConn {
	c, _ := netConn.(*clientConn)
	return c
}

// writeBlocked returns how long the write in progress has taken, or 0 if there is none.
func (c *clientConn) writeBlocked(now time.Time) time.Duration {
	since := c.writingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(c.acceptedAt) - time.Duration(since)
}
