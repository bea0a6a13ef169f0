package chatapi

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
)

// Values of an error's type that OpenAI's clients know.
const (
	invalidRequestErrorType = "invalid_request_error"
	serverErrorType         = "server_error"
	rateLimitErrorType      = "requests"
)

const millisecondsPerSecond = 1000

// apiError is OpenAI's error object, with the HTTP status that it is sent under.
type apiError struct {
	status  int
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// errorResponse is the body of an answer that is an error, and the data of an event that is one.
type errorResponse struct {
	Error *apiError `json:"error"`
}

// invalidRequest returns the error for a request that the client must change before it sends it again.
func invalidRequest(status int, code, format string, args ...any) *apiError {
	return &apiError{status: status, Type: invalidRequestErrorType, Code: code, Message: fmt.Sprintf(format, args...)}
}

func (e *apiError) body() []byte {
	encoded, err := json.Marshal(errorResponse{Error: e})
	if err != nil {
		return []byte(`{"error":{}}`) // strings always marshal
	}
	return encoded
}

// reject answers a request that is not sent to any server, and counts it as malformed.
func (h *Handler) reject(w http.ResponseWriter, e *apiError) {
	h.malformed.Add(1)
	writeError(w, e)
}

func writeError(w http.ResponseWriter, e *apiError) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.status)
	w.Write(e.body())
}

// writeFailure answers a request that may have run. A header tells the client of a request with a key that an automatic
// retry is of no use.
func writeFailure(w http.ResponseWriter, x *exchange, e *apiError) {
	if x.requiresKey {
		w.Header().Set("X-Should-Retry", "false")
		e.Message += "; the filing may have run and is not run again"
	}
	writeError(w, e)
}

// setRetryAfter sets the time in seconds after which a retry may succeed: in whole seconds, and in milliseconds for
// clients that know that header.
func setRetryAfter(w http.ResponseWriter, seconds float64) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(seconds))))
	w.Header().Set("Retry-After-Ms", strconv.Itoa(int(math.Ceil(seconds*millisecondsPerSecond))))
}
