package faultbench

import (
	"io"
	"net/http"
	"time"
)

// SetCorruptionRate lets a part of the calls be answered with what makes no sense.
func (r *Replica) SetCorruptionRate(part float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.corruptionRate = part
}

// corruptResponses are answers that make no sense, or none for long: noise, half a head, an answer that never ran with another behind it, a length
// that does not fit, and a chunk that never ends.
var corruptResponses = []string{
	"\x00\xff\x17noise\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Ty",
	"HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 202 Accepted\r\nContent-Length: 99999\r\n\r\n{",
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\ndata: ",
}

const (
	trailingResponse      = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"
	trailingResponseDelay = 8 * time.Millisecond
	corruptLinger         = 2 * time.Second // for which the connection stays open then
)

// corrupt answers a call with what makes no sense, if it is one that is to be, and says whether it did. Nothing has run then.
func (r *Replica) corrupt(w http.ResponseWriter, _ *http.Request) bool {
	r.mu.Lock()
	spoils := r.corruptionRate
	r.mu.Unlock()
	if spoils == 0 || r.cluster.random() >= spoils {
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
	conn.SetReadDeadline(time.Now().Add(corruptLinger))
	io.Copy(io.Discard, conn) // until the caller closes
	return true
}
