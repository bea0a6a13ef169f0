package main

import (
	"context"
	"net/http"
	"time"
)

func init() { cases["restart"] = playRestart }

// resultTime is how long after the first answer a repeat has to find it, a generous time for its way to the voters.
const resultTime = 5 * time.Second

// lastEnd is when a first try counts as ended whatever became of it: the class's deadline and a minute more.
const lastEnd = 78 * time.Second

// playRestart ends a dispatcher by SIGTERM while it serves filings, and repeats them at all dispatchers.
func playRestart(r *rig) (broken bool) {
	c := &cluster{rig: r, replicas: replicas(1, 2), states: map[string]bool{}, words: 25, gap: 100 * time.Millisecond}
	f := r.newFleet(4, c, func(file map[string]any) {
		file["filings"] = map[string]any{"keep_s": 86400, "entries": 2000}
		delete(file, "subset_readers")
	})
	for _, m := range f.members {
		if m.name != "n3" {
			f.keepState(m)
		}
		f.useChat(m)
		f.startMember(m)
	}
	first := f.members[3]
	r.awaitFilings(first)
	stays := filing{"key-1", "the border of parcel 1 is wrong"}
	leaves := filing{"key-2", "the border of parcel 2 is wrong"}
	answers := make(chan reply, 1)
	begun := time.Now()
	go func() { answers <- r.file(context.Background(), first.chat, stays.key, stays.text) }()
	left := make(chan struct{})
	gone, leave := context.WithCancel(context.Background())
	go func() {
		r.file(gone, first.chat, leaves.key, leaves.text)
		close(left)
	}()
	for len(c.executions(stays.text)) == 0 || len(c.executions(leaves.text)) == 0 {
		if time.Since(begun) > 3*time.Second {
			panic(notRun{"a filing is not being answered"})
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	r.note("the client of %s disconnects", leaves.key)
	leave()
	<-left
	former := first.process
	if r.trouble {
		r.end(former)
	}
	answer := <-answers
	r.note("%s at %s: %v", stays.key, first.name, answer)
	if answer.status != http.StatusOK {
		panic(notRun{"the first try was not answered"})
	}
	if r.trouble {
		r.await(former, 10*time.Second)
		time.Sleep(time.Second)
		first.temp = r.folder("n3-tmp-2") // empty at each start (DEPLOY)
		f.startMember(first)
	}
	time.Sleep(resultTime)
	for range 2 {
		r.repeatAtAll(f, c, stays, leaves)
		time.Sleep(1500 * time.Millisecond) // Retry-After is 1 s
	}
	// A repeat may be told that the first try is in flight until that must have ended. From then on its word is final.
	time.Sleep(time.Until(begun.Add(lastEnd)))
	return r.repeatAtAll(f, c, stays, leaves)
}

// awaitFilings waits until the members have found each other and a filing is answered.
func (r *rig) awaitFilings(m *member) {
	for limit := time.Now().Add(15 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		a := r.file(context.Background(), m.chat, "key-0", "the border of parcel 0 is wrong")
		if a.status == http.StatusOK {
			r.note("the fleet takes filings: %v", a)
			return
		}
		if time.Now().After(limit) {
			panic(notRun{"the fleet takes no filings: " + a.String()})
		}
	}
}

// repeatAtAll repeats filings at all dispatchers, and reports whether a repeat did not get the first answer.
func (r *rig) repeatAtAll(f *fleet, c *cluster, filings ...filing) (broken bool) {
	for _, m := range f.members {
		for _, filing := range filings {
			broken = r.repeat(m, filing, c) || broken
		}
	}
	return broken
}

// repeat repeats a filing that was answered to its end, and reports whether the repeat did not get that answer.
func (r *rig) repeat(m *member, f filing, c *cluster) (broken bool) {
	runs := c.executions(f.text)
	if len(runs) != 1 || !runs[0].whole {
		r.note("%s ran %d times", f.key, len(runs))
		return len(runs) > 1
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a := r.file(ctx, m.chat, f.key, f.text)
	excused := a.code == "filings_unavailable" // no majority of the voters: nothing ran
	broken = !excused && !(a.status == http.StatusOK && a.replayed)
	verdict := ""
	if broken {
		verdict = ": not the first answer"
	}
	r.note("repeat of %s at %s: %v%s", f.key, m.name, a, verdict)
	if ran := len(c.executions(f.text)); ran > 1 {
		r.note("BROKEN: %s ran %d times", f.key, ran)
		return true
	}
	return broken
}
