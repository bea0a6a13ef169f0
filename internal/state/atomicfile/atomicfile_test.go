package atomicfile

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"rampspread/internal/hostos"
	"rampspread/internal/testutil"
)

// A disk that hangs or fails blocks only the goroutine of Run, which saves again once the disk recovers.
func TestSaverRetriesAfterFailures(t *testing.T) {
	var calls atomic.Int64
	unblock := make(chan bool)
	saver := NewSaver("test", func() error {
		if calls.Add(1) <= 2 {
			<-unblock
			return errors.New("disk full")
		}
		return nil
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); saver.Run(ctx) }()
	for range 1000 {
		saver.MarkDirty() // while the disk hangs
	}
	close(unblock)
	testutil.Eventually(t, "the save after two that failed", func() bool { return calls.Load() >= 3 })
	stop()
	<-done
}

// A replaced file has exactly the new content. If the new content cannot be written, the old file remains.
func TestReplaceIsAtomic(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	for i, body := range []string{"one", "another one", ""} {
		durability := Synced
		if i == 0 {
			durability = Unsynced
		}
		if err := Replace(hostos.Real(), path, Seal("m", []byte(body)), durability); err != nil {
			t.Fatal(err)
		}
		sealed, err := Read(path, 100)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Open("m", sealed); err != nil || string(got) != body {
			t.Errorf("read %q, %v", got, err)
		}
	}
	if _, err := Read(path, 3); !errors.Is(err, ErrCorrupt) {
		t.Errorf("a file that is too long: %v", err)
	}
	// If the new content cannot be written, the old file remains, without a temporary file.
	if err := Replace(hostos.Real(), filepath.Join(path, "no folder"), nil, Synced); err == nil {
		t.Error("Replace succeeded at a path below a file")
	}
	if files, _ := os.ReadDir(filepath.Dir(path)); len(files) != 1 {
		t.Errorf("%d files remain", len(files))
	}
}

func FuzzOpen(f *testing.F) {
	for _, broken := range testutil.CorruptedSeeds(12, string(Seal("magic\n", []byte("body")))) {
		f.Add([]byte(broken))
	}
	f.Fuzz(func(t *testing.T, sealed []byte) {
		if body, err := Open("magic\n", sealed); err == nil && string(Seal("magic\n", body)) != string(sealed) {
			t.Errorf("opened %q", sealed)
		}
	})
}
