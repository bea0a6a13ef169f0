package fleet

import (
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fleet/lease"
	"rampspread/internal/protofield"
)

const (
	// maxClaimsPerPacket bounds the claims and releases of one datagram, together.
	maxClaimsPerPacket = 40
	// maxResultsPacketBytes bounds the results of one datagram.
	maxResultsPacketBytes = 1200
	maxResultBytes        = 64
	// resultOverheadBytes is at least what the tag and the length of a result take.
	resultOverheadBytes = 4
	// maxDuration bounds the remaining times and the ages that a message may state.
	maxDuration = time.Hour

	claimGroup = 2 // values of a claim
	grantGroup = 5 // values of a grant
)

// taskResult is a TaskResult on its way from the member that ran the task.
type taskResult struct {
	task  lease.Task
	token uint64
	at    time.Duration // by this process's clock
	data  []byte
}

// encodeLeaseRequest makes the packets of a request, each with a part of its claims; releases come first.
func encodeLeaseRequest(request lease.Request) (packets [][]byte) {
	claims, releases := request.Claims, request.Releases
	for len(claims) > 0 || len(releases) > 0 {
		b := encodeHeader(kindLeaseRequest, request.Seq, request.From.Name, request.From.Incarnation)
		n := min(len(releases), maxClaimsPerPacket)
		b = appendPackedVarints(b, fieldReleases, claimValues(releases[:n]))
		releases = releases[n:]
		n = min(len(claims), maxClaimsPerPacket-n)
		b = appendPackedVarints(b, fieldClaims, claimValues(claims[:n]))
		claims = claims[n:]
		packets = append(packets, b)
	}
	return packets
}

func claimValues(claims []lease.Claim) (values []uint64) {
	for _, c := range claims {
		values = append(values, uint64(c.Task), c.Token<<1|boolValue(c.Renew))
	}
	return values
}

func decodeLeaseClaims(m *peerMessage, f protofield.Field, _ time.Duration) (err error) {
	m.claims, err = appendClaims(m.claims, f.Bytes)
	return err
}

func decodeLeaseReleases(m *peerMessage, f protofield.Field, _ time.Duration) (err error) {
	m.releases, err = appendClaims(m.releases, f.Bytes)
	return err
}

func appendClaims(claims []lease.Claim, packed []byte) ([]lease.Claim, error) {
	values, err := unpackVarints(packed, claimGroup)
	if err != nil {
		return claims, err
	}
	for c := range slices.Chunk(values, claimGroup) {
		claims = append(claims, lease.Claim{Task: lease.Task(c[0]), Token: c[1] >> 1, Renew: c[1]&1 == 1})
	}
	return claims, nil
}

func encodeLeaseReply(reply lease.Reply) []byte {
	var values []uint64
	for _, g := range reply.Grants {
		remaining := uint64(g.Remaining.Microseconds())
		values = append(values, uint64(g.Task), g.ClaimedToken, g.Token, boolValue(g.Granted), remaining)
	}
	header := encodeHeader(kindLeaseReply, reply.Seq, reply.Voter, reply.To.Incarnation)
	return appendPackedVarints(header, fieldGrants, values)
}

func decodeLeaseGrants(m *peerMessage, f protofield.Field, _ time.Duration) error {
	values, err := unpackVarints(f.Bytes, grantGroup)
	if err != nil {
		return err
	}
	for g := range slices.Chunk(values, grantGroup) {
		remaining := time.Duration(min(g[4], uint64(maxDuration.Microseconds()))) * time.Microsecond
		m.grants = append(m.grants, lease.Grant{Task: lease.Task(g[0]), ClaimedToken: g[1], Token: g[2],
			Granted: g[3] == 1, Remaining: remaining})
	}
	return nil
}

// encodeTaskResults makes one packet of the first results, and returns the remaining ones. Results carry their age, so
// that clocks need not agree.
func encodeTaskResults(now time.Duration, results []taskResult) (packet []byte, remaining []taskResult) {
	packet = []byte{kindTaskResults}
	for i, r := range results {
		encoded := protowire.AppendVarint(nil, uint64(r.task))
		encoded = protowire.AppendVarint(encoded, r.token)
		encoded = protowire.AppendVarint(encoded, uint64(max(now-r.at, 0).Microseconds()))
		encoded = append(encoded, r.data...)
		if i > 0 && len(packet)+len(encoded)+resultOverheadBytes > maxResultsPacketBytes {
			return packet, results[i:]
		}
		packet = protofield.AppendBytes(packet, fieldResult, encoded)
	}
	return packet, nil
}

func decodeTaskResult(m *peerMessage, f protofield.Field, now time.Duration) error {
	var head [3]uint64 // task, token, age in µs
	data := f.Bytes
	for i := range head {
		v, n := protowire.ConsumeVarint(data)
		if n < 0 {
			return errFormat
		}
		head[i], data = v, data[n:]
	}
	if len(data) > maxResultBytes || head[2] > uint64(maxDuration.Microseconds()) {
		return errFormat
	}
	age := time.Duration(head[2]) * time.Microsecond
	m.results = append(m.results, taskResult{lease.Task(head[0]), head[1], now - age, slices.Clone(data)})
	return nil
}
