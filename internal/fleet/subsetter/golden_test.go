package subsetter

import (
	"testing"

	"rampspread/internal/testkit/golden"
)

func TestGoldenStatus(t *testing.T) {
	golden.JSON(t, "status.json", Status{Self: "n1", Kept: []string{"r1", "r2"}, Of: 3, Members: 4, Times: 5, TookMS: 6.5})
}
