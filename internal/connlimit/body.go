package connlimit

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"rampspread/internal/precondition"
)

// maxBodyBytes limits the size of one request's body.
const maxBodyBytes = 256 << 10

// errBodyMemoryFull reports that the bodies of all requests together exceed their memory limit. Its text is sent to
// clients.
var errBodyMemoryFull = errors.New("too much in hand")

// ReadBody reads a request's complete body, of at most 256 KiB, and decides whether the request is accepted. Together
// with an error it returns the HTTP status of the answer; it sets a Retry-After header where a later attempt may
// succeed.
//
// ReadBody clears the server's read deadline once the body is complete: otherwise the deadline would end the connection
// while the request is being answered. After an error the deadline remains, since net/http then reads the rest of the
// body before it answers.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, int, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
		w.Header().Set("Retry-After", "0")
		return nil, http.StatusServiceUnavailable, fmt.Errorf("not taken: %v", reason)
	}
	return body, 0, nil
}

// meteredBody is a request's body whose bytes count towards the memory limit for the bodies of all requests. Only bytes
// that were received count, not the length that a header announces.
type meteredBody struct {
	io.ReadCloser
	memory   *semaphore.Weighted // bytes available for all bodies
	reserved int64               // bytes of memory that this body has acquired
	rejected *atomic.Int64       // counts the bodies for which memory was short
}

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.memory.TryAcquire(int64(n)) {
		b.rejected.Add(1)
		return 0, errBodyMemoryFull
	}
	b.reserved += int64(n)
	return n, err
}

// release returns the body's memory. The body must not be read afterwards.
func (b *meteredBody) release() { b.memory.Release(b.reserved) }
