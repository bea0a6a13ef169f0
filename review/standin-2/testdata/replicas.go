package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// site is discovery with its readers and writers. A reader holds the state of each prompt that it has read until a
// writer fetches it or the state is released, as the protocol page says.
type site struct {
	record *record
	list   string // discovery's list

	mu        sync.Mutex
	states    map[string]bool // by request id
	ran       map[string]int  // how often each text began to run at a writer
	prefillMS int
	decodeMS  int
	hang      chan struct{} // closed when the readers that hang answer again; nil while none hangs
	hanging   int           // how many readers hang, the first ones of the list
	resets    int           // how many more requests the writers run and then reset before the first token

	// dedup is how long all writers together discard a repeated request, known by its text; 0: they discard none.
	dedup time.Duration
	began map[string]time.Time // when a text began to run; only with dedup
}

// replicas runs discovery, the readers and the writers until it is killed. It writes the addresses as shell variables.
func replicas(args []string) {
	var file, addrs string
	var readers, writers int
	s := &site{states: map[string]bool{}, ran: map[string]int{}, began: map[string]time.Time{}}
	parse("replicas", args, func(f *flag.FlagSet) {
		f.StringVar(&file, "record", "", "the record file")
		f.StringVar(&addrs, "addrs", "", "the file for the addresses")
		f.IntVar(&readers, "readers", 2, "how many readers")
		f.IntVar(&writers, "writers", 2, "how many writers")
		f.IntVar(&s.prefillMS, "prefill-ms", 20, "how long a read takes")
		f.IntVar(&s.decodeMS, "decode-ms", 200, "how long an answer streams")
		f.DurationVar(&s.dedup, "dedup", 0, "how long writers discard repeated requests")
	})
	s.record = newRecord(file)
	var instances []string
	for i := range readers + writers {
		name, kind, handler := fmt.Sprintf("reader-%d", i), "prefill", s.read
		if i >= readers {
			name, kind, handler = fmt.Sprintf("writer-%d", i-readers), "decode-a", s.write
		}
		addr := serve(func(w http.ResponseWriter, r *http.Request) { s.replica(name, handler, w, r) })
		instances = append(instances, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"wien-nord","machineType":%q,`+
			`"cell":0,"lifecycle":"ready","weight":1.0,"startedAtMs":0}`, name, addr, kind))
	}
	s.list = `{"generation":1,"reset":true,"instances":[` + strings.Join(instances, ",") + `]}` + "\n"
	text := fmt.Sprintf("DISCOVERY=%s\nCONTROL=%s\n", serve(s.discovery), serve(s.control))
	if err := os.WriteFile(addrs+".new", []byte(text), 0o644); err != nil {
		fail("%v", err)
	}
	if err := os.Rename(addrs+".new", addrs); err != nil {
		fail("%v", err)
	}
	select {}
}

// serve serves a handler on a free loopback port and returns the address.
func serve(handler http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	go func() { fail("%v", http.Serve(l, handler)) }()
	return l.Addr().String()
}

// discovery answers with the list, or with a watch on which nothing changes.
func (s *site) discovery(w http.ResponseWriter, r *http.Request) {
	watch := r.URL.Query().Get("stream") != ""
	if !watch || r.URL.Query().Get("index") != "1" {
		io.WriteString(w, s.list)
	}
	for watch && r.Context().Err() == nil {
		io.WriteString(w, "\n")
		http.NewResponseController(w).Flush()
		select {
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
		}
	}
}

// control changes how the replicas behave (hang=N readers, resets=N, decode-ms=N), or answers how often a text has run (ran=TEXT).
func (s *site) control(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, values := range r.URL.Query() {
		value := values[0]
		switch {
		case name == "hang" && value == "0" && s.hang != nil:
			close(s.hang)
			s.hang = nil
		case name == "hang" && value != "0":
			s.hang = make(chan struct{})
			s.hanging, _ = strconv.Atoi(value)
		case name == "resets":
			s.resets, _ = strconv.Atoi(value)
		case name == "decode-ms":
			s.decodeMS, _ = strconv.Atoi(value)
		case name == "ran":
			fmt.Fprintln(w, s.ran[value])
			return
		}
		s.record.add("control", "%s=%s", name, value)
	}
}

// replica answers the calls that readers and writers have in common, and passes a request on once its last byte came.
func (s *site) replica(name string, handler func(string, string, []byte, http.ResponseWriter, *http.Request),
	w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/load":
		if duty := r.Header.Get("X-Duty"); duty != "" {
			s.record.add(name, "polled for the fleet under %s from %s", duty, r.RemoteAddr)
		}
		io.WriteString(w, "TEXT util=0.10, queue=0, x0=0.10")
	case r.URL.Path == "/healthz":
	case strings.HasPrefix(r.URL.Path, "/bootstrap/rooms/") && r.Method == http.MethodDelete:
		s.mu.Lock()
		delete(s.states, strings.TrimPrefix(r.URL.Path, "/bootstrap/rooms/"))
		s.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	case r.URL.Path == "/v1/chat/completions" && r.Header.Get("X-Trace-Id") != "":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the request did not arrive whole: it never runs
		}
		handler(name, r.Header.Get("X-Trace-Id"), body, w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// read reads a prompt. A reader that hangs gives no answer; a request whose connection is closed is dropped.
func (s *site) read(name, id string, body []byte, w http.ResponseWriter, r *http.Request) {
	s.record.add(name, "read begins id=%s text=%q expires=%s", id, textOf(body), r.Header.Get("X-Expires-In"))
	s.mu.Lock()
	hang, wait := s.hang, time.Duration(s.prefillMS)*time.Millisecond
	var number int
	if fmt.Sscanf(name, "reader-%d", &number); number >= s.hanging {
		hang = nil
	}
	s.mu.Unlock()
	if hang != nil {
		select {
		case <-hang:
		case <-r.Context().Done():
			s.record.add(name, "read dropped id=%s: its connection was closed", id)
			return
		}
	}
	time.Sleep(wait)
	if r.Context().Err() != nil {
		s.record.add(name, "read dropped id=%s: its connection was closed", id)
		return
	}
	s.mu.Lock()
	s.states[id] = true
	s.mu.Unlock()
	s.record.add(name, "read ended id=%s", id)
	w.WriteHeader(http.StatusAccepted)
	io.WriteString(w, `{"cached_tokens":0}`)
}

// write answers a request whose state is held, as a stream of ten events. A request that has begun runs to its end,
// whether or not anybody reads the answer.
func (s *site) write(name, id string, body []byte, w http.ResponseWriter, _ *http.Request) {
	text := textOf(body)
	s.mu.Lock()
	held := s.states[id]
	delete(s.states, id)
	reset := held && s.resets > 0
	if reset {
		s.resets--
	}
	began, known := s.began[text]
	repeated := held && known && time.Since(began) < s.dedup
	if held && !repeated {
		s.ran[text]++
		s.began[text] = time.Now()
	}
	times, pause := s.ran[text], time.Duration(s.decodeMS)*time.Millisecond/10
	s.mu.Unlock()
	if !held {
		s.record.add(name, "turned away id=%s text=%q: no state", id, text)
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusGone)
		return
	}
	if repeated {
		s.record.add(name, "discards the repeat and answers from the first run id=%s text=%q", id, text)
	} else {
		s.record.add(name, "RUNS id=%s text=%q, for the %d. time", id, text, times)
	}
	if reset {
		s.record.add(name, "resets the connection id=%s", id)
		resetConnection(w)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	const events = 10
	for i := range events {
		content, _ := json.Marshal(fmt.Sprintf("%s/%d/%d ", text, times, i))
		finish := "null"
		if i == events-1 {
			finish = `"stop"`
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":%s}]}\n\n", content, finish)
		http.NewResponseController(w).Flush()
		time.Sleep(pause)
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":8,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n", events)
	s.record.add(name, "answer written id=%s text=%q", id, text)
}

// resetConnection closes a request's connection with a reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// textOf returns the text of a request's last message.
func textOf(body []byte) string {
	var request struct{ Messages []struct{ Content string } }
	if json.Unmarshal(body, &request) != nil || len(request.Messages) == 0 {
		return ""
	}
	return request.Messages[len(request.Messages)-1].Content
}
