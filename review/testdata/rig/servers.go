package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// replica is an entry of the endpoint list.
type replica struct{ name, kind, zone string }

// cluster stands in for the replicas and for one discovery agent a dispatcher. Each dispatcher has addresses of its own
// for them, which identify it.
type cluster struct {
	rig      *rig
	replicas []replica
	words    int           // events of an answer
	gap      time.Duration // between two events

	mu       sync.Mutex
	states   map[string]bool // prefill results that wait for their decode, by request id
	resets   time.Duration   // until then, connections are reset under requests that have begun
	resetOne bool            // the connection of the next request that begins is reset
	runs     []*execution
	polls    []poll
}

// execution is one request that a decode replica has begun to execute.
type execution struct {
	id, text string
	zone     string
	at       time.Duration
	whole    bool // all events were written
}

// poll is one load poll on behalf of the fleet.
type poll struct {
	at       time.Duration
	task     string
	token    uint64
	from     string // dispatcher that sent it
	endpoint string
}

func (c *cluster) now() time.Duration { return time.Since(c.rig.started) }

// listFor starts the servers that a dispatcher sees, and returns the address of its discovery agent.
func (c *cluster) listFor(dispatcher string) (discovery string) {
	var entries []string
	for _, s := range c.replicas {
		addr := c.rig.serve(func(w http.ResponseWriter, q *http.Request) { c.serveReplica(w, q, s, dispatcher) })
		entries = append(entries, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":%q,`+
			`"cell":0,"lifecycle":"ready","weight":1.0,"startedAtMs":0}`, s.name, addr, s.zone, s.kind))
	}
	list := `{"generation":1,"reset":true,"instances":[` + strings.Join(entries, ",") + "]}\n"
	return c.rig.serve(func(w http.ResponseWriter, q *http.Request) {
		watch := q.URL.Query().Get("stream") != ""
		if !watch || q.URL.Query().Get("index") != "1" {
			io.WriteString(w, list)
		}
		for watch && q.Context().Err() == nil {
			io.WriteString(w, "\n")
			http.NewResponseController(w).Flush()
			select {
			case <-time.After(2 * time.Second):
			case <-q.Context().Done():
			}
		}
	})
}

const roomsPath = "/bootstrap/rooms/"

func (c *cluster) serveReplica(w http.ResponseWriter, q *http.Request, s replica, dispatcher string) {
	id, isRoom := strings.CutPrefix(q.URL.Path, roomsPath)
	switch {
	case q.URL.Path == "/load" || q.URL.Path == "/healthz":
		c.countPoll(q.Header.Get("X-Duty"), s.name, dispatcher)
		io.WriteString(w, "TEXT util=0.1, queue=0, x0=0.1")
	case isRoom && q.Method == http.MethodDelete:
		c.mu.Lock()
		delete(c.states, id)
		c.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	case isRoom:
		w.WriteHeader(http.StatusNotFound)
	case q.Method != http.MethodPost || q.Header.Get("X-Trace-Id") == "":
		w.WriteHeader(http.StatusNotFound)
	case s.kind == "prefill":
		c.prefill(w, q, s)
	default:
		c.decode(w, q, s)
	}
}

func (c *cluster) countPoll(lease, endpoint, dispatcher string) {
	var p poll
	if n, _ := fmt.Sscanf(lease, "%s %d", &p.task, &p.token); n != 2 {
		return // a poll of the dispatcher's own
	}
	p.at, p.from, p.endpoint = c.now(), dispatcher, endpoint
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polls = append(c.polls, p)
}

func (c *cluster) prefill(w http.ResponseWriter, q *http.Request, s replica) {
	id := q.Header.Get("X-Trace-Id")
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	c.states[id] = true
	c.mu.Unlock()
	c.rig.note("%s: prefill of %s done", s.name, id)
	w.WriteHeader(http.StatusAccepted)
	io.WriteString(w, `{"cached_tokens":0}`)
}

func (c *cluster) decode(w http.ResponseWriter, q *http.Request, s replica) {
	id := q.Header.Get("X-Trace-Id")
	var body struct {
		Messages []struct{ Content string }
	}
	if json.NewDecoder(q.Body).Decode(&body) != nil || len(body.Messages) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	text := body.Messages[len(body.Messages)-1].Content
	c.mu.Lock()
	hasState := c.states[id]
	delete(c.states, id)
	run := &execution{id: id, text: text, zone: s.zone, at: c.now()}
	reset := c.now() < c.resets || c.resetOne && hasState
	if reset {
		c.resetOne = false
	}
	known := c.hasRun(id, s.zone) // the replicas of a zone discard a request that comes again under its id
	if hasState && !known {
		c.runs = append(c.runs, run)
	}
	c.mu.Unlock()
	if !hasState {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusGone)
		return
	}
	if known {
		c.rig.note("%s in %s: answers %s again, which the zone has run", s.name, s.zone, id)
	} else {
		c.rig.note("%s in %s: runs %s, %q", s.name, s.zone, id, text)
	}
	time.Sleep(50 * time.Millisecond)
	if reset {
		c.rig.note("%s: the connection of %s is reset", s.name, id)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range c.words {
		finish := "null"
		if i == c.words-1 {
			finish = `"stop"`
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s-%d \"},\"finish_reason\":%s}]}\n\n", id, i, finish)
		if http.NewResponseController(w).Flush() != nil || q.Context().Err() != nil {
			c.rig.note("%s: the stream of %s was given up after %d events", s.name, id, i+1)
			return
		}
		time.Sleep(c.gap)
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":8,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n", c.words)
	c.mu.Lock()
	run.whole = true
	c.mu.Unlock()
	c.rig.note("%s: answered %s to its end", s.name, id)
}

// resetUntil makes decode replicas execute requests and then reset their connections, until the given time.
func (c *cluster) resetUntil(end time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = end
}

// resetNext makes the decode replica that begins the next request reset its connection.
func (c *cluster) resetNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetOne = true
}

// hasRun reports whether a request with the id was executed in a zone. c.mu must be held.
func (c *cluster) hasRun(id, zone string) bool {
	for _, run := range c.runs {
		if run.id == id && run.zone == zone {
			return true
		}
	}
	return false
}

// executions returns the executions of the request with the given text.
func (c *cluster) executions(text string) (runs []execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.runs {
		if r.text == text {
			runs = append(runs, *r)
		}
	}
	return runs
}

func replicas(prefill, decode int) (list []replica) {
	for i := range prefill {
		list = append(list, replica{fmt.Sprintf("p%d", i), "prefill", "wien-nord"})
	}
	for i := range decode {
		list = append(list, replica{fmt.Sprintf("d%d", i), "decode-a", "wien-nord"})
	}
	return list
}
