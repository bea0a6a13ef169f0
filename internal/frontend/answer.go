package frontend

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"rampspread/internal/dispatch"
)

const (
	// clientWriteTimeout bounds each write to a client. A client that reads nothing for so long has stalled, and it
	// holds a replica's stream.
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

// copyStream forwards a stream, event by event, and closes it. A stream that breaks, or a client that doesn't read,
// ends the connection without a last chunk, so that nobody takes the answer for complete: it panics with
// http.ErrAbortHandler.
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
