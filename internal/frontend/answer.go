package frontend

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"rampspread/internal/dispatch"
)

const (
	// clientWriteTimeout limits each write to a client. A client that reads nothing for that long has stalled, and
	// keeps a replica's stream open.
	clientWriteTimeout = 10 * time.Second
	streamBufferBytes  = 4 << 10
)

// writeAnswer writes a request's final answer.
func writeAnswer(w http.ResponseWriter, answer dispatch.Answer) {
	switch answer.Kind {
	case dispatch.Served:
		copyStream(w, answer.Stream)
	case dispatch.Rejected:
		w.Header().Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 3, 64))
		http.Error(w, "refused: come back later", http.StatusTooManyRequests)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

// copyStream forwards a stream's events to the client as they arrive, and closes the stream. If the stream breaks or
// the client does not read, copyStream panics with http.ErrAbortHandler, which closes the connection without a last
// chunk. The client can then tell that the answer is incomplete.
func copyStream(w http.ResponseWriter, stream dispatch.Stream) {
	defer stream.Close()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	controller := http.NewResponseController(w)
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := stream.Read(buffer)
		if n > 0 {
			controller.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				panic(http.ErrAbortHandler)
			}
			if controller.Flush() != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			controller.SetWriteDeadline(time.Time{})
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
