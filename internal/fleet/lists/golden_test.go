package lists

import (
	"testing"

	"rampspread/internal/testkit/golden"
)

func TestGoldenStatus(t *testing.T) {
	golden.JSON(t, "status.json", Status{List: 1, Held: 2, Told: 3, Refused: 4})
}
