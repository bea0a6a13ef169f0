// Package golden reads and writes the golden files of stored formats in testdata: text, and bytes as sparse hex dumps
// that can be read in review. It differs from internal/testutil/golden, whose dumps hold every byte and no offsets: a
// database file is mostly zero, and its dump is reviewed by offset.
package golden

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const (
	bytesPerLine = 16
	lengthLine   = "length "
)

var update = flag.Bool("update", false, "replace the golden files by what the code produces")

// Bytes returns the bytes of a golden file; with -update it first replaces them by current.
func Bytes(t testing.TB, name string, current []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		write(t, path, dump(current))
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden, err := parse(string(content))
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return golden
}

// Text returns the text of a golden file; with -update it first replaces it by current.
func Text(t testing.TB, name, current string) string {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		write(t, path, current)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func write(t testing.TB, path, content string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}

// dump writes bytes as lines of offset, hex and printable characters. Lines that are all zero, as most of a database is,
// are omitted.
func dump(b []byte) string {
	var out strings.Builder
	for start := 0; start < len(b); start += bytesPerLine {
		line := b[start:min(start+bytesPerLine, len(b))]
		if allZero(line) {
			continue
		}
		fmt.Fprintf(&out, "%08x  %-*x  |%s|\n", start, 2*bytesPerLine, line, printable(line))
	}
	fmt.Fprintf(&out, "%s%d\n", lengthLine, len(b))
	return out.String()
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

func printable(b []byte) string {
	out := make([]byte, len(b))
	for i, c := range b {
		out[i] = '.'
		if c >= ' ' && c <= '~' {
			out[i] = c
		}
	}
	return string(out)
}

// parse reads what dump wrote.
func parse(dumped string) ([]byte, error) {
	body, lengthText, found := strings.Cut(dumped, lengthLine)
	if !found {
		return nil, fmt.Errorf("no line %q", lengthLine)
	}
	length, err := strconv.Atoi(strings.TrimSpace(lengthText))
	if err != nil {
		return nil, fmt.Errorf("length: %w", err)
	}
	out := make([]byte, length)
	for line := range strings.Lines(body) {
		columns := strings.Fields(line)
		if len(columns) < 2 {
			return nil, fmt.Errorf("line %q has no columns", line)
		}
		offset, err := strconv.ParseInt(columns[0], 16, 64)
		if err != nil {
			return nil, fmt.Errorf("offset: %w", err)
		}
		decoded, err := hex.DecodeString(columns[1])
		if err != nil {
			return nil, fmt.Errorf("line %q: %w", line, err)
		}
		if int(offset)+len(decoded) > length {
			return nil, fmt.Errorf("line %q is past the length %d", line, length)
		}
		copy(out[offset:], decoded)
	}
	return out, nil
}
