package statetransfer

import (
	"time"

	"rampspread/routing"
)

// The types below are the serialized form. Programs of other versions read it from the disk and over the network, and gob finds a field by
// its name alone: one that is renamed is zero at the reader, with no error. So the names here never change, whatever becomes of the
// names in package decide.
type (
	// header says whose snapshot follows it.
	header struct {
		Name     string
		Settings uint64
	}
	// snapshotRecord is the serialized form of decide.Beliefs.
	snapshotRecord struct {
		At       time.Duration
		Read     latencyModelRecord
		Fetch    latencyModelRecord
		Lag      decayedMeanRecord
		Scatter  decayedMeanRecord
		Trust    decayedMeanRecord
		Arrivals decayedMeanRecord
		Each     decayedMeanRecord
		Texts    []cacheEntryRecord
		Servers  []endpointRecord
	}
	// latencyModelRecord is the serialized form of decide.Fit.
	latencyModelRecord struct {
		A  [3][3]float64
		B  [3]float64
		At time.Duration
	}
	// decayedMeanRecord is the serialized form of decide.Evidence.
	decayedMeanRecord struct {
		Sum float64
		N   float64
		At  time.Duration
	}
	// averageRecord is the serialized form of decide.Level.
	averageRecord struct {
		Value float64
		At    time.Duration
	}
	// cacheEntryRecord is the serialized form of decide.TextBelief.
	cacheEntryRecord struct {
		Key    uint64
		Reader uint32
		Tokens int
		At     time.Duration
		Asked  decayedMeanRecord
	}
	// endpointRecord is the serialized form of decide.ServerBelief.
	endpointRecord struct {
		ID       uint32
		Started  time.Duration
		VoidTill time.Duration
		Heard    time.Duration
		Health   []averageRecord
		Excess   decayedMeanRecord
		Wait     decayedMeanRecord
		Turn     float64
	}
)

func newSnapshotRecord(b routing.Snapshot) snapshotRecord {
	return snapshotRecord{
		At:       b.TakenAt,
		Read:     newLatencyModelRecord(b.Prefill),
		Fetch:    newLatencyModelRecord(b.Decode),
		Lag:      newDecayedMeanRecord(b.CommonQueueDelay),
		Scatter:  newDecayedMeanRecord(b.EstimateError),
		Trust:    newDecayedMeanRecord(b.CacheHitRatio),
		Arrivals: newDecayedMeanRecord(b.Arrivals),
		Each:     newDecayedMeanRecord(b.PerQueuedRequest),
		Texts:    convertAll(b.Prefixes, newCacheEntryRecord),
		Servers:  convertAll(b.Endpoints, newEndpointRecord),
	}
}

func (r snapshotRecord) beliefs() routing.Snapshot {
	return routing.Snapshot{
		TakenAt:          r.At,
		Prefill:          r.Read.fit(),
		Decode:           r.Fetch.fit(),
		CommonQueueDelay: r.Lag.evidence(),
		EstimateError:    r.Scatter.evidence(),
		CacheHitRatio:    r.Trust.evidence(),
		Arrivals:         r.Arrivals.evidence(),
		PerQueuedRequest: r.Each.evidence(),
		Prefixes:         convertAll(r.Texts, cacheEntryRecord.textBelief),
		Endpoints:        convertAll(r.Servers, endpointRecord.serverBelief),
	}
}

func newLatencyModelRecord(f routing.LatencyModel) latencyModelRecord {
	return latencyModelRecord{A: f.A, B: f.B, At: f.At}
}

func (r latencyModelRecord) fit() routing.LatencyModel {
	return routing.LatencyModel{A: r.A, B: r.B, At: r.At}
}

func newDecayedMeanRecord(e routing.DecayedMean) decayedMeanRecord {
	return decayedMeanRecord{Sum: e.Sum, N: e.Count, At: e.At}
}

func (r decayedMeanRecord) evidence() routing.DecayedMean {
	return routing.DecayedMean{Sum: r.Sum, Count: r.N, At: r.At}
}

func newAverageRecord(l routing.EWMA) averageRecord {
	return averageRecord{Value: l.Value, At: l.At}
}

func (r averageRecord) level() routing.EWMA {
	return routing.EWMA{Value: r.Value, At: r.At}
}

func newCacheEntryRecord(t routing.PrefixCacheEntry) cacheEntryRecord {
	return cacheEntryRecord{
		Key:    uint64(t.Key),
		Reader: uint32(t.Endpoint),
		Tokens: t.Tokens,
		At:     t.UpdatedAt,
		Asked:  newDecayedMeanRecord(t.Requests),
	}
}

func (r cacheEntryRecord) textBelief() routing.PrefixCacheEntry {
	return routing.PrefixCacheEntry{
		Key:       routing.Key(r.Key),
		Endpoint:  routing.EndpointID(r.Reader),
		Tokens:    r.Tokens,
		UpdatedAt: r.At,
		Requests:  r.Asked.evidence(),
	}
}

func newEndpointRecord(s routing.EndpointStats) endpointRecord {
	return endpointRecord{
		ID:       uint32(s.ID),
		Started:  s.Started,
		VoidTill: s.CacheValidFrom,
		Heard:    s.LastResponse,
		Health:   convertAll(s.Health, newAverageRecord),
		Excess:   newDecayedMeanRecord(s.QueueDelay),
		Wait:     newDecayedMeanRecord(s.FirstTokenDelay),
		Turn:     s.SlowStartCredit,
	}
}

func (r endpointRecord) serverBelief() routing.EndpointStats {
	return routing.EndpointStats{
		ID:              routing.EndpointID(r.ID),
		Started:         r.Started,
		CacheValidFrom:  r.VoidTill,
		LastResponse:    r.Heard,
		Health:          convertAll(r.Health, averageRecord.level),
		QueueDelay:      r.Excess.evidence(),
		FirstTokenDelay: r.Wait.evidence(),
		SlowStartCredit: r.Turn,
	}
}

// convertAll converts each element; no elements stay nil, as gob leaves them.
func convertAll[From, To any](from []From, convert func(From) To) []To {
	if from == nil {
		return nil
	}
	to := make([]To, len(from))
	for i, element := range from {
		to[i] = convert(element)
	}
	return to
}
