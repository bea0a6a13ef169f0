package upstream_test

import (
	"net/http"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/internal/system"
	"rampspread/internal/testkit"
	"rampspread/internal/upstream"
	"rampspread/routing"
)

// An attempt that had to wait for its connection is not begun if by then its client has gone, its servers drop no repeats any more, or its
// time is over. Nothing reaches the replica, and nothing is held against it.
func TestNotBegunAfterAWait(t *testing.T) {
	gone := func() bool { return true }
	for name, change := range map[string]func(*dispatch.AttemptSpec){
		"the client has gone": func(o *dispatch.AttemptSpec) { o.ClientGone = gone },
		"the window is over":  func(o *dispatch.AttemptSpec) { o.Retry, o.DedupWindow = true, 300*time.Millisecond },
		"the time is over":    func(o *dispatch.AttemptSpec) { o.Timeout = 100 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			begun, answer := make(chan bool, 4), make(chan bool)
			r := testkit.NewReplica(t, func(w http.ResponseWriter, r *http.Request, n int) {
				begun <- true
				<-answer
				testkit.Read(w, r, n)
			})
			pool := upstream.New(testkit.Settings(t), 1, 1, system.Real()) // one connection: the second attempt waits for the first one's
			defer pool.Close()
			first, second := newEvents(), newEvents()
			order := dispatch.AttemptSpec{Call: call, Target: dispatch.Target{Name: "s", Addr: r.Addr}, Timeout: 5 * time.Second}
			pool.Send(order, first)
			<-begun
			change(&order)
			pool.Send(order, second)
			time.Sleep(200 * time.Millisecond) // that the time passes is what is tested
			close(answer)
			if o := <-first.ended; o.Outcome != routing.PrefillDone {
				t.Errorf("the first ended with %d", o.Outcome)
			}
			if o := <-second.ended; o.Outcome != routing.NotSent {
				t.Errorf("ended with %d", o.Outcome)
			}
			if n, _ := r.Calls(); n != 1 {
				t.Errorf("%d calls came", n)
			}
		})
	}
}
