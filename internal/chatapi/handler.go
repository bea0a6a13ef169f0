// Package chatapi is the chat frontend, which implements OpenAI's chat completions API over HTTP. It streams answers as
// server-sent events or returns them as one JSON object. It uses the same dispatcher as the platform's frontend,
// package frontend, so the same rules apply to the attempts of a request.
//
// The API's objects have the names that OpenAI uses, see https://platform.openai.com/docs/api-reference/chat. Requests
// of classes that are not idempotent need an Idempotency-Key header, as in the IETF draft "The Idempotency-Key HTTP
// Header Field": the first attempt with a key runs, and retries are answered from its result or rejected.
//
// The package owns the table of idempotency keys and the counters of malformed requests and skipped events. A Handler
// can serve any number of requests concurrently; each runs on the goroutine of its connection.
package chatapi

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/dispatch"
	"rampspread/internal/state/inflight"
	"rampspread/routing"
)

// Paths of the API's resources.
const (
	completionsPath = "/v1/chat/completions"
	modelsPath      = "/v1/models"
	healthPath      = "/healthz"
)

// Handler serves the chat completions API. New creates a Handler; UseIdempotencyStore and UsePeerTable set the optional
// stores before it serves requests.
type Handler struct {
	dispatcher *dispatch.Dispatcher
	settings   *config.Settings
	classes    []routing.Class
	config     *Config

	keys      *keyTable
	store     IdempotencyStore // nil if only this process's table decides
	peerTable *inflight.Table  // nil if no keys are shared with peer processes

	malformed     atomic.Int64
	skippedEvents atomic.Int64
}

// New returns a Handler that dispatches requests with the given dispatcher. The clock now determines when idempotency
// keys expire. New returns an error if the settings are not valid for a router.
func New(
	dispatcher *dispatch.Dispatcher, settings *config.Settings, config *Config, now func() time.Time,
) (*Handler, error) {
	router, err := settings.Router()
	if err != nil {
		return nil, fmt.Errorf("chat: %w", err)
	}
	return &Handler{dispatcher: dispatcher, settings: settings, classes: router.Classes, config: config,
		keys: newKeyTable(config.Idempotency.Entries, config.Retention(), now)}, nil
}

// UseIdempotencyStore makes the handler claim idempotency keys from a store as well as from this process's own table.
// It must be called before the handler serves requests.
func (h *Handler) UseIdempotencyStore(store IdempotencyStore) { h.store = store }

// UsePeerTable makes the handler share the idempotency keys in use with its peer processes, which are the other
// processes on this machine with the same dispatcher name. It must be called before the handler serves requests.
func (h *Handler) UsePeerTable(table *inflight.Table) { h.peerTable = table }

// LimitStoredAnswers limits the text of the answers that this process keeps for retries of idempotency keys, in bytes.
// Beyond it the oldest answers are forgotten, but not their keys. It must be called before the handler serves requests.
func (h *Handler) LimitStoredAnswers(bytes int64) { h.keys.maxAnswerBytes = bytes }

// Malformed returns the number of requests that were rejected without being sent to a replica because they were
// invalid, because connlimit.ReadBody did not accept their body, or because their idempotency key or a full key table
// did not permit them to run.
func (h *Handler) Malformed() int64 { return h.malformed.Load() }

// SkippedEvents returns the number of events from replicas that could not be decoded and were not forwarded.
func (h *Handler) SkippedEvents() int64 { return h.skippedEvents.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == healthPath && r.Method == http.MethodGet:
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == modelsPath && r.Method == http.MethodGet:
		h.listModels(w)
	case r.URL.Path == completionsPath && r.Method == http.MethodPost:
		h.createCompletion(w, r)
	case r.URL.Path == completionsPath:
		w.Header().Set("Allow", http.MethodPost)
		h.reject(w, invalidRequest(http.StatusMethodNotAllowed, "method_not_allowed", "use POST"))
	default:
		h.reject(w, invalidRequest(http.StatusNotFound, "unknown_url", "no such resource: %s", r.URL.Path))
	}
}

// createCompletion handles one chat completion request, from reading its body to writing its final answer.
func (h *Handler) createCompletion(w http.ResponseWriter, r *http.Request) {
	x, invalid := h.newExchange(w, r)
	if invalid != nil {
		h.reject(w, invalid)
		return
	}
	w.Header().Set("X-Request-Id", x.dispatchRequest.Call.ID)
	if x.requiresKey {
		h.completeOnce(w, r, x)
		return
	}
	h.complete(r.Context(), w, x)
}

// model is OpenAI's model object.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelList is OpenAI's list object for models.
type modelList struct {
	Data   []model `json:"data"`
	Object string  `json:"object"`
}

func (h *Handler) listModels(w http.ResponseWriter) {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range h.config.modelNames() {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "rampspread"})
	}
	writeJSON(w, http.StatusOK, list)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		slog.Warn("encode_failed", "err", err)
		status, body = http.StatusInternalServerError, (&apiError{Message: "internal error", Type: serverErrorType}).body()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}
