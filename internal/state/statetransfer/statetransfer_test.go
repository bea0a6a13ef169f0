package statetransfer

import (
	"context"
	"errors"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"rampspread/internal/system"
	"rampspread/internal/testkit"
	"rampspread/routing"
)

func beliefs(at time.Duration) routing.Snapshot {
	return routing.Snapshot{TakenAt: at, CommonQueueDelay: routing.DecayedMean{Sum: 3, Count: 2, At: at}, Prefixes: []routing.PrefixCacheEntry{{Key: 7, Endpoint: 8, Tokens: 9, UpdatedAt: at}},
		Endpoints: []routing.EndpointStats{{ID: 8, Health: []routing.EWMA{{Value: 0.5, At: at}}}}}
}

// What one leaves the next finds, whole; what is spoilt, cut, another member's or of other settings is void, and never a panic.
func TestLeaveAndFind(t *testing.T) {
	p := Exchange{Machine: system.Real(), Dir: t.TempDir(), Name: "n/0", Settings: 5}
	if _, err := p.Read(); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("nothing was left: %v", err)
	}
	if err := p.Write(beliefs(time.Hour)); err != nil {
		t.Fatal(err)
	}
	b, err := p.Read()
	if err != nil || b.TakenAt != time.Hour || b.Prefixes[0].Tokens != 9 || b.Endpoints[0].Health[0].Value != 0.5 || b.CommonQueueDelay.Sum != 3 {
		t.Fatalf("%+v, %v", b, err)
	}
	for _, other := range []Exchange{{p.Dir, "n/0", 6, p.Machine}, {p.Dir, "n_0", 5, p.Machine}} { // the second has the same file
		if _, err := other.Read(); !errors.Is(err, ErrUnusable) {
			t.Errorf("%+v: %v", other, err)
		}
	}
	good, err := os.ReadFile(p.file(".beliefs"))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range good {
		if _, err := p.Decode(good[:cut]); !errors.Is(err, ErrUnusable) {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		spoilt := append([]byte(nil), good...)
		spoilt[cut] ^= 0x10
		if _, err := p.Decode(spoilt); !errors.Is(err, ErrUnusable) || strings.Contains(err.Error(), "\n") {
			t.Fatalf("byte %d changed: %v", cut, err)
		}
	}
	left, _ := os.ReadDir(p.Dir)
	if len(left) != 1 {
		t.Errorf("%d files are left", len(left))
	}
}

// One that starts asks, and one that serves answers with what it knows then; with nobody there it goes on after a while.
func TestAskAndAnswer(t *testing.T) {
	p := Exchange{Machine: system.Real(), Dir: t.TempDir(), Name: "n0"}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	if err := p.Write(beliefs(time.Second)); err != nil { // of an earlier life
		t.Fatal(err)
	}
	wg.Go(func() { p.Serve(ctx, func() (routing.Snapshot, bool) { return beliefs(time.Minute), true }) })
	var got []time.Duration
	p.Request(ctx, func(b routing.Snapshot) { got = append(got, b.TakenAt) })
	if len(got) != 2 || got[0] != time.Second || got[1] != time.Minute {
		t.Errorf("found %v", got)
	}
	alone := Exchange{Machine: system.Real(), Dir: t.TempDir(), Name: "n1"}
	from := time.Now()
	alone.Request(ctx, func(routing.Snapshot) { t.Error("something was found") })
	if took := time.Since(from); took > askFor+time.Second {
		t.Errorf("alone it asked for %v", took)
	}
	if _, err := os.Stat(alone.file(".ask")); err == nil {
		t.Error("the question is still there")
	}
	testkit.Eventually(t, "no question of the first", func() bool { _, err := os.Stat(p.file(".ask")); return err != nil })
	(Exchange{Machine: system.Real(), Dir: "/dev/null/none", Name: "x"}).Request(ctx, func(routing.Snapshot) { t.Error("something was found") })
}

func FuzzDecode(f *testing.F) {
	p := Exchange{Name: "n0"}
	text, err := p.Encode(beliefs(1))
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range testkit.Broken(6, string(text)) {
		f.Add([]byte(s))
	}
	f.Fuzz(func(_ *testing.T, b []byte) { p.Decode(b) })
}

func BenchmarkEncode(b *testing.B) {
	in := beliefs(1)
	for i := range MaxPrefixes {
		in.Prefixes = append(in.Prefixes, routing.PrefixCacheEntry{Key: routing.Key(i) << 40, Endpoint: 5, Tokens: 3000, UpdatedAt: time.Hour})
	}
	text, _ := Exchange{}.Encode(in)
	b.ReportMetric(float64(len(text)), "bytes")
	for b.Loop() {
		if _, err := (Exchange{}).Encode(in); err != nil {
			b.Fatal(err)
		}
	}
}
