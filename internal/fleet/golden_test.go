package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"rampspread/internal/fleet/bootstrap"
	"rampspread/internal/fleet/lease"
	"rampspread/internal/fleet/membership"
	"rampspread/internal/fleet/quota"
	"rampspread/internal/fleet/tombstone"
	"rampspread/internal/hostos"
	"rampspread/internal/testutil/golden"
)

// The tests in this file fix the bytes that members send to each other and that operators receive. Members of different
// program versions run side by side during a rolling update, so these bytes must not change.

var goldenInfo = membership.MemberInfo{Name: "n1", Zone: "wien", Incarnation: 1001,
	Started: time.UnixMilli(1700000000123), Version: "1.2.3", SettingsDigest: 0x1122334455667788, ListVersion: 41,
	HighestToken: 77, Serving: true, Leaving: true}

const goldenSentMS = 1700000001234

var goldenDigest = tombstone.Digest{Version: 7, Ready: []uint64{0x1122334455667788, 72},
	Draining: []uint64{73, 0x99aabbccddeeff00}}

var goldenVoters = []string{"v0", "v1", "v2"}

func TestGoldenMessageKinds(t *testing.T) {
	got := []int{kindHeartbeat, kindLeaseRequest, kindLeaseReply, kindTaskResults, kindQuotaClaim, kindQuotaGrant,
		kindIdempotency, kindBootstrapRequest, kindLearnedState, kindEndpointDigest}
	if want := []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}; !slices.Equal(got, want) {
		t.Errorf("kinds are %v, want %v", got, want)
	}
}

// Member info is sent in memberlist's metadata and, with the time of sending, in heartbeats.
func TestGoldenMemberInfo(t *testing.T) {
	n := &Node{info: goldenInfo}
	cases := []struct {
		file string
		got  []byte
		want membership.MemberInfo
		sent int64
	}{
		{"member-meta.hex", (&delegate{n}).NodeMeta(512), goldenInfo, 0},
		{"member-heartbeat.hex", encodeMemberInfo(goldenInfo, goldenSentMS), goldenInfo, goldenSentMS},
	}
	for _, serving := range []bool{true, false} {
		info := goldenInfo
		info.Serving, info.Leaving = serving, !serving
		cases = append(cases, struct {
			file string
			got  []byte
			want membership.MemberInfo
			sent int64
		}{fmt.Sprintf("member-serving-%t.hex", serving), encodeMemberInfo(info, goldenSentMS), info, goldenSentMS})
	}
	for _, c := range cases {
		info, sent, err := decodeMemberInfo(golden.Bytes(t, c.file, c.got))
		if err != nil || info != c.want || sent != c.sent {
			t.Errorf("%s: %+v sent %d, %v", c.file, info, sent, err)
		}
	}
}

// A heartbeat is the kind and the member info with the highest fencing token. Its time is the sender's own.
func TestGoldenHeartbeatFrame(t *testing.T) {
	n := &Node{info: goldenInfo}
	before := time.Now().UnixMilli()
	b := n.encodeHeartbeat()
	info, sent, err := decodeMemberInfo(b[1:])
	want := goldenInfo
	want.HighestToken = 0 // no leased tasks, so no token is known
	if b[0] != 1 || err != nil || info != want || sent < before || sent > time.Now().UnixMilli() {
		t.Errorf("kind %d, %+v sent %d, %v", b[0], info, sent, err)
	}
	if string(b) != string(append([]byte{1}, encodeMemberInfo(want, sent)...)) {
		t.Errorf("the message is % x", b)
	}
}

func TestGoldenPeerMessages(t *testing.T) {
	request := lease.Request{Seq: 3, From: lease.Candidate{Name: "n1", Incarnation: 1001},
		Claims:   []lease.Claim{{Task: 0x1122334455667788, Token: 21, Renew: true}, {Task: 12, Token: 22}},
		Releases: []lease.Claim{{Task: 13, Token: 23, Renew: true}, {Task: 14, Token: 24}}}
	reply := lease.Reply{Seq: 4, To: lease.Candidate{Name: "n1", Incarnation: 1002}, Voter: "v1", Grants: []lease.Grant{
		{Task: 0x1122334455667788, ClaimedToken: 31, Token: 32, Granted: true, Remaining: 33 * time.Microsecond},
		{Task: 12, ClaimedToken: 34, Token: 35, Remaining: 1200 * time.Millisecond}}}
	now := 10 * time.Second
	results := []taskResult{{0x1122334455667788, 41, now - 42*time.Microsecond, []byte("found")},
		{12, 43, now - 3*time.Second, []byte{0}}}
	claim := quota.Claim{From: quota.BorrowerID{Name: "n1", Incarnation: 1003}, Seq: 5, Demand: 51.25,
		InForce: map[string]uint64{"v0": 52, "v2": 53}, Leaving: true}
	grant := quota.Grant{To: quota.BorrowerID{Name: "n1", Incarnation: 1004}, Voter: "v2", Seq: 6, Fraction: 0.0625}
	digest := goldenDigest
	requests := encodeLeaseRequest(request)
	if len(requests) != 1 {
		t.Fatalf("%d packets", len(requests))
	}
	packet, rest := encodeTaskResults(now, results)
	if len(rest) != 0 {
		t.Fatalf("%d results remain", len(rest))
	}
	for _, c := range []struct {
		file string
		kind byte
		got  []byte
		want peerMessage
	}{
		{"lease-request.hex", 2, requests[0],
			peerMessage{seq: 3, from: "n1", incarnation: 1001, claims: request.Claims, releases: request.Releases}},
		{"lease-reply.hex", 3, encodeLeaseReply(reply),
			peerMessage{seq: 4, from: "v1", incarnation: 1002, grants: reply.Grants}},
		{"duty-results.hex", 4, packet, peerMessage{results: results}},
		{"share-claim.hex", 5, encodeQuotaClaim(claim, goldenVoters),
			peerMessage{seq: 5, from: "n1", incarnation: 1003, demand: 51.25, leaving: true,
				inForce: []uint64{0, 52, 2, 53}}},
		{"share-loan.hex", 6, encodeQuotaGrant(grant),
			peerMessage{seq: 6, from: "v2", incarnation: 1004, fraction: 0.0625}},
		{"beliefs-question.hex", 8, encodeBootstrapRequest("n1", 1005), peerMessage{from: "n1", incarnation: 1005}},
		{"beliefs-answer.hex", 9, encodeLearnedState("n1", []byte("told")),
			peerMessage{from: "n1", learnedState: []byte("told")}},
		{"beliefs-answer-empty.hex", 9, encodeLearnedState("n1", nil), peerMessage{from: "n1"}},
		{"list.hex", 10, encodeEndpointDigest("n1", digest),
			peerMessage{seq: 7, from: "n1", ready: digest.Ready, draining: digest.Draining}},
		{"list-empty.hex", 10, encodeEndpointDigest("n1", tombstone.Digest{Version: 8}),
			peerMessage{seq: 8, from: "n1", ready: []uint64{}, draining: []uint64{}}},
	} {
		b := golden.Bytes(t, c.file, c.got)
		if b[0] != c.kind {
			t.Errorf("%s is of kind %d, want %d", c.file, b[0], c.kind)
		}
		if m, err := decodeMessage(b[1:], now); err != nil || !reflect.DeepEqual(m, c.want) {
			t.Errorf("%s: %+v, %v, want %+v", c.file, m, err, c.want)
		}
	}
	m, err := decodeMessage(encodeQuotaClaim(claim, goldenVoters)[1:], now)
	if got := m.quotaClaim(goldenVoters); err != nil || !reflect.DeepEqual(got, claim) {
		t.Errorf("claim %+v, %v", got, err)
	}
}

// A request with more claims than fit into a packet is split into several packets, releases first.
func TestGoldenRequestPackets(t *testing.T) {
	request := lease.Request{Seq: 9, From: lease.Candidate{Name: "n1", Incarnation: 1001}}
	for i := range uint64(30) {
		request.Releases = append(request.Releases, lease.Claim{Task: lease.Task(100 + i), Token: 200 + i})
		request.Claims = append(request.Claims, lease.Claim{Task: lease.Task(300 + i), Token: 400 + i, Renew: i%2 == 0})
	}
	var text []byte
	for _, p := range encodeLeaseRequest(request) {
		text = fmt.Appendf(text, "%x\n", p)
	}
	golden.Text(t, "lease-request-packets.txt", text)
}

// recordingFilter is an EndpointFilter that records the last digest passed to UpdatePeer.
type recordingFilter struct {
	from   string
	digest tombstone.Digest
}

func (f *recordingFilter) Version() uint64          { return 0 }
func (f *recordingFilter) Digest() tombstone.Digest { return tombstone.Digest{} }
func (f *recordingFilter) Tick()                    {}
func (f *recordingFilter) UpdatePeer(from string, d tombstone.Digest) {
	f.from, f.digest = from, d
}

// offlineNode returns a node without a network. Messages passed to receive reach its components.
func offlineNode(t *testing.T, self Options) *Node {
	t.Helper()
	cfg, err := Parse([]byte(goldenConfig), self.Name)
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{cfg: cfg, self: self, start: time.Now(), startWall: time.UnixMilli(1700000000123),
		rng: rand.New(rand.NewPCG(1, 2))}
	n.info = membership.MemberInfo{Name: self.Name, Zone: "wien", Incarnation: 5, Started: n.startWall, Serving: true}
	limits := membership.Limits{HeartbeatInterval: func(int) time.Duration { return time.Second }, SuspectAfter: 3,
		MaxTickGap: time.Second}
	n.table = membership.New(n.info, cfg.names(), limits, n.now())
	n.publishView()
	n.joined.Store(true)
	return n
}

// Messages from the golden files reach the component that handles them, with the values that were encoded.
func TestGoldenMessagesReachTheirComponents(t *testing.T) {
	var idempotency []byte
	filter := &recordingFilter{}
	n := offlineNode(t, Options{Name: "n0", HandleIdempotency: func(message []byte) { idempotency = message }})
	n.addComponent(newEndpointSync(n, filter))
	receiveGolden := func(file string, kind byte, encoded []byte) {
		t.Helper()
		b := golden.Bytes(t, file, encoded)
		receive(n, append([]byte{kind}, b...))
	}
	receiveGolden("member-heartbeat.hex", 1, encodeMemberInfo(goldenInfo, goldenSentMS))
	for _, m := range n.View().Members {
		if m.Name == "n1" && m.MemberInfo != goldenInfo {
			t.Errorf("the heartbeat is decoded as %+v", m.MemberInfo)
		}
	}
	if skew, ok := n.clockSkews.Load("n1"); !ok || skew.(time.Duration) >= 0 {
		t.Errorf("skew %v", skew)
	}
	receive(n, []byte{7, 8, 9})
	if string(idempotency) != "\x08\x09" {
		t.Errorf("the idempotency message is % x", idempotency)
	}
	receive(n, golden.Bytes(t, "list.hex", encodeEndpointDigest("n1", goldenDigest)))
	if filter.from != "n1" || !reflect.DeepEqual(filter.digest, goldenDigest) {
		t.Errorf("digest %+v", filter)
	}
	if n.Malformed() != 0 {
		t.Errorf("%d malformed messages", n.Malformed())
	}
}

// Members exchange the latest incarnation of each name in memberlist's push/pull state exchange.
func TestGoldenPushPull(t *testing.T) {
	n := offlineNode(t, Options{Name: "n0"})
	n.view.Store(&membership.View{Members: []membership.Member{
		{MemberInfo: membership.MemberInfo{Name: "n0", Incarnation: 6}},
		{MemberInfo: membership.MemberInfo{Name: "n1", Incarnation: 7}},
		{MemberInfo: membership.MemberInfo{Name: "n2"}},
	}})
	d := &delegate{n}
	b := golden.Text(t, "push-pull.json", d.LocalState(true))
	d.MergeRemoteState(b, true)
	if n.info.Incarnation != 7 || n.Malformed() != 0 { // one more than the incarnation in the remote state
		t.Errorf("incarnation %d, %d malformed", n.info.Incarnation, n.Malformed())
	}
	n.view.Store(&membership.View{})
	golden.Text(t, "push-pull-empty.json", d.LocalState(false))
}

func TestGoldenStatus(t *testing.T) {
	golden.JSON(t, "status-members.json", Status{Fleet: "f", Self: "n1", ViewVersion: 2, Fresh: true, Malformed: 3,
		Stale: 4, Unconfigured: 5, Conflicts: []string{"n2 at 10.0.0.9:7946"},
		Members: []MemberStatus{{Name: "n3", State: "alive", StateForS: 1.5, LastHeartbeatS: 0.25, Zone: "wien",
			Incarnation: 6, Incarnations: 7, Started: "2023-11-14T22:13:20Z", Version: "1.2.3",
			Settings: "0000000000000008", ListVersion: 9, SkewMS: 10}}})
	golden.JSON(t, "status-duties.json", TasksStatus{Self: "n1", Voters: []string{"v0", "v1"}, Recovering: true,
		LastExpired: "list, lease 2", Executions: 3, LateResults: 4, BytesSent: 5,
		Tasks: []TaskStatus{{Task: "list", Owner: "n2", Standby: "n3", Held: true, Token: 6, HeldForS: 7.5,
			RemainingS: 8.5, LastResultS: 9.5}}})
	golden.JSON(t, "status-shares.json", QuotaStatus{Self: "n1", Fraction: 0.1, MinFraction: 0.2, RemainingS: 0.3,
		Demand: 0.4, IsVoter: true, Recovering: true, Outstanding: 0.5, Borrowers: 6, SharesApplied: 7, Dropped: 8})
	golden.JSON(t, "status-beliefs.json", BootstrapStatus{Received: 1, Sent: 2, Declined: 3, Malformed: 4})
	golden.JSON(t, "status-versions.json", VersionSkewStatus{Self: "n1", MajorityListVersion: 2, MajoritySettings: "0000000000000003",
		Fault: "fault", Enabled: true, InsufficientView: true, Frozen: true,
		Members: []MemberVersion{{Name: "n4", State: "alive", LastHeartbeatS: 5.5, Program: "1.2.3",
			Settings: "0000000000000006", ListVersion: 7, HighestToken: 8, SkewState: "behind", Reason: "list",
			LaggingS: 9.5, SkewStateForS: 10.5}}})
}

// The status for operators contains the names of states, hexadecimal fingerprints and times from the view.
func TestGoldenStatusText(t *testing.T) {
	n := offlineNode(t, Options{Name: "n0"})
	info := goldenInfo
	info.SettingsDigest = 0xab // must be formatted with leading zeros
	n.updateTable(func(table *membership.Table, now time.Duration) {
		table.Heartbeat(info, now)
		table.RecordConflict("n1", "10.0.0.9:7946", now)
	})
	s := n.Status()
	m := s.Members[1]
	if s.Fleet != "f" || s.Self != "n0" || m.Name != "n1" || m.State != "left" || m.Zone != "wien" ||
		m.Incarnation != 1001 || m.Started != "2023-11-14T22:13:20Z" || m.Version != "1.2.3" ||
		m.Settings != "00000000000000ab" || m.ListVersion != 41 ||
		!slices.Equal(s.Conflicts, []string{"n1 at 10.0.0.9:7946"}) {
		t.Errorf("%+v", s)
	}
	v := n.VersionSkewStatus()
	if m := v.Members[1]; m.Program != "1.2.3" || m.Settings != "00000000000000ab" || m.ListVersion != 41 ||
		m.HighestToken != 77 || m.SkewState != "-" || m.State != "left" {
		t.Errorf("%+v", v)
	}
}

const goldenConfig = `{
  "fleet": "f",
  "key": "000102030405060708090a0b0c0d0e0f",
  "listen": "127.0.0.1:7001",
  "members": [
    {"name": "n0", "address": "127.0.0.1:7001"},
    {"name": "n1", "address": "127.0.0.1:7002"},
    {"name": "n2", "address": "127.0.0.1:7003"}
  ],
  "probe_ms": 300,
  "voters": ["n0", "n1", "n2"],
  "term_ms": 900,
  "filings": {"keep_s": 61, "entries": 62},
  "beliefs": true,
  "ends": true,
  "stragglers": {"restrict_s": 4, "out_s": 11, "part": 0.3},
  "subset_readers": 8,
  "budgets": {"floor": 0.4, "probes_per_replica_s": 2.5, "repeats_per_request": 0.5, "repeats_s": 1.5}
}`

// The keys of the operator's file must not change.
func TestGoldenConfig(t *testing.T) {
	got, err := Parse([]byte(goldenConfig), "n0")
	if err != nil {
		t.Fatal(err)
	}
	want := Config{Fleet: "f", Key: "000102030405060708090a0b0c0d0e0f", Listen: "127.0.0.1:7001",
		Members: []Peer{{"n0", "127.0.0.1:7001"}, {"n1", "127.0.0.1:7002"}, {"n2", "127.0.0.1:7003"}}, ProbeIntervalMS: 300,
		Voters: []string{"n0", "n1", "n2"}, LeaseTermMS: 900, Idempotency: &IdempotencyConfig{RetentionS: 61, Entries: 62},
		Bootstrap: true, EndpointFilter: true,
		VersionSkew:              &VersionSkewConfig{RestrictS: 4, FenceS: 11, MaxFencedFraction: 0.3},
		MinSubsetPrefillReplicas: 8,
		Budgets:                  &Budgets{Floor: 0.4, PollsPerReplica: 2.5, RetriesPerRequest: 0.5, RetriesPerSecond: 1.5}}
	golden.JSON(t, "config.json", want)
	got.key, got.addressByName, got.probeInterval, got.leaseTerm = nil, nil, 0, 0
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("%+v", got)
	}
}

// The error for invalid limits contains the rejected values.
func TestGoldenConfigError(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(goldenConfig, `"part": 0.3`, `"part": 0.5`, 1)), "n0")
	want := "fleet: stragglers: straggler: limits {Settle:1.5s Restrict:4s Out:11s Back:2s Part:0.5}: " +
		"want 0 < settle <= restrict <= out, back over 0, part over 0 and under 0.5"
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

// The random draws of a component depend on the process's seed and the component's own constant, and have a fixed
// order. The draws of the node itself (the order of the initial contacts, the delays between contacts of missing
// members, the choice of a missing member) depend on timers, so TestGoldenNodeSeed compares only their seed.
func TestGoldenDraws(t *testing.T) {
	n := offlineNode(t, Options{Name: "n0", Seed: 17, Machine: hostos.Real()})
	var text []byte
	b := newBootstrapper(n, nil)
	members := []bootstrap.Peer{{Name: "n1"}, {Name: "n2"}, {Name: "n3"}, {Name: "n4"}}
	for now, requests := time.Duration(0), 0; requests < 4 && now < time.Minute; now += time.Microsecond {
		if to, ok := b.requester.NextDonor(now, members); ok {
			text = fmt.Appendf(text, "warmup: %v asks %s\n", now, to)
			b.requester.RecordResponse(now, to, false)
			requests++
		}
	}
	tasks := newLeasedTasks(n, recordingRunner{&taskRecorder{}, "n0"})
	tasks.holder.SetWanted(0, map[lease.Task]bool{1: true, 2: true})
	for now, sent := time.Duration(0), 0; sent < 6 && now < time.Minute; now += time.Microsecond {
		q, ok := tasks.holder.Step(now)
		if !ok {
			continue
		}
		text = fmt.Appendf(text, "duties: %v claims %v releases %v\n", now, q.Claims, q.Releases)
		for i, voter := range []string{"n0", "n1", "n2"} {
			r := lease.Reply{Seq: q.Seq, To: q.From, Voter: voter}
			for _, c := range q.Claims {
				grant := lease.Grant{Task: c.Task, ClaimedToken: c.Token, Token: c.Token, Granted: i == 0}
				r.Grants = append(r.Grants, grant)
			}
			tasks.holder.HandleReply(now, r)
		}
		sent++
	}
	golden.Text(t, "draws.txt", text)
}

// A node that waits for its address has made no random draws yet, so its first draw shows how its source was seeded.
func TestGoldenNodeSeed(t *testing.T) {
	listener, err := net.Listen("tcp", memberAddress(95))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	n := startNode(t, configJSON("f", testKey, 95, 96), 95, nil)
	n.Close()
	if got, want := n.rng.Uint64(), uint64(0x3d0110e9a8579436); got != want {
		t.Errorf("first draw %#x, want %#x", got, want)
	}
}
