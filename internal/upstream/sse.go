package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	maxEventSize = 64 << 10 // bytes
	dataField    = "data:"
	lastEvent    = "data: [DONE]"
)

var (
	errMalformedEvent = errors.New("no event")
	errEventTooLarge  = fmt.Errorf("event of over %d bytes", maxEventSize)
	errTruncated      = errors.New("the stream ended before its last event")
)

// eventReader splits a stream of server-sent events (the text/event-stream format of the HTML standard) into events, as
// far as replicas use it: each line is a comment or data with JSON, and the last event is "data: [DONE]".
type eventReader struct {
	buffer       *bufio.Reader
	sawLastEvent bool
}

func newEventReader(body io.Reader) *eventReader { return &eventReader{buffer: bufio.NewReader(body)} }

// buffered reports whether another whole event has come, so that next does not wait.
func (r *eventReader) buffered() bool {
	data, _ := r.buffer.Peek(r.buffer.Buffered()) // all in memory, so it cannot fail
	return bytes.Contains(data, []byte("\n\n")) || bytes.Contains(data, []byte("\n\r\n"))
}

// next reads up to the blank line that ends an event and returns the event with it. It returns io.EOF only behind the
// last event; errTruncated if the stream ends before, errEventTooLarge over maxEventSize,
// and errMalformedEvent for what came whole and is no event that replicas send.
func (r *eventReader) next() ([]byte, error) {
	var event []byte
	for {
		line, err := r.buffer.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventSize {
			return nil, errEventTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(event) == 0 && r.sawLastEvent:
			return nil, io.EOF
		case err == io.EOF && !r.sawLastEvent:
			return nil, errTruncated
		case err == io.EOF: // a last comment needs no blank line
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if !r.valid(event) {
			return nil, fmt.Errorf("%w: %.40q", errMalformedEvent, event)
		}
		return event, nil
	}
}

// valid reports whether each line of an event is one that replicas send: data with JSON, the mark of the end, or a
// comment. A chunk of the transfer encoding whose size is wrong leaves other lines behind. It notes the mark of the end.
func (r *eventReader) valid(event []byte) bool {
	if len(bytes.TrimSpace(event)) == 0 {
		return false
	}
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		data, isData := bytes.CutPrefix(line, []byte(dataField))
		switch {
		case len(line) == 0 || line[0] == ':':
		case string(line) == lastEvent:
			r.sawLastEvent = true
		case !isData || r.sawLastEvent || !json.Valid(data):
			return false
		}
	}
	return true
}
