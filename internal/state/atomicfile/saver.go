package atomicfile

import (
	"context"
	"log/slog"
	"time"
)

// saveInterval is the least time between two saves: a rollout of many endpoints changes a list several times a second,
// and each save waits for the disk.
const saveInterval = 200 * time.Millisecond

// Saver saves something in the background after it has changed, so that nobody but the goroutine of Run waits for the disk.
type Saver struct {
	name    string // in the log
	save    func() error
	changed chan struct{} // holds one element if there are unsaved changes
}

// NewSaver returns a Saver, which does nothing until Run is called. save stores the current content; name is for the log.
func NewSaver(name string, save func() error) *Saver {
	return &Saver{name: name, save: save, changed: make(chan struct{}, 1)}
}

// MarkDirty reports a change. It never blocks, and may be called by several goroutines.
func (s *Saver) MarkDirty() {
	select {
	case s.changed <- struct{}{}:
	default: // it is marked already
	}
}

// Run saves changes until the context ends. Of consecutive failures the first is logged, and then the recovery.
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
			s.MarkDirty() // the disk may recover, and there may be no further change
		}
		select {
		case <-time.After(saveInterval):
		case <-ctx.Done():
			return
		}
	}
}

// logTransition logs that saving has begun to fail or, with no error, that it has recovered.
func (s *Saver) logTransition(err error) {
	if err != nil {
		slog.Warn("state_save_failed", "what", s.name, "err", err)
		return
	}
	slog.Info("state_save_recovered", "what", s.name)
}
