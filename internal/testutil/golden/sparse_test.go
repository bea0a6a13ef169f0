package golden

import (
	"bytes"
	"testing"
)

// A sparse dump is parsed to the same bytes, also where they hold characters that the dump itself uses.
func TestSparseDumpIsParsedToTheSameBytes(t *testing.T) {
	sparse := make([]byte, 100)
	sparse[40], sparse[99] = 1, 2
	for name, want := range map[string][]byte{
		"empty":                    {},
		"one zero":                 {0},
		"one row":                  []byte("short"),
		"characters of the format": []byte("a text of over one line | with a bar\n\x00\xff"),
		"rows of zeros":            sparse,
	} {
		t.Run(name, func(t *testing.T) {
			got, err := parseSparse(sparseDump(want))
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("%q became %q, %v", want, got, err)
			}
		})
	}
}

func TestMalformedSparseDumpIsAnError(t *testing.T) {
	for name, malformed := range map[string]string{
		"no length":         "",
		"no hex":            "00000000  zz  |.|\nlength 1\n",
		"past the length":   "00000001  01  |.|\nlength 1\n",
		"length not number": "length x\n",
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := parseSparse(malformed); err == nil {
				t.Errorf("%q was read as %q", malformed, got)
			}
		})
	}
}
