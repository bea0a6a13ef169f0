package main

import (
	"slices"
	"time"
)

func init() { cases["lease"] = playLease }

const (
	leaseTerm = 4 * time.Second
	// leaseExcuse is how long an act that began under a lease may last after its end: "a load poll's answer: at most
	// 0.2 s" (FLEET.md). A lease's successor may be seen that much earlier than its last act.
	leaseExcuse = 200 * time.Millisecond
)

// playLease replaces two of three voters at once while the holder of leased tasks is cut off from the other dispatchers,
// and looks for tasks that two members act on.
func playLease(r *rig) (broken bool) {
	c := &cluster{rig: r, replicas: replicas(6, 6), states: map[string]bool{}}
	f := r.newFleet(5, c, func(file map[string]any) {
		file["term_ms"] = leaseTerm.Milliseconds()
		delete(file, "subset_readers")
	})
	for _, m := range f.members {
		f.startMember(m)
	}
	// A voter that has just started grants nothing for 1.1 terms; then the tasks are claimed.
	time.Sleep(leaseTerm*11/10 + 4*time.Second)
	holder := f.members[3]
	held := c.tasksOf(holder.name, time.Second)
	if len(held) == 0 {
		holder = f.members[4]
		held = c.tasksOf(holder.name, time.Second)
	}
	if len(held) == 0 {
		panic(notRun{"neither n3 nor n4 holds a task"})
	}
	r.note("%s holds %d tasks: %v", holder.name, len(held), held)
	replaced := f.members[:2]
	var former []*process
	if r.trouble {
		for _, m := range replaced {
			former = append(former, m.process)
		}
		begun := time.Now()
		for _, m := range replaced {
			f.startMember(m)
		}
		// The platform gives the new process 6 s to say yes, and then sends SIGTERM to the old one.
		time.Sleep(readyTimeout - time.Since(begun))
		r.note("%s is cut off from the other dispatchers", holder.name)
		f.net.setCut(holder.ip, true)
		for _, p := range former {
			r.end(p)
		}
	} else {
		time.Sleep(readyTimeout)
	}
	time.Sleep(10 * time.Second)
	if r.trouble {
		r.note("%s is no longer cut off", holder.name)
		f.net.setCut(holder.ip, false)
	}
	time.Sleep(5 * time.Second)
	return c.twoHolders()
}

// tasksOf returns the tasks that a dispatcher was the last to poll for, within the given time.
func (c *cluster) tasksOf(dispatcher string, within time.Duration) (tasks []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := map[string]poll{}
	for _, p := range c.polls {
		last[p.task] = p
	}
	for task, p := range last {
		if p.from == dispatcher && c.now()-p.at < within {
			tasks = append(tasks, task)
		}
	}
	slices.Sort(tasks)
	return tasks
}

// twoHolders reports whether a member polled for a task under a lease after another member had begun to poll for it
// under a later lease, more than the excuse before.
func (c *cluster) twoHolders() (broken bool) {
	c.mu.Lock()
	polls := slices.Clone(c.polls)
	c.mu.Unlock()
	type first struct {
		poll
		found bool
	}
	highest := map[string]first{} // per task: the first poll under the highest token
	stale, staleTasks := 0, map[string]bool{}
	for _, p := range polls {
		h := highest[p.task]
		switch {
		case !h.found || p.token > h.token:
			if h.found && p.from != h.from {
				c.rig.note("%s: at %.3f %s polls under lease %d, after %s under lease %d", p.task, p.at.Seconds(), p.from, p.token, h.from, h.token)
			}
			highest[p.task] = first{p, true}
		case p.token < h.token && p.from != h.from && p.at > h.at+leaseExcuse:
			stale++
			staleTasks[p.task] = true
			c.rig.note("TWO HOLDERS of %s: at %.3f %s polls under lease %d, %.3f s after %s began under lease %d",
				p.task, p.at.Seconds(), p.from, p.token, (p.at - h.at).Seconds(), h.from, h.token)
		}
	}
	c.rig.note("%d polls for the fleet, %d of them under a lease that another member had succeeded, for %d tasks", len(polls), stale, len(staleTasks))
	return stale > 0
}
