package endpointcache

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"rampspread/internal/hostos"
	"rampspread/internal/testutil/golden"
)

const goldenFileName = "newest.list"

var goldenList = CachedList{
	Owner:   Owner{Fleet: "golden-fleet", Name: "golden-name", Discovery: "192.0.2.1:8500"},
	SavedAt: hostos.Stamp{Wall: 1_700_000_000_000_000_001, Boot: 2_000_000_000_002, BootID: "golden-boot"},
	Version: 1<<63 + 3,
	Entries: []byte(`[{"instanceId":"s1","cell":4}]`),
}

// The file that commit 1ac8dd0 wrote is found under its name and read to the same values, and the same bytes are
// written.
func TestGoldenFile(t *testing.T) {
	written := t.TempDir()
	if err := Save(hostos.Real(), written, goldenList); err != nil {
		t.Fatal(err)
	}
	current, err := os.ReadFile(filepath.Join(written, goldenFileName))
	if err != nil {
		t.Fatal(err)
	}
	want := golden.SparseBytes(t, "newest.list.hex", current)
	existing := t.TempDir()
	if err := os.WriteFile(filepath.Join(existing, goldenFileName), want, 0o600); err != nil {
		t.Fatal(err)
	}
	now := goldenList.SavedAt
	now.Boot++
	if got, err := Load(existing, goldenList.Owner, now); err != nil || !reflect.DeepEqual(got, goldenList) {
		t.Errorf("read %+v, %v", got, err)
	}
}
