package state

import "time"

// Lifetime returns how long the member has run: the sum over all its processes as far as it was recorded, by the monotonic
// clock. The times in the records count by it, so steps of the wall clock don't matter.
func (s *Store) Lifetime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.previousLifetime + time.Since(s.opened)
}

// RecordLifetime stores the member's lifetime. Time that is not recorded before a crash is not counted, so that records then
// expire later, never earlier.
func (s *Store) RecordLifetime() (err error) {
	defer recoverCorruption(&err)()
	lifetime := s.Lifetime()
	return s.update(func(w *entryWriter) error {
		return w.put(bucketMeta, keyLifetime, encodeNumber(uint64(lifetime)))
	})
}

// Complete reports whether the state holds every unexpired record that the member ever wrote, and if not, how long
// until it does. A state that was created after a loss is complete once the member's lifetime reaches the retention of
// records: all that was written before the loss has expired then.
func (s *Store) Complete(retention time.Duration) (complete bool, remaining time.Duration) {
	lifetime := s.Lifetime()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.incomplete || lifetime >= retention {
		return true, 0
	}
	return false, retention - lifetime
}
