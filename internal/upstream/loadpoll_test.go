package upstream_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/testutil"
	"rampspread/routing"
)

// A replica must be polled for its load at the path that the protocol defines. A malformed report, an error status, and
// a silent or dead replica must each result in nil within the timeout, never in a report of an empty queue.
func TestPollLoadReportsOnlyWhatCanBeParsed(t *testing.T) {
	dead := testutil.UnusedAddress(t)
	client := newClient(t, 8)
	for answer, want := range map[string]*routing.LoadReport{
		"TEXT util=0.5, queue=3, x0=0.25": {Memory: 0.25, QueuedKiloTokens: -1, QueuedRequests: 3, SlotUtilization: 0.5},
		"TEXT util=much":                  nil,
		"":                                nil,
		"silent":                          nil,
		"dead":                            nil,
	} {
		replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodGet || r.URL.Path != "/load" {
				t.Errorf("load poll sent as %s %s", r.Method, r.URL.Path)
			}
			if answer == "silent" {
				<-r.Context().Done()
			}
			if answer == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			io.WriteString(w, answer)
		}))
		target, timeout := dispatch.EndpointAddress{Name: "s", Addr: replica.Listener.Addr().String()}, 5*time.Second
		switch answer {
		case "dead":
			target.Addr = dead
		case "silent":
			timeout = 50 * time.Millisecond
		}
		reports := make(chan *routing.LoadReport, 1)
		client.PollLoad(target, timeout, func(l *routing.LoadReport) { reports <- l })
		if got := <-reports; !reflect.DeepEqual(got, want) {
			t.Errorf("%q: report %+v, want %+v", answer, got, want)
		}
		replica.Close()
	}
}

// A load poll under a lease of the fleet must carry the lease in its header. A poll that a dispatcher makes for itself
// must not carry the header.
func TestPollLoadForNamesTheLease(t *testing.T) {
	leases := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		leases <- r.Header.Get("X-Duty")
		io.WriteString(w, "TEXT util=0.5, queue=1, x0=0.2")
	}))
	defer s.Close()
	client := newClient(t, 8)
	for _, lease := range []string{"", "probe/r 7"} {
		reports := make(chan *routing.LoadReport, 1)
		target := dispatch.EndpointAddress{Name: "r", Addr: s.Listener.Addr().String()}
		client.PollLoadFor(lease, target, time.Second, func(l *routing.LoadReport) { reports <- l })
		if got, l := <-leases, <-reports; got != lease || l == nil || l.QueuedRequests != 1 {
			t.Errorf("lease %q, report %+v; want %q", got, l, lease)
		}
	}
}
