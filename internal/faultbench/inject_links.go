package faultbench

import (
	"context"
	"math/rand/v2"
	"sync"

	"rampspread/internal/faultbench/network"
	"rampspread/internal/faultbench/scenario"
)

// links holds the links between the dispatchers and the simulated parties, by kind of party.
type links struct {
	replicas  [][]*network.Link // by dispatcher and replica
	discovery []*network.Link
	clients   []*network.Link
}

var (
	healthyLink network.Condition
	cutLink     = network.Condition{Cut: true}
)

// linksOf returns a dispatcher's links of one kind, or nil for any other kind, such as peers.
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

// forEachLink calls do for all links concurrently, since taking one address out of service takes about 20 ms and there
// are hundreds of links.
func forEachLink(links []*network.Link, do func(l *network.Link)) {
	var wg sync.WaitGroup
	for _, l := range links {
		wg.Go(func() { do(l) })
	}
	wg.Wait()
}

// setLinks sets the same condition on all links, in both directions.
func setLinks(links []*network.Link, c network.Condition) {
	forEachLink(links, func(l *network.Link) { l.Set(c, c) })
}

// impairLinks cuts, delays or slows a dispatcher's links of one kind, or makes them lose packets.
func (r *Run) impairLinks(ctx context.Context, f scenario.Fault, d int) {
	c := network.Condition{Cut: f.DelayMS == 0 && f.Loss == 0 && f.KBPerS == 0, Delay: scenario.Seconds(f.DelayMS / 1000),
		Loss: f.Loss, BytesPerS: f.KBPerS * 1000}
	if f.Links == "peers" {
		if r.peerLinks != nil {
			r.peerLinks.setDispatcher(d, f.Direction, c)
			endAfterDuration(ctx, f, func() { r.peerLinks.setDispatcher(d, f.Direction, healthyLink) })
		}
		return
	}
	to, from := c, c // conditions of the bytes to and from the listening party
	if dispatcherListens := f.Links == "clients"; f.Direction == "to" && dispatcherListens || f.Direction == "from" && !dispatcherListens {
		from = healthyLink
	} else if f.Direction == "to" || f.Direction == "from" {
		to = healthyLink
	}
	links := r.linksOf(f.Links, d)
	forEachLink(links, func(l *network.Link) { l.Set(to, from) })
	endAfterDuration(ctx, f, func() { setLinks(links, healthyLink) })
}

// resetLinks resets the connections of a dispatcher's links of one kind. It does nothing for links between peers.
func (r *Run) resetLinks(_ context.Context, f scenario.Fault, d int) {
	forEachLink(r.linksOf(f.Links, d), (*network.Link).Reset)
}

// drawLinks draws a fraction of a dispatcher's links to replicas and leaves out at least one of them.
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
	endAfterDuration(ctx, f, func() { setLinks(links, healthyLink) })
}

// silenceConnections makes the open connections of a fraction of a dispatcher's links to replicas drop all bytes for
// good, without an error.
func (r *Run) silenceConnections(_ context.Context, f scenario.Fault, d int) {
	forEachLink(r.drawLinks(f, d), (*network.Link).SilenceConns)
}

// delayConnections delays new connections on a fraction of a dispatcher's links to replicas.
func (r *Run) delayConnections(ctx context.Context, f scenario.Fault, d int) {
	links := r.drawLinks(f, d)
	forEachLink(links, func(l *network.Link) { l.SetConnectDelay(scenario.Seconds(f.DelayMS / 1000)) })
	endAfterDuration(ctx, f, func() { forEachLink(links, func(l *network.Link) { l.SetConnectDelay(0) }) })
}

// vanishReplica cuts off a replica's machine for the fault's duration. What was sent to it meanwhile never arrives,
// since its connections are reset at the end.
func (r *Run) vanishReplica(ctx context.Context, f scenario.Fault, replica int) {
	var links []*network.Link
	for _, row := range r.links.replicas {
		links = append(links, row[replica])
	}
	setLinks(links, cutLink)
	endAfterDuration(ctx, f, func() {
		forEachLink(links, func(l *network.Link) {
			l.Reset()
			l.Set(healthyLink, healthyLink)
		})
	})
}

// setZoneLinks sets the condition of all links between a zone and the other zones, in both directions: those between
// dispatchers, and those between a dispatcher and a replica.
func (r *Run) setZoneLinks(zone int, c network.Condition) {
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
	if r.peerLinks != nil {
		r.peerLinks.split(func(d int) int {
			if d%r.scenario.Zones == zone {
				return 1
			}
			return 0
		}, c)
	}
}
