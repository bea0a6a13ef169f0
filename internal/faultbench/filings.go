package faultbench

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

// IdempotencyReport is what came of filings that clients sent with a key, each to several dispatchers, on the chat fronts.
type IdempotencyReport struct {
	Keys          int                `json:"keys"`
	Executed      int                `json:"ran"`       // keys that began at a writer,
	ExecutedTwice int                `json:"ran_twice"` // or more often
	Attempts      int                `json:"tries"`
	Answered      int                `json:"answered"`    // tries that ran and had their answer
	Replayed      int                `json:"again"`       // tries that had another try's answer
	InProgress    int                `json:"told"`        // that its first try is out, or may have run
	Unavailable   int                `json:"unavailable"` // refused for want of a majority of keepers
	Other         map[string]int     `json:"other"`
	AnswerMS      map[string]float64 `json:"answer_ms"`  // to the answers of tries that ran
	GrantMS       float64            `json:"claim_ms"`   // for which a claim waited, in the mean of all dispatchers' lives that ended well
	UnavailableMS map[string]float64 `json:"refused_ms"` // to the word that no majority answers
}

const (
	idempotentKeyRate = 5.0 // new keys a second
	attemptsPerKey    = 3
	recordRetentionS  = 300.0 // s
)

// idempotencyClients sends filings and counts what comes of them.
type idempotencyClients struct {
	run *Run

	mu                    sync.Mutex
	totals                IdempotencyReport
	answered, unavailable *hdrhistogram.Histogram
}

func newIdempotencyClients(r *Run) *idempotencyClients {
	return &idempotencyClients{run: r, totals: IdempotencyReport{Other: map[string]int{}, AnswerMS: map[string]float64{}, UnavailableMS: map[string]float64{}},
		answered: hdrhistogram.New(1, 60_000, 3), unavailable: hdrhistogram.New(1, 60_000, 3)}
}

// Run sends new keys at random times until the day has ended, and waits for their tries.
func (f *idempotencyClients) Run(ctx context.Context, begin time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	rng := rand.New(rand.NewPCG(f.run.options.Seed, 0xf11e))
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += scenario.Seconds(rng.ExpFloat64() / idempotentKeyRate)
		if at >= scenario.Seconds(f.run.scenario.Seconds) || timing.Sleep(ctx, time.Until(begin.Add(at))) != nil {
			return
		}
		key, own := fmt.Sprintf("key-%d-%x", n, rng.Uint64()), rand.New(rand.NewPCG(f.run.options.Seed, uint64(n)))
		f.mu.Lock()
		f.totals.Keys++
		f.mu.Unlock()
		wg.Go(func() { f.sendKey(ctx, key, own) })
	}
}

// sendKey sends one key to several dispatchers: at once, a moment later, or once it was answered.
func (f *idempotencyClients) sendKey(ctx context.Context, key string, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for range attemptsPerKey {
		d := f.run.front.pick(rng.IntN(f.run.scenario.Zones))
		if d < 0 {
			f.count("unreachable")
		} else if rng.IntN(2) == 0 {
			wg.Go(func() { f.sendOnce(ctx, d, key) })
		} else {
			f.sendOnce(ctx, d, key)
		}
		if timing.Sleep(ctx, time.Duration(rng.Int64N(int64(400*time.Millisecond)))) != nil {
			return
		}
	}
}

func (f *idempotencyClients) count(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.totals.Other[what]++
}

// sendOnce sends a key's filing to one dispatcher.
func (f *idempotencyClients) sendOnce(ctx context.Context, d int, key string) {
	body := fmt.Sprintf(`{"model":"filing","messages":[{"role":"user","content":%q}]}`, key)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.run.addrs.chat(d)+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Idempotency-Key", key)
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return network.Dial(ctx, addr, f.run.links.clients[d])
		}}}
	from := time.Now()
	resp, err := client.Do(req)
	f.mu.Lock()
	f.totals.Attempts++
	f.mu.Unlock()
	if err != nil {
		f.count("lost")
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	took := time.Since(from).Milliseconds()
	var answer struct {
		Error struct{ Code string }
	}
	if err != nil || json.Unmarshal(text, &answer) != nil {
		f.count("lost")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case resp.StatusCode == http.StatusOK && resp.Header.Get("Idempotent-Replayed") != "":
		f.totals.Replayed++
	case resp.StatusCode == http.StatusOK:
		f.totals.Answered++
		f.answered.RecordValue(max(took, 1))
	case answer.Error.Code == "filing_in_progress" || answer.Error.Code == "filing_may_have_run":
		f.totals.InProgress++
	case answer.Error.Code == "filings_unavailable":
		f.totals.Unavailable++
		f.unavailable.RecordValue(max(took, 1))
	default:
		f.totals.Other[answer.Error.Code]++
	}
}

// Report counts what ran, by what the writers saw.
func (f *idempotencyClients) Report(events []history.Event, status []idempotencyquorum.Status) *IdempotencyReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := map[string]int{}
	for _, e := range events {
		if e.Kind == history.ExecutionStarted && strings.Contains(e.Group, "key-") {
			ran[e.Group]++
		}
	}
	for _, n := range ran {
		f.totals.Executed++
		if n > 1 {
			f.totals.ExecutedTwice++
		}
	}
	for name, h := range map[string]*hdrhistogram.Histogram{"answered": f.answered, "none": f.unavailable} {
		for _, p := range []float64{50, 99} {
			if h.TotalCount() > 0 && name == "answered" {
				f.totals.AnswerMS[fmt.Sprintf("p%v", p)] = float64(h.ValueAtQuantile(p))
			} else if h.TotalCount() > 0 {
				f.totals.UnavailableMS[fmt.Sprintf("p%v", p)] = float64(h.ValueAtQuantile(p))
			}
		}
	}
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

// Filings is a dispatcher's part in who may run filings.
func (r *Run) Filings(d int) (idempotencyquorum.Status, error) {
	return adminStatus[idempotencyquorum.Status](r, d, "filings")
}
