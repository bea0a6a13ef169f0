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

// entry is one entry of a list in discovery's form.
func entry(id, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:9000","zone":"wien","machineType":"prefill","cell":3,`+
		`"lifecycle":%q,"weight":1.0,"startedAtMs":1700000000000}`, id, state)
}

// list is a list in discovery's form: whole if reset is set, else changes.
func list(generation int, reset bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, generation, reset, strings.Join(entries, ","))
}

// update is what a Watcher passed on.
type update struct {
	full    bool
	entries []dispatch.Endpoint
}

// agent is a fake discovery: each watch gets the next of its scripts and then ends.
type agent struct {
	mu      sync.Mutex
	whole   string
	watches []string
	queries []string
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.queries = append(a.queries, r.URL.RawQuery)
	if r.URL.Query().Get("stream") == "" {
		io.WriteString(w, a.whole)
		a.mu.Unlock()
		return
	}
	text := ""
	if len(a.watches) > 0 {
		text, a.watches = a.watches[0], a.watches[1:]
	}
	a.mu.Unlock()
	io.WriteString(w, text)
}

// The list is followed by the changes of the watch, which goes on from its version unless a change could not be read.
func TestWatchGoesOnByVersionOrFetchesTheWholeList(t *testing.T) {
	a := &agent{whole: list(41, true, entry("s1", "ready"), entry("s2", "ready")), watches: []string{
		"\n" + list(42, false, entry("s1", "draining")) + "\n\n" + list(43, false, entry("s1", "gone")) + "\n",
		"{cut\n" + list(44, false, entry("s3", "ready")) + "\n", // after a line that cannot be read the whole list is fetched
		list(50, true, entry("s4", "ready")) + "\n",
	}}
	s := httptest.NewServer(a)
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
		{true, "s1 s2", routing.Ready}, // the second watch could not be read
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
	a.mu.Lock()
	defer a.mu.Unlock()
	// The watch that ended goes on by index; only after the line that could not be read the whole list is fetched.
	want := []string{"", "stream=1&index=41", "stream=1&index=43", "", "stream=1&index=41"}
	if !slices.Equal(a.queries[:min(len(want), len(a.queries))], want) || w.Malformed() != 1 {
		t.Errorf("queries %q, %d bad", a.queries, w.Malformed())
	}
}

// A dispatcher that starts with a list watches from its version: a whole fleet starting at once must not fetch the whole
// list from discovery.
func TestWatchBeginsAfterTheInitialList(t *testing.T) {
	a := &agent{watches: []string{list(42, false, entry("s1", "gone")) + "\n"}}
	s := httptest.NewServer(a)
	defer s.Close()
	updates := make(chan update, 64)
	settings := testutil.Settings(t)
	settings.Discovery = "ask"
	w := discovery.New(s.Listener.Addr().String(), settings, 1, func(full bool, e []dispatch.Endpoint) {
		updates <- update{full, e}
	})
	w.UseInitialList(discovery.List{Generation: 41, Instances: []json.RawMessage{json.RawMessage(entry("s1", "ready"))}})
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
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queries[0] != "stream=1&index=41" {
		t.Errorf("queries %q", a.queries)
	}
}

// Entries that cannot be read are counted and skipped, and do not affect the others.
func TestMalformedEntriesAreSkippedAndCounted(t *testing.T) {
	var got []dispatch.Endpoint
	w := discovery.New("", testutil.Settings(t), 1, func(_ bool, e []dispatch.Endpoint) { got = e })
	var l discovery.List
	good := entry("s1", "ready")
	text := list(1, true, `7`, `{"instanceId":4}`, entry("s2", "asleep"), strings.Replace(good, "wien", "linz", 1),
		strings.Replace(good, "prefill", "m9", 1), strings.Replace(good, ":9000", "", 1), good)
	if err := json.Unmarshal([]byte(text), &l); err != nil {
		t.Fatal(err)
	}
	w.Apply(l, true)
	if len(got) != 1 || got[0].Name != "s1" || got[0].Cell != 3 || got[0].Started.UnixMilli() != 1700000000000 || w.Malformed() != 6 {
		t.Errorf("got %+v, %d bad", got, w.Malformed())
	}
}

// A replica that is leaving gets nothing more, whatever else in its entry makes no sense.
func TestLeavingBindsInAMalformedEntry(t *testing.T) {
	good := entry("s1", "draining")
	for _, text := range []string{
		strings.Replace(good, "wien", "linz", 1), strings.Replace(good, "prefill", "m9", 1), strings.Replace(good, ":9000", "", 1),
		strings.Replace(good, `"cell":3`, `"cell":"x"`, 1), strings.Replace(good, `"weight":1.0`, `"weight":[]`, 1),
		strings.Replace(entry("s1", "gone"), `"cell":3`, `"cell":"x"`, 1),
	} {
		var got []dispatch.Endpoint
		w := discovery.New("", testutil.Settings(t), 1, func(_ bool, e []dispatch.Endpoint) { got = e })
		err := w.Apply(discovery.List{Instances: []json.RawMessage{json.RawMessage(text)}}, false)
		if len(got) != 1 || got[0].Name != "s1" || got[0].State != routing.Gone || !rejectedOne(err) || w.Malformed() != 1 {
			t.Errorf("%s: taken as %+v, %v, %d bad", text, got, err, w.Malformed())
		}
	}
}

// rejectedOne reports whether an error says that one entry was rejected.
func rejectedOne(err error) bool {
	var rejected *discovery.RejectedEntriesError
	return errors.As(err, &rejected) && rejected.Rejected == 1
}

// A whole list in which a replica's entry makes no sense leaves that replica as it was; one that it does not name is gone.
func TestReplicaWithAMalformedEntryStaysAsItWas(t *testing.T) {
	var got []dispatch.Endpoint
	w := discovery.New("", testutil.Settings(t), 1, func(_ bool, e []dispatch.Endpoint) { got = e })
	raw := func(texts ...string) (out []json.RawMessage) {
		for _, text := range texts {
			out = append(out, json.RawMessage(text))
		}
		return out
	}
	w.Apply(discovery.List{Instances: raw(entry("s1", "ready"), entry("s2", "ready"), entry("s3", "ready"))}, true)
	w.Apply(discovery.List{Instances: raw(entry("s3", "draining"))}, false)
	bad := func(id string) string { return strings.Replace(entry(id, "ready"), "wien", "linz", 1) }
	w.Apply(discovery.List{Instances: raw(bad("s1"), bad("s3"), bad("s4"))}, true)
	if len(got) != 2 || got[0].Name != "s1" || got[0].State != routing.Ready || got[0].Zone != 0 || got[1].Name != "s3" || got[1].State != routing.Draining {
		t.Errorf("taken: %+v", got)
	}
}

// FuzzList checks that each entry of a list is passed on or counted as malformed, or both where it is leaving.
func FuzzList(f *testing.F) {
	for _, text := range testutil.CorruptedSeeds(3, list(7, false, entry("s1", "ready"), entry("s2", "gone"))) {
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
		// A replica that is leaving is passed on even from a malformed entry.
		if bad := int(w.Malformed()); n > len(l.Instances) || bad > len(l.Instances) || n+bad < len(l.Instances) {
			t.Errorf("%d taken and %d bad of %d", n, bad, len(l.Instances))
		}
	})
}

// A dispatcher that starts with a list of no replica fetches the whole list, since a watch from that list's version may
// never send anything; with a replica on its list it only watches.
func TestEmptyInitialListIsNotWatchedFrom(t *testing.T) {
	for _, c := range []struct{ discovery, initial, want string }{
		{"ask", list(3, true), ""},
		{"ask", list(3, true, entry("s1", "ready")), "stream=1&index=3"},
		// An agent's list counts as notified from the first moment on, and costs nothing.
		{"push", list(3, true, entry("s1", "ready")), ""},
	} {
		settings := testutil.Settings(t)
		settings.Discovery = c.discovery
		a := &agent{whole: list(41, true, entry("s1", "ready"))}
		s := httptest.NewServer(a)
		w := discovery.New(s.Listener.Addr().String(), settings, 1, func(bool, []dispatch.Endpoint) {})
		var l discovery.List
		if err := json.Unmarshal([]byte(c.initial), &l); err != nil {
			t.Fatal(err)
		}
		w.UseInitialList(l)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		testutil.Eventually(t, "the first call", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return len(a.queries) > 0 })
		stop()
		<-done
		s.Close()
		if a.queries[0] != c.want {
			t.Errorf("%s with %s: the first call was %q", c.discovery, c.initial, a.queries[0])
		}
	}
}
