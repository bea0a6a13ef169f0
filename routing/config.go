package routing

import (
	"errors"
	"time"
)

// Config is the configuration of a Router. Reconfigure changes it while requests are open.
type Config struct {
	Classes           []Class
	TenantQuotas      []float64 // requests per second over all routers, by tenant; 0 or less means no limit
	Kinds             []Kind
	Zone              int           // zone of this router
	Routers           int           // number of routers that share the replicas, at least 1
	MaxAttempts       int           // attempts that one request may make, prefills and decodes together, at least 1
	MaxRetryAfter     time.Duration // longest Retry-After of a Reject; 0 if clients ignore Retry-After
	ReservationTTL    time.Duration // time within which a reserved prefill result or slot must be used or released
	SlowStartInitial  float64       // fraction of its full capacity that a replica starts with
	SlowStartDuration time.Duration // time after its start by which a replica has its full capacity
	OverloadMultiple  float64       // multiple of its capacity past which a starting replica fails; 0 if it never fails
	CanPollLoad       bool          // replicas answer PollLoad
	CanCancel         bool          // the router may emit Cancel
	DecodeCanPrefill  bool          // decode replicas can prefill as well
	Budgets           Budgets
	ObservePrefills   bool // the router emits PrefillObserved for each prefill attempt
}

// Class is the configuration of one class of requests.
type Class struct {
	TTFTObjective      time.Duration // latency objective for the first token
	TTFTObjectivePer1K time.Duration // added to TTFTObjective for each 1,000 prompt tokens
	Weight             float64       // priority weight; the classes of the highest weight are critical
	Idempotency        Idempotency
	DedupScope         DedupScope    // IdempotentByKey only: replicas that discard duplicates together
	DedupWindow        time.Duration // IdempotentByKey only: time for which duplicates of a request are discarded
}

// Idempotency states whether a request of a class may run more than once.
type Idempotency uint8

// The values of Idempotency.
const (
	Idempotent      Idempotency = iota // may be retried and rejected at any time
	IdempotentByKey                    // duplicates are discarded within DedupScope and DedupWindow
	NonIdempotent                      // must never run twice
)

// DedupScope is the set of replicas that discard duplicates of an IdempotentByKey request together.
type DedupScope uint8

// The values of DedupScope.
const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// Role is the stage of inference that a replica serves.
type Role uint8

// The values of Role.
const (
	Prefill Role = iota
	Decode
	Combined
)

// roleCount is the number of roles.
const roleCount = 3

// Kind is the configuration of one kind of replica.
type Kind struct {
	Role Role
}

// Budgets are limits on what all routers do together. Each router gets a fraction of each limit (QuotaShare). A limit
// of 0 means no limit; retries are unlimited only if both limits on retries are 0.
type Budgets struct {
	Fraction          float64 // this router's fraction while no QuotaShare is valid; 0 means an equal one, 1/Routers
	PollsPerReplica   float64 // load polls per second that one replica gets from all routers
	RetriesPerRequest float64 // retries after a failure that are allowed per first attempt
	RetriesPerSecond  float64 // retries per second that are allowed in addition
}

// Validate returns an error for the first invalid setting.
func (cfg Config) Validate() error {
	if len(cfg.Classes) == 0 || cfg.Routers < 1 || cfg.MaxAttempts < 1 {
		return errors.New("config: needs a class, a router and an attempt")
	}
	for _, c := range cfg.Classes {
		if min(c.TTFTObjective, c.TTFTObjectivePer1K, c.DedupWindow) < 0 ||
			c.Idempotency > NonIdempotent || c.DedupScope > DedupScopeCell {
			return errors.New("config: class out of range")
		}
	}
	for _, k := range cfg.Kinds {
		if k.Role > Combined {
			return errors.New("config: kind out of range")
		}
	}
	if min(cfg.ReservationTTL, cfg.SlowStartDuration, cfg.MaxRetryAfter) < 0 {
		return errors.New("config: negative time")
	}
	if !cfg.Budgets.valid() {
		return errors.New("config: budgets out of range")
	}
	return nil
}

// valid reports whether no limit is negative or NaN and Fraction is at most 1.
func (b Budgets) valid() bool {
	return min(b.Fraction, b.PollsPerReplica, b.RetriesPerRequest, b.RetriesPerSecond) >= 0 && b.Fraction <= 1
}
