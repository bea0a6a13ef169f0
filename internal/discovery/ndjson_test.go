package discovery

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"rampspread/internal/testutil"
)

// Objects must be read whether they are on one line or indented, arrive in pieces or have empty lines between them.
// Malformed data and truncated data must result in different errors.
func TestObjectReaderReadsObjectsHoweverTheyAreCut(t *testing.T) {
	const text = "\n\n{\"generation\":1}\n\r\n{\n  \"generation\": 2,\n  \"reset\": true\n}\n\n{\"generation\":3}{\"generation\":4}\n"
	for name, source := range map[string]io.Reader{
		"at once": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text)),
		"in halves": iotest.HalfReader(strings.NewReader(text)),
	} {
		progress := 0
		r := newObjectReader(source, func() { progress++ })
		for want := uint64(1); want <= 4; want++ {
			var got List
			if err := r.next(&got); err != nil || got.Generation != want || got.Reset != (want == 2) {
				t.Fatalf("%s: object %d: %+v, %v", name, want, got, err)
			}
		}
		if err := r.next(&List{}); !errors.Is(err, io.EOF) || errors.Is(err, errMalformed) {
			t.Errorf("%s: error at the end %v, want io.EOF", name, err)
		}
		if progress < 4 {
			t.Errorf("%s: progress reported %d times", name, progress)
		}
	}
	for text, malformed := range map[string]bool{
		`{"generation":1`:        false, // truncated
		`{"generation":"x"}`:     true,
		`{cut`:                   true,
		"]":                      true,
		strings.Repeat("[", 2e6): true, // never ends
		`{"instances":["` + strings.Repeat("a", maxListSize) + `"]}`: true,
	} {
		if err := newObjectReader(strings.NewReader(text), func() {}).next(&List{}); err == nil || errors.Is(err, errMalformed) != malformed {
			t.Errorf("%.40q: %v", text, err)
		}
	}
	// Empty lines do not count towards the size of the next object, however many there are.
	r := newObjectReader(io.MultiReader(strings.NewReader(strings.Repeat("\n", 2*maxListSize)), strings.NewReader(`{"generation":7}`)), func() {})
	var got List
	if err := r.next(&got); err != nil || got.Generation != 7 {
		t.Errorf("after many empty lines: %+v, %v", got, err)
	}
}

// FuzzObjectReader checks that the same bytes result in the same objects, in whatever pieces the bytes arrive.
func FuzzObjectReader(f *testing.F) {
	for _, text := range testutil.CorruptedSeeds(5, fmt.Sprintf(listFormat, 1, true, "ready")+"\n\n"+fmt.Sprintf(listFormat, 2, false, "gone"), "{\n \"generation\": 3\n}\n") {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		generations := func(source io.Reader) (all []uint64) {
			r := newObjectReader(source, func() {})
			for {
				var got List
				if r.next(&got) != nil {
					return all
				}
				all = append(all, got.Generation)
			}
		}
		if a, b := generations(strings.NewReader(text)), generations(iotest.OneByteReader(strings.NewReader(text))); fmt.Sprint(a) != fmt.Sprint(b) {
			t.Errorf("%v at once, %v byte by byte", a, b)
		}
	})
}
