package routing

import (
	"slices"
	"time"

	"rampspread/internal/tokenbucket"
)

// replica is what this router knows of one replica.
type replica struct {
	Endpoint
	role Role
	cell *cellCapacity

	pending      []pendingAttempt // oldest first
	streams      int              // attempts whose response stream has begun
	lastResponse time.Duration
	health       []ewma        // failure levels: of all classes, then by class
	fullUntil    time.Duration // it counts as full until then

	cacheValidFrom  time.Duration // prefixes recorded before this time are void
	queueDelay      decayedMean   // prefill: ms that prefills took beyond the estimate common to all replicas
	firstTokenDelay decayedMean   // decode: ms to the first token

	reportedQueue   float64 // requests ahead of a new one, as of loadReportedAt
	loadReportedAt  time.Duration
	reportedMemory  float64     // fraction of memory in use; negative: none reported
	reportedBacklog float64     // thousands of tokens to prefill or fetch; negative: none reported
	pollWaiters     []RequestID // requests that wait for the answer to a load poll
	pollBudget      tokenbucket.Bucket

	slowStartCredit float64 // in slow start: requests, or the part of one, that it may be sent
}

// pendingAttempt is an attempt without an outcome or first token yet.
type pendingAttempt struct {
	request            RequestID
	sentAt, expectedBy time.Duration
}

// resetStats drops what was learned of a replica's last process: its prefix cache is void, and its failures are not
// those of the new one.
func (s *replica) resetStats(r *Router) {
	s.cacheValidFrom, s.fullUntil = r.now, 0
	s.reportedMemory, s.reportedBacklog = -1, -1
	s.queueDelay = decayedMean{timeConstant: modelTimeConstant}
	s.firstTokenDelay = decayedMean{timeConstant: decodeWaitTimeConstant}
	s.slowStartCredit = r.rng.Float64()
	s.health = slices.Repeat([]ewma{{timeConstant: healthTimeConstant}}, 1+len(r.cfg.Classes))
}

// removePending removes the pending attempt of a request.
func (s *replica) removePending(id RequestID) {
	s.pending = slices.DeleteFunc(s.pending, func(p pendingAttempt) bool { return p.request == id })
}

// applyLoad takes a load report of a time.
func (s *replica) applyLoad(load *LoadReport, reportedAt time.Duration) {
	s.reportedQueue = load.QueuedRequests + queuedPerFullSlots*max(load.SlotUtilization, 0)
	s.loadReportedAt = reportedAt
	s.reportedMemory = load.Memory
	if s.role != Prefill && load.QueuedRequests >= 1 {
		s.fullUntil = max(s.fullUntil, reportedAt+queueFullBackoff)
	}
}
