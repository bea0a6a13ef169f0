package upstream_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"rampspread/internal/testutil"
	"rampspread/internal/upstream"
	"rampspread/routing"
)

// A complete stream must be passed on byte for byte, and its end must be reported once.
func TestWholeStreamIsPassedOnUnchanged(t *testing.T) {
	r := testutil.NewReplica(t, testutil.ServeDecode("alpha", "beta"))
	_, obs := send(t, r.Addr)
	s := <-obs.first
	got, err := io.ReadAll(s)
	if err != nil || string(got) != testutil.EventStream("alpha", "beta") {
		t.Errorf("read %q, %v", got, err)
	}
	s.Close()
	if o := <-obs.ended; o.Outcome != routing.Served || o.CachedTokens != 4 || len(obs.ended) > 0 {
		t.Errorf("ended %+v and %d more", o, len(obs.ended))
	}
}

// Wherever a stream is truncated, its complete events must be passed on unchanged, and it must end with an error, never
// with io.EOF. Without a complete event no stream is passed on, and the outcome is that the attempt may have run.
func TestCutStreamPassesOnItsWholeEvents(t *testing.T) {
	whole := testutil.EventStream("alpha", "beta")
	for n := 1; n < len(whole); n += 7 {
		r := testutil.NewReplica(t, testutil.ServeTruncated(n, "alpha", "beta"))
		_, obs := send(t, r.Addr)
		checkEnd(t, obs, whole[:n], routing.ConnectionReset)
	}
}

// checkEnd reads an attempt to its end. It checks that exactly the complete events of the text were passed on, followed
// by an error, and that the attempt ended once, with the wanted outcome.
func checkEnd(t *testing.T, obs *observer, text string, want routing.Outcome) {
	t.Helper()
	if want := testutil.CompleteEvents(text); want != "" {
		s := <-obs.first
		got, err := io.ReadAll(s)
		s.Close()
		if err == nil || string(got) != want {
			t.Errorf("%q: read %q, %v", text, got, err)
		}
	}
	o := <-obs.ended
	brokeBeforeFirstEvent := o.Outcome == routing.ConnectionReset && testutil.CompleteEvents(text) == ""
	if o.Outcome != want || o.StreamStarted != brokeBeforeFirstEvent || len(obs.ended)+len(obs.first) > 0 {
		t.Errorf("%q: ended %+v, and %d more", text, o, len(obs.ended)+len(obs.first))
	}
}

// A malformed stream must end the attempt even if its connection stays open. Before the first event nothing may be
// passed on, and after it only complete events.
func TestMalformedStreamEndsTheAttempt(t *testing.T) {
	one := testutil.CompleteEvents(testutil.EventStream("alpha")[:100])
	for name, c := range map[string]struct{ received, passed string }{
		"noise":                   {"\x03\x80\x91\n\xffnoise\n\n", ""},
		"noise without a line":    {"\x03\x80\x91\xffnoise", ""},
		"an invalid head":         {"HTTP/1.1 2x0 OK\r\n\r\n", ""},
		"a head without end":      {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pad: aaaa", ""},
		"a large head":            {"HTTP/1.1 200 OK\r\nX-Pad: " + strings.Repeat("a", 64<<10), ""},
		"1xx without end":         {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 99), ""},
		"a head alone":            {testutil.ChunkedResponse(""), ""},
		"noise for an event":      {testutil.ChunkedResponse("\x03\x80\n\n"), ""},
		"half an event":           {testutil.ChunkedResponse(one[:40]), ""},
		"an invalid chunk size":   {testutil.ChunkedResponse(one) + "zz\r\n" + one, one},
		"a chunk size too small":  {testutil.ChunkedResponse(one) + "8\r\n" + one + "\r\n", one},
		"a chunk size too large":  {testutil.ChunkedResponse(one) + fmt.Sprintf("%x\r\n%s\r\n", len(one)+9, one) + testutil.ChunkedResponse(one), one + one},
		"a chunk of 3 GB":         {testutil.ChunkedResponse(one) + "b2d05e00\r\n" + strings.Repeat("x", upstream.MaxEventSize+1), one},
		"a chunk of 3 GB, slowly": {testutil.ChunkedResponse(one) + "b2d05e00\r\n" + strings.Repeat("x", 99), one},
		"an early end":            {testutil.ChunkedResponse(one) + "0\r\n\r\n", one},
		"half a short response":   {"HTTP/1.1 503 Busy\r\nContent-Length: 9\r\n\r\nb", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, obs := send(t, testutil.NewReplica(t, testutil.ServeRaw(c.received)).Addr)
			want := routing.ConnectionReset
			if name == "half a short response" {
				want = routing.ErrorResponse
			}
			checkEnd(t, obs, c.passed, want)
		})
	}
}

// Informational (1xx) heads before a response and malformed load reports must not affect the stream or its outcome.
func TestInformationalHeadsAndMalformedLoadReportsAreHarmless(t *testing.T) {
	text := testutil.EventStream("alpha") + ": Endpoint-Load-Metrics: TEXT util=lots,,\n\n"
	addr, _ := rawReplica(t, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+
		strings.Replace(testutil.ChunkedResponse(text), "\r\n", "\r\nEndpoint-Load-Metrics: \xff%%\r\n", 1)+"0\r\n\r\n")
	_, obs := send(t, addr)
	s := <-obs.first
	got, err := io.ReadAll(s)
	s.Close()
	if o := <-obs.ended; err != nil || string(got) != text || o.Outcome != routing.Served || o.CachedTokens != 4 || o.Load != nil {
		t.Errorf("read %q, %v, ended %+v", got, err, o)
	}
}

// A stream must be aborted if the replica stops sending in the middle of it, even if the connection stays open.
func TestSilentStreamIsGivenUp(t *testing.T) {
	r := testutil.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		io.WriteString(w, "data: {}\n\n")
		http.NewResponseController(w).Flush()
		testutil.NeverRespond(w, r, n)
	})
	_, obs := send(t, r.Addr)
	s := <-obs.first
	got, err := io.ReadAll(s)
	s.Close()
	if o := <-obs.ended; err == nil || string(got) != "data: {}\n\n" || o.Outcome != routing.ConnectionReset {
		t.Errorf("read %q, %v, outcome %d", got, err, o.Outcome)
	}
}

// The call of a rejected stream must be ended at the replica, by closing its connection.
func TestRejectedStreamIsCutOffAtTheReplica(t *testing.T) {
	cutOff := make(chan struct{})
	r := testutil.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
		testutil.ServeDecode("a")(w, r, n)
		<-r.Context().Done()
		close(cutOff)
	})
	client, obs := newClient(t, 8), newObserver()
	obs.reject = true
	client.Send(specFor(r.Addr, time.Second), obs)
	<-cutOff
	if o := <-obs.ended; o.Outcome != routing.ConnectionReset {
		t.Errorf("outcome %d", o.Outcome)
	}
}
