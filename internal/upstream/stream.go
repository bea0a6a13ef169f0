package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/routing"
)

const (
	maxEvent = 64 << 10
	tailSize = 2 << 10                 // of a stream, kept for the usage and the load report
	silence  = 3500 * time.Millisecond // a stream with no whole event for so long is given up
	done     = "data: [DONE]"          // the last event
)

var (
	errSpoilt = errors.New("no event")
	errNoEnd  = errors.New("the stream ended before its last event")
)

// stream implements core.Stream over a replica's answer. It hands on whole events only, as they came: a
// replica may send noise, or a chunk that does not fit or goes on for ever, and a client must not take
// part of that for its answer.
type stream struct {
	attempt *attempt
	body    io.ReadCloser
	lines   *bufio.Reader
	ev      dispatch.AttemptObserver
	events  []byte // whole events not yet handed on
	whole   bool   // the last event has come
	err     error
	tail    []byte // the last of what was handed on
	watch   *time.Timer
	ended   bool
}

// stream waits for the first event and offers the stream to the client.
func (a *attempt) stream(resp *http.Response, ev dispatch.AttemptObserver) {
	s := &stream{attempt: a, body: resp.Body, lines: bufio.NewReader(resp.Body), ev: ev}
	// The head came with the first token, so its event is due.
	s.watch = time.AfterFunc(firstEvent, a.cancel)
	s.fill()
	s.watch.Stop()
	if len(s.events) == 0 {
		resp.Body.Close()
		a.giveUp(true)
		slog.Warn("no_first_event", "id", a.order.Call.ID, "err", s.err)
		ev.Ended(dispatch.AttemptResult{Outcome: routing.ConnectionReset, StreamStarted: true}) // it may have run
		return
	}
	if !ev.FirstToken(s) {
		resp.Body.Close()
		a.giveUp(true)
		ev.Ended(dispatch.AttemptResult{Outcome: routing.ConnectionReset})
	}
}

// fill waits for the next whole event, and takes with it those that have come too.
func (s *stream) fill() {
	s.events = s.events[:0]
	for s.err == nil && (len(s.events) == 0 || s.more()) {
		var event []byte
		if event, s.err = s.event(); s.err == nil {
			s.events = append(s.events, event...)
		}
	}
}

// more tells whether another whole event has come.
func (s *stream) more() bool {
	come, _ := s.lines.Peek(s.lines.Buffered()) // all there, so it cannot fail
	return bytes.Contains(come, []byte("\n\n")) || bytes.Contains(come, []byte("\n\r\n"))
}

// event reads up to the blank line that ends an event.
func (s *stream) event() ([]byte, error) {
	var event []byte
	for {
		line, err := s.lines.ReadSlice('\n')
		if event = append(event, line...); len(event) > maxEvent {
			return nil, fmt.Errorf("%w: over %d bytes", errSpoilt, maxEvent)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(event) == 0 && s.whole:
			return nil, io.EOF
		case err == io.EOF && !s.whole:
			return nil, errNoEnd
		case err == io.EOF: // a last comment needs no blank line
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if !s.sound(event) {
			s.attempt.pool.bad.Add(1)
			return nil, fmt.Errorf("%w: %.40q", errSpoilt, event)
		}
		return event, nil
	}
}

// sound tells whether each line of an event is one that replicas send: data with JSON, the mark of the
// end, or a comment. A chunk whose size does not fit leaves other lines behind.
func (s *stream) sound(event []byte) bool {
	if len(bytes.TrimSpace(event)) == 0 {
		return false
	}
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		switch {
		case len(line) == 0 || line[0] == ':':
		case string(line) == done:
			s.whole = true
		case !ok || s.whole || !json.Valid(data):
			return false
		}
	}
	return true
}

// Read implements io.Reader. The watch guards against replicas that fall silent in midstream, or send
// bytes for ever that make no event: the client could only wait.
func (s *stream) Read(p []byte) (n int, err error) {
	if len(s.events) == 0 && s.err == nil {
		s.watch.Reset(silence)
		s.fill()
		s.watch.Stop()
	}
	n = copy(p, s.events)
	s.events = s.events[n:]
	if s.tail = append(s.tail, p[:n]...); len(s.tail) > 2*tailSize {
		s.tail = append(s.tail[:0], s.tail[len(s.tail)-tailSize:]...)
	}
	if n > 0 || s.err == nil {
		return n, nil
	}
	s.end()
	return 0, s.err
}

// Close implements io.Closer. A stream that is closed before its end is cut off at the replica too.
func (s *stream) Close() error {
	s.watch.Stop()
	s.end()
	s.attempt.cancel()
	return s.body.Close()
}

func (s *stream) end() {
	if s.ended {
		return
	}
	s.ended = true
	o := dispatch.AttemptResult{Outcome: routing.ConnectionReset}
	if s.err == io.EOF && len(s.events) == 0 {
		o.Outcome = routing.Served
		o.CachedTokens, o.Load = s.attempt.pool.usage(s.tail)
	} else if s.err != nil {
		slog.Warn("stream_broken", "id", s.attempt.order.Call.ID, "err", s.err)
	}
	s.ev.Ended(o)
}

// usage reads a stream's last lines: the prompt tokens found kept, and the load report in a comment.
func (p *Client) usage(tail []byte) (kept int, load *routing.LoadReport) {
	for line := range strings.Lines(string(tail)) {
		line = strings.TrimSpace(line)
		if text, ok := strings.CutPrefix(line, ": Endpoint-Load-Metrics:"); ok {
			load = p.load(text)
			continue
		}
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok || !strings.Contains(data, `"usage"`) {
			continue
		}
		var event struct {
			Usage struct {
				Details struct {
					Cached int `json:"cached_tokens"`
				} `json:"prompt_tokens_details"`
			} `json:"usage"`
		}
		if err := json.Unmarshal([]byte("{"+data), &event); err != nil {
			p.bad.Add(1)
			continue
		}
		kept = max(event.Usage.Details.Cached, 0)
	}
	return kept, load
}
