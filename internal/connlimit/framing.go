package connlimit

import (
	"bytes"
	"net/http"
	"sync/atomic"
)

// contentLengthName is the lower-case start of a header line that gives a body's length.
const contentLengthName = "content-length:"

// skippingLine is the value of contentLengthCounter.matched in the rest of a line that has been counted, or that does
// not start with contentLengthName.
const skippingLine = -1

// contentLengthCounter counts the lines of a byte stream that begin with "Content-Length:". One goroutine calls scan;
// any goroutine may read the count.
type contentLengthCounter struct {
	lines   atomic.Int64
	matched int // bytes of contentLengthName that the current line has matched so far, or skippingLine
}

// scan processes the next bytes of the stream, which may be split anywhere.
func (c *contentLengthCounter) scan(p []byte) {
	for len(p) > 0 {
		if c.matched == skippingLine {
			end := bytes.IndexByte(p, '\n')
			if end < 0 {
				return
			}
			p, c.matched = p[end+1:], 0
			continue
		}
		c.matchByte(p[0])
		p = p[1:]
	}
}

// matchByte compares the next byte of a line with contentLengthName, ignoring case.
func (c *contentLengthCounter) matchByte(b byte) {
	if b >= 'A' && b <= 'Z' {
		b += 'a' - 'A'
	}
	switch {
	case b == '\n': // an empty or short line has ended
		c.matched = 0
	case b != contentLengthName[c.matched]:
		c.matched = skippingLine
	case c.matched == len(contentLengthName)-1:
		c.lines.Add(1)
		c.matched = skippingLine
	default:
		c.matched++
	}
}

// framingError returns the HTTP status for a request that is rejected without reading its body, or 0 if the request is
// not rejected. It prevents request smuggling: a request with both a Content-Length and a chunked body may contain
// a hidden request (RFC 9112, section 6.1). net/http drops the Content-Length header of such a request, so framingError
// uses the count of raw lines: it accepts a chunked request only if every line on the connection that began with
// Content-Length is a header of a request that is not chunked. This also rejects a chunked request that is followed by
// a pipelined request with a Content-Length, and one whose body contains such a line.
//
// framingError adds the request's Content-Length headers to the connection's count.
func framingError(r *http.Request) int {
	c := trackedConnOf(r)
	if r.ContentLength < 0 {
		if c == nil || c.client == nil {
			return http.StatusLengthRequired // the raw lines were not counted
		}
		if c.client.contentLengths.lines.Load() > c.contentLengths {
			return http.StatusBadRequest
		}
		return 0
	}
	if c != nil {
		c.contentLengths += int64(len(r.Header["Content-Length"]))
	}
	if r.ContentLength > maxBodyBytes {
		return http.StatusRequestEntityTooLarge
	}
	return 0
}
