package main

import (
	"context"
	"time"
)

func init() { cases["key"] = playKey }

const (
	dedupClass = "korrektur-meldung"
	// dedupWindow is the class's windowMs: how long replicas discard a repeated request.
	dedupWindow = 2 * time.Second
	resetTime   = 3 * time.Second // for this long connections are reset under requests that have begun
)

// playKey sends a filing of a class with the effect dedup while connections are reset under requests that have begun,
// and repeats it under the same key after the class's window.
func playKey(r *rig) (broken bool) {
	c := &cluster{rig: r, replicas: replicas(2, 3), states: map[string]bool{}, words: 5, gap: 50 * time.Millisecond}
	state := r.folder("state")
	r.note("state init: %s", r.command("state", "init", state, "-name", "n0"))
	m := &member{}
	m.name, m.listen, m.chat, m.ops = "n0", r.freeAddr(clientSide), r.freeAddr(clientSide), r.freeAddr(clientSide)
	m.temp, m.discovery = r.folder("tmp"), c.listFor("n0")
	m.config = r.writeConfigWith("n0", m.discovery, 1, func(settings map[string]any) {
		class := classOf(settings, dedupClass)
		class["effect"], class["group"], class["windowMs"] = "dedup", "all", dedupWindow.Milliseconds()
	})
	m.flags = "-state " + state + " -chat " + r.writeChat("n0", m.chat)
	r.start(m.dispatcher, "n0.1")
	r.note("without a key: %v", r.file(context.Background(), m.chat, "", "the border of parcel 0 is wrong"))
	f := filing{"key-1", "the border of parcel 1 is wrong"}
	if r.trouble {
		c.resetUntil(c.now() + resetTime)
	}
	r.note("first try of %s: %v", f.key, r.file(context.Background(), m.chat, f.key, f.text))
	if len(c.executions(f.text)) == 0 {
		panic(notRun{"the first try was not run"})
	}
	time.Sleep(resetTime + dedupWindow)
	for range 2 {
		r.note("repeat of %s: %v", f.key, r.file(context.Background(), m.chat, f.key, f.text))
		time.Sleep(1500 * time.Millisecond)
	}
	runs := c.executions(f.text)
	for i, run := range runs {
		r.note("%s was run at %.3f under the id %s", f.key, run.at.Seconds(), run.id)
		if i > 0 && run.at > runs[0].at+dedupWindow {
			r.note("BROKEN: %s was run again, %.3f s after it first ran", f.key, (run.at - runs[0].at).Seconds())
			broken = true
		}
	}
	return broken
}
