package newest

import (
	"context"
	"log/slog"
	"time"
)

// saveEvery is the least time between two saves: a release of many servers changes the list several times a second, and each
// save waits for the disk.
const saveEvery = 200 * time.Millisecond

// Keeper saves the list when it has changed. It is the only one that waits for the disk.
type Keeper struct {
	save    func() error
	changed chan struct{}
}

// NewKeeper returns a Keeper that Run must drive; save stores the list as it is now.
func NewKeeper(save func() error) *Keeper {
	return &Keeper{save: save, changed: make(chan struct{}, 1)}
}

// Changed says that the list has; it never waits.
func (k *Keeper) Changed() {
	select {
	case k.changed <- struct{}{}:
	default: // it is known already
	}
}

// Run saves until the context ends. A disk that fails is told of once, until it takes a list again.
func (k *Keeper) Run(ctx context.Context) {
	failing := false
	for {
		select {
		case <-k.changed:
		case <-ctx.Done():
			return
		}
		if err := k.save(); (err != nil) != failing {
			if failing = err != nil; failing {
				slog.Warn("newest_list_unsaved", "err", err)
			} else {
				slog.Info("newest_list_saved_again")
			}
		}
		if failing {
			k.Changed() // the disk may come back, and the list may not change
		}
		select {
		case <-time.After(saveEvery):
		case <-ctx.Done():
			return
		}
	}
}
