// Package leasedtasks is what a fleet does in turn: one member asks a replica for its load on behalf of all, and one looks at
// discovery's list. What they find goes to the core as evidence, and brings a dispatcher that was left behind up to date.
package leasedtasks

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet"
	"rampspread/routing"
)

const (
	probe      = "probe/" // and a replica's name
	list       = "list"
	probeEvery = 400 * time.Millisecond
	probeWait  = 200 * time.Millisecond // as long as the core waits for a load
	listEvery  = 2 * time.Second
	listWait   = time.Second
	// A dispatcher whose list is older than the one that was found asks for it anew after so long.
	behindFor = 1500 * time.Millisecond
)

// LoadPoller asks replicas for their load.
type LoadPoller interface {
	PollLoadFor(duty string, to dispatch.Target, limit time.Duration, told func(*routing.LoadReport))
}

// EndpointLists is this dispatcher's own way to discovery's list.
type EndpointLists interface {
	Version() uint64
	Peek(ctx context.Context) (version uint64, err error)
	Refresh()
}

// Tasks implements fleet.Work.
type Tasks struct {
	prober  LoadPoller
	lists   EndpointLists
	heard   func([]dispatch.PeerLoad) bool
	now     func() time.Time
	dropped atomic.Int64 // news that the core had no room for
	bad     atomic.Int64
	renewed atomic.Int64 // lists that were asked for anew

	mu      sync.Mutex
	targets map[string]dispatch.Target
	behind  time.Time // since when this dispatcher's list is older; zero: it is not
}

// New returns the tasks; heard takes news for the core and must not block. Without a prober replicas are not asked.
func New(prober LoadPoller, lists EndpointLists, heard func([]dispatch.PeerLoad) bool, now func() time.Time) *Tasks {
	return &Tasks{prober: prober, lists: lists, heard: heard, now: now, targets: map[string]dispatch.Target{}}
}

// Bad returns how many results could not be decoded.
func (t *Tasks) Bad() int64 { return t.bad.Load() }

// Refreshed returns how many times the endpoint list was requested again.
func (t *Tasks) Refreshed() int64 { return t.renewed.Load() }

// Dropped returns how many load reports the core's queue had no capacity for.
func (t *Tasks) Dropped() int64 { return t.dropped.Load() }

// UpdateEndpoints takes discovery's list, or changes to it, as the core does.
func (t *Tasks) UpdateEndpoints(full bool, entries []dispatch.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if full {
		clear(t.targets)
	}
	for _, e := range entries {
		if e.State == routing.Ready {
			t.targets[e.Name] = dispatch.Target{Name: e.Name, Addr: e.Addr}
		} else {
			delete(t.targets, e.Name)
		}
	}
}

// Names implements fleet.Work.
func (t *Tasks) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []string{list}
	if t.prober != nil {
		for name := range t.targets {
			out = append(out, probe+name)
		}
	}
	return out
}

// Interval implements fleet.Work.
func (t *Tasks) Interval(duty string) time.Duration {
	if duty == list {
		return listEvery
	}
	return probeEvery
}

// Run implements fleet.Work.
func (t *Tasks) Run(duty string, number uint64, done func([]byte)) {
	if duty == list {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), listWait)
			defer cancel()
			version, err := t.lists.Peek(ctx)
			if err != nil {
				slog.Debug("list_duty", "err", err)
				done(nil)
				return
			}
			done(binary.AppendUvarint(nil, version))
		}()
		return
	}
	name, _ := strings.CutPrefix(duty, probe)
	t.mu.Lock()
	to, ok := t.targets[name]
	t.mu.Unlock()
	if !ok || t.prober == nil {
		done(nil)
		return
	}
	t.prober.PollLoadFor(fmt.Sprintf("%s %d", duty, number), to, probeWait, func(l *routing.LoadReport) { done(encodeLoad(l)) })
}

// encodeLoad packs a report into 17 bytes; nil: the replica told none.
func encodeLoad(l *routing.LoadReport) []byte {
	if l == nil {
		return []byte{0}
	}
	b := []byte{1}
	for _, v := range []float64{l.Memory, l.QueuedKiloTokens, l.QueuedRequests, l.SlotUtilization} {
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(v)))
	}
	return b
}

func decodeLoad(b []byte) (*routing.LoadReport, error) {
	if len(b) == 1 && b[0] == 0 {
		return nil, nil
	}
	if len(b) != 17 || b[0] != 1 {
		return nil, fmt.Errorf("work: a load of %d bytes", len(b))
	}
	var v [4]float64
	for i := range v {
		v[i] = float64(math.Float32frombits(binary.LittleEndian.Uint32(b[1+4*i:])))
		if math.IsNaN(v[i]) || v[i] > 1e9 || v[i] < -1 {
			return nil, fmt.Errorf("work: a load of %v", v[i])
		}
	}
	return &routing.LoadReport{Memory: v[0], QueuedKiloTokens: v[1], QueuedRequests: v[2], SlotUtilization: v[3]}, nil
}

// HandleResults implements fleet.Work.
func (t *Tasks) HandleResults(found []fleet.TaskResult) {
	var news []dispatch.PeerLoad
	for _, f := range found {
		if f.Task == list {
			version, n := binary.Uvarint(f.Data)
			if n <= 0 {
				t.bad.Add(1)
				continue
			}
			t.compare(version)
			continue
		}
		l, err := decodeLoad(f.Data)
		if err != nil {
			t.bad.Add(1)
			continue
		}
		news = append(news, dispatch.PeerLoad{Name: strings.TrimPrefix(f.Task, probe), Load: l, Age: f.Age})
	}
	if len(news) > 0 && !t.heard(news) {
		t.dropped.Add(int64(len(news)))
	}
}

// compare asks for the list anew where this dispatcher has been told less than another was, for a while.
func (t *Tasks) compare(version uint64) {
	now := t.now()
	t.mu.Lock()
	behind := t.lists.Version() < version
	renew := behind && !t.behind.IsZero() && now.Sub(t.behind) >= behindFor
	switch {
	case !behind || renew:
		t.behind = time.Time{}
	case t.behind.IsZero():
		t.behind = now
	}
	t.mu.Unlock()
	if renew {
		t.renewed.Add(1)
		slog.Info("list_behind", "own", t.lists.Version(), "found", version)
		t.lists.Refresh()
	}
}
