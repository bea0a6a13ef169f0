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

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
	"rampspread/internal/faultbench/timing"
)

const (
	partialRequestInterval = 300 * time.Millisecond // between clients that stop in the middle of a request
	partialRequestTimeout  = 6 * time.Second        // for which such a client waits for its error or the close
	pipelineInterval       = 250 * time.Millisecond // between clients that send many requests at once
	maxPipelined           = 12
	maxLeaveDelay          = 1200 * time.Millisecond // a client that leaves does so at a random time within this
)

// closeMode is how a client leaves.
type closeMode int

const (
	closeBoth closeMode = iota
	closeReset
	closeWrite
	closeModes
)

// closeClient ends a client's connection in some way, and notes for which requests it does so.
func (r *Run) closeClient(c *network.Conn, how closeMode, dispatcher int, asked time.Time, ids ...string) {
	for _, id := range ids {
		r.history.Add(history.Event{Kind: history.ClientClosed, Request: id, Dispatcher: dispatcher, LinkHealthy: c.Link().Sound(asked.Add(-time.Second))})
	}
	switch half, ok := c.Conn.(interface{ CloseWrite() error }); {
	case how == closeReset:
		c.Abort()
	case how == closeWrite && ok:
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
func (r *Run) requestText(id string, s *deployment.Request, patience time.Duration) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\n%s"+
		"X-Object: %s\r\nX-Expires-In: %dm\r\nX-Props: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		id, s.Class.Name, r.deployment.TenantHeader(s.Zone), s.Session, patience.Milliseconds(), s.Properties(), len(s.Body), s.Body)
}

// randomRequest is a spec for a client that misbehaves.
func (r *Run) randomRequest(rng *rand.Rand) *deployment.Request {
	c := r.deployment.Classes[rng.IntN(len(r.deployment.Classes))]
	s := &deployment.Request{Group: strconv.FormatUint(rng.Uint64(), 16), Class: c, Session: strconv.FormatUint(rng.Uint64(), 16),
		PromptTokens: 200 + rng.IntN(400), OutputTokens: 8, Timeout: c.Deadline}
	s.Body = fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"%s"}]}`, c.Name, s.Group)
	return s
}

// partialRequests lets clients stop in the middle of a request and stay, until the context ends: each is owed an error or a close.
func (r *Run) partialRequests(ctx context.Context, d int, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		s := r.randomRequest(rng)
		text := r.requestText(strconv.FormatUint(rng.Uint64(), 16), s, s.Timeout)
		cut := 1 + rng.IntN(len(text)-1)
		wg.Go(func() { r.sendPartial(d, text[:cut]) })
		if timing.Sleep(ctx, partialRequestInterval) != nil {
			return
		}
	}
}

func (r *Run) sendPartial(d int, text string) {
	c, err := r.dial(context.Background(), d)
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		return
	}
	stopped := time.Now()
	c.SetReadDeadline(stopped.Add(partialRequestTimeout))
	c.Read(make([]byte, 1))
	r.history.Add(history.Event{Kind: history.PartialRequestEnded, Dispatcher: d, Elapsed: time.Since(stopped),
		LinkHealthy: c.Link().Sound(stopped.Add(-time.Second)) && r.dispatchers[d].UpSince(stopped)})
}

// pipelines lets clients send many requests at once on a connection, and leave at some time, until the context ends.
func (r *Run) pipelines(ctx context.Context, d int, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		wg.Go(func() { r.pipeline(ctx, d, own) })
		if timing.Sleep(ctx, pipelineInterval) != nil {
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
	for range 2 + rng.IntN(maxPipelined-1) {
		id, s := strconv.FormatUint(rng.Uint64(), 16), r.randomRequest(rng)
		r.cluster.Register(id, s)
		ids = append(ids, id)
		if _, err := io.WriteString(c, r.requestText(id, s, s.Timeout)); err != nil {
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
	timing.Sleep(ctx, time.Duration(rng.Int64N(int64(maxLeaveDelay))))
	r.closeClient(c, closeMode(rng.IntN(int(closeWrite))), d, asked, ids...) // a client that only half closes could still be answered
}

// idleClients are clients that connect and stay, some after one call: so many as fill a dispatcher's room and more, until the context ends.
func (r *Run) idleClients(ctx context.Context, d, many int) {
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for n := range many {
		dialing, cancel := context.WithTimeout(ctx, connectTimeout)
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
