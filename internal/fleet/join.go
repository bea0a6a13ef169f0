package fleet

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"

	"rampspread/internal/fleet/membership"
)

const (
	// listenRetryInterval is how often a process that waits for its peer address looks whether it is free.
	listenRetryInterval = 300 * time.Millisecond
	// firstContacts is how many of the other members a process contacts at its start.
	firstContacts = 3
	// rejoinInterval is the mean time between two contacts of missing members. They are contacted one at a time:
	// after a long partition no other member would.
	rejoinInterval = 2 * time.Second

	// memberlist's parameters. Times are multiples of the configured probe interval; the TCP timeout bounds a
	// connection.
	suspicionMult           = 4
	suspicionMaxTimeoutMult = 2
	gossipToTheDeadProbes   = 40
	pushPullProbes          = 20
	tcpTimeoutProbes        = 4
)

// addressInUse tells whether another process listens at an address: most likely the one that this one is to replace.
func addressInUse(address string) bool {
	l, err := net.Listen("tcp", address)
	if err == nil {
		l.Close()
	}
	return errors.Is(err, syscall.EADDRINUSE)
}

// join starts memberlist, which listens at the peer address; from then on the node is joined.
func (n *Node) join() error {
	logger := log.New(&memberlistLog{n}, "", 0)
	t, err := newTransport(n.cfg.Listen, logger)
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(n.cfg.address(n.self.Name))
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	m := n.memberlistConfig(address)
	m.Transport, m.Logger = t, logger
	if n.gossip, err = memberlist.Create(m); err != nil {
		t.Shutdown()
		return fmt.Errorf("fleet: %w", err)
	}
	n.joined.Store(true)
	return nil
}

func (n *Node) memberlistConfig(address netip.AddrPort) *memberlist.Config {
	probe := n.cfg.probeInterval
	m := memberlist.DefaultLANConfig()
	m.Name, m.Label, m.SecretKey = n.self.Name, n.cfg.Fleet, n.cfg.key
	m.AdvertiseAddr, m.AdvertisePort = address.Addr().String(), int(address.Port())
	m.ProbeInterval, m.ProbeTimeout = probe, probe*3/5
	m.SuspicionMult, m.SuspicionMaxTimeoutMult = suspicionMult, suspicionMaxTimeoutMult
	m.GossipInterval, m.GossipToTheDeadTime = probe*2/5, gossipToTheDeadProbes*probe
	m.PushPullInterval, m.TCPTimeout = pushPullProbes*probe, tcpTimeoutProbes*probe
	m.EnableCompression = false // messages are small
	d := &delegate{n}
	m.Delegate, m.Events, m.Conflict, m.Merge = d, d, d, d
	// A name that was given up may come back at once, from the address that the configuration has for it.
	m.DeadNodeReclaimTime = time.Millisecond
	return m
}

// waitJoined returns once the node has joined, or false at the context's end.
func (n *Node) waitJoined(ctx context.Context) bool {
	for !n.joined.Load() {
		select {
		case <-time.After(listenRetryInterval):
		case <-ctx.Done():
			return false
		}
		if addressInUse(n.cfg.Listen) {
			continue
		}
		if err := n.join(); err != nil {
			slog.Warn("fleet_listen_failed", "err", err)
		}
	}
	return true
}

// contactFirst contacts a few of the other members, in a drawn order. One that is not reachable yet is contacted again
// by contactMissing.
func (n *Node) contactFirst() {
	var addresses []string
	for _, m := range n.cfg.Members {
		if m.Name != n.self.Name {
			addresses = append(addresses, m.Address)
		}
	}
	n.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(firstContacts, len(addresses))] {
		go n.gossip.Join([]string{address})
	}
}

// drawRejoinDelay is the time until the next contact of a missing member. It is drawn, so that members do not contact
// each other in step.
func (n *Node) drawRejoinDelay() time.Duration {
	return rejoinInterval/2 + time.Duration(n.rng.Int64N(int64(rejoinInterval)))
}

// contactMissing contacts one of the members that are not reachable, so that the sides of a partition merge again.
func (n *Node) contactMissing() {
	if n.leaving.Load() {
		return
	}
	var missing []string
	for _, m := range n.View().Members {
		if m.Name != n.self.Name && isMissing(m.State) {
			missing = append(missing, n.cfg.address(m.Name))
		}
	}
	if len(missing) == 0 {
		return
	}
	address := missing[n.rng.IntN(len(missing))]
	go n.gossip.Join([]string{address}) // it waits for a connection, for TCPTimeout if the member does not answer
}

func isMissing(s membership.State) bool {
	return s == membership.Unknown || s == membership.Unreachable || s == membership.Left
}
