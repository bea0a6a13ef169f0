package discovery_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"rampspread/internal/discovery"
	"rampspread/internal/dispatch"
	"rampspread/internal/testutil"
	"rampspread/routing"
)

// entryJSON returns one entry of a list in discovery's format.
func entryJSON(id, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:9000","zone":"wien","machineType":"prefill","cell":3,`+
		`"lifecycle":%q,"weight":1.0,"startedAtMs":1700000000000}`, id, state)
}

// listJSON returns a list in discovery's format: a full list if reset is true, otherwise changes.
func listJSON(generation int, reset bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, generation, reset, strings.Join(entries, ","))
}

// update is one update that a Watcher passed on.
type update struct {
	full    bool
	entries []dispatch.Endpoint
}

// fakeDiscovery sends fullList for each list call. For each watch it sends the next of watchResponses and ends the
// watch.
type fakeDiscovery struct {
	mu             sync.Mutex
	fullList       string
	watchResponses []string
	queries        []string
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.queries = append(d.queries, r.URL.RawQuery)
	if r.URL.Query().Get("stream") == "" {
		io.WriteString(w, d.fullList)
		d.mu.Unlock()
		return
	}
	text := ""
	if len(d.watchResponses) > 0 {
		text, d.watchResponses = d.watchResponses[0], d.watchResponses[1:]
	}
	d.mu.Unlock()
	io.WriteString(w, text)
}

// After the full list, a watch must continue from the list's version, and a later watch from the version of the last
// change. After a change that could not be read, the full list must be fetched instead.
func TestWatchGoesOnByVersionOrFetchesTheWholeList(t *testing.T) {
	fake := &fakeDiscovery{fullList: listJSON(41, true, entryJSON("s1", "ready"), entryJSON("s2", "ready")), watchResponses: []string{
		"\n" + listJSON(42, false, entryJSON("s1", "draining")) + "\n\n" + listJSON(43, false, entryJSON("s1", "gone")) + "\n",
		"{cut\n" + listJSON(44, false, entryJSON("s3", "ready")) + "\n", // a full list follows the malformed line
		listJSON(50, true, entryJSON("s4", "ready")) + "\n",
	}}
	s := httptest.NewServer(fake)
	defer s.Close()
	updates := make(chan update, 64)
	w := discovery.New(s.Listener.Addr().String(), testutil.Settings(t), 1, func(full bool, e []dispatch.Endpoint) {
		updates <- update{full, e}
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	defer func() { stop(); <-done }()
	for i, want := range []struct {
		full  bool
		names string
		state routing.EndpointState
	}{
		{true, "s1 s2", routing.Ready}, {false, "s1", routing.Draining}, {false, "s1", routing.Gone},
		{true, "s1 s2", routing.Ready}, // full list after the unreadable line of the second watch
		{true, "s4", routing.Ready},
	} {
		u := <-updates
		var names []string
		for _, e := range u.entries {
			names = append(names, e.Name)
		}
		if u.full != want.full || strings.Join(names, " ") != want.names || u.entries[0].State != want.state {
			t.Errorf("update %d: %+v, want %+v", i, u, want)
		}
	}
	fake.mu.Lock()
	defer fake.mu.Unlock()
	// After a watch that ended, the next one continues from the last version. Only after the line that could not be
	// read the full list is fetched.
	want := []string{"", "stream=1&index=41", "stream=1&index=43", "", "stream=1&index=41"}
	if !slices.Equal(fake.queries[:min(len(want), len(fake.queries))], want) || w.Malformed() != 1 {
		t.Errorf("queries %q, %d malformed", fake.queries, w.Malformed())
	}
}

// A dispatcher that starts with a list must watch from the list's version, so that a fleet whose dispatchers all start
// at once does not fetch the full list from discovery.
func TestWatchBeginsAfterTheInitialList(t *testing.T) {
	fake := &fakeDiscovery{watchResponses: []string{listJSON(42, false, entryJSON("s1", "gone")) + "\n"}}
	s := httptest.NewServer(fake)
	defer s.Close()
	updates := make(chan update, 64)
	settings := testutil.Settings(t)
	settings.Discovery = "ask"
	w := discovery.New(s.Listener.Addr().String(), settings, 1, func(full bool, e []dispatch.Endpoint) {
		updates <- update{full, e}
	})
	w.UseInitialList(discovery.List{Generation: 41, Instances: []json.RawMessage{json.RawMessage(entryJSON("s1", "ready"))}})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	defer func() { stop(); <-done }()
	if u := <-updates; !u.full || u.entries[0].State != routing.Ready {
		t.Errorf("first update %+v", u)
	}
	if u := <-updates; u.full || u.entries[0].State != routing.Gone {
		t.Errorf("second update %+v", u)
	}
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.queries[0] != "stream=1&index=41" {
		t.Errorf("queries %q", fake.queries)
	}
}

// Entries that cannot be read must be counted and skipped, and must not affect the other entries.
func TestMalformedEntriesAreSkippedAndCounted(t *testing.T) {
	var got []dispatch.Endpoint
	w := discovery.New("", testutil.Settings(t), 1, func(_ bool, e []dispatch.Endpoint) { got = e })
	var l discovery.List
	good := entryJSON("s1", "ready")
	text := listJSON(1, true, `7`, `{"instanceId":4}`, entryJSON("s2", "asleep"), strings.Replace(good, "wien", "linz", 1),
		strings.Replace(good, "prefill", "m9", 1), strings.Replace(good, ":9000", "", 1), good)
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		t.Fatal(err)
	}
	w.Apply(l, true)
	if len(got) != 1 || got[0].Name != "s1" || got[0].Cell != 3 || got[0].Started.UnixMilli() != 1700000000000 || w.Malformed() != 6 {
		t.Errorf("got %+v, %d malformed", got, w.Malformed())
	}
}

// A replica that is draining or gone must not receive further requests, even if other fields of its entry are
// malformed.
func TestLeavingBindsInAMalformedEntry(t *testing.T) {
	good := entryJSON("s1", "draining")
	for _, text := range []string{
		strings.Replace(good, "wien", "linz", 1), strings.Replace(good, "prefill", "m9", 1), strings.Replace(good, ":9000", "", 1),
		strings.Replace(good, `"cell":3`, `"cell":"x"`, 1), strings.Replace(good, `"weight":1.0`, `"weight":[]`, 1),
		strings.Replace(entryJSON("s1", "gone"), `"cell":3`, `"cell":"x"`, 1),
	} {
		var got []dispatch.Endpoint
		w := discovery.New("", testutil.Settings(t), 1, func(_ bool, e []dispatch.Endpoint) { got = e })
		err := w.Apply(discovery.List{Instances: []json.RawMessage{json.RawMessage(text)}}, false)
		if len(got) != 1 || got[0].Name != "s1" || got[0].State != routing.Gone || !rejectedOne(err) || w.Malformed() != 1 {
			t.Errorf("%s: passed on as %+v, %v, %d malformed", text, got, err, w.Malformed())
		}
	}
}

// rejectedOne reports whether an error is a RejectedEntriesError for exactly one entry.
func rejectedOne(err error) bool {
	var rejected *discovery.RejectedEntriesError
	return errors.As(err, &rejected) && rejected.Rejected == 1
}

// A full list with a malformed entry must leave the replica of that entry as it was. A replica that the list does not
// name must be removed.
func TestReplicaWithAMalformedEntryStaysAsItWas(t *testing.T) {
	var got []dispatch.Endpoint
	w := discovery.New("", testutil.Settings(t), 1, func(_ bool, e []dispatch.Endpoint) { got = e })
	raw := func(texts ...string) (out []json.RawMessage) {
		for _, text := range texts {
			out = append(out, json.RawMessage(text))
		}
		return out
	}
	w.Apply(discovery.List{Instances: raw(entryJSON("s1", "ready"), entryJSON("s2", "ready"), entryJSON("s3", "ready"))}, true)
	w.Apply(discovery.List{Instances: raw(entryJSON("s3", "draining"))}, false)
	bad := func(id string) string { return strings.Replace(entryJSON(id, "ready"), "wien", "linz", 1) }
	w.Apply(discovery.List{Instances: raw(bad("s1"), bad("s3"), bad("s4"))}, true)
	if len(got) != 2 || got[0].Name != "s1" || got[0].State != routing.Ready || got[0].Zone != 0 || got[1].Name != "s3" || got[1].State != routing.Draining {
		t.Errorf("passed on %+v", got)
	}
}

// FuzzList checks that each entry of a list is passed on or counted as malformed, or both if its replica is draining or
// gone.
func FuzzList(f *testing.F) {
	for _, text := range testutil.CorruptedSeeds(3, listJSON(7, false, entryJSON("s1", "ready"), entryJSON("s2", "gone"))) {
		f.Add(text)
	}
	settings := testutil.Settings(f)
	f.Fuzz(func(t *testing.T, text string) {
		var l discovery.List
		if json.Unmarshal([]byte(text), &l) != nil {
			return
		}
		n := 0
		w := discovery.New("", settings, 1, func(_ bool, e []dispatch.Endpoint) { n = len(e) })
		w.Apply(l, false)
		// A replica that is draining or gone is passed on even if its entry is malformed.
		if bad := int(w.Malformed()); n > len(l.Instances) || bad > len(l.Instances) || n+bad < len(l.Instances) {
			t.Errorf("%d passed on and %d malformed of %d", n, bad, len(l.Instances))
		}
	})
}

// A dispatcher that starts with an empty list must fetch the full list, since a watch from the empty list's version may
// never send anything. With a replica on the initial list it must only watch, unless discovery is a local agent.
func TestEmptyInitialListIsNotWatchedFrom(t *testing.T) {
	for _, c := range []struct{ discovery, initial, want string }{
		{"ask", listJSON(3, true), ""},
		{"ask", listJSON(3, true, entryJSON("s1", "ready")), "stream=1&index=3"},
		// The dispatcher counts as notified of an agent's list from the start, and fetching it costs nothing.
		{"push", listJSON(3, true, entryJSON("s1", "ready")), ""},
	} {
		settings := testutil.Settings(t)
		settings.Discovery = c.discovery
		fake := &fakeDiscovery{fullList: listJSON(41, true, entryJSON("s1", "ready"))}
		s := httptest.NewServer(fake)
		w := discovery.New(s.Listener.Addr().String(), settings, 1, func(bool, []dispatch.Endpoint) {})
		var l discovery.List
		if err := json.Unmarshal([]byte(c.initial), &l); err != nil {
			t.Fatal(err)
		}
		w.UseInitialList(l)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		testutil.Eventually(t, "the first call", func() bool { fake.mu.Lock(); defer fake.mu.Unlock(); return len(fake.queries) > 0 })
		stop()
		<-done
		s.Close()
		if fake.queries[0] != c.want {
			t.Errorf("%s with %s: the first call was %q", c.discovery, c.initial, fake.queries[0])
		}
	}
}
