package fencing

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"rampspread/internal/system"
	"rampspread/internal/testkit"
)

var owner = Owner{"f", "n0"}

// lived is a life that saw a number, and whose bound came to the disk.
func lived(t *testing.T, dir string, number uint64) {
	t.Helper()
	n := Open(system.Real(), dir, owner)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.Run(ctx) }()
	n.Observe(number)
	testkit.Eventually(t, "the bound on the disk", func() bool { s, err := n.read(); return err == nil && s.Bound > max(number, n.Floor()) })
	stop()
	<-done
}

// Over any lives the floor is above all that was seen before, whenever a process was killed.
func TestNumbersGrowOverLives(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made")
	if n := Open(system.Real(), dir, owner); n.Floor() != 0 {
		t.Errorf("a first life begins at %d", n.Floor())
	}
	seen := uint64(0)
	for _, number := range []uint64{1, 40_000, 90_000, 3_000_000} {
		lived(t, dir, number)
		n := Open(system.Real(), dir, owner)
		if n.Floor() <= seen || n.Floor() < number {
			t.Errorf("after %d a life begins at %d", number, n.Floor())
		}
		seen = n.Floor()
	}
	if n := Open(system.Real(), dir, Owner{"f", "n1"}); n.Floor() != 0 {
		t.Errorf("another member begins at %d", n.Floor())
	}
}

// A spoilt file is refused whole.
func TestSpoiltNumbers(t *testing.T) {
	dir := t.TempDir()
	lived(t, dir, 5)
	path := filepath.Join(dir, fileName)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range good {
		for _, text := range [][]byte{good[:i], append(append(append([]byte{}, good[:i]...), good[i]^4), good[i+1:]...)} {
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
			if n := Open(system.Real(), dir, owner); n.Floor() != 0 {
				t.Fatalf("%d bytes, the last one off: begins at %d", len(text), n.Floor())
			}
		}
	}
}
