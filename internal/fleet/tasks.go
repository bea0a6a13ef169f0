package fleet

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/fleet/lease"
	"rampspread/internal/fleet/membership"
)

const (
	defaultLeaseTerm = 1200 * time.Millisecond
	// A standby claims a task if it has received no result of the task for the sum of a lease's term, the task's
	// interval divided by standbyIntervalDivisor, and standbyGrace.
	standbyGrace           = 100 * time.Millisecond
	standbyIntervalDivisor = 4
	// standbyTerms is the number of terms after which a standby returns a task to its owner, if the owner is an active
	// member again.
	standbyTerms = 8
	// grantRetention is the time for which a voter keeps expired grants, whose tasks may no longer exist.
	grantRetention = time.Minute
	// The margin and the renewal interval of a lease are its term divided by these. Quota grants use the same divisors.
	leaseMarginDivisor = 10
	leaseRenewDivisor  = 6
	// leaseSeedStream separates the lease holder's random draws from the draws of the node and other components.
	leaseSeedStream = 0x1ea5e
)

// TaskRunner runs the tasks that one member runs for the whole fleet. Its methods may be called concurrently. Names,
// Interval and HandleResults must not block.
type TaskRunner interface {
	// Names returns the names of the current tasks.
	Names() []string
	// Interval returns the interval at which a task runs.
	Interval(task string) time.Duration
	// Run runs a task once under the lease with the given fencing token, and calls done once with the result (at most
	// 64 bytes), or with nil if there is no result.
	Run(task string, token uint64, done func(result []byte))
	// HandleResults handles results from this process or other members.
	HandleResults(results []TaskResult)
}

// TaskResult is the result of one run of a task, and its age.
type TaskResult struct {
	Task string
	Data []byte
	Age  time.Duration
}

// leasedTasks is the component that makes each task run at one member at a time. It claims leases on the tasks that are
// assigned to this member according to the view, votes if the member is a voter, runs tasks under its leases and
// distributes their results.
type leasedTasks struct {
	node        *Node
	runner      TaskRunner
	limits      lease.Limits
	executions  atomic.Int64
	lateResults atomic.Int64
	bytesSent   atomic.Int64

	mu             sync.Mutex
	stopped        bool // whether the process leaves and claims no more leases
	holder         *lease.Holder
	voter          *lease.Voter // nil if this member is not a voter
	fence          lease.Fence
	lastCompaction time.Duration  // time of the last compaction of the voter's grants
	lastExpired    *lease.Expired // expired lease that was logged last

	sortedNames []string              // names of the current tasks, sorted
	names       map[lease.Task]string // names of the current tasks by hash
	members     []string              // members to which tasks are assigned
	assignment  lease.Assignment

	nextRun      map[lease.Task]time.Duration
	lastResult   map[lease.Task]time.Duration // time of the last result, or from which the wait for one counts
	standbySince map[lease.Task]time.Duration // time since which this member claims a task in place of its owner

	unsentResults map[lease.Task]taskResult // latest unsent result of each task
	lastFlush     time.Duration             // time of the last transmission of results
	byteBudget    float64                   // number of bytes of results that may be sent now
}

func newLeasedTasks(n *Node, runner TaskRunner) *leasedTasks {
	term := n.cfg.leaseTerm
	limits := lease.Limits{Term: term, Margin: term / leaseMarginDivisor, Renew: term / leaseRenewDivisor}
	rng := rand.New(rand.NewPCG(n.self.Seed, leaseSeedStream))
	self := lease.Candidate{Name: n.self.Name, Incarnation: uint64(n.startWall.UnixNano())}
	t := &leasedTasks{
		node:          n,
		runner:        runner,
		limits:        limits,
		holder:        lease.NewHolder(self, n.cfg.Voters, limits, rng.Int64N),
		names:         map[lease.Task]string{},
		nextRun:       map[lease.Task]time.Duration{},
		lastResult:    map[lease.Task]time.Duration{},
		standbySince:  map[lease.Task]time.Duration{},
		unsentResults: map[lease.Task]taskResult{},
		byteBudget:    resultBytesPerSecond,
	}
	t.holder.ObserveToken(n.self.TokenFloor)
	if n.cfg.IsVoter(n.self.Name) {
		t.voter = lease.NewVoter(n.self.Name, limits, n.now())
	}
	return t
}

// handlers implements component.
func (t *leasedTasks) handlers() map[byte]messageHandler {
	return map[byte]messageHandler{
		kindLeaseRequest: func(m peerMessage) {
			from := lease.Candidate{Name: m.from, Incarnation: m.incarnation}
			t.handleRequest(lease.Request{Seq: m.seq, From: from, Claims: m.claims, Releases: m.releases})
		},
		kindLeaseReply: func(m peerMessage) {
			to := lease.Candidate{Name: t.node.self.Name, Incarnation: m.incarnation}
			t.handleReply(lease.Reply{Seq: m.seq, To: to, Voter: m.from, Grants: m.grants})
		},
		kindTaskResults: func(m peerMessage) { t.addPeerResults(m.results) },
	}
}

// tick implements component. It claims leases, runs the tasks that are due and sends results.
func (t *leasedTasks) tick(now time.Duration) {
	v := t.node.View()
	t.mu.Lock()
	t.assignTasks(now, v)
	t.propagateHighestToken()
	t.compactVoter(now)
	t.holder.SetWanted(now, t.wantedTasks(now))
	request, hasRequest := t.holder.Step(now)
	t.logExpired()
	due := t.dueTasks(now)
	packets := t.flushResults(now)
	t.mu.Unlock()
	if hasRequest {
		t.sendRequest(request)
	}
	for _, task := range due {
		t.runTask(task)
	}
	for _, p := range packets {
		t.node.send(p.to, p.data)
	}
}

// stop implements component. It releases all leases, so that other members may claim them at once.
func (t *leasedTasks) stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.tick(t.node.now())
}

// highestToken returns the highest fencing token known to this member.
func (t *leasedTasks) highestToken() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.fence.HighestToken(), t.holder.HighestToken())
}

// observeToken records the highest fencing token known to another member, so that a process that has just started
// neither grants nor claims lower ones. The tokens arrive while the voter of that process is recovering and may not
// vote yet.
func (t *leasedTasks) observeToken(token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder.ObserveToken(token)
}

// propagateHighestToken passes the highest known fencing token to the holder, the voter and the process. The caller
// holds the lock.
func (t *leasedTasks) propagateHighestToken() {
	highest := max(t.fence.HighestToken(), t.holder.HighestToken())
	t.holder.ObserveToken(highest)
	if t.node.self.ObserveToken != nil {
		t.node.self.ObserveToken(highest)
	}
	if t.voter != nil {
		t.voter.ObserveToken(highest)
	}
}

// compactVoter makes the voter drop old grants every grantRetention. The caller holds the lock.
func (t *leasedTasks) compactVoter(now time.Duration) {
	if t.voter != nil && now-t.lastCompaction > grantRetention {
		t.lastCompaction = now
		t.voter.Compact(now, grantRetention)
	}
}

// logExpired logs the last lease that has expired, unless it is logged already. The caller holds the lock.
func (t *leasedTasks) logExpired() {
	expired := t.holder.LastExpired()
	if expired == nil || expired == t.lastExpired {
		return
	}
	t.lastExpired = expired
	slog.Info("lease_expired", "task", t.names[expired.Task], "token", expired.Token, "reason", expired.Reason)
}

// dueTasks returns the tasks under lease that are to run now, and schedules their next runs. The caller holds the lock.
func (t *leasedTasks) dueTasks(now time.Duration) []lease.Task {
	var due []lease.Task
	for _, l := range t.holder.Leases(now) {
		if now >= t.nextRun[l.Task] {
			due = append(due, l.Task)
			t.nextRun[l.Task] = now + t.runner.Interval(t.names[l.Task])
		}
	}
	return due
}

// assignTasks assigns the tasks to members again if the tasks or the members to which they may be assigned have
// changed. The caller holds the lock.
func (t *leasedTasks) assignTasks(now time.Duration, v membership.View) {
	names := t.runner.Names()
	slices.Sort(names)
	var members []string
	for _, m := range v.ActiveMembers() {
		if !t.node.isRestricted(m.Name) {
			members = append(members, m.Name)
		}
	}
	if slices.Equal(names, t.sortedNames) && slices.Equal(members, t.members) {
		return
	}
	t.sortedNames, t.members = names, members
	t.names = map[lease.Task]string{}
	for _, name := range names {
		task := lease.TaskOf(name)
		t.names[task] = name
		if _, ok := t.lastResult[task]; !ok {
			t.lastResult[task] = now
		}
	}
	retainKeys(t.lastResult, t.names)
	retainKeys(t.nextRun, t.names)
	retainKeys(t.standbySince, t.names)
	retainKeys(t.unsentResults, t.names)
	t.fence.Retain(func(task lease.Task) bool { return t.names[task] != "" })
	t.assignment = lease.Assign(slices.Collect(maps.Keys(t.names)), members)
}

// retainKeys deletes the entries of tasks that no longer exist.
func retainKeys[V any](entries map[lease.Task]V, names map[lease.Task]string) {
	maps.DeleteFunc(entries, func(task lease.Task, _ V) bool { return names[task] == "" })
}

// wantedTasks returns the tasks whose leases this member is to claim: the tasks that it owns, and the tasks for which
// it is the standby and whose lease seems to have expired. The caller holds the lock.
func (t *leasedTasks) wantedTasks(now time.Duration) map[lease.Task]bool {
	wanted := map[lease.Task]bool{}
	if t.stopped || t.node.isSelfRestricted() {
		return wanted
	}
	self := t.node.self.Name
	for task := range t.names {
		switch self {
		case t.assignment.Owner[task]:
			wanted[task] = true
			delete(t.standbySince, task)
		case t.assignment.Standby[task]:
			if t.claimsAsStandby(task, now) {
				wanted[task] = true
			}
		}
	}
	return wanted
}

// claimsAsStandby reports whether this member, as the standby of a task, claims it in place of the owner. The caller
// holds the lock.
func (t *leasedTasks) claimsAsStandby(task lease.Task, now time.Duration) bool {
	since, claiming := t.standbySince[task]
	switch {
	case claiming && now-since < standbyTerms*t.limits.Term:
		return true
	case claiming:
		delete(t.standbySince, task) // the owner is active: otherwise the task would have another owner by now
		t.lastResult[task] = now
	case now-t.lastResult[task] > t.resultTimeout(task):
		t.standbySince[task] = now
		return true
	}
	return false
}

// resultTimeout returns the time without a result after which the lease of a task is assumed to have expired.
func (t *leasedTasks) resultTimeout(task lease.Task) time.Duration {
	return t.limits.Term + standbyGrace + t.runner.Interval(t.names[task])/standbyIntervalDivisor
}

// sendRequest sends a request to all voters. If this member is a voter, its own voter is called directly.
func (t *leasedTasks) sendRequest(request lease.Request) {
	packets := encodeLeaseRequest(request)
	for _, voter := range t.node.cfg.Voters {
		if voter == t.node.self.Name {
			t.handleRequest(request)
			continue
		}
		for _, p := range packets {
			t.node.send(voter, p)
		}
	}
}

// handleRequest answers a request as a voter. A member that is not a voter ignores it.
func (t *leasedTasks) handleRequest(request lease.Request) {
	t.mu.Lock()
	if t.voter == nil {
		t.mu.Unlock()
		return
	}
	now := t.node.now()
	reply := t.voter.HandleRequest(now, request)
	if request.From.Name == t.node.self.Name {
		t.holder.HandleReply(now, reply)
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	if len(reply.Grants) > 0 {
		t.node.send(request.From.Name, encodeLeaseReply(reply))
	}
}

func (t *leasedTasks) handleReply(reply lease.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder.HandleReply(t.node.now(), reply)
}
