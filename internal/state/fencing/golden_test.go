package fencing

import (
	"os"
	"path/filepath"
	"testing"

	"rampspread/internal/hostos"
	"rampspread/internal/testutil/golden"
)

const (
	goldenFileName = "lease.numbers"
	goldenObserved = 1 << 40
	goldenBound    = goldenObserved + 65536
)

// The file that commit 1ac8dd0 wrote is found under its name and read to the same bound, and the same bytes are
// written.
func TestGoldenFile(t *testing.T) {
	owner := Owner{Fleet: "golden-fleet", Name: "golden-name"}
	written := t.TempDir()
	floor := Open(hostos.Real(), written, owner)
	floor.Observe(goldenObserved)
	if err := floor.save(); err != nil {
		t.Fatal(err)
	}
	current, err := os.ReadFile(filepath.Join(written, goldenFileName))
	if err != nil {
		t.Fatal(err)
	}
	want := golden.SparseBytes(t, "lease.numbers.hex", current)
	existing := t.TempDir()
	if err := os.WriteFile(filepath.Join(existing, goldenFileName), want, 0o600); err != nil {
		t.Fatal(err)
	}
	if got := Open(hostos.Real(), existing, owner).Floor(); got != goldenBound {
		t.Errorf("read the bound %d, not %d", got, goldenBound)
	}
	for _, other := range []Owner{{Fleet: "other", Name: owner.Name}, {Fleet: owner.Fleet, Name: "other"}} {
		if got := Open(hostos.Real(), existing, other).Floor(); got != 0 {
			t.Errorf("%+v accepted another owner's bound %d", other, got)
		}
	}
}
