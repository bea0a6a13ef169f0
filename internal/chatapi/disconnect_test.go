package chatapi_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"rampspread/internal/testutil"
)

// countFinalAnswers counts the final answers in the text that a client read for one request. A final answer is a
// complete answer, an error, or the last event of a stream.
func countFinalAnswers(status int, stream bool, text string) int {
	if status != 200 || !stream {
		return strings.Count(text, `"error":{`) + strings.Count(text, `"object":"chat.completion",`)
	}
	return strings.Count(text, "data: [DONE]\n\n") + strings.Count(text, `data: {"error":{`)
}

// A replica ends its streams at random points. Every request must still get exactly one final answer, no stream that
// broke may look complete, and no request with a key may run twice however often its client retries it.
func TestStreamsCutByServerGetOneFinalAnswer(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 11))
	s := startService(t, testutil.ServePrefill, testutil.ServePrefill)
	whole := testutil.EventStream("Parcel ", "7 ", "is yours")
	for i := range 60 {
		n := rng.IntN(len(whole) + 40)
		cut, model := n < len(whole), []string{"frage", "meldung"}[rng.IntN(2)]
		stream := rng.IntN(2) == 0
		if !cut {
			n = -1
		}
		s.Decode.SetScript(testutil.ServeTruncated(n, "Parcel ", "7 ", "is yours"))
		for attempt := range 3 {
			resp, text, err := s.post(t, requestBody(model, stream, fmt.Sprint("cut ", i)), "Idempotency-Key", fmt.Sprint("cut ", i))
			if got := countFinalAnswers(resp.StatusCode, stream, text); got != 1 {
				t.Errorf("cut at %d, attempt %d of a %s: %d final answers in %q", n, attempt, model, got, text)
			}
			if cut && (err == nil && resp.StatusCode == 200 || strings.Contains(text, "[DONE]")) {
				t.Errorf("cut at %d, attempt %d of a %s looks complete: %q", n, attempt, model, text)
			}
			if model == "meldung" && resp.StatusCode == 429 {
				t.Errorf("cut at %d: a keyed request that may have run was rejected", n)
			}
		}
	}
	s.checkKeyedRequestsRanOnce(t)
}

// A replica sends a corrupt stream and leaves the connection open. Every request must still get exactly one final
// answer in time, and no request with a key may run twice.
func TestCorruptStreamsGetOneFinalAnswer(t *testing.T) {
	s := startService(t, testutil.ServePrefill, testutil.ServePrefill)
	wholeEvent := testutil.CompleteEvents(testutil.EventStream("Parcel")[:100])
	for name, corrupt := range map[string]string{
		"noise":               "\x03\x80\x91\n\xffnoise\n\n",
		"a head without end":  "HTTP/1.1 200 OK\r\nX-Pad: aaaa",
		"noise for an event":  testutil.ChunkedResponse("\x03\x80\n\n"),
		"a bad size":          testutil.ChunkedResponse(wholeEvent) + "zz\r\n",
		"a chunk without end": testutil.ChunkedResponse(wholeEvent) + "b2d05e00\r\n" + strings.Repeat("x", 99),
	} {
		for _, stream := range []bool{true, false} {
			s.Decode.SetScript(testutil.ServeRaw(corrupt))
			for attempt, wantConflict := range []bool{false, true} { // the retry is rejected and never runs
				start := time.Now()
				key := fmt.Sprint(name, stream)
				resp, text, err := s.post(t, requestBody("meldung", stream, key), "Idempotency-Key", key)
				if got := countFinalAnswers(resp.StatusCode, stream, text); got != 1 || time.Since(start) > 12*time.Second {
					t.Errorf("%s, attempt %d: %d final answers after %v in %q", name, attempt, got, time.Since(start), text)
				}
				if resp.StatusCode == 200 && err == nil || strings.Contains(text, "[DONE]") || (resp.StatusCode == 409) != wantConflict {
					t.Errorf("%s, attempt %d: status %d, %q, %v", name, attempt, resp.StatusCode, text, err)
				}
			}
		}
	}
	s.checkKeyedRequestsRanOnce(t)
}

// checkKeyedRequestsRanOnce checks that each request with a key, identified by its body, was executed once.
func (s *testService) checkKeyedRequestsRanOnce(t *testing.T) {
	t.Helper()
	runs := map[string]int{}
	for _, text := range s.Decode.Bodies() {
		if strings.Contains(text, `"model":"meldung"`) {
			runs[text]++
		}
	}
	if len(runs) == 0 {
		t.Error("no request with a key ran")
	}
	for text, n := range runs {
		if n != 1 {
			t.Errorf("%d runs of %s", n, text)
		}
	}
}

// Clients close their connections at random points of the request or the answer, and then retry. Each retry must get
// exactly one final answer, and no request with a key may run twice.
func TestRetryAfterClientCutGetsOneFinalAnswer(t *testing.T) {
	rng := rand.New(rand.NewPCG(12, 12))
	s := startService(t, testutil.ServePrefill, testutil.ServeDecode("Parcel ", "7 ", "is yours"))
	addr := strings.TrimPrefix(s.url, "http://")
	for i := range 60 {
		model, stream := []string{"frage", "meldung"}[rng.IntN(2)], rng.IntN(2) == 0
		text, key := requestBody(model, stream, fmt.Sprint("gone ", i)), fmt.Sprint("gone ", i)
		head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+
			"Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n",
			key, len(text))
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if sent := rng.IntN(2 * len(head+text)); sent < len(head+text) {
			io.WriteString(conn, (head + text)[:sent])
		} else {
			io.WriteString(conn, head+text)
			io.CopyN(io.Discard, bufio.NewReader(conn), int64(rng.IntN(900)))
		}
		conn.Close()
		finalAnswers := 0
		testutil.Eventually(t, "the retry's answer", func() bool {
			resp, got, _ := s.post(t, text, "Idempotency-Key", key)
			if finalAnswers = countFinalAnswers(resp.StatusCode, stream, got); resp.StatusCode == 409 && strings.Contains(got, "in_progress") {
				return false // the first attempt is still in flight
			}
			if resp.StatusCode != 200 {
				t.Errorf("%s retry after a cut: status %d, %s", model, resp.StatusCode, got)
			}
			return true
		})
		if finalAnswers != 1 {
			t.Errorf("%s: %d final answers to the retry", model, finalAnswers)
		}
	}
	s.checkKeyedRequestsRanOnce(t)
	testutil.Eventually(t, "all requests to end", func() bool { return s.Dispatcher.Counters(t.Context()).Open == 0 })
}
