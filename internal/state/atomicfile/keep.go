package atomicfile

import (
	"context"
	"log/slog"
	"time"
)

// saveEvery is the least time between two saves: a release of many servers changes a list several times a second, and each
// save waits for the disk.
const saveEvery = 200 * time.Millisecond

// Saver saves something when it has changed. It is the only one that waits for the disk.
type Saver struct {
	what    string
	save    func() error
	changed chan struct{}
}

// NewSaver returns a Keeper that Run must drive; save stores it as it is now, and what names it in the log.
func NewSaver(what string, save func() error) *Saver {
	return &Saver{what: what, save: save, changed: make(chan struct{}, 1)}
}

// MarkDirty says that it has; it never waits.
func (k *Saver) MarkDirty() {
	select {
	case k.changed <- struct{}{}:
	default: // it is known already
	}
}

// Run saves until the context ends. A disk that fails is told of once, until it takes what is to be kept again.
func (k *Saver) Run(ctx context.Context) {
	failing := false
	for {
		select {
		case <-k.changed:
		case <-ctx.Done():
			return
		}
		if err := k.save(); (err != nil) != failing {
			if failing = err != nil; failing {
				slog.Warn("state_unsaved", "what", k.what, "err", err)
			} else {
				slog.Info("state_saved_again", "what", k.what)
			}
		}
		if failing {
			k.MarkDirty() // the disk may come back, and this may not change again
		}
		select {
		case <-time.After(saveEvery):
		case <-ctx.Done():
			return
		}
	}
}
