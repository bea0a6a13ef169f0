package newest

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rampspread/internal/testkit"
)

var owner = Owner{Fleet: "f", Name: "n0", Discovery: "127.0.0.1:8500"}

func stored(at Clock) List {
	return List{Owner: owner, At: at, Version: 7, Entries: []byte(`[{"instanceId":"s1"}]`)}
}

func TestSaveAndFind(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made")
	if _, err := Find(dir, owner, Now()); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("in no folder: %v", err)
	}
	for version := range uint64(3) { // each replaces the one before
		l := stored(Now())
		l.Version = version
		if err := Save(dir, l); err != nil {
			t.Fatal(err)
		}
		if got, err := Find(dir, owner, Now()); err != nil || got.Version != version || string(got.Entries) != string(l.Entries) {
			t.Errorf("found %+v, %v", got, err)
		}
	}
	if files, _ := os.ReadDir(dir); len(files) != 1 {
		t.Errorf("%d files are left", len(files))
	}
	for _, other := range []Owner{{"g", "n0", owner.Discovery}, {"f", "n1", owner.Discovery}, {"f", "n0", "127.0.0.1:8501"}} {
		if _, err := Find(dir, other, Now()); !errors.Is(err, ErrVoid) || strings.Contains(err.Error(), "\n") {
			t.Errorf("of %+v: %v", other, err)
		}
	}
}

// A file that is cut anywhere, or has any bit flipped, is refused whole.
func TestSpoiltListIsVoid(t *testing.T) {
	dir := t.TempDir()
	if err := Save(dir, stored(Now())); err != nil {
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
		if l, err := Find(dir, owner, Now()); !errors.Is(err, ErrVoid) {
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
	saved := Clock{Wall: 100 * hour, Boot: 5 * hour, BootID: "a"}
	for what, c := range map[string]struct {
		now  Clock
		void bool
	}{
		"at once":                         {saved, false},
		"the wall clock set back an hour": {Clock{99 * hour, 5*hour + 1, "a"}, false},
		"and set forward":                 {Clock{900 * hour, 5*hour + 1, "a"}, false},
		"an hour and more later":          {Clock{100 * hour, 6*hour + 1, "a"}, true},
		"after a boot, soon":              {Clock{100*hour + 1, 1, "b"}, false},
		"after a boot, late":              {Clock{101*hour + 1, 1, "b"}, true},
		"after a boot, the wall set back": {Clock{99 * hour, 1, "b"}, true},
		"no own clock":                    {Clock{100*hour + 1, 0, ""}, false},
	} {
		dir := t.TempDir()
		if err := Save(dir, stored(saved)); err != nil {
			t.Fatal(err)
		}
		if _, err := Find(dir, owner, c.now); errors.Is(err, ErrVoid) != c.void || !c.void && err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
}

func FuzzFind(f *testing.F) {
	dir := f.TempDir()
	if err := Save(dir, stored(Now())); err != nil {
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
		if l, err := Find(filepath.Dir(at), owner, Now()); err == nil && l.Owner != owner {
			t.Errorf("took %+v", l)
		}
	})
}
