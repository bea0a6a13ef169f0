package faultbench

import (
	"cmp"
	"fmt"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"rampspread/internal/faultbench/scenario"
)

var quietLog = log.New(io.Discard, "", 0)

// UncachedFraction is the part of a prompt that a reader must read, on the mean: the rest is kept.
const UncachedFraction = 0.4

// Class is one of the deployment's classes as clients of the rig send it.
type Class struct {
	Name          string
	SessionShare  float64 // of the sessions
	Weight        float64
	Effect        string // retryable, dedup or fragile
	Repeatable    bool   // clients repeat it after any failure
	TTFTObjective time.Duration
	Deadline      time.Duration
	TokenInterval time.Duration // the wanted time between tokens
	PromptTokens  int           // mean tokens,
	OutputTokens  int           // also
	Turns         int
	DedupScope    string        // of a dedup class: the servers that drop repeats are all, those of a zone or those of a cell,
	DedupWindow   time.Duration // within so long
}

var defaultClasses = []*Class{
	{Name: "question", SessionShare: 0.8, Weight: 1, Effect: "retryable", Repeatable: true, TTFTObjective: 1100 * time.Millisecond, Deadline: 4800 * time.Millisecond,
		TokenInterval: 65 * time.Millisecond, PromptTokens: 2600, OutputTokens: 60, Turns: 3},
	{Name: "filing", SessionShare: 0.2, Weight: 2, Effect: "fragile", TTFTObjective: 2800 * time.Millisecond, Deadline: 14 * time.Second,
		TokenInterval: 85 * time.Millisecond, PromptTokens: 4200, OutputTokens: 40, Turns: 5},
}

// Request is one first try, drawn ahead.
type Request struct {
	Group        string
	Class        *Class
	ArrivesAt    time.Duration // of its arrival
	Zone         int
	Session      string
	Prefix       string
	PrefixTokens int
	PromptTokens int
	OutputTokens int // tokens of the answer, which clients do not tell
	Timeout      time.Duration
	Body         string
}

func (s *Request) Value() float64 {
	return s.Class.Weight * (float64(s.PromptTokens)/PrefillTokensPerSecond + float64(s.OutputTokens)*DecodeTokenTime.Seconds())
}

func (s *Request) Properties() string {
	p := fmt.Sprintf("prompt_len=%d,max_out=%d", s.PromptTokens, 4*s.Class.OutputTokens)
	if s.Prefix != "" {
		p += fmt.Sprintf(",prefix=%s,prefix_len=%d", s.Prefix, s.PrefixTokens)
	}
	return p
}

// DrawRequests is a day's first tries by arrival: sessions begin at random, and their turns come at times of their own, whatever
// becomes of the turns before.
func DrawRequests(s *scenario.Scenario, classes []*Class, seed uint64) []*Request {
	rng := rand.New(rand.NewPCG(seed, 0xda7))
	var out []*Request
	turns := 0.0
	for _, c := range classes {
		turns += c.SessionShare * float64(c.Turns)
	}
	for at := -8.0; at < s.Seconds; at += rng.ExpFloat64() / (s.Rate / turns) {
		c, pick := classes[0], rng.Float64()
		for _, next := range classes[1:] {
			if pick < c.SessionShare {
				break
			}
			pick -= c.SessionShare
			c = next
		}
		session := strconv.FormatUint(rng.Uint64(), 16)
		prefix, prefixTokens := "", 0
		if rng.Float64() < 0.8 {
			n := int(math.Floor(math.Pow(rng.Float64(), 2) * 24)) // some are much more common than others
			prefix, prefixTokens = fmt.Sprintf("%s%d", c.Name[:1], n), c.PromptTokens/2+(n*97)%(c.PromptTokens/2)
		}
		tokens := prefixTokens
		zone := rng.IntN(s.Zones)
		when := at
		for range max(1, int(rng.ExpFloat64()*float64(c.Turns-1))+1) {
			tokens += 100 + rng.IntN(c.PromptTokens/4)
			n := &Request{Group: strconv.FormatUint(rng.Uint64(), 16), Class: c, ArrivesAt: scenario.Seconds(when), Zone: zone,
				Session: session, Prefix: prefix, PrefixTokens: prefixTokens, PromptTokens: tokens,
				OutputTokens: 8 + int(rng.ExpFloat64()*float64(c.OutputTokens-8)),
				Timeout:      time.Duration(float64(c.Deadline) * (0.5 + rng.Float64()/2))}
			n.OutputTokens = min(n.OutputTokens, 4*c.OutputTokens)
			n.Body = fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}`,
				c.Name, 4*c.OutputTokens, n.Group)
			if when >= 0 && when < s.Seconds {
				out = append(out, n)
			}
			when += 1.5 + rng.ExpFloat64()*3
		}
	}
	slices.SortStableFunc(out, func(a, b *Request) int { return cmp.Compare(a.ArrivesAt, b.ArrivesAt) })
	return out
}
