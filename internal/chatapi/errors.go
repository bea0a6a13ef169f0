package chatapi

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"strconv"
)

// Values of the field type of an error object, as OpenAI's clients expect them.
const (
	invalidRequestErrorType = "invalid_request_error"
	serverErrorType         = "server_error"
	rateLimitErrorType      = "requests"
)

const millisecondsPerSecond = 1000

// apiError is OpenAI's error object, with the HTTP status of the answer that contains it.
type apiError struct {
	status  int
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// errorResponse is the body of an error answer and the data of an error event.
type errorResponse struct {
	Error *apiError `json:"error"`
}

// invalidRequest returns an error of the type invalid_request_error.
func invalidRequest(status int, code, format string, args ...any) *apiError {
	return &apiError{status: status, Type: invalidRequestErrorType, Code: code, Message: fmt.Sprintf(format, args...)}
}

func (e *apiError) body() []byte {
	encoded, err := json.Marshal(errorResponse{Error: e})
	if err != nil {
		return []byte(`{"error":{}}`) // not reached: strings can always be marshalled
	}
	return encoded
}

// reject answers a request with an error without sending it to a replica, and counts it as malformed.
func (h *Handler) reject(w http.ResponseWriter, e *apiError) {
	h.malformed.Add(1)
	slog.Info("chat_request_rejected", "status", e.status, "code", e.Code, "err", e.Message)
	writeError(w, e)
}

func writeError(w http.ResponseWriter, e *apiError) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.status)
	w.Write(e.body())
}

// writeFailure answers a request that may have run. If the request has a key, a header tells the client not to retry
// automatically, since a retry is not run.
func writeFailure(w http.ResponseWriter, x *exchange, e *apiError) {
	if x.requiresKey {
		w.Header().Set("X-Should-Retry", "false")
		e.Message += "; the filing may have run and is not run again"
	}
	writeError(w, e)
}

// setRetryAfter tells the client after how many seconds a retry may succeed. It sets Retry-After, in whole seconds, and
// Retry-After-Ms, in milliseconds, for clients that support it.
func setRetryAfter(w http.ResponseWriter, seconds float64) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(seconds))))
	w.Header().Set("Retry-After-Ms", strconv.Itoa(int(math.Ceil(seconds*millisecondsPerSecond))))
}
