package faultbench

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
)

const (
	halfPause     = 300 * time.Millisecond // between clients that stop in the middle of a request
	halfWait      = 6 * time.Second        // for which such a client waits for its error or the close
	pipelinePause = 250 * time.Millisecond // between clients that send many requests at once
	mostPipelined = 12
	leaveWithin   = 1200 * time.Millisecond // a client that leaves does so at a random time within this
)

// leaving is how a client leaves.
type leaving int

const (
	closes leaving = iota
	resets
	closesHalf
	leavings
)

// goAway ends a client's connection in some way, and notes for which requests it does so.
func (r *Run) goAway(c *network.Conn, how leaving, dispatcher int, asked time.Time, ids ...string) {
	for _, id := range ids {
		r.history.Add(history.Event{Kind: history.ClientClosed, Request: id, Dispatcher: dispatcher, LinkHealthy: c.Link().Sound(asked.Add(-time.Second))})
	}
	switch half, ok := c.Conn.(interface{ CloseWrite() error }); {
	case how == resets:
		c.Abort()
	case how == closesHalf && ok:
		half.CloseWrite()
	default:
		c.Close()
	}
}

// leaves is how many of the clients leave before their answer is whole, while a fault lets them.
type leaves struct {
	mu   sync.Mutex
	part float64
}

func (l *leaves) set(part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.part = part
}

func (l *leaves) draw(rng *rand.Rand) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.part > 0 && rng.Float64() < l.part
}

// requestText is a request of a spec as its bytes.
func (r *Run) requestText(id string, s *spec, patience time.Duration) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\n%s"+
		"X-Object: %s\r\nX-Expires-In: %dm\r\nX-Props: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		id, s.class.name, r.deployment.tenantLine(s.zone), s.session, patience.Milliseconds(), s.props(), len(s.body), s.body)
}

// strange is a spec for a client that misbehaves.
func (r *Run) strange(rng *rand.Rand) *spec {
	c := r.deployment.classes[rng.IntN(len(r.deployment.classes))]
	s := &spec{group: strconv.FormatUint(rng.Uint64(), 16), class: c, session: strconv.FormatUint(rng.Uint64(), 16),
		prompt: 200 + rng.IntN(400), output: 8, patience: c.deadline}
	s.body = fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"%s"}]}`, c.name, s.group)
	return s
}

// halves lets clients stop in the middle of a request and stay, until the context ends: each is owed an error or a close.
func (r *Run) halves(ctx context.Context, d int, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		s := r.strange(rng)
		text := r.requestText(strconv.FormatUint(rng.Uint64(), 16), s, s.patience)
		cut := 1 + rng.IntN(len(text)-1)
		wg.Go(func() { r.half(d, text[:cut]) })
		if sleep(ctx, halfPause) != nil {
			return
		}
	}
}

func (r *Run) half(d int, text string) {
	c, err := r.dial(context.Background(), d)
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		return
	}
	stopped := time.Now()
	c.SetReadDeadline(stopped.Add(halfWait))
	c.Read(make([]byte, 1))
	r.history.Add(history.Event{Kind: history.PartialRequestEnded, Dispatcher: d, Elapsed: time.Since(stopped),
		LinkHealthy: c.Link().Sound(stopped.Add(-time.Second)) && r.procs[d].upSince(stopped)})
}

// pipelines lets clients send many requests at once on a connection, and leave at some time, until the context ends.
func (r *Run) pipelines(ctx context.Context, d int, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		wg.Go(func() { r.pipeline(ctx, d, own) })
		if sleep(ctx, pipelinePause) != nil {
			return
		}
	}
}

func (r *Run) pipeline(ctx context.Context, d int, rng *rand.Rand) {
	c, err := r.dial(ctx, d)
	if err != nil {
		return
	}
	defer c.Close()
	asked := time.Now()
	var ids []string
	for range 2 + rng.IntN(mostPipelined-1) {
		id, s := strconv.FormatUint(rng.Uint64(), 16), r.strange(rng)
		r.cluster.know(id, s)
		ids = append(ids, id)
		if _, err := io.WriteString(c, r.requestText(id, s, s.patience)); err != nil {
			return
		}
	}
	answers := bufio.NewReader(c)
	go func() { // it ends with the connection
		for {
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return
			}
		}
	}()
	sleep(ctx, time.Duration(rng.Int64N(int64(leaveWithin))))
	r.goAway(c, leaving(rng.IntN(int(closesHalf))), d, asked, ids...) // a client that only half closes could still be answered
}

// idlers are clients that connect and stay, some after one call: so many as fill a dispatcher's room and more, until the context ends.
func (r *Run) idlers(ctx context.Context, d, many int) {
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for n := range many {
		dialing, cancel := context.WithTimeout(ctx, connectWait)
		c, err := new(net.Dialer).DialContext(dialing, "tcp4", r.addrs.listen(d))
		cancel()
		if err != nil {
			break
		}
		open = append(open, c)
		if n%2 == 0 {
			io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n")
		}
	}
	<-ctx.Done()
}
