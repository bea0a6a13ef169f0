package connlimit

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"time"

	"rampspread/internal/memory"
	"rampspread/internal/precondition"
)

const (
	// maxBodyBytes limits the size of one request's body.
	maxBodyBytes = 256 << 10
	// initialBodyBytes is the first size of a body's buffer, unless the request announces fewer bytes.
	initialBodyBytes = 4 << 10
	// firstReadBytes is the size of the first read of a body.
	firstReadBytes = 512
	// bodyGrowth is the factor by which a full buffer grows. The smaller buffers become garbage.
	bodyGrowth = 4
	// reclaimTimeout is how long a body waits for the memory of an evicted request.
	reclaimTimeout = 100 * time.Millisecond
	// reclaimInterval is the time between two attempts to get that memory.
	reclaimInterval = 5 * time.Millisecond
)

// errBodyMemoryFull reports that the payload of all requests together exceeds its limit. Its text is sent to clients.
var errBodyMemoryFull = errors.New("too much in hand")

// ReadBody reads a request's complete body, of at most 256 KiB, and decides whether the request is accepted. Together
// with an error it returns the HTTP status of the answer; it sets a Retry-After header where a later attempt may
// succeed. The body's memory counts until the request has been handled, or until ReleaseBody is called.
//
// ReadBody clears the server's read deadline once the body is complete: otherwise the deadline would end the connection
// while the request is being answered. After an error the deadline remains, since net/http then reads the rest of the
// body before it answers.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, int, error) {
	body, err := readAll(http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength, trackedConnOf(r))
	if err == nil {
		http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemoryFull):
		w.Header().Set("Retry-After", "1")
		return nil, http.StatusServiceUnavailable, err
	case errors.Is(err, os.ErrDeadlineExceeded) && drainRejects(r):
		w.Header().Set("Retry-After", "0")
		return nil, http.StatusServiceUnavailable, fmt.Errorf("not taken: %v", precondition.Draining)
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, err
	case err != nil:
		return nil, http.StatusBadRequest, fmt.Errorf("cut short: %w", err)
	case len(body) == 0:
		return nil, http.StatusBadRequest, errors.New("empty")
	}
	if reason := acceptRequest(r); reason != precondition.Allowed {
		if reason == precondition.NoCapacity {
			trackedConnOf(r).limiter.endStalled(time.Now()) // the next request finds capacity
		}
		w.Header().Set("Retry-After", retryAfter(reason))
		return nil, http.StatusServiceUnavailable, fmt.Errorf("not taken: %v", reason)
	}
	return body, 0, nil
}

// retryAfter returns the value of the Retry-After header, in seconds, of a request that was not accepted.
func retryAfter(reason precondition.Reason) string {
	if reason == precondition.NoCapacity {
		return "0.2"
	}
	return "0"
}

// ReleaseBody returns a request's payload to the account, once its body is not needed any more.
func ReleaseBody(r *http.Request) { Payload(r).Release() }

// Payload returns what a request holds of the process's memory for payload, or nil if it has no limit.
func Payload(r *http.Request) *memory.Reservation {
	c := trackedConnOf(r)
	if c == nil {
		return nil
	}
	return c.payload
}

// readAll reads a body into a buffer, for which it reserves memory as bytes arrive. length is the announced number of
// bytes, or negative; nothing is reserved for bytes that were only announced.
func readAll(body io.Reader, length int64, c *trackedConn) ([]byte, error) {
	limit := int64(maxBodyBytes + 1)
	if length >= 0 {
		limit = min(length, limit)
	}
	buffer := make([]byte, 0, min(firstReadBytes, limit))
	n, err := body.Read(buffer[:cap(buffer)])
	buffer = buffer[:n]
	if !c.growPayload(int64(cap(buffer))) {
		return nil, errBodyMemoryFull
	}
	for size := int64(initialBodyBytes); err == nil && int64(len(buffer)) < limit; size *= bodyGrowth {
		if buffer, err = grow(buffer, min(size, limit), c); err == nil {
			err = fill(body, &buffer)
		}
	}
	if err != nil && err != io.EOF {
		return nil, err
	}
	return buffer, nil
}

// grow returns a buffer of the given capacity with the same content, and reserves memory for it.
func grow(buffer []byte, capacity int64, c *trackedConn) ([]byte, error) {
	if !c.growPayload(capacity - int64(cap(buffer))) {
		return nil, errBodyMemoryFull
	}
	grown := make([]byte, len(buffer), capacity)
	copy(grown, buffer)
	return grown, nil
}

// fill reads until the buffer is full. It returns io.EOF only if the body ends before that.
func fill(body io.Reader, buffer *[]byte) error {
	for len(*buffer) < cap(*buffer) {
		n, err := body.Read((*buffer)[len(*buffer):cap(*buffer)])
		*buffer = (*buffer)[:len(*buffer)+n]
		if err != nil {
			return err
		}
	}
	return nil
}

// growPayload reserves memory for a request. If there is too little, requests that hold much and are silent are ended
// for it.
func (c *trackedConn) growPayload(bytes int64) bool {
	if c == nil {
		return true
	}
	for waited := time.Duration(0); !c.payload.Grow(bytes); waited += reclaimInterval {
		reclaimed := c.limiter.limits.reclaimPayload()
		if waited >= reclaimTimeout || waited == 0 && !reclaimed {
			c.limiter.rejected.Add(1)
			slog.Info("payload_rejected", "held", c.payload.Bytes(), "wanted", bytes, "all", c.limiter.limits.payload.Used())
			return false
		}
		time.Sleep(reclaimInterval)
	}
	return true
}
