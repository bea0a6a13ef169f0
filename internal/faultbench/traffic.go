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
)

var quietLog = log.New(io.Discard, "", 0)

// missedPart is the part of a prompt that a reader must read, on the mean: the rest is kept.
const missedPart = 0.4

// class is one of the deployment's classes as clients of the rig send it.
type class struct {
	name     string
	share    float64 // of the sessions
	worth    float64
	effect   string // retryable, dedup or fragile
	safe     bool   // clients repeat it after any failure
	aim      time.Duration
	deadline time.Duration
	token    time.Duration // the wanted time between tokens
	prompt   int           // mean tokens,
	output   int           // also
	turns    int
	group    string        // of a dedup class: the servers that drop repeats are all, those of a zone or those of a cell,
	window   time.Duration // within so long
}

var classes = []*class{
	{name: "question", share: 0.8, worth: 1, effect: "retryable", safe: true, aim: 1100 * time.Millisecond, deadline: 4800 * time.Millisecond,
		token: 65 * time.Millisecond, prompt: 2600, output: 60, turns: 3},
	{name: "filing", share: 0.2, worth: 2, effect: "fragile", aim: 2800 * time.Millisecond, deadline: 14 * time.Second,
		token: 85 * time.Millisecond, prompt: 4200, output: 40, turns: 5},
}

// spec is one first try, drawn ahead.
type spec struct {
	group        string
	class        *class
	at           time.Duration // of its arrival
	zone         int
	session      string
	prefix       string
	prefixTokens int
	prompt       int
	output       int // tokens of the answer, which clients do not tell
	patience     time.Duration
	body         string
}

func (s *spec) worth() float64 {
	return s.class.worth * (float64(s.prompt)/readRate + float64(s.output)*tokenTime.Seconds())
}

func (s *spec) props() string {
	p := fmt.Sprintf("prompt_len=%d,max_out=%d", s.prompt, 4*s.class.output)
	if s.prefix != "" {
		p += fmt.Sprintf(",prefix=%s,prefix_len=%d", s.prefix, s.prefixTokens)
	}
	return p
}

// draw is a day's first tries by arrival: sessions begin at random, and their turns come at times of their own, whatever
// becomes of the turns before.
func draw(s *Scenario, classes []*class, seed uint64) []*spec {
	rng := rand.New(rand.NewPCG(seed, 0xda7))
	var out []*spec
	turns := 0.0
	for _, c := range classes {
		turns += c.share * float64(c.turns)
	}
	for at := -8.0; at < s.Seconds; at += rng.ExpFloat64() / (s.Rate / turns) {
		c, pick := classes[0], rng.Float64()
		for _, next := range classes[1:] {
			if pick < c.share {
				break
			}
			pick -= c.share
			c = next
		}
		session := strconv.FormatUint(rng.Uint64(), 16)
		prefix, prefixTokens := "", 0
		if rng.Float64() < 0.8 {
			n := int(math.Floor(math.Pow(rng.Float64(), 2) * 24)) // some are much more common than others
			prefix, prefixTokens = fmt.Sprintf("%s%d", c.name[:1], n), c.prompt/2+(n*97)%(c.prompt/2)
		}
		tokens := prefixTokens
		zone := rng.IntN(s.Zones)
		when := at
		for range max(1, int(rng.ExpFloat64()*float64(c.turns-1))+1) {
			tokens += 100 + rng.IntN(c.prompt/4)
			n := &spec{group: strconv.FormatUint(rng.Uint64(), 16), class: c, at: seconds(when), zone: zone,
				session: session, prefix: prefix, prefixTokens: prefixTokens, prompt: tokens,
				output:   8 + int(rng.ExpFloat64()*float64(c.output-8)),
				patience: time.Duration(float64(c.deadline) * (0.5 + rng.Float64()/2))}
			n.output = min(n.output, 4*c.output)
			n.body = fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}`,
				c.name, 4*c.output, n.group)
			if when >= 0 && when < s.Seconds {
				out = append(out, n)
			}
			when += 1.5 + rng.ExpFloat64()*3
		}
	}
	slices.SortStableFunc(out, func(a, b *spec) int { return cmp.Compare(a.at, b.at) })
	return out
}
