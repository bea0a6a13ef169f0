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
	// listenRetryInterval is the interval at which a process that waits for its peer address checks whether it is free.
	listenRetryInterval = 300 * time.Millisecond
	// initialContacts is the number of other members that a process contacts at its start.
	initialContacts = 3
	// missingContactInterval is the mean time between two contacts of missing members. One member is contacted each
	// time. After a long partition nothing else would connect the two sides again.
	missingContactInterval = 2 * time.Second

	// Parameters of memberlist. Times are multiples of the configured probe interval. The TCP timeout bounds the time
	// to connect.
	suspicionMult           = 4
	suspicionMaxTimeoutMult = 2
	gossipToTheDeadProbes   = 40
	pushPullProbes          = 20
	tcpTimeoutProbes        = 4
)

// addressInUse reports whether another process listens at an address, most likely the process that this one is to
// replace.
func addressInUse(address string) bool {
	l, err := net.Listen("tcp", address)
	if err == nil {
		l.Close()
	}
	return errors.Is(err, syscall.EADDRINUSE)
}

// join starts memberlist, which listens at the peer address, and marks the node as joined.
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
	// A name whose process was declared dead may be taken again at once, at its configured address.
	m.DeadNodeReclaimTime = time.Millisecond
	return m
}

// waitJoined waits until the node has joined. It returns false if the context ends before.
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

// contactInitialMembers contacts a few randomly chosen other members. A member that is not reachable yet is contacted
// again by contactMissingMember.
func (n *Node) contactInitialMembers() {
	var addresses []string
	for _, m := range n.cfg.Members {
		if m.Name != n.self.Name {
			addresses = append(addresses, m.Address)
		}
	}
	n.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(initialContacts, len(addresses))] {
		go n.gossip.Join([]string{address})
	}
}

// drawContactDelay returns a random time until the next contact of a missing member. It is random so that members do
// not all make their contacts at the same time.
func (n *Node) drawContactDelay() time.Duration {
	return missingContactInterval/2 + time.Duration(n.rng.Int64N(int64(missingContactInterval)))
}

// contactMissingMember contacts one of the members that are not reachable, so that the sides of a partition merge
// again.
func (n *Node) contactMissingMember() {
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
	go n.gossip.Join([]string{address}) // blocks for TCPTimeout if the member does not respond
}

func isMissing(s membership.State) bool {
	return s == membership.Unknown || s == membership.Unreachable || s == membership.Left
}
