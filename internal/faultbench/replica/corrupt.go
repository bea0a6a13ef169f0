package replica

import (
	"io"
	"net/http"
	"time"
)

// corruptResponses are noise, a truncated header, a response for an attempt that never ran (followed by another
// response), a response with a wrong content length, and a response with an incomplete chunk.
var corruptResponses = []string{
	"\x00\xff\x17noise\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Ty",
	"HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 202 Accepted\r\nContent-Length: 99999\r\n\r\n{",
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\ndata: ",
}

const (
	// trailingResponse is sent trailingResponseDelay after each corrupt response.
	trailingResponse      = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"
	trailingResponseDelay = 8 * time.Millisecond
	// corruptConnTimeout is how long the connection stays open after that, unless the caller closes it.
	corruptConnTimeout = 2 * time.Second
)

// maybeRespondCorrupt responds to a call with a corrupt response, with the probability corruptionRate, and reports
// whether it did. If so, nothing has been executed.
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
