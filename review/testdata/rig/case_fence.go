package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["fence"] = playFence }

// playFence drains a dispatcher by an operator's call while the fleet has fenced it, ends the fence, and looks whether
// the dispatcher is still drained.
func playFence(r *rig) (broken bool) {
	c := &cluster{rig: r, replicas: replicas(1, 1), states: map[string]bool{}, words: 5, gap: 50 * time.Millisecond}
	f := r.newFleet(3, c, func(file map[string]any) { delete(file, "subset_readers") })
	for _, m := range f.members {
		f.startMember(m)
	}
	time.Sleep(4 * time.Second)
	m := f.members[2]
	must := func(call string) {
		answer, err := r.call(m.ops, call)
		r.note("%s at %s: %s", call, m.name, answer)
		if err != nil || !strings.HasPrefix(answer, "SUCCESS") {
			panic(notRun{call + " failed"})
		}
	}
	if r.trouble {
		must("shut-out")
		for limit := time.Now().Add(5 * time.Second); r.healthz(m) == http.StatusOK; time.Sleep(50 * time.Millisecond) {
			if time.Now().After(limit) {
				panic(notRun{"the dispatcher was not fenced"})
			}
		}
		r.note("%s is fenced: GET /healthz answers %d", m.name, r.healthz(m))
	}
	must("drain-on")
	drained := time.Now()
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		must("let-in")
	}
	time.Sleep(4*time.Second - time.Since(drained))
	for range 5 {
		status := r.healthz(m)
		check, _ := r.call(m.ops, "check")
		r.note("%.1f s after drain-on: GET /healthz answers %d, check %s", time.Since(drained).Seconds(), status, check)
		broken = broken || status == http.StatusOK
		time.Sleep(300 * time.Millisecond)
	}
	return broken
}

// healthz returns the status of GET /healthz on a new connection, or 0.
func (r *rig) healthz(m *member) int {
	c, err := net.DialTimeout("tcp", m.listen, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
