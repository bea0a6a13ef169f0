package fleet

import (
	"slices"
	"time"

	"rampspread/internal/fleet/quota"
	"rampspread/internal/protofield"
)

const (
	// fractionUnit is the unit of a granted fraction on the wire.
	fractionUnit = 1e-12
	// demandUnitsPerRequest is the number of units of demand on the wire that make one request per second.
	demandUnitsPerRequest = 1000

	inForceGroupSize = 2 // number of values of a grant in force
)

// encodeQuotaClaim returns the packet of a claim. voters lists all voters, in the order of the configuration.
func encodeQuotaClaim(claim quota.Claim, voters []string) []byte {
	b := encodeHeader(kindQuotaClaim, claim.Seq, claim.From.Name, claim.From.Incarnation)
	b = protofield.AppendVarint(b, fieldDemand, uint64(claim.Demand*demandUnitsPerRequest))
	if claim.Leaving {
		b = protofield.AppendVarint(b, fieldLeaving, 1)
	}
	var inForce []uint64
	for i, voter := range voters {
		if seq, ok := claim.InForce[voter]; ok {
			inForce = append(inForce, uint64(i), seq)
		}
	}
	return appendPackedVarints(b, fieldInForce, inForce)
}

// quotaClaim returns the claim in a message. voters lists all voters, in the order of the configuration.
func (m *peerMessage) quotaClaim(voters []string) quota.Claim {
	claim := quota.Claim{From: quota.BorrowerID{Name: m.from, Incarnation: m.incarnation}, Seq: m.seq, Demand: m.demand,
		Leaving: m.leaving, InForce: map[string]uint64{}}
	for pair := range slices.Chunk(m.inForce, inForceGroupSize) {
		if pair[0] < uint64(len(voters)) {
			claim.InForce[voters[pair[0]]] = pair[1]
		}
	}
	return claim
}

func decodeDemand(m *peerMessage, f protofield.Field, _ time.Duration) error {
	m.demand = float64(f.Value) / demandUnitsPerRequest
	return nil
}

func decodeLeaving(m *peerMessage, f protofield.Field, _ time.Duration) error {
	m.leaving = f.Value == 1
	return nil
}

func decodeInForce(m *peerMessage, f protofield.Field, _ time.Duration) (err error) {
	m.inForce, err = unpackVarints(f.Bytes, inForceGroupSize)
	return err
}

// encodeQuotaGrant returns the packet of a grant to the incarnation that sent the claim. The fraction is rounded down.
func encodeQuotaGrant(grant quota.Grant) []byte {
	b := encodeHeader(kindQuotaGrant, grant.Seq, grant.Voter, grant.To.Incarnation)
	return protofield.AppendVarint(b, fieldFraction, uint64(grant.Fraction/fractionUnit))
}

func decodeFraction(m *peerMessage, f protofield.Field, _ time.Duration) error {
	m.fraction = float64(f.Value) * fractionUnit
	return nil
}
