package subsetter

import (
	"testing"

	"rampspread/internal/testutil/golden"
)

func TestGoldenStatus(t *testing.T) {
	golden.JSON(t, "status.json", Status{
		Self: "n1", Subset: []string{"r1", "r2"}, Endpoints: 3, Members: 4, Updates: 5, TookMS: 6.5,
	})
}
