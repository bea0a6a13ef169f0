package upstream

import (
	"errors"
	"net"
	"testing"
)

// pipeConn returns a conn over a pipe, and the other end of the pipe.
func pipeConn(t *testing.T) (c *conn, peer net.Conn) {
	t.Helper()
	raw, peer := net.Pipe()
	t.Cleanup(func() { raw.Close(); peer.Close() })
	return newConn(raw), peer
}

// A used connection must accept a call only if the Transport has consumed all bytes and is waiting for more. Bytes that
// arrive before the call's first byte was written must never be passed on as its response.
func TestConnIsAcquiredOnlyWithoutUnreadBytes(t *testing.T) {
	unread, _ := pipeConn(t)
	if unread.acquire() { // without a pending Read the last bytes count as not consumed
		t.Error("a connection with unread bytes was acquired")
	}
	for _, callWritten := range []bool{false, true} {
		c, peer := pipeConn(t)
		readErr := make(chan error)
		go func() {
			_, err := c.Read(make([]byte, 1))
			readErr <- err
		}()
		c.mu.Lock()
		readStarted := c.readStarted
		c.mu.Unlock()
		<-readStarted
		if !c.acquire() {
			t.Fatal("a clean connection was not acquired")
		}
		if callWritten {
			go peer.Read(make([]byte, 1))
			c.Write([]byte("c"))
		}
		peer.Write([]byte("a"))
		if err := <-readErr; errors.Is(err, errUnexpectedBytes) == callWritten {
			t.Errorf("call written %t: read error %v", callWritten, err)
		}
	}
}
