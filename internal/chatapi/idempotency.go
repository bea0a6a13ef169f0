package chatapi

import (
	"context"
	"net/http"

	"rampspread/internal/fleet/idempotency"
)

const (
	maxKeyLength = 255 // limit of the length of an Idempotency-Key in bytes
	// keyRetrySeconds is the Retry-After time for a request that cannot run or be answered yet: the first attempt of
	// its key is in flight, its key cannot be decided on, or the key table is full.
	keyRetrySeconds = 1.0
)

// claim is the decision on a request's idempotency key.
type claim struct {
	result     claimResult
	completion *chatCompletion     // the first attempt's answer, set for claimAnswered
	attempt    idempotency.Attempt // the attempt to report to the store, set for claimGranted if there is a store
}

// completeOnce handles a request that must not run twice. Its key determines whether it runs, is answered with the
// answer of its first attempt, or is rejected.
func (h *Handler) completeOnce(w http.ResponseWriter, r *http.Request, x *exchange) {
	x.dispatchRequest.RunToCompletion = true
	key := r.Header.Get("Idempotency-Key")
	if key == "" || len(key) > maxKeyLength {
		h.reject(w, invalidRequest(http.StatusBadRequest, "idempotency_key_missing",
			"a filing must carry an Idempotency-Key of at most 255 characters"))
		return
	}
	switch decision := h.claimKey(x, key); decision.result {
	case claimGranted:
		h.runFirstAttempt(r.Context(), w, x, key, decision.attempt)
	case claimAnswered:
		w.Header().Set("Idempotent-Replayed", "true")
		replay(w, x, decision.completion)
	case claimInProgress:
		setRetryAfter(w, keyRetrySeconds)
		h.reject(w, invalidRequest(http.StatusConflict, "filing_in_progress", "the first try of this filing is still out"))
	case claimMayHaveRun:
		// The header tells clients not to retry automatically, since no retry can run.
		w.Header().Set("X-Should-Retry", "false")
		h.reject(w, invalidRequest(http.StatusConflict, "filing_may_have_run",
			"the first try of this filing may have run; it is not run again"))
	case claimKeyReused:
		h.reject(w, invalidRequest(http.StatusUnprocessableEntity, "idempotency_key_reused",
			"this Idempotency-Key stands for another request"))
	case claimUnavailable:
		setRetryAfter(w, keyRetrySeconds)
		writeError(w, &apiError{status: http.StatusServiceUnavailable, Type: serverErrorType, Code: "filings_unavailable",
			Message: "who may run a filing cannot be asked now; nothing was run"})
	default: // claimTableFull
		setRetryAfter(w, keyRetrySeconds)
		h.reject(w, &apiError{status: http.StatusServiceUnavailable, Type: serverErrorType, Code: "filings_full",
			Message: "too many filings are remembered; nothing was run"})
	}
}

// claimKey decides on a key. It uses this process's table, and the peer processes and the store for a key that is new
// to the table.
func (h *Handler) claimKey(x *exchange, key string) claim {
	result, completion := h.keys.claim(key, x.dispatchRequest.Call.Body)
	if result == claimGranted {
		return h.claimFromPeersAndStore(x, key)
	}
	return claim{result: result, completion: completion}
}

// runFirstAttempt runs the first attempt of a key. If the client disconnects, a request that was already sent to a
// decode replica runs to its end, so that a retry can be answered; no further attempt begins.
func (h *Handler) runFirstAttempt(
	client context.Context, w http.ResponseWriter, x *exchange, key string, attempt idempotency.Attempt,
) {
	result := runResult{mayHaveRun: true} // recorded if the call below panics
	defer func() { h.recordResult(key, attempt, result) }()
	result = h.complete(client, w, x)
}

// replay writes the answer of a key's first attempt as the answer to a retry.
func replay(w http.ResponseWriter, x *exchange, completion *chatCompletion) {
	if !x.request.Stream {
		writeJSON(w, http.StatusOK, completion)
		return
	}
	first := *x
	first.id, first.created = completion.ID, completion.Created
	out := newEventWriter(w, &first)
	out.begin()
	choice := completion.Choices[0]
	out.writeChunk(&chatCompletionChunk{Choices: []chunkChoice{{Delta: delta{Content: choice.Message.Content}}}})
	out.writeChunk(&chatCompletionChunk{Choices: []chunkChoice{{FinishReason: choice.FinishReason}}})
	if x.request.StreamOptions.IncludeUsage && completion.Usage != nil {
		out.writeChunk(&chatCompletionChunk{Choices: []chunkChoice{}, Usage: completion.Usage})
	}
	out.end()
}
