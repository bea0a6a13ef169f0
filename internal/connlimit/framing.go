package connlimit

import (
	"bytes"
	"net/http"
	"sync/atomic"
)

// contentLengthName begins a line that gives a body's length, in lower case.
const contentLengthName = "content-length:"

// otherLine is the value of contentLengthCounter.matched within a line that begins otherwise.
const otherLine = -1

// contentLengthCounter counts the lines of a byte stream that begin with Content-Length. One goroutine scans; any may
// read the count.
type contentLengthCounter struct {
	lines   atomic.Int64
	matched int // bytes of contentLengthName that the current line has matched so far, or otherLine
}

// scan reads the next bytes of the stream, however they are cut.
func (c *contentLengthCounter) scan(p []byte) {
	for len(p) > 0 {
		if c.matched == otherLine {
			end := bytes.IndexByte(p, '\n')
			if end < 0 {
				return
			}
			p, c.matched = p[end+1:], 0
			continue
		}
		c.match(p[0])
		p = p[1:]
	}
}

// match compares one more byte of a line with contentLengthName, whatever its case.
func (c *contentLengthCounter) match(b byte) {
	if b >= 'A' && b <= 'Z' {
		b += 'a' - 'A'
	}
	switch {
	case b == '\n': // an empty or short line: the next one begins after it
		c.matched = 0
	case b != contentLengthName[c.matched]:
		c.matched = otherLine
	case c.matched == len(contentLengthName)-1:
		c.lines.Add(1)
		c.matched = otherLine
	default:
		c.matched++
	}
}

// framingError returns the status for a request whose body is rejected unread, and 0 for others. It guards against
// request smuggling: a request with both a Content-Length and a chunked body may hide another request in it (RFC 9112,
// section 6.1). net/http drops the Content-Length of such a request, so the raw lines are counted: a chunked request is
// accepted only if each line on its connection that began with Content-Length belongs to a request with a
// Content-Length and nothing else. That also rejects a chunked request whose client sent another request ahead behind
// it, and one whose body has such a line. It counts the Content-Length headers of the request.
func framingError(r *http.Request) int {
	c := trackedConnOf(r)
	if r.ContentLength < 0 {
		if c == nil || c.client == nil {
			return http.StatusLengthRequired // the raw lines are not known
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
