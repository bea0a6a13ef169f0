package fleet

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/fleet/versionskew"
)

// VersionSkewConfig says when a member that acts on something older than most is restricted and shut out.
type VersionSkewConfig struct {
	RestrictS         float64 `json:"restrict_s"` // after it has been behind for so long
	FenceS            float64 `json:"out_s"`
	MaxFencedFraction float64 `json:"part"` // of the fleet, at most, is shut out at once
}

// Limits are the file's, the rest the usual ones.
func (s VersionSkewConfig) Limits() versionskew.Limits {
	l := versionskew.DefaultLimits
	l.RestrictAfter, l.FenceAfter, l.MaxFencedFraction = time.Duration(s.RestrictS*float64(time.Second)), time.Duration(s.FenceS*float64(time.Second)), s.MaxFencedFraction
	return l
}

// VersionSkewActions acts by how this process stands in its fleet.
type VersionSkewActions interface {
	// Refresh asks discovery for the whole list anew.
	Refresh()
	// Out takes clients no more, or again. It must not block.
	Out(out bool)
}

// VersionSkewStatus is who acts on what, for operators.
type VersionSkewStatus struct {
	Self             string          `json:"self"`
	List             uint64          `json:"list"`     // that most members have had for a while
	Settings         string          `json:"settings"` // that most members have
	Fault            string          `json:"fault,omitempty"`
	Enabled          bool            `json:"judged"` // false: the file asks for no judgement
	InsufficientView bool            `json:"blind"`  // it sees too few members to judge
	Frozen           bool            `json:"frozen"`
	Members          []MemberVersion `json:"members"`
}

// MemberVersion is what one member acts on.
type MemberVersion struct {
	Name           string  `json:"name"`
	State          string  `json:"state"` // of its membership; what it acts on is by its last sign of life
	LastHeartbeatS float64 `json:"heard_s"`
	Program        string  `json:"program"`
	Settings       string  `json:"settings"`
	ListVersion    uint64  `json:"list"`
	HighestToken   uint64  `json:"lease"` // the highest number that it knows of
	SkewState      string  `json:"step"`
	Reason         string  `json:"why,omitempty"`
	LaggingS       float64 `json:"behind_s,omitempty"`
	SkewStateForS  float64 `json:"step_for_s"`
}

// stragglers judges the members, and acts on this one's part of it.
type stragglers struct {
	node *Node
	acts VersionSkewActions

	restricted atomic.Bool // this process

	mu      sync.Mutex
	judge   *versionskew.Detector
	verdict versionskew.Assessment
	blind   bool
	frozen  bool
	acted   versionskew.State // this process's, that was acted on
}

func newStragglers(n *Node, acts VersionSkewActions) *stragglers {
	return &stragglers{node: n, acts: acts, judge: versionskew.New(n.cfg.VersionSkew.Limits())}
}

// step judges, if it sees enough. One that sees only a minority judges nobody, and is not judged by itself: its leases and its part
// of the budgets end by its own clock.
func (s *stragglers) step(now time.Duration) {
	v := s.node.View()
	var told []versionskew.Report
	self := false
	for _, m := range v.ActiveMembers() {
		told = append(told, versionskew.Report{Name: m.Name, ListVersion: m.ListVersion, SettingsDigest: m.Settings})
		self = self || m.Name == s.node.self.Name
	}
	s.mu.Lock()
	s.blind = !self || !v.Fresh(now, MaxViewAge) || 2*len(told) <= len(s.node.cfg.Members)
	if s.blind {
		s.mu.Unlock()
		return
	}
	s.verdict = s.judge.Assess(now, told)
	own, fault := s.verdict.Members[s.node.self.Name], s.verdict.Fault
	was := s.acted
	s.acted = own.State
	s.mu.Unlock()
	s.restricted.Store(own.State >= versionskew.Restricted)
	if own.State == was {
		return
	}
	slog.Info("straggler", "step", own.State, "was", was, "why", own.Reason, "list", own.ListVersion, "most", s.verdict.List, "fault", fault)
	if own.State > versionskew.Current && own.Reason == "list" {
		s.acts.Refresh()
	}
	if out := own.State == versionskew.Fenced; out != (was == versionskew.Fenced) {
		s.acts.Out(out)
	}
}

// excluded tells whether a member is to do nothing for the others.
func (s *stragglers) excluded(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdict.Members[name].State >= versionskew.Restricted
}

// OverrideVersionSkew sets how this process stands by the operator's hand: shut out, let in, or given back to the judgement; and stops every
// change of a step here, or lets it go on.
func (n *Node) OverrideVersionSkew(call string) error {
	s := n.stragglers
	if s == nil {
		return fmt.Errorf("the fleet's file has no stragglers")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch call {
	case "shut-out":
		s.judge.Override(n.self.Name, versionskew.Fenced)
	case "let-in":
		s.judge.Override(n.self.Name, versionskew.Current)
	case "judge":
		s.judge.ClearOverride(n.self.Name)
		s.frozen = false
	case "freeze":
		s.frozen = true
	}
	s.judge.Freeze(s.frozen)
	return nil
}

// VersionSkewStatus is who acts on what, as this member sees it.
func (n *Node) VersionSkewStatus() VersionSkewStatus {
	now, v := n.now(), n.View()
	out := VersionSkewStatus{Self: n.self.Name}
	var verdict versionskew.Assessment
	if s := n.stragglers; s != nil {
		s.mu.Lock()
		verdict, out.InsufficientView, out.Frozen, out.Enabled = s.verdict, s.blind, s.frozen, true
		s.mu.Unlock()
		out.List, out.Settings, out.Fault = verdict.List, fmt.Sprintf("%016x", verdict.Settings), verdict.Fault
	}
	for _, m := range v.Members {
		one := MemberVersion{Name: m.Name, State: m.State.String(), LastHeartbeatS: (now - m.LastHeartbeat).Seconds(), Program: m.Version,
			Settings: fmt.Sprintf("%016x", m.Settings), ListVersion: m.ListVersion, HighestToken: m.HighestToken, SkewState: "-"}
		if s, ok := verdict.Members[m.Name]; ok {
			one.SkewState, one.Reason, one.SkewStateForS = s.State.String(), s.Reason, (now - s.Since).Seconds()
			if s.Reason != "" {
				one.LaggingS = (now - s.LaggingSince).Seconds()
			}
		}
		out.Members = append(out.Members, one)
	}
	return out
}
