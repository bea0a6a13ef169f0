package chatapi_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"rampspread/internal/testkit"
)

// A filing whose client leaves during the read is not sent to a writer any more; what was sent is read to its end.
// Nothing has run, so its key is free: the client's repeat runs.
func TestFilingWhoseClientLeft(t *testing.T) {
	begun, let := make(chan bool, 1), make(chan bool)
	s := serve(t, func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 0 {
			begun <- true
			<-let
		}
		testkit.Read(w, r, n)
	}, testkit.Write("alpha"))
	text := body("meldung", false, "a correction")
	ctx, leave := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/v1/chat/completions", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "k")
	left := make(chan error, 1)
	go func() { _, err := http.DefaultClient.Do(req); left <- err }()
	<-begun
	leave()
	if err := <-left; !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	time.Sleep(150 * time.Millisecond) // over the 0.1 s in which an attempt may still begin
	close(let)
	time.Sleep(200 * time.Millisecond) // in which a write would have come
	if n, _ := s.Writer.Calls(); n != 0 {
		t.Fatalf("%d writes for a client that had left", n)
	}
	if resp, got, err := s.post(t, text, "Idempotency-Key", "k"); err != nil || resp.StatusCode != http.StatusOK || !strings.Contains(got, "alpha") {
		t.Errorf("the repeat: %v, %q, %v", resp.StatusCode, got, err)
	}
	if n, _ := s.Writer.Calls(); n != 1 {
		t.Errorf("%d writes in all", n)
	}
}
