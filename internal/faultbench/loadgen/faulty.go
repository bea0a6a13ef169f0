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
	partialRequestInterval = 300 * time.Millisecond // time between clients that stop in the middle of a request
	partialRequestTimeout  = 6 * time.Second        // time for which such a client waits for an error or a close
	pipelineInterval       = 250 * time.Millisecond // time between clients that send many requests at once
	minPipelined           = 2
	maxPipelined           = 12
	maxLeaveDelay          = 1200 * time.Millisecond // longest delay after which a client leaves
	closeLinger            = 500 * time.Millisecond  // time between a client's half close and its full close
)

// closeMode is the way in which a client closes its connection.
type closeMode int

const (
	closeBoth closeMode = iota
	closeReset
	closeWrite // half close
	closeModes // number of modes
)

// closeConnection closes a client's connection in the given way, and records the close for each request in flight on
// it.
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

// randomRequest draws a request for a misbehaving client.
func (c *Clients) randomRequest(rng *rand.Rand) *deployment.Request {
	classes := c.config.Deployment.Classes
	class := classes[rng.IntN(len(classes))]
	r := &deployment.Request{Group: strconv.FormatUint(rng.Uint64(), 16), Class: class, Session: strconv.FormatUint(rng.Uint64(), 16),
		PromptTokens: 200 + rng.IntN(400), OutputTokens: 8, Timeout: class.Deadline}
	r.Body = fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"%s"}]}`, class.Name, r.Group)
	return r
}

// PartialRequests runs clients that stop in the middle of a request and stay connected, until the context ends. Each
// must get an error or a close.
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

// Pipelines runs clients that send many requests at once on a connection and leave within maxLeaveDelay, until the
// context ends.
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
	go discardResponses(conn) // returns when the connection ends
	timing.Sleep(ctx, time.Duration(rng.Int64N(int64(maxLeaveDelay))))
	mode := closeMode(rng.IntN(int(closeWrite))) // no half close, after which the client could still be answered
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

// IdleClients opens count connections, or as many as the dispatcher accepts, sends a request on every second one, and
// keeps all open until the context ends.
func (c *Clients) IdleClients(ctx context.Context, dispatcher, count int) {
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			conn.Close()
		}
	}()
	for n := range count {
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
