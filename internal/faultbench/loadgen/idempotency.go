package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/faultbench/timing"
	"rampspread/internal/fleet/idempotencyquorum"
)

// IdempotencyReport counts the outcomes of requests with an idempotency key, each sent to the chat APIs of several
// dispatchers.
type IdempotencyReport struct {
	Keys          int                `json:"keys"`
	Executed      int                `json:"ran"`       // keys that began to execute at a decode replica
	ExecutedTwice int                `json:"ran_twice"` // keys that began to execute more than once
	Attempts      int                `json:"tries"`
	Answered      int                `json:"answered"`    // attempts that executed and got an answer
	Replayed      int                `json:"again"`       // attempts that got the answer of another attempt
	InProgress    int                `json:"told"`        // attempts refused: another one is in progress or may have run
	Unavailable   int                `json:"unavailable"` // attempts refused: no majority of record replicas
	Other         map[string]int     `json:"other"`       // attempts with another outcome, by outcome
	AnswerMS      map[string]float64 `json:"answer_ms"`   // percentiles of the time until an executed attempt's answer
	GrantMS       float64            `json:"claim_ms"`    // mean time until a record was granted, over dispatchers
	UnavailableMS map[string]float64 `json:"refused_ms"`  // percentiles of the time until a refusal without a majority
}

const (
	idempotentKeyRate  = 5.0 // new keys a second
	attemptsPerKey     = 3
	maxAttemptInterval = 400 * time.Millisecond // longest pause before the next attempt with the same key
	chatTimeout        = 20 * time.Second
	keysStream         = 0xf11e // stream of the random generator
	maxRecordedMS      = 60_000
)

// KeyPrefix is the prefix of each idempotency key that the clients draw.
const KeyPrefix = "key-"

// IdempotencyClients simulates clients that send requests with idempotency keys, and counts the outcomes.
type IdempotencyClients struct {
	config Config

	mu                    sync.Mutex
	totals                IdempotencyReport
	answered, unavailable *hdrhistogram.Histogram // ms
}

// NewIdempotencyClients returns clients that have sent nothing yet.
func NewIdempotencyClients(c Config) *IdempotencyClients {
	return &IdempotencyClients{config: c,
		totals:   IdempotencyReport{Other: map[string]int{}, AnswerMS: map[string]float64{}, UnavailableMS: map[string]float64{}},
		answered: hdrhistogram.New(1, maxRecordedMS, 3), unavailable: hdrhistogram.New(1, maxRecordedMS, 3)}
}

// Run sends requests with new keys at random times for a duration from begin on, and waits for all their attempts.
func (f *IdempotencyClients) Run(ctx context.Context, begin time.Time, duration time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	rng := rand.New(rand.NewPCG(f.config.Seed, keysStream))
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += scenario.Seconds(rng.ExpFloat64() / idempotentKeyRate)
		if at >= duration || timing.Sleep(ctx, time.Until(begin.Add(at))) != nil {
			return
		}
		key, keyRNG := fmt.Sprintf("%s%d-%x", KeyPrefix, n, rng.Uint64()), rand.New(rand.NewPCG(f.config.Seed, uint64(n)))
		f.mu.Lock()
		f.totals.Keys++
		f.mu.Unlock()
		wg.Go(func() { f.sendKey(ctx, key, keyRNG) })
	}
}

// sendKey sends a request with the same key to several dispatchers. Each attempt starts after a short pause, and some
// also wait for the answer to the one before.
func (f *IdempotencyClients) sendKey(ctx context.Context, key string, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for range attemptsPerKey {
		d := f.config.Front.Pick(rng.IntN(f.config.Zones))
		if d < 0 {
			f.countOther("unreachable")
		} else if rng.IntN(2) == 0 {
			wg.Go(func() { f.sendOnce(ctx, d, key) })
		} else {
			f.sendOnce(ctx, d, key)
		}
		if timing.Sleep(ctx, time.Duration(rng.Int64N(int64(maxAttemptInterval)))) != nil {
			return
		}
	}
}

func (f *IdempotencyClients) countOther(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.totals.Other[reason]++
}

// sendOnce sends the request with a key to one dispatcher and counts the outcome.
func (f *IdempotencyClients) sendOnce(ctx context.Context, d int, key string) {
	body := fmt.Sprintf(`{"model":"filing","messages":[{"role":"user","content":%q}]}`, key)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.config.Chat(d)+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Idempotency-Key", key)
	client := &http.Client{Timeout: chatTimeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return network.Dial(ctx, addr, f.config.Link(d))
		}}}
	from := time.Now()
	resp, err := client.Do(req)
	f.mu.Lock()
	f.totals.Attempts++
	f.mu.Unlock()
	if err != nil {
		f.countOther("lost")
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	took := time.Since(from).Milliseconds()
	var answer struct {
		Error struct{ Code string }
	}
	if err != nil || json.Unmarshal(text, &answer) != nil {
		f.countOther("lost")
		return
	}
	f.countAnswer(resp, answer.Error.Code, took)
}

// countAnswer counts a complete answer by its status and error code, and records the milliseconds that it took.
func (f *IdempotencyClients) countAnswer(resp *http.Response, code string, tookMS int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case resp.StatusCode == http.StatusOK && resp.Header.Get("Idempotent-Replayed") != "":
		f.totals.Replayed++
	case resp.StatusCode == http.StatusOK:
		f.totals.Answered++
		f.answered.RecordValue(max(tookMS, 1))
	case code == "filing_in_progress" || code == "filing_may_have_run":
		f.totals.InProgress++
	case code == "filings_unavailable":
		f.totals.Unavailable++
		f.unavailable.RecordValue(max(tookMS, 1))
	default:
		f.totals.Other[code]++
	}
}

// Report returns the report. It counts the executions that the decode replicas saw, and takes the times of grants from
// the status of the dispatchers.
func (f *IdempotencyClients) Report(events []history.Event, status []idempotencyquorum.Status) *IdempotencyReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	executed := map[string]int{}
	for _, e := range events {
		if e.Kind == history.ExecutionStarted && strings.Contains(e.Group, KeyPrefix) {
			executed[e.Group]++
		}
	}
	for _, n := range executed {
		f.totals.Executed++
		if n > 1 {
			f.totals.ExecutedTwice++
		}
	}
	addPercentiles(f.totals.AnswerMS, f.answered)
	addPercentiles(f.totals.UnavailableMS, f.unavailable)
	n := 0.0
	for _, s := range status {
		if s.Granted > 0 {
			f.totals.GrantMS += s.GrantMS
			n++
		}
	}
	if n > 0 {
		f.totals.GrantMS /= n
	}
	return &f.totals
}

func addPercentiles(out map[string]float64, h *hdrhistogram.Histogram) {
	for _, p := range []float64{50, 99} {
		if h.TotalCount() > 0 {
			out[fmt.Sprintf("p%v", p)] = float64(h.ValueAtQuantile(p))
		}
	}
}
