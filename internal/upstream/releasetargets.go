package upstream

import (
	"sync"
	"time"

	"rampspread/internal/dispatch"
)

const (
	// confirmationMaxAge is how long a replica that has confirmed a release counts as one that will confirm others.
	confirmationMaxAge = time.Second
	// silenceMaxAge is how long a replica that has not confirmed a release is called only if the others have not either.
	silenceMaxAge = time.Second
	// maxRecordedTargets limits the replicas that are remembered.
	maxRecordedTargets = 256
)

// releaseTargets chooses the replicas through which releases are sent. Any replica accepts any release, so all releases
// use one that has just confirmed another release. While there is none, they try different replicas and leave out those
// that have been silent. The zero value knows no replica; its methods may be called from any goroutine.
type releaseTargets struct {
	mu          sync.Mutex
	confirmed   dispatch.EndpointAddress
	confirmedAt time.Time // zero if no release was confirmed, or the replica has been silent since
	records     map[string]*targetRecord
}

// targetRecord is what is known of a replica, by its address.
type targetRecord struct {
	calls       int       // in flight
	silentSince time.Time // zero if the last call was confirmed
}

// begin chooses the replica for the next call of a release, whose targets are in the order of preference. last is the
// address of the release's previous replica, which has not confirmed it yet, or empty.
func (t *releaseTargets) begin(targets []dispatch.EndpointAddress, last string, now time.Time) dispatch.EndpointAddress {
	t.mu.Lock()
	defer t.mu.Unlock()
	target := t.choose(targets, last, now)
	record := t.records[target.Addr]
	if record == nil {
		t.prune(now)
		record = &targetRecord{}
		t.records[target.Addr] = record
	}
	record.calls++
	return target
}

// choose returns the replica that has just confirmed a release, or else the best target by targetRecord.before. It
// returns the last one only if there is no other. t.mu must be held.
func (t *releaseTargets) choose(targets []dispatch.EndpointAddress, last string, now time.Time) dispatch.EndpointAddress {
	if t.confirmed.Addr != last && !t.confirmedAt.IsZero() && now.Sub(t.confirmedAt) < confirmationMaxAge {
		return t.confirmed
	}
	best, found := targets[0], false
	for _, target := range targets {
		if target.Addr == last {
			continue
		}
		if !found || t.records[target.Addr].before(t.records[best.Addr], now) {
			best, found = target, true
		}
	}
	return best
}

// before reports whether a replica is a better choice than another: one that was not silent, the one with fewer calls
// in flight, or the one that has been silent for longer. A nil record is that of a replica that was not called.
func (r *targetRecord) before(other *targetRecord, now time.Time) bool {
	a, b := r.orZero(), other.orZero()
	aSilent, bSilent := now.Sub(a.silentSince) < silenceMaxAge, now.Sub(b.silentSince) < silenceMaxAge
	switch {
	case aSilent != bSilent:
		return bSilent
	case aSilent:
		return a.silentSince.Before(b.silentSince)
	}
	return a.calls < b.calls
}

func (r *targetRecord) orZero() targetRecord {
	if r == nil {
		return targetRecord{}
	}
	return *r
}

// end records the result of a call.
func (t *releaseTargets) end(target dispatch.EndpointAddress, confirmed bool, now time.Time) { //revive:disable-line:flag-parameter a result
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.records[target.Addr]
	if record == nil {
		return
	}
	record.calls--
	if confirmed {
		record.silentSince = time.Time{}
		t.confirmed, t.confirmedAt = target, now
		return
	}
	record.silentSince = now
	if t.confirmed.Addr == target.Addr {
		t.confirmedAt = time.Time{}
	}
}

// prune makes room for one more record. t.mu must be held.
func (t *releaseTargets) prune(now time.Time) {
	if t.records == nil {
		t.records = map[string]*targetRecord{}
	}
	if len(t.records) < maxRecordedTargets {
		return
	}
	for addr, record := range t.records {
		if record.calls == 0 && now.Sub(record.silentSince) >= silenceMaxAge {
			delete(t.records, addr)
		}
	}
}
