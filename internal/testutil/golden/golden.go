// Package golden compares what a test produced with golden files, which are in the testdata folder of the tested
// package. The files hold formats that other processes, later versions or operators read, so a difference means that a
// format has changed, not only the test. The flag -update of the test program replaces the files by what the code
// produces.
//
// The functions must be called from the goroutine of the test.
package golden

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "replace the golden files by what the code produces")

const (
	bytesPerLine = 16
	dirMode      = 0o755
	fileMode     = 0o644
)

// Text compares got with the file testdata/name and returns the file's content.
func Text[S string | []byte](t testing.TB, name string, got S) S {
	t.Helper()
	want := read(t, name, []byte(got))
	if !bytes.Equal([]byte(got), want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
	return S(want)
}

// Bytes compares got with the file testdata/name, which holds it as hexadecimal text, and returns the bytes of the
// file.
func Bytes(t testing.TB, name string, got []byte) []byte {
	t.Helper()
	text := read(t, name, dump(got))
	want, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%swant\n%s", name, dump(got), text)
	}
	return want
}

// JSON compares value's encoding with the file testdata/name, and checks that the file decodes to the same value. Every
// field of value, at any depth but for maps, must be set, so that none escapes the comparison.
func JSON[T any](t testing.TB, name string, value T) {
	t.Helper()
	if unset := zeroField(reflect.ValueOf(value), fmt.Sprintf("%T", value)); unset != "" {
		t.Fatalf("%s is not set, so its form is not compared", unset)
	}
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	want := Text(t, name, append(text, '\n'))
	var back T
	decoder := json.NewDecoder(bytes.NewReader(want))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&back); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(back, value) {
		t.Errorf("%s decodes to %+v, want %+v", name, back, value)
	}
}

// read returns the content of the file testdata/name; with -update it first replaces it by current.
func read(t testing.TB, name string, current []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, current, fileMode); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// dump returns bytes as lines of hexadecimal text.
func dump(b []byte) []byte {
	var out bytes.Buffer
	for len(b) > 0 {
		n := min(len(b), bytesPerLine)
		fmt.Fprintf(&out, "% x\n", b[:n])
		b = b[n:]
	}
	return out.Bytes()
}

// zeroField returns the path of the first exported field that has its zero value, or "" if all are set. Elements of
// slices and targets of pointers are searched too; maps are not.
func zeroField(v reflect.Value, path string) string {
	if v.IsZero() {
		return path
	}
	switch v.Kind() {
	case reflect.Pointer:
		return zeroField(v.Elem(), path)
	case reflect.Slice:
		for i := range v.Len() {
			if unset := zeroField(v.Index(i), fmt.Sprintf("%s[%d]", path, i)); unset != "" {
				return unset
			}
		}
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if !field.IsExported() {
				continue
			}
			if unset := zeroField(v.Field(i), path+"."+field.Name); unset != "" {
				return unset
			}
		}
	}
	return ""
}
