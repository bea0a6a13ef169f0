package fencing

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"rampspread/internal/hostos"
	"rampspread/internal/testutil"
)

var testOwner = Owner{"f", "n0"}

// observeAndStore runs a TokenFloor that observes a token, until the bound is on disk.
func observeAndStore(t *testing.T, dir string, token uint64) {
	t.Helper()
	floor := Open(hostos.Real(), dir, testOwner)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); floor.Run(ctx) }()
	floor.Observe(token)
	testutil.Eventually(t, "the bound on the disk", func() bool {
		stored, err := floor.read()
		return err == nil && stored.Bound > max(token, floor.Floor())
	})
	stop()
	<-done
}

// After each restart the floor is greater than before, and not less than any token that was observed before.
func TestFloorGrowsOverRestarts(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made")
	if n := Open(hostos.Real(), dir, testOwner); n.Floor() != 0 {
		t.Errorf("the floor of the first process is %d", n.Floor())
	}
	previous := uint64(0)
	for _, token := range []uint64{1, 40_000, 90_000, 3_000_000} {
		observeAndStore(t, dir, token)
		n := Open(hostos.Real(), dir, testOwner)
		if n.Floor() <= previous || n.Floor() < token {
			t.Errorf("after %d the floor is %d", token, n.Floor())
		}
		previous = n.Floor()
	}
	if n := Open(hostos.Real(), dir, Owner{"f", "n1"}); n.Floor() != 0 {
		t.Errorf("the floor of another member is %d", n.Floor())
	}
}

// A file that is truncated or has a flipped bit in any byte is ignored.
func TestCorruptBoundIsRefused(t *testing.T) {
	dir := t.TempDir()
	observeAndStore(t, dir, 5)
	path := filepath.Join(dir, fileName)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range good {
		flipped := bytes.Clone(good)
		flipped[i] ^= 4
		for _, content := range [][]byte{good[:i], flipped} {
			if err := os.WriteFile(path, content, 0o600); err != nil {
				t.Fatal(err)
			}
			if n := Open(hostos.Real(), dir, testOwner); n.Floor() != 0 {
				t.Fatalf("byte %d of %d corrupt or cut: the floor is %d", i, len(content), n.Floor())
			}
		}
	}
}
