package endpointcache

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rampspread/internal/hostos"
	"rampspread/internal/testutil"
)

var testOwner = Owner{Fleet: "f", Name: "n0", Discovery: "127.0.0.1:8500"}

func testList(at hostos.Stamp) CachedList {
	return CachedList{Owner: testOwner, SavedAt: at, Version: 7, Entries: []byte(`[{"instanceId":"s1"}]`)}
}

// A saved list replaces the previous list, and only its owner can load it.
func TestSavedListIsLoadedByItsOwnerOnly(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made")
	if _, err := Load(dir, testOwner, hostos.Now(hostos.Real())); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("without a folder: %v", err)
	}
	for version := range uint64(3) { // each list replaces the previous one
		list := testList(hostos.Now(hostos.Real()))
		list.Version = version
		if err := Save(hostos.Real(), dir, list); err != nil {
			t.Fatal(err)
		}
		got, err := Load(dir, testOwner, hostos.Now(hostos.Real()))
		if err != nil || got.Version != version || string(got.Entries) != string(list.Entries) {
			t.Errorf("loaded %+v, %v", got, err)
		}
	}
	if files, _ := os.ReadDir(dir); len(files) != 1 {
		t.Errorf("%d files remain", len(files))
	}
	others := []Owner{{"g", "n0", testOwner.Discovery}, {"f", "n1", testOwner.Discovery}, {"f", "n0", "127.0.0.1:8501"}}
	for _, other := range others {
		_, err := Load(dir, other, hostos.Now(hostos.Real()))
		if !errors.Is(err, ErrUnusable) || strings.Contains(err.Error(), "\n") {
			t.Errorf("loaded by %+v: %v", other, err)
		}
	}
}

// A file that is truncated anywhere, or has a flipped bit in any byte, is refused.
func TestCorruptListIsUnusable(t *testing.T) {
	dir := t.TempDir()
	if err := Save(hostos.Real(), dir, testList(hostos.Now(hostos.Real()))); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, fileName)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	load := func(condition string, content []byte) {
		t.Helper()
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		if list, err := Load(dir, testOwner, hostos.Now(hostos.Real())); !errors.Is(err, ErrUnusable) {
			t.Errorf("%s: %+v, %v", condition, list, err)
		}
	}
	for i := range good {
		load("cut", good[:i])
		flipped := append([]byte{}, good...)
		flipped[i] ^= 1 << (i % 8)
		load("flipped", flipped)
	}
	load("too long", make([]byte, maxBytes+1))
	load("another format", []byte(strings.Replace(string(good), "list 1", "list 2", 1)))
}

// The age of a list is measured by the boot clock within one boot of the machine, and by the wall clock after a reboot.
func TestListIsUsableByAge(t *testing.T) {
	hour := int64(time.Hour)
	saved := hostos.Stamp{Wall: 100 * hour, Boot: 5 * hour, BootID: "a"}
	for name, c := range map[string]struct {
		now      hostos.Stamp
		unusable bool
	}{
		"at once":                                 {saved, false},
		"the wall clock set back an hour":         {hostos.Stamp{Wall: 99 * hour, Boot: 5*hour + 1, BootID: "a"}, false},
		"the wall clock set forward":              {hostos.Stamp{Wall: 900 * hour, Boot: 5*hour + 1, BootID: "a"}, false},
		"an hour and more later":                  {hostos.Stamp{Wall: 100 * hour, Boot: 6*hour + 1, BootID: "a"}, true},
		"after a reboot, soon":                    {hostos.Stamp{Wall: 100*hour + 1, Boot: 1, BootID: "b"}, false},
		"after a reboot, late":                    {hostos.Stamp{Wall: 101*hour + 1, Boot: 1, BootID: "b"}, true},
		"after a reboot, the wall clock set back": {hostos.Stamp{Wall: 99 * hour, Boot: 1, BootID: "b"}, true},
		"no boot clock":                           {hostos.Stamp{Wall: 100*hour + 1, Boot: 0, BootID: ""}, false},
	} {
		dir := t.TempDir()
		if err := Save(hostos.Real(), dir, testList(saved)); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(dir, testOwner, c.now); errors.Is(err, ErrUnusable) != c.unusable || !c.unusable && err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzLoad(f *testing.F) {
	dir := f.TempDir()
	if err := Save(hostos.Real(), dir, testList(hostos.Now(hostos.Real()))); err != nil {
		f.Fatal(err)
	}
	path := filepath.Join(dir, fileName)
	good, err := os.ReadFile(path)
	if err != nil {
		f.Fatal(err)
	}
	for _, broken := range testutil.CorruptedSeeds(11, string(good)) {
		f.Add([]byte(broken))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		path := filepath.Join(t.TempDir(), fileName)
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		if list, err := Load(filepath.Dir(path), testOwner, hostos.Now(hostos.Real())); err == nil && list.Owner != testOwner {
			t.Errorf("loaded %+v", list)
		}
	})
}
