package leasedtasks

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet"
	"rampspread/internal/testkit"
	"rampspread/routing"
)

type lists struct{ own, all, refreshed uint64 }

func (l *lists) Version() uint64 { return l.own }
func (l *lists) Peek(context.Context) (uint64, error) {
	if l.all == 0 {
		return 0, errors.New("down")
	}
	return l.all, nil
}
func (l *lists) Refresh() { l.refreshed++ }

type prober struct{ asked []string }

func (p *prober) PollLoadFor(duty string, to dispatch.Target, _ time.Duration, told func(*routing.LoadReport)) {
	p.asked = append(p.asked, duty+" "+to.Addr)
	if to.Name == "dead" {
		told(nil)
		return
	}
	told(&routing.LoadReport{QueuedRequests: 3, SlotUtilization: 0.5, Memory: 0.25, QueuedKiloTokens: -1})
}

// What one finds out reaches another's core as it was; who has told nothing is told as silent.
func TestLoadsAreHandedOn(t *testing.T) {
	p, l := &prober{}, &lists{own: 1, all: 1}
	var news []dispatch.PeerLoad
	room := true
	tasks := New(p, l, func(n []dispatch.PeerLoad) bool { news = append(news, n...); return room }, time.Now)
	tasks.UpdateEndpoints(true, []dispatch.Endpoint{{Name: "dead", Addr: "a:1", State: routing.Ready}, {Name: "r", Addr: "a:2", State: routing.Ready},
		{Name: "going", Addr: "a:3", State: routing.Draining}})
	duties := tasks.Names()
	slices.Sort(duties)
	if !slices.Equal(duties, []string{"list", "probe/dead", "probe/r"}) {
		t.Fatalf("duties %v", duties)
	}
	for _, d := range duties[1:] {
		tasks.Run(d, 7, func(found []byte) { tasks.HandleResults([]fleet.TaskResult{{Task: d, Data: found, Age: time.Second}}) })
	}
	if len(news) != 2 || news[0].Name != "dead" || news[0].Load != nil || news[1].Name != "r" || *news[1].Load != (routing.LoadReport{QueuedRequests: 3, SlotUtilization: 0.5, Memory: 0.25, QueuedKiloTokens: -1}) ||
		news[1].Age != time.Second || p.asked[1] != "probe/r 7 a:2" {
		t.Errorf("%+v, asked %v", news, p.asked)
	}
	room = false
	tasks.HandleResults([]fleet.TaskResult{{Task: "probe/r", Data: []byte{0}}})
	tasks.UpdateEndpoints(false, []dispatch.Endpoint{{Name: "r", State: routing.Gone}})
	done := false
	tasks.Run("probe/r", 8, func(found []byte) { done = found == nil })
	if !done || tasks.Dropped() != 1 || len(tasks.Names()) != 2 {
		t.Errorf("a duty that is no more: done %t, %d dropped, %v", done, tasks.Dropped(), tasks.Names())
	}
	for _, text := range testkit.Broken(4, string(encodeLoad(&routing.LoadReport{QueuedRequests: 1}))) {
		if load, err := decodeLoad([]byte(text)); err == nil && load != nil && !(load.QueuedRequests <= 1e9) {
			t.Errorf("%q was taken as %+v", text, load)
		}
	}
	tasks.HandleResults([]fleet.TaskResult{{Task: "probe/r", Data: []byte("garbage")}, {Task: "list"}})
	if tasks.Bad() != 2 {
		t.Errorf("%d counted as bad", tasks.Bad())
	}
}

// A dispatcher that discovery has told less than another asks anew, but not for what is on its way.
func TestStaleList(t *testing.T) {
	l, now := &lists{own: 5, all: 9}, time.Unix(0, 0)
	tasks := New(nil, l, nil, func() time.Time { return now })
	found := make(chan []byte, 1)
	tasks.Run("list", 1, func(b []byte) { found <- b })
	told := []fleet.TaskResult{{Task: "list", Data: <-found}}
	for _, step := range []struct {
		after time.Duration
		own   uint64
		want  uint64
	}{{0, 5, 0}, {time.Second, 5, 0}, {time.Second, 9, 0}, {time.Second, 5, 0}, {time.Second, 5, 0}, {time.Second, 5, 1}, {time.Second, 5, 1}} {
		now, l.own = now.Add(step.after), step.own
		if tasks.HandleResults(told); l.refreshed != step.want {
			t.Fatalf("at %v: asked anew %d times, want %d", now.Unix(), l.refreshed, step.want)
		}
	}
	l.all = 0
	tasks.Run("list", 1, func(b []byte) { found <- b })
	if b := <-found; b != nil {
		t.Errorf("discovery is down, and %v was found", b)
	}
}
