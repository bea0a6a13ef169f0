package idempotency

import (
	"errors"
	"testing"
	"time"
)

var limits = Limits{Retention: 20 * time.Second, Entries: 1000, MaxAnswerBytes: 64}

var errBroken = errors.New("broken")

// memoryStore is a Store in memory, whose methods fail while broken is set.
type memoryStore struct {
	records map[Key]Record
	broken  bool
}

func newMemoryStore() *memoryStore { return &memoryStore{records: map[Key]Record{}} }

func (m *memoryStore) err() error {
	if m.broken {
		return errBroken
	}
	return nil
}

func (m *memoryStore) Get(k Key) (Record, bool, error) {
	r, ok := m.records[k]
	return r, ok, m.err()
}

func (m *memoryStore) Put(k Key, r Record) error {
	if !m.broken {
		m.records[k] = r
	}
	return m.err()
}

func (m *memoryStore) Delete(k Key) error {
	if !m.broken {
		delete(m.records, k)
	}
	return m.err()
}

func (m *memoryStore) Expire(before time.Duration, limit int) (int, error) {
	for k, r := range m.records {
		if r.WrittenAt <= before && limit > 0 {
			limit--
			delete(m.records, k)
		}
	}
	return len(m.records), m.err()
}

var (
	keyA, keyB, keyC = Key{1}, Key{2}, Key{3}
	attempt1         = Attempt{"n0", 1, 1}
	attempt2         = Attempt{"n1", 1, 1}
	attempt3         = Attempt{"n0", 1, 2}
	attempt4         = Attempt{"n0", 1, 3}
)

func TestReplicaVotesByTheStateOfTheKey(t *testing.T) {
	l := limits
	l.Entries = 2
	replica := NewReplica(l, newMemoryStore())
	now := time.Second
	expectVote := func(key Key, d Digest, attempt Attempt, vote Vote) []byte {
		t.Helper()
		got, answer, err := replica.Claim(now, key, d, attempt, time.Second)
		if got != vote || err != nil {
			t.Errorf("%v, %v, want %v", got, err, vote)
		}
		return answer
	}
	expectVote(keyA, requestDigestOf(keyA), attempt1, VoteGranted)
	expectVote(keyA, requestDigestOf(keyA), attempt1, VoteGranted)
	expectVote(keyA, requestDigestOf(keyA), attempt2, VoteInFlight)
	expectVote(keyA, requestDigestOf(keyB), attempt2, VoteKeyReused)
	replica.RecordResult(keyA, attempt2, []byte("of another attempt"))
	replica.RecordResult(keyA, attempt1, []byte("answer"))
	replica.RecordResult(keyA, attempt1, nil)
	if got := expectVote(keyA, requestDigestOf(keyA), attempt2, VoteAnswered); string(got) != "answer" {
		t.Errorf("answered %q", got)
	}
	if err := replica.RecordResult(keyA, attempt1, make([]byte, l.MaxAnswerBytes+1)); !errors.Is(err, ErrAnswerTooLong) {
		t.Errorf("a long answer: %v", err)
	}
	expectVote(keyB, requestDigestOf(keyB), attempt1, VoteGranted)
	now += 2 * time.Second
	expectVote(keyB, requestDigestOf(keyB), attempt2, VoteMayHaveRun) // the deadline of attempt1 has passed
	expectVote(keyC, requestDigestOf(keyC), attempt3, VoteStoreFull)
	replica.Withdraw(now, keyB, attempt2)
	expectVote(keyB, requestDigestOf(keyB), attempt2, VoteMayHaveRun)
	replica.Withdraw(now, keyB, attempt1)
	expectVote(keyC, requestDigestOf(keyC), attempt3, VoteGranted)
	replica.Withdraw(now, keyC, attempt3)
	expectVote(keyC, requestDigestOf(keyC), attempt3, VoteInFlight) // a claim that arrives after its withdrawal
	now += l.Retention
	expectVote(keyA, requestDigestOf(keyB), attempt4, VoteGranted) // the first record has expired
}

func TestReplicaDoesNotVoteIfItCannotWrite(t *testing.T) {
	store := newMemoryStore()
	replica := NewReplica(limits, store)
	store.broken = true
	if _, _, err := replica.Claim(time.Second, Key{9}, Digest{}, attempt1, 0); err == nil {
		t.Error("a replica whose store fails voted")
	}
}

func TestRecoveringReplicaVotesOnlyAfterTheRetention(t *testing.T) {
	now := time.Minute
	replica := NewRecoveringReplica(limits, newMemoryStore(), now)
	if _, _, err := replica.Claim(now+limits.Retention-1, keyA, requestDigestOf(keyA), attempt1, 0); err == nil {
		t.Error("a recovering replica voted before the retention had passed")
	}
	if vote, _, err := replica.Claim(now+limits.Retention, keyA, requestDigestOf(keyA), attempt1, 0); vote != VoteGranted || err != nil {
		t.Errorf("after the retention: %v, %v", vote, err)
	}
}
