package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["reload"] = playReload }

const reloadedClass = "korrektur-meldung"

// playReload reloads a configuration in which a class's group is missing, and resets a connection under a request of
// that class that has begun. The class has the effect dedup: replicas discard a request that comes again within a zone.
func playReload(r *rig) (broken bool) {
	c := &cluster{rig: r, states: map[string]bool{}, words: 5, gap: 50 * time.Millisecond, replicas: []replica{
		{"p0", "prefill", "wien-nord"}, {"d0", "decode-a", "wien-nord"}, {"d1", "decode-a", "wien-sued"},
	}}
	m := &member{}
	m.name, m.listen, m.ops = "n0", r.freeAddr(clientSide), r.freeAddr(clientSide)
	m.temp, m.discovery = r.folder("tmp"), c.listFor("n0")
	m.config = r.writeConfigWith("n0", m.discovery, 1, func(settings map[string]any) {
		settings["limits"].(map[string]any)["mostTries"] = 6
		class := classOf(settings, reloadedClass)
		class["effect"], class["group"] = "dedup", "zone"
	})
	p := r.start(m.dispatcher, "n0.1")
	for i := range 4 {
		broken = r.resetOnce(c, m, fmt.Sprintf("before-%d", i)) || broken
	}
	if broken {
		return broken
	}
	if r.trouble {
		text, err := os.ReadFile(m.config)
		r.must(err, "configuration")
		r.must(os.WriteFile(m.config, []byte(strings.Replace(string(text), `"group": "zone",`, "", 1)), 0o600), "configuration")
		r.note("SIGHUP with a file in which the group of %s is missing", reloadedClass)
		p.signal(syscall.SIGHUP)
	}
	time.Sleep(2 * time.Second) // new settings bind 1.2 s after SIGHUP
	ran := 0
	for i := range 10 {
		id := fmt.Sprintf("after-%d", i)
		broken = r.resetOnce(c, m, id) || broken
		if len(c.executions(id)) > 0 {
			ran++
		}
		time.Sleep(200 * time.Millisecond)
	}
	if ran == 0 {
		panic(notRun{"no request was run"})
	}
	return broken
}

// resetOnce sends a request, resets the connection of its first decode attempt once that runs, and reports whether it
// was run in two zones.
func (r *rig) resetOnce(c *cluster, m *member, id string) (broken bool) {
	if r.trouble {
		c.resetNext()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"` + id + `"}]}`
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.listen+"/v1/chat/completions", strings.NewReader(body))
	r.must(err, "request")
	for name, value := range map[string]string{"X-Trace-Id": id, "X-Qos": reloadedClass, "X-Object": id, "X-Expires-In": "4800m", "X-Props": "prompt_len=8,max_out=80"} {
		q.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(q)
	r.must(err, "answer")
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	r.note("%s: %d, read to its end: %v", id, resp.StatusCode, err == nil)
	zones := map[string]bool{}
	for _, run := range c.executions(id) {
		zones[run.zone] = true
	}
	if len(zones) > 1 {
		r.note("BROKEN: %s ran in %d zones", id, len(zones))
	}
	return len(zones) > 1
}
