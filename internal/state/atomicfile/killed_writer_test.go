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

// writerPathVariable makes the test program a process that replaces the file which it names.
const writerPathVariable = "ATOMICFILE_WRITER_PATH"

// TestMain also runs a process that replaces a file again and again until it is killed.
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

// The temporary files of processes that were killed in the middle of a write do not pile up.
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
		time.Sleep(20 * time.Millisecond) // into some later write
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
