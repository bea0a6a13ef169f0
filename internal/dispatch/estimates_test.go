package dispatch_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/hostos"
	"rampspread/internal/testutil"
	"rampspread/routing"
)

// lockedBuffer is a log buffer that several goroutines may use at once.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

// containsAll reports whether each text has been written.
func (b *lockedBuffer) containsAll(texts ...string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	written := b.buffer.String()
	for _, text := range texts {
		if !strings.Contains(written, text) {
			return false
		}
	}
	return true
}

// With ObservePrefills the end of each prefill attempt is logged with the request's ID, the replica's name, the
// observed result and the estimate.
func TestPrefillEstimatesAreLogged(t *testing.T) {
	var log lockedBuffer
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	upstream, dispatcher := startDispatcherWith(t, hostos.Real(), func(cfg *routing.Config) { cfg.ObservePrefills = true })
	dispatchAsync(t.Context(), dispatcher, nonIdempotentClass, time.Second)
	sent := <-upstream.sends
	sent.observer.Ended(dispatch.AttemptResult{Outcome: routing.PrefillDone, CachedTokens: 16})
	testutil.Eventually(t, "the prefill to be logged", func() bool {
		return log.containsAll("prefill_observed", "id=x", "server="+sent.endpoint, "outcome=read",
			"cached_tokens=16", "prompt_tokens=100", "expected_prefill_ms=")
	})
}
