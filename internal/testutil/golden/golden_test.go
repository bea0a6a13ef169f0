package golden

import (
	"os"
	"path/filepath"
	"testing"
)

// errorCounter counts the errors that a helper reports.
type errorCounter struct {
	testing.TB
	errors int
}

func (c *errorCounter) Errorf(string, ...any) { c.errors++ }

// Each comparison passes for the content of the file, reports exactly one error for other content, and returns the
// content of the file in both cases.
func TestDifferenceFromFileIsAnError(t *testing.T) {
	if *update {
		t.Skip("with -update the files are replaced")
	}
	t.Chdir(t.TempDir())
	const content = "content"
	for name, c := range map[string]struct {
		file    string
		compare func(t testing.TB, name, got string) string
	}{
		"text": {content, Text[string]},
		"text as bytes": {content, func(t testing.TB, name, got string) string {
			return string(Text(t, name, []byte(got)))
		}},
		"bytes": {string(dump([]byte(content))), func(t testing.TB, name, got string) string {
			return string(Bytes(t, name, []byte(got)))
		}},
		"sparse bytes": {sparseDump([]byte(content)), func(t testing.TB, name, got string) string {
			return string(SparseBytes(t, name, []byte(got)))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			if err := os.MkdirAll("testdata", dirMode); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join("testdata", name), []byte(c.file), fileMode); err != nil {
				t.Fatal(err)
			}
			for got, wantErrors := range map[string]int{content: 0, "other": 1, "": 1} {
				counter := &errorCounter{TB: t}
				if returned := c.compare(counter, name, got); counter.errors != wantErrors || returned != content {
					t.Errorf("%q: %d errors, returned %q", got, counter.errors, returned)
				}
			}
		})
	}
}
