package handover

import (
	"time"

	"rampspread/decide"
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

func newSnapshotRecord(b decide.Beliefs) snapshotRecord {
	return snapshotRecord{
		At:       b.At,
		Read:     newLatencyModelRecord(b.Read),
		Fetch:    newLatencyModelRecord(b.Fetch),
		Lag:      newDecayedMeanRecord(b.Lag),
		Scatter:  newDecayedMeanRecord(b.Scatter),
		Trust:    newDecayedMeanRecord(b.Trust),
		Arrivals: newDecayedMeanRecord(b.Arrivals),
		Each:     newDecayedMeanRecord(b.Each),
		Texts:    convertAll(b.Texts, newCacheEntryRecord),
		Servers:  convertAll(b.Servers, newEndpointRecord),
	}
}

func (r snapshotRecord) beliefs() decide.Beliefs {
	return decide.Beliefs{
		At:       r.At,
		Read:     r.Read.fit(),
		Fetch:    r.Fetch.fit(),
		Lag:      r.Lag.evidence(),
		Scatter:  r.Scatter.evidence(),
		Trust:    r.Trust.evidence(),
		Arrivals: r.Arrivals.evidence(),
		Each:     r.Each.evidence(),
		Texts:    convertAll(r.Texts, cacheEntryRecord.textBelief),
		Servers:  convertAll(r.Servers, endpointRecord.serverBelief),
	}
}

func newLatencyModelRecord(f decide.Fit) latencyModelRecord {
	return latencyModelRecord{A: f.A, B: f.B, At: f.At}
}

func (r latencyModelRecord) fit() decide.Fit {
	return decide.Fit{A: r.A, B: r.B, At: r.At}
}

func newDecayedMeanRecord(e decide.Evidence) decayedMeanRecord {
	return decayedMeanRecord{Sum: e.Sum, N: e.N, At: e.At}
}

func (r decayedMeanRecord) evidence() decide.Evidence {
	return decide.Evidence{Sum: r.Sum, N: r.N, At: r.At}
}

func newAverageRecord(l decide.Level) averageRecord {
	return averageRecord{Value: l.Value, At: l.At}
}

func (r averageRecord) level() decide.Level {
	return decide.Level{Value: r.Value, At: r.At}
}

func newCacheEntryRecord(t decide.TextBelief) cacheEntryRecord {
	return cacheEntryRecord{
		Key:    uint64(t.Key),
		Reader: uint32(t.Reader),
		Tokens: t.Tokens,
		At:     t.At,
		Asked:  newDecayedMeanRecord(t.Asked),
	}
}

func (r cacheEntryRecord) textBelief() decide.TextBelief {
	return decide.TextBelief{
		Key:    decide.Key(r.Key),
		Reader: decide.ServerID(r.Reader),
		Tokens: r.Tokens,
		At:     r.At,
		Asked:  r.Asked.evidence(),
	}
}

func newEndpointRecord(s decide.ServerBelief) endpointRecord {
	return endpointRecord{
		ID:       uint32(s.ID),
		Started:  s.Started,
		VoidTill: s.VoidTill,
		Heard:    s.Heard,
		Health:   convertAll(s.Health, newAverageRecord),
		Excess:   newDecayedMeanRecord(s.Excess),
		Wait:     newDecayedMeanRecord(s.Wait),
		Turn:     s.Turn,
	}
}

func (r endpointRecord) serverBelief() decide.ServerBelief {
	return decide.ServerBelief{
		ID:       decide.ServerID(r.ID),
		Started:  r.Started,
		VoidTill: r.VoidTill,
		Heard:    r.Heard,
		Health:   convertAll(r.Health, averageRecord.level),
		Excess:   r.Excess.evidence(),
		Wait:     r.Wait.evidence(),
		Turn:     r.Turn,
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
