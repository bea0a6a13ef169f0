package protofield

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
)

// Next must return the fields in the order in which they were written, and fail on a message that ends within a field.
func TestNextReadsWrittenFieldsAndRejectsCutOnes(t *testing.T) {
	message := AppendBytes(AppendVarint(nil, 3, 1<<60), 4, []byte("text"))
	message = protowire.AppendFixed64(protowire.AppendTag(message, 5, protowire.Fixed64Type), 7)
	message = protowire.AppendFixed32(protowire.AppendTag(message, 6, protowire.Fixed32Type), 8)
	wants := []Field{
		{3, protowire.VarintType, 1 << 60, nil},
		{4, protowire.BytesType, 0, []byte("text")},
		{5, protowire.Fixed64Type, 7, nil},
		{6, protowire.Fixed32Type, 0, nil},
	}
	boundaries := map[int]bool{} // offsets at which a field starts
	for rest, i := message, 0; len(rest) > 0; i++ {
		boundaries[len(message)-len(rest)] = true
		got, next, err := Next(rest)
		want := wants[i]
		if err != nil || got.Number != want.Number || got.WireType != want.WireType || got.Value != want.Value ||
			!bytes.Equal(got.Bytes, want.Bytes) {
			t.Fatalf("field %d: got %+v, error %v", i, got, err)
		}
		rest = next
	}
	for cut := range message {
		var err error
		for rest := message[:cut]; len(rest) > 0 && err == nil; {
			_, rest, err = Next(rest)
		}
		if (err == nil) != boundaries[cut] {
			t.Errorf("message truncated to %d bytes: error %v", cut, err)
		}
	}
}
