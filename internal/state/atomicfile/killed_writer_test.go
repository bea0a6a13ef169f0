package atomicfile

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"rampspread/internal/hostos"
	"rampspread/internal/testutil"
)

// writerPathVariable is an environment variable. If it holds a path, the test program replaces the file at that path
// instead of running tests.
const writerPathVariable = "ATOMICFILE_WRITER_PATH"

// TestMain runs the tests or, if writerPathVariable is set, replaces a file repeatedly until the process is killed.
func TestMain(m *testing.M) {
	if path := os.Getenv(writerPathVariable); path != "" {
		for {
			if err := Replace(hostos.Real(), path, make([]byte, 1<<20), Synced); err != nil {
				os.Exit(1)
			}
		}
	}
	os.Exit(m.Run())
}

// Temporary files of processes that were killed during a write do not accumulate.
func TestKilledWritersLeaveOneFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "file")
	for range 12 {
		writer := exec.Command(os.Args[0])
		writer.Env = append(os.Environ(), writerPathVariable+"="+path)
		if err := writer.Start(); err != nil {
			t.Fatal(err)
		}
		testutil.Eventually(t, "its first file", func() bool { _, err := os.Stat(path); return err == nil })
		time.Sleep(20 * time.Millisecond) // so that the kill interrupts a later write
		writer.Process.Kill()
		writer.Wait()
	}
	if err := Replace(hostos.Real(), path, []byte("last"), Synced); err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir(dir)
	if err != nil || len(files) > 1 {
		t.Errorf("%d files remain, %v", len(files), err)
	}
}
