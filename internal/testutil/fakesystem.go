package testutil

import (
	"sync"
	"time"

	"rampspread/internal/hostos"
)

// FakeSystem is a hostos.System whose wall clock a test can step and whose system calls a test can make fail.
type FakeSystem struct {
	mu       sync.Mutex
	offset   time.Duration // difference between the wall clock and the real time
	failures map[hostos.Op]error
}

// NewFakeSystem returns a system whose clock shows the real time and on which no call fails.
func NewFakeSystem() *FakeSystem { return &FakeSystem{failures: map[hostos.Op]error{}} }

// StepClock steps the wall clock.
func (s *FakeSystem) StepClock(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offset += by
}

// Fail makes all calls of a kind fail with err from now on, or succeed if it is nil.
func (s *FakeSystem) Fail(op hostos.Op, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures[op] = err
}

// Wall implements hostos.System.
func (s *FakeSystem) Wall() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Round(0).Add(s.offset)
}

// BeforeCall implements hostos.System.
func (s *FakeSystem) BeforeCall(op hostos.Op) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures[op]
}
