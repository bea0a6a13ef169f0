package idempotencyquorum

import (
	"reflect"
	"testing"
	"time"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/testutil"
)

// Valid messages decode to what was encoded. Malformed messages return an error and are counted, and no input decodes
// to a message without a member or with an answer over the limit.
func FuzzDecode(f *testing.F) {
	attempt, key := idempotency.Attempt{Member: "n1", Incarnation: 5, Seq: 7}, idempotency.Key{1}
	var encoded []string
	for _, in := range []message{
		{kind: kindClaim, attempt: attempt, key: key, digest: idempotency.Digest{2}, maxDuration: time.Second},
		{
			kind: kindVote, attempt: attempt, key: key,
			replica: "n2", vote: idempotency.VoteAnswered, answer: []byte("a"), hasAnswer: true,
		},
		{kind: kindResult, attempt: attempt, key: key, answer: []byte{}, hasAnswer: true},
	} {
		if got, err := decode(in.encode()); err != nil || !reflect.DeepEqual(got, in) {
			f.Errorf("%+v became %+v, %v", in, got, err)
		}
		encoded = append(encoded, string(in.encode()))
	}
	c := New(Config{Name: "n0", Replicas: replicaNames})
	for _, b := range testutil.CorruptedSeeds(4, encoded...) {
		f.Add([]byte(b))
		c.HandleMessage([]byte(b))
	}
	if c.Status().Malformed == 0 {
		f.Error("no malformed message was counted")
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := decode(b); err == nil && (m.attempt.Member == "" || len(m.answer) > maxAnswerBytes) {
			t.Errorf("%x was decoded as %+v", b, m)
		}
	})
}

// A field that a message lacks must not be taken for zero: without their numbers, two attempts of one member would be
// the same attempt, and a key would be granted to both. Zeros are valid, and only the answer may be absent.
func TestDecodeRejectsMissingFields(t *testing.T) {
	attempt := idempotency.Attempt{Member: "n1"}
	for _, m := range []message{
		{kind: kindClaim, attempt: attempt},
		{kind: kindVote, attempt: attempt, replica: "n2", vote: idempotency.VoteAnswered, answer: []byte("a"), hasAnswer: true},
		{kind: kindResult, attempt: attempt, answer: []byte{}, hasAnswer: true},
		{kind: kindWithdraw, attempt: attempt},
	} {
		encoded := m.encode()
		if _, err := decode(encoded); err != nil {
			t.Errorf("kind %d: %v", m.kind, err)
		}
		for field := fieldKind; field <= fieldAnswer; field++ {
			shortened := testutil.WithoutField(t, encoded, field)
			if len(shortened) == len(encoded) {
				continue // the kind does not have the field
			}
			if _, err := decode(shortened); (err == nil) != (field == fieldAnswer) {
				t.Errorf("kind %d without field %d: %v", m.kind, field, err)
			}
		}
	}
}
