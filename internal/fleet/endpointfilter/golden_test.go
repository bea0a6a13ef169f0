package endpointfilter

import (
	"testing"

	"rampspread/internal/testutil/golden"
)

func TestGoldenStatus(t *testing.T) {
	golden.JSON(t, "status.json", Status{ListVersion: 1, Suppressed: 2, PeerLists: 3, Rejected: 4})
}
