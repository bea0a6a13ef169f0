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
	errMalformedEvent = errors.New("malformed event")
	errEventTooLarge  = fmt.Errorf("event of over %d bytes", maxEventSize)
	errTruncated      = errors.New("the stream ended before its last event")
)

// eventReader splits a stream of server-sent events (the text/event-stream format of the HTML standard) into events. It
// supports the subset that replicas use: each line is a comment or JSON data, and the last event is "data: [DONE]".
type eventReader struct {
	buffer       *bufio.Reader
	sawLastEvent bool
}

func newEventReader(body io.Reader) *eventReader { return &eventReader{buffer: bufio.NewReader(body)} }

// hasBufferedEvent reports whether another complete event has been received, so that next does not wait.
func (r *eventReader) hasBufferedEvent() bool {
	data, _ := r.buffer.Peek(r.buffer.Buffered()) // cannot fail, since it reads only buffered bytes
	return bytes.Contains(data, []byte("\n\n")) || bytes.Contains(data, []byte("\n\r\n"))
}

// next reads up to the blank line that ends an event and returns the event including that line. It returns io.EOF only
// after the last event. It returns errTruncated if the stream ends before its last event, errEventTooLarge for an event
// of more than maxEventSize bytes, and errMalformedEvent for a complete event of a kind that replicas do not send.
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
		case err == io.EOF: // a comment at the end of the stream needs no blank line
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if !r.validate(event) {
			return nil, fmt.Errorf("%w: %.40q", errMalformedEvent, event)
		}
		return event, nil
	}
}

// validate reports whether each line of an event is one that replicas send: JSON data, the last event's data, or a
// comment. Other lines appear, for example, if a chunk of the transfer encoding has a wrong size. validate sets
// sawLastEvent when it sees the last event.
func (r *eventReader) validate(event []byte) bool {
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
