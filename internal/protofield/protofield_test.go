package protofield

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
)

// Fields come back as they were written, in order; a message that is cut anywhere within one is an error there.
func TestNext(t *testing.T) {
	b := Bytes(Varint(nil, 3, 1<<60), 4, []byte("text"))
	b = protowire.AppendFixed64(protowire.AppendTag(b, 5, protowire.Fixed64Type), 7)
	b = protowire.AppendFixed32(protowire.AppendTag(b, 6, protowire.Fixed32Type), 8)
	want := []Field{{3, protowire.VarintType, 1 << 60, nil}, {4, protowire.BytesType, 0, []byte("text")}, {5, protowire.Fixed64Type, 7, nil}, {6, protowire.Fixed32Type, 0, nil}}
	ends := map[int]bool{}
	for rest, i := b, 0; len(rest) > 0; i++ {
		ends[len(b)-len(rest)] = true
		f, next, err := Next(rest)
		if w := want[i]; err != nil || f.Number != w.Number || f.Kind != w.Kind || f.Value != w.Value || !bytes.Equal(f.Bytes, w.Bytes) {
			t.Fatalf("field %d is %+v, %v", i, f, err)
		}
		rest = next
	}
	for cut := range b {
		var err error
		for rest := b[:cut]; len(rest) > 0 && err == nil; {
			_, rest, err = Next(rest)
		}
		if (err == nil) != ends[cut] {
			t.Errorf("cut at %d: %v", cut, err)
		}
	}
}
