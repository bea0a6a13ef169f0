package decide_test

import (
	"fmt"
	"time"

	"rampspread/decide"
)

// A Router takes one request from its arrival to the end of its stream.
func Example() {
	r, err := decide.New(decide.Config{
		Classes:     []decide.Class{{TTFTObjective: time.Second, Weight: 1}},
		Kinds:       []decide.Kind{{Role: decide.Prefill}, {Role: decide.Decode}},
		Routers:     1,
		MaxAttempts: 4, ReservationTTL: time.Second / 2,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	step := func(at time.Duration, ev decide.Event) {
		for _, a := range r.Handle(at, ev, nil) {
			switch a := a.(type) {
			case decide.Send:
				fmt.Printf("%v: %T to %d\n", at, a, a.Endpoint)
			case decide.SetTimer: // it looks whether the state has been taken
				fmt.Printf("%v: %T after %v\n", at, a, a.After)
			}
		}
	}
	step(0, decide.EndpointUpdate{Full: true, Endpoints: []decide.Endpoint{
		{ID: 10, Kind: 0, State: decide.Ready}, {ID: 20, Kind: 1, State: decide.Ready}}})
	const ms = time.Millisecond
	step(1*ms, decide.RequestArrived{Request: 1, PromptTokens: 800, TimeLeft: 4 * time.Second})
	step(40*ms, decide.AttemptEnded{Request: 1, Endpoint: 10, Outcome: decide.PrefillDone, Elapsed: 39 * ms})
	step(60*ms, decide.FirstToken{Request: 1, Attempt: 1, Endpoint: 20, Elapsed: 20 * ms})
	step(900*ms, decide.AttemptEnded{Request: 1, Attempt: 1, Endpoint: 20, Outcome: decide.Served, Final: true})
	// Output:
	// 1ms: decide.Send to 10
	// 40ms: decide.Send to 20
	// 40ms: decide.Wake after 400ms
}
