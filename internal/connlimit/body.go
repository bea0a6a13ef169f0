package connlimit

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"rampspread/internal/precondition"
)

const maxBody = 256 << 10

// ReadBody reads a request's whole body within the limits; the status goes with the error. The server's time
// limit for a request's last byte ends with it, or it would end the connection while the answer is out.
// After an error it stays, since what is left of the body is then read before the error is answered.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, int, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errTooMuch):
		w.Header().Set("Retry-After", "1")
		return nil, http.StatusServiceUnavailable, err
	case errors.Is(err, os.ErrDeadlineExceeded) && sentAway(r):
		w.Header().Set("Retry-After", "0")
		return nil, http.StatusServiceUnavailable, fmt.Errorf("not taken: %v", precondition.Draining)
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, err
	case err != nil:
		return nil, http.StatusBadRequest, fmt.Errorf("cut short: %w", err)
	case len(body) == 0:
		return nil, http.StatusBadRequest, errors.New("empty")
	}
	if why := take(r); why != precondition.Allowed {
		w.Header().Set("Retry-After", "0")
		return nil, http.StatusServiceUnavailable, fmt.Errorf("not taken: %v", why)
	}
	return body, 0, nil
}
