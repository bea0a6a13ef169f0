package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["overlap"] = playOverlap }

// playOverlap sends filings while a dispatcher that keeps its idempotency keys in a state folder is replaced by a second
// process, and repeats those that were answered 503 ("nothing ran") as Retry-After says.
func playOverlap(r *rig) (broken bool) {
	c := &cluster{rig: r, replicas: replicas(1, 1), states: map[string]bool{}, words: 40, gap: 100 * time.Millisecond}
	state := r.folder("state")
	r.note("state init: %s", r.command("state", "init", state, "-name", "n0"))
	m := &member{}
	m.name, m.listen, m.chat, m.ops = "n0", r.freeAddr(clientSide), r.freeAddr(clientSide), r.freeAddr(clientSide)
	m.temp, m.discovery = r.folder("tmp"), c.listFor("n0")
	m.config = r.writeConfig("n0", m.discovery, 1)
	m.flags = "-state " + state + " -chat " + r.writeChat("n0", m.chat)
	former := r.start(m.dispatcher, "n0.1")
	var all sync.WaitGroup
	all.Go(func() { r.note("the long filing: %v", r.file(context.Background(), m.chat, "long", "a long answer")) })
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		m.ops = r.freeAddr(clientSide)
		r.start(m.dispatcher, "n0.2")
		r.end(former)
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	outcomes := map[string]int{}
	for i := range 60 {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			f := filing{fmt.Sprintf("key-%d", i), fmt.Sprintf("filing %d", i)}
			var a reply
			for range 12 {
				a = r.file(context.Background(), m.chat, f.key, f.text)
				if a.status == http.StatusOK || a.code == "filing_may_have_run" {
					break
				}
				time.Sleep(time.Second)
			}
			mu.Lock()
			defer mu.Unlock()
			outcomes[a.String()[:3]+" "+a.code]++
			if a.status != http.StatusOK && len(c.executions(f.text)) == 0 {
				r.note("%s never ran, and in the end is answered %v", f.key, a)
				broken = true
			}
		})
	}
	all.Wait()
	r.note("%v", outcomes)
	return broken
}
