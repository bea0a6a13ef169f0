package faultbench

import (
	"context"
	"io"
	"net/http"
	"time"

	"rampspread/internal/faultbench/history"
)

// Straggling is what became of dispatchers that were told an old list, seen from outside.
type Straggling struct {
	SeenS  []float64 `json:"straggler_seen_s"`  // from the first change that one missed until it took no clients
	LevelS []float64 `json:"straggler_level_s"` // from its list's return until it took them again
	Acts   int       `json:"acts_after_shut_out"`
	Wrong  int       `json:"wrongly_shut_out"` // that had been told no old list
}

const (
	oldSettings = "settings" // Class of an Old event that is not about the list

	shutTick = 50 * time.Millisecond
	// shutSettle is how long a request that was on its way to one that is shut out may still lead to work.
	shutSettle = 1500 * time.Millisecond
)

// watchShut notes when a dispatcher says that it takes no clients, until the context ends. One that does not answer says nothing.
func (r *Run) watchShut(ctx context.Context, d int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(shutTick)
	defer tick.Stop()
	var no time.Duration // when it last said no: it may have said yes to others before it does here
	for shut := false; ; {
		asked := r.history.Now()
		if resp, err := client.Get("http://" + r.addrs.listen(d) + "/healthz"); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			switch now := resp.StatusCode != http.StatusOK; {
			case now && !shut:
				r.history.Add(history.Event{Kind: history.AdmissionChanged, Dispatcher: d, Complete: true})
			case !now && shut:
				r.history.Add(history.Event{At: no, Kind: history.AdmissionChanged, Dispatcher: d})
			}
			if shut = resp.StatusCode != http.StatusOK; shut {
				no = asked
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// straggling sums up what happened to stragglers; events are in order.
func straggling(events []history.Event) (out Straggling) {
	old := map[int]history.Event{}
	for _, e := range events {
		if e.Kind == history.StaleListServed {
			old[e.Dispatcher] = e
		}
	}
	missed := map[int]time.Duration{} // the first change that it was not told; settings are missed from the beginning
	shut, asked := map[int]time.Duration{}, map[string]time.Duration{}
	for _, e := range events {
		switch e.Kind {
		case history.EndpointWithdrawn, history.EndpointReady:
			for d, o := range old {
				if o.Class != oldSettings && missed[d] == 0 && d != e.Dispatcher && e.At > o.At && e.At < o.Until {
					missed[d] = e.At
				}
			}
		case history.AdmissionChanged:
			o, was := old[e.Dispatcher]
			switch {
			case e.Complete && (!was || e.At < o.At):
				out.Wrong++
			case e.Complete:
				out.SeenS = append(out.SeenS, (e.At - max(missed[e.Dispatcher], o.At)).Seconds())
			case was:
				out.LevelS = append(out.LevelS, (e.At - o.Until).Seconds())
			}
			if delete(shut, e.Dispatcher); e.Complete {
				shut[e.Dispatcher] = e.At
			}
		case history.RequestSent:
			asked[e.Request] = e.At
		case history.AttemptArrived:
			if at, is := shut[e.Dispatcher]; is && e.At > at+shutSettle && asked[e.Request] > at+shutSettle {
				out.Acts++
			}
		}
	}
	return out
}
