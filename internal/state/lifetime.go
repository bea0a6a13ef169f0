package state

import "time"

// Lifetime returns how long the member has run, by the monotonic clock: the recorded run time of its earlier processes,
// plus the time since this process opened the store. Times in records are lifetimes, so steps of the wall clock do not
// affect them.
func (s *Store) Lifetime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.previousLifetime + time.Since(s.opened)
}

// RecordLifetime stores the member's lifetime. Run time that was not recorded before a crash is not counted, so records
// can expire late, but never early.
func (s *Store) RecordLifetime() (err error) {
	defer recoverCorruption(&err)()
	lifetime := s.Lifetime()
	return s.update(func(w *entryWriter) error {
		return w.put(bucketMeta, keyLifetime, encodeNumber(uint64(lifetime)))
	})
}

// Complete reports whether the state holds every unexpired record that the member ever wrote, and if not, how long
// until it does. A state that may have been created after a loss is complete once the member's lifetime reaches the
// retention of records: every record that was written before the loss has expired by then.
func (s *Store) Complete(retention time.Duration) (complete bool, remaining time.Duration) {
	lifetime := s.Lifetime()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.incomplete || lifetime >= retention {
		return true, 0
	}
	return false, retention - lifetime
}
