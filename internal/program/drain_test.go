package program

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"rampspread/internal/testkit"
)

// A stream that began before SIGTERM has its end however long that takes: the process waits for it beyond the time for which it waits for
// connections.
func TestLongStreamOutlivesTheDrain(t *testing.T) {
	t.Parallel()
	const seconds = 22 // over lameDuck, lastCall and shutdownFor
	words := slices.Repeat([]string{"word"}, seconds)
	reader := testkit.NewReplica(t, testkit.Read)
	writer := testkit.NewReplica(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Content-Type", "text/event-stream")
		for event := range strings.SplitAfterSeq(testkit.Answer(words...), "\n\n") {
			io.WriteString(w, event)
			http.NewResponseController(w).Flush()
			time.Sleep(time.Second) // the time itself is what is tested
		}
	})
	list := listText(reader.Addr, writer.Addr)
	discovery, _ := newAgent(t, list)
	listen := freeAddr(t)
	program, out := start(t, "", file(t, "config.json", configText(listen, discovery, list)))
	ready(t, listen)
	c := dialTo(t, listen)
	c.SetDeadline(time.Now().Add(time.Minute))
	io.WriteString(c, wireText("long", "{}"))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", resp, err)
	}
	program.Process.Signal(syscall.SIGTERM)
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != testkit.Answer(words...) {
		t.Errorf("%q, %v", body, err)
	}
	if err := program.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, out.String())
	}
}
