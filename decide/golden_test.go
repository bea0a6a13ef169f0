package decide

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"
)

// goldenSeeds are runs of the driver and the hash over all actions of each, in order and with their times. Code that is only moved
// leaves them as they are; a change of a decision changes them, and says so in its commit.
var goldenSeeds = map[uint64]uint64{1: 0xc0b84168e52c4bd8, 2: 0x44642d8f7bcc8be0, 3: 0x91b3768206e09de, 4: 0xf1e729f6087a3ce8}

func TestGoldenDecisions(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		hash, actions := fnv.New64a(), 0
		d := newDriver(t, seed)
		d.spoil = func(a Action) []Action {
			actions++
			switch plain := a.(type) { // what an answer is for is told only in logs
			case Refuse:
				fmt.Fprintf(hash, "%d %T {Request:%d RetryAfter:%v}\n", d.now, a, plain.Request, plain.RetryAfter)
			case Fail:
				fmt.Fprintf(hash, "%d %T {Request:%d}\n", d.now, a, plain.Request)
			default:
				fmt.Fprintf(hash, "%d %T %+v\n", d.now, a, a)
			}
			return []Action{a}
		}
		d.run(d.now + 40*time.Second)
		if got := hash.Sum64(); got != goldenSeeds[seed] || actions < 1000 {
			t.Errorf("seed %d: %d actions hash to %#x, want %#x", seed, actions, got, goldenSeeds[seed])
		}
	}
}
