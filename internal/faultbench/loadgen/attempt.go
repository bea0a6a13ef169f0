package loadgen

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/replica"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/faultbench/timing"
)

const (
	answerGrace   = 600 * time.Millisecond // how long after its timeout a client still waits for an answer
	streamSilence = 6 * time.Second        // after which a client gives a stream up
	// linkHealthyFor is how long before a request its link must have been without a fault for it to count as unimpeded.
	linkHealthyFor = time.Second
	// First tokens may take promptAllowance a prompt token longer than the class's objective; a late answer earns
	// lateFraction of its value.
	promptAllowance = 40 * time.Microsecond
	lateFraction    = 0.1
)

// attempt is one attempt of a client at a request.
type attempt struct {
	id         string
	request    *deployment.Request
	start      time.Time // of the first attempt
	timeout    time.Duration
	text       string
	dispatcher int
	leaves     bool // the client leaves after leaveAfter, as mode says
	leaveAfter time.Duration
	mode       closeMode
	sentAt     time.Time // once it is sent
}

// event is an event about the attempt.
func (a *attempt) event(kind history.Kind) history.Event {
	return history.Event{Kind: kind, Request: a.id, Dispatcher: a.dispatcher}
}

// linkHealthy tells whether a connection's link has had no fault since shortly before the attempt was sent.
func (a *attempt) linkHealthy(k *connection) bool {
	return k.Link().Healthy(a.sentAt.Add(-linkHealthyFor))
}

// attempt sends one attempt and follows its answer to the end.
func (c *Clients) attempt(ctx context.Context, r *deployment.Request, start time.Time, rng *rand.Rand, out *Result) outcome {
	timeout := min(r.Timeout, r.Class.Deadline-time.Since(start))
	if timeout < minTimeout {
		return outcome{status: Unanswered}
	}
	d := c.pick(r.Zone)
	if d < 0 {
		return outcome{status: Unreachable}
	}
	a := &attempt{id: strconv.FormatUint(rng.Uint64(), 16), request: r, start: start, timeout: timeout, dispatcher: d}
	c.config.Cluster.Register(a.id, r)
	a.text = c.requestText(a.id, r, timeout)
	a.leaves = c.drawLeave(rng)
	a.leaveAfter = time.Duration(rng.Int64N(int64(maxLeaveDelay)))
	a.mode = closeMode(rng.IntN(int(closeModes)))
	k, err := c.get(ctx, d)
	if err != nil {
		return outcome{status: Unreachable}
	}
	o, again := c.send(ctx, a, k, out)
	if !again || !k.reused {
		return o
	}
	if a.dispatcher = c.config.Front.Pick(r.Zone); a.dispatcher < 0 {
		return outcome{status: Unreachable}
	}
	if k, err = c.getNew(ctx, a.dispatcher); err != nil {
		return outcome{status: Unreachable}
	}
	o, _ = c.send(ctx, a, k, out)
	return o
}

// send sends an attempt on a connection and follows its answer. again tells whether the connection was closed while the
// attempt crossed that close, so that the client sends it once more on a new one where this one was reused.
func (c *Clients) send(ctx context.Context, a *attempt, k *connection, out *Result) (o outcome, again bool) {
	a.sentAt = time.Now()
	if _, err := io.WriteString(k, a.text); err != nil {
		k.Close()
		return outcome{status: Unreachable}, true
	}
	sent := a.event(history.RequestSent)
	sent.Group, sent.Class, sent.Until = a.request.Group, a.request.Class.Name, c.config.History.Now()+a.timeout
	c.config.History.Add(sent)
	k.SetReadDeadline(time.Now().Add(a.timeout + answerGrace))
	if a.leaves {
		c.leave(ctx, a, k)
		return outcome{status: Left}, false
	}
	resp, err := http.ReadResponse(k.reader, nil)
	if err == nil {
		return c.follow(a, k, resp, out), false
	}
	k.Close()
	// A close between requests may cross one that the dispatcher has not read: it goes once more on a new
	// connection, unless the process is known to have ended.
	up := c.config.UpSince(a.dispatcher, a.sentAt)
	if k.reused && !isTimeout(err) && up {
		dropped := a.event(history.ConnectionDropped)
		dropped.LinkHealthy = a.linkHealthy(k)
		c.config.History.Add(dropped)
		return outcome{status: Unreachable}, true
	}
	gaveUp := a.event(history.ClientGaveUp)
	gaveUp.LinkHealthy = a.linkHealthy(k) && up
	c.config.History.Add(gaveUp)
	return outcome{status: Unanswered}, false
}

// leave ends the connection of a client that leaves.
func (c *Clients) leave(ctx context.Context, a *attempt, k *connection) {
	c.mu.Lock()
	k.leaving = true
	c.mu.Unlock()
	timing.Sleep(ctx, a.leaveAfter)
	c.closeConnection(k.Conn, a.mode, a.dispatcher, a.sentAt, a.id)
	time.Sleep(closeLinger) // a client that has closed only its half looks like one that has gone
	k.Close()
}

// follow reads an answer.
func (c *Clients) follow(a *attempt, k *connection, resp *http.Response, out *Result) outcome {
	defer resp.Body.Close()
	received := a.event(history.ResponseReceived)
	received.Group, received.Class, received.Status = a.request.Group, a.request.Class.Name, resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		c.finish(a, k, resp, received, err)
		if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
			retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if err != nil {
				retryAfter = 0
			}
			return outcome{Refused, scenario.Seconds(retryAfter)}
		}
		return outcome{status: Failed}
	}
	s, err := c.readStream(a, k, resp.Body)
	received.MaxEventDelay = s.maxEventDelay
	c.finish(a, k, resp, received, err)
	if err == nil && !s.done {
		c.config.History.Add(a.event(history.ForeignResponseReceived))
	}
	if err != nil || !s.done {
		return outcome{status: Broken}
	}
	return s.judge(a, out)
}

// finish records the end of an answer, complete unless reading it failed, and keeps the connection alive if it may.
func (c *Clients) finish(a *attempt, k *connection, resp *http.Response, received history.Event, err error) {
	complete := err == nil
	received.Elapsed = time.Since(a.sentAt)
	received.Complete, received.LinkHealthy = complete, a.linkHealthy(k)
	c.config.History.Add(received)
	extra := k.reader.Buffered()
	if complete && extra > 0 {
		c.config.History.Add(a.event(history.ExtraBytesReceived))
	}
	if complete && !resp.Close && extra == 0 {
		k.SetReadDeadline(time.Time{})
		c.putIdle(k)
	} else {
		k.Close()
	}
}

// stream is what a client has read of a stream.
type stream struct {
	tokens        int
	done          bool // its end has come
	first, last   time.Time
	maxEventDelay time.Duration
}

// readStream reads a stream to its end, and records events that were made for another request.
func (c *Clients) readStream(a *attempt, k *connection, body io.Reader) (s stream, err error) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		k.SetReadDeadline(time.Now().Add(streamSilence))
		line := lines.Text()
		if strings.Contains(line, `"content":`) {
			if s.last = time.Now(); s.tokens == 0 {
				s.first = s.last
				first := a.event(history.FirstEventReceived)
				first.LinkHealthy = a.linkHealthy(k)
				c.config.History.Add(first)
			}
			s.maxEventDelay = max(s.maxEventDelay, c.config.Cluster.EventDelay(a.id, s.tokens))
			if !strings.Contains(line, replica.EventMark(a.id, s.tokens)) {
				c.config.History.Add(a.event(history.ForeignResponseReceived))
			}
			s.tokens += replica.TokensPerEvent
		}
		s.done = s.done || line == "data: [DONE]"
	}
	return s, lines.Err()
}

// judge compares a complete stream with the class's objectives.
func (s *stream) judge(a *attempt, out *Result) outcome {
	r := a.request
	out.FirstToken = s.first.Sub(a.start)
	objective := r.Class.TTFTObjective + time.Duration(r.PromptTokens)*promptAllowance
	interval := s.last.Sub(s.first) / time.Duration(max(r.OutputTokens, 1))
	out.Earned = r.Value()
	if out.FirstToken > objective || interval > r.Class.TokenInterval {
		out.Earned *= lateFraction
		return outcome{status: Late}
	}
	return outcome{status: Served}
}
