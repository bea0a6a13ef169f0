package servers

import "testing"

// Only a call whose last byte was not written, over a connection that had been used before, may take another
// connection: after that it may have run, and a new connection that fails tells of its replica.
func TestSpent(t *testing.T) {
	for _, c := range []struct {
		idle                   int64
		written, unsent, given bool
		want                   bool
	}{
		{idle: 5, written: true, unsent: true, given: true, want: true},
		{idle: 5, want: true}, // it broke before anything was written
		{idle: 5, written: true, given: true},
		{idle: 5, given: true}, // nobody knows how far the writing came
		{idle: -1, written: true, unsent: true},
		{idle: -1}, // no connection came up
	} {
		x := newExchange(&attempt{body: &body{given: c.given}})
		x.idle.Store(c.idle)
		x.written.Store(c.written)
		x.unsent.Store(c.unsent)
		if got := x.spent(); got != c.want {
			t.Errorf("%+v: spent %t", c, got)
		}
	}
}
