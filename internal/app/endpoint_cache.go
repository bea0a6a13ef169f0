package app

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"

	"rampspread/internal/discovery"
	"rampspread/internal/hostos"
	"rampspread/internal/state/atomicfile"
	"rampspread/internal/state/endpointcache"
)

// newEndpointCache returns the saver that stores this process's endpoint list for its next start, or nil without a
// state folder.
func (a *application) newEndpointCache() *atomicfile.Saver {
	if a.inputs.stateDir == "" {
		return nil
	}
	return atomicfile.NewSaver("list", a.saveEndpoints)
}

func (a *application) saveEndpoints() error {
	list, err := a.watcher.CurrentList()
	if err != nil {
		return err
	}
	entries, err := json.Marshal(list.Instances)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	return endpointcache.Save(a.machine, a.inputs.stateDir, endpointcache.CachedList{
		Owner: a.endpointCacheOwner(), SavedAt: hostos.Now(a.machine), Version: list.Generation, Entries: entries,
	})
}

// endpointCacheOwner returns the owner of the cached endpoint list. It includes discovery's address, which may have
// changed since the list was stored: versions of two discovery services cannot be compared.
func (a *application) endpointCacheOwner() endpointcache.Owner {
	identity := a.inputs.identity()
	return endpointcache.Owner{Fleet: identity.Fleet, Name: identity.Name, Discovery: a.watcher.Address()}
}

// useInitialList passes the initial endpoint list to the watcher.
func (a *application) useInitialList() error {
	list, err := a.initialList()
	if err != nil {
		return err
	}
	if len(list.Instances) > 0 {
		a.watcher.UseInitialList(list)
	}
	return nil
}

// initialList returns the endpoint list of the configuration, or the list that an earlier incarnation cached if that is
// newer. An unusable cache is logged and ignored.
func (a *application) initialList() (list discovery.List, err error) {
	if known := a.inputs.config.InitialEndpoints; len(known) > 0 {
		if err := json.Unmarshal(known, &list); err != nil {
			return list, fmt.Errorf("config: known: %w", err)
		}
	}
	if a.inputs.stateDir == "" {
		return list, nil
	}
	cached, err := a.loadEndpointCache()
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		slog.Warn("endpoint_cache_refused", "err", err)
	case cached.Generation > list.Generation:
		slog.Info("endpoint_cache_loaded", "version", cached.Generation, "entries", len(cached.Instances))
		return cached, nil
	}
	return list, nil
}

func (a *application) loadEndpointCache() (discovery.List, error) {
	cached, err := endpointcache.Load(a.inputs.stateDir, a.endpointCacheOwner(), hostos.Now(a.machine))
	list := discovery.List{Generation: cached.Version, Reset: true}
	if err == nil {
		err = json.Unmarshal(cached.Entries, &list.Instances)
	}
	return list, err
}
