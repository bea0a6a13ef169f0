package faultbench

import (
	"context"
	"testing"

	"rampspread/internal/faultbench/scenario"
)

// Clients send requests with the same idempotency key to several dispatchers during kills, a partition, a pause and
// lost state. The decode replicas must see each key begin to execute at most once, and retries must get the first
// attempt's answer. Without the fleet's records the same count must find keys that executed twice, which proves that
// the test can detect them.
func TestIdempotentRequestsExecuteOnce(t *testing.T) {
	for _, fleetRecords := range []bool{true, false} {
		t.Run(map[bool]string{true: "kept", false: "each its own"}[fleetRecords], func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Load("filings")
			if err != nil {
				t.Fatal(err)
			}
			s.Seconds, s.Rate = 12, 6
			s.Faults = []scenario.Fault{{At: 2, Action: "kill", Fraction: 0.25, Duration: 1}, {At: 4, Action: "split", Sides: 2, Duration: 2}, {At: 5, Action: "kill", Fraction: 0.2, Duration: 1, LoseState: true},
				{At: 8, Action: "pause", Fraction: 0.5, Duration: 2}}
			if !fleetRecords {
				s.Seconds, s.Faults = 5, nil
			}
			r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: 4, Seed: 4, Fleet: fleetRecords, IdempotentRequests: fleetRecords, LocalIdempotency: !fleetRecords, SkipViews: true, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			f := r.Idempotency
			if f.Executed < 5 || f.Replayed == 0 || r.Crashes > 0 {
				t.Errorf("%d crashes, %+v", r.Crashes, f)
			}
			if fleetRecords && (f.ExecutedTwice > 0 || !r.Good()) || !fleetRecords && f.ExecutedTwice == 0 {
				t.Errorf("%d keys executed twice: %+v, %v", f.ExecutedTwice, f, r.violations)
			}
		})
	}
}

// A process is killed while a request with an idempotency key is in flight, and restarts alone with its state. It must
// answer a retry with an error that the request may have run, or with the answer that it had stored. No key may execute
// twice.
func TestIdempotentRequestAcrossRestart(t *testing.T) {
	t.Parallel()
	s, err := scenario.Load("filings")
	if err != nil {
		t.Fatal(err)
	}
	s.Seconds, s.Rate, s.Zones = 8, 4, 1
	s.Faults = []scenario.Fault{{At: 2, Action: "kill", Duration: 0.5}, {At: 5, Action: "kill", Duration: 0.5}}
	r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: 1, Seed: 5, Fleet: true, IdempotentRequests: true, SkipViews: true, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if f := r.Idempotency; f.ExecutedTwice > 0 || f.Executed < 5 || f.Replayed+f.InProgress == 0 || !r.Good() {
		t.Errorf("%+v, %v", f, r.violations)
	}
}
