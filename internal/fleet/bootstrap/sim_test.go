package bootstrap

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simStep     = 5 * time.Millisecond
	simDuration = 10 * time.Second
	// slowDonorDelay is added to the delay of each response of a slow donor.
	slowDonorDelay = 3 * time.Second
)

// simNode is a simulated process that has state to transfer or requests it.
type simNode struct {
	requester *Requester
	others    []Peer
	donor     Donor
	hasState  bool
	requests  []time.Duration // arrival times of the requests to this node
}

// simResponse is a response in transit.
type simResponse struct {
	due         time.Duration
	from, to    int
	transferred bool
}

// sim simulates the start of a fleet whose first nodes already have state. A node that has received a transfer serves
// requests itself.
type sim struct {
	rng              *rand.Rand
	now              time.Duration
	nodes            []*simNode
	initialWithState int  // number of nodes that have state at the start
	slowDonors       bool // whether the nodes that have state at the start respond late
	queue            []simResponse
	haveState        int           // number of nodes that have state now
	lastReceived     time.Duration // time at which a node last received its first transfer
	maxPerSecond     int           // highest number of requests that a node received within a second
}

func newSim(size, initialWithState int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(uint64(size), uint64(initialWithState))), initialWithState: initialWithState,
		haveState: initialWithState}
	for i := range size {
		n := &simNode{requester: NewRequester(DefaultLimits, 0, s.rng.Int64N), hasState: i < initialWithState}
		for j := range size {
			if j != i {
				n.others = append(n.others, Peer{Name: fmt.Sprint(j), Older: j < initialWithState})
			}
		}
		s.nodes = append(s.nodes, n)
	}
	return s
}

// run simulates simDuration and checks that at least 95 % of the nodes have state at the end.
func (s *sim) run(t *testing.T) {
	t.Helper()
	for ; s.now < simDuration; s.now += simStep {
		s.deliverResponses()
		for i := s.initialWithState; i < len(s.nodes); i++ {
			s.request(i)
		}
	}
	if size := len(s.nodes); s.haveState < size*95/100 {
		t.Errorf("%d of %d nodes have state", s.haveState, size)
	}
}

// deliverResponses passes the due responses to the nodes that requested them.
func (s *sim) deliverResponses() {
	var later []simResponse
	for _, r := range s.queue {
		if r.due > s.now {
			later = append(later, r)
			continue
		}
		to := s.nodes[r.to]
		to.requester.RecordResponse(s.now, fmt.Sprint(r.from), r.transferred)
		if r.transferred && !to.hasState {
			to.hasState = true
			s.haveState++
			s.lastReceived = s.now
		}
	}
	s.queue = later
}

// request sends a node's request, if one is due, to the donor that its requester chooses.
func (s *sim) request(from int) {
	name, ok := s.nodes[from].requester.NextDonor(s.now, s.nodes[from].others)
	if !ok {
		return
	}
	var to int
	fmt.Sscan(name, &to)
	donor := s.nodes[to]
	donor.requests = append(donor.requests, s.now)
	inLastSecond := 0
	for _, at := range donor.requests {
		if s.now-at < time.Second {
			inLastSecond++
		}
	}
	s.maxPerSecond = max(s.maxPerSecond, inLastSecond)
	delay := time.Duration(s.rng.Int64N(int64(20 * time.Millisecond)))
	if s.slowDonors && to < s.initialWithState {
		delay += slowDonorDelay
	}
	transferred := donor.hasState && donor.donor.TakeTransfer(s.now, DefaultLimits)
	s.queue = append(s.queue, simResponse{s.now + delay, to, from, transferred})
}

// If only one node in ten has state at the start, nearly all nodes receive it within the window, and no donor receives
// too many requests in a second.
func TestMostOfFleetStartsWithoutState(t *testing.T) {
	for _, c := range []struct{ size, withState int }{{9, 1}, {30, 3}, {150, 15}} {
		t.Run(fmt.Sprintf("%d of %d have state", c.withState, c.size), func(t *testing.T) {
			s := newSim(c.size, c.withState)
			s.run(t)
			t.Logf("the last node receives state after %v, a donor receives up to %d requests in a second",
				s.lastReceived, s.maxPerSecond)
			if s.lastReceived > DefaultLimits.Window || s.maxPerSecond > 8*c.size/c.withState {
				t.Errorf("the last node receives state after %v, a donor receives %d requests in a second",
					s.lastReceived, s.maxPerSecond)
			}
		})
	}
}

// All members that have state at the start respond late. The last process must still receive state at most one such
// delay after the window, since each process sends only a bounded number of requests.
func TestSlowDonorsDelayTheStartByTheirDelayAtMost(t *testing.T) {
	s := newSim(9, 1)
	s.slowDonors = true
	s.run(t)
	if s.lastReceived > DefaultLimits.Window+slowDonorDelay {
		t.Errorf("with a slow donor the last node receives state after %v", s.lastReceived)
	}
}
