package routing

import "math"

// notPrefixReplicaRank is a lower bound for the ranks of replicas that are not among a request's prefix replicas. The
// ranks of the prefix replicas are below it.
const notPrefixReplicaRank = 1e6

// rendezvousRank returns a prefill replica's rank for a request; lower is better. It uses weighted rendezvous (highest
// random weight) hashing (D. Thaler, C. Ravishankar: Using Name-Based Mappings to Increase Hit Rates; the weighted form
// divides an exponential variate by the weight). All routers compute the same order, so that prefixes are found in the
// cache without communication. The replicas for the shared prefix, of which there are about replicaCount, come first,
// ordered by session; then come the others, ordered by shared prefix. Without a shared prefix all replicas are ordered
// by session. This does harm if one prefix has more requests than its replicas can take before its popularity is known.
func (r *Router) rendezvousRank(replica *replica, req *request, replicaCount float64) float64 {
	preference, _ := r.cellPreference(replica.cell)
	weight := r.effectiveWeight(replica) * preference
	if req.SharedPrefix != 0 {
		// About replicaCount of all replicas have a value of at most 1.
		relative := exponentialDraw(req.SharedPrefix, replica.ID) / weight * float64(r.maxReady[Prefill]) / replicaCount
		if relative > 1 {
			return notPrefixReplicaRank + relative
		}
	}
	return exponentialDraw(req.Session, replica.ID) / weight
}

// The constants of SplitMix64 (G. Steele, D. Lea, C. Flood: Fast Splittable Pseudorandom Number Generators).
const (
	splitMixIncrement   = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	splitMixMultiplier1 = 0xbf58476d1ce4e5b9
	splitMixMultiplier2 = 0x94d049bb133111eb
	// significandBits is the number of bits of a float64's significand.
	significandBits = 53
)

// exponentialDraw returns an exponential variate that depends only on the key and the replica. It applies inversion to
// a uniform variate, the SplitMix64 hash of both.
func exponentialDraw(key Key, id EndpointID) float64 {
	hash := uint64(key) ^ (uint64(id)+1)*splitMixIncrement
	hash = (hash ^ hash>>30) * splitMixMultiplier1
	hash = (hash ^ hash>>27) * splitMixMultiplier2
	hash ^= hash >> 31
	return -math.Log((float64(hash>>(64-significandBits)) + 0.5) / (1 << significandBits))
}
