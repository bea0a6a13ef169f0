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

// maxBodyBytes bounds one request's body.
const maxBodyBytes = 256 << 10

// errBodyMemoryFull says that the bodies of all requests together need more memory than there may be. Its text is on
// the wire.
var errBodyMemoryFull = errors.New("too much in hand")

// ReadBody reads a request's whole body, of at most 256 KiB, and decides whether the request is accepted. The status is
// that of the answer and goes with the error; a Retry-After header is set where a later attempt may succeed. The
// server's time limit for a request's last byte ends with the body, or it would end the connection while the request is
// being answered. After an error it remains, since net/http then reads the rest of the body before it answers.
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

// meteredBody bounds the memory that the bodies of all requests take together. Only bytes that have come count, not
// those that a header promises.
type meteredBody struct {
	io.ReadCloser
	memory   *semaphore.Weighted // in bytes, of all bodies
	reserved int64               // of memory, by this body
	rejected *atomic.Int64
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

// release returns the memory. The body is not read afterwards.
func (b *meteredBody) release() { b.memory.Release(b.reserved) }
