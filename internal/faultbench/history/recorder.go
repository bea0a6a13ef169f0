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

// NewRecorder starts the run's clock.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Now is the time since the run began.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// At is a time on the run's clock.
func (r *Recorder) At(t time.Time) time.Duration { return t.Sub(r.start) }

// Add records an event; one without a time happens now.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At == 0 {
		e.At = time.Since(r.start)
	}
	r.events = append(r.events, e)
}

// Events is a copy of all events so far, in the order in which they were recorded.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// Write writes events as lines of JSON.
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
