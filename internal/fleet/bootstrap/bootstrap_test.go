package bootstrap

import (
	"testing"
	"time"
)

func drawZero(int64) int64 { return 0 }

var testMembers = []Peer{{Name: "new"}, {Name: "old", Older: true}, {Name: "near", Older: true, SameZone: true}}

// Requests go to the older member in the same zone first, then to the other older one, then to the new one. The next
// request waits for the response timeout. The next request to the same member also waits for the retry interval.
func TestRequesterPrefersOlderAndNearerMembers(t *testing.T) {
	r := NewRequester(DefaultLimits, 0, drawZero)
	now := 2 * time.Millisecond
	if _, ok := r.NextDonor(time.Millisecond, nil); ok {
		t.Error("a donor was chosen without members")
	}
	r.NextDonor(time.Millisecond, testMembers)
	for _, want := range []string{"near", "old", "new"} {
		name, ok := r.NextDonor(now, testMembers)
		if !ok || name != want {
			t.Errorf("request to %q, want %q", name, want)
		}
		if _, ok := r.NextDonor(now+DefaultLimits.ResponseTimeout-1, testMembers); ok {
			t.Error("another donor was chosen before the response timeout")
		}
		now += DefaultLimits.ResponseTimeout
	}
	if name, ok := r.NextDonor(now, testMembers); !ok || name != "near" {
		t.Errorf("request to %q, want the first member again after %v", name, DefaultLimits.RetryInterval)
	}
}

// A requester counts only transfers that it requested, and is done after enough transfers or at the end of the window.
func TestRequesterIsDoneAfterEnoughTransfers(t *testing.T) {
	r := NewRequester(DefaultLimits, 0, drawZero)
	now := 2*time.Millisecond + 3*DefaultLimits.ResponseTimeout
	r.NextDonor(time.Millisecond, testMembers)
	r.NextDonor(now, testMembers)
	r.RecordResponse(now, "unrequested", true)
	r.RecordResponse(now, "near", true)
	if r.Done(now) || r.transfers != 1 {
		t.Errorf("%d transfers counted, want 1 and not done", r.transfers)
	}
	if name, ok := r.NextDonor(now+1, testMembers); !ok || name != "old" {
		t.Errorf("request to %q after a response, want the older member", name)
	}
	r.RecordResponse(now, "old", true)
	if !r.Done(now) || !NewRequester(DefaultLimits, 0, nil).Done(DefaultLimits.Window+1) {
		t.Error("not done after enough transfers or at the end of the window")
	}
}

func TestDonorServesItsBurstThenItsRate(t *testing.T) {
	now := 2*time.Millisecond + 3*DefaultLimits.ResponseTimeout
	var d Donor
	for i, want := range []bool{true, true, true, true, false} {
		if got := d.TakeTransfer(now, DefaultLimits); got != want {
			t.Errorf("transfer %d of a donor: %t, want %t", i, got, want)
		}
	}
	if !d.TakeTransfer(now+time.Second, DefaultLimits) {
		t.Error("a donor refuses a transfer a second after its burst")
	}
}
