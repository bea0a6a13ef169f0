package testutil

import "math/rand/v2"

const (
	cutsPerMessage  = 8
	garbageMessages = 16
	maxGarbageBytes = 63
)

// CorruptedSeeds returns a seed corpus: the valid messages, prefixes of them of random length, each also with one random
// byte replaced, and random bytes. The same seed returns the same corpus.
func CorruptedSeeds(seed uint64, valid ...string) []string {
	rng := rand.New(rand.NewPCG(seed, seed))
	corpus := append([]string(nil), valid...)
	for _, message := range valid {
		for range cutsPerMessage {
			prefix := []byte(message[:rng.IntN(len(message)+1)])
			corpus = append(corpus, string(prefix))
			if len(prefix) > 0 {
				prefix[rng.IntN(len(prefix))] = byte(rng.Uint32())
				corpus = append(corpus, string(prefix))
			}
		}
	}
	for range garbageMessages {
		garbage := make([]byte, rng.IntN(maxGarbageBytes+1))
		for i := range garbage {
			garbage[i] = byte(rng.Uint32())
		}
		corpus = append(corpus, string(garbage))
	}
	return corpus
}
