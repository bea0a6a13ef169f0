package routing

// What a Router remembers. All that is decided from it is in decide.go.

import (
	"time"
)

// requestState is where a request stands.
type requestState uint8

const (
	awaitingPrefill requestState = iota // no attempt out, nothing read
	prefilling                          // an attempt at a reader is out
	awaitingDecode                      // its state waits at the reader, no attempt out
	decoding                            // an attempt at a writer is out
	streaming                           // the answer's stream has begun
	answered                            // answered; the last outcome is still to come
)

// request is one open request.
type request struct {
	RequestArrived
	state                              requestState
	arrivedAt, deadline, ttftObjective time.Duration // aim: the first-token budget
	attempts                           int
	endpoint                           EndpointID // of the attempt out
	sentAt                             time.Duration
	selectionStart                     time.Duration // of the first look for a server since the last attempt's end
	reservation                        reservation
	prefillEndpoint                    EndpointID
	reportedQueue                      float64      // requests ahead at the reader, as it told
	expectedCachedTokens               int          // tokens expected to be kept at the reader
	ownAttemptsAhead                   float64      // own unfinished attempts at the server when sent
	failedEndpoints                    []EndpointID // servers that failed this request
	mayHaveRun                         bool         // an attempt may have run
	mayHaveRunAt                       time.Duration
	mayHaveRunOn                       EndpointID
	overQuota                          bool
	retrying                           bool         // its next attempt takes a step once more, after a failure
	pollCandidates                     []EndpointID // the readers whose load was asked for on its behalf
	pendingPolls                       int          // of them, whose answer is still to come
}

// cellCapacity sums up a cellCapacity's usable servers for one decision.
type cellCapacity struct {
	prefillCapacity, decodeCapacity float64 // capacity by the list
	readyPrefillCapacity            float64 // the same of readers in any health: what it is part of all states
	minDecodeWaitMS                 float64 // least wait among its writers
}

// candidate is a reader with its estimate; order and rank settle the candidate alone, not the admission test.
type candidate struct {
	*replica
	queueDelayMS, prefillMS, scoreMS, rank float64
}

// prefixEntry is what the table knows of a session or shared beginning.
type prefixEntry struct {
	endpoint  EndpointID // the last to read it
	tokens    int
	updatedAt time.Duration
	requests  decayedMean
}

// peerLoadReport takes what another router found out about a server, as evidence that fades with its age. Own evidence goes first:
// a router that sees enough reads of its own knows which servers are slow, and a load alone does not tell that, so the
// word is taken where this router would ask. It never makes a server count as alive here: the way from here may be cut, though another's is not.
func (r *Router) peerLoadReport(e PeerLoadReport) {
	s := r.byID[e.Endpoint]
	at := r.now - e.Age
	switch {
	case s == nil || e.Age < 0 || e.Age > peerLoadMaxAge:
	case e.Load == nil || e.Load.QueuedRequests < 0:
		if s.lastResponse < at {
			s.health[0].update(r.now, 1, peerFailureWeight*float64(peerLoadMaxAge-e.Age)/float64(peerLoadMaxAge))
		}
	case r.samplesPerReplica() < minSamplesPerReplica:
		if at > s.loadReportedAt {
			s.applyLoad(e.Load, at)
		}
	}
}

// recordPrefix takes a text as kept from the moment it is sent, so that a flood of one text goes where it is
// being read.
func (r *Router) recordPrefix(key Key, id EndpointID, tokens int) {
	if key != 0 {
		t := getOrCreate(r.prefixCache, key)
		t.endpoint, t.tokens, t.updatedAt = id, tokens, r.now
	}
}

// loadKnown reports whether a server's load is known by now.
func (r *Router) loadKnown(s *replica) bool {
	return !r.cfg.CanPollLoad || r.now-s.loadReportedAt <= loadMaxAge
}

// reportedQueueOf is how many requests a server told are ahead of a new one; none where that is not known.
func (r *Router) reportedQueueOf(s *replica) float64 {
	if r.loadKnown(s) {
		return s.reportedQueue
	}
	return 0
}

// samplesPerReplica is how many recent reads this router has seen of each reader.
func (r *Router) samplesPerReplica() float64 {
	return r.estimateError.count(r.now) / float64(max(r.maxReady[Prefill], 1))
}
