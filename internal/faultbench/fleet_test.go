package faultbench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"rampspread/internal/faultbench/history"
	"rampspread/internal/faultbench/scenario"
	"rampspread/internal/fleet"
	"rampspread/internal/testutil"
)

// startFleet starts the dispatchers of a fleet at once, without traffic, and waits until each sees all members as
// alive.
func startFleet(t *testing.T, n int) *Run {
	t.Helper()
	r := &Run{scenario: &scenario.Scenario{Name: "fleet", Zones: 3, PrefillReplicas: 1, DecodeReplicas: 1}, history: history.NewRecorder(), dir: t.TempDir(),
		options: Options{Program: programPath, Dispatchers: n, Seed: 1, Fleet: true, Log: slog.New(slog.DiscardHandler)}}
	t.Cleanup(r.close)
	if err := r.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	for d := range n {
		r.awaitState(t, d, "alive", r.allDispatchers()...)
	}
	return r
}

func (r *Run) allDispatchers() (out []int) {
	for d := range r.dispatchers {
		out = append(out, d)
	}
	return out
}

// awaitState waits until a dispatcher reports these members as being in a state.
func (r *Run) awaitState(t *testing.T, d int, state string, members ...int) {
	t.Helper()
	testutil.Eventually(t, fmt.Sprintf("members %v to be %s in the view of dispatcher %d", members, state, d), func() bool {
		s, err := r.Members(d)
		return err == nil && !slices.ContainsFunc(members, func(m int) bool { return s.Members[m].State != state })
	})
}

func (r *Run) memberStatus(t *testing.T, at, of int) fleet.MemberStatus {
	t.Helper()
	s, err := r.Members(at)
	if err != nil {
		t.Fatal(err)
	}
	return s.Members[of]
}

// All members must agree on the state and the incarnation of a member that is killed and restarted, of one that leaves
// gracefully, and of one that is restarted five times in a row.
func TestMembershipAfterKillsAndRestarts(t *testing.T) {
	t.Parallel()
	r, ctx := startFleet(t, 5), context.Background()
	r.dispatchers[0].Kill()
	for d := 1; d < 5; d++ {
		r.awaitState(t, d, "unreachable", 0)
	}
	first := r.memberStatus(t, 1, 0)
	r.dispatchers[0].restart(ctx)
	for d := range 5 {
		r.awaitState(t, d, "alive", 0, 1, 2, 3, 4)
	}
	if m := r.memberStatus(t, 1, 0); m.Incarnations != 2 || m.Incarnation <= first.Incarnation {
		t.Errorf("after the restart %+v, before it %+v", m, first)
	}
	r.dispatchers[3].Terminate()
	for _, d := range []int{0, 1, 2, 4} {
		r.awaitState(t, d, "left", 3)
	}
	for range 5 {
		r.dispatchers[2].Kill()
		r.dispatchers[2].restart(ctx)
	}
	for _, d := range []int{0, 1, 4} {
		r.awaitState(t, d, "alive", 0, 1, 2, 4)
		// Incarnations too short to be noticed are not counted, but all members must agree on the last one.
		testutil.Eventually(t, "the last incarnation", func() bool { return r.memberStatus(t, d, 2).Incarnation == r.memberStatus(t, 2, 2).Incarnation })
		if m := r.memberStatus(t, d, 2); m.Incarnations < 2 || m.Incarnations > 6 {
			t.Errorf("%d incarnations, want 2 to 6", m.Incarnations)
		}
		if s, err := r.Members(d); err != nil || len(s.Conflicts) > 0 {
			t.Errorf("conflicts %v, %v", s.Conflicts, err)
		}
	}
	for _, p := range r.dispatchers {
		if p.Crashes() > 0 {
			t.Errorf("dispatcher %d crashed", p.index)
		}
	}
}

// The members on each side must see a partition into two or three sides, and the loss of all messages in one direction.
// Once the links are healthy again, they must see all members as alive.
func TestMembershipAcrossPartitions(t *testing.T) {
	t.Parallel()
	r := startFleet(t, 6)
	for _, sides := range []int{2, 3} {
		side := func(d int) int { return d % sides }
		r.peerLinks.split(side, cutLink)
		for d := range r.dispatchers {
			var here, there []int
			for o := range r.dispatchers {
				if side(o) == side(d) {
					here = append(here, o)
				} else {
					there = append(there, o)
				}
			}
			r.awaitState(t, d, "unreachable", there...)
			r.awaitState(t, d, "alive", here...)
		}
		r.peerLinks.split(side, healthyLink)
		for d := range r.dispatchers {
			r.awaitState(t, d, "alive", r.allDispatchers()...)
		}
	}
	r.peerLinks.setDispatcher(2, "to", cutLink)
	for _, d := range []int{0, 1, 3, 4, 5} {
		r.awaitState(t, d, "unreachable", 2)
	}
	for d := range r.dispatchers {
		if d != 2 {
			r.awaitState(t, d, "alive", 0, 1, 3, 4, 5)
		}
	}
	r.peerLinks.setDispatcher(2, "to", healthyLink)
	for d := range r.dispatchers {
		r.awaitState(t, d, "alive", r.allDispatchers()...)
	}
	before, _ := r.Members(0)
	if before.ViewVersion < 10 {
		t.Errorf("view version %d after all changes, want at least 10", before.ViewVersion)
	}
}

// A process that was suspended for longer than the failure timeout must report its view as not fresh in its first
// answer after it resumes.
func TestResumedMemberKnowsItsViewIsOld(t *testing.T) {
	t.Parallel()
	r := startFleet(t, 3)
	r.dispatchers[1].Suspend()
	r.awaitState(t, 0, "unreachable", 1)
	r.awaitState(t, 2, "unreachable", 1)
	conn, err := net.Dial("tcp", r.addrs.admin(1)) // the kernel accepts the connection while the process is stopped
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintln(conn, "members")
	r.dispatchers[1].Signal(syscall.SIGCONT)
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	var s fleet.Status
	if err := json.Unmarshal([]byte(strings.TrimPrefix(line, "SUCCESS ")), &s); err != nil || s.Fresh {
		t.Errorf("the first answer after the pause says fresh=%t, %v", s.Fresh, err)
	}
	for d := range 3 {
		r.awaitState(t, d, "alive", 0, 1, 2)
	}
	testutil.Eventually(t, "a fresh view", func() bool { s, err := r.Members(1); return err == nil && s.Fresh })
	if m := r.memberStatus(t, 0, 1); m.Incarnations != 1 {
		t.Errorf("after the pause the member is %+v, want a single incarnation", m)
	}
}

// Replayed packets of an earlier incarnation must change nothing, although they are sealed with the right key.
func TestReplayedPacketsChangeNothing(t *testing.T) {
	t.Parallel()
	r := startFleet(t, 3)
	time.Sleep(time.Second) // time for heartbeats, probes, claims and results to be sent
	r.dispatchers[1].Kill()
	r.awaitState(t, 0, "unreachable", 1)
	r.dispatchers[1].restartWithoutState(context.Background())
	for d := range 3 {
		r.awaitState(t, d, "alive", 0, 1, 2)
	}
	testutil.Eventually(t, "the second incarnation", func() bool {
		return r.memberStatus(t, 0, 1).Incarnations == 2 && r.memberStatus(t, 2, 1).Incarnations == 2
	})
	var before []fleet.MemberStatus
	for _, at := range []int{0, 2} {
		before = append(before, r.memberStatus(t, at, 1))
	}
	for _, relay := range r.peerLinks.relays {
		if n, err := relay.Replay(); err != nil || n < 10 {
			t.Fatalf("%d packets, %v", n, err)
		}
	}
	time.Sleep(2 * time.Second) // longer than a member stays suspect before it becomes unreachable
	for i, at := range []int{0, 2} {
		if m := r.memberStatus(t, at, 1); m.State != "alive" || m.Incarnations != 2 || m.Incarnation != before[i].Incarnation {
			t.Errorf("at %d: %+v, before the replay %+v", at, m, before[i])
		}
		if s, err := r.Members(at); err != nil || s.Stale == 0 {
			t.Errorf("at %d: %d messages of earlier incarnations counted, %v", at, s.Stale, err)
		}
	}
}

// A member whose descriptor table is full and whose peer port receives garbage must stay alive in the view of the
// others.
func TestMemberWithoutDescriptorsStays(t *testing.T) {
	t.Parallel()
	r := startFleet(t, 3)
	pid := r.dispatchers[1].PID()
	var old unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 5, Max: 20000}, &old); err != nil {
		t.Skip("the limit of another process cannot be set here:", err)
	}
	u, err := net.Dial("udp", r.addrs.peerListen(1))
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	before := r.memberStatus(t, 0, 1)
	for _, text := range testutil.CorruptedSeeds(9, "\xf4\x03rigabcdefgh", strings.Repeat("\x00", 300)) {
		io.WriteString(u, text)
	}
	// This lasts several times as long as the others take to report a silent member as unreachable.
	end := time.Now().Add(4 * time.Second)
	for time.Now().Before(end) {
		if m := r.memberStatus(t, 0, 1); m.State != "alive" || m.Incarnations != before.Incarnations {
			t.Fatalf("with a full descriptor table the member is %+v", m)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &old, nil); err != nil {
		t.Fatal(err)
	}
	testutil.Eventually(t, "garbage to be counted as malformed", func() bool { s, err := r.Members(1); return err == nil && s.Malformed > 10 })
	r.awaitState(t, 1, "alive", 0, 1, 2)
}
