package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// errMalformed is the error for data on a watch that is not a JSON object of the expected form, or that is too large.
// Truncated data results in io.EOF, io.ErrUnexpectedEOF or the connection's error instead.
var errMalformed = errors.New("malformed watch data")

const jsonSpace = " \t\r\n"

// objectReader reads a sequence of JSON objects, each on one line as in newline-delimited JSON (ndjson) or indented
// over several lines. While nothing changes, discovery sends empty lines as heartbeats. An object that has begun must
// end within maxListSize bytes, and soon: the bytes in the middle of an object do not call onProgress. An endless
// object would otherwise keep the watch open without a change.
type objectReader struct {
	source         io.Reader
	onProgress     func() // called for empty lines, and when an object begins or ends
	decoder        *json.Decoder
	betweenObjects bool // no object has begun
	remaining      int  // number of bytes that the current object may still have
}

func newObjectReader(source io.Reader, onProgress func()) *objectReader {
	r := &objectReader{source: source, onProgress: onProgress, betweenObjects: true, remaining: maxListSize}
	r.decoder = json.NewDecoder(decoderSource{r})
	return r
}

// next reads the next object. The error wraps errMalformed if the object is invalid or too large.
func (r *objectReader) next(into any) error {
	err := r.decoder.Decode(into)
	if err == nil {
		// What the decoder has buffered already belongs to the object that follows.
		buffered, _ := io.ReadAll(r.decoder.Buffered()) // cannot fail, since it reads only buffered bytes
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

// decoderSource is the io.Reader from which the decoder reads.
type decoderSource struct{ *objectReader }

// Read implements io.Reader. It drops empty lines, since the decoder would buffer all of them until the next object.
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
