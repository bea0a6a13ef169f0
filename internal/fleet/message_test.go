package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"rampspread/internal/fleet/lease"
	"rampspread/internal/fleet/membership"
	"rampspread/internal/fleet/quota"
	"rampspread/internal/fleet/tombstone"
	"rampspread/internal/testutil"
)

// A member's info is decoded as it was encoded, unknown fields of later program versions are ignored, and malformed
// input is rejected without a panic.
func FuzzDecodeMemberInfo(f *testing.F) {
	info := membership.MemberInfo{Name: "n1", Zone: "wien", Incarnation: 9, Started: time.UnixMilli(1e12), Version: "1",
		SettingsDigest: 7, ListVersion: 41, Serving: true}
	encoded := encodeMemberInfo(info, 5)
	unknownField := []byte{0xa2, 0x06, 1, 'x'}
	if got, sent, err := decodeMemberInfo(append(encoded, unknownField...)); err != nil || sent != 5 || got != info {
		f.Errorf("%+v, %d, %v", got, sent, err)
	}
	long := info
	long.Name, long.Zone, long.Version = strings.Repeat("n", 99), strings.Repeat("z", 99), strings.Repeat("v", 99)
	if n := len(encodeMemberInfo(long, 1<<62)); n > maxMemberInfoBytes {
		f.Errorf("member info with long strings has %d bytes", n)
	}
	for _, s := range testutil.CorruptedSeeds(3, string(encoded)) {
		f.Add([]byte(s))
	}
	rng := rand.New(rand.NewPCG(1, 2))
	f.Add(make([]byte, rng.IntN(2000)))
	f.Fuzz(func(t *testing.T, b []byte) {
		info, _, err := decodeMemberInfo(b)
		if err == nil && (info.Name == "" || info.Incarnation == 0 || len(info.Name) > maxStringBytes) {
			t.Errorf("%q was decoded as %+v", b, info)
		}
	})
}

// Quota claims and grants are decoded as they were encoded, up to the precision of the encoding.
func TestQuotaMessagesSurviveTheWire(t *testing.T) {
	voters := []string{"n0", "n1", "n2"}
	c := quota.Claim{From: quota.BorrowerID{Name: "n9", Incarnation: 1 << 60}, Seq: 7, Demand: 12.345,
		InForce: map[string]uint64{"n0": 5, "n2": 6}, Leaving: true}
	p := encodeQuotaClaim(c, voters)
	m, err := decodeMessage(p[1:], 0)
	got := m.quotaClaim(voters)
	if err != nil || p[0] != kindQuotaClaim || got.From != c.From || got.Seq != 7 ||
		math.Abs(got.Demand-c.Demand) > 0.001 || !got.Leaving ||
		len(got.InForce) != 2 || got.InForce["n0"] != 5 || got.InForce["n2"] != 6 {
		t.Errorf("%+v, %v", got, err)
	}
	if short := m.quotaClaim(voters[:1]); len(short.InForce) != 1 {
		t.Errorf("decoded with fewer voters: %+v", short)
	}
	p = encodeQuotaGrant(quota.Grant{To: c.From, Voter: "n1", Seq: 7, Fraction: 1.0 / 3})
	m, err = decodeMessage(p[1:], 0)
	if err != nil || p[0] != kindQuotaGrant || m.from != "n1" || m.incarnation != 1<<60 ||
		m.fraction > 1.0/3 || m.fraction < 1.0/3-1e-9 {
		t.Errorf("%+v, %v", m, err)
	}
	if _, err := decodeMessage(appendPackedVarints(nil, fieldInForce, []uint64{1, 2, 3}), 0); err == nil {
		t.Error("an odd number of values was decoded")
	}
}

// Lease requests, replies, task results and digests are decoded as they were encoded, from as many packets as they
// need. Malformed input is rejected, or decoded to values within their bounds.
func FuzzDecodeMessage(f *testing.F) {
	request := lease.Request{Seq: 9, From: lease.Candidate{Name: "n1", Incarnation: 5}}
	for i := range 100 {
		request.Claims = append(request.Claims, lease.Claim{Task: lease.Task(i) << 50, Token: uint64(i), Renew: i%3 == 0})
	}
	request.Releases = []lease.Claim{{Task: 7, Token: 8}}
	var claims, releases []lease.Claim
	packets := encodeLeaseRequest(request)
	for _, p := range packets {
		m, err := decodeMessage(p[1:], 0)
		if err != nil || m.seq != 9 || m.from != "n1" || m.incarnation != 5 || p[0] != kindLeaseRequest || len(p) > 1200 {
			f.Errorf("%+v, %v", m, err)
		}
		claims, releases = append(claims, m.claims...), append(releases, m.releases...)
	}
	if !slices.Equal(claims, request.Claims) || !slices.Equal(releases, request.Releases) {
		f.Errorf("%d claims and %d releases were decoded", len(claims), len(releases))
	}
	r := lease.Reply{Seq: 9, Voter: "n2", Grants: []lease.Grant{
		{Task: 1 << 63, ClaimedToken: 4, Token: 5, Remaining: time.Second},
		{Task: 2, ClaimedToken: 6, Token: 6, Granted: true}}}
	reply := encodeLeaseReply(r)
	if m, err := decodeMessage(reply[1:], 0); err != nil || m.from != "n2" || !slices.Equal(m.grants, r.Grants) {
		f.Errorf("%+v, %v", m, err)
	}
	var taskResults []taskResult
	for i := range 200 {
		taskResults = append(taskResults, taskResult{lease.Task(i), uint64(i), time.Second, []byte("0123456789abcdef")})
	}
	var got []taskResult
	var seeds []string
	for rest := taskResults; len(rest) > 0; {
		var p []byte
		p, rest = encodeTaskResults(3*time.Second, rest)
		seeds = append(seeds, string(p[1:]))
		m, err := decodeMessage(p[1:], 10*time.Second)
		if err != nil || len(p) > maxResultsPacketBytes+64 {
			f.Errorf("%d bytes, %v", len(p), err)
		}
		got = append(got, m.results...)
	}
	if len(got) != len(taskResults) || got[199].task != 199 || got[0].finishedAt != 8*time.Second ||
		string(got[5].data) != "0123456789abcdef" {
		f.Errorf("%d results were decoded, the first as %+v", len(got), got[0])
	}
	claim := encodeQuotaClaim(quota.Claim{From: quota.BorrowerID{Name: "n1", Incarnation: 2}, Seq: 3, Demand: 4,
		InForce: map[string]uint64{"n1": 2}}, []string{"n1"})
	digest := encodeEndpointDigest("n3", tombstone.Digest{Version: 1 << 60, Ready: []uint64{1, 1 << 63},
		Draining: []uint64{7}})
	if m, err := decodeMessage(digest[1:], 0); err != nil || m.from != "n3" || m.seq != 1<<60 ||
		!slices.Equal(m.ready, []uint64{1, 1 << 63}) || !slices.Equal(m.draining, []uint64{7}) {
		f.Errorf("%+v, %v", m, err)
	}
	tooLarge := tombstone.Digest{Version: 1, Ready: make([]uint64, tombstone.MaxReplicas+1)}
	if _, err := decodeMessage(encodeEndpointDigest("n3", tooLarge)[1:], 0); err == nil {
		f.Error("a digest over the bound was decoded")
	}
	seeds = []string{string(packets[0][1:]), string(reply[1:]), seeds[0], string(claim[1:]), string(digest[1:])}
	for _, s := range testutil.CorruptedSeeds(8, seeds...) {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeMessage(b, time.Second)
		for _, r := range m.results {
			if err == nil && (len(r.data) > maxResultBytes || r.finishedAt > time.Second) {
				t.Errorf("%q was decoded as %+v", b, m)
			}
		}
	})
}
