package main

import (
	"context"
	"net/http"
	"time"
)

func init() { cases["replace"] = playReplace }

// playReplace replaces a dispatcher that keeps its idempotency keys in a state folder by a second process, and repeats
// a filing that the first one had answered.
func playReplace(r *rig) (broken bool) {
	c := &cluster{rig: r, replicas: replicas(1, 1), states: map[string]bool{}, words: 5, gap: 50 * time.Millisecond}
	state := r.folder("state")
	r.note("state init: %s", r.command("state", "init", state, "-name", "n0"))
	m := &member{}
	m.name, m.listen, m.chat, m.ops = "n0", r.freeAddr(clientSide), r.freeAddr(clientSide), r.freeAddr(clientSide)
	m.temp, m.discovery = r.folder("tmp"), c.listFor("n0")
	m.config = r.writeConfig("n0", m.discovery, 1)
	m.flags = "-state " + state + " -chat " + r.writeChat("n0", m.chat)
	former := r.start(m.dispatcher, "n0.1")
	f := filing{"key-1", "the border of parcel 1 is wrong"}
	answer := r.file(context.Background(), m.chat, f.key, f.text)
	r.note("%s: %v", f.key, answer)
	if answer.status != http.StatusOK {
		panic(notRun{"the first try was not answered"})
	}
	time.Sleep(time.Second)
	if r.repeat(m, f, c) {
		panic(notRun{"a repeat at the same process is not answered"})
	}
	current := former
	if r.trouble {
		m.ops = r.freeAddr(clientSide)
		current = r.start(m.dispatcher, "n0.2")
		r.end(former)
		r.await(former, 10*time.Second)
	}
	time.Sleep(3 * time.Second) // the new process opens the state folder once the old one has ended
	for range 5 {
		broken = r.repeat(m, f, c) || broken
		time.Sleep(1200 * time.Millisecond)
	}
	r.end(current)
	r.await(current, 10*time.Second)
	r.note("state show: %s", r.command("state", "show", state))
	return broken
}
