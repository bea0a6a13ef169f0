package golden

import (
	"bytes"
	"testing"
)

// A sparse dump is parsed to the same bytes, also where they hold characters that the dump itself uses; a malformed dump is an
// error.
func TestSparseDumpIsParsedToTheSameBytes(t *testing.T) {
	sparse := make([]byte, 100)
	sparse[40], sparse[99] = 1, 2
	for _, want := range [][]byte{{}, {0}, []byte("short"), []byte("a text of over one line | with a bar\n\x00\xff"), sparse} {
		got, err := parseSparse(sparseDump(want))
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%q became %q, %v", want, got, err)
		}
	}
	for _, bad := range []string{"", "00000000  zz  |.|\nlength 1\n", "00000001  01  |.|\nlength 1\n", "length x\n"} {
		if got, err := parseSparse(bad); err == nil {
			t.Errorf("%q was read as %q", bad, got)
		}
	}
}
