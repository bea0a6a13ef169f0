package fleet

import (
	"fmt"
	"time"

	"rampspread/internal/fleet/membership"
)

// Status is the membership as shown to operators.
type Status struct {
	Fleet        string         `json:"fleet"`
	Self         string         `json:"self"`
	ViewVersion  uint64         `json:"view"`
	Fresh        bool           `json:"fresh"` // whether the view may be acted on
	Members      []MemberStatus `json:"members"`
	Conflicts    []string       `json:"conflicts,omitempty"` // names claimed by two processes
	Malformed    int64          `json:"bad"`
	Stale        int64          `json:"stale"`     // number of messages from earlier incarnations
	Unconfigured int64          `json:"strangers"` // number of messages from names that are not configured
}

// MemberStatus is a member as shown to operators.
type MemberStatus struct {
	Name           string  `json:"name"`
	State          string  `json:"state"`
	StateForS      float64 `json:"for_s"`   // time since the state or the incarnation last changed, in seconds
	LastHeartbeatS float64 `json:"heard_s"` // time since the last heartbeat, in seconds
	Zone           string  `json:"zone"`
	Incarnation    uint64  `json:"incarnation"`
	Incarnations   int     `json:"lives"` // number of incarnations seen under the name
	Started        string  `json:"started,omitempty"`
	Version        string  `json:"version"`
	Settings       string  `json:"settings"`
	ListVersion    uint64  `json:"list"`
	SkewMS         int64   `json:"skew_ms"` // member's clock minus this process's, less the heartbeat's latency
}

// Status returns the membership as this process sees it, for operators.
func (n *Node) Status() Status {
	now := n.now()
	v := n.View()
	n.mu.Lock()
	s := Status{Fleet: n.cfg.Fleet, Self: n.self.Name, ViewVersion: v.Version, Fresh: v.Fresh(now, MaxViewAge),
		Malformed: n.malformed.Load(), Stale: n.table.Stale(), Unconfigured: n.table.Unconfigured()}
	n.mu.Unlock()
	for _, m := range v.Members {
		s.Members = append(s.Members, n.memberStatus(m, now))
	}
	for _, c := range v.Conflicts {
		s.Conflicts = append(s.Conflicts, c.Name+" at "+c.Address)
	}
	return s
}

func (n *Node) memberStatus(m membership.Member, now time.Duration) MemberStatus {
	s := MemberStatus{Name: m.Name, State: m.State.String(), StateForS: (now - m.StateSince).Seconds(),
		LastHeartbeatS: (now - m.LastHeartbeat).Seconds(), Zone: m.Zone, Incarnation: m.Incarnation,
		Incarnations: m.Incarnations, Version: m.Version, Settings: formatFingerprint(m.SettingsDigest),
		ListVersion: m.ListVersion}
	if m.Incarnation > 0 {
		s.Started = m.Started.UTC().Format(time.RFC3339)
	}
	if skew, ok := n.clockSkews.Load(m.Name); ok {
		s.SkewMS = skew.(time.Duration).Milliseconds()
	}
	return s
}

// formatFingerprint formats a fingerprint of settings for operators.
func formatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }
