package faultbench

import (
	"context"
	"io"
	"net/http"
	"time"

	"rampspread/internal/faultbench/history"
)

// VersionSkewReport holds how dispatchers with an old list or old settings were fenced and readmitted, as seen from
// outside.
type VersionSkewReport struct {
	// DetectionS holds the seconds from the first change of the list or the settings that a dispatcher missed until the
	// dispatcher stopped taking clients.
	DetectionS []float64 `json:"straggler_seen_s"`
	// ReadmissionS holds the seconds from the return of a current list or current settings until the dispatcher took
	// clients again.
	ReadmissionS []float64 `json:"straggler_level_s"`
	// WorkAfterFence is the number of attempts for requests that a fenced dispatcher accepted.
	WorkAfterFence int `json:"acts_after_shut_out"`
	// FalselyFenced is the number of times that a dispatcher without an old list or old settings was fenced.
	FalselyFenced int `json:"wrongly_shut_out"`
}

const (
	staleSettings = "settings" // Class of a StaleListServed event about the settings

	admissionPollInterval = 50 * time.Millisecond
	// fenceSettleTime is how long after the fencing of a dispatcher requests in flight to it may still lead to work.
	fenceSettleTime = 1500 * time.Millisecond
)

// watchAdmission polls a dispatcher's health until the context ends, and records when the dispatcher stops and starts
// taking clients. A poll without an answer changes nothing.
func (r *Run) watchAdmission(ctx context.Context, d int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(admissionPollInterval)
	defer tick.Stop()
	var refusedAt time.Duration // time of the last refused poll; the dispatcher may have taken clients since then
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

// versionSkewReport returns the report on dispatchers with an old list or old settings. The events must be in order.
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

// skewTracker tracks the dispatchers with an old list or old settings.
type skewTracker struct {
	stale    map[int]history.Event    // by dispatcher: the period in which its list or settings were old
	missedAt map[int]time.Duration    // by dispatcher: first list change that it missed; unset for old settings
	fencedAt map[int]time.Duration    // by dispatcher: time since which it takes no clients
	sentAt   map[string]time.Duration // by request: time at which the client sent it
	report   VersionSkewReport
}

// listChanged records which dispatchers missed a change of the list that another one got.
func (s *skewTracker) listChanged(e history.Event) {
	for d, stale := range s.stale {
		if stale.Class != staleSettings && s.missedAt[d] == 0 && d != e.Dispatcher && e.At > stale.At && e.At < stale.Until {
			s.missedAt[d] = e.At
		}
	}
}

// admissionChanged records that a dispatcher stopped taking clients, if e.Complete is set, or that it takes them again.
func (s *skewTracker) admissionChanged(e history.Event) {
	stale, wasStale := s.stale[e.Dispatcher]
	switch {
	case e.Complete && (!wasStale || e.At < stale.At):
		s.report.FalselyFenced++
	case e.Complete:
		s.report.DetectionS = append(s.report.DetectionS, (e.At - max(s.missedAt[e.Dispatcher], stale.At)).Seconds())
	case wasStale:
		s.report.ReadmissionS = append(s.report.ReadmissionS, (e.At - stale.Until).Seconds())
	}
	delete(s.fencedAt, e.Dispatcher)
	if e.Complete {
		s.fencedAt[e.Dispatcher] = e.At
	}
}

// attemptArrived counts an attempt for a request that a dispatcher accepted while it was fenced.
func (s *skewTracker) attemptArrived(e history.Event) {
	at, fenced := s.fencedAt[e.Dispatcher]
	if fenced && e.At > at+fenceSettleTime && s.sentAt[e.Request] > at+fenceSettleTime {
		s.report.WorkAfterFence++
	}
}
