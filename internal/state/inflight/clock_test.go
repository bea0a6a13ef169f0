package inflight

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"

	"rampspread/internal/testutil"
)

// shiftModTimes changes the modification times in a folder as if the wall clock had been stepped since the files were
// written.
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

// A step of the wall clock, forward or back, neither shortens the retention of an idempotency key that ran nor extends
// it by much.
func TestRetentionOfKeysIgnoresWallClockSteps(t *testing.T) {
	for name, by := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			acquiredAt := time.Now()
			first := startProcess(t, dir)
			first.request("acquire key- ran")
			first.request("may-have-run ran")
			first.end()
			shiftModTimes(t, dir, by)
			second := startProcess(t, dir)
			if got := second.request("acquire key- ran"); got != claimText(MayHaveRun) && time.Since(acquiredAt) < testRetention {
				t.Errorf("after the step: %s", got)
			}
			testutil.Eventually(t, "its retention to end", func() bool { return second.request("acquire key- ran") == claimText(Acquired) })
		})
	}
}
