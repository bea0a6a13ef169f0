package upstream

import (
	"errors"
	"net"
	"testing"
)

// pipeConn returns a conn over a pipe, and the pipe's other end.
func pipeConn(t *testing.T) (c *conn, peer net.Conn) {
	t.Helper()
	raw, peer := net.Pipe()
	t.Cleanup(func() { raw.Close(); peer.Close() })
	return newConn(raw), peer
}

// A used connection takes a call only while the Transport waits for bytes with none unread, and what comes before the
// call's first byte is never passed on.
func TestConnIsAcquiredOnlyWithoutUnreadBytes(t *testing.T) {
	unread, _ := pipeConn(t)
	if unread.acquire() { // nobody reads: what came last has not been used
		t.Error("a connection with unread bytes was acquired")
	}
	for _, called := range []bool{false, true} {
		c, peer := pipeConn(t)
		readErr := make(chan error)
		go func() {
			_, err := c.Read(make([]byte, 1))
			readErr <- err
		}()
		c.mu.Lock()
		reading := c.reading
		c.mu.Unlock()
		<-reading
		if !c.acquire() {
			t.Fatal("a clean connection was not acquired")
		}
		if called {
			go peer.Read(make([]byte, 1))
			c.Write([]byte("c"))
		}
		peer.Write([]byte("a"))
		if err := <-readErr; errors.Is(err, errUnexpectedBytes) == called {
			t.Errorf("called %t: read %v", called, err)
		}
	}
}
