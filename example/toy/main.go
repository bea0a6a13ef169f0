// Command toy is a stand-in for discovery, one reader and one writer, to try rampspread with on one
// machine: see the README beside it.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8500", "the `address` of discovery")
	reader := flag.String("reader", "127.0.0.1:9101", "the `address` of the reader")
	writer := flag.String("writer", "127.0.0.1:9102", "the `address` of the writer")
	flag.Parse()
	fleet := newToy(*reader, *writer)
	for addr, h := range map[string]http.HandlerFunc{*reader: fleet.read, *writer: fleet.write} {
		go func() { log.Fatal(http.ListenAndServe(addr, h)) }()
	}
	log.Printf("event=toy discovery=%s reader=%s writer=%s", *discovery, *reader, *writer)
	if err := http.ListenAndServe(*discovery, http.HandlerFunc(fleet.list)); err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}

// toy keeps the states that were read and not yet written.
type toy struct {
	text  string // of the list
	mu    sync.Mutex
	state map[string]bool
}

// version is the one version of the list.
const version = "1"

func newToy(reader, writer string) *toy {
	entry := func(id, addr, kind string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"wien-nord","machineType":%q,"cell":0,`+
			`"lifecycle":"ready","weight":1.0,"startedAtMs":0}`, id, addr, kind)
	}
	return &toy{state: map[string]bool{}, text: fmt.Sprintf(`{"generation":`+version+`,"reset":true,"instances":[%s,%s]}`,
		entry("reader", reader, "prefill"), entry("writer", writer, "decode-a"))}
}

// list is discovery: the whole list, or a watch. A watch from another version than the list's brings the whole list
// first, as the protocol has it; nothing changes after that, so empty lines follow.
func (t *toy) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Get("stream") == "" || q.Get("index") != version {
		io.WriteString(w, t.text+"\n")
	}
	if q.Get("stream") == "" {
		return
	}
	for r.Context().Err() == nil {
		io.WriteString(w, "\n")
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
		}
	}
}

// released takes the call that lets a state go.
func (t *toy) released(w http.ResponseWriter, r *http.Request) bool {
	id, ok := strings.CutPrefix(r.URL.Path, "/bootstrap/rooms/")
	if !ok || r.Method != http.MethodDelete {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.state, id)
	w.WriteHeader(http.StatusNoContent)
	return true
}

func (t *toy) read(w http.ResponseWriter, r *http.Request) {
	if t.released(w, r) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	t.mu.Lock()
	t.state[r.Header.Get("X-Trace-Id")] = true
	t.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
	io.WriteString(w, `{"cached_tokens":0}`)
}

// write answers with the words of the last message.
func (t *toy) write(w http.ResponseWriter, r *http.Request) {
	if t.released(w, r) {
		return
	}
	var ask struct{ Messages []struct{ Content any } }
	if json.NewDecoder(r.Body).Decode(&ask) != nil || len(ask.Messages) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	id := r.Header.Get("X-Trace-Id")
	t.mu.Lock()
	held := t.state[id]
	delete(t.state, id)
	t.mu.Unlock()
	if !held {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusGone)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	words := strings.Fields(fmt.Sprint("You wrote: ", ask.Messages[len(ask.Messages)-1].Content))
	for i, word := range words {
		finish := "null"
		if i == len(words)-1 {
			finish = `"stop"`
		}
		content, err := json.Marshal(word + " ")
		if err != nil {
			return // a string always marshals
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":%s}]}\n\n", content, finish)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n", len(words))
}
