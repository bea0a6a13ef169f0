// Command toy simulates discovery, one prefill replica and one decode replica, to try rampspread on one machine: see
// the README in the folder above. It keeps a request's prefill state in memory until the request is decoded or the
// state is released. The servers may handle any number of requests at once.
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

const (
	// listVersion is the version of the endpoint list, which never changes.
	listVersion = "1"
	// watchKeepalive is the interval between the empty lines of a watch.
	watchKeepalive = 2 * time.Second

	traceHeader = "X-Trace-Id"
	statePath   = "/bootstrap/rooms/"
)

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8500", "the `address` of discovery")
	prefill := flag.String("reader", "127.0.0.1:9101", "the `address` of the reader")
	decode := flag.String("writer", "127.0.0.1:9102", "the `address` of the writer")
	flag.Parse()
	t := newToy(*prefill, *decode)
	for addr, handler := range map[string]http.HandlerFunc{*prefill: t.prefill, *decode: t.decode} {
		go func() { log.Fatal(http.ListenAndServe(addr, handler)) }()
	}
	log.Printf("event=toy discovery=%s reader=%s writer=%s", *discovery, *prefill, *decode)
	if err := http.ListenAndServe(*discovery, http.HandlerFunc(t.serveDiscovery)); err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}

// toy holds the state of the simulated servers: the endpoint list, and the prefill states that are not yet decoded.
type toy struct {
	endpointList string // in the JSON format of discovery

	mu     sync.Mutex
	states map[string]bool // by request ID
}

func newToy(prefillAddr, decodeAddr string) *toy {
	entry := func(id, addr, kind string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"wien-nord","machineType":%q,"cell":0,`+
			`"lifecycle":"ready","weight":1.0,"startedAtMs":0}`, id, addr, kind)
	}
	list := fmt.Sprintf(`{"generation":`+listVersion+`,"reset":true,"instances":[%s,%s]}`,
		entry("reader", prefillAddr, "prefill"), entry("writer", decodeAddr, "decode-a"))
	return &toy{endpointList: list, states: map[string]bool{}}
}

// serveDiscovery answers with the full endpoint list, or as a watch. A watch from another version than the list's
// brings the full list first, as the protocol requires; since nothing changes afterwards, only empty lines follow.
func (t *toy) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	watch := query.Get("stream") != ""
	if !watch || query.Get("index") != listVersion {
		io.WriteString(w, t.endpointList+"\n")
	}
	if !watch {
		return
	}
	for r.Context().Err() == nil {
		io.WriteString(w, "\n")
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(watchKeepalive):
		case <-r.Context().Done():
		}
	}
}

// prefill serves the prefill replica: it stores the state of a request.
func (t *toy) prefill(w http.ResponseWriter, r *http.Request) {
	if t.release(w, r) {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	t.mu.Lock()
	t.states[r.Header.Get(traceHeader)] = true
	t.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
	io.WriteString(w, `{"cached_tokens":0}`)
}

// decode serves the decode replica: it takes the state of a request and streams the words of its last message.
func (t *toy) decode(w http.ResponseWriter, r *http.Request) {
	if t.release(w, r) {
		return
	}
	var request struct{ Messages []struct{ Content any } }
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Messages) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !t.takeState(r.Header.Get(traceHeader)) {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusGone)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	lastMessage := request.Messages[len(request.Messages)-1]
	writeStream(w, strings.Fields(fmt.Sprint("You wrote: ", lastMessage.Content)))
}

// release handles a call that releases a state. It reports whether the request was such a call.
func (t *toy) release(w http.ResponseWriter, r *http.Request) bool {
	id, ok := strings.CutPrefix(r.URL.Path, statePath)
	if !ok || r.Method != http.MethodDelete {
		return false
	}
	t.takeState(id)
	w.WriteHeader(http.StatusNoContent)
	return true
}

// takeState removes a request's state and reports whether it was stored.
func (t *toy) takeState(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	stored := t.states[id]
	delete(t.states, id)
	return stored
}

// writeStream writes words as a stream of chat completion chunks, the last with the usage. It stops if the client is
// gone.
func writeStream(w http.ResponseWriter, words []string) {
	for i, word := range words {
		finishReason := "null"
		if i == len(words)-1 {
			finishReason = `"stop"`
		}
		content, err := json.Marshal(word + " ")
		if err != nil {
			return // a string always marshals
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":%s}]}\n\n",
			content, finishReason)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n", len(words))
}
