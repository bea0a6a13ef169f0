package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"rampspread/internal/fields"
	"rampspread/internal/fleet/lease"
	"rampspread/internal/fleet/membership"
	"rampspread/internal/fleet/quota"
	"rampspread/internal/fleet/tombstone"
)

// What members say of themselves is protobuf, so that a later program may add fields: those that are not known are
// passed over. It stands in memberlist's meta data (at most 512 bytes) and, with a time and a number, in the
// beat that each member sends to a few others.
const (
	fieldFormat      = 1
	fieldName        = 2
	fieldZone        = 3
	fieldIncarnation = 4
	fieldStarted     = 5 // ms since 1970
	fieldVersion     = 6
	fieldSettings    = 7
	fieldList        = 8
	fieldFlags       = 9
	fieldLease       = 11 // the highest number of a lease that it knows of
	fieldSent        = 10 // a beat's time by the sender's wall clock, ms since 1970

	format             = 1
	flagServing        = 1
	flagLeaving        = 2
	maxMemberInfoBytes = 512
	maxStringBytes     = 64
)

var errFormat = errors.New("fleet: message of an unknown format")

// encodeMemberInfo is what a member says; sent is a beat's time, 0 for meta data.
func encodeMemberInfo(i membership.MemberInfo, sent int64) []byte {
	number := func(b []byte, field protowire.Number, v uint64) []byte {
		if v == 0 {
			return b
		}
		return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
	}
	text := func(b []byte, field protowire.Number, s string) []byte {
		return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s[:min(len(s), maxStringBytes)])
	}
	b := number(nil, fieldFormat, format)
	b = text(b, fieldName, i.Name)
	b = text(b, fieldZone, i.Zone)
	b = number(b, fieldIncarnation, i.Incarnation)
	b = number(b, fieldStarted, uint64(i.Started.UnixMilli()))
	b = text(b, fieldVersion, i.Version)
	b = protowire.AppendFixed64(protowire.AppendTag(b, fieldSettings, protowire.Fixed64Type), i.Settings)
	b = number(b, fieldList, i.ListVersion)
	flags := uint64(0)
	if i.Serving {
		flags |= flagServing
	}
	if i.Leaving {
		flags |= flagLeaving
	}
	b = number(b, fieldFlags, flags)
	b = number(b, fieldLease, i.HighestToken)
	return number(b, fieldSent, uint64(sent))
}

// decodeMemberInfo reads what a member says. Fields that are not known, or of another type than theirs, are passed over.
func decodeMemberInfo(b []byte) (i membership.MemberInfo, sent int64, err error) {
	if len(b) > maxMemberInfoBytes {
		return i, 0, fmt.Errorf("fleet: message of %d bytes, at most %d", len(b), maxMemberInfoBytes)
	}
	format := uint64(0)
	for len(b) > 0 {
		f, rest, err := fields.Next(b)
		if err != nil {
			return i, 0, fmt.Errorf("fleet: message: %w", err)
		}
		b = rest
		field, kind, v, text := f.Number, f.Kind, f.Value, f.Bytes
		if len(text) > maxStringBytes {
			continue
		}
		switch {
		case field == fieldFormat && kind == protowire.VarintType:
			format = v
		case field == fieldName && kind == protowire.BytesType:
			i.Name = string(text)
		case field == fieldZone && kind == protowire.BytesType:
			i.Zone = string(text)
		case field == fieldIncarnation && kind == protowire.VarintType:
			i.Incarnation = v
		case field == fieldStarted && kind == protowire.VarintType:
			i.Started = time.UnixMilli(int64(min(v, 1<<52)))
		case field == fieldVersion && kind == protowire.BytesType:
			i.Version = string(text)
		case field == fieldSettings && kind == protowire.Fixed64Type:
			i.Settings = v
		case field == fieldList && kind == protowire.VarintType:
			i.ListVersion = v
		case field == fieldFlags && kind == protowire.VarintType:
			i.Serving, i.Leaving = v&flagServing != 0, v&flagLeaving != 0
		case field == fieldLease && kind == protowire.VarintType:
			i.HighestToken = v
		case field == fieldSent && kind == protowire.VarintType:
			sent = int64(min(v, 1<<52))
		}
	}
	if format < 1 || i.Name == "" || i.Incarnation == 0 {
		return i, 0, errFormat
	}
	return i, sent, nil
}

// The kinds of message between members, by their first byte. One that is not known is passed over.
const (
	kindHeartbeat        = 1
	kindLeaseRequest     = 2
	kindLeaseReply       = 3
	kindTaskResults      = 4
	kindQuotaClaim       = 5 // of a part of the budgets
	kindQuotaGrant       = 6
	kindIdempotency      = 7 // of package claims, which reads it itself
	kindBootstrapRequest = 8
	kindLearnedState     = 9 // empty: none
	kindEndpointDigest   = 10
)

// Fields of requests, replies and results. Claims and grants are packed as numbers in a row.
const (
	fieldSeq      = 1
	fieldFrom     = 2 // or the voter's name
	fieldLife     = 3
	fieldClaims   = 4 // duty, twice the number and one for a renewal, …
	fieldReleases = 5
	fieldGrants   = 6 // duty, asked, number, yes (1) or no (0), µs left, …
	fieldResult   = 7 // duty, number, age in µs, data
	fieldDemand   = 8 // thousandths of a request a second
	fieldInForce  = 9 // voter's place on the list, claim, …
	fieldLeaves   = 10
	fieldPart     = 11 // of the whole, in units of partUnit
	fieldBeliefs  = 12
	fieldReady    = 13 // hashes of names, 8 bytes each; a list's version is its seq
	fieldDraining = 14

	claimsMost = 40 // in a packet
	partUnit   = 1e-12
)

func appendPackedVarints(b []byte, field protowire.Number, numbers []uint64) []byte {
	if len(numbers) == 0 {
		return b
	}
	var in []byte
	for _, n := range numbers {
		in = protowire.AppendVarint(in, n)
	}
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), in)
}

func unpackVarints(b []byte) ([]uint64, error) {
	var out []uint64
	for len(b) > 0 {
		v, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return nil, fmt.Errorf("fleet: message: %w", protowire.ParseError(n))
		}
		out, b = append(out, v), b[n:]
	}
	return out, nil
}

func encodeHeader(kind byte, seq uint64, from string, life uint64) []byte {
	b := protowire.AppendVarint(protowire.AppendTag([]byte{kind}, fieldSeq, protowire.VarintType), seq)
	b = protowire.AppendString(protowire.AppendTag(b, fieldFrom, protowire.BytesType), from)
	return protowire.AppendVarint(protowire.AppendTag(b, fieldLife, protowire.VarintType), life)
}

// encodeLeaseRequest makes packets of a request, each with a part of its claims.
func encodeLeaseRequest(q lease.Request) (out [][]byte) {
	numbers := func(claims []lease.Claim) (n []uint64) {
		for _, c := range claims {
			renew := uint64(0)
			if c.Renew {
				renew = 1
			}
			n = append(n, uint64(c.Task), c.Token<<1|renew)
		}
		return n
	}
	claims, releases := q.Claims, q.Releases
	for len(claims) > 0 || len(releases) > 0 {
		b := encodeHeader(kindLeaseRequest, q.Seq, q.From.Name, q.From.Incarnation)
		n := min(len(releases), claimsMost)
		b = appendPackedVarints(b, fieldReleases, numbers(releases[:n]))
		releases = releases[n:]
		n = min(len(claims), claimsMost-n)
		b = appendPackedVarints(b, fieldClaims, numbers(claims[:n]))
		claims = claims[n:]
		out = append(out, b)
	}
	return out
}

func encodeLeaseReply(r lease.Reply) []byte {
	var n []uint64
	for _, g := range r.Grants {
		yes := uint64(0)
		if g.Granted {
			yes = 1
		}
		n = append(n, uint64(g.Task), g.ClaimedToken, g.Token, yes, uint64(g.Remaining.Microseconds()))
	}
	return appendPackedVarints(encodeHeader(kindLeaseReply, r.Seq, r.Voter, r.To.Incarnation), fieldGrants, n)
}

// encodeQuotaClaim makes the packet of a claim; voters are all that the file names, in its order.
func encodeQuotaClaim(c quota.Claim, voters []string) []byte {
	b := encodeHeader(kindQuotaClaim, c.Seq, c.From.Name, c.From.Incarnation)
	b = protowire.AppendVarint(protowire.AppendTag(b, fieldDemand, protowire.VarintType), uint64(c.Demand*1000))
	if c.Leaving {
		b = protowire.AppendVarint(protowire.AppendTag(b, fieldLeaves, protowire.VarintType), 1)
	}
	var acts []uint64
	for i, voter := range voters {
		if seq, ok := c.InForce[voter]; ok {
			acts = append(acts, uint64(i), seq)
		}
	}
	return appendPackedVarints(b, fieldInForce, acts)
}

// encodeQuotaGrant makes the packet of a loan; it goes to the life that claimed. The part is rounded down.
func encodeQuotaGrant(l quota.Grant) []byte {
	b := encodeHeader(kindQuotaGrant, l.Seq, l.Voter, l.To.Incarnation)
	return protowire.AppendVarint(protowire.AppendTag(b, fieldPart, protowire.VarintType), uint64(l.Fraction/partUnit))
}

// encodeLearnedState makes a message of what a member knows.
func encodeLearnedState(from string, told []byte) []byte {
	b := encodeHeader(kindLearnedState, 0, from, 0)
	if len(told) == 0 {
		return b
	}
	return protowire.AppendBytes(protowire.AppendTag(b, fieldBeliefs, protowire.BytesType), told)
}

// encodeEndpointDigest makes a message of a member's list.
func encodeEndpointDigest(from string, d tombstone.Digest) []byte {
	b := encodeHeader(kindEndpointDigest, d.Version, from, 0)
	for _, part := range []struct {
		field  protowire.Number
		hashes []uint64
	}{{fieldReady, d.Ready}, {fieldDraining, d.Draining}} {
		in := make([]byte, 0, 8*len(part.hashes))
		for _, h := range part.hashes {
			in = binary.LittleEndian.AppendUint64(in, h)
		}
		b = fields.Bytes(b, part.field, in)
	}
	return b
}

// encodeTaskResults makes one packet of the first results, and returns the rest.
func encodeTaskResults(now time.Duration, results []taskResult) (b []byte, rest []taskResult) {
	b = []byte{kindTaskResults}
	for i, r := range results {
		in := protowire.AppendVarint(nil, uint64(r.task))
		in = protowire.AppendVarint(in, r.token)
		in = protowire.AppendVarint(in, uint64(max(now-r.at, 0).Microseconds()))
		in = append(in, r.data...)
		if i > 0 && len(b)+len(in)+4 > maxResultsPacketBytes {
			return b, results[i:]
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, fieldResult, protowire.BytesType), in)
	}
	return b, nil
}

// peerMessage is what a packet of the kinds above says.
type peerMessage struct {
	seq, incarnation uint64
	from             string
	claims, releases []lease.Claim
	grants           []lease.Grant
	results          []taskResult
	demand, fraction float64
	leaving          bool
	inForce          []uint64
	learnedState     []byte
	ready, draining  []uint64
}

// quotaClaim is the quotaClaim that a packet holds; voters are all that the file names.
func (m *peerMessage) quotaClaim(voters []string) quota.Claim {
	c := quota.Claim{From: quota.BorrowerID{Name: m.from, Incarnation: m.incarnation}, Seq: m.seq, Demand: m.demand, Leaving: m.leaving, InForce: map[string]uint64{}}
	for a := range slices.Chunk(m.inForce, 2) {
		if a[0] < uint64(len(voters)) {
			c.InForce[voters[a[0]]] = a[1]
		}
	}
	return c
}

// maxAge bounds what a result says of its age.
const maxAge = time.Hour

// decodeMessage reads a packet behind its kind. now is when it came.
func decodeMessage(b []byte, now time.Duration) (m peerMessage, err error) {
	for len(b) > 0 {
		f, rest, err := fields.Next(b)
		if err != nil {
			return m, fmt.Errorf("fleet: message: %w", err)
		}
		b = rest
		field, v, text := f.Number, f.Value, f.Bytes
		if f.Kind == protowire.VarintType {
			switch field {
			case fieldSeq:
				m.seq = v
			case fieldLife:
				m.incarnation = v
			case fieldDemand:
				m.demand = float64(v) / 1000
			case fieldLeaves:
				m.leaving = v == 1
			case fieldPart:
				m.fraction = float64(v) * partUnit
			}
			continue
		}
		if f.Kind != protowire.BytesType {
			continue
		}
		switch field {
		case fieldFrom:
			if len(text) > maxStringBytes {
				return m, errFormat
			}
			m.from = string(text)
		case fieldClaims, fieldReleases:
			numbers, err := unpackVarints(text)
			if err != nil || len(numbers)%2 != 0 {
				return m, errFormat
			}
			for c := range slices.Chunk(numbers, 2) {
				if claim := (lease.Claim{Task: lease.Task(c[0]), Token: c[1] >> 1, Renew: c[1]&1 == 1}); field == fieldClaims {
					m.claims = append(m.claims, claim)
				} else {
					m.releases = append(m.releases, claim)
				}
			}
		case fieldGrants:
			numbers, err := unpackVarints(text)
			if err != nil || len(numbers)%5 != 0 {
				return m, errFormat
			}
			for g := range slices.Chunk(numbers, 5) {
				m.grants = append(m.grants, lease.Grant{Task: lease.Task(g[0]), ClaimedToken: g[1], Token: g[2], Granted: g[3] == 1,
					Remaining: time.Duration(min(g[4], uint64(maxAge.Microseconds()))) * time.Microsecond})
			}
		case fieldBeliefs:
			if len(text) > beliefsMost {
				return m, errFormat
			}
			m.learnedState = slices.Clone(text)
		case fieldReady, fieldDraining:
			if len(text)%8 != 0 || len(text) > 8*tombstone.MaxReplicas {
				return m, errFormat
			}
			hashes := make([]uint64, 0, len(text)/8)
			for c := range slices.Chunk(text, 8) {
				hashes = append(hashes, binary.LittleEndian.Uint64(c))
			}
			if field == fieldReady {
				m.ready = hashes
			} else {
				m.draining = hashes
			}
		case fieldInForce:
			if m.inForce, err = unpackVarints(text); err != nil || len(m.inForce)%2 != 0 {
				return m, errFormat
			}
		case fieldResult:
			var v [3]uint64
			for i := range v {
				x, n := protowire.ConsumeVarint(text)
				if n < 0 {
					return m, errFormat
				}
				v[i], text = x, text[n:]
			}
			if len(text) > maxResultBytes || v[2] > uint64(maxAge.Microseconds()) {
				return m, errFormat
			}
			m.results = append(m.results, taskResult{lease.Task(v[0]), v[1], now - time.Duration(v[2])*time.Microsecond, slices.Clone(text)})
		}
	}
	return m, nil
}
