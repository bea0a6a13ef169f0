package dispatch_test

import (
	"context"
	"reflect"
	"testing"
	"time"

	"rampspread/internal/dispatch"
	"rampspread/routing"
)

// A list that is told again, as after a move of discovery, is the same list: what was learnt of a server stays, and so does how far
// its part of a cold server's budget is used up.
func TestListToldAgainChangesNothing(t *testing.T) {
	_, c := start(t)
	list := []dispatch.Endpoint{
		{Name: "r1", Kind: 0, State: routing.Ready, Weight: 1, Started: time.Now().Add(-time.Second)},
		{Name: "w1", Kind: 1, State: routing.Ready, Weight: 1, Started: time.Now().Add(-time.Hour)},
	}
	var first []routing.EndpointStats
	for n := range 5 {
		c.UpdateEndpoints(true, list)
		b, ok := c.Snapshot(context.Background(), 0)
		if !ok || len(b.Endpoints) != len(list) {
			t.Fatalf("%d servers, %t", len(b.Endpoints), ok)
		}
		if n == 0 {
			first = b.Endpoints
		} else if !reflect.DeepEqual(first, b.Endpoints) {
			t.Fatalf("told again:\n%+v\nat first:\n%+v", b.Endpoints, first)
		}
	}
}
