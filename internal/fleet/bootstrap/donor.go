package bootstrap

import (
	"time"

	"rampspread/internal/tokenbucket"
)

// Donor limits the transfers that a member serves. The zero value has a full token bucket. It is not safe for
// concurrent use.
type Donor struct{ transfers tokenbucket.Bucket }

// TakeTransfer takes one transfer from the token bucket. It returns false if the request is to be refused.
func (d *Donor) TakeTransfer(now time.Duration, limits Limits) bool {
	if d.transfers.Fill(now, limits.TransfersPerSecond, limits.Burst) < 1 {
		return false
	}
	d.transfers.Spend()
	return true
}
