package faultbench

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
	"rampspread/internal/faultbench/replica"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/faultbench/timing"
)

const (
	maxClientAttempts   = 3 // a client's first and its own repeats
	connectTimeout      = time.Second
	answerGrace         = 600 * time.Millisecond // how long beyond its time a client still listens for an answer
	maxRetryAfter       = 500 * time.Millisecond // the longest advice that a client heeds
	idleTimeout         = 12 * time.Second
	healthCheckInterval = 100 * time.Millisecond
	unhealthyAfter      = 2 * time.Second // the front notices a dead dispatcher so late
	streamSilence       = 6 * time.Second
	closeLinger         = 500 * time.Millisecond // between a client's half close and its whole one
)

// front deals out clients' connections among the dispatchers that it holds to be there.
type front struct {
	run   *Run
	mu    sync.Mutex
	in    []bool
	heard []time.Time
	next  []int // by zone
	order []int // the dispatchers in turn, one that is hot several times
}

func newFront(r *Run) *front {
	n := len(r.dispatchers)
	f := &front{run: r, in: make([]bool, n), heard: make([]time.Time, n), next: make([]int, r.scenario.Zones)}
	for d := range n {
		f.order = append(f.order, d)
		for range r.scenario.HotFactor - 1 {
			if d == 0 {
				f.order = append(f.order, 0)
			}
		}
	}
	return f
}

// watch asks one dispatcher for its health until the context ends.
func (f *front) watch(ctx context.Context, d int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return network.Dial(ctx, addr, f.run.links.clients[d])
		}}}
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	for {
		resp, err := client.Get("http://" + f.run.addrs.listen(d) + "/healthz")
		now := time.Now()
		f.mu.Lock()
		switch {
		case err == nil && resp.StatusCode == http.StatusOK:
			f.in[d], f.heard[d] = true, now
		case err == nil:
			f.in[d] = false // it says no: that is noticed at once
		case now.Sub(f.heard[d]) > unhealthyAfter:
			f.in[d] = false
		}
		f.mu.Unlock()
		if err == nil {
			resp.Body.Close()
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// pick is the next dispatcher for a zone's client; where the zone has none, others serve it. -1: there is none.
func (f *front) pick(zone int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, own := range []bool{true, false} {
		for range f.order {
			f.next[zone]++
			d := f.order[f.next[zone]%len(f.order)]
			if f.in[d] && !f.run.dispatchers[d].leavesFrontLayer() && (!own || d%f.run.scenario.Zones == zone) {
				return d
			}
		}
	}
	return -1
}

// deals tells whether the front deals out connections to a dispatcher.
func (f *front) deals(d int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.in[d] && !f.run.dispatchers[d].leavesFrontLayer()
}

// conn is a client's connection.
type conn struct {
	*network.Conn
	r          *bufio.Reader
	dispatcher int
	used       bool
	from       *clients

	// The clients' lock guards these.
	busy  bool      // a request is out on it,
	blind bool      // and its client is about to leave: it reads nothing, and sees no close
	asked time.Time // the last one
	idle  time.Time // since when none is out
}

// Close ends the connection.
func (k *conn) Close() error {
	k.from.mu.Lock()
	delete(k.from.open, k)
	k.from.mu.Unlock()
	return k.Conn.Close()
}

// clients keeps the connections that are not in use.
type clients struct {
	run  *Run
	mu   sync.Mutex
	idle map[int][]*conn
	open map[*conn]struct{}
	made int // connections in all
}

func newClients(r *Run) *clients {
	return &clients{run: r, idle: map[int][]*conn{}, open: map[*conn]struct{}{}}
}

// dial opens a client's connection to a dispatcher over its link, within connectWait.
func (r *Run) dial(ctx context.Context, d int) (*network.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return network.Dial(ctx, r.addrs.listen(d), r.links.clients[d])
}

func (c *clients) get(ctx context.Context, d int, fresh bool) (*conn, error) {
	for k := c.takeIdle(d); k != nil && !fresh; k = c.takeIdle(d) {
		if k.used = true; time.Since(k.idle) < idleTimeout {
			return k, nil
		}
		k.Close()
	}
	inner, err := c.run.dial(ctx, d)
	if err != nil {
		return nil, err
	}
	k := &conn{Conn: inner, r: bufio.NewReader(inner), dispatcher: d, from: c, busy: true, asked: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.made++
	c.open[k] = struct{}{}
	return k, nil
}

// takeIdle takes a connection to a dispatcher that is not in use; nil: there is none.
func (c *clients) takeIdle(d int) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle[d])
	if n == 0 {
		return nil
	}
	k := c.idle[d][n-1]
	c.idle[d] = c.idle[d][:n-1]
	k.busy, k.asked = true, time.Now()
	return k
}

// pick is the dispatcher for a request: one that the front deals out, or one that it does not deal out any more and to which an open
// connection is left, which clients go on using.
func (c *clients) pick(zone int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for d, idle := range c.idle {
		if len(idle) > 0 && d%c.run.scenario.Zones == zone && !c.run.front.deals(d) {
			return d
		}
	}
	return c.run.front.pick(zone)
}

func (c *clients) put(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.busy, k.idle = false, time.Now()
	c.idle[k.dispatcher] = append(c.idle[k.dispatcher], k)
}

func (c *clients) close() {
	c.mu.Lock()
	all := c.idle
	c.idle = map[int][]*conn{}
	c.mu.Unlock()
	for _, idle := range all {
		for _, k := range idle {
			k.Close()
		}
	}
}

// result is what became of one first try with all its repeats.
type result struct {
	spec   *deployment.Request
	tries  int
	status string // served, late, refused, failed, unanswered, unreachable, broken
	first  time.Duration
	earned float64
}

// outcome is what became of one try.
type outcome struct {
	status string
	away   time.Duration
}

// ask carries one first try through, with its client's own repeats.
func (c *clients) ask(ctx context.Context, s *deployment.Request, rng *rand.Rand) result {
	start := time.Now()
	out := result{spec: s, status: "unreachable"}
	for out.tries = 1; ; out.tries++ {
		o := c.try(ctx, s, start, rng, &out)
		out.status = o.status
		again := o.status == "refused" || o.status == "unreachable" ||
			s.Class.Repeatable && (o.status == "failed" || o.status == "unanswered" || o.status == "broken")
		if !again || out.tries == maxClientAttempts || time.Since(start) > s.Class.Deadline {
			return out
		}
		away := o.away
		if away == 0 {
			away = 50*time.Millisecond + time.Duration(rng.Int64N(int64(200*time.Millisecond)))
		}
		if timing.Sleep(ctx, min(away, maxRetryAfter)) != nil {
			return out
		}
	}
}

// try sends one try and follows its answer to the end.
func (c *clients) try(ctx context.Context, s *deployment.Request, start time.Time, rng *rand.Rand, out *result) outcome {
	h := c.run.history
	patience := min(s.Timeout, s.Class.Deadline-time.Since(start))
	if patience < 50*time.Millisecond {
		return outcome{status: "unanswered"}
	}
	d := c.pick(s.Zone)
	if d < 0 {
		return outcome{status: "unreachable"}
	}
	id := strconv.FormatUint(rng.Uint64(), 16)
	c.run.cluster.Register(id, s)
	text := c.run.requestText(id, s, patience)
	leaves, leaveAt, how := c.run.clientLeaves.draw(rng), time.Duration(rng.Int64N(int64(maxLeaveDelay))), closeMode(rng.IntN(int(closeModes)))
	for fresh := false; ; fresh = true {
		k, err := c.get(ctx, d, fresh)
		if err != nil {
			return outcome{status: "unreachable"}
		}
		asked := time.Now()
		if _, err := io.WriteString(k, text); err != nil {
			k.Close()
			if d = c.run.front.pick(s.Zone); k.used && !fresh && d >= 0 {
				continue
			}
			return outcome{status: "unreachable"}
		}
		e := history.Event{Kind: history.RequestSent, Request: id, Group: s.Group, Class: s.Class.Name, Dispatcher: d, Until: h.Now() + patience}
		h.Add(e)
		k.SetReadDeadline(time.Now().Add(patience + answerGrace))
		if leaves {
			c.mu.Lock()
			k.blind = true
			c.mu.Unlock()
			timing.Sleep(ctx, leaveAt)
			c.run.closeClient(k.Conn, how, d, asked, id)
			time.Sleep(closeLinger) // one that has closed only its half is not told apart from one that has gone
			k.Close()
			return outcome{status: "left"}
		}
		resp, err := http.ReadResponse(k.r, nil)
		if err != nil {
			k.Close()
			// A close between requests may cross one that the dispatcher has not read: it goes once more on a new
			// connection, unless the process is known to have ended.
			if k.used && !fresh && !isTimeout(err) && c.run.dispatchers[d].UpSince(asked) {
				h.Add(history.Event{Kind: history.ConnectionDropped, Request: id, Dispatcher: d, LinkHealthy: k.Link().Sound(asked.Add(-time.Second))})
				if d = c.run.front.pick(s.Zone); d < 0 {
					return outcome{status: "unreachable"}
				}
				continue
			}
			h.Add(history.Event{Kind: history.ClientGaveUp, Request: id, Dispatcher: d, LinkHealthy: k.Link().Sound(asked.Add(-time.Second)) && c.run.dispatchers[d].UpSince(asked)})
			return outcome{status: "unanswered"}
		}
		return c.follow(k, resp, s, id, start, asked, out)
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// follow reads an answer.
func (c *clients) follow(k *conn, resp *http.Response, s *deployment.Request, id string, start, asked time.Time, out *result) outcome {
	h := c.run.history
	defer resp.Body.Close()
	event := history.Event{Kind: history.ResponseReceived, Request: id, Group: s.Group, Class: s.Class.Name, Dispatcher: k.dispatcher,
		Status: resp.StatusCode}
	finish := func(whole bool) {
		event.Elapsed = time.Since(asked)
		event.Complete, event.LinkHealthy = whole, k.Link().Sound(asked.Add(-time.Second))
		h.Add(event)
		if n := k.r.Buffered(); whole && n > 0 {
			h.Add(history.Event{Kind: history.ExtraBytesReceived, Request: id, Dispatcher: k.dispatcher})
		}
		if whole && !resp.Close && k.r.Buffered() == 0 {
			k.SetReadDeadline(time.Time{})
			c.put(k)
		} else {
			k.Close()
		}
	}
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		finish(err == nil)
		if resp.StatusCode == 429 || resp.StatusCode == 503 {
			away, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if err != nil {
				away = 0
			}
			return outcome{"refused", scenario.Seconds(away)}
		}
		return outcome{status: "failed"}
	}
	lines := bufio.NewScanner(resp.Body)
	tokens, done, first, last := 0, false, time.Time{}, time.Time{}
	for lines.Scan() {
		k.SetReadDeadline(time.Now().Add(streamSilence))
		line := lines.Text()
		if strings.Contains(line, `"content":`) {
			if last = time.Now(); tokens == 0 {
				first = last
				h.Add(history.Event{Kind: history.FirstEventReceived, Request: id, Dispatcher: k.dispatcher, LinkHealthy: k.Link().Sound(asked.Add(-time.Second))})
			}
			event.MaxEventDelay = max(event.MaxEventDelay, c.run.cluster.EventDelay(id, tokens))
			if !strings.Contains(line, replica.EventMark(id, tokens)) {
				h.Add(history.Event{Kind: history.ForeignResponseReceived, Request: id, Dispatcher: k.dispatcher})
			}
			tokens += replica.TokensPerEvent
		}
		done = done || line == "data: [DONE]"
	}
	err := lines.Err()
	finish(err == nil)
	if err == nil && !done {
		h.Add(history.Event{Kind: history.ForeignResponseReceived, Request: id, Dispatcher: k.dispatcher})
	}
	if err != nil || !done {
		return outcome{status: "broken"}
	}
	out.first = first.Sub(start)
	aim := s.Class.TTFTObjective + time.Duration(s.PromptTokens)*40*time.Microsecond
	pace := last.Sub(first) / time.Duration(max(s.OutputTokens, 1))
	out.earned = s.Value()
	if out.first > aim || pace > s.Class.TokenInterval {
		out.earned *= 0.1
		return outcome{status: "late"}
	}
	return outcome{status: "served"}
}

// frontDetectsShutdown is how late after SIGTERM a process still gets new connections: 0.2 to 0.4 s, by the protocol page.
const frontDetectsShutdown = 400 * time.Millisecond

// leavesFrontLayer tells whether the front layer sends it no new connections since it is shutting down.
func (d *dispatcher) leavesFrontLayer() bool {
	return d.run.options.Strict && d.Terminating(frontDetectsShutdown)
}
