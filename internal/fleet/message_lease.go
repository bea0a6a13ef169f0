package fleet

import (
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fleet/lease"
	"rampspread/internal/protofield"
)

const (
	// maxClaimsPerPacket is the maximum number of claims and releases, counted together, in one datagram.
	maxClaimsPerPacket = 40
	// maxResultsPacketBytes is the maximum size of a datagram with more than one result.
	maxResultsPacketBytes = 1200
	maxResultBytes        = 64 // maximum size of the data of one result
	// resultOverheadBytes is an upper bound of the size of a result's tag and length.
	resultOverheadBytes = 4
	// maxDuration is the longest remaining time or age in a message.
	maxDuration = time.Hour

	claimGroupSize = 2 // number of values of a claim
	grantGroupSize = 5 // number of values of a grant
)

// taskResult is a task's result that is sent to, or was received from, another member.
type taskResult struct {
	task       lease.Task
	token      uint64
	finishedAt time.Duration // time of the result by this process's clock
	data       []byte
}

// encodeLeaseRequest returns the packets of a request, each with a part of its claims. Releases come first.
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
		values = append(values, uint64(c.Task), c.Token<<1|boolToUint64(c.Renew))
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
	values, err := unpackVarints(packed, claimGroupSize)
	if err != nil {
		return claims, err
	}
	for c := range slices.Chunk(values, claimGroupSize) {
		claims = append(claims, lease.Claim{Task: lease.Task(c[0]), Token: c[1] >> 1, Renew: c[1]&1 == 1})
	}
	return claims, nil
}

func encodeLeaseReply(reply lease.Reply) []byte {
	var values []uint64
	for _, g := range reply.Grants {
		remaining := uint64(g.Remaining.Microseconds())
		values = append(values, uint64(g.Task), g.ClaimedToken, g.Token, boolToUint64(g.Granted), remaining)
	}
	header := encodeHeader(kindLeaseReply, reply.Seq, reply.Voter, reply.To.Incarnation)
	return appendPackedVarints(header, fieldGrants, values)
}

func decodeLeaseGrants(m *peerMessage, f protofield.Field, _ time.Duration) error {
	values, err := unpackVarints(f.Bytes, grantGroupSize)
	if err != nil {
		return err
	}
	for g := range slices.Chunk(values, grantGroupSize) {
		remaining := time.Duration(min(g[4], uint64(maxDuration.Microseconds()))) * time.Microsecond
		m.grants = append(m.grants, lease.Grant{Task: lease.Task(g[0]), ClaimedToken: g[1], Token: g[2],
			Granted: g[3] == 1, Remaining: remaining})
	}
	return nil
}

// encodeTaskResults returns a packet with the first results, as many as fit, and the remaining results. A result is
// sent with its age, so that the clocks of the members need not agree.
func encodeTaskResults(now time.Duration, results []taskResult) (packet []byte, remaining []taskResult) {
	packet = []byte{kindTaskResults}
	for i, r := range results {
		encoded := protowire.AppendVarint(nil, uint64(r.task))
		encoded = protowire.AppendVarint(encoded, r.token)
		encoded = protowire.AppendVarint(encoded, uint64(max(now-r.finishedAt, 0).Microseconds()))
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
