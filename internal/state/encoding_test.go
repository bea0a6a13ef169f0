package state

import (
	"encoding/binary"
	"errors"
	"testing"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/testutil"
)

// A field that a record lacks must not be taken for zero: without the time at which it was written, a record would count
// as expired and its key could be granted again. Zeros are valid, and only the answer may be absent.
func TestRecordWithoutAFieldIsCorrupt(t *testing.T) {
	record := idempotency.Record{Attempt: idempotency.Attempt{Member: "n1"}, State: idempotency.Answered, Answer: []byte("a")}
	encoded := encodeRecord(record)
	for field := protowire.Number(fieldMember); field <= fieldAnswer; field++ {
		shortened := testutil.WithoutField(t, encoded[checksumBytes:], field)
		if len(shortened) == len(encoded)-checksumBytes {
			t.Errorf("record has no field %d", field)
		}
		sealed := append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(shortened)), shortened...)
		if _, err := decodeRecord(sealed); errors.Is(err, ErrCorrupt) != (field != fieldAnswer) {
			t.Errorf("without field %d: %v", field, err)
		}
	}
	if _, err := decodeRecord(encoded); err != nil {
		t.Error(err)
	}
}
