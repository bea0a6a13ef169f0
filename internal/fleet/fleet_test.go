package fleet

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"

	"rampspread/internal/fleet/membership"
	"rampspread/internal/hostos"
	"rampspread/internal/testutil"
)

const testKey = "000102030405060708090a0b0c0d0e0f"

// memberAddress returns the peer address of the member on a host. Its network is used by this test process alone, since
// members also send from the address at which they listen.
func memberAddress(host int) string {
	return fmt.Sprintf("%s%d:7946", testutil.LoopbackPrefix(), 1+host)
}

// memberName returns the name of the member on a host. Hosts whose numbers differ by 100 have members of the same name.
func memberName(host int) string { return fmt.Sprint("n", host%100) }

// configJSON returns the configuration of a fleet with one member on each of the hosts.
func configJSON(fleetName, key string, hosts ...int) string {
	var members []string
	for _, h := range hosts {
		members = append(members, fmt.Sprintf(`{"name":"n%d","address":%q}`, h%100, memberAddress(h)))
	}
	return fmt.Sprintf(`{"fleet":%q,"key":%q,"probe_ms":100,"members":[%s]}`, fleetName, key, strings.Join(members, ","))
}

// startNode starts the member on a host. If failed is nil, a failure of the node fails the test.
func startNode(t *testing.T, text string, host int, failed func(error)) *Node {
	t.Helper()
	return startNodeOn(t, hostos.Real(), text, host, failed)
}

// startNodeOn starts the member on a host as startNode does, but on a machine whose clock the test sets.
func startNodeOn(t *testing.T, machine hostos.System, text string, host int, failed func(error)) *Node {
	t.Helper()
	cfg, err := Parse([]byte(text), memberName(host))
	if err != nil {
		t.Fatal(err)
	}
	if failed == nil {
		failed = func(err error) { t.Errorf("member %d: %v", host, err) }
	}
	n, err := Start(cfg, Options{Machine: machine, Name: memberName(host), Zone: "wien", Version: "1", Seed: uint64(host),
		LocalState: func() LocalState { return LocalState{SettingsDigest: 7, ListVersion: 41, Serving: true} }}, failed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// crash stops a node without notifying other members, like a crash of its process.
func crash(n *Node) {
	n.cancel()
	<-n.done
	n.gossip.Shutdown()
}

func heartbeatMessage(info membership.MemberInfo, sent int64) []byte {
	return append([]byte{kindHeartbeat}, encodeMemberInfo(info, sent)...)
}

// receive passes a message to a node, as memberlist does.
func receive(n *Node, message []byte) { (&delegate{n}).NotifyMsg(message) }

// memberState returns the state of a member in a node's view.
func memberState(n *Node, name string) membership.State {
	for _, m := range n.View().Members {
		if m.Name == name {
			return m.State
		}
	}
	return membership.Unknown
}

func awaitState(t *testing.T, n *Node, name string, want membership.State) {
	t.Helper()
	what := fmt.Sprintf("%s as %s at %s", name, want, n.self.Name)
	testutil.Eventually(t, what, func() bool { return memberState(n, name) == want })
}

// Members discover each other while the first member of the configuration is missing. They detect a member that crashes
// and one that leaves, and accept the crashed member again as a new incarnation. A late heartbeat of the old
// incarnation must not mark the new one as leaving.
func TestMembersTrackJoinsCrashesAndLeaves(t *testing.T) {
	text := configJSON("f", testKey, 10, 11, 12, 13)
	one, two := startNode(t, text, 11, nil), startNode(t, text, 12, nil)
	three := startNode(t, text, 13, nil)
	for _, n := range []*Node{one, two, three} {
		for _, name := range []string{"n11", "n12", "n13"} {
			awaitState(t, n, name, membership.Alive)
		}
		testutil.Eventually(t, "a fresh view", func() bool { return n.View().Fresh(n.Now(), MaxViewAge) })
	}
	s := one.Status()
	if m := s.Members[2]; m.ListVersion != 41 || m.Zone != "wien" || memberState(one, "n10") != membership.Unknown {
		t.Errorf("%+v", s)
	}
	three.Leave()
	awaitState(t, one, "n13", membership.Left)
	awaitState(t, two, "n13", membership.Left)
	old := two.info
	crash(two)
	awaitState(t, one, "n12", membership.Unreachable)
	restarted := startNode(t, text, 12, nil)
	awaitState(t, one, "n12", membership.Alive)
	awaitState(t, restarted, "n11", membership.Alive)
	receive(one, heartbeatMessage(membership.MemberInfo{Name: "n12", Incarnation: old.Incarnation, Leaving: true}, 1))
	s = one.Status()
	if m := s.Members[2]; m.State != "alive" || m.Incarnations != 2 || m.Incarnation <= old.Incarnation || s.Stale == 0 {
		t.Errorf("after the old incarnation's heartbeat: %+v", s)
	}
}

// A process whose clock gives it a lower incarnation than other members report for its name must take a higher one.
func TestIncarnationRisesOverTheOneThatOthersKnow(t *testing.T) {
	text := configJSON("f", testKey, 20, 21)
	one, two := startNode(t, text, 20, nil), startNode(t, text, 21, nil)
	awaitState(t, one, "n21", membership.Alive)
	ahead := two.info.Incarnation + 30_000
	one.mu.Lock()
	one.table.MarkJoined(membership.MemberInfo{Name: "n21", Incarnation: ahead, Serving: true}, one.now())
	one.publishView()
	one.mu.Unlock()
	two.gossip.Join([]string{memberAddress(20)}) // exchanges all state by push/pull
	testutil.Eventually(t, "a higher incarnation", func() bool {
		return one.Status().Members[1].Incarnation > ahead && memberState(one, "n21") == membership.Alive
	})
}

// Fleets of different names or keys never merge.
func TestFleetsOfAnotherNameOrKeyNeverMerge(t *testing.T) {
	one := startNode(t, configJSON("f", testKey, 30, 31, 32), 30, nil)
	otherName := startNode(t, configJSON("g", testKey, 30, 31, 32), 31, nil)
	otherKey := startNode(t, configJSON("f", strings.Repeat("ab", 16), 30, 31, 32), 32, nil)
	testutil.Eventually(t, "rejected packets", func() bool { return one.Malformed() > 0 })
	for range 3 {
		for _, n := range []*Node{otherName, otherKey} {
			n.gossip.Join([]string{memberAddress(30)})
			one.gossip.Join([]string{n.cfg.address(n.self.Name)})
		}
	}
	for _, n := range []*Node{one, otherName, otherKey} {
		if c := n.View().ActiveMembers(); len(c) != 1 {
			t.Errorf("%s has the active members %v, want itself alone", n.self.Name, c)
		}
	}
}

// A process that is to replace another waits for the address while the other one runs, and takes over the name when the
// other one leaves. The two must not count as a name conflict.
func TestReplacementWaitsForTheAddress(t *testing.T) {
	text := configJSON("f", testKey, 70, 71)
	one, first := startNode(t, text, 70, nil), startNode(t, text, 71, nil)
	awaitState(t, one, "n71", membership.Alive)
	second := startNode(t, text, 71, nil)
	if second.joined.Load() || second.View().Fresh(second.Now(), MaxViewAge) {
		t.Error("the second joined while the first runs, or has a fresh view without a heartbeat")
	}
	first.Leave()
	first.Close()
	testutil.Eventually(t, "the second process to replace the first", func() bool {
		m := one.Status().Members[1]
		return m.State == "alive" && m.Incarnations == 2
	})
	awaitState(t, second, "n70", membership.Alive)
	if c := one.View().Conflicts; len(c) > 0 {
		t.Errorf("conflicts %v", c)
	}
}

// A second process with a name that is in use fails, and the error contains the address of the first process.
func TestSecondProcessOfANameIsRejected(t *testing.T) {
	text := configJSON("f", testKey, 40, 41)
	one := startNode(t, text, 40, nil)
	first := startNode(t, text, 41, nil)
	awaitState(t, one, "n41", membership.Alive)
	rejected := make(chan error, 1)
	startNode(t, configJSON("f", testKey, 40, 141), 141, func(err error) { rejected <- err })
	if err := <-rejected; !errors.Is(err, ErrDuplicateName) || !strings.Contains(err.Error(), memberAddress(41)) {
		t.Errorf("rejected with %v", err)
	}
	if memberState(one, "n41") != membership.Alive || memberState(first, "n40") != membership.Alive {
		t.Error("the first process is no longer a member")
	}
}

// Garbage, truncated and replayed packets on the peer port are counted and ignored.
func TestMalformedAndReplayedPacketsAreIgnored(t *testing.T) {
	text := configJSON("f", testKey, 50, 51)
	one, two := startNode(t, text, 50, nil), startNode(t, text, 51, nil)
	awaitState(t, one, "n51", membership.Alive)
	awaitState(t, two, "n50", membership.Alive)
	datagrams, err := net.Dial("udp", memberAddress(50))
	if err != nil {
		t.Fatal(err)
	}
	defer datagrams.Close()
	for _, malformed := range testutil.CorruptedSeeds(5, "\xf4\x01fgarbage", string(encodeMemberInfo(two.info, 5))) {
		datagrams.Write([]byte(malformed))
		if c, err := net.Dial("tcp", memberAddress(50)); err == nil {
			c.Write([]byte(malformed))
			c.Close()
		}
	}
	testutil.Eventually(t, "malformed packets to be counted", func() bool { return one.Malformed() > 10 })
	before := one.View().Version
	replayed := heartbeatMessage(membership.MemberInfo{Name: "n51", Incarnation: two.info.Incarnation - 1}, 1)
	for range 50 {
		receive(one, replayed)
	}
	if v := one.View(); v.Version != before || memberState(one, "n51") != membership.Alive {
		t.Errorf("the view has version %d after replayed heartbeats, want %d", v.Version, before)
	}
}
