package inflight

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"rampspread/internal/hostos"
)

// Processes of different versions that run at the same time read each other's folders, so the formats must not change.
// The values below have the formats that commit 1ac8dd0 wrote.
const goldenMarker = `{"Taken":{"Wall":1700000000000000001,"Boot":2000000000002,"BootID":"golden-boot"},"Ran":true}`

var (
	goldenMarkerForm = regexp.MustCompile(
		`^\{"Taken":\{"Wall":[1-9][0-9]*,"Boot":-?[1-9][0-9]*,"BootID":"[0-9a-f-]+"\},"Ran":(true|false)\}$`)
	goldenOwnDirForm = regexp.MustCompile(`^[0-9]+-[0-9a-z]+$`)
)

func TestGoldenMarkerContent(t *testing.T) {
	want := marker{
		AcquiredAt: hostos.Stamp{Wall: 1_700_000_000_000_000_001, Boot: 2_000_000_000_002, BootID: "golden-boot"},
		MayHaveRun: true,
	}
	var got marker
	if err := json.Unmarshal([]byte(goldenMarker), &got); err != nil || got != want {
		t.Errorf("read %+v, %v", got, err)
	}
	if content, err := json.Marshal(want); err != nil || string(content) != goldenMarker {
		t.Errorf("wrote %s, %v", content, err)
	}
}

// A marker is written in the fixed format. When it is read, its age is measured by the boot clock within one boot, by
// the wall clock after a reboot, and by the modification time of the file if the earliest version wrote it.
func TestGoldenMarkerFiles(t *testing.T) {
	table, err := Start(hostos.Real(), t.TempDir(), "golden", testRetention)
	if err != nil {
		t.Fatal(err)
	}
	defer table.lock.Close()
	path := filepath.Join(table.ownDir, "name")
	for _, ran := range []bool{false, true} {
		if err := table.writeMarker(path, time.Now().Add(-time.Hour), ran); err != nil {
			t.Fatal(err)
		}
		content, err := os.ReadFile(path)
		match := goldenMarkerForm.FindStringSubmatch(string(content))
		if err != nil || match == nil || match[1] != fmt.Sprint(ran) {
			t.Errorf("wrote %s, %v", content, err)
		}
		if info, err := os.Stat(path); err != nil || !nearlyEqual(time.Since(info.ModTime()), time.Hour) {
			t.Errorf("the file's modification time is wrong: %v", err)
		}
	}
	now := hostos.Now(hostos.Real())
	sameBoot := fmt.Sprintf(`{"Taken":{"Wall":1,"Boot":%d,"BootID":%q},"Ran":true}`, now.Boot-int64(time.Minute), now.BootID)
	otherBoot := fmt.Sprintf(`{"Taken":{"Wall":%d,"Boot":1,"BootID":"other"},"Ran":false}`, now.Wall-int64(time.Hour))
	for _, c := range []struct {
		name, content string
		want          markerState
	}{
		{"same boot", sameBoot, markerState{time.Minute, true}},
		{"other boot", otherBoot, markerState{time.Hour, false}},
		{"earliest, ended", "ran", markerState{2 * time.Hour, true}},
		{"earliest, not ended", "", markerState{2 * time.Hour, false}},
	} {
		if err := os.WriteFile(path, []byte(c.content), 0o600); err != nil {
			t.Fatal(err)
		}
		modified := time.Now().Add(-2 * time.Hour)
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
		got, err := table.readMarker(path)
		if err != nil || got.mayHaveRun != c.want.mayHaveRun || !nearlyEqual(got.age, c.want.age) {
			t.Errorf("%s: read %+v, %v", c.name, got, err)
		}
	}
}

// nearlyEqual compares durations with a tolerance for delays on a busy machine.
func nearlyEqual(got, want time.Duration) bool { return (got - want).Abs() < 20*time.Second }

func TestGoldenFileNames(t *testing.T) {
	dir := t.TempDir()
	table, err := Start(hostos.Real(), dir, "golden", testRetention)
	if err != nil {
		t.Fatal(err)
	}
	defer table.lock.Close()
	if got, want := table.sharedDir, filepath.Join(dir, "rampspread-dd56de4137951d9c.beside"); got != want {
		t.Errorf("the shared folder: %s, not %s", got, want)
	}
	own := filepath.Base(table.ownDir)
	if filepath.Dir(table.ownDir) != table.sharedDir || !goldenOwnDirForm.MatchString(own) ||
		!strings.HasPrefix(own, fmt.Sprint(os.Getpid(), "-")) {
		t.Errorf("the process's own folder: %s", table.ownDir)
	}
	if info, err := os.Stat(filepath.Join(table.ownDir, "lock")); err != nil || info.Size() != 0 {
		t.Errorf("the lock: %v", err)
	}
	if _, err := os.Stat(filepath.Join(table.ownDir, "shown")); err == nil {
		t.Error("a process without peers has the ready file")
	}
	other, err := Start(hostos.Real(), dir, "golden", testRetention)
	if err != nil {
		t.Fatal(err)
	}
	defer other.lock.Close()
	table.refresh()
	if info, err := os.Stat(filepath.Join(table.ownDir, "shown")); err != nil || info.Size() != 0 {
		t.Errorf("the ready file of a process with a peer: %v", err)
	}
	for kind, want := range map[Kind]string{
		Request:        "id-dd56de4137951d9c92681b03416ec15f",
		IdempotencyKey: "key-dd56de4137951d9c92681b03416ec15f",
	} {
		if got := markerFileName(kind, "golden"); got != want {
			t.Errorf("%s, not %s", got, want)
		}
	}
	if table.Acquire(Request, "golden") != Acquired {
		t.Error("a free name was not acquired")
	}
	if _, err := os.Stat(filepath.Join(table.ownDir, "id-dd56de4137951d9c92681b03416ec15f")); err != nil {
		t.Errorf("the marker of an acquired name: %v", err)
	}
}
