package statetransfer

import (
	"bytes"
	"context"
	"errors"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"rampspread/internal/hostos"
	"rampspread/internal/testutil"
	"rampspread/routing"
)

func testSnapshot(at time.Duration) routing.Snapshot {
	return routing.Snapshot{
		TakenAt:          at,
		CommonQueueDelay: routing.DecayedMean{Sum: 3, Count: 2, At: at},
		Prefixes:         []routing.PrefixCacheEntry{{Key: 7, Endpoint: 8, Tokens: 9, UpdatedAt: at}},
		Endpoints:        []routing.EndpointStats{{ID: 8, Health: []routing.EWMA{{Value: 0.5, At: at}}}},
	}
}

// A written snapshot is read completely. A snapshot that is corrupt, truncated, from another member or from other
// settings is unusable, and does not cause a panic.
func TestWrittenSnapshotIsReadAndOthersAreUnusable(t *testing.T) {
	exchange := Exchange{Machine: hostos.Real(), Dir: t.TempDir(), Name: "n/0", Settings: 5}
	if _, err := exchange.Read(); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("before the first write: %v", err)
	}
	if err := exchange.Write(testSnapshot(time.Hour)); err != nil {
		t.Fatal(err)
	}
	got, err := exchange.Read()
	if err != nil || got.TakenAt != time.Hour || got.Prefixes[0].Tokens != 9 || got.Endpoints[0].Health[0].Value != 0.5 ||
		got.CommonQueueDelay.Sum != 3 {
		t.Fatalf("%+v, %v", got, err)
	}
	otherSettings, otherName := exchange, exchange
	otherSettings.Settings = 6
	otherName.Name = "n_0" // has the same file name as "n/0"
	for _, other := range []Exchange{otherSettings, otherName} {
		if _, err := other.Read(); !errors.Is(err, ErrUnusable) {
			t.Errorf("%+v: %v", other, err)
		}
	}
	good, err := os.ReadFile(exchange.path(snapshotExtension))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range good {
		if _, err := exchange.Decode(good[:cut]); !errors.Is(err, ErrUnusable) {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		corrupt := bytes.Clone(good)
		corrupt[cut] ^= 0x10
		if _, err := exchange.Decode(corrupt); !errors.Is(err, ErrUnusable) || strings.Contains(err.Error(), "\n") {
			t.Fatalf("byte %d changed: %v", cut, err)
		}
	}
	files, _ := os.ReadDir(exchange.Dir)
	if len(files) != 1 {
		t.Errorf("%d files remain", len(files))
	}
}

// A request restores the existing snapshot and then a current one from the process that serves. If no process serves,
// it ends after a timeout.
func TestRequestIsAnsweredOrTimesOut(t *testing.T) {
	exchange := Exchange{Machine: hostos.Real(), Dir: t.TempDir(), Name: "n0"}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	if err := exchange.Write(testSnapshot(time.Second)); err != nil { // by an earlier process
		t.Fatal(err)
	}
	wg.Go(func() {
		exchange.Serve(ctx, func() (routing.Snapshot, bool) { return testSnapshot(time.Minute), true })
	})
	var restored []time.Duration
	exchange.Request(ctx, func(s routing.Snapshot) { restored = append(restored, s.TakenAt) })
	if len(restored) != 2 || restored[0] != time.Second || restored[1] != time.Minute {
		t.Errorf("restored %v", restored)
	}
	alone := Exchange{Machine: hostos.Real(), Dir: t.TempDir(), Name: "n1"}
	start := time.Now()
	alone.Request(ctx, func(routing.Snapshot) { t.Error("a snapshot was restored") })
	if took := time.Since(start); took > answerTimeout+time.Second {
		t.Errorf("with nobody serving the request took %v", took)
	}
	if _, err := os.Stat(alone.path(requestExtension)); err == nil {
		t.Error("the request was not removed")
	}
	testutil.Eventually(t, "the first request to be removed", func() bool {
		_, err := os.Stat(exchange.path(requestExtension))
		return err != nil
	})
	withoutDir := Exchange{Machine: hostos.Real(), Dir: "/dev/null/none", Name: "x"}
	withoutDir.Request(ctx, func(routing.Snapshot) { t.Error("a snapshot was restored") })
}

func FuzzDecode(f *testing.F) {
	exchange := Exchange{Name: "n0"}
	encoded, err := exchange.Encode(testSnapshot(1))
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range testutil.CorruptedSeeds(6, string(encoded)) {
		f.Add([]byte(s))
	}
	f.Fuzz(func(_ *testing.T, b []byte) { exchange.Decode(b) })
}

func BenchmarkEncode(b *testing.B) {
	snapshot := testSnapshot(1)
	for i := range MaxPrefixes {
		entry := routing.PrefixCacheEntry{Key: routing.Key(i) << 40, Endpoint: 5, Tokens: 3000, UpdatedAt: time.Hour}
		snapshot.Prefixes = append(snapshot.Prefixes, entry)
	}
	encoded, _ := Exchange{}.Encode(snapshot)
	b.ReportMetric(float64(len(encoded)), "bytes")
	for b.Loop() {
		if _, err := (Exchange{}).Encode(snapshot); err != nil {
			b.Fatal(err)
		}
	}
}
