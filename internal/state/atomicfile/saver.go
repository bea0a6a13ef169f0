package atomicfile

import (
	"context"
	"log/slog"
	"time"
)

// saveInterval is the minimum time between two saves. A rollout of many endpoints changes a list several times a
// second, and each save waits for the disk.
const saveInterval = 200 * time.Millisecond

// Saver saves content in the background after it has changed, so that only the goroutine of Run waits for the disk.
type Saver struct {
	name    string // identifies the content in log lines
	save    func() error
	changed chan struct{} // holds one element if there are unsaved changes
}

// NewSaver returns a Saver, which does nothing until Run is called. save stores the current content; name identifies
// the content in log lines.
func NewSaver(name string, save func() error) *Saver {
	return &Saver{name: name, save: save, changed: make(chan struct{}, 1)}
}

// MarkDirty reports that the content has changed. It never blocks, and is safe for concurrent use.
func (s *Saver) MarkDirty() {
	select {
	case s.changed <- struct{}{}:
	default: // already marked
	}
}

// Run saves changes until the context ends. It logs the first of consecutive failures, and the first success after
// them.
func (s *Saver) Run(ctx context.Context) {
	failing := false
	for {
		select {
		case <-s.changed:
		case <-ctx.Done():
			return
		}
		err := s.save()
		if wasFailing := failing; wasFailing != (err != nil) {
			failing = err != nil
			s.logTransition(err)
		}
		if failing {
			s.MarkDirty() // retry even if the content does not change again
		}
		select {
		case <-time.After(saveInterval):
		case <-ctx.Done():
			return
		}
	}
}

// logTransition logs that saving has begun to fail or, if err is nil, that it has recovered.
func (s *Saver) logTransition(err error) {
	if err != nil {
		slog.Warn("state_save_failed", "what", s.name, "err", err)
		return
	}
	slog.Info("state_save_recovered", "what", s.name)
}
