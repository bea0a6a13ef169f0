package faultbench

import (
	"context"
	"io"
	"net/http"
	"time"

	"rampspread/internal/faultbench/history"
)

// VersionSkewReport is what became of dispatchers that were told an old list, seen from outside.
type VersionSkewReport struct {
	DetectionS     []float64 `json:"straggler_seen_s"`  // from the first change that one missed until it took no clients
	ReadmissionS   []float64 `json:"straggler_level_s"` // from its list's return until it took them again
	WorkAfterFence int       `json:"acts_after_shut_out"`
	FalselyFenced  int       `json:"wrongly_shut_out"` // that had been told no old list
}

const (
	staleSettings = "settings" // Class of an Old event that is not about the list

	admissionPollInterval = 50 * time.Millisecond
	// fenceSettleTime is how long a request that was on its way to one that is shut out may still lead to work.
	fenceSettleTime = 1500 * time.Millisecond
)

// watchAdmission notes when a dispatcher says that it takes no clients, until the context ends. One that does not answer says nothing.
func (r *Run) watchAdmission(ctx context.Context, d int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(admissionPollInterval)
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

// versionSkewReport sums up what happened to stragglers; events are in order.
func versionSkewReport(events []history.Event) (out VersionSkewReport) {
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
				if o.Class != staleSettings && missed[d] == 0 && d != e.Dispatcher && e.At > o.At && e.At < o.Until {
					missed[d] = e.At
				}
			}
		case history.AdmissionChanged:
			o, was := old[e.Dispatcher]
			switch {
			case e.Complete && (!was || e.At < o.At):
				out.FalselyFenced++
			case e.Complete:
				out.DetectionS = append(out.DetectionS, (e.At - max(missed[e.Dispatcher], o.At)).Seconds())
			case was:
				out.ReadmissionS = append(out.ReadmissionS, (e.At - o.Until).Seconds())
			}
			if delete(shut, e.Dispatcher); e.Complete {
				shut[e.Dispatcher] = e.At
			}
		case history.RequestSent:
			asked[e.Request] = e.At
		case history.AttemptArrived:
			if at, is := shut[e.Dispatcher]; is && e.At > at+fenceSettleTime && asked[e.Request] > at+fenceSettleTime {
				out.WorkAfterFence++
			}
		}
	}
	return out
}
