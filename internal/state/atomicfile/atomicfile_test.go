package atomicfile

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"rampspread/internal/system"
	"rampspread/internal/testkit"
)

// A disk that hangs or fails holds up nobody but the keeper, and takes the newest list once it can.
func TestKeeper(t *testing.T) {
	var calls atomic.Int64
	let := make(chan bool)
	k := NewSaver("it", func() error {
		if calls.Add(1) <= 2 {
			<-let
			return errors.New("no room")
		}
		return nil
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); k.Run(ctx) }()
	for range 1000 {
		k.MarkDirty() // while the disk hangs
	}
	close(let)
	testkit.Eventually(t, "the save after two that failed", func() bool { return calls.Load() >= 3 })
	stop()
	<-done
}

// What a write leaves is the whole of one of the two, whenever it ends: the name changes hands last.
func TestReplaceIsWhole(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	for i, body := range []string{"one", "another one", ""} {
		if err := Replace(system.Real(), path, Seal("m", []byte(body)), i > 0); err != nil {
			t.Fatal(err)
		}
		text, err := Read(path, 100)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Open("m", text); err != nil || string(got) != body {
			t.Errorf("read %q, %v", got, err)
		}
	}
	if _, err := Read(path, 3); !errors.Is(err, ErrCorrupt) {
		t.Errorf("a file that is too long: %v", err)
	}
	// Where the new one cannot be written the old one stays, and nothing is left beside it.
	if err := Replace(system.Real(), filepath.Join(path, "no folder"), nil, true); err == nil {
		t.Error("written below a file")
	}
	if files, _ := os.ReadDir(filepath.Dir(path)); len(files) != 1 {
		t.Errorf("%d files are left", len(files))
	}
}

func FuzzOpen(f *testing.F) {
	for _, text := range testkit.Broken(12, string(Seal("magic\n", []byte("body")))) {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if body, err := Open("magic\n", text); err == nil && string(Seal("magic\n", body)) != string(text) {
			t.Errorf("opened %q", text)
		}
	})
}
