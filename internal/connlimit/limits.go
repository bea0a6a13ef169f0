package connlimit

import (
	"sync/atomic"

	"rampspread/internal/capacity"
	"rampspread/internal/memory"
)

// Limits are what the requests of all limiters of a process share. A limit of 0 in the plan means no limit.
type Limits struct {
	plan      capacity.Plan
	payload   *memory.Account // heads and bodies of requests
	sentAhead *memory.Account // bytes behind requests that are not answered yet
	open      atomic.Int64    // accepted requests that are being answered
	limiters  []*Limiter      // grows only until the limiters serve
}

// NewLimits returns the limits of a plan.
func NewLimits(plan capacity.Plan) *Limits {
	return &Limits{
		plan: plan, payload: memory.NewAccount(plan.PayloadBytes), sentAhead: memory.NewAccount(plan.SentAheadBytes),
	}
}

// Payload returns the account of the heads, bodies and collected answers of requests.
func (l *Limits) Payload() *memory.Account { return l.payload }

// openRequest counts one more open request, until closeRequest is called. It returns false, without counting the
// request, if the limit is reached.
func (l *Limits) openRequest() bool {
	if l.open.Add(1) <= int64(l.plan.Requests) || l.plan.Requests == 0 {
		return true
	}
	l.open.Add(-1)
	return false
}

func (l *Limits) closeRequest() { l.open.Add(-1) }

// reclaimPayload ends the incomplete request that holds the most payload and has been silent, on any frontend. It
// returns false if there is none.
func (l *Limits) reclaimPayload() bool {
	var largest *Limiter
	most := int64(0)
	for _, limiter := range l.limiters {
		if held := limiter.largestSilentPayload(); held > most {
			largest, most = limiter, held
		}
	}
	return largest != nil && largest.evictLargestPayload()
}
