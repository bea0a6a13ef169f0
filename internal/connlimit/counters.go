package connlimit

// Malformed returns the number of requests with an incomplete or malformed header, ambiguous framing, or a
// Content-Length over the limit.
func (l *Limiter) Malformed() int64 { return l.malformed.Load() }

// Rejected returns the number of requests and connections that were rejected because the memory for bodies was used up,
// there was no capacity for the connection, or the request came too late in a drain or a shutdown.
func (l *Limiter) Rejected() int64 { return l.rejected.Load() }

// Evicted returns the number of connections that were closed to make capacity.
func (l *Limiter) Evicted() int64 { return l.evicted.Load() }

// Stalled returns the number of answers that were ended because their clients had stopped reading.
func (l *Limiter) Stalled() int64 { return l.stalled.Load() }

// Drained returns the number of connections that were closed during an operator's drain or a shutdown.
func (l *Limiter) Drained() int64 { return l.drained.Load() }

// CloseDeferred returns how often a connection was not closed because a request was arriving or had arrived on it. In a
// drain or a shutdown it does not count connections with an open request.
func (l *Limiter) CloseDeferred() int64 { return l.closeDeferred.Load() }

// AcceptFailures returns the number of accepts that failed.
func (l *Limiter) AcceptFailures() int64 {
	if l.acceptListener == nil {
		return 0
	}
	return l.acceptListener.Failures()
}

// ConnectionCount returns the number of connections, including lingering ones, whose last answer may still be in
// transit.
func (l *Limiter) ConnectionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) + int(l.lingering.Load())
}
