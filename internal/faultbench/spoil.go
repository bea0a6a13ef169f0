package faultbench

import (
	"io"
	"net/http"
	"time"
)

// setSpoils lets a part of the calls be answered with what makes no sense.
func (r *replica) setSpoils(part float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoils = part
}

// spoilt are answers that make no sense, or none for long: noise, half a head, an answer that never ran with another behind it, a length
// that does not fit, and a chunk that never ends.
var spoilt = []string{
	"\x00\xff\x17noise\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Ty",
	"HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 202 Accepted\r\nContent-Length: 99999\r\n\r\n{",
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\ndata: ",
}

const (
	behind       = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"
	behindAfter  = 8 * time.Millisecond
	spoiltStands = 2 * time.Second // for which the connection stays open then
)

// spoil answers a call with what makes no sense, if it is one that is to be, and says whether it did. Nothing has run then.
func (r *replica) spoil(w http.ResponseWriter, _ *http.Request) bool {
	r.mu.Lock()
	spoils := r.spoils
	r.mu.Unlock()
	if spoils == 0 || r.cluster.draw() >= spoils {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	io.WriteString(conn, spoilt[int(r.cluster.draw()*float64(len(spoilt)))])
	time.Sleep(behindAfter)
	io.WriteString(conn, behind)
	conn.SetReadDeadline(time.Now().Add(spoiltStands))
	io.Copy(io.Discard, conn) // until the caller closes
	return true
}
