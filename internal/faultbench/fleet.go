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

// peers are the links between the dispatchers themselves, each direction of each pair.
type peers struct {
	mu         sync.Mutex
	links      [][]*network.Link     // by sender and receiver; a TCP call's answers go by the same one, from the receiver
	conditions [][]network.Condition // of what goes from one to the other
	relays     []*network.Relay
}

// budgets limit what the bench's dispatchers may do together.
var budgets = fleet.Budgets{Floor: 0.25, PollsPerReplica: 6, RetriesPerRequest: 0.2, RetriesPerSecond: 4}

// fleetFile writes the fleet's file of a dispatcher.
func (r *Run) fleetFile(d int) (string, error) {
	f := fleet.Config{Fleet: fleetName, Key: strings.Repeat("5a", 32), Listen: r.addrs.peerListen(d)}
	for i, name := range r.names {
		f.Members = append(f.Members, fleet.Peer{Name: name, Address: r.addrs.peerRelay(i)})
	}
	if !r.options.NoLeasedTasks { // the first ones vote
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

// relayPeers puts a relay in front of each dispatcher.
func (r *Run) relayPeers() error {
	n := r.options.Dispatchers
	p := &peers{}
	for from := range n {
		p.conditions = append(p.conditions, make([]network.Condition, n))
		var row []*network.Link
		for to := range n {
			row = append(row, network.NewLink(r.options.Seed+uint64(from*1000+to)+7))
		}
		p.links = append(p.links, row)
	}
	r.peers = p
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
func (p *peers) set(from, to int, c network.Condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions[from][to] = c
	p.links[from][to].Set(p.conditions[from][to], p.conditions[to][from])
	p.links[to][from].Set(p.conditions[to][from], p.conditions[from][to])
}

// setAround changes the condition of the bytes to (or from, or both) one dispatcher.
func (p *peers) setAround(d int, way string, c network.Condition) {
	for other := range p.links {
		if other == d {
			continue
		}
		if way != "from" {
			p.set(other, d, c)
		}
		if way != "to" {
			p.set(d, other, c)
		}
	}
}

// split sets the condition of the links between sides; side names each dispatcher's.
func (p *peers) split(side func(d int) int, c network.Condition) {
	for a := range p.links {
		for b := range p.links {
			if a != b && side(a) != side(b) {
				p.set(a, b, c)
			}
		}
	}
}

func (p *peers) close() {
	for _, r := range p.relays {
		r.Close()
	}
}

// adminTimeout is for an admin call.
const adminTimeout = time.Second

// recordRetentionS is how long the fleet keeps idempotency records, in seconds.
const recordRetentionS = 300.0

// adminStatus is what a dispatcher answers to an operators' call.
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

// Members is the fleet as a dispatcher shows it to its operators.
func (r *Run) Members(d int) (fleet.Status, error) { return adminStatus[fleet.Status](r, d, "members") }

// maxWatchedViews bounds the dispatchers whose views are followed.
const maxWatchedViews = 9

// watchViews records each change of state that a dispatcher shows of another.
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

// idempotencyStatus is a dispatcher's part in the fleet's idempotency records.
func (r *Run) idempotencyStatus(d int) (idempotencyquorum.Status, error) {
	return adminStatus[idempotencyquorum.Status](r, d, "filings")
}
