package connlimit

// AwaitingConns returns on how many connections net/http waits for the bytes of a request.
func (l *Limiter) AwaitingConns() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for netConn := range l.conns {
		client, ok := netConn.(*clientConn)
		if !ok {
			continue
		}
		client.mu.Lock()
		if client.awaitingBytes {
			n++
		}
		client.mu.Unlock()
	}
	return n
}
