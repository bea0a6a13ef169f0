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
	idleTimeout    = 12 * time.Second // an idle connection that is older is not used any more
)

// connection is a client's connection.
type connection struct {
	*network.Conn
	reader     *bufio.Reader
	dispatcher int
	reused     bool
	owner      *Clients

	// The clients' lock guards these.
	busy      bool // a request is out on it
	leaving   bool // and its client is about to leave: it reads nothing, and sees no close
	sentAt    time.Time
	idleSince time.Time
}

// Close ends the connection.
func (k *connection) Close() error {
	k.owner.mu.Lock()
	delete(k.owner.open, k)
	k.owner.mu.Unlock()
	return k.Conn.Close()
}

// isTimeout tells whether a read or write ended by its deadline.
func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// pick is the dispatcher for a request: one that the front layer does not serve any more while an open connection to it
// remains, which clients go on using, or one that it serves.
func (c *Clients) pick(zone int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for d, idle := range c.idle {
		if len(idle) > 0 && d%c.config.Zones == zone && !c.config.Front.Serves(d) {
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

// get takes an idle connection to a dispatcher, or opens one.
func (c *Clients) get(ctx context.Context, dispatcher int) (*connection, error) {
	for k := c.takeIdle(dispatcher); k != nil; k = c.takeIdle(dispatcher) {
		if k.reused = true; time.Since(k.idleSince) < idleTimeout {
			return k, nil
		}
		k.Close()
	}
	return c.connect(ctx, dispatcher)
}

// getNew opens a connection to a dispatcher. An idle one is given up for it, and stays open unused.
func (c *Clients) getNew(ctx context.Context, dispatcher int) (*connection, error) {
	c.takeIdle(dispatcher)
	return c.connect(ctx, dispatcher)
}

func (c *Clients) connect(ctx context.Context, dispatcher int) (*connection, error) {
	inner, err := c.dial(ctx, dispatcher)
	if err != nil {
		return nil, err
	}
	k := &connection{Conn: inner, reader: bufio.NewReader(inner), dispatcher: dispatcher, owner: c, busy: true, sentAt: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened++
	c.open[k] = struct{}{}
	return k, nil
}

// takeIdle takes the idle connection to a dispatcher that was used last; nil: there is none.
func (c *Clients) takeIdle(dispatcher int) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle[dispatcher])
	if n == 0 {
		return nil
	}
	k := c.idle[dispatcher][n-1]
	c.idle[dispatcher] = c.idle[dispatcher][:n-1]
	k.busy, k.sentAt = true, time.Now()
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

// Opened is how many connections the clients have opened in all.
func (c *Clients) Opened() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Limits on what a drain may leave open.
const (
	youngRequestAfter = 2 * time.Second // after the drain began; a request that was sent later must not have been accepted
	// DrainSlack is allowed on top, since the processes share the machine with the bench.
	DrainSlack       = 150 * time.Millisecond
	closePeekTimeout = 2 * time.Millisecond // for a close that has arrived to show
)

// Lingering tells of the connections to a dispatcher that should have ended since its drain began, one reason each.
func (c *Clients) Lingering(dispatcher int, drainBegan time.Time) (reasons []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.open {
		switch {
		case k.dispatcher != dispatcher || k.leaving:
		case k.busy && k.sentAt.After(drainBegan.Add(youngRequestAfter+DrainSlack)) && time.Since(k.sentAt) > DrainSlack:
			reasons = append(reasons, "with a young request")
		case !k.busy && time.Since(k.idleSince) > DrainSlack && k.openAtPeer():
			reasons = append(reasons, "at rest")
		}
	}
	return reasons
}

// openAtPeer tells whether an idle connection is open on the other side.
func (k *connection) openAtPeer() bool {
	k.SetReadDeadline(time.Now().Add(closePeekTimeout))
	defer k.SetReadDeadline(time.Time{})
	_, err := k.reader.Peek(1)
	return isTimeout(err)
}
