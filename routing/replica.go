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

	load            LoadReport // the latest report, as it was given
	reportedQueue   float64    // requests ahead of a new one, as of loadReportedAt
	loadReportedAt  time.Duration
	reportedMemory  float64       // fraction of memory in use; negative: none reported
	reportedBacklog float64       // thousands of tokens to prefill or fetch; negative: none reported
	pollWaiters     []RequestID   // requests that wait for the answer to a load poll
	pollSentAt      time.Duration // of the latest load poll
	silentUntil     time.Duration // it counts as silent until then, since a load poll ended without an answer
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
func (rep *replica) resetStats(r *Router) {
	rep.cacheValidFrom, rep.fullUntil = r.now, 0
	rep.reportedMemory, rep.reportedBacklog = -1, -1
	rep.load, rep.silentUntil = LoadReport{-1, -1, -1, -1}, 0
	rep.queueDelay = decayedMean{timeConstant: modelTimeConstant}
	rep.firstTokenDelay = decayedMean{timeConstant: decodeWaitTimeConstant}
	rep.slowStartCredit = r.rng.Float64()
	rep.health = slices.Repeat([]ewma{{timeConstant: healthTimeConstant}}, 1+len(r.cfg.Classes))
}

// removePending removes the pending attempt of a request.
func (rep *replica) removePending(id RequestID) {
	rep.pending = slices.DeleteFunc(rep.pending, func(p pendingAttempt) bool { return p.request == id })
}

// applyLoad takes a load report of a time.
func (rep *replica) applyLoad(load *LoadReport, reportedAt time.Duration) {
	rep.reportedQueue = load.QueuedRequests + queuedPerFullSlots*max(load.SlotUtilization, 0)
	rep.loadReportedAt = reportedAt
	rep.load = *load
	rep.reportedMemory = load.Memory
	if rep.role != Prefill && load.QueuedRequests >= 1 {
		rep.fullUntil = max(rep.fullUntil, reportedAt+queueFullBackoff)
	}
}
