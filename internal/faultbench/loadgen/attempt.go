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
	answerGrace   = 600 * time.Millisecond // time after a request's timeout for which its client still waits
	streamSilence = 6 * time.Second        // silence after which a client abandons a stream
	// A link counts as healthy for a request if it has had no fault since linkHealthyFor before the client sent the
	// request or, for a partial request, stopped sending.
	linkHealthyFor = time.Second
	// A first token may take promptAllowance for each token of the prompt, in addition to the class's objective. A late
	// answer earns lateFraction of its value.
	promptAllowance = 40 * time.Microsecond
	lateFraction    = 0.1
)

// attempt is one attempt of a client to send a request.
type attempt struct {
	id         string
	request    *deployment.Request
	start      time.Time // start of the first attempt
	timeout    time.Duration
	text       string // the HTTP request
	dispatcher int
	leaves     bool // the client leaves after leaveAfter, in the way that leaveMode says
	leaveAfter time.Duration
	leaveMode  closeMode
	sentAt     time.Time // zero until the attempt is sent
}

// event returns a history event about the attempt.
func (a *attempt) event(kind history.Kind) history.Event {
	return history.Event{Kind: kind, Request: a.id, Dispatcher: a.dispatcher}
}

// linkHealthy reports whether a connection's link has had no fault since linkHealthyFor before the attempt was sent.
func (a *attempt) linkHealthy(k *connection) bool {
	return k.Link().Healthy(a.sentAt.Add(-linkHealthyFor))
}

// attempt makes one attempt and reads its answer to the end. If a reused connection turns out to be closed, the request
// is sent once more on a new connection.
func (c *Clients) attempt(ctx context.Context, r *deployment.Request, start time.Time, rng *rand.Rand, out *Result) outcome {
	timeout := min(r.Timeout, r.Class.Deadline-time.Since(start))
	if timeout < minTimeout {
		return outcome{status: Unanswered}
	}
	d := c.pickDispatcher(r.Zone)
	if d < 0 {
		return outcome{status: Unreachable}
	}
	a := &attempt{id: strconv.FormatUint(rng.Uint64(), 16), request: r, start: start, timeout: timeout, dispatcher: d}
	c.config.Cluster.Register(a.id, r)
	a.text = c.requestText(a.id, r, timeout)
	a.leaves = c.drawLeave(rng)
	a.leaveAfter = time.Duration(rng.Int64N(int64(maxLeaveDelay)))
	a.leaveMode = closeMode(rng.IntN(int(closeModes)))
	k, err := c.getConnection(ctx, d)
	if err != nil {
		return outcome{status: Unreachable}
	}
	o, resend := c.send(ctx, a, k, out)
	if !resend || !k.reused {
		return o
	}
	if a.dispatcher = c.config.Front.Pick(r.Zone); a.dispatcher < 0 {
		return outcome{status: Unreachable}
	}
	if k, err = c.getNewConnection(ctx, a.dispatcher); err != nil {
		return outcome{status: Unreachable}
	}
	o, _ = c.send(ctx, a, k, out)
	return o
}

// send sends an attempt on a connection and reads its answer. The result resend is true if the attempt could not be
// written, or if a reused connection was closed before an answer although the dispatcher's process stayed up. If the
// connection was reused, the client then sends the attempt once more on a new one.
func (c *Clients) send(ctx context.Context, a *attempt, k *connection, out *Result) (o outcome, resend bool) {
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
		return c.readResponse(a, k, resp, out), false
	}
	k.Close()
	// The dispatcher may close an idle connection while a request that it has not read is on its way. Such a request is
	// sent once more on a new connection, unless the process is known to have ended.
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

// leave waits for leaveAfter and then closes the connection of a client that leaves.
func (c *Clients) leave(ctx context.Context, a *attempt, k *connection) {
	c.mu.Lock()
	k.leaving = true
	c.mu.Unlock()
	timing.Sleep(ctx, a.leaveAfter)
	c.closeConnection(k.Conn, a.leaveMode, a.dispatcher, a.sentAt, a.id)
	time.Sleep(closeLinger) // for the dispatcher a half close looks like a client that is gone
	k.Close()
}

// readResponse reads an answer to its end, records it and returns the outcome of the attempt.
func (c *Clients) readResponse(a *attempt, k *connection, resp *http.Response, out *Result) outcome {
	defer resp.Body.Close()
	received := a.event(history.ResponseReceived)
	received.Group, received.Class, received.Status = a.request.Group, a.request.Class.Name, resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		c.finishResponse(a, k, resp, received, err)
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
	c.finishResponse(a, k, resp, received, err)
	if err == nil && !s.done {
		c.config.History.Add(a.event(history.ForeignDataReceived))
	}
	if err != nil || !s.done {
		return outcome{status: Broken}
	}
	return s.evaluate(a, out)
}

// finishResponse records the end of an answer, which is complete if err is nil, and keeps the connection alive if the
// answer allows it.
func (c *Clients) finishResponse(a *attempt, k *connection, resp *http.Response, received history.Event, err error) {
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

// streamMeasurements holds what a client has measured of a streamed answer.
type streamMeasurements struct {
	tokens        int           // number of tokens received
	done          bool          // the end mark has arrived
	first, last   time.Time     // arrival of the first and the last event
	maxEventDelay time.Duration // longest time from a replica's write of an event to its receipt
}

// readStream reads a stream to its end. It records the arrival of the stream's first event, and each event that is not
// the one that the request's replica writes next.
func (c *Clients) readStream(a *attempt, k *connection, body io.Reader) (s streamMeasurements, err error) {
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
				c.config.History.Add(a.event(history.ForeignDataReceived))
			}
			s.tokens += replica.TokensPerEvent
		}
		s.done = s.done || line == "data: [DONE]"
	}
	return s, lines.Err()
}

// evaluate compares a complete stream with the class's objectives, and returns whether it was served in time or late.
// It stores the time to the first token and the earned value in out.
func (s *streamMeasurements) evaluate(a *attempt, out *Result) outcome {
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
