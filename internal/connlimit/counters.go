package connlimit

// Malformed is how many requests had a header that was cut short or malformed, an ambiguous framing, or too long a body
// by their header.
func (l *Limiter) Malformed() int64 { return l.malformed.Load() }

// Rejected is how many requests and connections were rejected: too many bytes of bodies were in memory, there was no
// capacity for the connection, or the request came too late in a drain or before the process's end.
func (l *Limiter) Rejected() int64 { return l.rejected.Load() }

// Evicted is how many connections were closed to make capacity.
func (l *Limiter) Evicted() int64 { return l.evicted.Load() }

// Drained is how many connections were closed during an operator's drain or as the process ended.
func (l *Limiter) Drained() int64 { return l.drained.Load() }

// CloseDeferred is how often a connection was to be closed and was not, since a request was arriving on it or had come.
func (l *Limiter) CloseDeferred() int64 { return l.closeDeferred.Load() }

// AcceptFailures is how many accepts failed.
func (l *Limiter) AcceptFailures() int64 {
	if l.acceptListener == nil {
		return 0
	}
	return l.acceptListener.Failures()
}

// ConnectionCount is how many connections there are, including those that only wait for their last answer to arrive.
func (l *Limiter) ConnectionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) + int(l.lingering.Load())
}
