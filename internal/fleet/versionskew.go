package fleet

import (
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/fleet/membership"
	"rampspread/internal/fleet/versionskew"
)

// VersionSkewConfig configures when a member that acts on older versions than most others is restricted and fenced.
type VersionSkewConfig struct {
	RestrictS         float64 `json:"restrict_s"` // time of lagging after which a member is restricted, in seconds
	FenceS            float64 `json:"out_s"`      // time of lagging after which a member is fenced, in seconds
	MaxFencedFraction float64 `json:"part"`       // maximum fraction of the fleet that is fenced at the same time
}

// Limits returns the default limits with the three values of the configuration.
func (c VersionSkewConfig) Limits() versionskew.Limits {
	l := versionskew.DefaultLimits
	l.RestrictAfter = time.Duration(c.RestrictS * float64(time.Second))
	l.FenceAfter = time.Duration(c.FenceS * float64(time.Second))
	l.MaxFencedFraction = c.MaxFencedFraction
	return l
}

// VersionSkewActions acts on this process's own version skew.
type VersionSkewActions interface {
	// RefreshEndpoints requests the full endpoint list from discovery.
	RefreshEndpoints()
	// SetFenced fences the process, so that it admits no clients, or lifts the fence. It must not block.
	SetFenced(fenced bool)
}

// VersionSkewStatus shows operators which versions the members act on.
type VersionSkewStatus struct {
	Self                string `json:"self"`
	MajorityListVersion uint64 `json:"list"`     // list version that most members have had for a while
	MajoritySettings    string `json:"settings"` // fingerprint of the settings that most members have
	// Fault says why lagging members are not fenced, or that no settings are in use by a majority.
	Fault   string `json:"fault,omitempty"`
	Enabled bool   `json:"judged"` // whether the detection is enabled
	// InsufficientView says whether this process's view is too old for the detection, lacks this process itself, or has
	// too few members.
	InsufficientView bool            `json:"blind"`
	Frozen           bool            `json:"frozen"`
	Members          []MemberVersion `json:"members"`
}

// MemberVersion shows which versions one member acts on, according to its last heartbeat.
type MemberVersion struct {
	Name           string  `json:"name"`
	State          string  `json:"state"` // state in the membership table
	LastHeartbeatS float64 `json:"heard_s"`
	Program        string  `json:"program"`
	Settings       string  `json:"settings"`
	ListVersion    uint64  `json:"list"`
	HighestToken   uint64  `json:"lease"` // highest fencing token known to the member
	SkewState      string  `json:"step"`  // name of the versionskew.State, or "-" if the member is not assessed
	Reason         string  `json:"why,omitempty"`
	LaggingS       float64 `json:"behind_s,omitempty"`
	SkewStateForS  float64 `json:"step_for_s"`
}

// skewMonitor is the component that detects members that act on old versions, and acts on this process's own skew.
type skewMonitor struct {
	node    *Node
	actions VersionSkewActions

	selfRestricted atomic.Bool

	mu               sync.Mutex
	detector         *versionskew.Detector
	assessment       versionskew.Assessment
	insufficientView bool
	frozen           bool
	appliedState     versionskew.State // state of this process that was last acted on
}

func newSkewMonitor(n *Node, actions VersionSkewActions) *skewMonitor {
	return &skewMonitor{node: n, actions: actions, detector: versionskew.New(n.cfg.VersionSkew.Limits())}
}

// handlers implements component. There are none, since the view contains all versions that are assessed.
func (s *skewMonitor) handlers() map[byte]messageHandler { return nil }

// stop implements component. There is nothing to release.
func (s *skewMonitor) stop() {}

// tick implements component. It assesses the members if the view is fresh and this process is among a majority of
// active members. A process that sees only a minority assesses neither other members nor itself: its leases and its
// share of the budgets end by its own clock.
func (s *skewMonitor) tick(now time.Duration) {
	v := s.node.View()
	reports, includesSelf := s.reports(v)
	s.mu.Lock()
	isMinority := 2*len(reports) <= len(s.node.cfg.Members)
	s.insufficientView = !includesSelf || !v.Fresh(now, MaxViewAge) || isMinority
	if s.insufficientView {
		s.mu.Unlock()
		return
	}
	assessment := s.detector.Assess(now, reports)
	own := assessment.Members[s.node.self.Name]
	previous := s.appliedState
	s.assessment, s.appliedState = assessment, own.State
	s.mu.Unlock()
	s.selfRestricted.Store(own.State >= versionskew.Restricted)
	if own.State == previous {
		return
	}
	slog.Info("version_skew", "state", own.State, "previous", previous, "reason", own.Reason, "list", own.ListVersion,
		"majority_list", assessment.ListVersion, "fault", assessment.Fault)
	s.applyTransition(previous, own)
}

// reports returns the versions that the active members report, and whether this process is one of these members.
func (s *skewMonitor) reports(v membership.View) (reports []versionskew.Report, includesSelf bool) {
	for _, m := range v.ActiveMembers() {
		report := versionskew.Report{Name: m.Name, ListVersion: m.ListVersion, SettingsDigest: m.SettingsDigest}
		reports = append(reports, report)
		includesSelf = includesSelf || m.Name == s.node.self.Name
	}
	return reports, includesSelf
}

// applyTransition acts on a change of this process's own state.
func (s *skewMonitor) applyTransition(previous versionskew.State, own versionskew.MemberStatus) {
	if own.State > versionskew.Current && own.Reason == "list" {
		s.actions.RefreshEndpoints()
	}
	if fenced := own.State == versionskew.Fenced; fenced != (previous == versionskew.Fenced) {
		s.actions.SetFenced(fenced)
	}
}

// isRestricted reports whether a member is restricted or fenced, so that it is to run no tasks for the fleet.
func (n *Node) isRestricted(name string) bool {
	s, ok := componentOf[*skewMonitor](n)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assessment.Members[name].State >= versionskew.Restricted
}

// isSelfRestricted reports whether the last assessment found this process restricted or fenced.
func (n *Node) isSelfRestricted() bool {
	s, ok := componentOf[*skewMonitor](n)
	return ok && s.selfRestricted.Load()
}

// errNoVersionSkew reports that the configuration does not enable version-skew detection.
var errNoVersionSkew = errors.New("the fleet's file has no stragglers")

// Calls that OverrideVersionSkew accepts.
const (
	callFence         = "shut-out"
	callAdmit         = "let-in"
	callClearOverride = "judge"
	callFreeze        = "freeze"
)

// OverrideVersionSkew overrides this process's state on an operator's call: "shut-out" fences the process, "let-in"
// admits it, and "judge" ends the override, so that the detection decides again. "freeze" stops all changes of state at
// this process until "judge" is called. It returns an error if the detection is not enabled.
func (n *Node) OverrideVersionSkew(call string) error {
	s, ok := componentOf[*skewMonitor](n)
	if !ok {
		return errNoVersionSkew
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch call {
	case callFence:
		s.detector.Override(n.self.Name, versionskew.Fenced)
	case callAdmit:
		s.detector.Override(n.self.Name, versionskew.Current)
	case callClearOverride:
		s.detector.ClearOverride(n.self.Name)
		s.frozen = false
	case callFreeze:
		s.frozen = true
	}
	s.detector.Freeze(s.frozen)
	return nil
}

// VersionSkewStatus returns which versions the members act on, as this member sees it.
func (n *Node) VersionSkewStatus() VersionSkewStatus {
	now, v := n.now(), n.View()
	status := VersionSkewStatus{Self: n.self.Name}
	var assessment versionskew.Assessment
	if s, ok := componentOf[*skewMonitor](n); ok {
		s.mu.Lock()
		assessment = s.assessment
		status.Enabled, status.InsufficientView, status.Frozen = true, s.insufficientView, s.frozen
		s.mu.Unlock()
		status.MajorityListVersion, status.MajoritySettings = assessment.ListVersion, formatFingerprint(assessment.SettingsDigest)
		status.Fault = assessment.Fault
	}
	for _, m := range v.Members {
		status.Members = append(status.Members, memberVersion(m, assessment, now))
	}
	return status
}

func memberVersion(m membership.Member, assessment versionskew.Assessment, now time.Duration) MemberVersion {
	version := MemberVersion{Name: m.Name, State: m.State.String(), LastHeartbeatS: (now - m.LastHeartbeat).Seconds(),
		Program: m.Version, Settings: formatFingerprint(m.SettingsDigest), ListVersion: m.ListVersion,
		HighestToken: m.HighestToken, SkewState: "-"}
	if s, ok := assessment.Members[m.Name]; ok {
		version.SkewState, version.Reason, version.SkewStateForS = s.State.String(), s.Reason, (now - s.Since).Seconds()
		if s.Reason != "" {
			version.LaggingS = (now - s.LaggingSince).Seconds()
		}
	}
	return version
}
