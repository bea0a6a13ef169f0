package upstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	maxEventSize = 64 << 10 // bytes
	dataField    = "data:"
	lastEvent    = "data: [DONE]"

	// readSize is the least free space for a read of a stream.
	readSize = 2 << 10
	// slowEventAge is the time from an event's first byte after which its incomplete bytes are checked.
	slowEventAge = time.Second
	// slowEventCheckInterval is the time between two such checks.
	slowEventCheckInterval = 500 * time.Millisecond
)

var (
	errMalformedEvent = errors.New("malformed event")
	errEventTooLarge  = fmt.Errorf("event of over %d bytes", maxEventSize)
	errTruncated      = errors.New("the stream ended before its last event")
)

// eventReader splits a stream of server-sent events (the text/event-stream format of the HTML standard) into events. It
// supports the subset that replicas use: each line is a comment or JSON data, and the last event is "data: [DONE]".
//
// An event may come slowly. Bytes that keep coming and cannot become an event are told from a slow event by what they
// are: see checkSlowEvent.
type eventReader struct {
	body         io.Reader
	onBytes      func() // called whenever bytes have arrived
	buffer       []byte // bytes that have arrived and were not returned
	lineStart    int    // index into buffer of the first line that has not ended
	scanned      int    // index into buffer up to which it was searched for the end of a line
	err          error  // error of the body, returned once the buffer holds no further event
	eventBegan   time.Time
	checkedAt    time.Time
	sawLastEvent bool
}

func newEventReader(body io.Reader, onBytes func()) *eventReader {
	return &eventReader{body: body, onBytes: onBytes}
}

// hasBufferedEvent reports whether another complete event has been received, so that next does not wait.
func (r *eventReader) hasBufferedEvent() bool { return r.findEnd() > 0 }

// next returns the bytes up to and including the blank line that ends an event; they are valid until the next call. It
// returns io.EOF only after the last event. It returns errTruncated if the stream ends before its last event,
// errEventTooLarge for an event of more than maxEventSize bytes, and errMalformedEvent for an event of a kind that
// replicas do not send.
func (r *eventReader) next() ([]byte, error) {
	for {
		if end := r.findEnd(); end > 0 {
			return r.take(end)
		}
		switch {
		case len(r.buffer) > maxEventSize:
			return nil, errEventTooLarge
		case r.err == io.EOF && len(r.buffer) == 0 && r.sawLastEvent:
			return nil, io.EOF
		case r.err == io.EOF && !r.sawLastEvent:
			return nil, errTruncated
		case r.err == io.EOF: // a comment at the end of the stream needs no blank line
			return r.take(len(r.buffer))
		case r.err != nil:
			return nil, r.err
		}
		r.read()
		if err := r.checkSlowEvent(time.Now()); err != nil {
			return nil, err
		}
	}
}

// read waits for more bytes.
func (r *eventReader) read() {
	if len(r.buffer) == 0 {
		r.eventBegan = time.Time{}
	}
	if cap(r.buffer)-len(r.buffer) < readSize {
		grown := make([]byte, len(r.buffer), 2*len(r.buffer)+readSize)
		copy(grown, r.buffer)
		r.buffer = grown
	}
	n, err := r.body.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer, r.err = r.buffer[:len(r.buffer)+n], err
	if n == 0 {
		return
	}
	if r.eventBegan.IsZero() {
		r.eventBegan = time.Now()
	}
	if r.onBytes != nil {
		r.onBytes()
	}
}

// findEnd returns the length of the complete event at the beginning of the buffer, or 0 if there is none.
func (r *eventReader) findEnd() int {
	for {
		n := bytes.IndexByte(r.buffer[r.scanned:], '\n')
		if n < 0 {
			r.scanned = len(r.buffer)
			return 0
		}
		end := r.scanned + n + 1
		if len(bytes.TrimRight(r.buffer[r.lineStart:end], "\r\n")) == 0 {
			return end
		}
		r.lineStart, r.scanned = end, end
	}
}

// take returns the event of the given length at the beginning of the buffer, if it is valid.
func (r *eventReader) take(length int) ([]byte, error) {
	event := r.buffer[:length]
	r.buffer, r.lineStart, r.scanned, r.eventBegan = r.buffer[length:], 0, 0, time.Time{}
	if len(r.buffer) == 0 {
		r.buffer = nil // the event may be larger than most
	} else {
		r.eventBegan = time.Now()
	}
	if length > maxEventSize {
		return nil, errEventTooLarge
	}
	if !r.validate(event) {
		return nil, fmt.Errorf("%w: %.40q", errMalformedEvent, event)
	}
	return event, nil
}

// validate reports whether each line of an event is one that replicas send: JSON data, the last event's data, or a
// comment. Other lines appear, for example, if a chunk of the transfer encoding has a wrong size. validate sets
// sawLastEvent when it sees the last event.
func (r *eventReader) validate(event []byte) bool {
	if len(bytes.TrimSpace(event)) == 0 {
		return false
	}
	for line := range bytes.Lines(event) {
		if !r.validateLine(bytes.TrimRight(line, "\r\n")) {
			return false
		}
	}
	return true
}

func (r *eventReader) validateLine(line []byte) bool {
	data, isData := bytes.CutPrefix(line, []byte(dataField))
	switch {
	case len(line) == 0 || line[0] == ':':
	case string(line) == lastEvent:
		r.sawLastEvent = true
	case !isData || r.sawLastEvent || !json.Valid(data):
		return false
	}
	return true
}

// checkSlowEvent returns errMalformedEvent if the incomplete event in the buffer has been coming for slowEventAge and
// cannot become a valid one.
func (r *eventReader) checkSlowEvent(now time.Time) error {
	slow := !r.eventBegan.IsZero() && now.Sub(r.eventBegan) >= slowEventAge
	if !slow || now.Sub(r.checkedAt) < slowEventCheckInterval || r.findEnd() > 0 {
		return nil
	}
	r.checkedAt = now
	probe := eventReader{sawLastEvent: r.sawLastEvent} // validateLine changes its receiver
	for line := range bytes.Lines(r.buffer) {
		complete := line[len(line)-1] == '\n'
		line = bytes.TrimRight(line, "\r\n")
		if complete && !probe.validateLine(line) || !complete && !isLinePrefix(line) {
			return fmt.Errorf("%w: %.40q", errMalformedEvent, r.buffer)
		}
	}
	return nil
}

// isLinePrefix reports whether bytes can be the beginning of a line that replicas send.
func isLinePrefix(line []byte) bool {
	data, isData := bytes.CutPrefix(line, []byte(dataField))
	switch {
	case bytes.HasPrefix(line, []byte(":")), bytes.HasPrefix([]byte(lastEvent), line):
		return true
	case isData:
		return isJSONPrefix(data)
	}
	return false
}

// isJSONPrefix reports whether bytes can be the beginning of a JSON value.
func isJSONPrefix(data []byte) bool {
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		if _, err := decoder.Token(); err != nil {
			return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		}
	}
}
