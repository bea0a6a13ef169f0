package process

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestReadCountersTakesLastLineAndMostGoroutines(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n0.log")
	log := "event=counters requests=3 goroutines=40\nevent=files\nevent=counters requests=7 goroutines=25\n"
	if err := os.WriteFile(path, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := readCounters(path); got["requests"] != 7 || got["goroutines"] != 40 {
		t.Errorf("read %v", got)
	}
	if got := readCounters(path + ".missing"); len(got) != 0 {
		t.Errorf("read %v from no log", got)
	}
}

func TestCPUTimeSkipsTheCommandsName(t *testing.T) {
	stat := "12 (a b) S 1 2 3 4 5 6 7 8 9 10 150 50 0"
	if got := cpuTime(stat); got != 2*time.Second {
		t.Errorf("read %v", got)
	}
	if got := cpuTime(""); got != 0 {
		t.Errorf("read %v from nothing", got)
	}
}
