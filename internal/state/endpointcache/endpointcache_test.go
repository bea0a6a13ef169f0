package endpointcache

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rampspread/internal/system"
	"rampspread/internal/testkit"
)

var owner = Owner{Fleet: "f", Name: "n0", Discovery: "127.0.0.1:8500"}

func stored(at system.Stamp) Cached {
	return Cached{Owner: owner, SavedAt: at, Version: 7, Entries: []byte(`[{"instanceId":"s1"}]`)}
}

func TestSaveAndFind(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made")
	if _, err := Load(dir, owner, system.Now(system.Real())); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("in no folder: %v", err)
	}
	for version := range uint64(3) { // each replaces the one before
		l := stored(system.Now(system.Real()))
		l.Version = version
		if err := Save(system.Real(), dir, l); err != nil {
			t.Fatal(err)
		}
		if got, err := Load(dir, owner, system.Now(system.Real())); err != nil || got.Version != version || string(got.Entries) != string(l.Entries) {
			t.Errorf("found %+v, %v", got, err)
		}
	}
	if files, _ := os.ReadDir(dir); len(files) != 1 {
		t.Errorf("%d files are left", len(files))
	}
	for _, other := range []Owner{{"g", "n0", owner.Discovery}, {"f", "n1", owner.Discovery}, {"f", "n0", "127.0.0.1:8501"}} {
		if _, err := Load(dir, other, system.Now(system.Real())); !errors.Is(err, ErrUnusable) || strings.Contains(err.Error(), "\n") {
			t.Errorf("of %+v: %v", other, err)
		}
	}
}

// A file that is cut anywhere, or has any bit flipped, is refused whole.
func TestSpoiltListIsVoid(t *testing.T) {
	dir := t.TempDir()
	if err := Save(system.Real(), dir, stored(system.Now(system.Real()))); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, fileName)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	try := func(what string, text []byte) {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if l, err := Load(dir, owner, system.Now(system.Real())); !errors.Is(err, ErrUnusable) {
			t.Errorf("%s: %+v, %v", what, l, err)
		}
	}
	for i := range good {
		try("cut", good[:i])
		flipped := append([]byte{}, good...)
		flipped[i] ^= 1 << (i % 8)
		try("flipped", flipped)
	}
	try("longer than any", make([]byte, most+1))
	try("another format", []byte(strings.Replace(string(good), "list 1", "list 2", 1)))
}

// The age goes by the machine's own clock within one of its starts, and by the wall clock after another one.
func TestAge(t *testing.T) {
	hour := int64(time.Hour)
	saved := system.Stamp{Wall: 100 * hour, Boot: 5 * hour, BootID: "a"}
	for what, c := range map[string]struct {
		now  system.Stamp
		void bool
	}{
		"at once":                         {saved, false},
		"the wall clock set back an hour": {system.Stamp{Wall: 99 * hour, Boot: 5*hour + 1, BootID: "a"}, false},
		"and set forward":                 {system.Stamp{Wall: 900 * hour, Boot: 5*hour + 1, BootID: "a"}, false},
		"an hour and more later":          {system.Stamp{Wall: 100 * hour, Boot: 6*hour + 1, BootID: "a"}, true},
		"after a boot, soon":              {system.Stamp{Wall: 100*hour + 1, Boot: 1, BootID: "b"}, false},
		"after a boot, late":              {system.Stamp{Wall: 101*hour + 1, Boot: 1, BootID: "b"}, true},
		"after a boot, the wall set back": {system.Stamp{Wall: 99 * hour, Boot: 1, BootID: "b"}, true},
		"no own clock":                    {system.Stamp{Wall: 100*hour + 1, Boot: 0, BootID: ""}, false},
	} {
		dir := t.TempDir()
		if err := Save(system.Real(), dir, stored(saved)); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(dir, owner, c.now); errors.Is(err, ErrUnusable) != c.void || !c.void && err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
}

func FuzzFind(f *testing.F) {
	dir := f.TempDir()
	if err := Save(system.Real(), dir, stored(system.Now(system.Real()))); err != nil {
		f.Fatal(err)
	}
	path := filepath.Join(dir, fileName)
	good, err := os.ReadFile(path)
	if err != nil {
		f.Fatal(err)
	}
	for _, text := range testkit.Broken(11, string(good)) {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		at := filepath.Join(t.TempDir(), fileName)
		if err := os.WriteFile(at, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if l, err := Load(filepath.Dir(at), owner, system.Now(system.Real())); err == nil && l.Owner != owner {
			t.Errorf("took %+v", l)
		}
	})
}
