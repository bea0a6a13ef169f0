// Package pressure has clients that hold a dispatcher's memory or descriptors, or take its time: they send much of a
// request and never its end, read answers slowly or not at all, or send requests at full speed under ever new names.
//
// Each client connects again when its connection ends, until its context ends. The package owns one goroutine a client;
// Run returns when all of them have ended.
package pressure

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is what the clients of a Run do.
type Kind string

// The kinds of clients.
const (
	ManyFields   Kind = "many-fields"   // send a head of very many short fields, and not its end
	HalfBody     Kind = "half-body"     // send half of a large body
	SlowWriter   Kind = "slow-writer"   // send a large body slowly
	SlowReader   Kind = "slow-reader"   // read the answer slowly
	NoReader     Kind = "no-reader"     // do not read the answer
	UnknownClass Kind = "unknown-class" // send at full speed, each time a class that does not exist
	NewNames     Kind = "new-names"     // send at full speed, each time a new id, session and prefix
)

// Kinds returns all kinds of clients.
func Kinds() []Kind {
	return []Kind{ManyFields, HalfBody, SlowWriter, SlowReader, NoReader, UnknownClass, NewNames}
}

// Floods reports whether the clients send at full speed. A few of them suffice.
func (k Kind) Floods() bool { return k == UnknownClass || k == NewNames }

const (
	headBytes      = 15 << 10
	largeBodyBytes = 250_000
	smallBodyBytes = 64
	slowWriteBytes = 512
	slowWritePause = 100 * time.Millisecond
	slowReadBytes  = 64
	slowReadPause  = 100 * time.Millisecond
	reconnectPause = 100 * time.Millisecond
	dialTimeout    = time.Second
	answerBuffer   = 4 << 10
	receiveBuffer  = 4 << 10 // of a slow reader's socket, so that the dispatcher and not the client holds the answer
)

// Config describes the clients of a Run.
type Config struct {
	Address string // host and port of the dispatcher
	Kind    Kind
	Clients int
	// Request returns a whole request; name differs in each call, and class is empty unless the class should be unknown.
	// The body has at least the given number of bytes. It may be called from several goroutines.
	Request func(name, class string, bodyBytes int) string
}

// Counts are the totals of a Run.
type Counts struct {
	Connections atomic.Int64 // connections that were made
	Answers     atomic.Int64 // requests of a flood that were answered
}

// Run runs the clients until the context ends. counts may be nil.
func Run(ctx context.Context, config Config, counts *Counts) {
	if counts == nil {
		counts = &Counts{}
	}
	var clients sync.WaitGroup
	defer clients.Wait()
	for n := range config.Clients {
		clients.Go(func() {
			c := &client{config: config, number: n, counts: counts}
			c.run(ctx)
		})
	}
}

// client is one client, with one connection at a time.
type client struct {
	config Config
	number int
	sent   int // requests so far, for their names
	counts *Counts
}

func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.config.Address)
		if err != nil {
			pause(ctx, reconnectPause)
			continue
		}
		c.counts.Connections.Add(1)
		ended := context.AfterFunc(ctx, func() { conn.Close() })
		c.use(ctx, conn)
		ended()
		conn.Close()
		pause(ctx, reconnectPause)
	}
}

// use does on one connection what the kind of client does, until the connection or the context ends.
func (c *client) use(ctx context.Context, conn net.Conn) {
	switch c.config.Kind {
	case ManyFields:
		if _, err := io.WriteString(conn, manyFieldHead()); err == nil {
			io.Copy(io.Discard, conn)
		}
	case HalfBody:
		request := c.request("", largeBodyBytes)
		if _, err := io.WriteString(conn, request[:len(request)/2]); err == nil {
			io.Copy(io.Discard, conn)
		}
	case SlowWriter:
		c.writeSlowly(ctx, conn)
	case SlowReader, NoReader:
		c.readSlowly(ctx, conn)
	case UnknownClass, NewNames:
		c.flood(conn)
	}
}

func (c *client) request(class string, bodyBytes int) string {
	c.sent++
	return c.config.Request(fmt.Sprintf("%x-%x-%x", c.number, c.sent, time.Now().UnixNano()), class, bodyBytes)
}

// manyFieldHead returns the beginning of a head: as many fields as fit into headBytes.
func manyFieldHead() string {
	var head strings.Builder
	head.WriteString("POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\n")
	for n := 0; head.Len() < headBytes; n++ {
		fmt.Fprintf(&head, "%x:\r\n", n)
	}
	return head.String()
}

func (c *client) writeSlowly(ctx context.Context, conn net.Conn) {
	go io.Copy(io.Discard, conn) // returns when the connection is closed, at the latest by run
	request := c.request("", largeBodyBytes)
	for len(request) > 0 && ctx.Err() == nil {
		n := min(slowWriteBytes, len(request))
		if _, err := io.WriteString(conn, request[:n]); err != nil {
			return
		}
		request = request[n:]
		pause(ctx, slowWritePause)
	}
}

func (c *client) readSlowly(ctx context.Context, conn net.Conn) {
	if socket, ok := conn.(*net.TCPConn); ok {
		socket.SetReadBuffer(receiveBuffer)
	}
	if _, err := io.WriteString(conn, c.request("", smallBodyBytes)); err != nil {
		return
	}
	buffer := make([]byte, slowReadBytes)
	for ctx.Err() == nil {
		if c.config.Kind == SlowReader {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
		} else if hungUp(conn) {
			return
		}
		pause(ctx, slowReadPause)
	}
}

// flood sends small requests as fast as the connection takes them, and reads what comes back.
func (c *client) flood(conn net.Conn) {
	var reading sync.WaitGroup
	defer reading.Wait()
	defer conn.Close()
	reading.Go(func() {
		defer conn.Close() // ends the writing
		answers := newAnswerReader(conn)
		for {
			last, err := answers.next()
			if err != nil {
				return
			}
			c.counts.Answers.Add(1)
			if last {
				return
			}
		}
	})
	for {
		class := ""
		if c.config.Kind == UnknownClass {
			class = fmt.Sprintf("class-%d-%d", c.number, c.sent)
		}
		if _, err := io.WriteString(conn, c.request(class, smallBodyBytes)); err != nil {
			return
		}
	}
}

func pause(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
