package deployment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"rampspread/internal/faultbench/scenario"
)

// Speeds of the simulated replicas. The replicas of the real deployment are about ten times as fast, and its traffic is
// about ten times as large.
const (
	PrefillTokensPerSecond = 9000.0
	// DecodeTokenTime is the time that a decode replica takes for a token with one answer in progress. A full replica
	// takes 1.5 times as long.
	DecodeTokenTime = 18 * time.Millisecond
	// UncachedFraction is the mean fraction of a prompt that a prefill replica must compute; the rest is cached.
	UncachedFraction = 0.4
)

// Request is a request of a client, which is drawn before the run. The client's retries share it.
type Request struct {
	Group        string // the ID that the request and its retries share
	Class        *Class
	ArrivesAt    time.Duration // time since the start of the traffic
	Zone         int
	Session      string
	Prefix       string // ID of the prompt prefix that sessions share, or "" for none
	PrefixTokens int
	PromptTokens int
	OutputTokens int           // length of the answer, which clients don't announce
	Timeout      time.Duration // time that the client allows for an attempt
	Body         string
}

// Value returns the value of the request if it is served in time: its work times its class's weight.
func (r *Request) Value() float64 {
	return r.Class.Weight * (float64(r.PromptTokens)/PrefillTokensPerSecond + float64(r.OutputTokens)*DecodeTokenTime.Seconds())
}

// Properties returns the value of the request's X-Props header.
func (r *Request) Properties() string {
	p := fmt.Sprintf("prompt_len=%d,max_out=%d", r.PromptTokens, maxOutputFactor*r.Class.OutputTokens)
	if r.Prefix != "" {
		p += fmt.Sprintf(",prefix=%s,prefix_len=%d", r.Prefix, r.PrefixTokens)
	}
	return p
}

// Parameters of the drawn sessions. Times are in seconds.
const (
	requestsStream       = 0xda7 // stream of the random generator
	sessionsFrom         = -8.0  // start of the first sessions, so early that traffic is even from time 0 on
	maxOutputFactor      = 4     // limit on the length of an answer, as a multiple of its class's mean
	minOutputTokens      = 8
	sharedPrefixFraction = 0.8 // fraction of the sessions that share a prefix
	sharedPrefixes       = 24
	prefixSkew           = 2   // exponent that makes some prefixes much more common than others
	minTurnTokens        = 100 // minimum number of tokens that a turn adds to the prompt
	minTurnInterval      = 1.5 // minimum time between two turns
	meanExtraInterval    = 3   // mean of the random time that is added to minTurnInterval
)

// DrawRequests draws a scenario's requests, without retries, in order of arrival. Sessions begin at random times, and
// the times of their turns don't depend on the results of earlier turns.
func DrawRequests(s *scenario.Scenario, classes []*Class, seed uint64) []*Request {
	rng := rand.New(rand.NewPCG(seed, requestsStream))
	var out []*Request
	meanTurns := 0.0
	for _, c := range classes {
		meanTurns += c.SessionShare * float64(c.Turns)
	}
	for at := sessionsFrom; at < s.Seconds; at += rng.ExpFloat64() / (s.Rate / meanTurns) {
		out = append(out, drawSession(rng, s, drawClass(rng, classes), at)...)
	}
	slices.SortStableFunc(out, func(a, b *Request) int { return cmp.Compare(a.ArrivesAt, b.ArrivesAt) })
	return out
}

func drawClass(rng *rand.Rand, classes []*Class) *Class {
	c, pick := classes[0], rng.Float64()
	for _, next := range classes[1:] {
		if pick < c.SessionShare {
			break
		}
		pick -= c.SessionShare
		c = next
	}
	return c
}

// drawSession draws the requests of a session that begins at the given time. It omits requests outside the scenario's
// duration.
func drawSession(rng *rand.Rand, s *scenario.Scenario, c *Class, at float64) (out []*Request) {
	session := strconv.FormatUint(rng.Uint64(), 16)
	prefix, prefixTokens := "", 0
	if rng.Float64() < sharedPrefixFraction {
		n := int(math.Floor(math.Pow(rng.Float64(), prefixSkew) * sharedPrefixes))
		prefix, prefixTokens = fmt.Sprintf("%s%d", c.Name[:1], n), c.PromptTokens/2+(n*97)%(c.PromptTokens/2)
	}
	tokens := prefixTokens
	zone := rng.IntN(s.Zones)
	for range max(1, int(rng.ExpFloat64()*float64(c.Turns-1))+1) {
		tokens += minTurnTokens + rng.IntN(c.PromptTokens/4)
		r := &Request{Group: strconv.FormatUint(rng.Uint64(), 16), Class: c, ArrivesAt: scenario.Seconds(at), Zone: zone,
			Session: session, Prefix: prefix, PrefixTokens: prefixTokens, PromptTokens: tokens,
			OutputTokens: minOutputTokens + int(rng.ExpFloat64()*float64(c.OutputTokens-minOutputTokens)),
			Timeout:      time.Duration(float64(c.Deadline) * (0.5 + rng.Float64()/2))}
		r.OutputTokens = min(r.OutputTokens, maxOutputFactor*c.OutputTokens)
		r.Body = fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}`,
			c.Name, maxOutputFactor*c.OutputTokens, r.Group)
		if at >= 0 && at < s.Seconds {
			out = append(out, r)
		}
		at += minTurnInterval + rng.ExpFloat64()*meanExtraInterval
	}
	return out
}
