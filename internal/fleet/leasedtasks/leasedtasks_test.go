package leasedtasks

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/fleet"
	"rampspread/internal/testutil"
	"rampspread/routing"
)

// fakeLists is a fake connection to service discovery, which is down while discoveryVersion is 0.
type fakeLists struct{ ownVersion, discoveryVersion, refreshes uint64 }

func (l *fakeLists) Version() uint64 { return l.ownVersion }
func (l *fakeLists) FetchVersion(context.Context) (uint64, error) {
	if l.discoveryVersion == 0 {
		return 0, errors.New("down")
	}
	return l.discoveryVersion, nil
}
func (l *fakeLists) Refresh() { l.refreshes++ }

// fakePoller answers at once. The replica named dead does not report its load.
type fakePoller struct{ polls []string }

var polledLoad = routing.LoadReport{QueuedRequests: 3, SlotUtilization: 0.5, Memory: 0.25, QueuedKiloTokens: -1}

func (p *fakePoller) PollLoadFor(lease string, to dispatch.EndpointAddress, _ time.Duration, done func(*routing.LoadReport)) {
	p.polls = append(p.polls, lease+" "+to.Addr)
	if to.Name == "dead" {
		done(nil)
		return
	}
	load := polledLoad
	done(&load)
}

// loadSink is a fake dispatcher. If full is set, it reports the loads that it receives as dropped.
type loadSink struct {
	loads []dispatch.PeerLoad
	full  bool
}

func (s *loadSink) apply(loads []dispatch.PeerLoad) bool {
	s.loads = append(s.loads, loads...)
	return !s.full
}

func newPollTasks() (*Tasks, *fakePoller, *loadSink) {
	poller, sink := &fakePoller{}, &loadSink{}
	tasks := New(poller, &fakeLists{ownVersion: 1, discoveryVersion: 1}, sink.apply, time.Now)
	tasks.UpdateEndpoints(true, []dispatch.Endpoint{
		{Name: "dead", Addr: "a:1", State: routing.Ready},
		{Name: "r", Addr: "a:2", State: routing.Ready},
		{Name: "draining", Addr: "a:3", State: routing.Draining},
	})
	return tasks, poller, sink
}

func TestPolledLoadsReachTheDispatcherUnchanged(t *testing.T) {
	tasks, poller, sink := newPollTasks()
	names := tasks.Names()
	slices.Sort(names)
	if !slices.Equal(names, []string{"list", "probe/dead", "probe/r"}) {
		t.Fatalf("tasks %v", names)
	}
	for _, task := range names[1:] {
		tasks.Run(task, 7, func(data []byte) {
			tasks.HandleResults([]fleet.TaskResult{{Task: task, Data: data, Age: time.Second}})
		})
	}
	want := []dispatch.PeerLoad{{Name: "dead", Age: time.Second}, {Name: "r", Load: &polledLoad, Age: time.Second}}
	if !reflect.DeepEqual(sink.loads, want) || poller.polls[1] != "probe/r 7 a:2" {
		t.Errorf("%+v, polled %v", sink.loads, poller.polls)
	}
}

func TestLoadsAreCountedAsDroppedIfTheDispatcherIsFull(t *testing.T) {
	tasks, _, sink := newPollTasks()
	sink.full = true
	tasks.HandleResults([]fleet.TaskResult{{Task: "probe/r", Data: []byte{0}}})
	if tasks.Dropped() != 1 {
		t.Errorf("%d dropped", tasks.Dropped())
	}
}

func TestTaskOfAReplicaThatIsGoneFindsNothing(t *testing.T) {
	tasks, _, _ := newPollTasks()
	tasks.UpdateEndpoints(false, []dispatch.Endpoint{{Name: "r", State: routing.Gone}})
	foundNothing := false
	tasks.Run("probe/r", 8, func(data []byte) { foundNothing = data == nil })
	if !foundNothing || len(tasks.Names()) != 2 {
		t.Errorf("found nothing: %t, tasks %v", foundNothing, tasks.Names())
	}
}

func TestMalformedResultsAreCounted(t *testing.T) {
	for _, b := range testutil.CorruptedSeeds(4, string(encodeLoad(&routing.LoadReport{QueuedRequests: 1}))) {
		if load, err := decodeLoad([]byte(b)); err == nil && load != nil && !(load.QueuedRequests <= maxLoadValue) {
			t.Errorf("%q was decoded as %+v", b, load)
		}
	}
	tasks, _, _ := newPollTasks()
	tasks.HandleResults([]fleet.TaskResult{{Task: "probe/r", Data: []byte("garbage")}, {Task: "list"}})
	if tasks.Malformed() != 2 {
		t.Errorf("%d counted as malformed", tasks.Malformed())
	}
}

func TestStaleListIsRefreshedOnlyAfterItsGrace(t *testing.T) {
	lists, now := &fakeLists{ownVersion: 5, discoveryVersion: 9}, time.Unix(0, 0)
	tasks := New(nil, lists, nil, func() time.Time { return now })
	found := make(chan []byte, 1)
	tasks.Run("list", 1, func(data []byte) { found <- data })
	results := []fleet.TaskResult{{Task: "list", Data: <-found}}
	for _, step := range []struct {
		after         time.Duration
		ownVersion    uint64
		wantRefreshes uint64
	}{
		{0, 5, 0},
		{time.Second, 5, 0},
		{time.Second, 9, 0}, // the newer list has arrived
		{time.Second, 5, 0},
		{time.Second, 5, 0},
		{time.Second, 5, 1},
		{time.Second, 5, 1},
	} {
		now, lists.ownVersion = now.Add(step.after), step.ownVersion
		if tasks.HandleResults(results); lists.refreshes != step.wantRefreshes {
			t.Fatalf("at %v: refreshed %d times, want %d", now.Unix(), lists.refreshes, step.wantRefreshes)
		}
	}
}

func TestListTaskFindsNothingWhileDiscoveryIsDown(t *testing.T) {
	tasks := New(nil, &fakeLists{ownVersion: 5}, nil, time.Now)
	found := make(chan []byte, 1)
	tasks.Run("list", 1, func(data []byte) { found <- data })
	if b := <-found; b != nil {
		t.Errorf("found %v", b)
	}
}
