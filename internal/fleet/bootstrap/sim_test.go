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
	// slowDonorDelay is the additional delay of responses of donors that are slow.
	slowDonorDelay = 3 * time.Second
)

// simNode is a process that has state to transfer, or requests it.
type simNode struct {
	requester *Requester
	others    []Peer
	donor     Donor
	hasState  bool
	requests  []time.Duration // when they were received
}

// simResponse is a response on its way.
type simResponse struct {
	due         time.Duration
	from, to    int
	transferred bool
}

// sim plays the start of a fleet of which the first nodes have state already. A node that has received a transfer
// serves others in its turn.
type sim struct {
	rng          *rand.Rand
	now          time.Duration
	nodes        []*simNode
	withState    int  // nodes that have state at the start
	slowDonors   bool // those that have state at the start respond late
	queue        []simResponse
	learnt       int           // nodes that have state
	lastLearnt   time.Duration // when the last of them received it
	maxPerSecond int           // the most requests that any node received in a second
}

func newSim(size, withState int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(uint64(size), uint64(withState))), withState: withState, learnt: withState}
	for i := range size {
		n := &simNode{requester: NewRequester(DefaultLimits, 0, s.rng.Int64N), hasState: i < withState}
		for j := range size {
			if j != i {
				n.others = append(n.others, Peer{Name: fmt.Sprint(j), Older: j < withState})
			}
		}
		s.nodes = append(s.nodes, n)
	}
	return s
}

// run plays simDuration, and checks that nearly all nodes have state then.
func (s *sim) run(t *testing.T) {
	t.Helper()
	for ; s.now < simDuration; s.now += simStep {
		s.deliverResponses()
		for i := s.withState; i < len(s.nodes); i++ {
			s.request(i)
		}
	}
	if size := len(s.nodes); s.learnt < size*95/100 {
		t.Errorf("%d of %d have state", s.learnt, size)
	}
}

// deliverResponses hands the due responses to their receivers.
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
			s.learnt++
			s.lastLearnt = s.now
		}
	}
	s.queue = later
}

// request sends a node's request, if it has one, to the donor that it names.
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
	if s.slowDonors && to < s.withState {
		delay += slowDonorDelay
	}
	transferred := donor.hasState && donor.donor.TakeTransfer(s.now, DefaultLimits)
	s.queue = append(s.queue, simResponse{s.now + delay, to, from, transferred})
}

// With one node in ten that has state, nearly all receive it within seconds, and no donor receives many requests.
func TestMostOfFleetStartsWithoutState(t *testing.T) {
	for _, c := range []struct{ size, withState int }{{9, 1}, {30, 3}, {150, 15}} {
		t.Run(fmt.Sprintf("%d of %d have state", c.withState, c.size), func(t *testing.T) {
			s := newSim(c.size, c.withState)
			s.run(t)
			t.Logf("the last receives it after %v, a donor receives up to %d requests in a second",
				s.lastLearnt, s.maxPerSecond)
			if s.lastLearnt > DefaultLimits.Window || s.maxPerSecond > 8*c.size/c.withState {
				t.Errorf("the last receives it after %v, a donor receives %d requests in a second",
					s.lastLearnt, s.maxPerSecond)
			}
		})
	}
}

// The only members that have state are slow: no process waits for them longer than for a bounded number of requests.
func TestSlowDonorsDelayTheStartByTheirDelayAtMost(t *testing.T) {
	s := newSim(9, 1)
	s.slowDonors = true
	s.run(t)
	if s.lastLearnt > DefaultLimits.Window+slowDonorDelay {
		t.Errorf("with a slow donor the last receives state after %v", s.lastLearnt)
	}
}
