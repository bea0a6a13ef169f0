package chatapi_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"rampspread/internal/testutil"
)

func TestRetryOfKeyIsAnsweredFromFirstAttempt(t *testing.T) {
	s := startService(t, testutil.ServePrefill, testutil.ServeDecode("Noted"))
	request := requestBody("meldung", false, "The border is wrong.")
	postStatus := func(body, key string) int {
		t.Helper()
		resp, _, _ := s.post(t, body, "Idempotency-Key", key)
		return resp.StatusCode
	}
	_, first, _ := s.post(t, request, "Idempotency-Key", "k1")
	resp, retried, _ := s.post(t, request, "Idempotency-Key", "k1")
	if first != retried || resp.Header.Get("Idempotent-Replayed") != "true" {
		t.Errorf("first %s, then %s", first, retried)
	}
	_, streamed, _ := s.post(t, requestBody("meldung", true, "The border is wrong."), "Idempotency-Key", "k1")
	if !strings.Contains(streamed, `"content":"Noted"`) || !strings.HasSuffix(streamed, "data: [DONE]\n\n") {
		t.Errorf("streamed retry %s", streamed)
	}
	if got := postStatus(requestBody("meldung", false, "Another."), "k1"); got != 422 {
		t.Errorf("another request with the key: status %d", got)
	}
	if total, _ := s.Decode.Calls(); total != 1 {
		t.Errorf("%d runs", total)
	}
	// A first attempt that certainly never ran releases its key.
	s.Prefill.SetScript(testutil.ServeStatusNeverRan(503))
	if got := postStatus(request, "k2"); got != 429 {
		t.Errorf("rejected: status %d", got)
	}
	s.Prefill.SetScript(testutil.ServePrefill)
	if got := postStatus(request, "k2"); got != 200 {
		t.Errorf("after a rejection: status %d", got)
	}
	// A first attempt that may have run keeps its key in use until the key expires.
	s.Decode.SetScript(testutil.ServeTruncated(100, "Noted"))
	if got := postStatus(request, "k3"); got != 502 {
		t.Errorf("broken: status %d", got)
	}
	s.Decode.SetScript(testutil.ServeDecode("Noted"))
	resp, _, _ = s.post(t, request, "Idempotency-Key", "k3")
	if resp.StatusCode != 409 || resp.Header.Get("X-Should-Retry") != "false" {
		t.Errorf("after a break: status %d", resp.StatusCode)
	}
	s.advance(time.Hour)
	if got := postStatus(request, "k3"); got != 200 {
		t.Errorf("after the key expired: status %d", got)
	}
}

func TestFullKeyTableRejectsNewKeys(t *testing.T) {
	s := startService(t, testutil.ServePrefill, testutil.ServeDecode("Noted"))
	for i := range 65 {
		resp, _, _ := s.post(t, requestBody("meldung", false, "x"), "Idempotency-Key", fmt.Sprint(i))
		if want := map[bool]int{true: 200, false: 503}[i < 64]; resp.StatusCode != want {
			t.Fatalf("key %d: status %d", i, resp.StatusCode)
		}
	}
}

func TestRetryDuringFirstAttemptIsRejected(t *testing.T) {
	release := make(chan struct{})
	s := startService(t, testutil.ServePrefill, func(w http.ResponseWriter, r *http.Request, n int) {
		<-release
		testutil.ServeDecode("Noted")(w, r, n)
	})
	request, done := requestBody("meldung", false, "x"), make(chan int)
	go func() {
		resp, _, _ := s.post(t, request, "Idempotency-Key", "k")
		done <- resp.StatusCode
	}()
	testutil.Eventually(t, "the first attempt", func() bool { n, _ := s.Decode.Calls(); return n == 1 })
	resp, _, _ := s.post(t, request, "Idempotency-Key", "k")
	close(release)
	if first := <-done; first != 200 || resp.StatusCode != 409 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("first %d, retry %d", first, resp.StatusCode)
	}
}

// If the client of a request with a key disconnects during the prefill, the request must not be sent to a decode
// replica. Since it has not run, its key must be released so that the client's retry runs.
func TestClientGoneDuringPrefillReleasesKey(t *testing.T) {
	begun, release := make(chan bool, 1), make(chan bool)
	s := startService(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 0 {
			begun <- true
			<-release
		}
		testutil.ServePrefill(w, r, n)
	}, testutil.ServeDecode("alpha"))
	body := requestBody("meldung", false, "a correction")
	ctx, disconnect := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "k")
	clientErr := make(chan error, 1)
	go func() { _, err := http.DefaultClient.Do(req); clientErr <- err }()
	<-begun
	disconnect()
	if err := <-clientErr; !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	time.Sleep(150 * time.Millisecond) // longer than the 0.1 s in which an attempt may still begin
	close(release)
	time.Sleep(200 * time.Millisecond) // long enough for a call of the decode replica to arrive
	if n, _ := s.Decode.Calls(); n != 0 {
		t.Fatalf("%d calls of the decode replica for a client that had gone", n)
	}
	resp, got, err := s.post(t, body, "Idempotency-Key", "k")
	if err != nil || resp.StatusCode != http.StatusOK || !strings.Contains(got, "alpha") {
		t.Errorf("the retry: %v, %q, %v", resp.StatusCode, got, err)
	}
	if n, _ := s.Decode.Calls(); n != 1 {
		t.Errorf("%d calls of the decode replica in all", n)
	}
}
