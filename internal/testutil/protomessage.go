package testutil

import (
	"testing"

	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/protofield"
)

// WithoutField returns a protobuf message without the fields of the given number.
func WithoutField(t testing.TB, message []byte, without protowire.Number) (shortened []byte) {
	t.Helper()
	for len(message) > 0 {
		field, rest, err := protofield.Next(message)
		if err != nil {
			t.Fatal(err)
		}
		if field.Number != without {
			shortened = append(shortened, message[:len(message)-len(rest)]...)
		}
		message = rest
	}
	return shortened
}
