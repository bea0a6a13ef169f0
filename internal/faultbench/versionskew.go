package faultbench

import (
	"context"
	"io"
	"net/http"
	"time"

	"rampspread/internal/faultbench/history"
)

// VersionSkewReport is what became of dispatchers that were sent an old list, seen from outside.
type VersionSkewReport struct {
	DetectionS     []float64 `json:"straggler_seen_s"`  // from the first change that one missed until it took no clients
	ReadmissionS   []float64 `json:"straggler_level_s"` // from its list's return until it took them again
	WorkAfterFence int       `json:"acts_after_shut_out"`
	FalselyFenced  int       `json:"wrongly_shut_out"` // that had been sent no old list
}

const (
	staleSettings = "settings" // Class of a StaleListServed event that is about the settings

	admissionPollInterval = 50 * time.Millisecond
	// fenceSettleTime is how long a request that was on its way to a fenced dispatcher may still lead to work.
	fenceSettleTime = 1500 * time.Millisecond
)

// watchAdmission records when a dispatcher's health poll says that it takes no clients, until the context ends. No answer
// changes nothing.
func (r *Run) watchAdmission(ctx context.Context, d int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(admissionPollInterval)
	defer tick.Stop()
	var refusedAt time.Duration // the last refusal: it may have accepted others since, before it does here
	for fenced := false; ; {
		polledAt := r.history.Now()
		if resp, err := client.Get("http://" + r.addrs.listen(d) + "/healthz"); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			switch refuses := resp.StatusCode != http.StatusOK; {
			case refuses && !fenced:
				r.history.Add(history.Event{Kind: history.AdmissionChanged, Dispatcher: d, Complete: true})
			case !refuses && fenced:
				r.history.Add(history.Event{At: refusedAt, Kind: history.AdmissionChanged, Dispatcher: d})
			}
			if fenced = resp.StatusCode != http.StatusOK; fenced {
				refusedAt = polledAt
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// versionSkewReport sums up what happened to dispatchers with an old list or settings; events are in order.
func versionSkewReport(events []history.Event) VersionSkewReport {
	s := skewTracker{stale: map[int]history.Event{}, missedAt: map[int]time.Duration{}, fencedAt: map[int]time.Duration{},
		sentAt: map[string]time.Duration{}}
	for _, e := range events {
		if e.Kind == history.StaleListServed {
			s.stale[e.Dispatcher] = e
		}
	}
	for _, e := range events {
		switch e.Kind {
		case history.EndpointWithdrawn, history.EndpointReady:
			s.listChanged(e)
		case history.AdmissionChanged:
			s.admissionChanged(e)
		case history.RequestSent:
			s.sentAt[e.Request] = e.At
		case history.AttemptArrived:
			s.attemptArrived(e)
		}
	}
	return s.report
}

// skewTracker follows the dispatchers with an old list or settings.
type skewTracker struct {
	stale    map[int]history.Event    // by dispatcher: when its list or settings were old
	missedAt map[int]time.Duration    // the first change that it was not sent; settings are missed from the beginning
	fencedAt map[int]time.Duration    // since when it takes no clients
	sentAt   map[string]time.Duration // by request
	report   VersionSkewReport
}

// listChanged notes which dispatchers missed a change that another got.
func (s *skewTracker) listChanged(e history.Event) {
	for d, stale := range s.stale {
		if stale.Class != staleSettings && s.missedAt[d] == 0 && d != e.Dispatcher && e.At > stale.At && e.At < stale.Until {
			s.missedAt[d] = e.At
		}
	}
}

// admissionChanged notes that a dispatcher takes no clients from now on (Complete), or takes them again.
func (s *skewTracker) admissionChanged(e history.Event) {
	stale, was := s.stale[e.Dispatcher]
	switch {
	case e.Complete && (!was || e.At < stale.At):
		s.report.FalselyFenced++
	case e.Complete:
		s.report.DetectionS = append(s.report.DetectionS, (e.At - max(s.missedAt[e.Dispatcher], stale.At)).Seconds())
	case was:
		s.report.ReadmissionS = append(s.report.ReadmissionS, (e.At - stale.Until).Seconds())
	}
	delete(s.fencedAt, e.Dispatcher)
	if e.Complete {
		s.fencedAt[e.Dispatcher] = e.At
	}
}

// attemptArrived counts work for a request that a fenced dispatcher took.
func (s *skewTracker) attemptArrived(e history.Event) {
	at, fenced := s.fencedAt[e.Dispatcher]
	if fenced && e.At > at+fenceSettleTime && s.sentAt[e.Request] > at+fenceSettleTime {
		s.report.WorkAfterFence++
	}
}
