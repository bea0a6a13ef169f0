package process

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against reports with counters of an earlier line, or without the peak number of goroutines.
func TestReadCountersTakesLastLineAndMostGoroutines(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n0.log")
	log := "event=counters requests=3 goroutines=40\nevent=files\nevent=counters requests=7 goroutines=25\n"
	if err := os.WriteFile(path, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := readCounters(path); got["requests"] != 7 || got["goroutines"] != 40 {
		t.Errorf("counters %v, want 7 requests and 40 goroutines", got)
	}
	if got := readCounters(path + ".missing"); len(got) != 0 {
		t.Errorf("counters %v from a missing log, want none", got)
	}
}

// Guards against a wrong CPU time when the command name contains a space, which shifts the fields.
func TestCPUTimeSkipsTheCommandsName(t *testing.T) {
	stat := "12 (a b) S 1 2 3 4 5 6 7 8 9 10 150 50 0"
	if got := cpuTime(stat); got != 2*time.Second {
		t.Errorf("CPU time %v, want 2s", got)
	}
	if got := cpuTime(""); got != 0 {
		t.Errorf("CPU time %v from an empty text, want 0", got)
	}
}
