package faultbench

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"rampspread/internal/admin"
	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/network"
	"rampspread/internal/fleet"
	"rampspread/internal/fleet/idempotencyquorum"
)

// peerLinks holds the links between the dispatchers, one for each direction of each pair.
type peerLinks struct {
	mu         sync.Mutex
	links      [][]*network.Link     // by sender and receiver; the answers of a TCP call use the same link as the call
	conditions [][]network.Condition // by sender and receiver: condition of the bytes in this direction
	relays     []*network.Relay      // by receiver
}

// budgets are the limits that the bench's dispatchers share.
var budgets = fleet.Budgets{Floor: 0.25, PollsPerReplica: 6, RetriesPerRequest: 0.2, RetriesPerSecond: 4}

// fleetFile writes a dispatcher's fleet configuration and returns the file's path.
func (r *Run) fleetFile(d int) (string, error) {
	f := fleet.Config{Fleet: fleetName, Key: strings.Repeat("5a", 32), Listen: r.addrs.peerListen(d)}
	for i, name := range r.names {
		f.Members = append(f.Members, fleet.Peer{Name: name, Address: r.addrs.peerRelay(i)})
	}
	if !r.options.NoLeasedTasks { // the first members vote: three, or one in a fleet of up to two
		f.Voters = r.names[:min(3, (len(r.names)-1)|1)]
	}
	f.MinSubsetPrefillReplicas, f.Bootstrap, f.EndpointFilter = r.options.Subsets, r.options.Bootstrap, r.options.EndpointFilter
	if r.options.VersionSkew {
		f.VersionSkew = &fleet.VersionSkewConfig{RestrictS: 2, FenceS: 4, MaxFencedFraction: 0.25}
	}
	if r.options.IdempotentRequests {
		f.Idempotency = &fleet.IdempotencyConfig{RetentionS: recordRetentionS, Entries: 10_000}
	}
	if r.options.Budgets {
		f.Budgets = &budgets
	}
	return r.writeFile(fmt.Sprintf("n%d.fleet.json", d), f)
}

// relayPeers starts a relay in front of each dispatcher's peer address.
func (r *Run) relayPeers() error {
	n := r.options.Dispatchers
	p := &peerLinks{}
	for from := range n {
		p.conditions = append(p.conditions, make([]network.Condition, n))
		var row []*network.Link
		for to := range n {
			row = append(row, network.NewLink(r.options.Seed+uint64(from*1000+to)+7))
		}
		p.links = append(p.links, row)
	}
	r.peerLinks = p
	for to := range n {
		relay, err := network.NewRelay(r.addrs.peerRelay(to), r.addrs.peerListen(to), func(ip net.IP) *network.Link {
			v4 := ip.To4()
			if v4 == nil || v4[2] != peerSubnet || int(v4[3]) < 1 || int(v4[3]) > n {
				return nil
			}
			return p.links[v4[3]-1][to]
		})
		if err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		p.relays = append(p.relays, relay)
	}
	return nil
}

// set changes the condition of the bytes from one dispatcher to another.
func (p *peerLinks) set(from, to int, c network.Condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions[from][to] = c
	p.links[from][to].Set(p.conditions[from][to], p.conditions[to][from])
	p.links[to][from].Set(p.conditions[to][from], p.conditions[from][to])
}

// setDispatcher changes the condition of the bytes between one dispatcher and all others. The direction is "to" or
// "from" that dispatcher; any other value means both.
func (p *peerLinks) setDispatcher(d int, direction string, c network.Condition) {
	for other := range p.links {
		if other == d {
			continue
		}
		if direction != "from" {
			p.set(other, d, c)
		}
		if direction != "to" {
			p.set(d, other, c)
		}
	}
}

// split sets the condition of the links between dispatchers on different sides of a partition. The function side
// returns the side of a dispatcher.
func (p *peerLinks) split(side func(d int) int, c network.Condition) {
	for a := range p.links {
		for b := range p.links {
			if a != b && side(a) != side(b) {
				p.set(a, b, c)
			}
		}
	}
}

func (p *peerLinks) close() {
	for _, r := range p.relays {
		r.Close()
	}
}

// adminTimeout limits the duration of an admin call.
const adminTimeout = time.Second

// recordRetentionS is how long the fleet keeps idempotency records, in seconds.
const recordRetentionS = 300.0

// adminStatus makes an admin call to a dispatcher and decodes its JSON answer.
func adminStatus[T any](r *Run, d int, call string) (s T, err error) {
	text, err := admin.Request(r.addrs.admin(d), call, adminTimeout)
	if err != nil {
		return s, fmt.Errorf("%s: %w", call, err)
	}
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return s, fmt.Errorf("%s: %w", call, err)
	}
	return s, nil
}

// Members returns the state of the fleet that a dispatcher reports to its operators.
func (r *Run) Members(d int) (fleet.Status, error) { return adminStatus[fleet.Status](r, d, "members") }

// maxWatchedViews is the largest number of dispatchers whose membership views are polled.
const maxWatchedViews = 9

// watchViews polls the membership view of a dispatcher until the context ends, and records each change of another
// member's state.
func (r *Run) watchViews(ctx context.Context, d int) {
	last := map[string]string{}
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		if s, err := r.Members(d); err == nil {
			for i, m := range s.Members {
				if last[m.Name] != m.State && i != d {
					last[m.Name] = m.State
					r.history.Add(history.Event{Kind: history.MembershipView, Dispatcher: d, Replica: r.names[i], Request: m.State})
				}
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// idempotencyStatus returns the status that a dispatcher reports of the fleet's idempotency records.
func (r *Run) idempotencyStatus(d int) (idempotencyquorum.Status, error) {
	return adminStatus[idempotencyquorum.Status](r, d, "filings")
}
