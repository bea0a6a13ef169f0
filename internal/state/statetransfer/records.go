package statetransfer

import (
	"time"

	"rampspread/routing"
)

// The types below are the serialized form of a snapshot. Programs of other versions read it from disk and from the
// network. gob matches fields by name only, so a renamed field would be zero at the reader, without an error. Therefore
// the field names here must not change, even if the names in package routing do. The functions below map them to the
// fields of package routing.
type (
	// header precedes a snapshot and names its owner.
	header struct {
		Name     string
		Settings uint64
	}
	// snapshotRecord is the serialized form of routing.Snapshot.
	snapshotRecord struct {
		At       time.Duration
		Read     latencyModelRecord
		Fetch    latencyModelRecord
		Lag      decayedMeanRecord
		Scatter  decayedMeanRecord
		Trust    decayedMeanRecord
		Arrivals decayedMeanRecord
		Each     decayedMeanRecord
		Texts    []prefixCacheEntryRecord
		Servers  []endpointStatsRecord
	}
	// latencyModelRecord is the serialized form of routing.LatencyModel.
	latencyModelRecord struct {
		A  [3][3]float64
		B  [3]float64
		At time.Duration
	}
	// decayedMeanRecord is the serialized form of routing.DecayedMean.
	decayedMeanRecord struct {
		Sum float64
		N   float64
		At  time.Duration
	}
	// ewmaRecord is the serialized form of routing.EWMA.
	ewmaRecord struct {
		Value float64
		At    time.Duration
	}
	// prefixCacheEntryRecord is the serialized form of routing.PrefixCacheEntry.
	prefixCacheEntryRecord struct {
		Key    uint64
		Reader uint32
		Tokens int
		At     time.Duration
		Asked  decayedMeanRecord
	}
	// endpointStatsRecord is the serialized form of routing.EndpointStats.
	endpointStatsRecord struct {
		ID       uint32
		Started  time.Duration
		VoidTill time.Duration
		Heard    time.Duration
		Health   []ewmaRecord
		Excess   decayedMeanRecord
		Wait     decayedMeanRecord
		Turn     float64
	}
)

func newSnapshotRecord(s routing.Snapshot) snapshotRecord {
	return snapshotRecord{
		At:       s.TakenAt,
		Read:     newLatencyModelRecord(s.PrefillModel),
		Fetch:    newLatencyModelRecord(s.DecodeModel),
		Lag:      newDecayedMeanRecord(s.CommonQueueDelay),
		Scatter:  newDecayedMeanRecord(s.EstimateError),
		Trust:    newDecayedMeanRecord(s.CacheHitRatio),
		Arrivals: newDecayedMeanRecord(s.Arrivals),
		Each:     newDecayedMeanRecord(s.DelayPerQueuedRequest),
		Texts:    convertAll(s.Prefixes, newPrefixCacheEntryRecord),
		Servers:  convertAll(s.Endpoints, newEndpointStatsRecord),
	}
}

func (r snapshotRecord) snapshot() routing.Snapshot {
	return routing.Snapshot{
		TakenAt:               r.At,
		PrefillModel:          r.Read.latencyModel(),
		DecodeModel:           r.Fetch.latencyModel(),
		CommonQueueDelay:      r.Lag.decayedMean(),
		EstimateError:         r.Scatter.decayedMean(),
		CacheHitRatio:         r.Trust.decayedMean(),
		Arrivals:              r.Arrivals.decayedMean(),
		DelayPerQueuedRequest: r.Each.decayedMean(),
		Prefixes:              convertAll(r.Texts, prefixCacheEntryRecord.prefixCacheEntry),
		Endpoints:             convertAll(r.Servers, endpointStatsRecord.endpointStats),
	}
}

func newLatencyModelRecord(m routing.LatencyModel) latencyModelRecord {
	return latencyModelRecord{A: m.Normal, B: m.Moments, At: m.At}
}

func (r latencyModelRecord) latencyModel() routing.LatencyModel {
	return routing.LatencyModel{Normal: r.A, Moments: r.B, At: r.At}
}

func newDecayedMeanRecord(m routing.DecayedMean) decayedMeanRecord {
	return decayedMeanRecord{Sum: m.Sum, N: m.Count, At: m.At}
}

func (r decayedMeanRecord) decayedMean() routing.DecayedMean {
	return routing.DecayedMean{Sum: r.Sum, Count: r.N, At: r.At}
}

func newEWMARecord(a routing.EWMA) ewmaRecord {
	return ewmaRecord{Value: a.Value, At: a.At}
}

func (r ewmaRecord) ewma() routing.EWMA {
	return routing.EWMA{Value: r.Value, At: r.At}
}

func newPrefixCacheEntryRecord(e routing.PrefixCacheEntry) prefixCacheEntryRecord {
	return prefixCacheEntryRecord{
		Key:    uint64(e.Key),
		Reader: uint32(e.Endpoint),
		Tokens: e.Tokens,
		At:     e.UpdatedAt,
		Asked:  newDecayedMeanRecord(e.Requests),
	}
}

func (r prefixCacheEntryRecord) prefixCacheEntry() routing.PrefixCacheEntry {
	return routing.PrefixCacheEntry{
		Key:       routing.Key(r.Key),
		Endpoint:  routing.EndpointID(r.Reader),
		Tokens:    r.Tokens,
		UpdatedAt: r.At,
		Requests:  r.Asked.decayedMean(),
	}
}

func newEndpointStatsRecord(s routing.EndpointStats) endpointStatsRecord {
	return endpointStatsRecord{
		ID:       uint32(s.ID),
		Started:  s.Started,
		VoidTill: s.CacheValidFrom,
		Heard:    s.LastResponse,
		Health:   convertAll(s.Health, newEWMARecord),
		Excess:   newDecayedMeanRecord(s.QueueDelay),
		Wait:     newDecayedMeanRecord(s.FirstTokenDelay),
		Turn:     s.SlowStartCredit,
	}
}

func (r endpointStatsRecord) endpointStats() routing.EndpointStats {
	return routing.EndpointStats{
		ID:              routing.EndpointID(r.ID),
		Started:         r.Started,
		CacheValidFrom:  r.VoidTill,
		LastResponse:    r.Heard,
		Health:          convertAll(r.Health, ewmaRecord.ewma),
		QueueDelay:      r.Excess.decayedMean(),
		FirstTokenDelay: r.Wait.decayedMean(),
		SlowStartCredit: r.Turn,
	}
}

// convertAll converts each element of a slice. It returns nil for nil, since gob decodes a slice without elements as
// nil.
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
