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
	firstEventTimeout = time.Second             // from the head to the end of the first event
	eventTimeout      = 3500 * time.Millisecond // a stream without a whole event for this long is given up
	tailSize          = 2 << 10                 // bytes of a stream that are remembered for the usage and the load report
)

// stream implements dispatch.Stream over a replica's response. It passes on whole events only, byte for byte: a replica
// may send noise, or a chunk whose size is wrong or that never ends, and a client must not take part of that for its
// answer.
//
// Read and Close are called from one goroutine at a time; only silenceTimer runs concurrently, and cancels the attempt.
type stream struct {
	attempt      *attempt
	body         io.ReadCloser
	reader       *eventReader
	observer     dispatch.AttemptObserver
	events       []byte // whole events that were not passed on yet
	err          error  // what ended the reader; io.EOF after the last event
	tail         []byte // the last bytes that were passed on
	silenceTimer *time.Timer
	ended        bool // the end was reported
}

// stream waits for the first event and then gives the stream to the observer.
func (a *attempt) stream(resp *http.Response, observer dispatch.AttemptObserver) {
	s := &stream{attempt: a, body: resp.Body, reader: newEventReader(resp.Body), observer: observer}
	// The head came with the first token, so its event is due.
	s.silenceTimer = time.AfterFunc(firstEventTimeout, a.cancel)
	s.fill()
	s.silenceTimer.Stop()
	if len(s.events) == 0 {
		resp.Body.Close()
		a.abandon()
		slog.Warn("no_first_event", "id", a.spec.Call.ID, "err", s.err)
		observer.Ended(dispatch.AttemptResult{Outcome: routing.ConnectionReset, StreamStarted: true}) // it may have run
		return
	}
	if !observer.FirstToken(s) {
		resp.Body.Close()
		a.abandon()
		observer.Ended(dispatch.AttemptResult{Outcome: routing.ConnectionReset})
	}
}

// fill waits for the next whole event, and takes those with it that are buffered already.
func (s *stream) fill() {
	s.events = s.events[:0]
	for s.err == nil && (len(s.events) == 0 || s.reader.buffered()) {
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

// Read implements io.Reader. Its timer guards against replicas that fall silent in midstream, or that send bytes for ever
// which make no event: the client could only wait.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.events) == 0 && s.err == nil {
		s.silenceTimer.Reset(eventTimeout)
		s.fill()
		s.silenceTimer.Stop()
	}
	n := copy(p, s.events)
	s.events = s.events[n:]
	s.remember(p[:n])
	if n > 0 || s.err == nil {
		return n, nil
	}
	s.reportEnd()
	return 0, s.err
}

// remember adds to the tail, which it cuts to tailSize when it has grown to twice of that.
func (s *stream) remember(data []byte) {
	s.tail = append(s.tail, data...)
	if len(s.tail) > 2*tailSize {
		s.tail = append(s.tail[:0], s.tail[len(s.tail)-tailSize:]...)
	}
}

// Close implements io.Closer. A stream that is closed before its end is cut off at the replica too.
func (s *stream) Close() error {
	s.silenceTimer.Stop()
	s.reportEnd()
	s.attempt.cancel()
	return s.body.Close()
}

// reportEnd reports the attempt's end, once.
func (s *stream) reportEnd() {
	if s.ended {
		return
	}
	s.ended = true
	result := dispatch.AttemptResult{Outcome: routing.ConnectionReset}
	if s.err == io.EOF && len(s.events) == 0 {
		result.Outcome = routing.Served
		result.CachedTokens, result.Load = s.attempt.client.parseTail(s.tail)
	} else if s.err != nil {
		slog.Warn("stream_broken", "id", s.attempt.spec.Call.ID, "err", s.err)
	}
	s.observer.Ended(result)
}
