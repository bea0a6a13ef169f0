package replica

import (
	"io"
	"net/http"
	"time"
)

// corruptResponses are noise, half a head, an answer that never ran with another behind it, a length that does not fit,
// and a chunk that never ends.
var corruptResponses = []string{
	"\x00\xff\x17noise\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Ty",
	"HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 202 Accepted\r\nContent-Length: 99999\r\n\r\n{",
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\ndata: ",
}

const (
	// trailingResponse follows each corrupt response after trailingResponseDelay.
	trailingResponse      = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"
	trailingResponseDelay = 8 * time.Millisecond
	// corruptConnTimeout is how long the connection stays open then, unless the caller closes it.
	corruptConnTimeout = 2 * time.Second
)

// maybeRespondCorrupt answers a call with a maybeRespondCorrupt response if it draws one, and tells whether it did. Nothing has run then.
func (r *Replica) maybeRespondCorrupt(w http.ResponseWriter) bool {
	r.mu.Lock()
	rate := r.corruptionRate
	r.mu.Unlock()
	if rate == 0 || r.cluster.random() >= rate {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	io.WriteString(conn, corruptResponses[int(r.cluster.random()*float64(len(corruptResponses)))])
	time.Sleep(trailingResponseDelay)
	io.WriteString(conn, trailingResponse)
	conn.SetReadDeadline(time.Now().Add(corruptConnTimeout))
	io.Copy(io.Discard, conn) // until the caller closes
	return true
}
