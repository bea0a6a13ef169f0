package replica

import (
	"fmt"
	"math"
	"time"
)

const (
	loadReportInterval = 300 * time.Millisecond // minimum time between updates of the load report
	// fullUtilizationPrefills is the number of waiting attempts that make a prefill replica fully utilized. Further
	// attempts count as its queue.
	fullUtilizationPrefills = 4
)

// currentLoadReport returns a load report that is less than loadReportInterval old.
func (r *Replica) currentLoadReport() string {
	reserved := 0
	if !r.Decode {
		reserved = r.cluster.reservedTokens(r)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.reportedAt) >= loadReportInterval {
		r.reportedAt = now
		utilization, queueLength := math.Min(float64(r.waiting)/fullUtilizationPrefills, 1), max(r.waiting-fullUtilizationPrefills, 0)
		memory := float64(reserved) / reservedTokensLimit
		if r.Decode {
			utilization, queueLength, memory = float64(r.active)/decodeSlots, r.waiting, float64(r.active)/decodeSlots
		}
		r.loadReport = fmt.Sprintf("TEXT util=%.3f, queue=%d, x0=%.3f", utilization, queueLength, memory)
	}
	return r.loadReport
}
