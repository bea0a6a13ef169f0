package routing

import (
	"slices"
	"time"

	"rampspread/internal/tokenbucket"
)

// replica is this router's state of one replica.
type replica struct {
	Endpoint
	role Role
	cell *cellCapacity

	pending      []pendingAttempt // attempts without a first token or an outcome yet, oldest first
	streams      int              // number of attempts whose response stream has begun
	lastResponse time.Duration    // time of the latest response
	health       []ewma           // failure levels: for all classes together, then by class
	fullUntil    time.Duration    // time until which the replica counts as full

	cacheValidFrom  time.Duration // prefixes recorded before this time are no longer cached
	queueDelay      decayedMean   // prefill replicas: ms by which prefills exceeded the estimate common to all replicas
	firstTokenDelay decayedMean   // decode replicas: ms to the first token

	load            LoadReport // latest load report, as received
	reportedQueue   float64    // requests ahead of a new one at loadReportedAt
	loadReportedAt  time.Duration
	reportedMemory  float64       // fraction of memory in use; negative if not reported
	reportedBacklog float64       // thousands of tokens to prefill or fetch; negative if not reported
	pollWaiters     []RequestID   // requests that wait for the answer to the load poll
	pollSentAt      time.Duration // time of the latest load poll
	silentUntil     time.Duration // time until which the replica counts as silent after an unanswered load poll
	pollBudget      tokenbucket.Bucket

	slowStartCredit float64 // in slow start: number of requests, possibly fractional, that it may be sent
}

// pendingAttempt is an attempt without a first token or an outcome yet.
type pendingAttempt struct {
	request            RequestID
	sentAt, expectedBy time.Duration // after expectedBy the attempt counts as overdue
}

// resetStats discards the state learned from a replica's previous process: the new process has an empty prefix cache,
// and earlier failures do not count against it.
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

// applyLoad stores a load report that was made at reportedAt.
func (rep *replica) applyLoad(load *LoadReport, reportedAt time.Duration) {
	rep.reportedQueue = load.QueuedRequests + queuedPerFullSlots*max(load.SlotUtilization, 0)
	rep.loadReportedAt = reportedAt
	rep.load = *load
	rep.reportedMemory = load.Memory
	if rep.role != Prefill && load.QueuedRequests >= 1 {
		rep.fullUntil = max(rep.fullUntil, reportedAt+queueFullBackoff)
	}
}
