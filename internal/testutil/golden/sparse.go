package golden

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"testing"
)

const lengthPrefix = "length "

// SparseBytes compares got with the file testdata/name, which holds it as a sparse dump, and returns the bytes of the
// file. A sparse dump has a line of offset, hex and printable characters for each row of bytes that is not all zero, and
// ends with the length: a database file is mostly zero, and its dump is reviewed by offset.
func SparseBytes(t testing.TB, name string, got []byte) []byte {
	t.Helper()
	want := ReadSparseBytes(t, name, got)
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%swant\n%s", name, sparseDump(got), sparseDump(want))
	}
	return want
}

// ReadSparseBytes returns the bytes of the sparse dump testdata/name without comparing them, for formats whose bytes
// differ from run to run although they hold the same values. With -update it first replaces the file by current.
func ReadSparseBytes(t testing.TB, name string, current []byte) []byte {
	t.Helper()
	dump := read(t, name, []byte(sparseDump(current)))
	want, err := parseSparse(string(dump))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return want
}

func sparseDump(b []byte) string {
	var out strings.Builder
	for start := 0; start < len(b); start += bytesPerLine {
		row := b[start:min(start+bytesPerLine, len(b))]
		if allZero(row) {
			continue
		}
		fmt.Fprintf(&out, "%08x  %-*x  |%s|\n", start, 2*bytesPerLine, row, printable(row))
	}
	fmt.Fprintf(&out, "%s%d\n", lengthPrefix, len(b))
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

// printable replaces each byte outside printable ASCII by a dot.
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

// parseSparse reads the output of sparseDump.
func parseSparse(dump string) ([]byte, error) {
	rows, lengthText, found := strings.Cut(dump, lengthPrefix)
	if !found {
		return nil, fmt.Errorf("no line %q", lengthPrefix)
	}
	length, err := strconv.Atoi(strings.TrimSpace(lengthText))
	if err != nil {
		return nil, fmt.Errorf("length: %w", err)
	}
	out := make([]byte, length)
	for row := range strings.Lines(rows) {
		columns := strings.Fields(row)
		if len(columns) < 2 {
			return nil, fmt.Errorf("line %q has no columns", row)
		}
		offset, err := strconv.ParseInt(columns[0], 16, 64)
		if err != nil {
			return nil, fmt.Errorf("offset: %w", err)
		}
		decoded, err := hex.DecodeString(columns[1])
		if err != nil {
			return nil, fmt.Errorf("line %q: %w", row, err)
		}
		if int(offset)+len(decoded) > length {
			return nil, fmt.Errorf("line %q is past the length %d", row, length)
		}
		copy(out[offset:], decoded)
	}
	return out, nil
}
