package replica

import (
	"fmt"
	"math"
	"time"
)

const (
	loadReportInterval = 300 * time.Millisecond // load reports are refreshed no more often
	// fullUtilizationPrefills is how many waiting attempts make a prefill replica fully utilized; the others count as its queue.
	fullUtilizationPrefills = 4
)

// currentLoadReport is its load report, at most loadReportInterval old.
func (r *Replica) currentLoadReport() string {
	reserved := 0
	if !r.Decode {
		reserved = r.cluster.reservedTokens(r)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.reportedAt) >= loadReportInterval {
		r.reportedAt = now
		utilization, queue := math.Min(float64(r.waiting)/fullUtilizationPrefills, 1), max(r.waiting-fullUtilizationPrefills, 0)
		memory := float64(reserved) / reservedTokensLimit
		if r.Decode {
			utilization, queue, memory = float64(r.active)/decodeSlots, r.waiting, float64(r.active)/decodeSlots
		}
		r.loadReport = fmt.Sprintf("TEXT util=%.3f, queue=%d, x0=%.3f", utilization, queue, memory)
	}
	return r.loadReport
}
