package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

var limits = Limits{HeartbeatInterval: func(int) time.Duration { return second }, SuspectAfter: 3, MaxTickGap: second}

func servingMember(name string, incarnation uint64) MemberInfo {
	return MemberInfo{Name: name, Incarnation: incarnation, Serving: true}
}

func newTable() *Table {
	return New(servingMember("a", 1), []string{"a", "b", "c"}, limits, 0)
}

// tickUntil ticks the table at short intervals, like a process that is not stopped.
func tickUntil(table *Table, from, to time.Duration) {
	for at := from; at <= to; at += second / 4 {
		table.Tick(at)
	}
}

func stateOfMember(table *Table, name string) State {
	for _, m := range table.View().Members {
		if m.Name == name {
			return m.State
		}
	}
	return Unknown
}

func TestMemberStateFollowsItsEvents(t *testing.T) {
	for _, c := range []struct {
		name         string
		events       func(*Table)
		want         State // state of b at 10 s
		incarnations int
	}{
		{"without a heartbeat", func(*Table) {}, Unknown, 0},
		{"joining", func(table *Table) {
			table.MarkJoined(MemberInfo{Name: "b", Incarnation: 5}, 10*second)
		}, Joining, 1},
		{"alive", func(table *Table) { table.MarkJoined(servingMember("b", 5), 8*second) }, Alive, 1},
		{"heartbeats overdue", func(table *Table) { table.MarkJoined(servingMember("b", 5), 6*second) }, Suspect, 1},
		{"heartbeat after overdue ones", func(table *Table) {
			table.MarkJoined(servingMember("b", 5), 1*second)
			table.Heartbeat(servingMember("b", 5), 9*second)
		}, Alive, 1},
		{"lost", func(table *Table) {
			table.MarkJoined(servingMember("b", 5), 9*second)
			table.MarkLost("b", 5, 9*second)
		}, Unreachable, 1},
		{"lost, then a late heartbeat", func(table *Table) {
			table.MarkJoined(servingMember("b", 5), 9*second)
			table.MarkLost("b", 5, 9*second)
			table.Heartbeat(servingMember("b", 5), 9*second)
		}, Unreachable, 1},
		{"lost, then refuted", func(table *Table) {
			table.MarkJoined(servingMember("b", 5), 9*second)
			table.MarkLost("b", 5, 9*second)
			table.MarkJoined(servingMember("b", 5), 9*second)
		}, Alive, 1},
		{"left", func(table *Table) {
			info := servingMember("b", 5)
			table.MarkJoined(info, 9*second)
			info.Leaving = true
			table.MarkJoined(info, 9*second)
			table.MarkLost("b", 5, 9*second)
		}, Left, 1},
		{"left, with a late leave notice", func(table *Table) {
			table.MarkJoined(servingMember("b", 5), 9*second)
			table.MarkLost("b", 5, 9*second)
			table.Heartbeat(MemberInfo{Name: "b", Incarnation: 5, Leaving: true}, 9*second)
		}, Left, 1},
		{"next incarnation joined", func(table *Table) {
			table.MarkJoined(servingMember("b", 5), 9*second)
			table.MarkLost("b", 5, 9*second)
			table.MarkJoined(servingMember("b", 6), 9*second)
		}, Alive, 2},
		{"heartbeat of the next incarnation", func(table *Table) {
			table.MarkJoined(servingMember("b", 5), 9*second)
			table.MarkLost("b", 5, 9*second)
			table.Heartbeat(servingMember("b", 6), 9*second)
		}, Alive, 2},
		{"late loss of an earlier incarnation", func(table *Table) {
			table.MarkJoined(servingMember("b", 5), 9*second)
			table.MarkJoined(servingMember("b", 6), 9*second)
			table.MarkLost("b", 5, 9*second)
		}, Alive, 2},
		{"late join of an earlier incarnation", func(table *Table) {
			table.MarkJoined(servingMember("b", 6), 9*second)
			table.MarkLost("b", 6, 9*second)
			table.MarkJoined(servingMember("b", 5), 9*second)
		}, Unreachable, 1},
		{"next incarnation with a clock 30 s behind", func(table *Table) {
			info := servingMember("b", 6)
			info.Started = time.Unix(100, 0)
			table.MarkJoined(info, 9*second)
			info.Incarnation, info.Started = 7, time.Unix(70, 0)
			table.MarkJoined(info, 9*second)
		}, Alive, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			tickUntil(table, 0, 6*second)
			c.events(table)
			tickUntil(table, 6*second, 10*second)
			for _, m := range table.View().Members {
				if m.Name == "b" && (m.State != c.want || m.Incarnations != c.incarnations) {
					t.Errorf("%s after %d incarnations, want %s after %d",
						m.State, m.Incarnations, c.want, c.incarnations)
				}
			}
		})
	}
}

// A process that was stopped must not act on its outdated view. The view is not fresh until half of the other members
// have sent a heartbeat again, or until the suspicion timeout has passed.
func TestViewIsNotFreshAfterStopUntilHalfOfTheOthersSentHeartbeats(t *testing.T) {
	table := newTable()
	heartbeats := func(at time.Duration) {
		table.Heartbeat(servingMember("b", 5), at)
		table.Heartbeat(servingMember("c", 5), at)
	}
	if table.View().Fresh(0, second) {
		t.Error("fresh before any member sent a heartbeat")
	}
	heartbeats(0)
	tickUntil(table, 0, 5*second)
	heartbeats(5 * second)
	if !table.View().Fresh(5*second, second) || table.View().Fresh(7*second, second) {
		t.Error("a view must be fresh within the given time, and no longer")
	}
	old := table.View().Version
	if table.Tick(20 * second); table.View().Fresh(20*second, second) || table.View().Version <= old {
		t.Error("fresh right after a stop")
	}
	if stateOfMember(table, "b") != Alive {
		t.Error("another member is no longer alive because this process was stopped")
	}
	table.Heartbeat(servingMember("b", 5), 20*second+second/2)
	if table.Tick(20*second + second/2); !table.View().Fresh(20*second+second/2, second) {
		t.Error("not fresh once half of the others sent a heartbeat")
	}
	tickUntil(table, 21*second, 24*second)
	if stateOfMember(table, "c") != Suspect {
		t.Error("a member without heartbeats since then is not suspect")
	}
	table.Tick(40 * second)
	tickUntil(table, 40*second, 44*second)
	if !table.View().Fresh(44*second, second) {
		t.Error("never fresh again when no other member sends heartbeats")
	}
}

func TestUnconfiguredMembersAreIgnoredAndConflictsBounded(t *testing.T) {
	table := newTable()
	table.MarkJoined(servingMember("x", 9), second)
	table.Heartbeat(servingMember("x", 9), second)
	table.MarkLost("x", 9, second)
	// Reports of other processes about this one are ignored.
	table.MarkJoined(MemberInfo{Name: "a", Incarnation: 99, Leaving: true}, second)
	table.MarkLost("a", 99, second)
	if len(table.View().Members) != 3 || table.Unconfigured() != 2 || stateOfMember(table, "a") != Alive {
		t.Errorf("%+v, %d unconfigured", table.View(), table.Unconfigured())
	}
	for i := range 40 {
		table.RecordConflict("b", fmt.Sprint("127.0.0.1:", i%20), second)
	}
	if n := len(table.View().Conflicts); n != maxConflicts {
		t.Errorf("%d conflicts remembered", n)
	}
}

// For any sequence of events, the version of the view and the incarnations of the members never decrease, and the
// version increases with each change of a member's state or incarnation.
func TestVersionsAndIncarnationsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		table, now := newTable(), time.Duration(0)
		last := table.View()
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(r, "ms")) * time.Millisecond
			name := rapid.SampledFrom([]string{"a", "b", "c", "x"}).Draw(r, "name")
			info := MemberInfo{Name: name, Incarnation: rapid.Uint64Range(1, 4).Draw(r, "incarnation"),
				Serving: rapid.Bool().Draw(r, "serving"), Leaving: rapid.Bool().Draw(r, "leaving")}
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0:
				table.MarkJoined(info, now)
			case 1:
				table.Heartbeat(info, now)
			case 2:
				table.MarkLost(name, info.Incarnation, now)
			case 3:
				table.UpdateSelf(info, now)
			case 4:
				table.Tick(now)
			}
			next := table.View()
			changed := false
			for i, m := range next.Members {
				was := last.Members[i]
				if m.Incarnation < was.Incarnation {
					r.Fatalf("%s went from incarnation %d to %d", m.Name, was.Incarnation, m.Incarnation)
				}
				changed = changed || m.State != was.State || m.Incarnation != was.Incarnation
			}
			if next.Version < last.Version || changed && next.Version == last.Version {
				r.Fatalf("version %d after %d, changed %t", next.Version, last.Version, changed)
			}
			last = next
		}
	})
}
