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
	"rampspread/internal/fleet/idempotencyquorum"
)

// Filings is what came of filings that clients sent with a key, each to several dispatchers, on the chat fronts.
type Filings struct {
	Keys        int                `json:"keys"`
	Ran         int                `json:"ran"`       // keys that began at a writer,
	Twice       int                `json:"ran_twice"` // or more often
	Tries       int                `json:"tries"`
	Answered    int                `json:"answered"`    // tries that ran and had their answer
	Again       int                `json:"again"`       // tries that had another try's answer
	Told        int                `json:"told"`        // that its first try is out, or may have run
	Unavailable int                `json:"unavailable"` // refused for want of a majority of keepers
	Other       map[string]int     `json:"other"`
	MS          map[string]float64 `json:"answer_ms"`  // to the answers of tries that ran
	ClaimMS     float64            `json:"claim_ms"`   // for which a claim waited, in the mean of all dispatchers' lives that ended well
	RefusedMS   map[string]float64 `json:"refused_ms"` // to the word that no majority answers
}

const (
	filingRate  = 5.0 // new keys a second
	filingTries = 3
	filingKeep  = 300.0 // s
)

// filer sends filings and counts what comes of them.
type filer struct {
	run *Run

	mu             sync.Mutex
	out            Filings
	answered, none *hdrhistogram.Histogram
}

func newFiler(r *Run) *filer {
	return &filer{run: r, out: Filings{Other: map[string]int{}, MS: map[string]float64{}, RefusedMS: map[string]float64{}},
		answered: hdrhistogram.New(1, 60_000, 3), none: hdrhistogram.New(1, 60_000, 3)}
}

// play sends new keys at random times until the day has ended, and waits for their tries.
func (f *filer) play(ctx context.Context, begin time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	rng := rand.New(rand.NewPCG(f.run.options.Seed, 0xf11e))
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += seconds(rng.ExpFloat64() / filingRate)
		if at >= seconds(f.run.scenario.Seconds) || sleep(ctx, time.Until(begin.Add(at))) != nil {
			return
		}
		key, own := fmt.Sprintf("key-%d-%x", n, rng.Uint64()), rand.New(rand.NewPCG(f.run.options.Seed, uint64(n)))
		f.mu.Lock()
		f.out.Keys++
		f.mu.Unlock()
		wg.Go(func() { f.file(ctx, key, own) })
	}
}

// file sends one key to several dispatchers: at once, a moment later, or once it was answered.
func (f *filer) file(ctx context.Context, key string, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for range filingTries {
		d := f.run.front.pick(rng.IntN(f.run.scenario.Zones))
		if d < 0 {
			f.count("unreachable")
		} else if rng.IntN(2) == 0 {
			wg.Go(func() { f.try(ctx, d, key) })
		} else {
			f.try(ctx, d, key)
		}
		if sleep(ctx, time.Duration(rng.Int64N(int64(400*time.Millisecond)))) != nil {
			return
		}
	}
}

func (f *filer) count(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.out.Other[what]++
}

// try sends a key's filing to one dispatcher.
func (f *filer) try(ctx context.Context, d int, key string) {
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
	f.out.Tries++
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
		f.out.Again++
	case resp.StatusCode == http.StatusOK:
		f.out.Answered++
		f.answered.RecordValue(max(took, 1))
	case answer.Error.Code == "filing_in_progress" || answer.Error.Code == "filing_may_have_run":
		f.out.Told++
	case answer.Error.Code == "filings_unavailable":
		f.out.Unavailable++
		f.none.RecordValue(max(took, 1))
	default:
		f.out.Other[answer.Error.Code]++
	}
}

// report counts what ran, by what the writers saw.
func (f *filer) report(events []history.Event, status []idempotencyquorum.Status) *Filings {
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := map[string]int{}
	for _, e := range events {
		if e.Kind == history.ExecutionStarted && strings.Contains(e.Group, "key-") {
			ran[e.Group]++
		}
	}
	for _, n := range ran {
		f.out.Ran++
		if n > 1 {
			f.out.Twice++
		}
	}
	for name, h := range map[string]*hdrhistogram.Histogram{"answered": f.answered, "none": f.none} {
		for _, p := range []float64{50, 99} {
			if h.TotalCount() > 0 && name == "answered" {
				f.out.MS[fmt.Sprintf("p%v", p)] = float64(h.ValueAtQuantile(p))
			} else if h.TotalCount() > 0 {
				f.out.RefusedMS[fmt.Sprintf("p%v", p)] = float64(h.ValueAtQuantile(p))
			}
		}
	}
	n := 0.0
	for _, s := range status {
		if s.Granted > 0 {
			f.out.ClaimMS += s.GrantMS
			n++
		}
	}
	if n > 0 {
		f.out.ClaimMS /= n
	}
	return &f.out
}

// Filings is a dispatcher's part in who may run filings.
func (r *Run) Filings(d int) (idempotencyquorum.Status, error) {
	return shown[idempotencyquorum.Status](r, d, "filings")
}
