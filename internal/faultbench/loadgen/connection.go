package loadgen

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"rampspread/internal/faultbench/network"
)

const (
	connectTimeout = time.Second
	idleTimeout    = 12 * time.Second // idle time after which a connection is not used any more
)

// connection is a client's connection to a dispatcher.
type connection struct {
	*network.Conn
	reader     *bufio.Reader
	dispatcher int
	reused     bool
	owner      *Clients

	// The fields below are guarded by owner.mu.
	busy      bool      // a request is in flight
	leaving   bool      // the client is about to leave, so it reads nothing and does not notice a close
	takenAt   time.Time // when a request last took the connection
	idleSince time.Time // when the last answer was complete
}

// Close closes the connection.
func (k *connection) Close() error {
	k.owner.mu.Lock()
	delete(k.owner.open, k)
	k.owner.mu.Unlock()
	return k.Conn.Close()
}

// isTimeout reports whether a read or write failed because its deadline passed.
func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// pickDispatcher returns the dispatcher for a request from a zone, or -1 if no dispatcher gets new connections. Clients
// go on using idle connections to a dispatcher that gets no new connections from the front layer any more, so such a
// dispatcher is preferred. Otherwise the front layer picks one.
func (c *Clients) pickDispatcher(zone int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for d, idle := range c.idle {
		if len(idle) > 0 && d%c.config.Zones == zone && !c.config.Front.ReceivesConnections(d) {
			return d
		}
	}
	return c.config.Front.Pick(zone)
}

// dial opens a connection to a dispatcher over its link, within connectTimeout.
func (c *Clients) dial(ctx context.Context, dispatcher int) (*network.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return network.Dial(ctx, c.config.Address(dispatcher), c.config.Link(dispatcher))
}

// getConnection returns an idle connection to a dispatcher, or opens a new one.
func (c *Clients) getConnection(ctx context.Context, dispatcher int) (*connection, error) {
	for k := c.takeIdle(dispatcher); k != nil; k = c.takeIdle(dispatcher) {
		if k.reused = true; time.Since(k.idleSince) < idleTimeout {
			return k, nil
		}
		k.Close()
	}
	return c.connect(ctx, dispatcher)
}

// getNewConnection opens a connection to a dispatcher. It also takes the most recently used idle connection, if any,
// out of the pool for good; that connection stays open but unused.
func (c *Clients) getNewConnection(ctx context.Context, dispatcher int) (*connection, error) {
	c.takeIdle(dispatcher)
	return c.connect(ctx, dispatcher)
}

func (c *Clients) connect(ctx context.Context, dispatcher int) (*connection, error) {
	inner, err := c.dial(ctx, dispatcher)
	if err != nil {
		return nil, err
	}
	k := &connection{Conn: inner, reader: bufio.NewReader(inner), dispatcher: dispatcher, owner: c, busy: true, takenAt: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened++
	c.open[k] = struct{}{}
	return k, nil
}

// takeIdle removes and returns the idle connection to a dispatcher that was used last, or returns nil if there is none.
func (c *Clients) takeIdle(dispatcher int) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle[dispatcher])
	if n == 0 {
		return nil
	}
	k := c.idle[dispatcher][n-1]
	c.idle[dispatcher] = c.idle[dispatcher][:n-1]
	k.busy, k.takenAt = true, time.Now()
	return k
}

// putIdle keeps a connection alive for later requests.
func (c *Clients) putIdle(k *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.busy, k.idleSince = false, time.Now()
	c.idle[k.dispatcher] = append(c.idle[k.dispatcher], k)
}

// Close closes the idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	all := c.idle
	c.idle = map[int][]*connection{}
	c.mu.Unlock()
	for _, idle := range all {
		for _, k := range idle {
			k.Close()
		}
	}
}

// Opened returns the number of connections that the clients have opened so far.
func (c *Clients) Opened() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Limits on what a drain may leave open.
const (
	// youngRequestAfter is the time after the start of a drain from which on the dispatcher must accept no request.
	youngRequestAfter = 2 * time.Second
	// DrainSlack is allowed in addition, since the processes share the machine with the bench.
	DrainSlack       = 150 * time.Millisecond
	closePeekTimeout = 2 * time.Millisecond // time for a read to return a close that has arrived
)

// Lingering returns one reason for each connection to a dispatcher that is still open, although it should have ended
// since the dispatcher's drain began.
func (c *Clients) Lingering(dispatcher int, drainBegan time.Time) (reasons []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.open {
		switch {
		case k.dispatcher != dispatcher || k.leaving:
		case k.busy && k.takenAt.After(drainBegan.Add(youngRequestAfter+DrainSlack)) && time.Since(k.takenAt) > DrainSlack:
			reasons = append(reasons, "with a young request")
		case !k.busy && time.Since(k.idleSince) > DrainSlack && k.openAtPeer():
			reasons = append(reasons, "at rest")
		}
	}
	return reasons
}

// openAtPeer reports whether the dispatcher has not closed an idle connection.
func (k *connection) openAtPeer() bool {
	k.SetReadDeadline(time.Now().Add(closePeekTimeout))
	defer k.SetReadDeadline(time.Time{})
	_, err := k.reader.Peek(1)
	return isTimeout(err)
}
