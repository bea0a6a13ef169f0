package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Recorder collects the events of one run on one clock. It is safe for concurrent use.
type Recorder struct {
	start  time.Time
	mu     sync.Mutex
	events []Event
}

// NewRecorder returns an empty recorder and starts the run's clock.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Now returns the time since the run began.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// At converts t to a time on the run's clock.
func (r *Recorder) At(t time.Time) time.Duration { return t.Sub(r.start) }

// Add records an event. If At is 0, Add sets it to the current time.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At == 0 {
		e.At = time.Since(r.start)
	}
	r.events = append(r.events, e)
}

// Events returns a copy of all events so far, in the order in which they were recorded.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// Write writes events as JSON lines.
func Write(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	lines := json.NewEncoder(buffered)
	for _, e := range events {
		if err := lines.Encode(e); err != nil {
			return fmt.Errorf("history: %w", err)
		}
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return nil
}
