package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

var limits = Limits{HeartbeatInterval: func(int) time.Duration { return s }, SuspectAfter: 3, MaxTickGap: s}

func info(name string, incarnation uint64) MemberInfo {
	return MemberInfo{Name: name, Incarnation: incarnation, Serving: true}
}

func table() *Table { return New(info("a", 1), []string{"a", "b", "c"}, limits, 0) }

// run ticks to a time, as a process does that is not stopped.
func run(t *Table, from, to time.Duration) {
	for at := from; at <= to; at += s / 4 {
		t.Tick(at)
	}
}

func state(t *Table, name string) State {
	for _, m := range t.View().Members {
		if m.Name == name {
			return m.State
		}
	}
	return Unknown
}

func TestStates(t *testing.T) {
	for _, c := range []struct {
		name  string
		hear  func(*Table)
		want  State // of b at 10 s
		lives int
	}{
		{"never heard", func(*Table) {}, Unknown, 0},
		{"joining", func(v *Table) { v.MarkJoined(MemberInfo{Name: "b", Incarnation: 5}, 10*s) }, Joining, 1},
		{"alive", func(v *Table) { v.MarkJoined(info("b", 5), 8*s) }, Alive, 1},
		{"no sign for long", func(v *Table) { v.MarkJoined(info("b", 5), 6*s) }, Suspect, 1},
		{"a sign again", func(v *Table) { v.MarkJoined(info("b", 5), 1*s); v.Heartbeat(info("b", 5), 9*s) }, Alive, 1},
		{"lost", func(v *Table) { v.MarkJoined(info("b", 5), 9*s); v.MarkLost("b", 5, 9*s) }, Unreachable, 1},
		{"lost, and a late sign", func(v *Table) {
			v.MarkJoined(info("b", 5), 9*s)
			v.MarkLost("b", 5, 9*s)
			v.Heartbeat(info("b", 5), 9*s)
		}, Unreachable, 1},
		{"lost, and refuted", func(v *Table) {
			v.MarkJoined(info("b", 5), 9*s)
			v.MarkLost("b", 5, 9*s)
			v.MarkJoined(info("b", 5), 9*s)
		}, Alive, 1},
		{"left", func(v *Table) {
			i := info("b", 5)
			v.MarkJoined(i, 9*s)
			i.Leaving = true
			v.MarkJoined(i, 9*s)
			v.MarkLost("b", 5, 9*s)
		}, Left, 1},
		{"left, and its goodbye comes late", func(v *Table) {
			v.MarkJoined(info("b", 5), 9*s)
			v.MarkLost("b", 5, 9*s)
			v.Heartbeat(MemberInfo{Name: "b", Incarnation: 5, Leaving: true}, 9*s)
		}, Left, 1},
		{"back", func(v *Table) {
			v.MarkJoined(info("b", 5), 9*s)
			v.MarkLost("b", 5, 9*s)
			v.MarkJoined(info("b", 6), 9*s)
		}, Alive, 2},
		{"back by a sign", func(v *Table) {
			v.MarkJoined(info("b", 5), 9*s)
			v.MarkLost("b", 5, 9*s)
			v.Heartbeat(info("b", 6), 9*s)
		}, Alive, 2},
		{"an old life's late loss", func(v *Table) {
			v.MarkJoined(info("b", 5), 9*s)
			v.MarkJoined(info("b", 6), 9*s)
			v.MarkLost("b", 5, 9*s)
		}, Alive, 2},
		{"an old life's late word", func(v *Table) {
			v.MarkJoined(info("b", 6), 9*s)
			v.MarkLost("b", 6, 9*s)
			v.MarkJoined(info("b", 5), 9*s)
		}, Unreachable, 1},
		{"back with a clock 30 s behind: its incarnation is higher all the same", func(v *Table) {
			i := info("b", 6)
			i.Started = time.Unix(100, 0)
			v.MarkJoined(i, 9*s)
			i.Incarnation, i.Started = 7, time.Unix(70, 0)
			v.MarkJoined(i, 9*s)
		}, Alive, 2},
	} {
		v := table()
		run(v, 0, 6*s)
		c.hear(v)
		run(v, 6*s, 10*s)
		for _, m := range v.View().Members {
			if m.Name == "b" && (m.State != c.want || m.Incarnations != c.lives) {
				t.Errorf("%s: %s after %d lives, want %s after %d", c.name, m.State, m.Incarnations, c.want, c.lives)
			}
		}
	}
}

// A process that was stopped knows so before it acts: its view is not fresh until most of the others were heard again.
func TestWoken(t *testing.T) {
	v := table()
	hear := func(at time.Duration) { v.Heartbeat(info("b", 5), at); v.Heartbeat(info("c", 5), at) }
	if v.View().Fresh(0, s) {
		t.Error("fresh before anything was heard")
	}
	hear(0)
	run(v, 0, 5*s)
	hear(5 * s)
	if !v.View().Fresh(5*s, s) || v.View().Fresh(7*s, s) {
		t.Error("a view is fresh for as long as it is asked for, and no longer")
	}
	old := v.View().Version
	if v.Tick(20 * s); v.View().Fresh(20*s, s) || v.View().Version <= old {
		t.Error("fresh right after a pause")
	}
	if state(v, "b") != Alive {
		t.Error("a process that was stopped blames the others for its own silence")
	}
	v.Heartbeat(info("b", 5), 20*s+s/2)
	if v.Tick(20*s + s/2); !v.View().Fresh(20*s+s/2, s) {
		t.Error("not fresh once half of the others were heard")
	}
	run(v, 21*s, 24*s)
	if state(v, "c") != Suspect {
		t.Error("one that is silent since is not suspect")
	}
	v.Tick(40 * s)
	run(v, 40*s, 44*s)
	if !v.View().Fresh(44*s, s) {
		t.Error("alone for good, and never fresh again")
	}
}

func TestStrangersAndConflicts(t *testing.T) {
	v := table()
	v.MarkJoined(info("x", 9), s)
	v.Heartbeat(info("x", 9), s)
	v.MarkLost("x", 9, s)
	v.MarkJoined(MemberInfo{Name: "a", Incarnation: 99, Leaving: true}, s) // nobody tells it that it has left
	v.MarkLost("a", 99, s)
	if len(v.View().Members) != 3 || v.Unconfigured() != 2 || state(v, "a") != Alive {
		t.Errorf("%+v, %d strangers", v.View(), v.Unconfigured())
	}
	for i := range 40 {
		v.RecordConflict("b", fmt.Sprint("127.0.0.1:", i%20), s)
	}
	if n := len(v.View().Conflicts); n != mostConflicts {
		t.Errorf("%d conflicts kept", n)
	}
}

// Whatever is heard in whatever order: numbers never go back, an incarnation neither, a change shows in the number,
// and what was handed out does not change.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v, now := table(), time.Duration(0)
		last := v.View()
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(r, "ms")) * time.Millisecond
			name := rapid.SampledFrom([]string{"a", "b", "c", "x"}).Draw(r, "name")
			i := MemberInfo{Name: name, Incarnation: rapid.Uint64Range(1, 4).Draw(r, "incarnation"),
				Serving: rapid.Bool().Draw(r, "serving"), Leaving: rapid.Bool().Draw(r, "leaving")}
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0:
				v.MarkJoined(i, now)
			case 1:
				v.Heartbeat(i, now)
			case 2:
				v.MarkLost(name, i.Incarnation, now)
			case 3:
				v.UpdateSelf(i, now)
			case 4:
				v.Tick(now)
			}
			next := v.View()
			changed := false
			for k, m := range next.Members {
				was := last.Members[k]
				if m.Incarnation < was.Incarnation {
					r.Fatalf("%s went from incarnation %d to %d", m.Name, was.Incarnation, m.Incarnation)
				}
				changed = changed || m.State != was.State || m.Incarnation != was.Incarnation
			}
			if next.Version < last.Version || changed && next.Version == last.Version {
				r.Fatalf("number %d after %d, changed %t", next.Version, last.Version, changed)
			}
			last = next
		}
	})
}
