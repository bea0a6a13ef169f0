package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// errMalformed says that what came on a watch is no JSON object of the expected form, or too large for one. What was cut
// off gives io.EOF, io.ErrUnexpectedEOF or the connection's error instead.
var errMalformed = errors.New("what came cannot be read")

const jsonSpace = " \t\r\n"

// objectReader reads newline-delimited JSON: objects on a line each, as in ndjson, or indented over several. While
// nothing changes, empty lines come as heartbeats. An object that has begun has to end before long and within
// maxListSize bytes: one that goes on for ever would keep the watch open without a change.
type objectReader struct {
	source         io.Reader
	onProgress     func() // called for empty lines, and as an object begins and ends
	decoder        *json.Decoder
	betweenObjects bool // no object has begun
	remaining      int  // bytes that the object may still have
}

func newObjectReader(source io.Reader, onProgress func()) *objectReader {
	r := &objectReader{source: source, onProgress: onProgress, betweenObjects: true, remaining: maxListSize}
	r.decoder = json.NewDecoder(decoderSource{r})
	return r
}

// next reads the next object. The error wraps errMalformed if the object makes no sense.
func (r *objectReader) next(into any) error {
	err := r.decoder.Decode(into)
	if err == nil {
		// What the decoder has buffered already belongs to the object that follows.
		buffered, _ := io.ReadAll(r.decoder.Buffered()) // all in memory, so it cannot fail
		r.betweenObjects = len(bytes.TrimLeft(buffered, jsonSpace)) == 0
		r.remaining = maxListSize - len(buffered)
		r.onProgress()
		return nil
	}
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &syntaxErr) || errors.As(err, &typeErr) {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return err
}

// decoderSource is what the decoder reads from.
type decoderSource struct{ *objectReader }

// Read implements io.Reader. It drops empty lines: the decoder would buffer them all until the next object.
func (s decoderSource) Read(p []byte) (int, error) {
	for {
		n, err := s.source.Read(p)
		if s.betweenObjects && n > 0 {
			s.onProgress()
			n = copy(p, bytes.TrimLeft(p[:n], jsonSpace))
			s.betweenObjects = n == 0
		}
		s.remaining -= n
		if s.remaining < 0 {
			return 0, fmt.Errorf("%w: over %d bytes", errMalformed, maxListSize)
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}
