package upstream

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/routing"
)

const (
	firstEventTimeout = time.Second             // a stream without a byte of its first event for this long is aborted
	silenceTimeout    = 3500 * time.Millisecond // a stream without a byte for this long is aborted later
	tailSize          = 2 << 10                 // number of a stream's last bytes kept for the usage and the load report
)

// stream implements dispatch.Stream over a replica's response. It passes on only complete events, byte for byte. A
// replica may send garbage, or a chunk whose size is wrong or that never ends, and the client must not take any of that
// as part of its answer.
//
// Its timer tells silence from a slow replica: each byte that arrives restarts it. What keeps coming and cannot become an
// event is found by eventReader.
//
// Read and Close are called from one goroutine at a time. Only the function of silenceTimer runs concurrently; it
// cancels the attempt.
type stream struct {
	attempt      *attempt
	body         io.ReadCloser
	reader       *eventReader
	observer     dispatch.AttemptObserver
	events       []byte // complete events that have not been passed on yet
	err          error  // error that ended the reader; io.EOF after the last event
	tail         []byte // last bytes that were passed on
	silenceTimer *time.Timer
	silence      time.Duration // limit in force
	endReported  bool          // the attempt's end was reported to the observer
}

// stream waits for the first event and then offers the stream to the observer.
func (a *attempt) stream(resp *http.Response, observer dispatch.AttemptObserver) {
	// A replica sends the head with the first token, so the first event must follow soon.
	s := &stream{attempt: a, body: resp.Body, observer: observer, silence: firstEventTimeout}
	s.reader = newEventReader(resp.Body, func() { s.silenceTimer.Reset(s.silence) })
	s.silenceTimer = time.AfterFunc(s.silence, a.cancel)
	s.fill()
	s.silenceTimer.Stop()
	s.silence = silenceTimeout
	if len(s.events) == 0 {
		resp.Body.Close()
		a.abandon()
		slog.Warn("no_first_event", "id", a.spec.Call.ID, "err", s.err)
		observer.Ended(dispatch.AttemptResult{Outcome: routing.ConnectionReset, StreamStarted: true}) // it may have run
		return
	}
	a.dropBody()
	if !observer.FirstToken(s) {
		resp.Body.Close()
		a.abandon()
		observer.Ended(dispatch.AttemptResult{Outcome: routing.ConnectionReset})
	}
}

// fill waits for the next complete event, and also takes the events that are already buffered.
func (s *stream) fill() {
	s.events = s.events[:0]
	for s.err == nil && (len(s.events) == 0 || s.reader.hasBufferedEvent()) {
		var event []byte
		event, s.err = s.reader.next()
		if s.err == nil {
			s.events = append(s.events, event...)
			continue
		}
		if errors.Is(s.err, errMalformedEvent) {
			s.attempt.client.malformed.Add(1)
		}
	}
}

// Read implements io.Reader. Its timer guards against replicas that stop sending in the middle of a stream. Without the
// timer the client would wait for ever.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.events) == 0 && s.err == nil {
		s.silenceTimer.Reset(s.silence)
		s.fill()
		s.silenceTimer.Stop()
	}
	n := copy(p, s.events)
	s.events = s.events[n:]
	s.appendTail(p[:n])
	if n > 0 || s.err == nil {
		return n, nil
	}
	s.reportEnd()
	return 0, s.err
}

// appendTail appends data to the tail, and cuts the tail to its last tailSize bytes once it exceeds twice that size.
func (s *stream) appendTail(data []byte) {
	s.tail = append(s.tail, data...)
	if len(s.tail) > 2*tailSize {
		s.tail = append(s.tail[:0], s.tail[len(s.tail)-tailSize:]...)
	}
}

// Close implements io.Closer. Closing a stream before its end also ends the call at the replica.
func (s *stream) Close() error {
	s.silenceTimer.Stop()
	s.reportEnd()
	s.attempt.cancel()
	return s.body.Close()
}

// reportEnd reports the attempt's end to the observer, once.
func (s *stream) reportEnd() {
	if s.endReported {
		return
	}
	s.endReported = true
	result := dispatch.AttemptResult{Outcome: routing.ConnectionReset}
	if s.err == io.EOF && len(s.events) == 0 {
		result.Outcome = routing.Served
		result.CachedTokens, result.Load = s.attempt.client.parseTail(s.tail)
	} else if s.err != nil {
		slog.Warn("stream_broken", "id", s.attempt.spec.Call.ID, "err", s.err)
	}
	s.observer.Ended(result)
}
