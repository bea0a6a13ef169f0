package inflight

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// shiftModTimes makes what is in a folder look as if the wall clock had been stepped by so much since it was written.
func shiftModTimes(t *testing.T, dir string, by time.Duration) {
	t.Helper()
	err := filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if err != nil {
			return err
		}
		at := info.ModTime().Add(-by)
		return os.Chtimes(path, at, at)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// A wall clock that is stepped, forward or back, ends nothing early: a filing that ran is known for as long as filings are remembered.
// Nor is it known for much longer.
func TestFilingsStayWhenTheClockSteps(t *testing.T) {
	for name, by := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			began := time.Now()
			first := startProcess(t, dir)
			first.request("take key- ran")
			first.request("ran ran")
			first.end()
			shiftModTimes(t, dir, by)
			second := startProcess(t, dir)
			if got := second.request("take key- ran"); got != claimText(MayHaveRun) && time.Since(began) < testRetention {
				t.Errorf("after the step: %s", got)
			}
			eventually(t, "its time to be over", func() bool { return second.request("take key- ran") == claimText(Acquired) })
		})
	}
}
