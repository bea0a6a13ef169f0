package loadgen

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
	minPipelined           = 2
	maxPipelined           = 12
	maxLeaveDelay          = 1200 * time.Millisecond // a client that leaves does so at a random time within this
	closeLinger            = 500 * time.Millisecond  // between a client's half close and its whole one
)

// closeMode is how a client leaves.
type closeMode int

const (
	closeBoth closeMode = iota
	closeReset
	closeWrite // a half close
	closeModes // how many there are
)

// closeConnection ends a client's connection in some way, and records it for the requests that are out on it.
func (c *Clients) closeConnection(conn *network.Conn, mode closeMode, dispatcher int, sentAt time.Time, ids ...string) {
	for _, id := range ids {
		c.config.History.Add(history.Event{Kind: history.ClientClosed, Request: id, Dispatcher: dispatcher,
			LinkHealthy: conn.Link().Healthy(sentAt.Add(-linkHealthyFor))})
	}
	switch half, ok := conn.Conn.(interface{ CloseWrite() error }); {
	case mode == closeReset:
		conn.Abort()
	case mode == closeWrite && ok:
		half.CloseWrite()
	default:
		conn.Close()
	}
}

// randomRequest draws a request for a client of a fault's.
func (c *Clients) randomRequest(rng *rand.Rand) *deployment.Request {
	classes := c.config.Deployment.Classes
	class := classes[rng.IntN(len(classes))]
	r := &deployment.Request{Group: strconv.FormatUint(rng.Uint64(), 16), Class: class, Session: strconv.FormatUint(rng.Uint64(), 16),
		PromptTokens: 200 + rng.IntN(400), OutputTokens: 8, Timeout: class.Deadline}
	r.Body = fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"%s"}]}`, class.Name, r.Group)
	return r
}

// PartialRequests runs clients that stop in the middle of a request and stay, until the context ends: each must get an
// error or a close.
func (c *Clients) PartialRequests(ctx context.Context, dispatcher int, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		r := c.randomRequest(rng)
		text := c.requestText(strconv.FormatUint(rng.Uint64(), 16), r, r.Timeout)
		cut := 1 + rng.IntN(len(text)-1)
		wg.Go(func() { c.sendPartial(dispatcher, text[:cut]) })
		if timing.Sleep(ctx, partialRequestInterval) != nil {
			return
		}
	}
}

func (c *Clients) sendPartial(dispatcher int, text string) {
	conn, err := c.dial(context.Background(), dispatcher)
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	stopped := time.Now()
	conn.SetReadDeadline(stopped.Add(partialRequestTimeout))
	conn.Read(make([]byte, 1))
	c.config.History.Add(history.Event{Kind: history.PartialRequestEnded, Dispatcher: dispatcher, Elapsed: time.Since(stopped),
		LinkHealthy: conn.Link().Healthy(stopped.Add(-linkHealthyFor)) && c.config.UpSince(dispatcher, stopped)})
}

// Pipelines runs clients that send many requests at once on a connection, and leave at some time, until the context ends.
func (c *Clients) Pipelines(ctx context.Context, dispatcher int, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		wg.Go(func() { c.pipeline(ctx, dispatcher, own) })
		if timing.Sleep(ctx, pipelineInterval) != nil {
			return
		}
	}
}

func (c *Clients) pipeline(ctx context.Context, dispatcher int, rng *rand.Rand) {
	conn, err := c.dial(ctx, dispatcher)
	if err != nil {
		return
	}
	defer conn.Close()
	sentAt := time.Now()
	var ids []string
	for range minPipelined + rng.IntN(maxPipelined-minPipelined+1) {
		id, r := strconv.FormatUint(rng.Uint64(), 16), c.randomRequest(rng)
		c.config.Cluster.Register(id, r)
		ids = append(ids, id)
		if _, err := io.WriteString(conn, c.requestText(id, r, r.Timeout)); err != nil {
			return
		}
	}
	go discardResponses(conn) // it ends with the connection
	timing.Sleep(ctx, time.Duration(rng.Int64N(int64(maxLeaveDelay))))
	mode := closeMode(rng.IntN(int(closeWrite))) // a client that only half closes could still be answered
	c.closeConnection(conn, mode, dispatcher, sentAt, ids...)
}

// discardResponses reads responses until the connection ends.
func discardResponses(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return
		}
	}
}

// IdleClients runs clients that connect and stay, every second one after one call, until the context ends.
func (c *Clients) IdleClients(ctx context.Context, dispatcher, many int) {
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			conn.Close()
		}
	}()
	for n := range many {
		dialing, cancel := context.WithTimeout(ctx, connectTimeout)
		conn, err := new(net.Dialer).DialContext(dialing, "tcp4", c.config.Address(dispatcher))
		cancel()
		if err != nil {
			break
		}
		open = append(open, conn)
		if n%2 == 0 {
			io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n")
		}
	}
	<-ctx.Done()
}
