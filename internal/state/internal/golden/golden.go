// Package golden keeps the bytes of stored formats in testdata, as hex dumps that can be read in review.
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

var update = flag.Bool("update", false, "write the golden files anew from the code as it stands")

// Bytes returns the bytes of a golden file; with -update it first replaces them by current.
func Bytes(t testing.TB, name string, current []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		write(t, path, dump(current))
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden, err := parse(string(text))
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
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func write(t testing.TB, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// dump writes bytes as lines of offset, hex and printable characters. Lines that are all zero are left out: most of a database is.
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
func parse(text string) ([]byte, error) {
	body, last, found := strings.Cut(text, lengthLine)
	if !found {
		return nil, fmt.Errorf("no line %q", lengthLine)
	}
	length, err := strconv.Atoi(strings.TrimSpace(last))
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
		bytes, err := hex.DecodeString(columns[1])
		if err != nil {
			return nil, fmt.Errorf("line %q: %w", line, err)
		}
		if int(offset)+len(bytes) > length {
			return nil, fmt.Errorf("line %q is past the length %d", line, length)
		}
		copy(out[offset:], bytes)
	}
	return out, nil
}
