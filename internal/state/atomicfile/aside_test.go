package atomicfile

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"rampspread/internal/system"
	"rampspread/internal/testkit"
)

// TestMain is also a process that writes a file again and again until it is killed.
func TestMain(m *testing.M) {
	if path := os.Getenv("WHOLE_PATH"); path != "" {
		for {
			if err := Replace(system.Real(), path, make([]byte, 1<<20), true); err != nil {
				os.Exit(1)
			}
		}
	}
	os.Exit(m.Run())
}

// What processes that were killed in the middle of a write left beside the file does not pile up.
func TestKillsLeaveLittle(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "file")
	for range 12 {
		p := exec.Command(os.Args[0])
		p.Env = append(os.Environ(), "WHOLE_PATH="+path)
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		testkit.Eventually(t, "its first file", func() bool { _, err := os.Stat(path); return err == nil })
		time.Sleep(20 * time.Millisecond) // into some later write
		p.Process.Kill()
		p.Wait()
	}
	if err := Replace(system.Real(), path, []byte("last"), true); err != nil {
		t.Fatal(err)
	}
	left, err := os.ReadDir(dir)
	if err != nil || len(left) > 1 {
		t.Errorf("%d files are left, %v", len(left), err)
	}
}
