package loadgen

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"

	"rampspread/internal/faultbench/deployment"
	"rampspread/internal/faultbench/pressure"
)

// longAnswerTokens is the length of the answers to clients that read slowly.
const longAnswerTokens = 2000

// Pressure runs clients that hold a dispatcher's resources or take its time, until the context ends.
func (c *Clients) Pressure(ctx context.Context, dispatcher int, kind pressure.Kind, clients int, rng *rand.Rand) {
	var mu sync.Mutex // rng is not safe for concurrent use
	request := func(name, class string, bodyBytes int) string {
		mu.Lock()
		r := c.randomRequest(rng)
		mu.Unlock()
		r.OutputTokens = longAnswerTokens
		if kind.Floods() {
			r.OutputTokens = 1
		}
		r.Body = strings.Replace(r.Body, r.Group, strings.Repeat("a", bodyBytes), 1)
		if class != "" {
			r.Class = &deployment.Class{Name: class}
		} else {
			c.config.Cluster.Register(name, r)
		}
		return c.requestText(name, r, r.Timeout)
	}
	pressure.Run(ctx, pressure.Config{Address: c.config.Address(dispatcher), Kind: kind, Clients: clients, Request: request}, nil)
}
