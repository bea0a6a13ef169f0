package bootstrap

import (
	"fmt"
	"testing"
	"time"

	"rampspread/internal/testutil/golden"
)

// With a given seed, the order and the ranges of the random draws determine to which members a process sends requests
// and when. A change of either changes the golden file.
func TestGoldenDraws(t *testing.T) {
	var text []byte
	draws := int64(0)
	requester := NewRequester(DefaultLimits, 0, func(n int64) int64 {
		draws++
		text = fmt.Appendf(text, "draw %d of %d\n", draws, n)
		return draws * 7 % n
	})
	members := []Peer{
		{Name: "a", Older: true},
		{Name: "b", Older: true},
		{Name: "c", SameZone: true},
		{Name: "d"},
	}
	for now := time.Duration(0); now < 5*time.Second; now += time.Millisecond {
		if to, ok := requester.NextDonor(now, members); ok {
			text = fmt.Appendf(text, "%v asks %s\n", now, to)
			requester.RecordResponse(now, to, to == "d")
		}
	}
	golden.Text(t, "draws.txt", text)
}
