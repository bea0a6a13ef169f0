package idempotencyquorum

import (
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"rampspread/internal/fleet/idempotency"
	"rampspread/internal/testutil/golden"
)

// The tests in this file fix the encoding of the messages that members send each other about claims, since members of
// other versions decode them.

var (
	goldenAttempt = idempotency.Attempt{Member: "n1", Incarnation: 1001, Seq: 3}
	goldenKey     = idempotency.Key{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	goldenDigest  = idempotency.Digest{31: 32, 0: 21, 1: 22, 2: 23}
)

func TestGoldenMessages(t *testing.T) {
	answer := []byte("answer")
	for _, c := range []struct {
		file string
		m    message
	}{
		{"ask.hex", message{kind: kindClaim, digest: goldenDigest, maxDuration: 1500 * time.Millisecond}},
		{"word-yes.hex", message{kind: kindVote, replica: "k0", vote: idempotency.VoteGranted}},
		{
			"word-held-known.hex",
			message{kind: kindVote, replica: "k0", vote: idempotency.VoteAnswered, answer: answer, hasAnswer: true},
		},
		{"settle.hex", message{kind: kindResult, answer: answer, hasAnswer: true}},
		{"settle-empty.hex", message{kind: kindResult, answer: []byte{}, hasAnswer: true}},
		{"settle-unknown.hex", message{kind: kindResult}},
		{"withdraw.hex", message{kind: kindWithdraw}},
	} {
		c.m.attempt, c.m.key = goldenAttempt, goldenKey
		m, err := decode(golden.Bytes(t, c.file, c.m.encode()))
		if err != nil || !reflect.DeepEqual(m, c.m) {
			t.Errorf("%s: %+v, %v, want %+v", c.file, m, err, c.m)
		}
	}
}

func TestGoldenNumbers(t *testing.T) {
	kinds := []messageKind{kindClaim, kindVote, kindResult, kindWithdraw}
	if want := []messageKind{1, 2, 3, 4}; !slices.Equal(kinds, want) {
		t.Errorf("kinds are %v, want %v", kinds, want)
	}
	votes := []idempotency.Vote{
		idempotency.VoteGranted, idempotency.VoteInFlight, idempotency.VoteMayHaveRun,
		idempotency.VoteAnswered, idempotency.VoteKeyReused, idempotency.VoteStoreFull,
	}
	if want := []idempotency.Vote{1, 2, 3, 4, 5, 6}; !slices.Equal(votes, want) {
		t.Errorf("votes are %v, want %v", votes, want)
	}
	states := []idempotency.State{idempotency.InFlight, idempotency.MayHaveRun, idempotency.Answered}
	if want := []idempotency.State{1, 2, 3}; !slices.Equal(states, want) {
		t.Errorf("states are %v, want %v", states, want)
	}
	for i, want := range []string{"unknown", "out", "may have run", "answered", "unknown"} {
		if got := idempotency.State(i).String(); got != want {
			t.Errorf("state %d is %q, want %q", i, got, want)
		}
	}
}

// A claim sends the same bytes as other versions, including the hash of its key and the digest of its body, which all
// members compare.
func TestGoldenClaim(t *testing.T) {
	var mu sync.Mutex
	var sent []byte
	var coordinator *Coordinator
	vote := message{
		kind:    kindVote,
		attempt: idempotency.Attempt{Member: "n1", Incarnation: 1001, Seq: 1},
		replica: "k0",
		vote:    idempotency.VoteGranted,
	}
	coordinator = New(Config{Name: "n1", Incarnation: 1001, Replicas: []string{"k0"}, Secret: []byte("secret"),
		Send: func(to string, b []byte, large bool) {
			mu.Lock()
			defer mu.Unlock()
			if sent == nil {
				if to != "k0" || large {
					t.Errorf("sent to %s, large %t", to, large)
				}
				sent = slices.Clone(b)
				go coordinator.HandleMessage(golden.Bytes(t, "claim-word.hex", vote.encode()))
			}
		}})
	if outcome, _, _, _ := coordinator.Claim("key", []byte("body"), 1500*time.Millisecond); outcome != idempotency.Granted {
		t.Errorf("outcome %v", outcome)
	}
	mu.Lock()
	defer mu.Unlock()
	golden.Bytes(t, "claim-ask.hex", sent)
}

func TestGoldenStatus(t *testing.T) {
	golden.JSON(t, "status.json", Status{
		Self:        "n1",
		Replicas:    []string{"k0", "k1"},
		IsReplica:   true,
		RecoveringS: 1.5,
		Keys:        2,
		Granted:     3,
		Rejected:    4,
		NoQuorum:    5,
		GrantMS:     6.5,
		Dropped:     7,
		StoreErrors: 8,
		Malformed:   9,
	})
}
