package atomicfile

import (
	"encoding/hex"
	"errors"
	"path/filepath"
	"testing"
)

// A sealed file as commit 1ac8dd0 wrote it: the magic string, the body and the big-endian xxhash of both. Programs of
// other versions read sealed files, so the format must not change.
const (
	goldenMagic = "rampspread golden 1\n"
	goldenBody  = "a body\x00\xff"
	goldenSeal  = "72616d7073707265616420676f6c64656e20310a6120626f647900ff0d9f55af9a099abb"
)

func TestGoldenSeal(t *testing.T) {
	want, err := hex.DecodeString(goldenSeal)
	if err != nil {
		t.Fatal(err)
	}
	if got := Seal(goldenMagic, []byte(goldenBody)); string(got) != string(want) {
		t.Errorf("sealed %x", got)
	}
	if body, err := Open(goldenMagic, want); err != nil || string(body) != goldenBody {
		t.Errorf("opened %q, %v", body, err)
	}
	if _, err := Open("rampspread other 1\n", want); !errors.Is(err, ErrCorrupt) {
		t.Errorf("opened with another magic string: %v", err)
	}
}

// Processes of different versions that replace the same file exclude each other by a lock on the temporary file, so its
// name must not change.
func TestGoldenTemporaryFileName(t *testing.T) {
	dir := t.TempDir()
	temporary, err := openTemporary(filepath.Join(dir, "file"))
	if err != nil {
		t.Fatal(err)
	}
	defer temporary.Close()
	if got := temporary.Name(); got != filepath.Join(dir, ".file.aside") {
		t.Errorf("the temporary file is %s", got)
	}
}
