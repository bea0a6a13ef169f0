package app

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"

	"rampspread/internal/discovery"
	"rampspread/internal/dispatch"
	"rampspread/internal/state/atomicfile"
	"rampspread/internal/state/endpointcache"
	"rampspread/internal/system"
)

// keepList saves the list that this process acts on, for its next life; nil without a folder for state.
func (p *program) keepList(files checked) *atomicfile.Saver {
	if files.state == "" {
		return nil
	}
	return atomicfile.NewSaver("list", func() error {
		held, err := p.watch.CurrentList()
		if err != nil {
			return err
		}
		entries, err := json.Marshal(held.Instances)
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		return endpointcache.Save(p.machine, files.state, endpointcache.Cached{Owner: p.listOwner(files), SavedAt: system.Now(p.machine), Version: held.Generation, Entries: entries})
	})
}

// listOwner says whose list a process stores, and of which discovery: it may have moved.
func (p *program) listOwner(files checked) endpointcache.Owner {
	who := files.identity()
	return endpointcache.Owner{Fleet: who.Fleet, Name: who.Name, Discovery: p.watch.Address()}
}

// firstList is the list to begin with: that of the configuration, or a newer one that an earlier life has stored. One that is
// refused leaves the start as if there were none.
func (p *program) firstList(files checked) (l discovery.List, err error) {
	if len(files.config.Known) > 0 {
		if err := json.Unmarshal(files.config.Known, &l); err != nil {
			return l, fmt.Errorf("config: known: %w", err)
		}
	}
	if files.state == "" {
		return l, nil
	}
	kept, err := endpointcache.Load(files.state, p.listOwner(files), system.Now(p.machine))
	stored := discovery.List{Generation: kept.Version, Reset: true}
	if err == nil {
		err = json.Unmarshal(kept.Entries, &stored.Instances)
	}
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		slog.Warn("newest_list_refused", "err", err)
	case stored.Generation > l.Generation:
		slog.Info("newest_list", "version", stored.Generation, "entries", len(stored.Instances))
		return stored, nil
	}
	return l, nil
}

// andKeep tells a keeper of each list that is handed on.
func andKeep(k *atomicfile.Saver) func(bool, []dispatch.Endpoint) {
	return func(bool, []dispatch.Endpoint) { k.MarkDirty() }
}
