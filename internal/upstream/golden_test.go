package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/testutil"
	"rampspread/internal/testutil/golden"
	"rampspread/routing"
)

var expiry = regexp.MustCompile(`X-Expires-In: [0-9]+m`)

// recordingReplica starts a replica that sends the same response to each request, and returns the bytes of the
// requests.
func recordingReplica(t *testing.T, answer string) (target dispatch.EndpointAddress, requests <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp", testutil.LoopbackPrefix()+"1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	out := make(chan string, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			var raw strings.Builder
			in := bufio.NewReader(io.TeeReader(conn, &raw))
			if req, err := http.ReadRequest(in); err == nil {
				io.Copy(io.Discard, req.Body)
				out <- raw.String()
				io.WriteString(conn, answer)
			}
			conn.Close()
		}
	}()
	return dispatch.EndpointAddress{Name: "replica-1", Addr: l.Addr().String()}, out
}

// The bytes of each kind of request to replicas must match the golden file. In its headings a load poll is named probe,
// and a lease duty, since the golden file must not change.
func TestGoldenRequests(t *testing.T) {
	const loadReport = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\nConnection: close\r\n\r\nTEXT util=0.5, queue=1, x0=0.2"
	const released = "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"
	const prefillDone = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\nConnection: close\r\n\r\n{\"cached_tokens\":3}"
	client := newClient(t, 8)
	var all strings.Builder
	record := func(name string, target dispatch.EndpointAddress, request string) {
		request = expiry.ReplaceAllString(strings.ReplaceAll(request, target.Addr, "ADDRESS"), "X-Expires-In: LEFTm")
		fmt.Fprintf(&all, "# %s\n%s\n\n", name, strings.ReplaceAll(request, "\r\n", "\n"))
	}

	target, requests := recordingReplica(t, prefillDone)
	obs := newObserver()
	withType := call
	withType.ContentType = "application/json"
	client.Send(dispatch.AttemptSpec{Call: withType, Target: target, Timeout: 5 * time.Second}, obs)
	record("a call", target, <-requests)
	if o := <-obs.ended; o.Outcome != routing.PrefillDone || o.CachedTokens != 3 {
		t.Errorf("result %+v", o)
	}

	target, requests = recordingReplica(t, released)
	client.Release(dispatch.UpstreamCall{ID: "id-2"}, []dispatch.EndpointAddress{target})
	record("a release", target, <-requests)
	testutil.Eventually(t, "the release", func() bool { return client.PendingReleases() == 0 })

	target, requests = recordingReplica(t, loadReport)
	for _, lease := range []string{"", "duty-1 7"} {
		reports := make(chan *routing.LoadReport, 1)
		client.PollLoadFor(lease, target, 5*time.Second, func(l *routing.LoadReport) { reports <- l })
		record("a probe, duty "+fmt.Sprintf("%q", lease), target, <-requests)
		if l := <-reports; l == nil || l.SlotUtilization != 0.5 || l.QueuedRequests != 1 {
			t.Errorf("load report %+v", l)
		}
	}
	golden.Text(t, "requests.golden", all.String())
}

// A replica's status, its proof that no part of the call ran, and its load report must be read correctly.
func TestGoldenOutcomes(t *testing.T) {
	report := &routing.LoadReport{Memory: 0.25, QueuedKiloTokens: -1, QueuedRequests: 3, SlotUtilization: 0.5}
	for head, want := range map[string]dispatch.AttemptResult{
		"202 Accepted": {Outcome: routing.PrefillDone, CachedTokens: 3, Load: report},
		"503 Service Unavailable\r\nX-Never-Ran: 1":  {Outcome: routing.QueueFull, Load: report},
		"504 Gateway Timeout\r\nX-Never-Ran: 1":      {Outcome: routing.QueueFull, Load: report},
		"410 Gone\r\nX-Never-Ran: 1":                 {Outcome: routing.PrefillResultMissing, Load: report},
		"500 Internal Server Error":                  {Outcome: routing.ErrorResponse, Load: report},
		"503 Service Unavailable\r\nX-Never-Ran: no": {Outcome: routing.ErrorResponse, Load: report},
	} {
		target, _ := recordingReplica(t, "HTTP/1.1 "+head+"\r\nEndpoint-Load-Metrics: TEXT util=0.5, queue=3, x0=0.25\r\n"+
			"Content-Length: 19\r\nConnection: close\r\n\r\n{\"cached_tokens\":3}")
		_, obs := send(t, target.Addr)
		got := <-obs.ended
		if got.Load == nil || *got.Load != *want.Load {
			t.Errorf("%q: load %+v", head, got.Load)
		}
		if got.Outcome != want.Outcome || got.CachedTokens != want.CachedTokens {
			t.Errorf("%q: %+v, want %+v", head, got, want)
		}
	}
}
