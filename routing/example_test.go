package routing_test

import (
	"fmt"
	"time"

	"rampspread/routing"
)

// This example follows one request from its arrival to the end of its response stream.
func Example() {
	r, err := routing.New(routing.Config{
		Classes:     []routing.Class{{TTFTObjective: time.Second, Weight: 1}},
		Kinds:       []routing.Kind{{Role: routing.Prefill}, {Role: routing.Decode}},
		Routers:     1,
		MaxAttempts: 4, ReservationTTL: time.Second / 2,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	step := func(at time.Duration, ev routing.Event) {
		for _, a := range r.Handle(at, ev, nil) {
			switch a := a.(type) {
			case routing.Send:
				fmt.Printf("%v: %T to %d\n", at, a, a.Endpoint)
			case routing.SetTimer: // the release timer of the reservation
				fmt.Printf("%v: %T after %v\n", at, a, a.After)
			}
		}
	}
	step(0, routing.EndpointUpdate{Full: true, Endpoints: []routing.Endpoint{
		{ID: 10, Kind: 0, State: routing.Ready}, {ID: 20, Kind: 1, State: routing.Ready}}})
	const ms = time.Millisecond
	step(1*ms, routing.RequestArrived{Request: 1, PromptTokens: 800, RemainingTime: 4 * time.Second})
	step(40*ms, routing.AttemptEnded{Request: 1, Endpoint: 10, Outcome: routing.PrefillDone, Elapsed: 39 * ms})
	step(60*ms, routing.FirstToken{Request: 1, Attempt: 1, Endpoint: 20, Elapsed: 20 * ms})
	step(900*ms, routing.AttemptEnded{Request: 1, Attempt: 1, Endpoint: 20, Outcome: routing.Served, Final: true})
	// Output:
	// 1ms: routing.Send to 10
	// 40ms: routing.Send to 20
	// 40ms: routing.SetTimer after 400ms
}
