package frontend

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rampspread/internal/connlimit"
	"rampspread/internal/dispatch"
)

const (
	completionsPath = "/v1/chat/completions"

	headerRequestID  = "X-Trace-Id"
	headerClass      = "X-Qos"
	headerTenant     = "X-Customer"
	headerSession    = "X-Object"
	headerExpiry     = "X-Expires-In"
	headerProperties = "X-Props"
)

const (
	// answerMargin is the time from a request's deadline in the dispatcher to the moment at which the client gives up,
	// so that the answer arrives in time.
	answerMargin = 25 * time.Millisecond
	// answerMarginDivisor shortens the margin for a client that gives up soon: the margin is at most the time until the
	// client gives up, divided by answerMarginDivisor.
	answerMarginDivisor = 4
	maxExpiry           = time.Hour // longest time until a client gives up
	maxRequestIDLength  = 64        // bytes
	maxTokenCount       = 1e9       // limit of each number of tokens in X-Props
)

// requestError is the reason why a request is malformed or its body was not accepted, with the HTTP status of the
// answer. Its text is sent to clients.
type requestError struct {
	status int
	cause  error
}

// Error implements error.
func (e *requestError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *requestError) Unwrap() error { return e.cause }

func malformedRequest(status int, format string, args ...any) *requestError {
	return &requestError{status: status, cause: fmt.Errorf(format, args...)}
}

// parse validates a request and reads its body. The request's deadline counts from arrivedAt.
func (h *Handler) parse(w http.ResponseWriter, r *http.Request, arrivedAt time.Time) (dispatch.Request, *requestError) {
	if r.Method != http.MethodPost || r.URL.Path != completionsPath {
		return dispatch.Request{}, malformedRequest(http.StatusNotFound, "no such resource")
	}
	req, malformed := h.parseHeader(r.Header, arrivedAt)
	if malformed != nil {
		return dispatch.Request{}, malformed
	}
	body, status, err := connlimit.ReadBody(w, r)
	if err != nil {
		return dispatch.Request{}, malformedRequest(status, "body: %w", err)
	}
	req.ClientGone = connlimit.ClientGoneFunc(r)
	req.Call = dispatch.UpstreamCall{
		ID:          r.Header.Get(headerRequestID),
		Method:      r.Method,
		Target:      r.URL.RequestURI(),
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
	}
	return req, nil
}

// parseHeader parses the header fields that the router's decisions depend on.
func (h *Handler) parseHeader(header http.Header, arrivedAt time.Time) (dispatch.Request, *requestError) {
	if !validRequestID(header.Get(headerRequestID)) {
		return dispatch.Request{}, malformedRequest(http.StatusBadRequest, "X-Trace-Id missing or malformed")
	}
	class, ok := h.classes.Load().indexes[header.Get(headerClass)]
	if !ok || class < 0 {
		return dispatch.Request{}, malformedRequest(http.StatusBadRequest, "X-Qos missing or unknown")
	}
	req := dispatch.Request{Class: class, Session: HashKey(header.Get(headerSession))}
	for i, tenant := range h.settings.Tenants {
		if tenant.Name == header.Get(headerTenant) {
			req.Tenant = i
		}
	}
	expiry, err := ParseExpiry(header.Get(headerExpiry))
	if err != nil {
		return dispatch.Request{}, malformedRequest(http.StatusBadRequest, "X-Expires-In: %w", err)
	}
	req.Deadline = arrivedAt.Add(expiry - min(answerMargin, expiry/answerMarginDivisor))
	if err := parseProperties(&req, header.Get(headerProperties)); err != nil {
		return dispatch.Request{}, malformedRequest(http.StatusBadRequest, "X-Props: %w", err)
	}
	return req, nil
}

// validRequestID reports whether an id can be used in a path and in a header.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDLength {
		return false
	}
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

// ParseExpiry parses the time until a client gives up, such as 4800m (milliseconds) or 4800000u (microseconds). The
// time must be above 0 and at most an hour. The texts of the errors are sent to clients.
func ParseExpiry(value string) (time.Duration, error) {
	if value == "" {
		return 0, errors.New("missing")
	}
	var unit time.Duration
	switch value[len(value)-1] {
	case 'm':
		unit = time.Millisecond
	case 'u':
		unit = time.Microsecond
	default:
		return 0, fmt.Errorf("unknown unit in %q", value)
	}
	n, err := strconv.ParseFloat(value[:len(value)-1], 64)
	if err != nil || !(n > 0) || n*float64(unit) > float64(maxExpiry) {
		return 0, fmt.Errorf("%q is out of range", value)
	}
	return time.Duration(n * float64(unit)), nil
}

// parseProperties parses a prompt's properties, which are name=value pairs separated by commas, into req. It ignores
// unknown names; prompt_len is required and must be above 0.
func parseProperties(req *dispatch.Request, list string) error {
	for item := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(item), "=")
		if !ok || value == "" {
			return fmt.Errorf("%q is no property", item)
		}
		var count *int
		switch name {
		case "prefix":
			req.SharedPrefix = HashKey(value)
			continue
		case "prompt_len":
			count = &req.PromptTokens
		case "prefix_len":
			count = &req.SharedPrefixTokens
		case "max_out":
			count = &req.MaxOutputTokens
		default:
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0 && n <= maxTokenCount) || n != math.Trunc(n) {
			return fmt.Errorf("%s is out of range", item)
		}
		*count = int(n)
	}
	if req.PromptTokens == 0 {
		return errors.New("no prompt_len")
	}
	return nil
}
