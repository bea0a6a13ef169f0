package bootstrap

import (
	"time"

	"rampspread/internal/tokenbucket"
)

// Donor bounds the transfers that a member serves. Its zero value has served none. It is not safe for concurrent use.
type Donor struct{ transfers tokenbucket.Bucket }

// TakeTransfer spends one transfer of the token bucket; false means that the request is to be refused.
func (d *Donor) TakeTransfer(now time.Duration, limits Limits) bool {
	if d.transfers.Fill(now, limits.TransfersPerSecond, limits.Burst) < 1 {
		return false
	}
	d.transfers.Spend()
	return true
}
