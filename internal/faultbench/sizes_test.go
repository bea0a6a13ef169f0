package faultbench

import (
	"context"
	"fmt"
	"os"
	"testing"

	"rampspread/internal/faultbench/scenario"
)

// With a list of 1,024 replicas and settings that announce 350 dispatchers, a process must serve requests within the
// smallest limits on memory and descriptors that the platform sets. RAMPSPREAD_SIZES adds the other sizes.
func TestSizes(t *testing.T) {
	type size struct{ replicas, memoryMB, sockets int }
	sizes := []size{{1024, 32, 256}}
	if os.Getenv("RAMPSPREAD_SIZES") != "" {
		sizes = []size{{300, 32, 256}, {600, 32, 256}, {1024, 32, 256}, {300, 192, 1024}, {600, 192, 1024}, {1024, 192, 1024}}
	}
	for _, z := range sizes {
		t.Run(fmt.Sprint(z.replicas, " replicas in ", z.memoryMB, " MB"), func(t *testing.T) {
			s := &scenario.Scenario{Name: "size", Seconds: 6, Rate: 40, Zones: 3, PrefillReplicas: z.replicas / 2, DecodeReplicas: z.replicas - z.replicas/2}
			r, err := Play(context.Background(), s, Options{Program: programPath, Dispatchers: 1, Seed: 5, Dir: t.TempDir(),
				MemoryMB: z.memoryMB, Sockets: z.sockets, AdvertisedDispatchers: 350, MeasureUsage: true})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.violations {
				t.Error(b)
			}
			t.Logf("%d replicas, limits %d MB and %d descriptors: %.0f MB (%.0f without the program's file), %d descriptors, %.0f goroutines, ready after %.2f s, served %v of %d",
				z.replicas, z.memoryMB, z.sockets, r.RSSMB, r.OwnMB, r.FDs, r.Goroutines, r.ReadyS, r.ByStatus["served"], r.Requests)
			if r.Crashes > 0 || r.ByStatus["served"] == 0 || r.OwnMB > float64(z.memoryMB) || r.FDs > z.sockets || r.Goroutines == 0 {
				t.Errorf("%d crashes, %v, %.0f MB, %d descriptors, %.0f goroutines", r.Crashes, r.ByStatus, r.RSSMB, r.FDs, r.Goroutines)
			}
		})
	}
}
