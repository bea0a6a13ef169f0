package faultbench

import (
	"context"
	"math/rand/v2"
	"sync"

	"rampspread/internal/faultbench/network"
	"rampspread/internal/faultbench/scenario"
)

// links are the links of the dispatchers to the stand-ins, by what is at their other end.
type links struct {
	replicas  [][]*network.Link // by dispatcher and replica
	discovery []*network.Link
	clients   []*network.Link
}

var (
	healthyLink network.Condition
	cutLink     = network.Condition{Cut: true}
)

// linksOf are the links of one kind that a dispatcher has.
func (r *Run) linksOf(kind string, d int) []*network.Link {
	switch kind {
	case "replicas":
		return r.links.replicas[d]
	case "discovery":
		return r.links.discovery[d : d+1]
	case "clients":
		return r.links.clients[d : d+1]
	}
	return nil
}

// forEachLink does something to all of the links at once, since to take an address out of service takes some 20 ms, and
// there are hundreds.
func forEachLink(links []*network.Link, do func(l *network.Link)) {
	var wg sync.WaitGroup
	for _, l := range links {
		wg.Go(func() { do(l) })
	}
	wg.Wait()
}

// setLinks gives all of the links the same condition, both ways.
func setLinks(links []*network.Link, c network.Condition) {
	forEachLink(links, func(l *network.Link) { l.Set(c, c) })
}

// impairLinks cuts, delays or slows a dispatcher's links of one kind, or loses their packets.
func (r *Run) impairLinks(ctx context.Context, f scenario.Fault, d int) {
	c := network.Condition{Cut: f.DelayMS == 0 && f.Loss == 0 && f.KBPerS == 0, Delay: scenario.Seconds(f.DelayMS / 1000),
		Loss: f.Loss, BytesPerS: f.KBPerS * 1000}
	if f.Links == "peers" {
		if r.peers != nil {
			r.peers.setAround(d, f.Direction, c)
			after(ctx, f, func() { r.peers.setAround(d, f.Direction, healthyLink) })
		}
		return
	}
	to, from := c, c // of the parties that listen
	if dialed := f.Links == "clients"; f.Direction == "to" && dialed || f.Direction == "from" && !dialed {
		from = healthyLink
	} else if f.Direction == "to" || f.Direction == "from" {
		to = healthyLink
	}
	links := r.linksOf(f.Links, d)
	forEachLink(links, func(l *network.Link) { l.Set(to, from) })
	after(ctx, f, func() { setLinks(links, healthyLink) })
}

// resetLinks resets the connections of a dispatcher's links of one kind; between peers there is nothing to reset.
func (r *Run) resetLinks(_ context.Context, f scenario.Fault, d int) {
	forEachLink(r.linksOf(f.Links, d), (*network.Link).Reset)
}

// drawLinks draws a fraction of a dispatcher's links to replicas; at least one link stays healthy.
func (r *Run) drawLinks(f scenario.Fault, d int) []*network.Link {
	all := r.links.replicas[d]
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(f.At*1000)))
	var links []*network.Link
	for _, i := range rng.Perm(len(all))[:min(max(1, int(f.LinkFraction*float64(len(all)))), len(all)-1)] {
		links = append(links, all[i])
	}
	return links
}

// silenceLinks cuts a fraction of a dispatcher's links to replicas.
func (r *Run) silenceLinks(ctx context.Context, f scenario.Fault, d int) {
	links := r.drawLinks(f, d)
	setLinks(links, cutLink)
	after(ctx, f, func() { setLinks(links, healthyLink) })
}

// silenceConnections lets the open connections of a fraction of a dispatcher's links to replicas fall silent for good.
func (r *Run) silenceConnections(_ context.Context, f scenario.Fault, d int) {
	forEachLink(r.drawLinks(f, d), (*network.Link).SilenceConns)
}

// delayConnections delays new connections on a fraction of a dispatcher's links to replicas.
func (r *Run) delayConnections(ctx context.Context, f scenario.Fault, d int) {
	links := r.drawLinks(f, d)
	forEachLink(links, func(l *network.Link) { l.SetConnectDelay(scenario.Seconds(f.DelayMS / 1000)) })
	after(ctx, f, func() { forEachLink(links, func(l *network.Link) { l.SetConnectDelay(0) }) })
}

// vanish cuts a replica's machine off for a time. What was sent to it meanwhile never arrives: its connections are reset.
func (r *Run) vanish(ctx context.Context, f scenario.Fault, replica int) {
	var links []*network.Link
	for _, row := range r.links.replicas {
		links = append(links, row[replica])
	}
	setLinks(links, cutLink)
	after(ctx, f, func() {
		forEachLink(links, func(l *network.Link) {
			l.Reset()
			l.Set(healthyLink, healthyLink)
		})
	})
}

// isolateZone sets the condition of the links between a zone's dispatchers and the replicas and dispatchers of other
// zones, and between its replicas and others' dispatchers, both ways.
func (r *Run) isolateZone(zone int, c network.Condition) {
	var links []*network.Link
	for d, row := range r.links.replicas {
		for i, l := range row {
			if (d%r.scenario.Zones == zone) != (r.cluster.Replicas[i].Zone == zone) {
				links = append(links, l)
			}
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { setLinks(links, c) })
	defer wg.Wait()
	if r.peers != nil {
		r.peers.split(func(d int) int {
			if d%r.scenario.Zones == zone {
				return 1
			}
			return 0
		}, c)
	}
}
