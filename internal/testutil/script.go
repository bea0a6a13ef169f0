package testutil

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// Script is how a Replica responds to a call; n is the number of the call, counted from 0. The body has been read.
type Script func(w http.ResponseWriter, r *http.Request, n int)

// ServePrefill responds as a replica that has finished a prefill.
func ServePrefill(w http.ResponseWriter, _ *http.Request, _ int) {
	w.WriteHeader(http.StatusAccepted)
	io.WriteString(w, `{"cached_tokens":7}`)
}

// ServeTimedPrefill responds like ServePrefill, and sends the time after each response to writtenAt.
func ServeTimedPrefill(writtenAt chan<- time.Time) Script {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		ServePrefill(w, r, n)
		writtenAt <- time.Now()
	}
}

// ServeDecode streams the whole EventStream of the tokens.
func ServeDecode(tokens ...string) Script {
	return func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, EventStream(tokens...)) }
}

// ServeTruncated streams the first n bytes of the EventStream of the tokens, or all if it has fewer, and then breaks the
// connection.
func ServeTruncated(n int, tokens ...string) Script {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		events := EventStream(tokens...)
		streamEvents(w, events[:min(n, len(events))])
		panic(http.ErrAbortHandler)
	}
}

// streamEvents flushes each event, so that the client receives all that precedes the end.
func streamEvents(w http.ResponseWriter, events string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for event := range strings.SplitAfterSeq(events, eventEnd) {
		if event == "" {
			continue
		}
		io.WriteString(w, event)
		http.NewResponseController(w).Flush()
	}
}

// ServeStatus responds with a status code and no body.
func ServeStatus(code int) Script {
	return func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(code) }
}

// ServeStatusNeverRan responds with a status code and the header that proves that the call has not been executed.
func ServeStatusNeverRan(code int) Script {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(code)
	}
}

// ServeRaw writes the bytes of response to the connection, whether or not they are HTTP, and leaves it open until the
// caller closes it.
func ServeRaw(response string) Script {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		io.WriteString(conn, response)
		io.Copy(io.Discard, conn) // returns when the caller closes the connection
	}
}

// NeverRespond is a Script that waits until the caller closes the connection.
func NeverRespond(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }
