// Package servers speaks to the replicas: it sends calls, reads their answers
// and streams, and releases what they hold.
package servers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/decide"
	"rampspread/internal/core"
	"rampspread/internal/wire"
)

const (
	roomsPath    = "/bootstrap/rooms/"
	maxAnswer    = 64 << 10               // of an answer that is no stream
	tailSize     = 2 << 10                // of a stream, kept for the usage and the load report
	releaseTry   = 100 * time.Millisecond // for one replica to take a release
	releaseTries = 5
	silence      = 3500 * time.Millisecond // a stream with no event for so long is given up
)

// Pool reaches all replicas over one Transport.
type Pool struct {
	transport *http.Transport
	settings  *wire.Settings
	bad       atomic.Int64
}

// New returns a Pool that holds at most conns connections to any one replica, and idle ones in all. A call
// that had to wait for a connection would run late unseen, so conns is no bound for ordinary days.
func New(settings *wire.Settings, conns, idleConns int) *Pool {
	// The time for which a state is held runs on while connections fail to come up. Half the settings'
	// figure leaves room for a second and a third writer before the state must be let go.
	dial := wire.FromMS(settings.Limits.ConnectTimeoutMs) / 2
	if dial <= 0 {
		dial = 125 * time.Millisecond
	}
	idle := wire.FromMS(settings.Limits.ConnIdleMs)
	if idle <= 0 {
		idle = 10 * time.Second
	}
	return &Pool{settings: settings, transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dial}).DialContext,
		DisableCompression:  true, // events pass on unchanged
		MaxIdleConns:        idleConns,
		MaxIdleConnsPerHost: conns,
		MaxConnsPerHost:     conns,
		// A replica's machine resets what is written to a connection idle for longer, and such a
		// request may have run; ours close well before.
		IdleConnTimeout:        idle * 7 / 10,
		MaxResponseHeaderBytes: 16 << 10,
	}}
}

// Bad is how many answers, events and load reports made no sense.
func (p *Pool) Bad() int64 { return p.bad.Load() }

// Close shuts idle connections.
func (p *Pool) Close() { p.transport.CloseIdleConnections() }

// body hands a call's bytes to the Transport. It settles whether the last byte may have been written when
// an attempt is aborted: none is handed over after that. It is no type that net/http knows, so the
// Transport cannot rewind it and never resends a call by itself.
type body struct {
	mu      sync.Mutex
	rest    []byte
	given   bool // the last byte was handed over
	aborted bool
}

var errAborted = errors.New("attempt aborted")

func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.aborted {
		return 0, errAborted
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	if len(b.rest) == 0 {
		b.given = true
		return n, io.EOF
	}
	return n, nil
}

func (b *body) Close() error { return nil }

// attempt implements core.Attempt.
type attempt struct {
	pool   *Pool
	body   body
	cancel context.CancelFunc
	unsent atomic.Bool // writing failed before the last byte
}

// Abort implements core.Attempt.
func (a *attempt) Abort() {
	a.body.mu.Lock()
	a.body.aborted = true
	a.body.mu.Unlock()
	a.cancel()
}

// Send implements core.Servers.
func (p *Pool) Send(call core.Call, to core.Target, limit time.Duration, ev core.Events) core.Attempt {
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{pool: p, cancel: cancel, body: body{rest: call.Body}}
	go a.run(ctx, call, to, limit, ev)
	return a
}

func (a *attempt) run(ctx context.Context, call core.Call, to core.Target, limit time.Duration, ev core.Events) {
	written := make(chan struct{}, 1)
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err != nil {
			a.unsent.Store(true)
		}
		written <- struct{}{}
	}}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call.Method, to.Addr, call.Target)
	if err != nil {
		log.Printf("event=bad_target server=%s err=%q", to.Name, err)
		a.cancel()
		ev.Ended(core.Outcome{Outcome: decide.ConnectFailed})
		return
	}
	req.Body, req.ContentLength = &a.body, int64(len(call.Body))
	req.Header.Set("X-Trace-Id", call.ID)
	req.Header.Set("X-Expires-In", strconv.FormatInt(limit.Milliseconds(), 10)+"m")
	if call.Type != "" {
		req.Header.Set("Content-Type", call.Type)
	}
	resp, err := a.pool.transport.RoundTrip(req)
	if err != nil {
		a.cancel()
		o := a.lost(written)
		log.Printf("event=call_failed id=%s server=%s outcome=%d err=%q", call.ID, to.Name, o, err)
		ev.Ended(core.Outcome{Outcome: o})
		return
	}
	if resp.StatusCode == http.StatusOK {
		a.stream(resp, ev)
		return
	}
	defer a.cancel()
	data, err := drain(resp.Body)
	ev.Ended(a.pool.outcome(resp, data, err))
}

// lost tells apart what never ran from what may have, by whether the last byte was written.
func (a *attempt) lost(written chan struct{}) decide.Outcome {
	select {
	case <-written:
		if !a.unsent.Load() {
			return decide.Reset
		}
	default: // no connection came up, or the write was cut off
		a.body.mu.Lock()
		defer a.body.mu.Unlock()
		if a.body.given {
			return decide.Reset
		}
	}
	return decide.ConnectFailed
}

func newRequest(ctx context.Context, method, addr, target string) (*http.Request, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	u.Scheme, u.Host = "http", addr
	req, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	req.Header.Set("User-Agent", "rampspread")
	return req, nil
}

// drain reads a short body to its end, so that the connection can be used again.
func drain(r io.ReadCloser) ([]byte, error) {
	defer r.Close()
	return io.ReadAll(io.LimitReader(r, maxAnswer))
}

// outcome reads an answer that is no stream.
func (p *Pool) outcome(resp *http.Response, data []byte, err error) core.Outcome {
	o := core.Outcome{Outcome: decide.Errored, Load: p.load(resp.Header.Get("Endpoint-Load-Metrics"))}
	neverRan := resp.Header.Get("X-Never-Ran") == "1"
	switch resp.StatusCode {
	case http.StatusAccepted:
		o.Outcome = decide.ReadDone
		var read struct {
			CachedTokens int `json:"cached_tokens"`
		}
		if err == nil {
			err = json.Unmarshal(data, &read)
		}
		if err != nil {
			p.bad.Add(1) // the read is done all the same: the head says so
		}
		o.Kept = max(read.CachedTokens, 0)
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if neverRan {
			o.Outcome = decide.Full
		}
	case http.StatusGone:
		if neverRan {
			o.Outcome = decide.NoState
		}
	case http.StatusInternalServerError:
	default:
		p.bad.Add(1)
		log.Printf("event=unknown_answer status=%d", resp.StatusCode)
	}
	return o
}

// load reads a load report such as "TEXT inflight=7, util=0.61"; nil without one.
func (p *Pool) load(text string) *decide.Load {
	rest, ok := strings.CutPrefix(strings.TrimSpace(text), "TEXT ")
	if !ok {
		if text != "" {
			p.bad.Add(1)
		}
		return nil
	}
	values := map[string]float32{}
	for _, item := range strings.Split(rest, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		v, err := strconv.ParseFloat(value, 32)
		if err != nil || !(v >= 0 && v < 1e9) {
			p.bad.Add(1)
			return nil
		}
		values[name] = float32(v)
	}
	report := make([]float32, 0, len(p.settings.Telemetry.Fields))
	for _, name := range p.settings.Telemetry.Fields {
		v, ok := values[name]
		if !ok {
			return nil
		}
		report = append(report, v)
	}
	return p.settings.Load(report)
}

// stream waits for the first event and offers the stream to the client.
func (a *attempt) stream(resp *http.Response, ev core.Events) {
	s := &stream{attempt: a, body: resp.Body, ev: ev}
	buf := make([]byte, 4<<10)
	n, err := resp.Body.Read(buf)
	for n == 0 && err == nil {
		n, err = resp.Body.Read(buf)
	}
	if n == 0 {
		resp.Body.Close()
		a.cancel()
		ev.Ended(core.Outcome{Outcome: decide.Reset}) // an end before the first event
		return
	}
	s.head, s.err = buf[:n], err
	s.watch = time.AfterFunc(silence, a.cancel)
	if !ev.First(s) {
		s.watch.Stop()
		resp.Body.Close()
		a.cancel()
	}
}

// stream implements core.Stream over a replica's answer.
type stream struct {
	attempt *attempt
	body    io.ReadCloser
	ev      core.Events
	head    []byte // read ahead
	err     error  // that came with it
	tail    []byte // the last of what was passed on
	watch   *time.Timer
	ended   bool
}

// Read implements io.Reader. The watch guards against replicas that fall silent in midstream: their
// connections stay open, and the client could only wait.
func (s *stream) Read(p []byte) (n int, err error) {
	if len(s.head) > 0 {
		n = copy(p, s.head)
		s.head = s.head[n:]
		if len(s.head) == 0 {
			err = s.err
		}
	} else if s.err != nil {
		return 0, s.err
	} else {
		s.watch.Reset(silence)
		n, err = s.body.Read(p)
		s.watch.Stop()
		s.err = err
	}
	if s.tail = append(s.tail, p[:n]...); len(s.tail) > 2*tailSize {
		s.tail = append(s.tail[:0], s.tail[len(s.tail)-tailSize:]...)
	}
	if err != nil {
		s.end()
	}
	return n, err
}

// Close implements io.Closer. A stream that is closed before its end is cut off at the replica too.
func (s *stream) Close() error {
	s.watch.Stop()
	s.end()
	s.attempt.cancel()
	return s.body.Close()
}

func (s *stream) end() {
	if s.ended {
		return
	}
	s.ended = true
	o := core.Outcome{Outcome: decide.Reset}
	if s.err == io.EOF {
		o.Outcome = decide.Served
		o.Kept, o.Load = s.attempt.pool.usage(s.tail)
	}
	s.ev.Ended(o)
}

// usage reads a stream's last lines: the prompt tokens found kept, and the load report in a comment.
func (p *Pool) usage(tail []byte) (kept int, load *decide.Load) {
	for line := range strings.Lines(string(tail)) {
		line = strings.TrimSpace(line)
		if text, ok := strings.CutPrefix(line, ": Endpoint-Load-Metrics:"); ok {
			load = p.load(text)
			continue
		}
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok || !strings.Contains(data, `"usage"`) {
			continue
		}
		var event struct {
			Usage struct {
				Details struct {
					Cached int `json:"cached_tokens"`
				} `json:"prompt_tokens_details"`
			} `json:"usage"`
		}
		if err := json.Unmarshal([]byte("{"+data), &event); err != nil {
			p.bad.Add(1)
			continue
		}
		kept = max(event.Usage.Details.Cached, 0)
	}
	return kept, load
}

// Release implements core.Servers. What is held must be let go in time, so a replica that does not answer
// at once is left for the next.
func (p *Pool) Release(call core.Call, through []core.Target) {
	go func() {
		for _, to := range through[:min(len(through), releaseTries)] {
			if p.release(call.ID, to) == nil {
				return
			}
		}
		log.Printf("event=release_failed id=%s", call.ID)
	}()
}

func (p *Pool) release(id string, to core.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTry)
	defer cancel()
	req, err := newRequest(ctx, http.MethodDelete, to.Addr, roomsPath+url.PathEscape(id))
	if err != nil {
		return err
	}
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("release through %s: %w", to.Name, err)
	}
	if _, err := drain(resp.Body); err != nil {
		return fmt.Errorf("release through %s: %w", to.Name, err)
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("release through %s: status %d", to.Name, resp.StatusCode)
	}
	return nil
}
