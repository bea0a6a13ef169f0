// Package discovery keeps the list of replicas: it takes the whole list, then
// watches it for changes, and begins again whenever the watch ends.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/decide"
	"rampspread/internal/core"
	"rampspread/internal/wire"
)

const (
	maxLine    = 1 << 20                // of the watch, and the whole list
	quiet      = 5 * time.Second        // without even an empty line, which come every 2 s: the watch is dead
	retryAfter = 200 * time.Millisecond // between attempts at discovery
	fetchWait  = 2 * time.Second
)

// List is discovery's form of the list or of changes to it.
type List struct {
	Generation uint64            `json:"generation"`
	Reset      bool              `json:"reset"`
	Instances  []json.RawMessage `json:"instances"`
}

// Instance is one entry of a List.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMS float64 `json:"startedAtMs"`
}

// Watcher follows discovery.
type Watcher struct {
	settings *wire.Settings
	apply    func(full bool, entries []core.Listing)
	client   *http.Client
	bad      atomic.Int64

	mu    sync.Mutex
	addr  string
	moved chan struct{} // closed by the next Move
}

// New returns a Watcher that hands every list to apply.
func New(addr string, settings *wire.Settings, apply func(bool, []core.Listing)) *Watcher {
	return &Watcher{addr: addr, moved: make(chan struct{}), settings: settings, apply: apply, client: &http.Client{
		Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true,
		},
	}}
}

// Move goes on at another address at once: the whole list is taken there, and what was told so far holds
// until then.
func (w *Watcher) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr = addr
	close(w.moved)
	w.moved = make(chan struct{})
	w.client.CloseIdleConnections()
}

// place is where discovery is now, and a channel that is closed when it moves.
func (w *Watcher) place() (addr string, moved <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr, w.moved
}

// Bad is how many lines and entries made no sense.
func (w *Watcher) Bad() int64 { return w.bad.Load() }

// Apply hands on a list, entry by entry: what makes no sense is counted and skipped.
func (w *Watcher) Apply(l List, full bool) {
	out := make([]core.Listing, 0, len(l.Instances))
	for _, raw := range l.Instances {
		e, err := w.entry(raw)
		if err != nil {
			w.bad.Add(1)
			log.Printf("event=bad_entry err=%q", err)
			continue
		}
		out = append(out, e)
	}
	w.apply(full, out)
}

func (w *Watcher) entry(raw json.RawMessage) (core.Listing, error) {
	var in Instance
	if err := json.Unmarshal(raw, &in); err != nil {
		return core.Listing{}, fmt.Errorf("entry: %w", err)
	}
	states := map[string]decide.ServerState{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}
	state, ok := states[in.Lifecycle]
	if !ok || in.ID == "" {
		return core.Listing{}, fmt.Errorf("entry %q: unknown lifecycle %q", in.ID, in.Lifecycle)
	}
	e := core.Listing{Name: in.ID, Addr: in.HostPort, State: state, Cell: in.Cell, Weight: in.Weight,
		Zone: slices.Index(w.settings.Zones, in.Zone), Kind: slices.Index(w.settings.Kinds, in.MachineType)}
	if in.StartedAtMS > 0 && in.StartedAtMS < 1e14 {
		e.Started = time.UnixMicro(int64(in.StartedAtMS * 1000))
	}
	if state == decide.Gone {
		return e, nil // it needs to say no more than that
	}
	if _, _, err := net.SplitHostPort(in.HostPort); err != nil {
		return core.Listing{}, fmt.Errorf("entry %q: %w", in.ID, err)
	}
	if e.Zone < 0 || e.Kind < 0 {
		return core.Listing{}, fmt.Errorf("entry %q: unknown zone %q or type %q", in.ID, in.Zone, in.MachineType)
	}
	return e, nil
}

// Run follows discovery until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		addr, moved := w.place()
		err := w.follow(ctx, addr, moved)
		if ctx.Err() != nil {
			return
		}
		log.Printf("event=discovery_lost addr=%s err=%q", addr, err)
		select {
		case <-time.After(retryAfter):
		case <-moved:
		case <-ctx.Done():
		}
	}
}

// follow takes the list from one address and watches it, until that fails or discovery moves.
func (w *Watcher) follow(ctx context.Context, addr string, moved <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	generation, err := w.fetch(ctx, addr)
	if err != nil {
		return err
	}
	return w.watch(ctx, addr, generation)
}

func (w *Watcher) get(ctx context.Context, addr, query string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/servers"+query, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery: status %d", resp.StatusCode)
	}
	return resp, nil
}

// fetch takes the whole list.
func (w *Watcher) fetch(ctx context.Context, addr string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchWait)
	defer cancel()
	resp, err := w.get(ctx, addr, "")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var l List
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxLine)).Decode(&l); err != nil {
		w.bad.Add(1)
		return 0, fmt.Errorf("discovery: list: %w", err)
	}
	w.Apply(l, true)
	return l.Generation, nil
}

// watch applies changes until the watch ends, falls silent or brings what cannot be read. After the last
// of these a change may be missing, so the caller takes the whole list again.
func (w *Watcher) watch(ctx context.Context, addr string, generation uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(quiet, cancel)
	defer silent.Stop()
	resp, err := w.get(ctx, addr, "?stream=1&index="+strconv.FormatUint(generation, 10))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	for lines.Scan() {
		silent.Reset(quiet)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		var l List
		if err := json.Unmarshal(line, &l); err != nil {
			w.bad.Add(1)
			return fmt.Errorf("discovery: watch: %w", err)
		}
		w.Apply(l, l.Reset)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("discovery: watch: %w", err)
	}
	return errors.New("discovery: watch ended")
}
